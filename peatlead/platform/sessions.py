"""The controller's listening address: connections of proxies, collectors and other peers.

This module enforces deadlines and bounds and rejects invalid messages; what a joined peer reports
goes to the listener's `SessionOwner`.
"""

import asyncio
import socket
from enum import StrEnum
from typing import Any, Optional, Protocol, Union

from ..net.listener import Listener
from ..net.streams import Lines
from .messages import (
    ALIVE,
    LINE_LIMIT,
    Acknowledgement,
    Address,
    CollectorHello,
    EndpointOutcomes,
    InboundMessage,
    InvalidFieldError,
    LivenessCheck,
    MalformedMessageError,
    ProxyHello,
    RequestDemand,
    read_message,
    write_error,
)

JOIN_TIMEOUT = 1.3  # seconds in which a peer must join, or it is refused
REFUSAL_TIMEOUT = 1.0  # seconds that a refused peer may take to read the reason
# Seconds of silence after which a zone's collector is cut when another one of that zone joins.
COLLECTOR_SILENCE_LIMIT = 15.0
# Bytes of a line before joining; a hello takes some hundred. After it, a line may be LINE_LIMIT.
HELLO_LINE_LIMIT = 4096
UNREAD_LIMIT = 128 << 10  # bytes that a peer may leave unread
PENDING_CHECKS_LIMIT = 8  # liveness checks of a connection that wait for the controller to be ready
ACCEPTS_PER_TURN = 8  # connections accepted in one turn of the event loop
LISTEN_BACKLOG = 1024  # connections that may wait meanwhile
RESERVED_DESCRIPTORS = 14  # for the listener, the event loop, discovery and files
MINIMUM_CONNECTIONS = 8  # connections allowed, however few descriptors there are

Report = Union[EndpointOutcomes, RequestDemand, Acknowledgement]


class EndReason(StrEnum):
    """Why the controller ends a connection; ends by the peer have the network's reasons."""

    REPLACED = "joined anew"
    PUSH_FAILED = "message not written"
    SILENT = "silent"
    TOO_MANY_CONNECTIONS = "too many connections"
    CONTROLLER_STOPS = "the steward ends"
    REFUSAL_UNREAD = "did not read why it was refused"


class Incident(StrEnum):
    """What the listener counts, besides the ends of proxies' streams by reason."""

    INVALID_FIELD = "spoilt"
    REFUSED = "refused"
    EVICTED = "evicted"
    UNKNOWN_NAME = "names nothing"


class SessionOwner(Protocol):
    """What a listener needs of the controller."""

    ready: bool  # whether liveness checks may be answered

    def log(self, event: str, /, **fields: Any) -> None:
        """Write a log event."""
        ...

    def accept_proxy(self, session: "Session", hello: ProxyHello) -> Optional[int]:
        """Return the proxy's number, or None if there is no such proxy."""
        ...

    def accept_collector(self, hello: CollectorHello) -> bool:
        """Return whether the collector's zone exists."""
        ...

    def session_joined(self, session: "Session") -> None:
        """Handle a new stream of the proxy `session.proxy`."""
        ...

    def session_left(self, session: "Session", reason: str) -> None:
        """Handle the end of a proxy's stream."""
        ...

    def message_received(self, session: "Session", message: Report) -> None:
        """Handle a report of a joined peer."""
        ...

    def all_sessions_ended(self) -> None:
        """Handle the end of the last connection after `SessionListener.close`."""
        ...


class Session(Lines):
    """One connection, of a proxy, a collector or a peer that has not joined."""

    loop: asyncio.AbstractEventLoop
    deadline: asyncio.TimerHandle  # for joining; after a refusal, for reading the reason

    def __init__(self, listener: "SessionListener") -> None:
        super().__init__(longest=HELLO_LINE_LIMIT, waiting_most=UNREAD_LIMIT)
        self.listener = listener
        self.proxy: Optional[int] = None  # the number of the proxy that joined on it
        self.collector_zone: Optional[str] = None  # the zone of the collector that joined on it
        self.joined = False
        self.finished = False  # nothing that is received counts any more
        self.pending_checks = 0  # liveness checks to answer once the controller is ready
        # Of a proxy, as its hello says: the index of its zone, requests a second, whether it has
        # no table yet.
        self.zone = 0
        self.request_rate = 0.0
        self.bootstrap_only = True
        # Endpoints that were restored on this stream, so that the proxy no longer ejects them.
        self.restored: set[int] = set()

    def opened(self) -> None:
        """Start the deadline for joining."""
        self.deadline = self.loop.call_later(
            JOIN_TIMEOUT, self.refuse, "expected a message that joins"
        )
        self.listener.add(self)

    def received(self, data: bytes) -> None:
        """Split what was read into lines."""
        if not self.finished:
            super().received(data)

    def line(self, data: bytes) -> None:
        """Handle one line: an invalid field costs the message, anything worse the connection."""
        if self.finished or not data.strip():
            return
        try:
            message = read_message(data)
        except InvalidFieldError as problem:
            self.listener.count(Incident.INVALID_FIELD)
            if not self.joined:
                self.refuse(str(problem))
            return
        except MalformedMessageError as problem:
            self.refuse(str(problem))
            return
        self.handle(message)

    def handle(self, message: InboundMessage) -> None:
        """Handle a valid message."""
        if isinstance(message, (Acknowledgement, EndpointOutcomes, RequestDemand)):
            if self.joined:
                self.listener.owner.message_received(self, message)
            else:
                self.refuse("expected a message that joins first")
        elif isinstance(message, LivenessCheck):
            self.answer_liveness_check()
        elif isinstance(message, ProxyHello):
            self.join_as_proxy(message)
        else:
            self.join_as_collector(message)

    def answer_liveness_check(self) -> None:
        """Answer now, or as soon as the controller is ready."""
        if self.listener.owner.ready:
            self.send(ALIVE)
        elif self.pending_checks < PENDING_CHECKS_LIMIT:
            self.pending_checks += 1

    def join_as_collector(self, hello: CollectorHello) -> None:
        """Join, or join again with another zone."""
        if self.proxy is not None or not self.listener.owner.accept_collector(hello):
            self.refuse("expected a collector's zone")
            return
        is_first = not self.joined
        self.collector_zone = hello.zone
        self.finish_joining()
        if is_first:
            self.listener.cut_silent_collectors(self)

    def join_as_proxy(self, hello: ProxyHello) -> None:
        """Join; a repeated hello only updates what the proxy says of itself."""
        is_collector = self.joined and self.proxy is None
        proxy = None if is_collector else self.listener.owner.accept_proxy(self, hello)
        if proxy is None:
            self.refuse("expected a proxy's number and zone")
            return
        if self.joined:
            return
        self.proxy = proxy
        self.finish_joining()
        self.listener.owner.session_joined(self)

    def finish_joining(self) -> None:
        """Lift the bounds of a connection that has not joined."""
        self.joined = True
        self.longest = LINE_LIMIT
        self.deadline.cancel()
        self.listener.unjoined.pop(self, None)

    def refuse(self, reason: str) -> None:
        """Send an error and end the connection; nothing further is read."""
        if self.finished:
            return
        self.finish()
        self.listener.count(Incident.REFUSED)
        self.send(write_error(reason))
        self.deadline.cancel()
        self.deadline = self.loop.call_later(REFUSAL_TIMEOUT, self.cut, EndReason.REFUSAL_UNREAD)
        self.close()

    def leave(self) -> None:
        """End this side of the connection, since the controller stops.

        What was written is still sent, and nothing further is read.
        """
        self.finish()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def finish(self) -> None:
        """Ignore all input from now on."""
        self.finished = True
        self.part = bytearray()

    def cut(self, reason: str) -> None:
        """End the connection at once."""
        self.finished = True
        super().cut(reason)

    def ended(self, reason: str) -> None:
        """Handle the end of the connection."""
        self.finish()
        self.deadline.cancel()
        self.listener.remove(self, reason)


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
            # A herd of proxies waits in the backlog: accepted at once, it would pass the limit.
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
            session.cut(EndReason.CONTROLLER_STOPS)

    def cut_silent_collectors(self, newest: Session) -> None:
        """Cut collectors of the newest one's zone that have fallen silent.

        A machine that vanished never ends its connection.
        """
        silent_since = newest.loop.time() - COLLECTOR_SILENCE_LIMIT
        for session in list(self.sessions):
            same_zone = session.collector_zone == newest.collector_zone
            if session is not newest and same_zone and session.touched < silent_since:
                session.cut(EndReason.SILENT)

    def add(self, session: Session) -> None:
        """Add a new connection, and cut one past the limit."""
        if self.closed:
            session.cut(EndReason.CONTROLLER_STOPS)
        if len(self.sessions) >= self.limit:
            oldest = next(iter(self.unjoined), session)
            self.unjoined.pop(oldest, None)
            self.count(Incident.EVICTED)
            oldest.cut(EndReason.TOO_MANY_CONNECTIONS)
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
