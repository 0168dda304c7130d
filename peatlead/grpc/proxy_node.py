"""What a proxy reports of itself with the first request of a stream. Pure.

Source: envoy.config.core.v3.Node. The metadata fields are this project's: `epoch`, `rate`,
`held`, `hops`, `avoid`.
"""

from typing import Any, NamedTuple

from ..tables.version import WEIGHT_SCALE, parse_line_key, parse_version
from .resources import LINES, WeightedEndpoint, parse_resource_name

MAX_HELD = 2000  # endpoints of a request class that a proxy may report
MAX_NODE_ID = 200  # characters
MAX_AVOIDED = 100
MAX_EPOCH = 2**53  # above it a JSON number is not exact
MIN_RATE = 0.01  # requests a second
MAX_RATE = 1e6
DEFAULT_RATE = 1.0
NO_REDIRECTS = 100  # hops of a proxy that doesn't report any, and so doesn't follow redirects
LINE_FIELDS = 4

Held = dict[str, list[WeightedEndpoint]]  # endpoints by request class


class ProxyNode(NamedTuple):
    """A proxy, as it reports itself."""

    name: str
    zone: str
    epoch: int  # the newest that it has seen
    held: Held  # what it has from an earlier stream
    rate: float  # requests a second
    hops: int  # how often it was redirected
    avoid: tuple[str, ...]  # controllers that it could not reach


def read_node(request: Any) -> ProxyNode:
    """The node of a stream's first request. Raises ValueError with what was expected."""
    node = request.node
    if not node.id or len(node.id) > MAX_NODE_ID:
        raise ValueError("expected a node id")
    metadata = node.metadata.fields
    epoch = _read_epoch(request, metadata)
    rate = _read_rate(metadata)
    held = _read_held_metadata(metadata)
    if request.type_url == LINES:
        _add_held_versions(request, held)
    hops = int(metadata["hops"].number_value) if "hops" in metadata else NO_REDIRECTS
    return ProxyNode(node.id, node.locality.zone, epoch, held, rate, hops, _read_avoided(metadata))


def _read_epoch(request: Any, metadata: Any) -> int:
    epoch: int = parse_version(getattr(request, "version_info", "")).epoch
    if "epoch" in metadata:
        epoch = max(epoch, int(metadata["epoch"].number_value))
    return min(max(0, epoch), MAX_EPOCH)


def _read_rate(metadata: Any) -> float:
    if "rate" not in metadata:
        return DEFAULT_RATE
    rate: float = metadata["rate"].number_value
    return min(MAX_RATE, max(MIN_RATE, rate))


def _read_avoided(metadata: Any) -> tuple[str, ...]:
    if "avoid" not in metadata:
        return ()
    return tuple(value.string_value for value in metadata["avoid"].list_value.values[:MAX_AVOIDED])


def _read_held_metadata(metadata: Any) -> Held:
    if "held" not in metadata:
        return {}
    return {
        request_class: [
            _read_held_line(value.string_value) for value in lines.list_value.values[:MAX_HELD]
        ]
        for request_class, lines in metadata["held"].struct_value.fields.items()
    }


def _read_held_line(text: str) -> WeightedEndpoint:
    """Parses `ADDRESS|PORT|ZONE|WEIGHT`."""
    padded = text.split("|") + [""] * LINE_FIELDS
    address, port, zone, weight = padded[:LINE_FIELDS]
    try:
        return WeightedEndpoint(address, int(port), zone, float(weight))
    except ValueError:
        raise ValueError(f"expected ADDRESS|PORT|ZONE|WEIGHT, got {text!r}") from None


def _add_held_versions(request: Any, held: Held) -> None:
    """Adds what a proxy of the incremental variant holds: its resources' versions are weights."""
    for name, version in list(request.initial_resource_versions.items())[:MAX_HELD]:
        try:
            key = parse_resource_name(LINES, name)
            request_class, zone, address, port = parse_line_key(key)
            line = WeightedEndpoint(address, port, zone, int(version) / WEIGHT_SCALE)
        except ValueError:
            continue  # of another control plane
        held.setdefault(request_class, []).append(line)
