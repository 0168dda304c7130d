"""Connections of proxies, collectors and other peers.

This module enforces timeouts and size limits, and rejects invalid messages. Reports from peers that
have joined are passed to the `SessionOwner`.
"""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Optional

from ..net.streams import LineStream
from .messages import (
    ALIVE,
    MAX_LINE_BYTES,
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

JOIN_TIMEOUT = 1.3  # seconds until a peer that has not joined is refused
REFUSAL_TIMEOUT = 1.0  # seconds until a refused connection is aborted if it is still open
# Maximum size of a line before the peer has joined; afterwards, the maximum is MAX_LINE_BYTES. A
# hello takes a few hundred bytes.
MAX_HELLO_LINE_BYTES = 4096
MAX_UNSENT_BYTES = 128 << 10  # buffered bytes that wait for the peer to read
MAX_PENDING_LIVENESS_CHECKS = 8  # unanswered checks of each connection
MAX_UNACKNOWLEDGED_NONCES = 1024


class Session(LineStream):
    """One connection, of a proxy, a collector or a peer that has not joined."""

    loop: asyncio.AbstractEventLoop
    # Refuses the peer after JOIN_TIMEOUT, or aborts a refused connection after REFUSAL_TIMEOUT.
    timeout_timer: asyncio.TimerHandle

    def __init__(self, listener: "SessionListener") -> None:
        super().__init__(max_line_bytes=MAX_HELLO_LINE_BYTES, max_unsent_bytes=MAX_UNSENT_BYTES)
        self.listener = listener
        self.proxy: Optional[int] = None  # number of the proxy that joined
        self.collector_zone_name: Optional[str] = None  # of the collector that joined
        self.joined = False
        self.ignores_input = False
        self.pending_liveness_checks = 0  # to answer once the controller is ready
        # These three values are from the proxy's hello.
        self.zone = 0  # index of the zone
        self.request_rate = 0.0  # requests per second
        self.bootstrap_only = True  # whether the proxy has no table of any controller yet
        # Sent on this stream, oldest first; if a proxy answers none, the oldest are dropped.
        self.unacknowledged_nonces: deque[int] = deque(maxlen=MAX_UNACKNOWLEDGED_NONCES)

    def acknowledge(self, nonce: int) -> bool:
        """Return whether the nonce was sent and not acknowledged; it covers the ones before it.

        Any other nonce is not this proxy's to acknowledge: the planner would take messages to other
        proxies for delivered.
        """
        if nonce not in self.unacknowledged_nonces:
            return False
        while self.unacknowledged_nonces.popleft() != nonce:
            pass
        return True

    def opened(self) -> None:
        """Start the join timeout and register the connection with the listener."""
        self.timeout_timer = self.loop.call_later(
            JOIN_TIMEOUT, self.refuse, "expected a message that joins"
        )
        self.listener.add(self)

    def received(self, data: bytes) -> None:
        """Split received bytes into lines, unless input is ignored."""
        if not self.ignores_input:
            super().received(data)

    def line_received(self, data: bytes) -> None:
        """Handle one line.

        A malformed message is refused. A message with an invalid field is refused if the peer has
        not joined, and ignored otherwise.
        """
        if self.ignores_input or not data.strip():
            return
        try:
            message = read_message(data)
        except InvalidFieldError as error:
            self.listener.count(Incident.INVALID_FIELD)
            if not self.joined:
                self.refuse(str(error))
            return
        except MalformedMessageError as error:
            self.refuse(str(error))
            return
        self.handle_message(message)

    def handle_message(self, message: InboundMessage) -> None:
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
        """Answer a liveness check now, or as soon as the controller is ready."""
        if self.listener.owner.ready:
            self.send(ALIVE)
        elif self.pending_liveness_checks < MAX_PENDING_LIVENESS_CHECKS:
            self.pending_liveness_checks += 1

    def join_as_collector(self, hello: CollectorHello) -> None:
        """Join as a collector, or change the zone of a collector that has joined."""
        if self.proxy is not None or not self.listener.owner.accept_collector(hello):
            self.refuse("expected a collector's zone")
            return
        is_first = not self.joined
        self.collector_zone_name = hello.zone
        self.finish_joining()
        if is_first:
            self.listener.abort_silent_collectors(self)

    def join_as_proxy(self, hello: ProxyHello) -> None:
        """Join as a proxy; a repeated hello only updates the zone, rate and `bootstrap_only`."""
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
        """Stop the join timeout and lift the limits of connections that have not joined."""
        self.joined = True
        self.max_line_bytes = MAX_LINE_BYTES
        self.timeout_timer.cancel()
        self.listener.unjoined_sessions.pop(self, None)

    def refuse(self, reason: str) -> None:
        """Send an error, close the connection and ignore further input."""
        if self.ignores_input:
            return
        self.ignore_input()
        self.listener.count(Incident.REFUSED)
        self.send(write_error(reason))
        self.timeout_timer.cancel()
        self.timeout_timer = self.loop.call_later(
            REFUSAL_TIMEOUT, self.abort, EndReason.REFUSAL_UNREAD
        )
        self.close()

    def close_gracefully(self) -> None:
        """Ignore further input, and close the sending direction after buffered data."""
        self.ignore_input()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def ignore_input(self) -> None:
        """Ignore all further input."""
        self.ignores_input = True
        self.partial_line = bytearray()

    def abort(self, reason: str) -> None:
        """Close the connection immediately and ignore further input."""
        self.ignores_input = True
        super().abort(reason)

    def ended(self, reason: str) -> None:
        """Stop the timeout and remove the connection from the listener."""
        self.ignore_input()
        self.timeout_timer.cancel()
        self.listener.remove(self, reason)
