"""Measures the speed of the lab: `python -m peatlead.benchmarks.lab_speed [PROFILE]`.

With any argument, the smallest size is profiled instead.
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

PROFILED_LENGTH = 10  # simulated seconds
PROFILE_LINES = 25  # functions in the printed profile


class Size(NamedTuple):
    """The size of a simulated fleet, its load and the simulated time."""

    endpoints: int
    proxies: int
    rate: int  # requests per second
    length: int  # simulated seconds


SIZES = {
    "24 / 80": Size(24, 80, 300, 20),
    "82 / 291": Size(82, 291, 1000, 8),
    "1000 / 3000": Size(1000, 3000, 1000, 2),
}


def load_size(size: Size) -> Any:
    """Return the scenario of a size."""
    return load_day(
        "speed",
        f"""
day(length = {size.length}, seed = 1, stewards = 3)
fleet(hosts = {size.endpoints}, zones = ["a", "b", "c"])
desks(views = 0, shared = 0)
agents(many = {size.proxies}, rate = {size.rate})
""",
    )


def measure(name: str, size: Size) -> dict[str, Any]:
    """Play a day of one size; returns its speed and memory."""
    start = time.process_time()
    result = play_day(load_size(size), 1)
    cpu_time = time.process_time() - start
    requests = sum(row.kind == "req" for row in result.rows)
    return {
        "hosts / agents": name,
        "requests per second": size.rate,
        "simulated seconds": round(result.end_time, 1),
        "CPU seconds": round(cpu_time, 1),
        "simulated seconds per CPU second": round(result.end_time / cpu_time, 2),
        "us per request": round(cpu_time / requests * 1e6),
        "deliveries": result.event_count,
        "problems": result.problems,
        "peak MB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def profile() -> None:
    """Print a CPU profile of the smallest size."""
    profiler = cProfile.Profile()
    size = SIZES["24 / 80"]._replace(length=PROFILED_LENGTH)
    profiler.runcall(play_day, load_size(size), 1)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> None:
    """Measure all sizes, or profile the smallest if the command line has an argument."""
    if len(sys.argv) > 1:
        profile()
        return
    for name, size in SIZES.items():
        print(json.dumps(measure(name, size)), flush=True)


if __name__ == "__main__":
    main()
