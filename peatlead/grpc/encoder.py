"""Serializes ClusterLoadAssignments from cached parts. No I/O.

Many proxies get the same LbEndpoint for an endpoint. Each LbEndpoint is therefore serialized once
per weight, and the bytes are inserted into the messages of all proxies. The result equals
protobuf's deterministic serialization.

Sources: the protocol buffers encoding (varints, tags, length-delimited fields) and the field
numbers of envoy.config.endpoint.v3.
"""

from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf.wrappers_pb2 import UInt32Value

CACHE_SIZE = 65_536  # parts in each cache; the least recently used part is evicted

LENGTH_DELIMITED = 2  # protobuf wire type

# Field numbers of ClusterLoadAssignment.
CLUSTER_NAME = 1
ENDPOINTS = 2
POLICY = 4

# Field numbers of LocalityLbEndpoints.
LOCALITY = 1
LB_ENDPOINTS = 2
LOAD_BALANCING_WEIGHT = 3

DROP_CATEGORY = "level"

WeightedAddress = tuple[str, int, int]  # address, port, quantized weight above 0


def varint(value: int) -> bytes:
    """Encodes a non-negative integer as a base-128 varint."""
    encoded = bytearray()
    while value > 0x7F:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


def length_delimited(number: int, data: bytes) -> bytes:
    """Encodes a length-delimited field with this field number."""
    return varint(number << 3 | LENGTH_DELIMITED) + varint(len(data)) + data


def _serialize(message: Any) -> bytes:
    data: bytes = message.SerializeToString(deterministic=True)
    return data


@lru_cache(CACHE_SIZE)
def _lb_endpoint(address: str, port: int, weight: int) -> bytes:
    """Encodes one LbEndpoint as a field of its locality."""
    message = endpoint_components_pb2.LbEndpoint()
    message.endpoint.address.socket_address.address = address
    message.endpoint.address.socket_address.port_value = port
    message.load_balancing_weight.value = weight
    return length_delimited(LB_ENDPOINTS, _serialize(message))


@lru_cache(CACHE_SIZE)
def _locality(zone: str) -> bytes:
    return length_delimited(LOCALITY, _serialize(base_pb2.Locality(zone=zone)))


@lru_cache(CACHE_SIZE)
def _locality_weight(weight: int) -> bytes:
    return length_delimited(LOAD_BALANCING_WEIGHT, _serialize(UInt32Value(value=weight)))


@lru_cache(CACHE_SIZE)
def _policy(dropped_millionths: int) -> bytes:
    """Encodes the drop policy; the dropped fraction of the requests is in millionths."""
    message = endpoint_pb2.ClusterLoadAssignment.Policy()
    drop = message.drop_overloads.add(category=DROP_CATEGORY)
    drop.drop_percentage.numerator = dropped_millionths
    drop.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION
    return length_delimited(POLICY, _serialize(message))


def _locality_endpoints(zone: str, endpoints: Sequence[WeightedAddress]) -> bytes:
    total_weight = sum(weight for _, _, weight in endpoints)
    parts = [
        _locality(zone),
        *[_lb_endpoint(*endpoint) for endpoint in endpoints],
        _locality_weight(total_weight),
    ]
    return length_delimited(ENDPOINTS, b"".join(parts))


def assemble_assignment(
    cluster: str,
    endpoints_by_zone: Mapping[str, Sequence[WeightedAddress]],
    dropped_millionths: int = 0,
) -> bytes:
    """Serializes a ClusterLoadAssignment with localities and endpoints in the given order.

    `dropped_millionths`: the fraction of the requests that proxies drop, in millionths.
    """
    parts = [length_delimited(CLUSTER_NAME, cluster.encode())]
    for zone, endpoints in endpoints_by_zone.items():
        parts.append(_locality_endpoints(zone, endpoints))
    if dropped_millionths:
        parts.append(_policy(dropped_millionths))
    return b"".join(parts)
