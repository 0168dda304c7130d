"""One connected proxy: its discovery stream, what it is to hold, and what it has acknowledged."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, ClassVar, Optional, Union

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from ..interface import RetryPolicy
from ..tables.version import MILLION, NO_VERSION, PARTS, Version, line_key, quantize_weight
from .call import Call
from .discovery import Discovery, Resources
from .framing import StatusCode
from .incremental import IncrementalDiscovery, Items
from .proxy_node import ProxyNode, read_node
from .resources import (
    ASSIGNMENT_TYPE_URL,
    LB_ENDPOINT_TYPE_URL,
    ROUTE_CONFIGURATION_NAME,
    ROUTE_TYPE_URL,
    WeightedEndpoint,
    encode_assignment,
    encode_routes,
)

if TYPE_CHECKING:
    from .server import GrpcServer

FULL_ADMISSION = 1.0  # admitted fraction of a request class that the planner has not limited


class Session:
    """The stream of one proxy, state-of-the-world variant.

    The proxy joins with its first request, and leaves when the stream ends.
    """

    REQUEST: ClassVar[Any] = discovery_pb2.DiscoveryRequest
    # Parts of the proxy's tables in each resource type.
    TYPES: ClassVar[Mapping[str, set[str]]] = {
        ASSIGNMENT_TYPE_URL: {"line", "level"},
        ROUTE_TYPE_URL: {"retry"},
    }

    epoch: int  # set once the proxy is admitted

    def __init__(self, server: GrpcServer, call: Call) -> None:
        self.server = server
        self.handler = server.handler
        self.call = call
        self._node: Optional[ProxyNode] = None  # until the first request
        self.discovery: Optional[Union[Discovery, IncrementalDiscovery]] = (
            None  # while it is admitted
        )
        self.admitted_at = 0.0  # when it was admitted
        self.ready = False  # whether there is anything to send
        self.stale_types: set[str] = set()  # resource types that have changed since they were sent
        # Kept by the handler.
        self.number: Any = None
        self.state: Any = None
        self.zone = 0
        self.admitted_fractions: dict[str, float] = {}  # admitted fraction by request class
        self.retry_policies: dict[str, str] = {}  # retry policy by request class
        self.causes: dict[Any, None] = {}  # of what is sent next
        self.held: Version = NO_VERSION  # acknowledged
        self.last_report_at: Optional[float] = None  # when its last load report was processed
        self.report_count = 0  # load reports that have come
        call.on_message = self._on_message
        call.on_end = self._on_end
        call.on_writable = self.push

    @property
    def node(self) -> ProxyNode:
        """The proxy, as it reported itself. Raises RuntimeError before its first request."""
        if self._node is None:
            raise RuntimeError("expected a first request before this")
        return self._node

    # Requests.

    def _on_message(self, data: bytes) -> None:
        try:
            request = self.REQUEST.FromString(data)
            if self._node is None:
                self._join(read_node(request))
        except DecodeError:
            expected = f"expected a {self.REQUEST.DESCRIPTOR.name}"
            self.call.finish(StatusCode.INVALID_ARGUMENT, expected)
            return
        except ValueError as error:
            self.call.finish(StatusCode.INVALID_ARGUMENT, str(error))
            return
        if self.discovery is not None:
            self._send(self.discovery.handle_request(request))
            self._report_acknowledgements(self.discovery)

    def _join(self, node: ProxyNode) -> None:
        self._node = node
        epoch, rejection = self.handler.admit(node)
        if rejection is not None:
            status, text, metadata = rejection
            self.call.finish(status, text, **metadata)
            return
        self.epoch = epoch
        self.discovery = self._make_discovery(epoch)
        self.admitted_at = asyncio.get_running_loop().time()
        self.call.connection.accept(self.call, **self.handler.failover_metadata(node))
        self.call.connection.flush()
        self.handler.on_join(self)

    def _make_discovery(self, epoch: int) -> Union[Discovery, IncrementalDiscovery]:
        return Discovery(epoch, self._resources, self.server.identity, self._on_published)

    def _on_published(self, version: Version, type_url: str) -> None:
        self.handler.on_response_sent(self, version, sorted(self.TYPES[type_url]))

    def _report_acknowledgements(self, discovery: Union[Discovery, IncrementalDiscovery]) -> None:
        """Hands ACKs and NACKs to the handler."""
        for refusal in discovery.nacks:
            self.handler.on_nack(self, refusal)
        for type_url, version in discovery.acks:
            self.handler.on_ack(self, type_url, version)
        discovery.nacks = []
        discovery.acks = []

    def _on_end(self, status: int, text: str) -> None:
        if self.discovery is not None:
            self.discovery = None
            self.handler.on_leave(self)

    # What the proxy is to hold.

    def _resources(self, type_url: str, names: tuple[str, ...]) -> Optional[Resources]:
        """The resources as they stand.

        None while there is nothing to send: what the proxy brought is valid until then.
        """
        if not self.ready:
            return None
        if type_url == ASSIGNMENT_TYPE_URL:
            return {
                name: encode_assignment(
                    name, self._lines(name), self.admitted_fractions.get(name, FULL_ADMISSION)
                )
                for name in self.server.class_indices
                if name in names or not names
            }
        if type_url == ROUTE_TYPE_URL:
            return {
                ROUTE_CONFIGURATION_NAME: encode_routes(
                    {name: self._retry(name) for name in self.server.class_indices}
                )
            }
        return {}

    def _retry(self, request_class: str) -> str:
        return self.retry_policies.get(request_class, RetryPolicy.UNSTARTED.value)

    def _lines(self, request_class: str) -> list[WeightedEndpoint]:
        weights = self.handler.endpoint_weights(self, self.server.class_indices[request_class])
        return [
            WeightedEndpoint(*self.handler.address_of(endpoint), weight)
            for endpoint, weight in weights.items()
        ]

    def items(self, part: str) -> Optional[Items]:
        """The items of a part of the tables as they stand; None while there is nothing to send."""
        if not self.ready:
            return None
        kinds = self.server.class_indices
        if part == "line":
            return {
                line_key(kind, line.zone, line.address, line.port): quantize_weight(line.weight)
                for kind in kinds
                for line in self._lines(kind)
            }
        if part == "level":
            return {
                f"level/{kind}": round(self.admitted_fractions.get(kind, FULL_ADMISSION) * MILLION)
                for kind in kinds
            }
        return {f"retry/{kind}": self._retry(kind) for kind in kinds}

    # Sending.

    def on_tables_changed(self, parts: Iterable[str] = PARTS) -> None:
        """Sends these parts of the tables, which have changed; to a slow reader only the newest."""
        if not self.ready:
            self.ready = True
            parts = PARTS
        changed = set(parts)
        self.stale_types.update(
            type_url for type_url, covers in self.TYPES.items() if covers & changed
        )
        self.push()

    def push(self) -> None:
        """Sends what has changed, as long as nothing waits for the proxy."""
        for type_url in self.TYPES:
            if type_url in self.stale_types and self.call.idle and self.discovery is not None:
                self.stale_types.discard(type_url)
                self._send(self.discovery.resources_changed(type_url))

    def _send(self, responses: Iterable[Any]) -> None:
        for response in responses:
            self.call.send(response.SerializeToString(deterministic=True))

    def redirect(self, text: str, **metadata: str) -> None:
        """Redirects the proxy to another controller; it keeps what it holds."""
        self.call.finish(StatusCode.UNAVAILABLE, text, **metadata)


class DeltaSession(Session):
    """The stream of one proxy, incremental variant: endpoints as resources of their own."""

    REQUEST = discovery_pb2.DeltaDiscoveryRequest
    TYPES = {
        LB_ENDPOINT_TYPE_URL: {"line"},
        ASSIGNMENT_TYPE_URL: {"level"},
        ROUTE_TYPE_URL: {"retry"},
    }

    def _make_discovery(self, epoch: int) -> Union[Discovery, IncrementalDiscovery]:
        return IncrementalDiscovery(
            epoch, self.items, self.server.identity, self._on_parts_published, self.server.zones
        )

    def _on_parts_published(self, version: Version, parts: tuple[str, ...]) -> None:
        self.handler.on_response_sent(self, version, parts)
