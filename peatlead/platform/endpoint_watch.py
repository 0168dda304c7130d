"""Watches the platform's endpoint list by HTTP/1.1 long polls, one after the other.

Discovery answers a poll as soon as the list has changed, and after `POLL_WAIT` at the latest. The
wait is short so that a dead connection is noticed early: the platform then counts the changes that
the connection held up as late, not as missed.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Optional

from ..interface import ListScope
from ..net.http import ClientConnection, RequestFailedError, connect
from ..sources.endpoint_list import EndpointList
from .messages import Address, MalformedMessageError, read_endpoint_list
from .shared_types import Log

POLL_WAIT = 2.0  # maximum seconds that discovery waits for a change before it answers
ANSWER_TIMEOUT = 0.75  # seconds, in addition to the time that discovery may wait
CONNECT_TIMEOUT = 0.5  # seconds
# Seconds between a failed poll and the next one; the delay doubles after each failure.
INITIAL_RETRY_DELAY = 0.05
MAX_RETRY_DELAY = 0.5
MAX_DOUBLINGS = 8  # maximum exponent in the computation of the retry delay
MAX_ERRORS_LOGGED = 5  # logged errors about invalid entries, for each list
ENDPOINTS_PATH = "/v1/endpoints"
HTTP_OK = 200


class EndpointWatch:
    """Watches the endpoint list at an address that may change.

    `on_list` is called with each whole list and each list of changes, in order; `unix_time()`
    returns seconds. After a change of the address, the previous address is polled until the new one
    has answered, since it may have changes that the new address does not have yet.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointList], None],
        log: Log,
        unix_time: Callable[[], float],
        rng: Random,
    ) -> None:
        self.address = address
        self.on_list = on_list
        self.log = log
        self.unix_time = unix_time
        self.rng = rng  # for the jitter of retry delays
        self.version: Optional[int] = None  # of the last list; None: request the whole list
        self.current_poller: Optional[Poller] = None
        self.previous_poller: Optional[Poller] = None  # polls the previous address

    @property
    def failure_count(self) -> int:
        """Number of consecutive failed polls of the current address."""
        return self.current_poller.failure_count if self.current_poller is not None else 0

    def start(self) -> None:
        """Start to poll the address."""
        self.current_poller = Poller(self, self.address)

    def stop(self) -> None:
        """Stop polling."""
        for poller in (self.current_poller, self.previous_poller):
            if poller is not None:
                poller.stop()
        self.previous_poller = None

    def change_address(self, address: Address) -> None:
        """Poll another address, for changes since the last list."""
        if address == self.address:
            return
        if self.current_poller is not None:
            self.retire_poller(self.current_poller)
        self.address = address
        self.start()

    def retire_poller(self, poller: "Poller") -> None:
        """Keep a poller until the new address answers; stop it now if it has never succeeded."""
        if not poller.has_succeeded:
            poller.stop()
            return
        if self.previous_poller is not None:
            self.previous_poller.stop()
        self.previous_poller = poller

    def handle_list(self, poller: "Poller", endpoint_list: EndpointList) -> None:
        """Pass an answer to `on_list`, unless it is outdated or contains no change.

        The next poll requests the changes since the answer's version. An answer from the previous
        address is used only if its version is newer than that of the last list.
        """
        is_whole = endpoint_list.scope == ListScope.WHOLE
        if poller is not self.current_poller:
            if self.version is None or endpoint_list.version <= self.version:
                return
        elif self.previous_poller is not None:
            self.previous_poller.stop()
            self.previous_poller = None
        for error in endpoint_list.entry_errors[:MAX_ERRORS_LOGGED]:
            self.log("list entry left out", why=error)
        if not is_whole and self.version is not None and endpoint_list.version < self.version:
            self.log(
                "discovery answered with an older version",
                version=endpoint_list.version,
                known=self.version,
            )
            self.version = None  # the changes since an older version can't be applied
            return
        self.version = endpoint_list.version
        if endpoint_list.endpoints or is_whole:
            self.on_list(endpoint_list)


class Poller:
    """Polls one address until it is stopped.

    A poller of a previous address also ends when a poll fails.
    """

    def __init__(self, watch: EndpointWatch, address: Address) -> None:
        self.watch = watch
        self.address = address
        self.connection: Optional[ClientConnection] = None
        self.failure_count = 0  # consecutive failed polls
        self.has_succeeded = False  # whether any poll has succeeded
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.poll_repeatedly(), name=f"watch {address}")

    def stop(self) -> None:
        """Stop polling."""
        self.task.cancel()
        self.close_connection()

    def close_connection(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.abort("done")
            self.connection = None

    async def poll_repeatedly(self) -> None:
        """Poll in a loop and pass the answers to the watch."""
        while True:
            try:
                self.watch.handle_list(self, await self.poll())
                self.record_success()
            except (RequestFailedError, MalformedMessageError) as error:
                if self is not self.watch.current_poller:
                    self.close_connection()
                    return
                await self.back_off(str(error))
            except Exception as error:  # the watch must go on: it requests the whole list again
                self.watch.version = None
                await self.back_off(f"endpoint list not applied: {error!r}")

    def record_success(self) -> None:
        """Log the end of a series of failures, and reset their count."""
        if self.failure_count:
            self.watch.log("discovery polls succeed again", failures=self.failure_count)
        self.failure_count = 0
        self.has_succeeded = True

    async def back_off(self, reason: str) -> None:
        """Wait before the next poll; only the first of several consecutive failures is logged."""
        self.close_connection()
        if not self.failure_count:
            self.watch.log("discovery poll failed", why=reason, place=str(self.address))
        self.failure_count += 1
        doublings = min(MAX_DOUBLINGS, self.failure_count - 1)
        delay = min(MAX_RETRY_DELAY, INITIAL_RETRY_DELAY * 2**doublings)
        await asyncio.sleep(delay * self.watch.rng.uniform(0.5, 1.0))

    async def poll(self) -> EndpointList:
        """Send a poll and return the answer. Raises RequestFailedError or MalformedMessageError."""
        loop = asyncio.get_running_loop()
        version = self.watch.version
        connection = await self.usable_connection(loop)
        # The first poll of an address does not wait, which shows early whether the address works.
        wait = POLL_WAIT if self.has_succeeded and version is not None else 0.0
        path = (
            ENDPOINTS_PATH
            if version is None
            else f"{ENDPOINTS_PATH}?after={version}&wait_ms={round(wait * 1000)}"
        )
        headers = [("host", str(self.address))]
        deadline = loop.time() + ANSWER_TIMEOUT + wait
        response = await connection.send_request("GET", path, headers, b"", deadline)
        if response.status != HTTP_OK:
            raise MalformedMessageError(f"expected HTTP status {HTTP_OK}, got {response.status}")
        return read_endpoint_list(response.body, self.watch.unix_time())

    async def usable_connection(self, loop: asyncio.AbstractEventLoop) -> ClientConnection:
        """Return a usable connection, opening it if necessary. Raises RequestFailedError."""
        if self.connection is None or not self.connection.usable:
            self.connection = None
            self.connection = await connect(loop, self.address, loop.time() + CONNECT_TIMEOUT)
        return self.connection
