"""Proxies without a host after a zone's hosts and the steward were restarted.

The class `record-lookup` stays within the proxy's zone. The two hosts of the zone `bangna` are
restarted by a rolling deploy, under their own names: first they leave, then they have left, then
they are back with a new start. Meanwhile the steward is restarted twice. The check is the first
rule: while the list that the steward has been told shows a ready, warm host that is open to a
class, no joined proxy may be without a line to pick for the class for longer than `emptyForUs`.
"""

import asyncio
import sys
import time
from pathlib import Path

import rig

WARM_AFTER = 8.0  # seconds, `warmAfterUs`
EMPTY_FOR = 3.0  # seconds, `emptyForUs`
LENGTH = 36.0  # seconds
HOSTS = 10  # two of them in the first zone: a fifth of the fleet is replaced at a time
PROXIES = 12


class RestartDay(rig.Day):
    """The day of this case."""

    def __init__(self, folder: Path) -> None:
        classes = [
            rig.request_class("record-lookup", 2.0, home_only=True),
            rig.request_class("detail-update", 2.0, home_only=False),
        ]
        super().__init__(
            folder,
            rig.settings(
                classes,
                dataPlaneSize=PROXIES,
                warmAfterUs=WARM_AFTER * rig.MICROSECONDS,
                emptyForUs=EMPTY_FOR * rig.MICROSECONDS,
            ),
        )
        zones = self.settings["zones"]
        for number in range(HOSTS):
            name = f"s-{0x5BE2A07C + 7919 * number:08x}"
            self.hosts[name] = rig.Host(name, zones[0] if number < 2 else zones[1])
        self.proxies = [
            rig.Proxy(self, number, zones[number % len(zones)]) for number in range(PROXIES)
        ]
        self.longest = 0.0
        self.reported: set[tuple[int, str]] = set()

    async def script(self) -> None:
        """Play the rolling deploy of the zone's hosts, with the restarts of the steward."""
        for proxy in self.proxies:
            for name in self.class_names:
                self.spawn(self.run_clients(proxy, name, 0.2))
        deployed = [host for host in self.hosts.values() if host.zone == self.settings["zones"][0]]
        await self.until(6.0)
        self.discovery.update(*[host.entry("leaving") for host in deployed])
        await self.until(7.0)
        await self.restart_steward()
        await self.until(12.0)
        for host in deployed:
            host.stop()
        self.discovery.update(*[host.entry("left") for host in deployed])
        await self.until(13.0)
        await self.restart_steward()
        await self.until(17.0)
        for host in deployed:
            await host.start()
            host.started_at_ms = time.time() * 1000
        self.discovery.update(*[host.entry("active") for host in deployed])

    async def until(self, moment: float) -> None:
        """Wait until a moment of the day."""
        await asyncio.sleep(max(0.0, moment - self.now()))

    async def restart_steward(self) -> None:
        """Restart the steward, unless the day is without trouble."""
        if self.trouble:
            await self.steward.stop()
            self.channel.clear()
            await self.steward.start()

    def check(self) -> None:
        """Check how long joined proxies are without a line to pick."""
        warm_zones = {
            entry["zone"]
            for entry in self.discovery.told.values()
            if entry["lifecycle"] == "active"
            and time.time() - entry["startedAtMs"] / 1000 >= WARM_AFTER
        }
        for proxy in self.proxies:
            for name, home_only in zip(self.class_names, self.home_only):
                has_host = proxy.zone in warm_zones if home_only else bool(warm_zones)
                owed = proxy.joined_at is not None and self.limits_run() and has_host
                if owed and not proxy.lines_to_pick(name):
                    self.note_empty(proxy, name)
                else:
                    proxy.empty_since.pop(name, None)

    def note_empty(self, proxy: rig.Proxy, name: str) -> None:
        """Note that a proxy has no line to pick, and record a breach once."""
        seconds = self.now() - proxy.empty_since.setdefault(name, self.now())
        self.longest = max(self.longest, seconds)
        if seconds > EMPTY_FOR + rig.SLACK and (proxy.number, name) not in self.reported:
            self.reported.add((proxy.number, name))
            breach = (
                f"proxy {proxy.number} has had no line to pick for {name} for {seconds:.2f} s: "
                f"table {sorted(proxy.tables[name].lines)}, shut out {sorted(proxy.ejected)}"
            )
            self.record.write(breach)
            self.breaches.append(breach)


def main() -> int:
    """Play the day and return the exit code."""
    day = RestartDay(Path(__file__).resolve().parent)
    code = day.play(day.script, LENGTH)
    print(f"longest time without a line: {day.longest:.2f} s, allowed: {EMPTY_FOR + rig.SLACK} s")
    return code


if __name__ == "__main__":
    sys.exit(main())
