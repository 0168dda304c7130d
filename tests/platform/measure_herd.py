"""Measures the herd of test_restorations on simulated time.

    python -m tests.platform.measure_herd PROXIES FIRST_SEED SEEDS

Prints for each seed the lines that controllers wrote, how many of them restore endpoints, the
longest queue as a fraction of its limit, and the longest drain in seconds; then means and maxima.
"""

import json
import sys
from statistics import fmean

from peatlead.benchmarks.channel_lines import count_lines

from ..simulated_platform import SimulatedPlatform
from .test_restorations import HERD, kill_most_controllers_in_a_release


def measure(seed, proxies):
    """Play the herd, and return its figures."""
    fleet = SimulatedPlatform(seed, proxies=proxies, **HERD)
    counts = count_lines(fleet)
    fleet.play(kill_most_controllers_in_a_release)
    longest_queue = max(channel.max_waiting for channel in fleet.channels.values())
    return {
        "lines": counts["lines"],
        "restorations": counts["restorations"],
        "messages": counts["messages"],
        "queue": round(longest_queue / HERD["queue_most"], 2),
        "drain": round(fleet.longest_drain, 2),
        "empty": round(fleet.longest_empty, 2),
        "ejected": len(fleet.ejected_entries()),
    }


def main():
    """Print the figures of each seed, and their means and maxima."""
    proxies, first_seed, seeds = (int(argument) for argument in sys.argv[1:])
    plays = []
    for seed in range(first_seed, first_seed + seeds):
        plays.append(measure(seed, proxies))
        print(json.dumps({"seed": seed, **plays[-1]}), flush=True)
    for summarize in (fmean, max):
        figures = {name: round(summarize([play[name] for play in plays]), 2) for name in plays[0]}
        print(json.dumps({summarize.__name__: figures}))


if __name__ == "__main__":
    main()
