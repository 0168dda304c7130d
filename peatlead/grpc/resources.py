"""What a proxy holds, as published resources, and back. Pure: protobuf in and out.

One cluster a request kind. Its lines are a ClusterLoadAssignment by zone and weight, its level a drop
percentage there; second tries are a route's retry policy. Sources: envoy.config.endpoint.v3,
envoy.config.route.v3, the xDS transport protocol.
"""

from functools import lru_cache
from typing import NamedTuple

from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf.message import DecodeError

from ..tables.version import MILLION, SCALE, read_line_key, whole_weight
from .encoder import assignment

ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
LINES = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
ROUTES_NAME = "peatlead"
LINE_NAMES = "xdstp://peatlead/envoy.config.endpoint.v3.LbEndpoint/"
# What may be tried again, in the proxies' own words; how often.
RETRY = {
    "never": ("", 0),
    "unstarted": ("connect-failure,refused-stream", 1),
    "once": ("5xx,reset", 1),
    "twice": ("5xx,reset", 2),
}
RETRY_BACK = {value: name for name, value in RETRY.items()}


class Line(NamedTuple):
    address: str
    port: int
    zone: str
    weight: float


def write_lines(kind, lines, level):
    """A ClusterLoadAssignment's bytes for [Line] and a level from 0 to 1."""
    zones = {}
    for line in sorted(lines, key=lambda one: (one.zone, one)):
        zones.setdefault(line.zone, []).append((line.address, line.port, whole_weight(line.weight)))
    return assignment(kind, zones, round((1 - level) * MILLION) if level < 1 else 0)


def read_lines(data):
    """(kind, [Line], level) of a ClusterLoadAssignment. Raises ValueError with what was expected."""
    try:
        said = endpoint_pb2.ClusterLoadAssignment.FromString(data)
    except DecodeError:
        raise ValueError("expected a ClusterLoadAssignment") from None
    lines, level = [], 1.0
    for group in said.endpoints:
        for one in group.lb_endpoints:
            place = one.endpoint.address.socket_address
            if (
                not place.address
                or not 0 < place.port_value < 65536
                or not one.load_balancing_weight.value
            ):
                raise ValueError(
                    f"{said.cluster_name}: expected an address, a port and a weight above 0"
                )
            lines.append(
                Line(
                    place.address,
                    place.port_value,
                    group.locality.zone,
                    one.load_balancing_weight.value / SCALE,
                )
            )
    for drop in said.policy.drop_overloads:
        level *= (
            1
            - drop.drop_percentage.numerator
            / (100, 10_000, MILLION)[drop.drop_percentage.denominator]
        )
    return said.cluster_name, lines, level


def write_routes(retries):
    """A RouteConfiguration's bytes for {kind: retry}."""
    return routes(tuple(sorted(retries.items())))


@lru_cache(1024)
def routes(retries):
    """All proxies of a steward are told the same: encoded once."""
    made = route_pb2.RouteConfiguration(name=ROUTES_NAME)
    host = made.virtual_hosts.add(name=ROUTES_NAME, domains=["*"])
    for kind, retry in retries:
        route = host.routes.add()
        route.match.path = "/" + kind
        route.route.cluster = kind
        on, many = RETRY[retry]
        if many:
            route.route.retry_policy.retry_on = on
            route.route.retry_policy.num_retries.value = many
    return made.SerializeToString(deterministic=True)


def read_routes(data):
    """{kind: retry}. Raises ValueError."""
    try:
        said = route_pb2.RouteConfiguration.FromString(data)
    except DecodeError:
        raise ValueError("expected a RouteConfiguration") from None
    found = {}
    for host in said.virtual_hosts:
        for route in host.routes:
            policy = route.route.retry_policy
            retry = RETRY_BACK.get((policy.retry_on, policy.num_retries.value))
            if retry is None:
                raise ValueError(
                    f"{route.route.cluster}: expected a known retry policy, got {policy.retry_on!r}"
                )
            found[route.route.cluster] = retry
    return found


# Items one by one, for the incremental variant. A line's name is its collection's (kind and zone) and its place.


def resource_name(key):
    part, _, rest = key.partition("/")
    return LINE_NAMES + rest if part == "line" else rest


def read_resource_name(type_url, name):
    """An item's key. Raises ValueError."""
    if type_url == LINES:
        if not name.startswith(LINE_NAMES):
            raise ValueError(f"expected {LINE_NAMES}KIND/ZONE/ADDRESS:PORT, got {name[:200]!r}")
        key = "line/" + name[len(LINE_NAMES) :]
        read_line_key(key)
        return key
    if not name or len(name) > 200:
        raise ValueError(f"expected the name of a request kind, got {name[:200]!r}")
    return ("level/" if type_url == ENDPOINTS else "retry/") + name


def write_value(key, value, zones=()):
    """A resource's bytes: an LbEndpoint, or a kind's ClusterLoadAssignment (whose lines are a collection of their
    own in each zone) or RouteConfiguration."""
    part, _, rest = key.partition("/")
    if part == "line":
        _, _, address, port = read_line_key(key)
        made = endpoint_components_pb2.LbEndpoint()
        made.endpoint.address.socket_address.address = address
        made.endpoint.address.socket_address.port_value = port
        made.load_balancing_weight.value = value
        return made.SerializeToString(deterministic=True)
    if part == "level":
        made = endpoint_pb2.ClusterLoadAssignment(cluster_name=rest)
        for zone in zones:
            group = made.endpoints.add()
            group.locality.zone = zone
            group.leds_cluster_locality_config.leds_config.ads.SetInParent()
            group.leds_cluster_locality_config.leds_config.resource_api_version = 2  # V3
            group.leds_cluster_locality_config.leds_collection_name = f"{LINE_NAMES}{rest}/{zone}/*"
        if value < MILLION:
            drop = made.policy.drop_overloads.add(category="level")
            drop.drop_percentage.numerator = MILLION - value
            drop.drop_percentage.denominator = 2  # MILLION
        return made.SerializeToString(deterministic=True)
    return write_routes({rest: value})


def read_value(key, data):
    """An item's value of its resource's bytes. Raises ValueError with what was expected."""
    part, _, rest = key.partition("/")
    if part == "retry":
        found = read_routes(data)
        if list(found) != [rest]:
            raise ValueError(f"expected the route of {rest}, got {', '.join(found)[:200]!r}")
        return found[rest]
    if part == "level":
        return round(read_lines(data)[2] * MILLION)
    try:
        said = endpoint_components_pb2.LbEndpoint.FromString(data)
    except DecodeError:
        raise ValueError("expected an LbEndpoint") from None
    _, _, address, port = read_line_key(key)
    place = said.endpoint.address.socket_address
    if (place.address, place.port_value) != (address, port) or not said.load_balancing_weight.value:
        raise ValueError(
            f"expected {address}:{port} and a weight above 0, got {place.address}:{place.port_value}"
        )
    return said.load_balancing_weight.value
