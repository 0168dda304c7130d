"""The aggregated discovery stream (ADS) of one proxy, state-of-the-world variant. No I/O.

For each resource type at most one response awaits its ACK or NACK. If the resources change in the
meantime, only their newest state is sent after the ACK or NACK. A proxy that rejects a response
keeps its old resources; the NACK is reported, and the same resources are not sent again.

Source: the xDS transport protocol (nonces, ACK and NACK).
"""

from collections.abc import Callable
from typing import Any as Message
from typing import NamedTuple, Optional

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any

from ..tables.version import Version, parse_version

MAX_SUBSCRIPTIONS = 1000  # subscribed resource names per proxy and resource type
MAX_ERROR_TEXT = 500  # characters of a NACK's error detail

Resources = dict[str, bytes]  # serialized resources by name


class SentResources(NamedTuple):
    """The contents of the newest response of a resource type."""

    version: Version
    resources: Resources


class Subscription:
    """The state of one resource type on the stream."""

    __slots__ = ("names", "nonce", "sent_resources", "dirty", "request_received")

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()  # subscribed names; empty for all resources
        self.nonce = ""  # nonce of the response that awaits its ACK or NACK, empty if none does
        self.sent_resources: Optional[SentResources] = None
        self.dirty = False  # whether the resources may have changed since the last response
        self.request_received = False  # whether the first request has arrived


class Nack(NamedTuple):
    """The rejection of a response by a proxy."""

    type_url: str
    version: str
    text: str  # error message of the proxy


def ignore_response_sent(version: Version, type_url: str) -> None:
    """Default handler: ignores that a response was sent."""


class Discovery:
    """The discovery stream of one proxy.

    `epoch`: the epoch of this controller's ownership of the proxy. `get_resources(type_url, names)`
    returns the current resources, or None if they are not known yet. `identity`: the name of this
    controller. `on_response_sent(version, type_url)` is called for each response.

    The caller reads and clears `nacks` and `acks`.
    """

    def __init__(
        self,
        epoch: int,
        get_resources: Callable[[str, tuple[str, ...]], Optional[Resources]],
        identity: str,
        on_response_sent: Callable[[Version, str], None] = ignore_response_sent,
    ) -> None:
        self.epoch = epoch
        self.get_resources = get_resources
        self.identity = identity  # sent in each response
        self.on_response_sent = on_response_sent
        self.subscriptions: dict[str, Subscription] = {}  # by type URL
        self.serial = 0  # serial number of the newest response
        self.nacks: list[Nack] = []
        self.acks: list[tuple[str, Version]] = []  # type URL and version

    def handle_request(self, request: Message) -> list[Message]:
        """Handles a DiscoveryRequest; returns the DiscoveryResponses to send."""
        type_url = request.type_url
        subscription = self.subscriptions.setdefault(type_url, Subscription())
        if request.response_nonce:
            if request.response_nonce != subscription.nonce:
                return []  # the request answers a response that a newer one has replaced
            self._handle_acknowledgement(subscription, request)
        names = tuple(sorted(set(request.resource_names)))[:MAX_SUBSCRIPTIONS]
        if names != subscription.names or not subscription.request_received:
            subscription.names = names
            subscription.dirty = True
            subscription.request_received = True
        return self._due_responses(type_url, subscription)

    def _handle_acknowledgement(self, subscription: Subscription, request: Message) -> None:
        """Stores an ACK or a NACK of the newest response for the caller."""
        subscription.nonce = ""
        if not request.HasField("error_detail"):
            self.acks.append((request.type_url, parse_version(request.version_info)))
            return
        version = request.response_nonce  # the nonce is the version
        text = request.error_detail.message[:MAX_ERROR_TEXT]
        self.nacks.append(Nack(request.type_url, version, text))

    def resources_changed(self, type_url: str) -> list[Message]:
        """Returns the responses to send after resources of a type may have changed."""
        subscription = self.subscriptions.get(type_url)
        if subscription is None:
            return []
        subscription.dirty = True
        return self._due_responses(type_url, subscription)

    def _due_responses(self, type_url: str, subscription: Subscription) -> list[Message]:
        """Returns the response to send now, if any, in a list."""
        if not subscription.dirty or subscription.nonce:
            return []
        resources = self.get_resources(type_url, subscription.names)
        subscription.dirty = False
        sent_resources = subscription.sent_resources
        if resources is None or (
            sent_resources is not None and sent_resources.resources == resources
        ):
            return []  # the proxy has these resources, or has rejected them
        return [self._respond(type_url, subscription, resources)]

    def _respond(self, type_url: str, subscription: Subscription, resources: Resources) -> Message:
        self.serial += 1
        version = Version(self.epoch, self.serial)
        subscription.sent_resources = SentResources(version, resources)
        subscription.nonce = str(version)
        self.on_response_sent(version, type_url)
        return discovery_pb2.DiscoveryResponse(
            version_info=str(version),
            type_url=type_url,
            nonce=subscription.nonce,
            control_plane={"identifier": self.identity},
            resources=[Any(type_url=type_url, value=data) for _, data in sorted(resources.items())],
        )
