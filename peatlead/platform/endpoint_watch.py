"""The watch on the platform's endpoint list: HTTP/1.1 long polls, one after the other.

A poll is answered as soon as the list has changed. It waits only `POLL_WAIT`, so that a connection
that has gone silent is noticed soon, while a change that it held back still counts as late and not
as missed.
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

POLL_WAIT = 2.0  # seconds that a poll waits for a change
ANSWER_TOLERANCE = 0.75  # seconds after which an answer is overdue
CONNECT_TIMEOUT = 0.5  # seconds
# Seconds until the next attempt after a failure, doubled each time, up to the limit.
RETRY_DELAY = 0.05
RETRY_DELAY_LIMIT = 0.5
DOUBLINGS_LIMIT = 8  # of the delay; more would only make the number large
ERRORS_LOGGED = 5  # of one list's entries
PATH = "/v1/endpoints"
OK = 200


class EndpointWatch:
    """Follows the list at an address that may move.

    `on_list` gets each list, whole ones and changes, in order; `wall()` gives Unix seconds. An
    address that was left is still polled until the new one has answered: it may have changes that
    the new one is yet to get.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointList], None],
        log: Log,
        wall: Callable[[], float],
        rng: Random,
    ) -> None:
        self.address = address
        self.on_list = on_list
        self.log = log
        self.wall = wall
        self.rng = rng  # for the delays between attempts
        self.version: Optional[int] = None  # of the newest list; None asks for the whole list
        self.current: Optional[Poller] = None
        self.previous: Optional[Poller] = None  # of the address that was left

    @property
    def failures(self) -> int:
        """How many polls of the current address have failed in a row."""
        return self.current.failures if self.current is not None else 0

    def start(self) -> None:
        """Start to poll the address."""
        self.current = Poller(self, self.address)

    def stop(self) -> None:
        """Stop all polls."""
        for poller in (self.current, self.previous):
            if poller is not None:
                poller.stop()
        self.previous = None

    def move(self, address: Address) -> None:
        """Poll another address from now on, for what is newer than the known list."""
        if address == self.address:
            return
        if self.current is not None:
            self.leave(self.current)
        self.address = address
        self.start()

    def leave(self, poller: "Poller") -> None:
        """Keep a poller until the next address has answered, if its own ever did."""
        if not poller.answered:
            poller.stop()
            return
        if self.previous is not None:
            self.previous.stop()
        self.previous = poller

    def accept(self, poller: "Poller", endpoint_list: EndpointList) -> None:
        """Handle an answer; its version is the one that the next poll asks from."""
        is_whole = endpoint_list.scope == ListScope.WHOLE
        if poller is not self.current:
            if self.version is None or endpoint_list.version <= self.version:
                return
        elif self.previous is not None:
            self.previous.stop()
            self.previous = None
        for error in endpoint_list.entry_errors[:ERRORS_LOGGED]:
            self.log("list entry left out", why=error)
        if not is_whole and self.version is not None and endpoint_list.version < self.version:
            self.log("discovery went back", version=endpoint_list.version, known=self.version)
            self.version = None  # since when the changes count is not known
            return
        self.version = endpoint_list.version
        if endpoint_list.endpoints or is_whole:
            self.on_list(endpoint_list)


class Poller:
    """Polls one address until it is stopped, or, once the address was left, until a poll fails."""

    def __init__(self, watch: EndpointWatch, address: Address) -> None:
        self.watch = watch
        self.address = address
        self.connection: Optional[ClientConnection] = None
        self.failures = 0  # in a row
        self.answered = False  # whether a poll has ever succeeded
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.run(), name=f"watch {address}")

    def stop(self) -> None:
        """Stop polling."""
        self.task.cancel()
        self.hang_up()

    def hang_up(self) -> None:
        """End the connection, if there is one."""
        if self.connection is not None:
            self.connection.abort("done")
            self.connection = None

    async def run(self) -> None:
        """Poll and hand over the answers."""
        while True:
            try:
                self.watch.accept(self, await self.poll())
                self.record_success()
            except (RequestFailedError, MalformedMessageError) as problem:
                if self is not self.watch.current:
                    self.hang_up()
                    return
                await self.back_off(str(problem))
            except Exception as problem:  # asking for the whole list again beats a watch that ends
                self.watch.version = None
                await self.back_off(f"news not taken: {problem!r}")

    def record_success(self) -> None:
        """Log the end of a series of failures."""
        if self.failures:
            self.watch.log("discovery answers", failures=self.failures)
        self.failures = 0
        self.answered = True

    async def back_off(self, reason: str) -> None:
        """Wait before the next attempt; the first failure of a series is logged."""
        self.hang_up()
        if not self.failures:
            self.watch.log("discovery does not answer", why=reason, place=str(self.address))
        self.failures += 1
        doublings = min(DOUBLINGS_LIMIT, self.failures - 1)
        delay = min(RETRY_DELAY_LIMIT, RETRY_DELAY * 2**doublings)
        await asyncio.sleep(delay * self.watch.rng.uniform(0.5, 1.0))

    async def poll(self) -> EndpointList:
        """Return the answer of the next poll.

        Raises RequestFailedError or MalformedMessageError.
        """
        loop = asyncio.get_running_loop()
        version = self.watch.version
        connection = await self.connected(loop)
        # An address that has not answered yet is asked not to wait: that shows that it works.
        wait = POLL_WAIT if self.answered and version is not None else 0.0
        path = PATH if version is None else f"{PATH}?after={version}&wait_ms={round(wait * 1000)}"
        headers = [("host", str(self.address))]
        deadline = loop.time() + ANSWER_TOLERANCE + wait
        answer = await connection.send_request("GET", path, headers, b"", deadline)
        if answer.status != OK:
            raise MalformedMessageError(f"expected 200, got {answer.status}")
        return read_endpoint_list(answer.body, self.watch.wall())

    async def connected(self, loop: asyncio.AbstractEventLoop) -> ClientConnection:
        """Return the connection, a new one if the last can't be used. Raises RequestFailedError."""
        if self.connection is None or not self.connection.usable:
            self.connection = None
            self.connection = await connect(loop, self.address, loop.time() + CONNECT_TIMEOUT)
        return self.connection
