"""Measures the lines that controllers write on their channels in a herd and in a release.

    python -m peatlead.benchmarks.channel_lines [PLAYS]

Controllers run as real processes on loopback. In the herd, three of four controllers are killed
while endpoints drain. In the release, half of the endpoints are replaced in steps while the
controllers are restarted one after the other. Printed for each play: the lines written, how many of
them restore endpoints, the longest queue, the longest time that a proxy could reach a draining
endpoint, and the pairs of proxy and listed endpoint that are ejected at the end.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from ..scenario.runner import free_port
from ..standin.platform_discovery import ACTIVE
from ..standin.platform_fleet import Fleet, FleetPlan
from ..standin.platform_proxies import MessagePart, count_entries

PLAYS = 3
CONTROLLERS = 4
PROXIES = 320
ENDPOINTS = 40
DRAIN_GRACE = 3.0  # seconds
SETTLING_TIME = 10.0  # seconds after the last event
RETURN_DELAY = 4.0  # seconds until a proxy returns to its own controller, in a release
START_TIMEOUT = 60.0  # seconds for all proxies to receive tables
RELEASE_STEPS = 10
STEP_INTERVAL = 1.0  # seconds
DRAIN_TIME = 0.7  # seconds from the drain of an endpoint until it has left
MICROSECONDS = 1_000_000

SETTINGS: dict[str, Any] = {
    "balancers": CONTROLLERS,
    "rank": 0,
    "locality": 0,
    "zones": ["z0", "z1"],
    "kinds": ["m"],
    "classes": [
        {
            "name": "read",
            "targetUs": 800_000,
            "deadlineUs": 2_500_000,
            "repeat": "repeatable",
            "worth": 2.0,
        },
        {
            "name": "pay",
            "targetUs": 500_000,
            "deadlineUs": 1_200_000,
            "repeat": "once",
            "worth": 6.0,
        },
    ],
    "familyInfo": {
        "dataPlaneSize": PROXIES,
        "channelRate": 3200.0,
        "perMessage": 6.0,
        "pendingMax": 8800.0,
        "emptyForUs": 4_400_000,
        "lateMostUs": 300_000,
    },
    "obligations": {
        "drainGraceUs": DRAIN_GRACE * MICROSECONDS,
        "warmAfterUs": 15 * MICROSECONDS,
    },
}


def count_lines(fleet: Fleet) -> Counter[str]:
    """Return counts that follow all messages that enter the fleet's channels from now on."""
    counts: Counter[str] = Counter()

    def count_message(enqueue: Callable[..., None]) -> Callable[..., None]:
        def counting_enqueue(now: float, stream: Any, parts: list[MessagePart]) -> None:
            counts["messages"] += 1
            counts["lines"] += count_entries(parts)
            counts["restorations"] += sum(len(part.get("restore", ())) for part in parts)
            counts["whole tables"] += sum(bool(part.get("full")) for part in parts)
            enqueue(now, stream, parts)

        return counting_enqueue

    for channel in fleet.channels.values():
        channel.enqueue = count_message(channel.enqueue)  # type: ignore[method-assign]
    return counts


async def play_herd(fleet: Fleet) -> None:
    """Kill all controllers but one while endpoints drain."""
    for first in range(0, 18, 6):
        fleet.update_endpoints(
            [fleet.endpoint_entry(number, "leaving") for number in range(first, first + 6)]
        )
        if first == 0:
            for name in fleet.controller_names[:-1]:
                fleet.kill(name)
        await asyncio.sleep(0.8)


async def play_release(fleet: Fleet) -> None:
    """Replace half of the endpoints, and restart each controller meanwhile."""
    numbers = list(range(ENDPOINTS // 2))
    for step in range(RELEASE_STEPS):
        replaced = numbers[step::RELEASE_STEPS]
        fleet.update_endpoints([fleet.endpoint_entry(number, "leaving") for number in replaced])
        if step % 2 == 0 and step // 2 < CONTROLLERS:
            name = fleet.controller_names[step // 2]
            fleet.kill(name)
            fleet.restart(name)
        await asyncio.sleep(DRAIN_TIME)
        fleet.update_endpoints([fleet.endpoint_entry(number, "left") for number in replaced])
        started = {"startedAtMs": 1000 * time.time()}
        fleet.update_endpoints(
            [{**fleet.endpoint_entry(number + ENDPOINTS), **started} for number in replaced]
        )
        await asyncio.sleep(STEP_INTERVAL - DRAIN_TIME)


def count_ejected(fleet: Fleet) -> int:
    """Count the pairs of a proxy and a listed endpoint in its tables that the proxy ejects."""
    listed = {
        name
        for name, endpoint in fleet.endpoint_list.endpoints.items()
        if endpoint["lifecycle"] == ACTIVE
    }
    return sum(
        len(proxy.ejected & listed & set().union(*proxy.tables.values())) for proxy in fleet.proxies
    )


async def play(
    course: Callable[[Fleet], Awaitable[None]], return_delay: float, seed: int
) -> dict[str, Any]:
    """Play a course with a new fleet, and return the measurements."""
    with tempfile.TemporaryDirectory() as folder:
        plan = FleetPlan(
            CONTROLLERS, PROXIES, ENDPOINTS, free_port(), return_delay=return_delay, seed=seed
        )
        fleet = Fleet(SETTINGS, plan, folder)
        try:
            await fleet.start()
            async with asyncio.timeout(START_TIMEOUT):
                while not all(proxy.received_full_table for proxy in fleet.proxies):
                    await asyncio.sleep(0.1)
            await asyncio.sleep(SETTLING_TIME)
            counts = count_lines(fleet)
            await course(fleet)
            await asyncio.sleep(SETTLING_TIME)
            report = fleet.drain_report(DRAIN_GRACE)
            return {
                **counts,
                "longest queue / limit": round(
                    report.max_waiting / SETTINGS["familyInfo"]["pendingMax"], 3
                ),
                "longest drain s": round(report.longest, 2),
                "late drains": len(report.late_withdrawals),
                "ejected at the end": count_ejected(fleet),
            }
        finally:
            fleet.stop()
            await asyncio.sleep(0.1)


def main() -> None:
    """Play both courses, and print one line of JSON for each play."""
    plays = int(sys.argv[1]) if len(sys.argv) > 1 else PLAYS
    for course, return_delay in ((play_herd, 0.0), (play_release, RETURN_DELAY)):
        for seed in range(1, plays + 1):
            figures = asyncio.run(play(course, return_delay, seed))
            print(json.dumps({"course": course.__name__.removeprefix("play_"), **figures}))


if __name__ == "__main__":
    main()
