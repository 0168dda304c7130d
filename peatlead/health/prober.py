"""Sends probes over HTTP/1.1, bounded in flight, each with a deadline; brings back what hosts tell.

A new connection each time: that is what a desk will need too, and a host whose connections are all taken
shows it. What the req carries besides and how its answer is read are the steward's.
"""

import asyncio
from collections import deque

from ..net.http import RequestFailedError, connect


class Prober:
    """`probe(host, (address, port))`; `tell(host, outcome, took, report, told)` is called with what came of it.

    `settings`: path, deadline (seconds for all of one probe), at_once, waiting_most; `read(answer)` gives outcome,
    the report, what was told; `headers()` more [(name, value)]; `local`: the address to probe from, or None.
    """

    def __init__(self, settings, tell, read, headers=list, local=None):
        self.settings, self.tell, self.read, self.headers, self.local = (
            settings,
            tell,
            read,
            headers,
            local,
        )
        self.waiting, self.tasks, self.dropped = deque(), {}, 0

    def probe(self, host, place):
        if host in self.tasks or any(host == other for other, _ in self.waiting):
            return  # the last one is still out: its answer or deadline comes first
        if len(self.waiting) >= self.settings["waiting_most"]:
            self.dropped += 1  # the planner orders it again in a second
            return
        self.waiting.append((host, place))
        self.begin()

    def begin(self):
        while self.waiting and len(self.tasks) < self.settings["at_once"]:
            host, place = self.waiting.popleft()
            task = asyncio.get_running_loop().create_task(
                self.ask(host, place), name=f"probe {host}"
            )
            self.tasks[host] = task

    async def ask(self, host, place):
        loop = asyncio.get_running_loop()
        start, report, told, stream = loop.time(), None, None, None
        deadline = start + self.settings["deadline"]
        try:
            stream = await connect(loop, place, deadline, self.local)
            answer = await stream.ask(
                "GET",
                self.settings["path"],
                [("host", place[0]), ("connection", "close"), *self.headers()],
                b"",
                deadline,
            )
            outcome, report, told = self.read(answer)
        except RequestFailedError as problem:
            outcome = problem.outcome
        finally:
            if stream is not None:
                stream.cut("probe done")
            self.tasks.pop(host, None)
        self.tell(host, outcome, loop.time() - start, report, told)
        self.begin()

    def stop(self):
        self.waiting.clear()
        for task in list(self.tasks.values()):
            task.cancel()
