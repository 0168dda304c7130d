"""Accepts the connections of peers, and limits their number."""

import socket
from typing import Optional

from ..net.listener import Listener
from .messages import ALIVE, Address
from .session_owner import EndReason, Incident, SessionOwner
from .sessions import Session

# Seconds of idleness after which a collector is aborted when another collector of its zone joins.
COLLECTOR_SILENCE_TIMEOUT = 15.0
MAX_ACCEPTS_PER_TURN = 8  # connections accepted in one turn of the event loop
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
RESERVED_DESCRIPTORS = 14  # for the listener, the event loop, discovery and files
MIN_CONNECTIONS = 8  # lower bound of `max_connections`


class SessionListener:
    """The connections of the listening address, limited in number.

    A connection past the limit causes the oldest connection that has not joined to be aborted. If
    all others have joined, the new connection itself is aborted. `sockets` is the maximum number of
    open file descriptors, and `health_check_descriptors` is the part that health checks may use.
    """

    def __init__(self, owner: SessionOwner, sockets: int, health_check_descriptors: int) -> None:
        available_descriptors = (
            sockets - RESERVED_DESCRIPTORS - MAX_ACCEPTS_PER_TURN - health_check_descriptors
        )
        self.owner = owner
        self.max_connections = max(MIN_CONNECTIONS, available_descriptors)
        # Both dictionaries are used as ordered sets.
        self.sessions: dict[Session, bool] = {}
        self.unjoined_sessions: dict[Session, bool] = {}
        self.counts: dict[str, int] = {}  # of incidents, and of ended proxy streams by reason
        self.listener: Optional[Listener] = None
        self.closed = False

    async def open(self, address: Address) -> None:
        """Listen on an address. Raises OSError."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listening_socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening_socket.setblocking(False)
            listening_socket.bind(address)
            # In a burst, connections wait in the backlog: accepting them all at once would exceed
            # the limit.
            listening_socket.listen(LISTEN_BACKLOG)
            self.listener = Listener(
                listening_socket, lambda: Session(self), MAX_ACCEPTS_PER_TURN, self.owner.log
            )
        except OSError:
            listening_socket.close()
            raise

    def close(self) -> None:
        """Accept no further connections, and close the others after sending buffered data."""
        self.closed = True
        if self.listener is not None:
            self.listener.close()
        for session in list(self.sessions):
            session.close_gracefully()
        if not self.sessions:
            self.owner.all_sessions_ended()

    def abort_all(self) -> None:
        """Abort all connections."""
        for session in list(self.sessions):
            session.abort(EndReason.CONTROLLER_STOPS)

    def abort_silent_collectors(self, new_collector: Session) -> None:
        """Abort the idle collectors of a new collector's zone.

        Otherwise, the connection of a collector whose machine failed might never end.
        """
        silent_since = new_collector.loop.time() - COLLECTOR_SILENCE_TIMEOUT
        for session in list(self.sessions):
            same_zone = session.collector_zone_name == new_collector.collector_zone_name
            if session is not new_collector and same_zone and session.last_activity < silent_since:
                session.abort(EndReason.SILENT)

    def add(self, session: Session) -> None:
        """Add a new connection, and abort a connection if the limit is exceeded."""
        if self.closed:
            session.abort(EndReason.CONTROLLER_STOPS)
        if len(self.sessions) >= self.max_connections:
            session_to_abort = next(iter(self.unjoined_sessions), session)
            self.unjoined_sessions.pop(session_to_abort, None)
            self.count(Incident.EVICTED)
            session_to_abort.abort(EndReason.TOO_MANY_CONNECTIONS)
        self.sessions[session] = True
        self.unjoined_sessions[session] = True

    def remove(self, session: Session, reason: str) -> None:
        """Remove a connection that has ended."""
        self.sessions.pop(session, None)
        self.unjoined_sessions.pop(session, None)
        if session.proxy is not None:
            self.count(f"proxy: {reason}")
            self.owner.session_left(session, reason)
        if self.closed and not self.sessions:
            self.owner.all_sessions_ended()

    def answer_pending_liveness_checks(self) -> None:
        """Answer the liveness checks that arrived before the controller was ready."""
        for session in list(self.sessions):
            if session.pending_liveness_checks:
                session.send(ALIVE * session.pending_liveness_checks)
                session.pending_liveness_checks = 0

    def count(self, name: str) -> None:
        """Count an incident or the end of a stream."""
        self.counts[name] = self.counts.get(name, 0) + 1
