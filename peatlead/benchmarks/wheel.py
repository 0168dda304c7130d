"""The timer wheel beside the heap, in one run: `python -m peatlead.benchmarks.wheel`."""

import json
import random
import time
from typing import Union

from ..lab.timer_wheel import HeapTimers, WheelTimers

PAIRS = 100_000  # pushes and pops of one measurement
SEEDS = 5
STANDING = (100, 10_000, 100_000)  # timers
# Seconds that timers of a simulated day are ahead: most are near.
AHEAD = (0.0002, 0.001, 0.001, 0.1, 1.0, 5.0, 60.0)

Timers = Union[HeapTimers[None], WheelTimers[None]]


def measure(timers: Timers, standing: int, pairs: int, seed: int) -> float:
    """Return the seconds that pairs of a push and a pop take while `standing` timers wait."""
    rng = random.Random(seed)
    ahead = [rng.choice(AHEAD) * rng.random() for _ in range(pairs + standing)]
    now = 0.0
    for delay in ahead[:standing]:
        timers.push(delay, None)
    start = time.perf_counter()
    for delay in ahead[standing:]:
        timers.push(now + delay, None)
        due = timers.pop()
        if due is not None:
            now = due[0]
    return time.perf_counter() - start


def main() -> None:
    """Print the best time of each structure, by the number of standing timers."""
    for standing in STANDING:
        seconds: dict[str, list[float]] = {"heap": [], "wheel": []}
        for seed in range(SEEDS):  # in turn, so that the machine's other load affects both
            seconds["heap"].append(measure(HeapTimers(), standing, PAIRS, seed))
            seconds["wheel"].append(measure(WheelTimers(), standing, PAIRS, seed))
        best = {name: min(values) for name, values in seconds.items()}
        row: dict[str, float] = {"standing": standing}
        for name, value in best.items():
            row[f"{name} us a pair"] = round(value * 1e6 / PAIRS, 2)
        row["wheel / heap"] = round(best["wheel"] / best["heap"], 2)
        print(json.dumps(row))


if __name__ == "__main__":
    main()
