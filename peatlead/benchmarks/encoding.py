"""Compares assignments assembled from cached parts with protobuf's own serialization.

`python -m peatlead.benchmarks.encoding` prints microseconds of CPU time per table.
"""

import json
import time
from collections.abc import Sequence
from random import Random

from envoy.config.endpoint.v3 import endpoint_pb2

from ..grpc.resources import WeightedEndpoint, encode_assignment
from ..tables.version import MILLION, quantize_weight

ENDPOINTS = 1000
TABLES = 3000
TABLE_ENTRIES = 9
ADMITTED_FRACTION = 0.9
ROUNDS = 6


def encode_with_protobuf(
    request_class: str, entries: Sequence[WeightedEndpoint], admitted_fraction: float
) -> bytes:
    """Serialize an assignment with protobuf alone, as the reference for `encode_assignment`."""
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=request_class)
    for zone in sorted({entry.zone for entry in entries}):
        locality = assignment.endpoints.add()
        locality.locality.SetInParent()
        locality.locality.zone = zone
        total = 0
        for entry in sorted(entry for entry in entries if entry.zone == zone):
            endpoint = locality.lb_endpoints.add()
            endpoint.endpoint.address.socket_address.address = entry.address
            endpoint.endpoint.address.socket_address.port_value = entry.port
            endpoint.load_balancing_weight.value = quantize_weight(entry.weight)
            total += endpoint.load_balancing_weight.value
        locality.load_balancing_weight.value = total
    if admitted_fraction < 1:
        drop = assignment.policy.drop_overloads.add(category="level")
        drop.drop_percentage.numerator = round((1 - admitted_fraction) * MILLION)
        drop.drop_percentage.denominator = 2  # MILLION
    serialized: bytes = assignment.SerializeToString(deterministic=True)
    return serialized


def main() -> None:
    """Print the shortest time of each encoder, and the ratio of the two."""
    rng = Random(1)
    endpoints = [
        WeightedEndpoint(f"10.0.{number // 250}.{number % 250}", 80, "abc"[number % 3], 1.0)
        for number in range(ENDPOINTS)
    ]
    tables = [rng.sample(endpoints, TABLE_ENTRIES) for _ in range(TABLES)]
    microseconds: dict[str, list[float]] = {"plain": [], "parts": []}
    for _ in range(ROUNDS):  # alternating, so that other load of the machine affects both
        for name, encode in (("plain", encode_with_protobuf), ("parts", encode_assignment)):
            start = time.process_time()
            for table in tables:
                encode("look", table, ADMITTED_FRACTION)
            microseconds[name].append((time.process_time() - start) / TABLES * 1e6)
    shortest = {name: round(min(values), 1) for name, values in microseconds.items()}
    ratio = round(shortest["plain"] / shortest["parts"], 2)
    print(json.dumps({"us per table of 9 entries": shortest, "ratio": ratio}))


if __name__ == "__main__":
    main()
