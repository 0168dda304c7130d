"""One proxy's aggregated discovery stream, incremental variant. Pure: requests in, responses out.

Endpoints are resources of their own, in collections by request class and zone (locality endpoint
discovery): a changed weight sends one resource, not its table. A resource's version is its value,
so a proxy that reports its versions reports all it holds, whoever owned it before; what differs
is sent. Each response carries a stamp as its `system_version_info`: the digest of the state it
starts from, and of the one it leads to. A proxy of this project checks both and rejects what
doesn't match; it then gets the whole state, at most `WHOLES_MOST` times in a row. Other xDS
clients ignore the stamp, and are served alike.

Sources: the xDS transport protocol (incremental variant, nonces, ACK and NACK,
initial_resource_versions), envoy.config.endpoint.v3.LbEndpoint and LedsClusterLocalityConfig, xDS
TP1 resource names.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any as Message
from typing import NamedTuple, Optional

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any

from ..tables.replica import BASE, DIGEST
from ..tables.version import WHOLE_STATE, Digest, Stamp, Version, changes, parse_stamp
from .discovery import MAX_ERROR_TEXT, MAX_SUBSCRIPTIONS, Refused
from .resources import (
    ENDPOINTS,
    LINES,
    ROUTES,
    decode_item,
    encode_item,
    parse_resource_name,
    resource_name,
)

PART_BY_TYPE = {
    LINES: "line",
    ENDPOINTS: "level",
    ROUTES: "retry",
}  # type URL -> part of the tables
MAX_FULL_RESYNCS = 3  # responses with the whole state, in a row, after rejections
MISMATCHES = (BASE, DIGEST)  # error details of a proxy that holds something else than assumed
WILDCARD = "*"
COLLECTION_SUFFIX = "/*"

Value = str | int
Items = dict[str, Value]
ItemChanges = Mapping[str, Optional[Value]]  # None: removed


class InFlight(NamedTuple):
    """A response that awaits its ACK or NACK."""

    version: Version
    items: Items  # held once it is applied
    digest: Digest  # of these


class Subscription:
    """One resource type on the stream."""

    __slots__ = (
        "held",
        "digest",
        "in_flight",
        "nonce",
        "requested",
        "dirty",
        "rejected",
        "wholes",
        "names",
    )

    def __init__(self) -> None:
        self.held: Optional[Items] = {}  # by the proxy, as it reported; None: not known
        self.digest = Digest()  # of what is held
        self.in_flight: Optional[InFlight] = None
        self.nonce = ""  # of the response in flight
        self.requested = False  # whether a first request has come
        self.dirty = False  # whether the items may have changed since the last response
        self.rejected: Optional[Items] = None  # by the last NACK
        self.wholes = 0  # responses with the whole state, in a row
        self.names: set[str] = set()  # subscribed; empty: all

    def start(self, request: Message) -> None:
        """Takes over what the proxy reports with its first request."""
        self.requested = True
        self.dirty = True
        self.held = decode_initial_versions(request)
        self.digest = Digest(self.held)

    def subscribe(self, request: Message) -> None:
        """Changes the subscribed names."""
        added = self.names | set(request.resource_names_subscribe)
        names = added - set(request.resource_names_unsubscribe)
        bounded = set(sorted(names)[:MAX_SUBSCRIPTIONS])
        self.dirty |= bounded != self.names
        self.names = bounded

    def includes(self, key: str) -> bool:
        """Whether an item is subscribed: by its name, its collection's, or a wildcard."""
        name = resource_name(key)
        if not self.names or WILDCARD in self.names or name in self.names:
            return True
        return any(
            collection.endswith(COLLECTION_SUFFIX) and name.startswith(collection[:-1])
            for collection in self.names
        )


class Incremental:
    """The stream of one proxy.

    `epoch`: the owner's for this proxy. `items(part)` gives the items as they stand, or None
    while they are not known; `published(version, parts)` is called for each response; `zones`
    name the collections of a request class. The caller empties `refusals` and `applied`.
    """

    def __init__(
        self,
        epoch: int,
        items: Callable[[str], Optional[Items]],
        identity: str,
        published: Callable[[Version, tuple[str, ...]], None],
        zones: Sequence[str] = (),
    ) -> None:
        self.epoch = epoch
        self.items = items
        self.identity = identity  # of this controller, in each response
        self.published = published
        self.zones = zones
        self.subscriptions: dict[str, Subscription] = {}  # by type URL
        self.serial = 0  # of the newest response
        self.refusals: list[Refused] = []  # NACKs
        self.applied: list[tuple[str, Version]] = []  # ACKs: type URL and version
        self.sent = 0  # resources, removals among them
        self.wholes = 0  # responses with the whole state after a rejection

    def take(self, request: Message) -> list[Message]:
        """The DeltaDiscoveryResponses that are due after a DeltaDiscoveryRequest."""
        type_url = request.type_url
        if type_url not in PART_BY_TYPE:
            return []
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        if not subscription.requested:
            subscription.start(request)
        subscription.subscribe(request)
        in_flight = subscription.in_flight
        if in_flight is not None and request.response_nonce == subscription.nonce:
            self._acknowledge(subscription, in_flight, request)
        return self._due(type_url, subscription)

    def _acknowledge(
        self, subscription: Subscription, in_flight: InFlight, request: Message
    ) -> None:
        """Handles an ACK or a NACK of the response in flight."""
        subscription.in_flight = None
        subscription.nonce = ""
        if request.HasField("error_detail"):
            self._reject(subscription, in_flight, request)
            return
        subscription.held = in_flight.items
        subscription.digest = in_flight.digest
        subscription.wholes = 0
        subscription.rejected = None
        self.applied.append((request.type_url, in_flight.version))

    def _reject(self, subscription: Subscription, in_flight: InFlight, request: Message) -> None:
        text = request.error_detail.message[:MAX_ERROR_TEXT]
        self.refusals.append(Refused(request.type_url, str(in_flight.version), text))
        if text in MISMATCHES and subscription.wholes < MAX_FULL_RESYNCS:
            subscription.held = None
            subscription.dirty = True
        else:
            subscription.rejected = in_flight.items  # the same again would be rejected again

    def changed(self, type_url: str) -> list[Message]:
        """The responses that are due after items of a type may have changed."""
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            return []
        subscription.dirty = True
        return self._due(type_url, subscription)

    def _due(self, type_url: str, subscription: Subscription) -> list[Message]:
        if not subscription.dirty or subscription.in_flight is not None:
            return []
        items = self.items(PART_BY_TYPE[type_url])
        subscription.dirty = False
        if items is None:
            return []
        wanted = {key: value for key, value in items.items() if subscription.includes(key)}
        if wanted == subscription.rejected:
            return []
        if subscription.held is None:
            return [self._respond_whole(type_url, subscription, wanted)]
        moved = changes(subscription.held, wanted)
        if not moved:
            return []
        digest = subscription.digest.copy()
        for key, value in moved.items():
            digest.update(key, subscription.held.get(key), value)
        in_flight = self._next_in_flight(wanted, digest)
        return [self._respond(type_url, subscription, in_flight, str(subscription.digest), moved)]

    def _respond_whole(self, type_url: str, subscription: Subscription, wanted: Items) -> Message:
        subscription.wholes += 1
        self.wholes += 1
        in_flight = self._next_in_flight(wanted, Digest(wanted))
        return self._respond(type_url, subscription, in_flight, WHOLE_STATE, wanted)

    def _next_in_flight(self, items: Items, digest: Digest) -> InFlight:
        self.serial += 1
        return InFlight(Version(self.epoch, self.serial), items, digest)

    def _respond(
        self,
        type_url: str,
        subscription: Subscription,
        in_flight: InFlight,
        base: str,
        moved: ItemChanges,
    ) -> Message:
        """The response that leads from the state with the digest `base` to the one in flight."""
        version = in_flight.version
        subscription.in_flight = in_flight
        subscription.nonce = str(version)
        self.sent += len(moved)
        self.published(version, (PART_BY_TYPE[type_url],))
        response = discovery_pb2.DeltaDiscoveryResponse(
            type_url=type_url,
            nonce=subscription.nonce,
            system_version_info=str(Stamp(version, base, str(in_flight.digest))),
            control_plane={"identifier": self.identity},
        )
        for key, value in sorted(moved.items()):
            if value is None:
                response.removed_resources.append(resource_name(key))
            else:
                response.resources.append(self._encode_resource(type_url, key, value))
        return response

    def _encode_resource(self, type_url: str, key: str, value: Value) -> Message:
        data = encode_item(key, value, self.zones)
        return discovery_pb2.Resource(
            name=resource_name(key),
            version=str(value),
            resource=Any(type_url=type_url, value=data),
        )


def decode_initial_versions(request: Message) -> Items:
    """The items that a proxy reports with its first request of a type, without foreign ones."""
    held: Items = {}
    for name, version in request.initial_resource_versions.items():
        try:
            key = parse_resource_name(request.type_url, name)
            held[key] = version if key.startswith("retry/") else int(version)
        except ValueError:
            continue
    return held


def decode_delta(response: Message) -> tuple[str, dict[str, Optional[Value]], Stamp]:
    """A response as its proxy reads it: type URL, changed items (None: removed) and stamp.

    Raises ValueError with what was expected.
    """
    type_url: str = response.type_url
    moved: dict[str, Optional[Value]] = {}
    for name in response.removed_resources:
        moved[parse_resource_name(type_url, name)] = None
    for resource in response.resources:
        key = parse_resource_name(type_url, resource.name)
        moved[key] = decode_item(key, resource.resource.value)
    return type_url, moved, parse_stamp(response.system_version_info)
