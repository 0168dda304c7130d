"""The watch on the platform's list of hosts: HTTP/1.1, one connection, one call after the other.

A call that may wait is answered as soon as something is newer. It waits only `WAIT`: a connection that has gone
silent is found out right after, while what it had to bring still counts as told late, not as missed.
"""

import asyncio

from ..net.http import Failed, connect
from .messages import Unreadable, read_list

WAIT, SLACK, CONNECT = 2.0, 0.75, 0.5  # seconds: of a call; until its answer is overdue; to connect
AGAIN, AGAIN_MOST = 0.05, 0.5  # seconds until the next try after a failure, doubled each time, up to this
PATH = "/v1/endpoints"


class Watch:
    """`tell(Listing)` gets each news, whole lists and changes, in order; `log(event, **fields)`, `wall()` Unix
    seconds, `chance` a Random for the waits between tries."""

    def __init__(self, place, tell, log, wall, chance):
        self.place, self.tell, self.log, self.wall, self.chance = place, tell, log, wall, chance
        self.version, self.stream, self.task, self.failures, self.calls = None, None, None, 0, 0

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self.run(), name="watch")

    def stop(self):
        if self.task is not None:
            self.task.cancel()
        self.hang_up()

    def move(self, place):
        """Another address from now on; what is known stands, and the next call asks for what is newer."""
        if place != self.place:
            self.place = place
            self.stop()
            self.start()

    def hang_up(self):
        if self.stream is not None:
            self.stream.cut("done")
            self.stream = None

    async def run(self):
        while True:
            try:
                await self.call()
                if self.failures:
                    self.log("discovery answers", failures=self.failures)
                self.failures = 0
            except (Failed, Unreadable) as problem:
                await self.fail(str(problem))
            except Exception as problem:  # a watch that ends is worse than a list that is asked for whole again
                self.version = None
                await self.fail(f"news not taken: {problem!r}")

    async def fail(self, why):
        """Told once; the next try after a while, longer each time."""
        self.hang_up()
        if not self.failures:
            self.log("discovery does not answer", why=why, place=f"{self.place[0]}:{self.place[1]}")
        self.failures += 1
        wait = min(AGAIN_MOST, AGAIN * 2 ** min(8, self.failures - 1))
        await asyncio.sleep(wait * self.chance.uniform(0.5, 1.0))

    async def call(self):
        loop = asyncio.get_running_loop()
        if self.stream is None or not self.stream.usable:
            self.stream = None
            self.stream = await connect(loop, self.place, loop.time() + CONNECT)
        first = self.version is None
        path = PATH if first else f"{PATH}?after={self.version}&wait_ms={round(WAIT * 1000)}"
        deadline = loop.time() + SLACK + (0.0 if first else WAIT)
        answer = await self.stream.ask("GET", path, [("host", f"{self.place[0]}:{self.place[1]}")], b"", deadline)
        self.calls += 1
        if answer.status != 200:
            raise Unreadable(f"expected 200, got {answer.status}")
        listing = read_list(answer.body, self.wall())
        for why in listing.bad[:5]:
            self.log("list entry left out", why=why)
        self.version = listing.version
        if listing.hosts or listing.scope == "whole":
            self.tell(listing)
