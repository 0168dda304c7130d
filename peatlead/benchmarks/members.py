"""Membership at 3, 10 and 50 controllers, by the machines alone: `python -m peatlead.benchmarks.members`.

Seconds until all know all, until all know of a death, and what each member sends and costs meanwhile.
"""

import json
import time

from ..lab.members import Net


def until(net, true, most=60.0):
    start = net.now
    while not true() and net.now - start < most:
        net.run(0.05)
    return round(net.now - start, 2)


def measure(many, seed):
    net = Net(many, seed)
    joined = until(net, lambda: net.agreed(sorted(net.nodes)))
    sent, size, start, cpu = net.sent, net.bytes, net.now, time.process_time()
    net.run(20.0)
    cpu = time.process_time() - cpu
    steady = net.sent - sent, net.bytes - size, net.now - start
    net.dead.add("n1")
    died = until(net, lambda: set(net.states("n1").values()) == {"dead"})
    net.start("n1")
    back = until(net, lambda: net.agreed(sorted(net.nodes)))
    return (
        joined,
        died,
        back,
        steady[0] / steady[2] / many,
        steady[1] / steady[2] / many,
        cpu / steady[2] / many,
    )


def main():
    for many in (3, 10, 50):
        found = [measure(many, seed) for seed in range(9)]
        middle = [sorted(column)[len(column) // 2] for column in zip(*found)]
        worst = [max(column) for column in zip(*found)]
        print(
            json.dumps(
                {
                    "members": many,
                    "all know all, s (median, worst of 9)": [middle[0], worst[0]],
                    "all know of a death, s": [middle[1], worst[1]],
                    "known again, s": [middle[2], worst[2]],
                    "messages a second and member": round(middle[3], 1),
                    "bytes a second and member": round(middle[4]),
                    "CPU ms a second and member (with the model's own)": round(middle[5] * 1000, 2),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
