"""A trial, no case: 240 proxies come to one steward that may hold 256 descriptors.

The proxies bring tables of another steward. Three hosts drain; the trial prints how many proxies
the steward serves, and how many can still pick a draining host 10 s later.
"""

import asyncio
import sys
from pathlib import Path

import rig

HOSTS, PROXIES, DRAINING = 30, 240, 3
DRAIN_AT, WAIT = 12.0, 10.0  # seconds


class DescriptorDay(rig.Day):
    """The day of this trial."""

    sockets = 256

    def __init__(self, folder: Path) -> None:
        classes = [rig.request_class("record-lookup", 2.0, home_only=False)]
        super().__init__(folder, rig.settings(classes, dataPlaneSize=PROXIES, balancers=3))
        zones = self.settings["zones"]
        names = [f"s-{number}" for number in range(HOSTS)]
        for number, name in enumerate(names):
            self.hosts[name] = rig.Host(name, zones[number % 2])
        self.proxies = [rig.Proxy(self, number, zones[number % 2]) for number in range(PROXIES)]
        for proxy in self.proxies:
            proxy.tables["record-lookup"].lines = dict.fromkeys(names[proxy.number % 2 :: 2], 1.0)
            proxy.has_table = True

    async def script(self) -> None:
        """Let some hosts drain, and look at the proxies' tables later."""
        await asyncio.sleep(DRAIN_AT - self.now())
        draining = set(list(self.hosts)[:DRAINING])
        self.discovery.update(*[self.hosts[name].entry("leaving") for name in draining])
        await asyncio.sleep(WAIT)
        joined = sum(proxy.joined_at is not None for proxy in self.proxies)
        holding = sum(
            bool(draining & proxy.lines_to_pick("record-lookup").keys()) for proxy in self.proxies
        )
        print(f"{joined} of {PROXIES} proxies have a stream; {holding} can pick a draining host")


if __name__ == "__main__":
    day = DescriptorDay(Path(__file__).resolve().parent)
    sys.exit(day.play(day.script, DRAIN_AT + WAIT + 1.0))
