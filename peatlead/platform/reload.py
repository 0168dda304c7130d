"""Rereading of the configuration after SIGHUP."""

import asyncio
from collections.abc import Callable
from typing import Optional

from .configuration import Configuration, ConfigurationError
from .shared_types import Log

# Seconds between attempts to read the file; the delay doubles after each attempt, and the attempt
# after the maximum delay is the last.
INITIAL_RETRY_DELAY = 0.2
MAX_RETRY_DELAY = 6.4
COMPARED_FIELDS = ("name", "listen", "sockets")


class ConfigurationReload:
    """Reads the configuration again on request, and retries for a while after a failure.

    The file may be only half written at the time of the request; without retries, the controller
    would miss a change of discovery's address. `read_configuration()` returns the configuration or
    raises ConfigurationError; `apply_configuration(configuration)` is called after each success.
    """

    def __init__(
        self,
        read_configuration: Callable[[], Configuration],
        apply_configuration: Callable[[Configuration], None],
        log: Log,
    ) -> None:
        self.read_configuration = read_configuration
        self.apply_configuration = apply_configuration
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.retry_timer: Optional[asyncio.TimerHandle] = None
        self.retry_delay = INITIAL_RETRY_DELAY  # seconds until the next retry
        self.stopped = False

    def request(self) -> None:
        """Read the configuration now; this replaces the retries of an earlier request."""
        self.cancel_retry()
        self.retry_delay = INITIAL_RETRY_DELAY
        self.read_and_apply()

    def stop(self) -> None:
        """Ignore all further requests."""
        self.stopped = True
        self.cancel_retry()

    def cancel_retry(self) -> None:
        """Cancel the next retry, if one is scheduled."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def read_and_apply(self) -> None:
        """Read and apply the configuration, or schedule a retry."""
        self.retry_timer = None
        if self.stopped:
            return
        try:
            configuration = self.read_configuration()
        except ConfigurationError as error:
            self.schedule_retry(error)
            return
        self.apply_configuration(configuration)

    def schedule_retry(self, error: ConfigurationError) -> None:
        """Schedule the next retry, if any; only the first failure of a request is logged."""
        if self.retry_delay == INITIAL_RETRY_DELAY:
            self.log("configuration reload failed", why=str(error))
        if self.retry_delay <= MAX_RETRY_DELAY:
            self.retry_timer = self.loop.call_later(self.retry_delay, self.read_and_apply)
            self.retry_delay *= 2


def changed_names(old: Configuration, new: Configuration) -> list[str]:
    """Return the names of the fields and settings that differ, except discovery's address."""
    changed_fields = [name for name in COMPARED_FIELDS if getattr(new, name) != getattr(old, name)]
    setting_names = {**new.settings, **old.settings}
    changed_settings = [
        name for name in setting_names if new.settings.get(name) != old.settings.get(name)
    ]
    return changed_fields + sorted(changed_settings)
