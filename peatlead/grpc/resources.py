"""Encodes the tables of proxies as xDS resources, and decodes them. No I/O.

A cluster is a request class. Its ClusterLoadAssignment lists the endpoints by zone with their
weights, and expresses the admitted fraction as a drop percentage. The retry policy of a request
class is that of its route in the RouteConfiguration.

Sources: envoy.config.endpoint.v3, envoy.config.route.v3, the xDS transport protocol.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Any, NamedTuple

from envoy.config.core.v3 import config_source_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf.message import DecodeError

from ..interface import RetryPolicy
from ..tables.version import MILLION, WEIGHT_SCALE, parse_line_key, quantize_weight
from .encoder import DROP_CATEGORY, WeightedAddress, assemble_assignment

# Type URLs.
ASSIGNMENT_TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTE_TYPE_URL = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
LB_ENDPOINT_TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"

ROUTE_CONFIGURATION_NAME = "peatlead"  # name of the only RouteConfiguration
LB_ENDPOINT_NAME_PREFIX = "xdstp://peatlead/envoy.config.endpoint.v3.LbEndpoint/"
MAX_RESOURCE_NAME = 200  # characters
MAX_PORT = 65535
ROUTE_CACHE_SIZE = 1024
DENOMINATORS = (100, 10_000, MILLION)  # by envoy.type.v3.FractionalPercent.DenominatorType


class RetrySettings(NamedTuple):
    """The fields of a route's retry policy."""

    retry_on: str
    num_retries: int


RETRY_SETTINGS: dict[str, RetrySettings] = {
    RetryPolicy.NEVER: RetrySettings("", 0),
    RetryPolicy.UNSTARTED: RetrySettings("connect-failure,refused-stream", 1),
    RetryPolicy.ONCE: RetrySettings("5xx,reset", 1),
    RetryPolicy.TWICE: RetrySettings("5xx,reset", 2),
}
RETRY_POLICIES = {settings: str(policy) for policy, settings in RETRY_SETTINGS.items()}


class ResourceError(ValueError):
    """A resource or the name of a resource is invalid; the message says what was expected."""


class WeightedEndpoint(NamedTuple):
    """An endpoint of a request class with its weight."""

    address: str
    port: int
    zone: str
    weight: float


def _serialize(message: Any) -> bytes:
    data: bytes = message.SerializeToString(deterministic=True)
    return data


def _parse(message_type: Any, data: bytes, expected: str) -> Any:
    try:
        return message_type.FromString(data)
    except DecodeError:
        raise ResourceError(f"expected {expected}") from None


# Assignments.


def encode_assignment(
    request_class: str, endpoints: Iterable[WeightedEndpoint], admitted_fraction: float
) -> bytes:
    """Serializes a ClusterLoadAssignment; `admitted_fraction` is from 0 to 1."""
    endpoints_by_zone: dict[str, list[WeightedAddress]] = {}
    for endpoint in sorted(endpoints, key=lambda endpoint: (endpoint.zone, endpoint)):
        weighted_address = endpoint.address, endpoint.port, quantize_weight(endpoint.weight)
        endpoints_by_zone.setdefault(endpoint.zone, []).append(weighted_address)
    dropped_millionths = round((1 - admitted_fraction) * MILLION) if admitted_fraction < 1 else 0
    return assemble_assignment(request_class, endpoints_by_zone, dropped_millionths)


def decode_assignment(data: bytes) -> tuple[str, list[WeightedEndpoint], float]:
    """Decodes a ClusterLoadAssignment; returns request class, endpoints and admitted fraction.

    Raises ResourceError.
    """
    assignment = _parse(endpoint_pb2.ClusterLoadAssignment, data, "a ClusterLoadAssignment")
    endpoints = [
        _read_lb_endpoint(assignment.cluster_name, locality.locality.zone, lb_endpoint)
        for locality in assignment.endpoints
        for lb_endpoint in locality.lb_endpoints
    ]
    return assignment.cluster_name, endpoints, _admitted_fraction(assignment.policy)


def _read_lb_endpoint(cluster: str, zone: str, lb_endpoint: Any) -> WeightedEndpoint:
    socket_address = lb_endpoint.endpoint.address.socket_address
    weight = lb_endpoint.load_balancing_weight.value
    valid_port = 0 < socket_address.port_value <= MAX_PORT
    if not socket_address.address or not valid_port or not weight:
        raise ResourceError(f"{cluster}: expected an address, a port and a weight above 0")
    return WeightedEndpoint(
        socket_address.address, socket_address.port_value, zone, weight / WEIGHT_SCALE
    )


def _admitted_fraction(policy: Any) -> float:
    """Returns the fraction of the requests that pass all drop rules of a policy."""
    admitted = 1.0
    for drop in policy.drop_overloads:
        percentage = drop.drop_percentage
        admitted *= 1 - percentage.numerator / DENOMINATORS[percentage.denominator]
    return admitted


# Routes.


def encode_routes(retry_policies: Mapping[str, str]) -> bytes:
    """Serializes a RouteConfiguration with the retry policy of each request class."""
    return _encode_routes(tuple(sorted(retry_policies.items())))


@lru_cache(ROUTE_CACHE_SIZE)
def _encode_routes(retry_policies: tuple[tuple[str, str], ...]) -> bytes:
    """Serializes a RouteConfiguration; cached because all proxies of a controller get the same."""
    message = route_pb2.RouteConfiguration(name=ROUTE_CONFIGURATION_NAME)
    virtual_host = message.virtual_hosts.add(name=ROUTE_CONFIGURATION_NAME, domains=["*"])
    for request_class, policy in retry_policies:
        route = virtual_host.routes.add()
        route.match.path = "/" + request_class
        route.route.cluster = request_class
        settings = RETRY_SETTINGS[policy]
        if settings.num_retries:
            route.route.retry_policy.retry_on = settings.retry_on
            route.route.retry_policy.num_retries.value = settings.num_retries
    return _serialize(message)


def decode_routes(data: bytes) -> dict[str, str]:
    """Decodes a RouteConfiguration; returns the retry policy of each request class.

    Raises ResourceError.
    """
    configuration = _parse(route_pb2.RouteConfiguration, data, "a RouteConfiguration")
    return {
        route.route.cluster: _read_retry_policy(route)
        for virtual_host in configuration.virtual_hosts
        for route in virtual_host.routes
    }


def _read_retry_policy(route: Any) -> str:
    policy = route.route.retry_policy
    settings = RetrySettings(policy.retry_on, policy.num_retries.value)
    policy_name = RETRY_POLICIES.get(settings)
    if policy_name is None:
        cluster = route.route.cluster
        raise ResourceError(f"{cluster}: expected a known retry policy, got {policy.retry_on!r}")
    return policy_name


# Items of the incremental variant, each of which has its own resource. The name of an endpoint's
# resource consists of the name of its collection (request class and zone), its address and port.


def resource_name(key: str) -> str:
    """Returns the name of the resource for an item's key."""
    part, _, rest = key.partition("/")
    return LB_ENDPOINT_NAME_PREFIX + rest if part == "line" else rest


def parse_resource_name(type_url: str, name: str) -> str:
    """Returns the key of the item whose resource has this name. Raises ValueError."""
    shown_name = name[:MAX_RESOURCE_NAME]
    if type_url == LB_ENDPOINT_TYPE_URL:
        if not name.startswith(LB_ENDPOINT_NAME_PREFIX):
            raise ResourceError(
                f"expected {LB_ENDPOINT_NAME_PREFIX}CLASS/ZONE/ADDRESS:PORT, got {shown_name!r}"
            )
        key = "line/" + name.removeprefix(LB_ENDPOINT_NAME_PREFIX)
        parse_line_key(key)
        return key
    if not name or len(name) > MAX_RESOURCE_NAME:
        raise ResourceError(f"expected the name of a request class, got {shown_name!r}")
    return ("level/" if type_url == ASSIGNMENT_TYPE_URL else "retry/") + name


def encode_item(key: str, value: Any, zones: Iterable[str] = ()) -> bytes:
    """Serializes the resource of one item.

    The weight of an endpoint (`line/`) is an LbEndpoint. The admitted fraction of a request class
    (`level/`, in millionths) is a ClusterLoadAssignment, which refers to one collection of
    endpoints for each of `zones`. The retry policy of a request class (`retry/`) is a
    RouteConfiguration.
    """
    part, _, rest = key.partition("/")
    if part == "line":
        return _encode_lb_endpoint(key, value)
    if part == "level":
        return _encode_collections(rest, value, zones)
    return encode_routes({rest: value})


def _encode_lb_endpoint(key: str, weight: int) -> bytes:
    _, _, address, port = parse_line_key(key)
    message = endpoint_components_pb2.LbEndpoint()
    message.endpoint.address.socket_address.address = address
    message.endpoint.address.socket_address.port_value = port
    message.load_balancing_weight.value = weight
    return _serialize(message)


def _encode_collections(
    request_class: str, admitted_millionths: int, zones: Iterable[str]
) -> bytes:
    """Serializes a ClusterLoadAssignment whose endpoints are in LEDS collections, one per zone."""
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=request_class)
    for zone in zones:
        locality = message.endpoints.add()
        locality.locality.zone = zone
        leds = locality.leds_cluster_locality_config
        leds.leds_config.ads.SetInParent()
        leds.leds_config.resource_api_version = config_source_pb2.ApiVersion.V3
        leds.leds_collection_name = f"{LB_ENDPOINT_NAME_PREFIX}{request_class}/{zone}/*"
    if admitted_millionths < MILLION:
        drop = message.policy.drop_overloads.add(category=DROP_CATEGORY)
        drop.drop_percentage.numerator = MILLION - admitted_millionths
        drop.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION
    return _serialize(message)


def decode_item(key: str, data: bytes) -> str | int:
    """Decodes the value of an item from its serialized resource. Raises ValueError."""
    part, _, rest = key.partition("/")
    if part == "retry":
        return _decode_retry(rest, data)
    if part == "level":
        _, _, admitted_fraction = decode_assignment(data)
        return round(admitted_fraction * MILLION)
    return _decode_weight(key, data)


def _decode_retry(request_class: str, data: bytes) -> str:
    routes = decode_routes(data)
    if list(routes) != [request_class]:
        actual_classes = ", ".join(routes)[:MAX_RESOURCE_NAME]
        raise ResourceError(f"expected the route of {request_class}, got {actual_classes!r}")
    return routes[request_class]


def _decode_weight(key: str, data: bytes) -> int:
    message = _parse(endpoint_components_pb2.LbEndpoint, data, "an LbEndpoint")
    _, _, address, port = parse_line_key(key)
    socket_address = message.endpoint.address.socket_address
    weight: int = message.load_balancing_weight.value
    if (socket_address.address, socket_address.port_value) != (address, port) or not weight:
        raise ResourceError(
            f"expected {address}:{port} and a weight above 0, "
            f"got {socket_address.address}:{socket_address.port_value}"
        )
    return weight
