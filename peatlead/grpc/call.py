"""One gRPC call on an HTTP/2 connection, for clients and servers."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Optional, Protocol

import h2.errors

from .framing import MessageDeframer, StatusCode, frame, percent_encode

MAX_BACKLOG = 8 << 20  # bytes per call that wait for the peer's flow-control window

Metadata = dict[str, str]
Headers = list[tuple[str, str]]


class CallTransport(Protocol):
    """The interface of a connection that its calls use."""

    def send_pending(self, call: "Call") -> None:
        """Sends as much of the call's backlog as the peer's window allows, then its trailers."""

    def reset(self, call: "Call", code: int) -> None:
        """Resets the call's HTTP/2 stream."""

    def remove_call(self, call: "Call") -> None:
        """Removes a closed call from the connection."""

    def send_initial_metadata(self, call: "Call", **metadata: str) -> None:
        """Sends the server's response headers with metadata, unless they have been sent."""

    def flush(self) -> None:
        """Sends the buffered frames."""


def ignore_headers(headers: Metadata) -> None:
    """Default handler: ignores response headers."""


def ignore_message(data: bytes) -> None:
    """Default handler: ignores a message."""


def ignore_end(status: int, text: str) -> None:
    """Default handler: ignores the end of a call."""


def ignore_writable() -> None:
    """Default handler: ignores that the backlog has been sent."""


def to_headers(metadata: Metadata) -> Headers:
    """Returns the headers for metadata, whose names have underscores in place of hyphens."""
    return [(name.replace("_", "-"), value) for name, value in metadata.items()]


class Call:
    """A call with a stream of messages in each direction.

    The user of a call sets its handlers. `on_headers(metadata)` gets the headers of the response,
    and `on_message(data)` each message. `on_writable()` is called when the backlog has been sent.
    `on_end(status, text)` is called once when the call ends, for whatever reason.
    """

    def __init__(self, connection: CallTransport, stream_id: int, path: str = "") -> None:
        self.connection = connection
        self.stream_id = stream_id  # ID of the HTTP/2 stream
        self.path = path
        self.deframer = MessageDeframer()
        self.backlog: deque[memoryview] = deque()  # data that waits for the peer's window
        self.backlog_size = 0  # bytes in the backlog
        # Trailers to send after the backlog; the first is the status.
        self.trailers: Optional[Headers] = None
        self.is_closed = False
        self.headers_sent = False  # whether this side's headers have been sent
        self.deadline_timer: Optional[asyncio.TimerHandle] = None
        self.peer_metadata: Metadata = {}  # headers and trailers of the peer
        self.on_message: Callable[[bytes], object] = ignore_message
        self.on_headers: Callable[[Metadata], object] = ignore_headers
        self.on_end: Callable[[int, str], object] = ignore_end
        self.on_writable: Callable[[], object] = ignore_writable

    @property
    def idle(self) -> bool:
        """Whether the call is open and has no backlog, so that a message can be sent at once."""
        return not self.backlog and not self.is_closed

    def send(self, message: bytes) -> bool:
        """Sends a message; returns False if the call is closed.

        If the message would exceed the maximum backlog, the call is reset and False is returned.
        """
        if self.is_closed or self.trailers is not None:
            return False
        data = frame(message)
        if self.backlog_size + len(data) > MAX_BACKLOG:
            self.reset(
                f"backlog of {self.backlog_size} bytes and {len(data)} more exceed {MAX_BACKLOG}"
            )
            return False
        self.backlog.append(memoryview(data))
        self.backlog_size += len(data)
        self.connection.send_pending(self)
        return True

    def peek_chunk(self, size: int) -> bytes:
        """Returns at most `size` bytes from the front of the backlog without removing them."""
        return bytes(self.backlog[0][:size])

    def drop_chunk(self, size: int) -> None:
        """Removes `size` bytes, which have been sent, from the front of the backlog."""
        chunk = self.backlog[0]
        if size == len(chunk):
            self.backlog.popleft()
        else:
            self.backlog[0] = chunk[size:]
        self.backlog_size -= size

    def finish(self, status: int, text: str = "", **metadata: str) -> None:
        """Ends the call as the server, with a status and trailing metadata after the backlog."""
        if self.is_closed or self.trailers is not None:
            return
        self.trailers = [
            ("grpc-status", str(int(status))),
            ("grpc-message", percent_encode(text)),
            *to_headers(metadata),
        ]
        self.connection.send_pending(self)

    def reset(self, text: str, code: int = h2.errors.ErrorCodes.CANCEL) -> None:
        """Ends the call at once by resetting its stream; the backlog is dropped."""
        if not self.is_closed:
            self.connection.reset(self, code)
            self.end(StatusCode.CANCELLED, text)

    def end(self, status: int, text: str) -> None:
        """Closes the call without sending anything, and calls its `on_end` handler."""
        if self.is_closed:
            return
        self.is_closed = True
        self.backlog.clear()
        self.connection.remove_call(self)
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.on_end(status, text)
