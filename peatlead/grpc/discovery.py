"""One proxy's aggregated discovery stream, state-of-the-world variant. Pure.

For each resource type at most one response awaits its ACK or NACK; what changes meanwhile is sent
after that, only the newest. A proxy that rejects a response keeps its old resources, is reported,
and doesn't get the same again. Source: the xDS transport protocol (nonces, ACK and NACK).
"""

from collections.abc import Callable
from typing import Any as Message
from typing import NamedTuple, Optional

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any

from ..tables.version import Version, parse_version

MAX_SUBSCRIPTIONS = 1000  # resource names of one type that a proxy may subscribe to
MAX_ERROR_TEXT = 500  # characters of a NACK's error detail

Resources = dict[str, bytes]  # serialized, by name


class SentResources(NamedTuple):
    """The newest response of a type."""

    version: Version
    resources: Resources


class Subscription:
    """One resource type on the stream."""

    __slots__ = ("names", "nonce", "sent", "dirty", "requested")

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()  # subscribed; empty: all
        self.nonce = ""  # of the response that awaits its ACK or NACK
        self.sent: Optional[SentResources] = None
        self.dirty = False  # whether the resources may have changed since
        self.requested = False  # whether a first request has come


class Nack(NamedTuple):
    """A proxy's NACK."""

    type_url: str
    version: str
    text: str  # its error detail


def ignore_response_sent(version: Version, type_url: str) -> None:
    """The handler of sent versions where nobody keeps them."""


class Discovery:
    """The stream of one proxy.

    `epoch`: the owner's for this proxy. `resources(type_url, names)` gives the resources as they
    stand, or None while they are not known; `published(version, type_url)` is called for each
    response. The caller empties `refusals` and `applied`.
    """

    def __init__(
        self,
        epoch: int,
        resources: Callable[[str, tuple[str, ...]], Optional[Resources]],
        identity: str,
        on_response_sent: Callable[[Version, str], None] = ignore_response_sent,
    ) -> None:
        self.epoch = epoch
        self.resources = resources
        self.identity = identity  # of this controller, in each response
        self.on_response_sent = on_response_sent
        self.subscriptions: dict[str, Subscription] = {}  # by type URL
        self.serial = 0  # of the newest response
        self.nacks: list[Nack] = []  # NACKs
        self.acks: list[tuple[str, Version]] = []  # ACKs: type URL and version

    def handle_request(self, request: Message) -> list[Message]:
        """The DiscoveryResponses that are due after a DiscoveryRequest."""
        type_url = request.type_url
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        if request.response_nonce:
            if request.response_nonce != subscription.nonce:
                return []  # of a response that a newer one has replaced
            self._acknowledge(subscription, request)
        names = tuple(sorted(set(request.resource_names)))[:MAX_SUBSCRIPTIONS]
        if names != subscription.names or not subscription.requested:
            subscription.names = names
            subscription.dirty = True
            subscription.requested = True
        return self._due(type_url, subscription)

    def _acknowledge(self, subscription: Subscription, request: Message) -> None:
        """Handles an ACK or a NACK of the newest response."""
        subscription.nonce = ""
        if not request.HasField("error_detail"):
            self.acks.append((request.type_url, parse_version(request.version_info)))
            return
        version = request.response_nonce  # the nonce is the version
        text = request.error_detail.message[:MAX_ERROR_TEXT]
        self.nacks.append(Nack(request.type_url, version, text))

    def resources_changed(self, type_url: str) -> list[Message]:
        """The responses that are due after resources of a type may have changed."""
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            return []
        subscription.dirty = True
        return self._due(type_url, subscription)

    def _due(self, type_url: str, subscription: Subscription) -> list[Message]:
        if not subscription.dirty or subscription.nonce:
            return []
        resources = self.resources(type_url, subscription.names)
        subscription.dirty = False
        sent = subscription.sent
        if resources is None or (sent is not None and sent.resources == resources):
            return []  # unchanged, or what was rejected just now: the same would be rejected again
        return [self._respond(type_url, subscription, resources)]

    def _respond(self, type_url: str, subscription: Subscription, resources: Resources) -> Message:
        self.serial += 1
        version = Version(self.epoch, self.serial)
        subscription.sent = SentResources(version, resources)
        subscription.nonce = str(version)
        self.on_response_sent(version, type_url)
        return discovery_pb2.DiscoveryResponse(
            version_info=str(version),
            type_url=type_url,
            nonce=subscription.nonce,
            control_plane={"identifier": self.identity},
            resources=[Any(type_url=type_url, value=data) for _, data in sorted(resources.items())],
        )
