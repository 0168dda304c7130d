"""A trial, no case: the messages to a proxy while six in ten hosts are replaced within 7 s.

The settings allow 20 messages to a proxy within 10 s; the trial prints the most that were written.
"""

import asyncio
import sys
import time
from collections import defaultdict
from pathlib import Path

import rig

HOSTS, REPLACED, PROXIES = 30, 18, 12
CAP, SPAN = 20, 10.0  # messages; seconds
REPLACE_AT, DURATION = 8.0, 7.0  # seconds


class MessageDay(rig.Day):
    """The day of this trial."""

    def __init__(self, folder: Path) -> None:
        classes = [rig.request_class("record-lookup", 2.0, home_only=False)]
        super().__init__(folder, rig.settings(classes, dataPlaneSize=PROXIES, messagesMost=CAP))
        zones = self.settings["zones"]
        for number in range(HOSTS):
            self.hosts[f"s-{number}"] = rig.Host(f"s-{number}", zones[number % 2])
        self.proxies = [rig.Proxy(self, number, zones[number % 2]) for number in range(PROXIES)]
        self.written: defaultdict[int, list[float]] = defaultdict(list)

    def count_message(self, proxy: rig.Proxy) -> None:
        """Note the time of a message that was written to a proxy."""
        self.written[proxy.number].append(self.now())

    async def script(self) -> None:
        """Replace the hosts one by one, and count the messages."""
        for proxy in self.proxies:
            self.spawn(self.run_clients(proxy, "record-lookup", 0.2))
        await asyncio.sleep(REPLACE_AT - self.now())
        for number, old in enumerate(list(self.hosts.values())[:REPLACED]):
            successor = self.hosts[f"n-{number}"] = rig.Host(f"n-{number}", old.zone)
            await successor.start()
            successor.started_at_ms = time.time() * 1000
            self.discovery.update(successor.entry("active"), old.entry("leaving"))
            await asyncio.sleep(DURATION / REPLACED)
        await asyncio.sleep(8.0)
        most = {
            number: max(sum(at - SPAN < other <= at for other in times) for at in times)
            for number, times in self.written.items()
        }
        above = sum(count > CAP for count in most.values())
        print(
            f"most messages within {SPAN} s: {max(most.values())}, allowed {CAP}; {above} proxies"
        )


if __name__ == "__main__":
    day = MessageDay(Path(__file__).resolve().parent)
    sys.exit(day.play(day.script, 25.0))
