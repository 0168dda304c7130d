"""Compares the speed of the timer wheel and of the heap: `python -m peatlead.benchmarks.wheel`."""

import json
import random
import time
from typing import Union

from ..lab.timer_wheel import HeapTimers, WheelTimers

PAIRS = 100_000  # of a push and a pop, in one measurement
SEEDS = 5
PENDING_TIMERS = (100, 10_000, 100_000)  # in the queue during a measurement
# Maximum delays of the timers of a simulated day, in seconds: most are short.
DELAYS = (0.0002, 0.001, 0.001, 0.1, 1.0, 5.0, 60.0)

Timers = Union[HeapTimers[None], WheelTimers[None]]


def measure(timers: Timers, pending: int, pairs: int, seed: int) -> float:
    """Return the seconds for `pairs` of a push and a pop while `pending` timers wait."""
    rng = random.Random(seed)
    delays = [rng.choice(DELAYS) * rng.random() for _ in range(pairs + pending)]
    now = 0.0
    for delay in delays[:pending]:
        timers.push(delay, None)
    start = time.perf_counter()
    for delay in delays[pending:]:
        timers.push(now + delay, None)
        due = timers.pop()
        if due is not None:
            now = due[0]
    return time.perf_counter() - start


def main() -> None:
    """Print the shortest time of each structure, by the number of pending timers."""
    for pending in PENDING_TIMERS:
        seconds: dict[str, list[float]] = {"heap": [], "wheel": []}
        for seed in range(SEEDS):  # alternating, so that other load of the machine affects both
            seconds["heap"].append(measure(HeapTimers(), pending, PAIRS, seed))
            seconds["wheel"].append(measure(WheelTimers(), pending, PAIRS, seed))
        best = {name: min(values) for name, values in seconds.items()}
        row: dict[str, float] = {"pending timers": pending}
        for name, value in best.items():
            row[f"{name} us per pair"] = round(value * 1e6 / PAIRS, 2)
        row["wheel / heap"] = round(best["wheel"] / best["heap"], 2)
        print(json.dumps(row))


if __name__ == "__main__":
    main()
