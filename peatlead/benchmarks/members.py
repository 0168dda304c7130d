"""Membership of 3, 10 and 50 controllers, without sockets: `python -m peatlead.benchmarks.members`.

Measures on the lab's simulated network how long it takes until all members know each other and
until all know that one of them died, and the messages, bytes and CPU time of each member.
"""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from ..lab.members import MembershipNetwork

SIZES = (3, 10, 50)
SEEDS = 9
STEADY_TIME = 20.0  # simulated seconds without a change
POLL_INTERVAL = 0.05  # simulated seconds
TIMEOUT = 60.0  # simulated seconds


class Measurement(NamedTuple):
    """The measurements of one run. Rates are per second and member."""

    joined: float  # seconds until all members knew each other
    death_known: float  # seconds until all knew that a member died
    rejoined: float  # seconds until all knew the restarted member
    messages: float
    size: float  # bytes
    cpu: float  # seconds, including the simulated network


def seconds_until(network: MembershipNetwork, condition: Callable[[], bool]) -> float:
    """Run until a condition holds, at most TIMEOUT; returns the simulated seconds."""
    start = network.now
    while not condition() and network.now - start < TIMEOUT:
        network.run(POLL_INTERVAL)
    return float(round(network.now - start, 2))


def measure(size: int, seed: int) -> Measurement:
    """Start members, run them without a change, then kill and restart one of them."""
    network = MembershipNetwork(size, seed)
    joined = seconds_until(network, lambda: bool(network.members_agree(sorted(network.nodes))))
    messages_before = network.messages_sent
    bytes_before = network.bytes_sent
    start = network.now
    cpu_before = time.process_time()
    network.run(STEADY_TIME)
    cpu = time.process_time() - cpu_before
    messages = network.messages_sent - messages_before
    sent_bytes = network.bytes_sent - bytes_before
    seconds = network.now - start
    network.dead.add("n1")
    death_known = seconds_until(
        network, lambda: set(network.member_states("n1").values()) == {"dead"}
    )
    network.start("n1")
    rejoined = seconds_until(network, lambda: bool(network.members_agree(sorted(network.nodes))))
    return Measurement(
        joined,
        death_known,
        rejoined,
        messages / seconds / size,
        sent_bytes / seconds / size,
        cpu / seconds / size,
    )


def main() -> None:
    """Print the medians and maxima over all seeds, by the number of members."""
    for size in SIZES:
        runs = [measure(size, seed) for seed in range(SEEDS)]
        median = Measurement(*(sorted(column)[len(column) // 2] for column in zip(*runs)))
        maximum = Measurement(*(max(column) for column in zip(*runs)))
        row = {
            "members": size,
            "all members known, s (median, max of 9)": [median.joined, maximum.joined],
            "death known to all, s": [median.death_known, maximum.death_known],
            "restart known to all, s": [median.rejoined, maximum.rejoined],
            "messages per second and member": round(median.messages, 1),
            "bytes per second and member": round(median.size),
            "CPU ms per second and member (including the simulated network)": round(
                median.cpu * 1000, 2
            ),
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
