"""The gRPC server of one controller: discovery streams and load report streams of proxies."""

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

DISCOVERY = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
DELTA = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
LOADS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
MAX_CONNECTIONS = 10_000  # beyond it the one idle for longest is cut
LISTEN_BACKLOG = 1024


class GrpcServer:
    """The listener. `kinds`: names of the request classes; `zones`: names of all zones."""

    def __init__(
        self,
        handler: ProxyHandler,
        identity: str,
        kinds: Sequence[str],
        most: int = MAX_CONNECTIONS,
        zones: Sequence[str] = (),
    ) -> None:
        self.handler = handler
        self.identity = identity  # of this controller
        self.zones = zones
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.sessions: dict[str, Session] = {}  # admitted proxies by name
        self.connections = ConnectionSet(most)
        self.server: Optional[asyncio.Server] = None

    async def open(self, address: tuple[str, int]) -> None:
        """Listens on an address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._connect, *address, backlog=LISTEN_BACKLOG)

    def _connect(self) -> Connection:
        connection = Connection(False, self._serve)
        connection.ended_all = lambda reason: self.connections.remove(connection)
        connection.connection_count = lambda: len(self.connections.streams)
        self.connections.add(connection)
        return connection

    def _serve(self, call: Call) -> None:
        if call.path == DISCOVERY:
            Session(self, call)
        elif call.path == DELTA:
            DeltaSession(self, call)
        elif call.path == LOADS:
            LoadReportStream(self, call)
        else:
            expected = f"expected {DISCOVERY}, {DELTA} or {LOADS}"
            call.finish(StatusCode.UNIMPLEMENTED, expected)

    def add(self, session: Session) -> None:
        """Adds an admitted proxy.

        An older stream of the same proxy is that of a half-open connection, and ends.
        """
        name = session.node.name
        old = self.sessions.get(name)
        self.sessions[name] = session
        if old is not None:
            old.call.finish(StatusCode.UNAVAILABLE, "replaced by a newer stream")

    def drop(self, session: Session) -> bool:
        """Removes a proxy; False where a newer stream of it has been added."""
        name = session.node.name
        if self.sessions.get(name) is not session:
            return False
        del self.sessions[name]
        return True

    def close(self) -> None:
        """Stops listening, and closes all connections once their calls have ended."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections.streams):
            if isinstance(connection, Connection):
                connection.go_away()
            connection.close()
