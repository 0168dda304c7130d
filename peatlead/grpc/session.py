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
from .incremental import Incremental, Items
from .proxy_node import ProxyNode, read_node
from .resources import (
    ENDPOINTS,
    LINES,
    ROUTES,
    ROUTES_NAME,
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
    TYPES: ClassVar[Mapping[str, set[str]]] = {ENDPOINTS: {"line", "level"}, ROUTES: {"retry"}}

    epoch: int  # set once the proxy is admitted

    def __init__(self, front: GrpcServer, call: Call) -> None:
        self.front = front
        self.handler = front.handler
        self.call = call
        self._node: Optional[ProxyNode] = None  # until the first request
        self.discovery: Optional[Union[Discovery, Incremental]] = None  # while it is admitted
        self.since = 0.0  # when it was admitted
        self.ready = False  # whether there is anything to send
        self.stale: set[str] = set()  # resource types that have changed since they were sent
        # Kept by the handler.
        self.number: Any = None
        self.state: Any = None
        self.zone = 0
        self.levels: dict[str, float] = {}  # admitted fraction by request class
        self.retries: dict[str, str] = {}  # retry policy by request class
        self.causes: dict[Any, None] = {}  # of what is sent next
        self.held: Version = NO_VERSION  # acknowledged
        self.report_at: Optional[float] = None  # when its last load report was processed
        self.reports = 0  # load reports that have come
        call.message = self._on_message
        call.ended = self._on_end
        call.writable = self.push

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
            self._send(self.discovery.take(request))
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
        self.since = asyncio.get_running_loop().time()
        self.call.connection.accept(self.call, **self.handler.hints(node))
        self.call.connection.flush()
        self.handler.joined(self)

    def _make_discovery(self, epoch: int) -> Union[Discovery, Incremental]:
        return Discovery(epoch, self._resources, self.front.identity, self._on_published)

    def _on_published(self, version: Version, type_url: str) -> None:
        self.handler.published(self, version, sorted(self.TYPES[type_url]))

    def _report_acknowledgements(self, discovery: Union[Discovery, Incremental]) -> None:
        """Hands ACKs and NACKs to the handler."""
        for refusal in discovery.refusals:
            self.handler.refused(self, refusal)
        for type_url, version in discovery.applied:
            self.handler.applied(self, type_url, version)
        discovery.refusals = []
        discovery.applied = []

    def _on_end(self, status: int, text: str) -> None:
        if self.discovery is not None:
            self.discovery = None
            self.handler.left(self)

    # What the proxy is to hold.

    def _resources(self, type_url: str, names: tuple[str, ...]) -> Optional[Resources]:
        """The resources as they stand.

        None while there is nothing to send: what the proxy brought is valid until then.
        """
        if not self.ready:
            return None
        if type_url == ENDPOINTS:
            return {
                name: encode_assignment(
                    name, self._lines(name), self.levels.get(name, FULL_ADMISSION)
                )
                for name in self.front.kinds
                if name in names or not names
            }
        if type_url == ROUTES:
            return {
                ROUTES_NAME: encode_routes({name: self._retry(name) for name in self.front.kinds})
            }
        return {}

    def _retry(self, request_class: str) -> str:
        return self.retries.get(request_class, RetryPolicy.UNSTARTED.value)

    def _lines(self, request_class: str) -> list[WeightedEndpoint]:
        weights = self.handler.lines_of(self, self.front.kinds[request_class])
        return [
            WeightedEndpoint(*self.handler.place_of(endpoint), weight)
            for endpoint, weight in weights.items()
        ]

    def items(self, part: str) -> Optional[Items]:
        """The items of a part of the tables as they stand; None while there is nothing to send."""
        if not self.ready:
            return None
        kinds = self.front.kinds
        if part == "line":
            return {
                line_key(kind, line.zone, line.address, line.port): quantize_weight(line.weight)
                for kind in kinds
                for line in self._lines(kind)
            }
        if part == "level":
            return {
                f"level/{kind}": round(self.levels.get(kind, FULL_ADMISSION) * MILLION)
                for kind in kinds
            }
        return {f"retry/{kind}": self._retry(kind) for kind in kinds}

    # Sending.

    def changed(self, parts: Iterable[str] = PARTS) -> None:
        """Sends these parts of the tables, which have changed; to a slow reader only the newest."""
        if not self.ready:
            self.ready = True
            parts = PARTS
        changed = set(parts)
        self.stale.update(type_url for type_url, covers in self.TYPES.items() if covers & changed)
        self.push()

    def push(self) -> None:
        """Sends what has changed, as long as nothing waits for the proxy."""
        for type_url in self.TYPES:
            if type_url in self.stale and self.call.idle and self.discovery is not None:
                self.stale.discard(type_url)
                self._send(self.discovery.changed(type_url))

    def _send(self, responses: Iterable[Any]) -> None:
        for response in responses:
            self.call.send(response.SerializeToString(deterministic=True))

    def move(self, text: str, **metadata: str) -> None:
        """Redirects the proxy to another controller; it keeps what it holds."""
        self.call.finish(StatusCode.UNAVAILABLE, text, **metadata)


class DeltaSession(Session):
    """The stream of one proxy, incremental variant: endpoints as resources of their own."""

    REQUEST = discovery_pb2.DeltaDiscoveryRequest
    TYPES = {LINES: {"line"}, ENDPOINTS: {"level"}, ROUTES: {"retry"}}

    def _make_discovery(self, epoch: int) -> Union[Discovery, Incremental]:
        return Incremental(
            epoch, self.items, self.front.identity, self._on_parts_published, self.front.zones
        )

    def _on_parts_published(self, version: Version, parts: tuple[str, ...]) -> None:
        self.handler.published(self, version, parts)
