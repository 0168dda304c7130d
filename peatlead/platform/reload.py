"""Rereading of the configuration at SIGHUP."""

import asyncio
from collections.abc import Callable
from typing import Optional

from .configuration import Configuration, ConfigurationError
from .shared_types import Log

# Seconds until a file that can't be read is tried again, doubled each time, up to the limit.
RETRY_DELAY = 0.2
RETRY_DELAY_LIMIT = 6.4
COMPARED_FIELDS = ("name", "listen", "sockets")


class ConfigurationReload:
    """Reads the configuration again on request, and retries for a while where that fails.

    A file that can't be read now may be half written; to miss the move of discovery's address
    would be to miss it for good. `read` raises ConfigurationError; `apply` gets what it returns.
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
        self.timer: Optional[asyncio.TimerHandle] = None  # of the next attempt
        self.delay = RETRY_DELAY
        self.stopped = False

    def request(self) -> None:
        """Read now, whatever came of earlier requests."""
        self.cancel_retry()
        self.delay = RETRY_DELAY
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
        """Read and apply the configuration, or schedule the next attempt."""
        self.timer = None
        if self.stopped:
            return
        try:
            configuration = self.read()
        except ConfigurationError as problem:
            self.retry(problem)
            return
        self.apply(configuration)

    def retry(self, problem: ConfigurationError) -> None:
        """Schedule the next attempt; the first failure of a request is logged."""
        if self.delay == RETRY_DELAY:
            self.log("new configuration not taken", why=str(problem))
        if self.delay <= RETRY_DELAY_LIMIT:
            self.timer = self.loop.call_later(self.delay, self.attempt)
            self.delay *= 2


def differences(old: Configuration, new: Configuration) -> list[str]:
    """Return the names of fields and settings that differ, discovery's address aside."""
    fields = [name for name in COMPARED_FIELDS if getattr(new, name) != getattr(old, name)]
    names = {**new.settings, **old.settings}
    settings = [name for name in names if new.settings.get(name) != old.settings.get(name)]
    return fields + sorted(settings)
