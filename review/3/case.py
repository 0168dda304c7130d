"""A steward that ends because of spoilt reports while streams break and return.

One in seven of the proxies' reports on usage is spoilt: a field is out of range or of another type,
or names something that does not exist. All streams of one zone break every five seconds and return.
The check: the steward's process may not end.
"""

import asyncio
import sys
from pathlib import Path

import rig

SPOILT_INTERVAL = 7  # every so many reports on usage, one is spoilt
BREAK_INTERVAL = 5.0  # seconds
TROUBLE_AT = 6.0  # seconds
FIRST_BREAK_AT = 8.0  # seconds
LENGTH = 90.0  # seconds
HOSTS = 10
PROXIES = 30


def spoilt(number: int) -> rig.Message:
    """Return the fields that are spoilt in the report of this number."""
    kinds: list[rig.Message] = [
        {"interval": sys.float_info.min},
        {"total": -3},
        {"interval": sys.float_info.min},
        {"route": "no-such-route"},
        {"interval": sys.float_info.min},
        {"interval": "soon"},
    ]
    return kinds[number % len(kinds)]


class SpoiltDay(rig.Day):
    """The day of this case."""

    ends_with_breach = True
    redial = (2.32, 4.1)  # seconds: 2 until the break is noticed, then until the proxy dials

    def __init__(self, folder: Path) -> None:
        classes = [
            rig.request_class("route-quote", 1.0, home_only=False, aim=2.0, deadline=6.0),
            rig.request_class("rider-update", 2.0, home_only=False, aim=1.2, deadline=4.0),
        ]
        super().__init__(
            folder,
            rig.settings(
                classes,
                dataPlaneSize=PROXIES,
                localFirst=False,
                choice="random",
                channelRate=7300.0,
                pendingMax=7300.0,
                perMessage=4.0,
                pushDelayUs=445000,
                lateMostUs=1112500,
                emptyForUs=2500000,
                drainGraceUs=2400000,
                hearsPerS=600.0,
                failsToEject=8,
                standing=12,
                crossZone=0.04,
                zones=["akl-east", "akl-south"],
            ),
        )
        zones = self.settings["zones"]
        for number in range(HOSTS):
            name = f"s-{0x5BE2A07C + 7919 * number:08x}"
            self.hosts[name] = rig.Host(name, zones[number % 2])
        self.proxies = [rig.Proxy(self, number, zones[number % 2]) for number in range(PROXIES)]
        self.report_count = 0

    async def script(self) -> None:
        """Run the clients, and break the streams of the second zone again and again."""
        for proxy in self.proxies:
            for name in self.class_names:
                self.spawn(self.run_clients(proxy, name, 0.2))
        moment = FIRST_BREAK_AT
        while True:
            await asyncio.sleep(max(0.0, moment - self.now()))
            moment += BREAK_INTERVAL
            self.record.write("the streams of the second zone break")
            for proxy in self.proxies[1::2]:
                if proxy.writer is not None:
                    proxy.writer.transport.abort()

    def take_demand(self, proxy: rig.Proxy) -> list[rig.Message]:
        """Return a proxy's reports on its requests, some of them spoilt."""
        messages = super().take_demand(proxy)
        for message in messages:
            self.report_count += 1
            number, rest = divmod(self.report_count, SPOILT_INTERVAL)
            if self.trouble and self.now() > TROUBLE_AT and rest == 0:
                message.update(spoilt(number))
                self.record.write(f"spoilt: {message}")
        return messages

    def check(self) -> None:
        """Note the end of the steward's process."""
        code = self.steward.exit_code()
        if code is not None and not self.breaches:
            text = f"the steward's process has ended with {code}"
            self.record.write(text)
            self.breaches.append(text)


def main() -> int:
    """Play the day and return the exit code."""
    day = SpoiltDay(Path(__file__).resolve().parent)
    return day.play(day.script, LENGTH)


if __name__ == "__main__":
    sys.exit(main())
