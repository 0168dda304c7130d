"""How fast the lab runs, and what bounds it: `python -m peatlead.benchmarks.lab_speed [PROFILE]`.

With any argument the smallest size is profiled instead.
"""

import cProfile
import json
import pstats
import resource
import sys
import time
from typing import Any, NamedTuple

from ..lab.day import play_day
from ..scenario.script import load_day

PROFILED_SECONDS = 10  # simulated
PROFILE_LINES = 25


class Size(NamedTuple):
    """A fleet of the lab, its load and how long it is simulated."""

    hosts: int
    agents: int
    rate: int  # requests a second
    length: int  # simulated seconds


SIZES = {
    "24 / 80": Size(24, 80, 300, 20),
    "82 / 291": Size(82, 291, 1000, 8),
    "1000 / 3000": Size(1000, 3000, 1000, 2),
}


def load_size(size: Size) -> Any:
    """Return the day of a size, as the lab plays it."""
    return load_day(
        "speed",
        f"""
day(length = {size.length}, seed = 1, stewards = 3)
fleet(hosts = {size.hosts}, zones = ["a", "b", "c"])
desks(views = 0, shared = 0)
agents(many = {size.agents}, rate = {size.rate})
""",
    )


def measure(name: str, size: Size) -> dict[str, Any]:
    """Play one size and return what it cost."""
    start = time.process_time()
    played = play_day(load_size(size), 1)
    spent = time.process_time() - start
    requests = sum(row.kind == "req" for row in played.rows)
    return {
        "hosts / agents": name,
        "reqs a second": size.rate,
        "simulated seconds": round(played.seconds, 1),
        "cpu seconds": round(spent, 1),
        "simulated a cpu second": round(played.seconds / spent, 2),
        "us a req": round(spent / requests * 1e6),
        "deliveries": played.events,
        "finds": played.problems,
        "peak MB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def profile() -> None:
    """Print where the time of the smallest size goes."""
    profiler = cProfile.Profile()
    size = SIZES["24 / 80"]._replace(length=PROFILED_SECONDS)
    profiler.runcall(play_day, load_size(size), 1)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> None:
    """Measure all sizes, or profile one."""
    if len(sys.argv) > 1:
        profile()
        return
    for name, size in SIZES.items():
        print(json.dumps(measure(name, size)), flush=True)


if __name__ == "__main__":
    main()
