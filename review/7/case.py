"""A zone is lost for 5 s while the controllers are restarted, one at a time.

Rule: nobody left without a server. It counts how long joined proxies have no line to pick for the
class that stays in its zone, although warm hosts of the zone are listed as ready.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from fleet_standin import ACTIVE, Deployment, Proxy, run_case  # noqa: E402
from settings import akl_settings  # noqa: E402

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 30
PROXIES = 400
LOST = 5.0  # seconds that the zone is lost
NOTICE = 0.6  # seconds until discovery tells that its hosts have left
SLACK = 0.3  # seconds that the pages add to the limit
REDIAL = (0.32, 2.1)  # seconds until a proxy whose stream broke dials again
REHOME = (0.0, 15.0)  # seconds until it goes back to its own controller
ADDED = 2.4  # seconds until discovery lists a host that has started


def settings() -> dict[str, Any]:
    """Return the settings; the second class stays in the proxy's zone."""
    given = akl_settings(PROXIES, 2)
    given["familyInfo"]["homeOnly"] = [False, True, False]
    return given


async def restart(day: Deployment, rank: int) -> None:
    """Restart a controller as planned: SIGTERM, and the list that it last had."""
    known = day.agents[rank].last_told()
    await day.end_controller(rank, signal.SIGTERM)
    await asyncio.sleep(0.3)
    day.start_controller(rank, known)
    await day.ready(rank)


async def lose_zone(day: Deployment, zones: dict[str, str]) -> None:
    """End the hosts of the first zone, and start them again after a while."""
    zone_name = day.zones[0]
    lost = [name for name, zone in zones.items() if zone == zone_name]
    started = time.monotonic()
    day.record("zone lost", zone=zone_name)
    for name in lost:
        day.hosts.stop(name)
    day.down.update(lost)
    await asyncio.sleep(NOTICE)
    day.tell([day.entry(name, zone_name, "left") for name in lost])
    await asyncio.sleep(started + LOST - time.monotonic())
    for name in lost:
        await day.hosts.start(name)
    day.down.difference_update(lost)
    back = time.time()
    day.record("zone back", zone=zone_name)
    await asyncio.sleep(ADDED)
    day.tell([day.entry(name, zone_name, ACTIVE, back) for name in lost])


async def restart_all(day: Deployment) -> None:
    """Restart the controllers, one at a time."""
    await asyncio.sleep(0.3)
    await restart(day, 1)
    await asyncio.sleep(0.5)
    await restart(day, 0)


async def play(day: Deployment) -> dict[tuple[int, str], float]:
    """Play the day; return the longest times without a line, by proxy and class."""
    day.hosts.report = {"inflight": 2.0}
    zones = {f"s-{number}": day.zones[number % 3] for number in range(HOSTS)}
    for name in zones:
        await day.hosts.start(name)
    day.tell([day.entry(name, zone) for name, zone in zones.items()])
    for rank, agent in enumerate(day.agents):
        await agent.open(day.agents_at[rank], day.port)
        day.start_controller(rank, agent.whole())
    for rank in range(len(day.agents)):
        await day.ready(rank)
        for zone in day.zones:
            day.spawn(day.run_collector(rank, zone, 1.0))
    day.spawn(day.run_channels())
    for number in range(PROXIES):
        proxy = Proxy(number, day.zones[number % 3], 0.9, day.classes)
        proxy.home = number // 3 % 2
        day.proxies.append(proxy)
        day.spawn(day.run_proxy(proxy, REDIAL, REHOME))
    day.spawn(day.run_traffic(1.0))
    await asyncio.sleep(8.0)
    longest: dict[tuple[int, str], float] = {}
    day.spawn(day.watch_lines(longest))
    if TROUBLE:
        await asyncio.gather(lose_zone(day, zones), restart_all(day))
    else:
        await asyncio.sleep(LOST)
    await asyncio.sleep(day.settings["obligations"]["warmAfterUs"] / 1e6 + 12.0)
    day.note_crashes()
    return longest


async def main() -> int:
    """Run the case and return its exit code."""
    day = Deployment(HERE, settings(), 7, 67)
    allowed = day.family["emptyForUs"] / 1e6 + SLACK
    try:
        longest = await play(day)
        late = {f"{key[0]} {key[1]}": round(s, 2) for key, s in longest.items() if s > allowed}
        most = max(longest.values(), default=0.0)
        for proxy in day.proxies:
            tables = {name: sorted(table) for name, table in proxy.tables.items()}
            shut_out = sorted(proxy.ejected)
            day.record("at the end", proxy=proxy.number, tables=tables, shut_out=shut_out)
        day.record("result", longest=round(most, 2), allowed=allowed, late=late, ends=day.ended)
        print(f"longest without a line {most:.2f} s, allowed {allowed} s, proxies {len(late)}")
        return 2 if day.ended else int(bool(late))
    finally:
        await day.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
