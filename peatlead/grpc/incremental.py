"""The aggregated discovery stream (ADS) of one proxy, incremental variant. No I/O.

Each endpoint is a resource of its own, in a collection for each request class and zone (locality
endpoint discovery, LEDS). When a weight changes, only the resource of that endpoint is sent. The
version of a resource is its value. A proxy that reports the versions of its resources therefore
reports everything that it holds, even what another controller sent, and gets only the differences.

Each response carries a stamp in its `system_version_info`: the digests of the proxy's state before
and after the response. A proxy of this project verifies both and rejects a response that does not
match. The proxy then gets the full state, at most `MAX_FULL_RESYNCS` times in a row. Other xDS
clients ignore the stamp and get the same responses.

Sources: the xDS transport protocol (incremental variant, nonces, ACK and NACK,
initial_resource_versions), envoy.config.endpoint.v3.LbEndpoint and LedsClusterLocalityConfig, xDS
TP1 resource names.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any as Message
from typing import NamedTuple, Optional

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any

from ..tables.replica import BASE_DIFFERS, DIGEST_DIFFERS
from ..tables.version import WHOLE_STATE, Digest, Stamp, Version, changes, parse_stamp
from .discovery import MAX_ERROR_TEXT, MAX_SUBSCRIPTIONS, Nack
from .resources import (
    ASSIGNMENT_TYPE_URL,
    LB_ENDPOINT_TYPE_URL,
    ROUTE_TYPE_URL,
    decode_item,
    encode_item,
    parse_resource_name,
    resource_name,
)

# Part of the tables by type URL.
PART_BY_TYPE = {
    LB_ENDPOINT_TYPE_URL: "line",
    ASSIGNMENT_TYPE_URL: "level",
    ROUTE_TYPE_URL: "retry",
}
MAX_FULL_RESYNCS = 3  # consecutive responses with the full state after rejections
# Error messages in the NACK of a proxy whose state differs from the assumed one.
MISMATCH_ERRORS = (
    BASE_DIFFERS,
    DIGEST_DIFFERS,
)
WILDCARD = "*"
COLLECTION_SUFFIX = "/*"

Value = str | int
Items = dict[str, Value]
ItemChanges = Mapping[str, Optional[Value]]  # None for a removed item


class InFlight(NamedTuple):
    """A response that awaits its ACK or NACK."""

    version: Version
    items: Items  # all items that the proxy holds once it has accepted the response
    digest: Digest  # digest of `items`


class Subscription:
    """The state of one resource type on the stream."""

    __slots__ = (
        "held_items",
        "digest",
        "in_flight",
        "nonce",
        "request_received",
        "dirty",
        "rejected_items",
        "full_resyncs",
        "names",
    )

    def __init__(self) -> None:
        # Items that the proxy has acknowledged or reported; None if unknown.
        self.held_items: Optional[Items] = {}
        self.digest = Digest()  # digest of `held_items`
        self.in_flight: Optional[InFlight] = None
        self.nonce = ""  # nonce of the response in flight, empty if there is none
        self.request_received = False  # whether the first request has arrived
        self.dirty = False  # whether the items may have changed since the last response
        self.rejected_items: Optional[Items] = None  # items that the last NACK rejected
        self.full_resyncs = 0  # consecutive responses with the full state
        self.names: set[str] = set()  # subscribed names; empty for all resources

    def start(self, request: Message) -> None:
        """Stores the items that the proxy reports with its first request."""
        self.request_received = True
        self.dirty = True
        self.held_items = decode_initial_versions(request)
        self.digest = Digest(self.held_items)

    def subscribe(self, request: Message) -> None:
        """Applies the changes of the subscribed names in a request."""
        with_added_names = self.names | set(request.resource_names_subscribe)
        names = with_added_names - set(request.resource_names_unsubscribe)
        limited_names = set(sorted(names)[:MAX_SUBSCRIPTIONS])
        self.dirty |= limited_names != self.names
        self.names = limited_names

    def includes(self, key: str) -> bool:
        """Returns whether an item is subscribed, by name, collection or wildcard."""
        name = resource_name(key)
        if not self.names or WILDCARD in self.names or name in self.names:
            return True
        return any(
            collection.endswith(COLLECTION_SUFFIX) and name.startswith(collection[:-1])
            for collection in self.names
        )


class IncrementalDiscovery:
    """The incremental discovery stream of one proxy.

    `epoch`: the epoch of this controller's ownership of the proxy. `get_items(part)` returns the
    current items of a part of the tables, or None if they are not known yet. `identity`: the name
    of this controller. `on_response_sent(version, parts)` is called for each response. `zones`:
    the zones of which each request class has a collection.

    The caller reads and clears `nacks` and `acks`.
    """

    def __init__(
        self,
        epoch: int,
        get_items: Callable[[str], Optional[Items]],
        identity: str,
        on_response_sent: Callable[[Version, tuple[str, ...]], None],
        zones: Sequence[str] = (),
    ) -> None:
        self.epoch = epoch
        self.get_items = get_items
        self.identity = identity  # sent in each response
        self.on_response_sent = on_response_sent
        self.zones = zones
        self.subscriptions: dict[str, Subscription] = {}  # by type URL
        self.serial = 0  # serial number of the newest response
        self.nacks: list[Nack] = []
        self.acks: list[tuple[str, Version]] = []  # type URL and version
        self.resources_sent = 0  # sent resources, including removals
        self.full_resyncs = 0  # responses with the full state after a rejection

    def handle_request(self, request: Message) -> list[Message]:
        """Handles a DeltaDiscoveryRequest; returns the DeltaDiscoveryResponses to send."""
        type_url = request.type_url
        if type_url not in PART_BY_TYPE:
            return []
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        if not subscription.request_received:
            subscription.start(request)
        subscription.subscribe(request)
        in_flight = subscription.in_flight
        if in_flight is not None and request.response_nonce == subscription.nonce:
            self._handle_acknowledgement(subscription, in_flight, request)
        return self._due_responses(type_url, subscription)

    def _handle_acknowledgement(
        self, subscription: Subscription, in_flight: InFlight, request: Message
    ) -> None:
        """Handles an ACK or a NACK of the response in flight."""
        subscription.in_flight = None
        subscription.nonce = ""
        if request.HasField("error_detail"):
            self._handle_nack(subscription, in_flight, request)
            return
        subscription.held_items = in_flight.items
        subscription.digest = in_flight.digest
        subscription.full_resyncs = 0
        subscription.rejected_items = None
        self.acks.append((request.type_url, in_flight.version))

    def _handle_nack(
        self, subscription: Subscription, in_flight: InFlight, request: Message
    ) -> None:
        """Prepares a full resync after a mismatch of states; other rejections are only stored."""
        text = request.error_detail.message[:MAX_ERROR_TEXT]
        self.nacks.append(Nack(request.type_url, str(in_flight.version), text))
        if text in MISMATCH_ERRORS and subscription.full_resyncs < MAX_FULL_RESYNCS:
            subscription.held_items = None
            subscription.dirty = True
        else:
            subscription.rejected_items = in_flight.items  # not sent again

    def resources_changed(self, type_url: str) -> list[Message]:
        """Returns the responses to send after items of a type may have changed."""
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            return []
        subscription.dirty = True
        return self._due_responses(type_url, subscription)

    def _due_responses(self, type_url: str, subscription: Subscription) -> list[Message]:
        """Returns the response to send now, if any, in a list."""
        if not subscription.dirty or subscription.in_flight is not None:
            return []
        items = self.get_items(PART_BY_TYPE[type_url])
        subscription.dirty = False
        if items is None:
            return []
        wanted_items = {key: value for key, value in items.items() if subscription.includes(key)}
        if wanted_items == subscription.rejected_items:
            return []
        if subscription.held_items is None:
            return [self._respond_with_full_state(type_url, subscription, wanted_items)]
        changed_items = changes(subscription.held_items, wanted_items)
        if not changed_items:
            return []
        digest = subscription.digest.copy()
        for key, value in changed_items.items():
            digest.update(key, subscription.held_items.get(key), value)
        in_flight = self._next_in_flight(wanted_items, digest)
        return [
            self._respond(
                type_url, subscription, in_flight, str(subscription.digest), changed_items
            )
        ]

    def _respond_with_full_state(
        self, type_url: str, subscription: Subscription, wanted_items: Items
    ) -> Message:
        subscription.full_resyncs += 1
        self.full_resyncs += 1
        in_flight = self._next_in_flight(wanted_items, Digest(wanted_items))
        return self._respond(type_url, subscription, in_flight, WHOLE_STATE, wanted_items)

    def _next_in_flight(self, items: Items, digest: Digest) -> InFlight:
        self.serial += 1
        return InFlight(Version(self.epoch, self.serial), items, digest)

    def _respond(
        self,
        type_url: str,
        subscription: Subscription,
        in_flight: InFlight,
        base: str,
        changed_items: ItemChanges,
    ) -> Message:
        """Returns a response with the changes from the state with digest `base`."""
        version = in_flight.version
        subscription.in_flight = in_flight
        subscription.nonce = str(version)
        self.resources_sent += len(changed_items)
        self.on_response_sent(version, (PART_BY_TYPE[type_url],))
        response = discovery_pb2.DeltaDiscoveryResponse(
            type_url=type_url,
            nonce=subscription.nonce,
            system_version_info=str(Stamp(version, base, str(in_flight.digest))),
            control_plane={"identifier": self.identity},
        )
        for key, value in sorted(changed_items.items()):
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
    """Returns the items that a proxy reports with its first request of a type.

    Resources of another control plane are ignored.
    """
    items: Items = {}
    for name, version in request.initial_resource_versions.items():
        try:
            key = parse_resource_name(request.type_url, name)
            items[key] = version if key.startswith("retry/") else int(version)
        except ValueError:
            continue
    return items


def decode_delta(response: Message) -> tuple[str, dict[str, Optional[Value]], Stamp]:
    """Decodes a response; returns its type URL, changed items (None if removed) and stamp.

    Raises ValueError if a resource, a resource name or the stamp is invalid.
    """
    type_url: str = response.type_url
    changed_items: dict[str, Optional[Value]] = {}
    for name in response.removed_resources:
        changed_items[parse_resource_name(type_url, name)] = None
    for resource in response.resources:
        key = parse_resource_name(type_url, resource.name)
        changed_items[key] = decode_item(key, resource.resource.value)
    return type_url, changed_items, parse_stamp(response.system_version_info)
