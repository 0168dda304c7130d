"""What a proxy holds, as published resources, and back. Pure: protobuf in and out.

One cluster a request kind. Its lines are a ClusterLoadAssignment by zone and weight, its level a drop
percentage there; second tries are a route's retry policy. Sources: envoy.config.endpoint.v3,
envoy.config.route.v3, the xDS transport protocol.
"""

from typing import NamedTuple

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf.message import DecodeError

ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
ROUTES_NAME = "peatlead"
MILLION = 1_000_000
SCALE = 1000  # of a weight, so that ramps and fractions show: published weights are whole
# What may be tried again, in the proxies' own words; how often.
RETRY = {"never": ("", 0), "unstarted": ("connect-failure,refused-stream", 1), "once": ("5xx,reset", 1),
         "twice": ("5xx,reset", 2)}
RETRY_BACK = {value: name for name, value in RETRY.items()}


class Line(NamedTuple):
    address: str
    port: int
    zone: str
    weight: float


def write_lines(kind, lines, level):
    """A ClusterLoadAssignment's bytes for [Line] and a level from 0 to 1."""
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=kind)
    for zone in sorted({line.zone for line in lines}):
        group = made.endpoints.add()
        group.locality.zone = zone
        total = 0
        for line in sorted(line for line in lines if line.zone == zone):
            one = group.lb_endpoints.add()
            one.endpoint.address.socket_address.address = line.address
            one.endpoint.address.socket_address.port_value = line.port
            one.load_balancing_weight.value = max(1, round(line.weight * SCALE))
            total += one.load_balancing_weight.value
        group.load_balancing_weight.value = total
    if level < 1:
        drop = made.policy.drop_overloads.add(category="level")
        drop.drop_percentage.numerator = round((1 - level) * MILLION)
        drop.drop_percentage.denominator = 2  # MILLION
    return made.SerializeToString(deterministic=True)


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
            if not place.address or not 0 < place.port_value < 65536 or not one.load_balancing_weight.value:
                raise ValueError(f"{said.cluster_name}: expected an address, a port and a weight above 0")
            lines.append(Line(place.address, place.port_value, group.locality.zone,
                              one.load_balancing_weight.value / SCALE))
    for drop in said.policy.drop_overloads:
        level *= 1 - drop.drop_percentage.numerator / (100, 10_000, MILLION)[drop.drop_percentage.denominator]
    return said.cluster_name, lines, level


def write_routes(retries):
    """A RouteConfiguration's bytes for {kind: retry}."""
    made = route_pb2.RouteConfiguration(name=ROUTES_NAME)
    host = made.virtual_hosts.add(name=ROUTES_NAME, domains=["*"])
    for kind, retry in sorted(retries.items()):
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
                raise ValueError(f"{route.route.cluster}: expected a known retry policy, got {policy.retry_on!r}")
            found[route.route.cluster] = retry
    return found
