"""Rereading of the configuration after SIGHUP."""

import asyncio
from collections.abc import Callable
from typing import Optional

from .configuration import Configuration, ConfigurationError
from .shared_types import Log

# Seconds between attempts to read the file; the delay doubles after each attempt, and there is no
# further attempt after the maximum.
INITIAL_RETRY_DELAY = 0.2
MAX_RETRY_DELAY = 6.4
COMPARED_FIELDS = ("name", "listen", "sockets")


class ConfigurationReload:
    """Reads the configuration again on request, and retries for a while after a failure.

    The retries cover a file that is only half written at the time of the request: without them, the
    controller would miss a change of discovery's address. `read` returns the configuration or
    raises ConfigurationError; `apply` is called with the configuration.
    """

    def __init__(
        self,
        read: Callable[[], Configuration],
        apply: Callable[[Configuration], None],
        log: Log,
    ) -> None:
        self.read = read
        self.apply = apply
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.timer: Optional[asyncio.TimerHandle] = None  # for the next attempt
        self.delay = INITIAL_RETRY_DELAY
        self.stopped = False

    def request(self) -> None:
        """Read the configuration now; this replaces the retries of an earlier request."""
        self.cancel_retry()
        self.delay = INITIAL_RETRY_DELAY
        self.attempt()

    def stop(self) -> None:
        """Ignore all further requests."""
        self.stopped = True
        self.cancel_retry()

    def cancel_retry(self) -> None:
        """Cancel the next attempt, if there is one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def attempt(self) -> None:
        """Read and apply the configuration, or schedule a retry."""
        self.timer = None
        if self.stopped:
            return
        try:
            configuration = self.read()
        except ConfigurationError as error:
            self.schedule_retry(error)
            return
        self.apply(configuration)

    def schedule_retry(self, error: ConfigurationError) -> None:
        """Schedule the next attempt; only the first failure of a request is logged."""
        if self.delay == INITIAL_RETRY_DELAY:
            self.log("configuration reload failed", why=str(error))
        if self.delay <= MAX_RETRY_DELAY:
            self.timer = self.loop.call_later(self.delay, self.attempt)
            self.delay *= 2


def differences(old: Configuration, new: Configuration) -> list[str]:
    """Return the names of the fields and settings that differ, except discovery's address."""
    changed_fields = [name for name in COMPARED_FIELDS if getattr(new, name) != getattr(old, name)]
    setting_names = {**new.settings, **old.settings}
    changed_settings = [
        name for name in setting_names if new.settings.get(name) != old.settings.get(name)
    ]
    return changed_fields + sorted(changed_settings)
