"""Membership at 3, 10 and 50 controllers, without sockets: `python -m peatlead.benchmarks.members`.

Measures how long it takes until all members know all, and until all know of a death, and what each
member sends and costs meanwhile, on the lab's simulated network.
"""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from ..lab.members import MembershipNetwork

SIZES = (3, 10, 50)
SEEDS = 9
STEADY = 20.0  # simulated seconds without a change
POLL = 0.05  # simulated seconds
TIMEOUT = 60.0  # simulated seconds


class Figures(NamedTuple):
    """What one run measured; rates are by second and member."""

    joined: float  # seconds until all knew all
    death_known: float  # seconds until all knew of a death
    rejoined: float  # seconds until the restarted member was known again
    messages: float
    size: float  # bytes
    cpu: float  # seconds, with the simulated network's own


def seconds_until(net: MembershipNetwork, reached: Callable[[], bool]) -> float:
    """Run until a state is reached or the timeout is over; returns the simulated seconds."""
    start = net.now
    while not reached() and net.now - start < TIMEOUT:
        net.run(POLL)
    return float(round(net.now - start, 2))


def measure(size: int, seed: int) -> Figures:
    """Let members join, run undisturbed, lose one of them and get it back."""
    net = MembershipNetwork(size, seed)
    joined = seconds_until(net, lambda: bool(net.agreed(sorted(net.nodes))))
    messages_before = net.messages_sent
    bytes_before = net.bytes_sent
    start = net.now
    cpu_before = time.process_time()
    net.run(STEADY)
    cpu = time.process_time() - cpu_before
    messages = net.messages_sent - messages_before
    sent_bytes = net.bytes_sent - bytes_before
    seconds = net.now - start
    net.dead.add("n1")
    death_known = seconds_until(net, lambda: set(net.states_of("n1").values()) == {"dead"})
    net.start("n1")
    rejoined = seconds_until(net, lambda: bool(net.agreed(sorted(net.nodes))))
    return Figures(
        joined,
        death_known,
        rejoined,
        messages / seconds / size,
        sent_bytes / seconds / size,
        cpu / seconds / size,
    )


def main() -> None:
    """Print medians and worst values of all seeds, by the number of members."""
    for size in SIZES:
        runs = [measure(size, seed) for seed in range(SEEDS)]
        median = Figures(*(sorted(column)[len(column) // 2] for column in zip(*runs)))
        worst = Figures(*(max(column) for column in zip(*runs)))
        row = {
            "members": size,
            "all know all, s (median, worst of 9)": [median.joined, worst.joined],
            "all know of a death, s": [median.death_known, worst.death_known],
            "known again, s": [median.rejoined, worst.rejoined],
            "messages a second and member": round(median.messages, 1),
            "bytes a second and member": round(median.size),
            "CPU ms a second and member (with the model's own)": round(median.cpu * 1000, 2),
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
