"""Reads what a proxy reports about itself in the first request of a stream. No I/O.

Source: envoy.config.core.v3.Node. The metadata fields `epoch`, `rate`, `held`, `hops` and `avoid`
are specific to this project.
"""

from math import isfinite
from typing import Any, NamedTuple, Optional

from ..planner.input_bounds import MAX_RATE
from ..tables.version import WEIGHT_SCALE, parse_line_key, parse_version
from .resources import LB_ENDPOINT_TYPE_URL, WeightedEndpoint, parse_resource_name

# Per request class, but in the incremental variant per request; further endpoints are ignored.
MAX_HELD_ENDPOINTS = 2000
MAX_NODE_ID = 200  # characters
MAX_UNREACHABLE_CONTROLLERS = 100  # further reported controllers are ignored
MAX_EPOCH = 2**53  # greater integers are not exact in a protobuf Struct, which holds doubles
MIN_RATE = 0.01  # requests per second
DEFAULT_RATE = 1.0  # requests per second
HOPS_IF_UNREPORTED = 100  # a proxy that reports no hops does not support redirects
ENDPOINT_FIELDS = 4  # fields in the text of a held endpoint

Held = dict[str, list[WeightedEndpoint]]  # endpoints by request class


class ProxyNode(NamedTuple):
    """What a proxy reports about itself."""

    name: str
    zone: str
    epoch: int  # newest epoch that the proxy has seen
    held: Held  # endpoints of the proxy's tables from an earlier stream
    rate: float  # requests per second that the proxy sends
    hops: int  # redirects in a row
    unreachable_controllers: tuple[str, ...]


def read_node(request: Any) -> ProxyNode:
    """Returns the node of a stream's first request. Raises ValueError if it is invalid."""
    node = request.node
    if not node.id or len(node.id) > MAX_NODE_ID:
        raise ValueError(f"expected a node id of 1 to {MAX_NODE_ID} characters")
    metadata = node.metadata.fields
    epoch = _read_epoch(request, metadata)
    rate = _read_rate(metadata)
    held = _read_held(metadata)
    if request.type_url == LB_ENDPOINT_TYPE_URL:
        _add_held_resources(request, held)
    return ProxyNode(
        node.id,
        node.locality.zone,
        epoch,
        held,
        rate,
        _read_hops(metadata),
        _read_unreachable_controllers(metadata),
    )


def _read_epoch(request: Any, metadata: Any) -> int:
    """Returns the newest epoch in the version and metadata of a request; 0 without any."""
    epoch: int = parse_version(getattr(request, "version_info", "")).epoch
    reported_epoch = _read_number(metadata, "epoch")
    if reported_epoch is not None:
        epoch = max(epoch, int(reported_epoch))
    return min(max(0, epoch), MAX_EPOCH)


def _read_rate(metadata: Any) -> float:
    rate = _read_number(metadata, "rate")
    return DEFAULT_RATE if rate is None else min(MAX_RATE, max(MIN_RATE, rate))


def _read_hops(metadata: Any) -> int:
    hops = _read_number(metadata, "hops")
    return HOPS_IF_UNREPORTED if hops is None else int(hops)


def _read_number(metadata: Any, name: str) -> Optional[float]:
    """Returns a number of the metadata, or None without one. Raises ValueError if not finite."""
    if name not in metadata:
        return None
    number: float = metadata[name].number_value
    if not isfinite(number):
        raise ValueError(f"{name}: expected a finite number, got {number}")
    return number


def _read_unreachable_controllers(metadata: Any) -> tuple[str, ...]:
    if "avoid" not in metadata:
        return ()
    return tuple(
        value.string_value
        for value in metadata["avoid"].list_value.values[:MAX_UNREACHABLE_CONTROLLERS]
    )


def _read_held(metadata: Any) -> Held:
    if "held" not in metadata:
        return {}
    return {
        request_class: [
            _parse_held_endpoint(value.string_value)
            for value in endpoints.list_value.values[:MAX_HELD_ENDPOINTS]
        ]
        for request_class, endpoints in metadata["held"].struct_value.fields.items()
    }


def _parse_held_endpoint(text: str) -> WeightedEndpoint:
    """Parses `ADDRESS|PORT|ZONE|WEIGHT`."""
    fields = text.split("|") + [""] * ENDPOINT_FIELDS
    address, port, zone, weight = fields[:ENDPOINT_FIELDS]
    try:
        endpoint = WeightedEndpoint(address, int(port), zone, float(weight))
    except ValueError:
        raise ValueError(f"expected ADDRESS|PORT|ZONE|WEIGHT, got {text!r}") from None
    if not isfinite(endpoint.weight):
        raise ValueError(f"expected a finite weight, got {text!r}")
    return endpoint


def _add_held_resources(request: Any, held: Held) -> None:
    """Adds the endpoints that a proxy of the incremental variant holds.

    The version of an endpoint's resource is its weight.
    """
    for name, version in list(request.initial_resource_versions.items())[:MAX_HELD_ENDPOINTS]:
        try:
            key = parse_resource_name(LB_ENDPOINT_TYPE_URL, name)
            request_class, zone, address, port = parse_line_key(key)
            endpoint = WeightedEndpoint(address, port, zone, int(version) / WEIGHT_SCALE)
        except ValueError:
            continue  # resource of another control plane
        held.setdefault(request_class, []).append(endpoint)
