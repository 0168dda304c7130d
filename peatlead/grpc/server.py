"""The gRPC server of one controller, for discovery and load report streams of proxies."""

import asyncio
from collections.abc import Sequence
from typing import Optional

from ..net.streams import ConnectionSet
from .call import Call
from .framing import StatusCode
from .handler import ProxyHandler
from .http2 import Connection
from .load_report_stream import LoadReportStream
from .session import DeltaSession, Session

DISCOVERY_PATH = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
DELTA_DISCOVERY_PATH = (
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
)
LOAD_REPORTING_PATH = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
MAX_CONNECTIONS = 10_000  # a further connection replaces the one that has been idle longest
LISTEN_BACKLOG = 1024  # connections that wait to be accepted


class GrpcServer:
    """Listens for proxies, and keeps the sessions of admitted proxies.

    `identity`: the name of this controller. `request_classes` and `zones`: the names of the
    request classes and of the zones, in the order of the settings.
    """

    def __init__(
        self,
        handler: ProxyHandler,
        identity: str,
        request_classes: Sequence[str],
        max_connections: int = MAX_CONNECTIONS,
        zones: Sequence[str] = (),
    ) -> None:
        self.handler = handler
        self.identity = identity
        self.zones = zones
        self.class_indices = {name: index for index, name in enumerate(request_classes)}
        self.sessions: dict[str, Session] = {}  # admitted proxies only, by proxy name
        self.connections = ConnectionSet(max_connections)
        self.listener: Optional[asyncio.Server] = None

    async def open(self, address: tuple[str, int]) -> None:
        """Listens on an address. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self._create_connection, *address, backlog=LISTEN_BACKLOG
        )

    def _create_connection(self) -> Connection:
        connection = Connection(False, self._serve)
        connection.on_end = lambda reason: self.connections.remove(connection)
        connection.connection_count = lambda: len(self.connections.streams)
        self.connections.add(connection)
        return connection

    def _serve(self, call: Call) -> None:
        if call.path == DISCOVERY_PATH:
            Session(self, call)
        elif call.path == DELTA_DISCOVERY_PATH:
            DeltaSession(self, call)
        elif call.path == LOAD_REPORTING_PATH:
            LoadReportStream(self, call)
        else:
            expected = f"expected {DISCOVERY_PATH}, {DELTA_DISCOVERY_PATH} or {LOAD_REPORTING_PATH}"
            call.finish(StatusCode.UNIMPLEMENTED, expected)

    def add_session(self, session: Session) -> None:
        """Adds the session of an admitted proxy.

        An older session of the same proxy belongs to a half-open connection and is ended.
        """
        name = session.node.name
        replaced_session = self.sessions.get(name)
        self.sessions[name] = session
        if replaced_session is not None:
            replaced_session.call.finish(StatusCode.UNAVAILABLE, "replaced by a newer stream")

    def remove_session(self, session: Session) -> bool:
        """Removes a session; returns False if a newer session of the proxy has replaced it."""
        name = session.node.name
        if self.sessions.get(name) is not session:
            return False
        del self.sessions[name]
        return True

    def close(self) -> None:
        """Stops listening, sends GOAWAY on all connections and closes them."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections.streams):
            if isinstance(connection, Connection):
                connection.go_away()
            connection.close()
