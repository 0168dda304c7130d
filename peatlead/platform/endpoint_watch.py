"""The watch on the platform's list of hosts: HTTP/1.1, one connection, one call after the other.

A call that may wait is answered as soon as something is newer. It waits only `WAIT`: a connection that has gone
silent is found out right after, while what it had to bring still counts as told late, not as missed.
"""

import asyncio

from ..net.http import RequestFailedError, connect
from .messages import MalformedMessageError, read_endpoint_list

WAIT, SLACK, CONNECT = 2.0, 0.75, 0.5  # seconds: of a call; until its answer is overdue; to connect
AGAIN, AGAIN_MOST = (
    0.05,
    0.5,
)  # seconds until the next try after a failure, doubled each time, up to this
PATH = "/v1/endpoints"


class EndpointWatch:
    """`tell(Listing)` gets each news, whole lists and changes, in order; `log(event, **fields)`, `wall()` Unix
    seconds, `chance` a Random for the waits between tries.

    `version` is of the newest news. An address that was left is still heard until the new one has answered: it may
    have news that the new one is yet to get.
    """

    def __init__(self, place, tell, log, wall, chance):
        self.place, self.tell, self.log, self.wall, self.chance = place, tell, log, wall, chance
        self.version, self.now, self.before = None, None, None

    @property
    def failures(self):
        return self.now.failures

    def start(self):
        self.now = WatchCalls(self, self.place)

    def stop(self):
        for calls in (self.now, self.before):
            if calls is not None:
                calls.stop()
        self.before = None

    def move(self, place):
        """Another address from now on; what is known stands, and the next call asks for what is newer."""
        if place == self.place:
            return
        if self.now.answered:
            if self.before is not None:
                self.before.stop()
            self.before = self.now
        else:
            self.now.stop()  # one that never answered leaves nothing to wait for
        self.place = place
        self.start()

    def took(self, calls, listing):
        """An answer; the version that the next call asks from is set by it."""
        whole = listing.scope == "whole"
        if calls is not self.now:
            if self.version is None or listing.version <= self.version:
                return
        elif self.before is not None:
            self.before.stop()
            self.before = None
        for why in listing.bad[:5]:
            self.log("list entry left out", why=why)
        if not whole and self.version is not None and listing.version < self.version:
            self.log("discovery went back", version=listing.version, known=self.version)
            self.version = None  # changes since when? the whole list tells
            return
        self.version = listing.version
        if listing.hosts or whole:
            self.tell(listing)


class WatchCalls:
    """One call after the other to one address, until it is stopped; the address before the newest one, until it
    fails."""

    def __init__(self, watch, place):
        self.watch, self.place, self.stream, self.failures, self.answered = (
            watch,
            place,
            None,
            0,
            False,
        )
        self.task = asyncio.get_running_loop().create_task(
            self.run(), name=f"watch {place[0]}:{place[1]}"
        )

    def stop(self):
        self.task.cancel()
        self.hang_up()

    def hang_up(self):
        if self.stream is not None:
            self.stream.cut("done")
            self.stream = None

    async def run(self):
        while True:
            try:
                self.watch.took(self, await self.call())
                if self.failures:
                    self.watch.log("discovery answers", failures=self.failures)
                self.failures, self.answered = 0, True
            except (RequestFailedError, MalformedMessageError) as problem:
                if self is not self.watch.now:
                    return self.hang_up()
                await self.fail(str(problem))
            except (
                Exception
            ) as problem:  # a watch that ends is worse than a list that is asked for whole again
                self.watch.version = None
                await self.fail(f"news not taken: {problem!r}")

    async def fail(self, why):
        """Told once; the next try after a while, longer each time."""
        self.hang_up()
        if not self.failures:
            self.watch.log(
                "discovery does not answer", why=why, place=f"{self.place[0]}:{self.place[1]}"
            )
        self.failures += 1
        wait = min(AGAIN_MOST, AGAIN * 2 ** min(8, self.failures - 1))
        await asyncio.sleep(wait * self.watch.chance.uniform(0.5, 1.0))

    async def call(self):
        """The Listing that the next call brings."""
        loop, version = asyncio.get_running_loop(), self.watch.version
        if self.stream is None or not self.stream.usable:
            self.stream = None
            self.stream = await connect(loop, self.place, loop.time() + CONNECT)
        wait = (
            WAIT if self.answered and version is not None else 0.0
        )  # a new address tells at once that it is up
        path = PATH if version is None else f"{PATH}?after={version}&wait_ms={round(wait * 1000)}"
        deadline = loop.time() + SLACK + wait
        answer = await self.stream.ask(
            "GET", path, [("host", f"{self.place[0]}:{self.place[1]}")], b"", deadline
        )
        if answer.status != 200:
            raise MalformedMessageError(f"expected 200, got {answer.status}")
        return read_endpoint_list(answer.body, self.watch.wall())
