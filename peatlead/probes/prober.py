"""Sends probes over HTTP/1.1, bounded in flight, each with a deadline; brings back what hosts tell.

A new connection each time: that is what a desk will need too, and a host whose connections are all taken
shows it. The req carries the levels that hosts should let in (docs/steward.md).
"""

import asyncio
from collections import deque

from ..net.http import Failed, connect
from ..net.orca import HEADER, read_report
from .news import read_told


class Prober:
    """`probe(host, address)`; `tell(host, outcome, took, report, told)` is called with what came of it."""

    def __init__(self, settings, local, tell, levels):
        self.settings, self.local, self.tell, self.levels = settings, local, tell, levels
        self.waiting, self.tasks, self.dropped = deque(), {}, 0

    def probe(self, host, address):
        if host in self.tasks or any(host == other for other, _ in self.waiting):
            return  # the last one is still out: its answer or deadline comes first
        if len(self.waiting) >= self.settings["waiting_most"]:
            self.dropped += 1  # the planner orders it again in a second
            return
        self.waiting.append((host, address))
        self.begin()

    def begin(self):
        while self.waiting and len(self.tasks) < self.settings["at_once"]:
            host, address = self.waiting.popleft()
            task = asyncio.get_running_loop().create_task(self.ask(host, address), name=f"probe {host}")
            self.tasks[host] = task

    async def ask(self, host, address):
        loop = asyncio.get_running_loop()
        start, report, told, stream = loop.time(), None, None, None
        deadline = start + self.settings["deadline"]
        try:
            stream = await connect(loop, (address, self.settings["port"]), deadline, self.local)
            answer = await stream.ask("GET", self.settings["path"], [
                ("host", address), ("connection", "close"), ("peatlead-levels", self.levels())], b"", deadline)
            outcome = {200: "ok", 503: "denied", 429: "denied"}.get(answer.status, "errored")
            report = read_report(answer.headers.get(HEADER, "")) or None
            told = read_told(answer.body) if outcome == "ok" else None
        except Failed as problem:
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
