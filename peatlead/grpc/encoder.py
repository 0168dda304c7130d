"""A ClusterLoadAssignment's bytes put together from parts that are encoded once. Pure.

A thousand proxies are told of one host in almost the same words: its LbEndpoint with its weight is encoded once and
joined into each proxy's message, in the order and form that protobuf's deterministic serialization gives (tested
against it). Source: the protocol buffers encoding (varints, tags, length-delimited fields);
envoy.config.endpoint.v3 field numbers.
"""

from functools import lru_cache

from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from google.protobuf.wrappers_pb2 import UInt32Value

KEPT = 65_536  # parts; the one that was used longest ago makes room


def varint(value):
    found = bytearray()
    while value > 0x7F:
        found.append(value & 0x7F | 0x80)
        value >>= 7
    found.append(value)
    return bytes(found)


def field(number, data):
    """A length-delimited field."""
    return varint(number << 3 | 2) + varint(len(data)) + data


CLUSTER_NAME, ENDPOINTS, POLICY = 1, 2, 4  # of ClusterLoadAssignment
LOCALITY, LB_ENDPOINTS, WEIGHT = 1, 2, 3  # of LocalityLbEndpoints


@lru_cache(KEPT)
def endpoint(address, port, weight):
    """One LbEndpoint as a field of its locality; weight in whole units, above 0."""
    made = endpoint_components_pb2.LbEndpoint()
    made.endpoint.address.socket_address.address = address
    made.endpoint.address.socket_address.port_value = port
    made.load_balancing_weight.value = weight
    return field(LB_ENDPOINTS, made.SerializeToString(deterministic=True))


@lru_cache(KEPT)
def locality(zone):
    return field(LOCALITY, base_pb2.Locality(zone=zone).SerializeToString(deterministic=True))


@lru_cache(KEPT)
def total(weight):
    return field(WEIGHT, UInt32Value(value=weight).SerializeToString(deterministic=True))


@lru_cache(KEPT)
def policy(dropped):
    """What is let in less, in millionths."""
    made = endpoint_pb2.ClusterLoadAssignment.Policy()
    drop = made.drop_overloads.add(category="level")
    drop.drop_percentage.numerator = dropped
    drop.drop_percentage.denominator = 2  # MILLION
    return field(POLICY, made.SerializeToString(deterministic=True))


def assignment(kind, zones, dropped=0):
    """The bytes for {zone: [(address, port, whole weight)]}, in the order given; `dropped` in millionths."""
    parts = [field(CLUSTER_NAME, kind.encode())]
    for zone, lines in zones.items():
        parts.append(
            field(
                ENDPOINTS,
                b"".join(
                    [
                        locality(zone),
                        *[endpoint(*line) for line in lines],
                        total(sum(line[2] for line in lines)),
                    ]
                ),
            )
        )
    if dropped:
        parts.append(policy(dropped))
    return b"".join(parts)
