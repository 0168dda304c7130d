"""The timer wheel beside the heap, in one run: `python -m peatlead.benchmarks.wheel`."""

import json
import random
import time

from ..lab.timer_wheel import HeapTimers, WheelTimers


def work(made, held, many, seed):
    """Seconds for `many` pushes and pops with `held` timers standing, as a day has them: most near, few far."""
    draw = random.Random(seed)
    aheads = [
        draw.choice((0.0002, 0.001, 0.001, 0.1, 1.0, 5.0, 60.0)) * draw.random()
        for _ in range(many + held)
    ]
    now = 0.0
    for ahead in aheads[:held]:
        made.push(ahead, None)
    start = time.perf_counter()
    for ahead in aheads[held:]:
        made.push(now + ahead, None)
        now = made.pop()[0]
    return time.perf_counter() - start


def main():
    for held in (100, 10_000, 100_000):
        seconds = {"heap": [], "wheel": []}
        for seed in range(5):
            for name, kind in (("heap", HeapTimers), ("wheel", WheelTimers)):
                seconds[name].append(work(kind(), held, 100_000, seed))
        best = {name: min(one) for name, one in seconds.items()}
        print(
            json.dumps(
                {
                    "standing": held,
                    **{f"{name} us a pair": round(one * 10, 2) for name, one in best.items()},
                    "wheel / heap": round(best["wheel"] / best["heap"], 2),
                }
            )
        )


if __name__ == "__main__":
    main()
