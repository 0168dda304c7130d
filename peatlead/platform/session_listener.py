"""The controller's listening address: accepts connections and bounds how many there are."""

import socket
from typing import Optional

from ..net.listener import Listener
from .messages import ALIVE, Address
from .session_owner import EndReason, Incident, SessionOwner
from .sessions import Session

# Seconds of silence after which a zone's collector is cut when another one of that zone joins.
COLLECTOR_SILENCE_LIMIT = 15.0
ACCEPTS_PER_TURN = 8  # connections accepted in one turn of the event loop
LISTEN_BACKLOG = 1024  # connections that may wait meanwhile
RESERVED_DESCRIPTORS = 14  # for the listener, the event loop, discovery and files
MINIMUM_CONNECTIONS = 8  # connections allowed, however few descriptors there are


class SessionListener:
    """All connections of the listening address, within a limit.

    Past the limit, the connection that has waited longest without joining is cut, or the new one
    where all have joined.
    """

    def __init__(self, owner: SessionOwner, sockets: int, reserved: int) -> None:
        available = sockets - RESERVED_DESCRIPTORS - ACCEPTS_PER_TURN - reserved
        self.owner = owner
        self.limit = max(MINIMUM_CONNECTIONS, available)
        # Both are ordered sets.
        self.sessions: dict[Session, bool] = {}
        self.unjoined: dict[Session, bool] = {}
        self.counts: dict[str, int] = {}  # of incidents and of the ends of proxies' streams
        self.server: Optional[Listener] = None
        self.closed = False

    async def open(self, address: Address) -> None:
        """Start to listen. Raises OSError."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setblocking(False)
            listening.bind(address)
            # A burst of connecting proxies waits in the backlog: accepted at once, it would
            # exceed the limit.
            listening.listen(LISTEN_BACKLOG)
            self.server = Listener(
                listening, lambda: Session(self), ACCEPTS_PER_TURN, self.owner.log
            )
        except OSError:
            listening.close()
            raise

    def close(self) -> None:
        """Accept no further connection, and end the others once what was written has been sent."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for session in list(self.sessions):
            session.leave()
        if not self.sessions:
            self.owner.all_sessions_ended()

    def cut(self) -> None:
        """End all connections at once."""
        for session in list(self.sessions):
            session.abort(EndReason.CONTROLLER_STOPS)

    def cut_silent_collectors(self, newest: Session) -> None:
        """Cut collectors of the newest one's zone that have fallen silent.

        A machine that vanished never ends its connection.
        """
        silent_since = newest.loop.time() - COLLECTOR_SILENCE_LIMIT
        for session in list(self.sessions):
            same_zone = session.collector_zone == newest.collector_zone
            if session is not newest and same_zone and session.last_activity < silent_since:
                session.abort(EndReason.SILENT)

    def add(self, session: Session) -> None:
        """Add a new connection, and cut one past the limit."""
        if self.closed:
            session.abort(EndReason.CONTROLLER_STOPS)
        if len(self.sessions) >= self.limit:
            oldest = next(iter(self.unjoined), session)
            self.unjoined.pop(oldest, None)
            self.count(Incident.EVICTED)
            oldest.abort(EndReason.TOO_MANY_CONNECTIONS)
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
        """Answer the liveness checks that came before the controller was ready."""
        for session in list(self.sessions):
            if session.pending_checks:
                session.send(ALIVE * session.pending_checks)
                session.pending_checks = 0

    def count(self, what: str) -> None:
        """Count an incident or an end: of both there are few kinds."""
        self.counts[what] = self.counts.get(what, 0) + 1
