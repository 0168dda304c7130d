"""Assignments from parts encoded once against protobuf's own way: `python -m peatlead.benchmarks.encoding`"""

import json
import time
from random import Random

from envoy.config.endpoint.v3 import endpoint_pb2

from ..grpc.resources import WeightedEndpoint, encode_assignment
from ..tables.version import MILLION, quantize_weight


def write_whole(kind, lines, level):
    """The plain way: all of it by protobuf, each time."""
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=kind)
    for zone in sorted({line.zone for line in lines}):
        group = made.endpoints.add()
        group.locality.SetInParent()
        group.locality.zone = zone
        total = 0
        for line in sorted(line for line in lines if line.zone == zone):
            one = group.lb_endpoints.add()
            one.endpoint.address.socket_address.address = line.address
            one.endpoint.address.socket_address.port_value = line.port
            one.load_balancing_weight.value = quantize_weight(line.weight)
            total += one.load_balancing_weight.value
        group.load_balancing_weight.value = total
    if level < 1:
        drop = made.policy.drop_overloads.add(category="level")
        drop.drop_percentage.numerator = round((1 - level) * MILLION)
        drop.drop_percentage.denominator = 2  # MILLION
    return made.SerializeToString(deterministic=True)


def main():
    chance = Random(1)
    hosts = [
        WeightedEndpoint(f"10.0.{at // 250}.{at % 250}", 80, "abc"[at % 3], 1.0)
        for at in range(1000)
    ]
    tables = [chance.sample(hosts, 9) for _ in range(3000)]
    spent = {}
    for _ in range(6):  # turn by turn: the machine's moods strike both
        for name, write in (("plain", write_whole), ("parts", encode_assignment)):
            start = time.process_time()
            for table in tables:
                write("look", table, 0.9)
            spent.setdefault(name, []).append((time.process_time() - start) / len(tables) * 1e6)
    best = {name: round(min(found), 1) for name, found in spent.items()}
    print(
        json.dumps(
            {"us a table of 9 lines": best, "ratio": round(best["plain"] / best["parts"], 2)}
        )
    )


if __name__ == "__main__":
    main()
