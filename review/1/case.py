"""Requests to draining hosts after seven in ten stewards were killed during a release.

Five stewards steer 152 proxies and 200 hosts. A release replaces hosts in steps of 15%. Four of the
five stewards are killed, and their proxies come to the fifth with the tables that they hold. The
check is the rule on drains: later than `drainGraceUs` (and 300 ms) after the steward in charge was
told that a host drains or is gone, or after the proxy joined if that was later, no joined proxy may
send to the host.
"""

import asyncio
import sys
import time
from pathlib import Path

import fleet
import rig

PROXIES = 152
HOSTS = 200
STEWARDS = 5
GRACE = 2.7  # seconds, `drainGraceUs`
STEP = 30  # hosts that one step of the release replaces
KILL_AT = 8.0  # seconds
RESTART_AT = 11.0
FIRST_STEP_AT = 6.0
STEP_INTERVAL = 2.5  # seconds between two steps, and from leaving to left
SUCCESSOR_DELAY = 1.2  # seconds from a step until its successors are listed
STEPS = 4
LENGTH = 20.0
REQUEST_INTERVAL = 0.4  # seconds between two requests of a class at a proxy


class HerdDay(fleet.FleetDay):
    """The day of this case."""

    redial = (0.4, 1.344)

    def __init__(self, folder: Path) -> None:
        classes = [
            rig.request_class("record-lookup", 2.0, home_only=False),
            rig.request_class("detail-update", 2.0, home_only=False, aim=0.4, deadline=1.2),
            rig.request_class("fee-filing", 6.0, home_only=False, aim=0.5, deadline=1.2),
        ]
        super().__init__(
            folder,
            rig.settings(
                classes,
                balancers=STEWARDS,
                dataPlaneSize=PROXIES,
                channelRate=5900.0,
                pendingMax=8900.0,
                pushDelayUs=359000,
                lateMostUs=897500,
                emptyForUs=3100000,
                drainGraceUs=round(GRACE * rig.MICROSECONDS),
                probing=False,
            ),
        )
        zones = self.settings["zones"]
        self.members = [fleet.Member(self, number) for number in range(STEWARDS)]
        for number in range(HOSTS + STEP * STEPS):
            name = f"s-{0x5BE2A07C + 7919 * number:08x}"
            self.hosts[name] = rig.Host(name, zones[number % len(zones)])
            self.hosts[name].port = 8080
            self.hosts[name].up = number < HOSTS
        self.all_hosts = list(self.hosts.values())
        self.hosts = {host.name: host for host in self.all_hosts[:HOSTS]}
        for number in range(PROXIES):
            zone = zones[number % len(zones)]
            own = [member for member in self.members if member.zone == zone]
            self.proxies.append(fleet.FleetProxy(self, number, zone, own[number // 2 % len(own)]))
        self.latest = 0.0  # the most seconds past its start at which a proxy sent

    async def script(self) -> None:
        """Play the release and the end of the stewards."""
        for proxy in self.proxies:
            for name in self.class_names:
                self.spawn(self.run_clients(proxy, name, REQUEST_INTERVAL))
        self.spawn(self.run_release())
        await asyncio.sleep(max(0.0, KILL_AT - self.now()))
        if self.trouble:
            for member in self.members[1:]:
                self.kill_member(member)
            await asyncio.sleep(max(0.0, RESTART_AT - self.now()))
            for member in self.members[1:]:
                await self.restart_member(member)

    async def run_release(self) -> None:
        """Replace the hosts in steps: leaving, the successors, left."""
        leaving = self.random.sample(self.all_hosts[:HOSTS], STEP * STEPS)
        for step in range(STEPS):
            await asyncio.sleep(max(0.0, FIRST_STEP_AT + step * STEP_INTERVAL - self.now()))
            left = leaving[max(0, step - 1) * STEP : step * STEP]
            now_leaving = leaving[step * STEP : (step + 1) * STEP]
            for host in left:
                host.up = False
            self.update_lists(
                [host.entry("left") for host in left]
                + [host.entry("leaving") for host in now_leaving]
            )
            await asyncio.sleep(SUCCESSOR_DELAY)
            successors = self.all_hosts[HOSTS + step * STEP : HOSTS + (step + 1) * STEP]
            for host in successors:
                host.up = True
                host.started_at_ms = time.time() * 1000
                self.hosts[host.name] = host
            self.update_lists([host.entry("active") for host in successors])

    def serve_request(self, proxy: rig.Proxy, class_name: str, host: rig.Host) -> None:
        """Answer a request; a request to a host that drains or is gone gets no good answer."""
        assert isinstance(proxy, fleet.FleetProxy)
        member = proxy.member
        told_at = member.agent.not_ready_since.get(host.name)
        if told_at is None or proxy.joined_at is None or member.killed:
            self.finish_request(proxy, class_name, host, 0.2)
            return
        start = max(told_at, proxy.joined_at, member.first_answer_at + rig.GRACE_AFTER_START)
        seconds = self.now() - start
        self.latest = max(self.latest, seconds)
        if seconds > GRACE + rig.SLACK:
            breach = (
                f"proxy {proxy.number} sent {class_name} to {host.name} {seconds:.2f} s after the "
                f"limit's clock began (told {self.now() - told_at:.2f} s, joined "
                f"{self.now() - proxy.joined_at:.2f} s before), allowed: {GRACE + rig.SLACK:.1f} s"
            )
            self.record.write(breach)
            self.breaches.append(breach)
        self.finish_request(proxy, class_name, host, None)


def main() -> int:
    """Play the day and return the exit code."""
    day = HerdDay(Path(__file__).resolve().parent)
    code = day.play(day.script, LENGTH)
    print(f"latest request to a draining host: {day.latest:.2f} s, allowed: {GRACE + 0.3:.1f} s")
    return code


if __name__ == "__main__":
    sys.exit(main())
