"""The session of one connected proxy: its discovery stream and the state that the handler keeps."""

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

FULL_ADMISSION = 1.0  # admitted fraction of a request class without a limit of the planner


class Session:
    """The session of one proxy on a state-of-the-world discovery stream.

    The proxy joins with its first request and leaves when the stream ends.
    """

    REQUEST_TYPE: ClassVar[Any] = discovery_pb2.DiscoveryRequest
    # Parts of the proxy's tables that each resource type contains.
    PARTS_BY_TYPE_URL: ClassVar[Mapping[str, set[str]]] = {
        ASSIGNMENT_TYPE_URL: {"line", "level"},
        ROUTE_TYPE_URL: {"retry"},
    }

    epoch: int  # set once the proxy is admitted

    def __init__(self, server: GrpcServer, call: Call) -> None:
        self.server = server
        self.handler = server.handler
        self.call = call
        self._node: Optional[ProxyNode] = None  # None until the first request
        # The discovery stream, None unless the proxy is admitted.
        self.discovery: Optional[Union[Discovery, IncrementalDiscovery]] = None
        self.admitted_at = 0.0  # event loop time
        self.has_tables = False  # whether the handler has planned tables for the proxy
        self.stale_types: set[str] = set()  # types that have changed since they were sent
        # The handler sets the following attributes.
        self.number: Any = None  # the planner's proxy number
        self.state: Any = None  # the tables that the planner has assigned
        self.zone = 0  # index of the proxy's zone
        self.admitted_fractions: dict[str, float] = {}  # by request class
        self.retry_policies: dict[str, str] = {}  # by request class
        self.causes: dict[Any, None] = {}  # causes of the next response
        self.acknowledged_version: Version = NO_VERSION  # newest that the proxy acknowledged
        self.last_report_at: Optional[float] = None  # when a load report was last processed
        self.report_count = 0  # received load reports
        call.on_message = self._on_message
        call.on_end = self._on_end
        call.on_writable = self.send_stale_types

    @property
    def node(self) -> ProxyNode:
        """What the proxy reported about itself. Raises RuntimeError before its first request."""
        if self._node is None:
            raise RuntimeError("the proxy has not sent its first request")
        return self._node

    # Requests.

    def _on_message(self, data: bytes) -> None:
        try:
            request = self.REQUEST_TYPE.FromString(data)
            if self._node is None:
                self._join(read_node(request))
        except DecodeError:
            expected = f"expected a {self.REQUEST_TYPE.DESCRIPTOR.name}"
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
        self.call.connection.send_initial_metadata(
            self.call, **self.handler.failover_metadata(node)
        )
        self.call.connection.flush()
        self.handler.on_join(self)

    def _make_discovery(self, epoch: int) -> Union[Discovery, IncrementalDiscovery]:
        return Discovery(epoch, self._resources, self.server.identity, self._on_response_sent)

    def _on_response_sent(self, version: Version, type_url: str) -> None:
        self.handler.on_response_sent(self, version, sorted(self.PARTS_BY_TYPE_URL[type_url]))

    def _report_acknowledgements(self, discovery: Union[Discovery, IncrementalDiscovery]) -> None:
        """Passes ACKs and NACKs to the handler."""
        for nack in discovery.nacks:
            self.handler.on_nack(self, nack)
        for type_url, version in discovery.acks:
            self.handler.on_ack(self, type_url, version)
        discovery.nacks = []
        discovery.acks = []

    def _on_end(self, status: int, text: str) -> None:
        if self.discovery is not None:
            self.discovery = None
            self.handler.on_leave(self)

    # The current tables.

    def _resources(self, type_url: str, names: tuple[str, ...]) -> Optional[Resources]:
        """Returns the current resources of a type.

        Returns None until the handler has tables; until then the proxy keeps the tables that it
        holds from an earlier stream.
        """
        if not self.has_tables:
            return None
        if type_url == ASSIGNMENT_TYPE_URL:
            return {
                name: encode_assignment(
                    name, self._endpoints(name), self.admitted_fractions.get(name, FULL_ADMISSION)
                )
                for name in self.server.class_indices
                if name in names or not names
            }
        if type_url == ROUTE_TYPE_URL:
            return {
                ROUTE_CONFIGURATION_NAME: encode_routes(
                    {name: self._retry_policy(name) for name in self.server.class_indices}
                )
            }
        return {}

    def _retry_policy(self, request_class: str) -> str:
        return self.retry_policies.get(request_class, RetryPolicy.UNSTARTED.value)

    def _endpoints(self, request_class: str) -> list[WeightedEndpoint]:
        weights = self.handler.endpoint_weights(self, self.server.class_indices[request_class])
        return [
            WeightedEndpoint(*self.handler.endpoint_address(endpoint), weight)
            for endpoint, weight in weights.items()
        ]

    def items(self, part: str) -> Optional[Items]:
        """Returns the current items of a part of the tables, None until the handler has tables."""
        if not self.has_tables:
            return None
        request_classes = self.server.class_indices
        if part == "line":
            return {
                line_key(
                    request_class, endpoint.zone, endpoint.address, endpoint.port
                ): quantize_weight(endpoint.weight)
                for request_class in request_classes
                for endpoint in self._endpoints(request_class)
            }
        if part == "level":
            return {
                f"level/{request_class}": round(
                    self.admitted_fractions.get(request_class, FULL_ADMISSION) * MILLION
                )
                for request_class in request_classes
            }
        return {
            f"retry/{request_class}": self._retry_policy(request_class)
            for request_class in request_classes
        }

    # Sending.

    def on_tables_changed(self, parts: Iterable[str] = PARTS) -> None:
        """Sends changed parts of the tables, or sends them later if the proxy reads slowly.

        A slow reader gets only the newest state.
        """
        if not self.has_tables:
            self.has_tables = True
            parts = PARTS
        changed = set(parts)
        self.stale_types.update(
            type_url
            for type_url, type_parts in self.PARTS_BY_TYPE_URL.items()
            if type_parts & changed
        )
        self.send_stale_types()

    def send_stale_types(self) -> None:
        """Sends the resource types that have changed, until the call has a backlog.

        The call's `on_writable` sends the remaining types when the backlog has been sent.
        """
        for type_url in self.PARTS_BY_TYPE_URL:
            if type_url in self.stale_types and self.call.idle and self.discovery is not None:
                self.stale_types.discard(type_url)
                self._send(self.discovery.resources_changed(type_url))

    def _send(self, responses: Iterable[Any]) -> None:
        for response in responses:
            self.call.send(response.SerializeToString(deterministic=True))

    def redirect(self, text: str, **metadata: str) -> None:
        """Redirects the proxy to another controller; the proxy keeps its tables."""
        self.call.finish(StatusCode.UNAVAILABLE, text, **metadata)


class DeltaSession(Session):
    """The session of one proxy on an incremental discovery stream (see `incremental`)."""

    REQUEST_TYPE = discovery_pb2.DeltaDiscoveryRequest
    PARTS_BY_TYPE_URL = {
        LB_ENDPOINT_TYPE_URL: {"line"},
        ASSIGNMENT_TYPE_URL: {"level"},
        ROUTE_TYPE_URL: {"retry"},
    }

    def _make_discovery(self, epoch: int) -> Union[Discovery, IncrementalDiscovery]:
        return IncrementalDiscovery(
            epoch, self.items, self.server.identity, self._on_delta_response_sent, self.server.zones
        )

    def _on_delta_response_sent(self, version: Version, parts: tuple[str, ...]) -> None:
        self.handler.on_response_sent(self, version, parts)
