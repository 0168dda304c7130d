"""Connections of proxies, collectors and other peers.

This module enforces deadlines and bounds and rejects invalid messages; what a joined peer reports
goes to the `SessionOwner`.
"""

import asyncio
from typing import TYPE_CHECKING, Optional

from ..net.streams import LineStream
from .messages import (
    ALIVE,
    LINE_LIMIT,
    Acknowledgement,
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
from .session_owner import EndReason, Incident

if TYPE_CHECKING:
    from .session_listener import SessionListener

JOIN_TIMEOUT = 1.3  # seconds in which a peer must join, or it is refused
REFUSAL_TIMEOUT = 1.0  # seconds that a refused peer may take to read the reason
# Bytes of a line before joining; a hello takes some hundred. After it, a line may be LINE_LIMIT.
HELLO_LINE_LIMIT = 4096
UNREAD_LIMIT = 128 << 10  # bytes that a peer may leave unread
PENDING_CHECKS_LIMIT = 8  # liveness checks of a connection that wait for the controller to be ready


class Session(LineStream):
    """One connection, of a proxy, a collector or a peer that has not joined."""

    loop: asyncio.AbstractEventLoop
    deadline: asyncio.TimerHandle  # for joining; after a refusal, for reading the reason

    def __init__(self, listener: "SessionListener") -> None:
        super().__init__(max_line_bytes=HELLO_LINE_LIMIT, max_unsent_bytes=UNREAD_LIMIT)
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
        self.max_line_bytes = LINE_LIMIT
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
        self.deadline = self.loop.call_later(REFUSAL_TIMEOUT, self.abort, EndReason.REFUSAL_UNREAD)
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
        self.partial_line = bytearray()

    def abort(self, reason: str) -> None:
        """End the connection at once."""
        self.finished = True
        super().abort(reason)

    def ended(self, reason: str) -> None:
        """Handle the end of the connection."""
        self.finish()
        self.deadline.cancel()
        self.listener.remove(self, reason)
