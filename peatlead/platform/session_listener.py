"""Accepts the connections of peers, and limits their number."""

import socket
from typing import Optional

from ..net.listener import Listener
from .messages import ALIVE, Address
from .session_owner import EndReason, Incident, SessionOwner
from .sessions import Session

# Seconds of idleness after which a collector is cut when another collector of its zone joins.
COLLECTOR_SILENCE_TIMEOUT = 15.0
MAX_ACCEPTS_PER_TURN = 8  # connections accepted in one turn of the event loop
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
RESERVED_DESCRIPTORS = 14  # for the listener, the event loop, discovery and files
MIN_CONNECTIONS = 8  # lower bound of the connection limit


class SessionListener:
    """The connections of the listening address, limited in number.

    Each connection past the limit causes one to be cut: the oldest that has not joined, or the new
    one if all others have joined. `reserved_descriptors` is the number of file descriptors that
    other parts of the controller use.
    """

    def __init__(self, owner: SessionOwner, sockets: int, reserved_descriptors: int) -> None:
        available_descriptors = (
            sockets - RESERVED_DESCRIPTORS - MAX_ACCEPTS_PER_TURN - reserved_descriptors
        )
        self.owner = owner
        self.max_connections = max(MIN_CONNECTIONS, available_descriptors)
        # Both are used as ordered sets.
        self.sessions: dict[Session, bool] = {}
        self.unjoined: dict[Session, bool] = {}
        self.counts: dict[str, int] = {}  # of incidents, and of ends of proxies' streams by reason
        self.server: Optional[Listener] = None
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
            self.server = Listener(
                listening_socket, lambda: Session(self), MAX_ACCEPTS_PER_TURN, self.owner.log
            )
        except OSError:
            listening_socket.close()
            raise

    def close(self) -> None:
        """Accept no further connections, and close the others after sending buffered data."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for session in list(self.sessions):
            session.close_gracefully()
        if not self.sessions:
            self.owner.all_sessions_ended()

    def cut(self) -> None:
        """Cut all connections immediately."""
        for session in list(self.sessions):
            session.abort(EndReason.CONTROLLER_STOPS)

    def cut_silent_collectors(self, new_collector: Session) -> None:
        """Cut the idle collectors of a new collector's zone.

        The connection of a machine that failed may never end otherwise.
        """
        silent_since = new_collector.loop.time() - COLLECTOR_SILENCE_TIMEOUT
        for session in list(self.sessions):
            same_zone = session.collector_zone == new_collector.collector_zone
            if session is not new_collector and same_zone and session.last_activity < silent_since:
                session.abort(EndReason.SILENT)

    def add(self, session: Session) -> None:
        """Add a new connection, and cut one if the limit is exceeded."""
        if self.closed:
            session.abort(EndReason.CONTROLLER_STOPS)
        if len(self.sessions) >= self.max_connections:
            session_to_cut = next(iter(self.unjoined), session)
            self.unjoined.pop(session_to_cut, None)
            self.count(Incident.EVICTED)
            session_to_cut.abort(EndReason.TOO_MANY_CONNECTIONS)
        self.sessions[session] = True
        self.unjoined[session] = True

    def remove(self, session: Session, reason: str) -> None:
        """Remove a connection that has ended."""
        self.sessions.pop(session, None)
        self.unjoined.pop(session, None)
        if session.proxy is not None:
            self.count(f"proxy: {reason}")
            self.owner.session_left(session, reason)
        if self.closed and not self.sessions:
            self.owner.all_sessions_ended()

    def answer_pending_checks(self) -> None:
        """Answer the liveness checks that arrived before the controller was ready."""
        for session in list(self.sessions):
            if session.pending_checks:
                session.send(ALIVE * session.pending_checks)
                session.pending_checks = 0

    def count(self, name: str) -> None:
        """Count an incident or the end of a stream."""
        self.counts[name] = self.counts.get(name, 0) + 1
