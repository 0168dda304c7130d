"""One gRPC call on an HTTP/2 connection, on either side."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Optional, Protocol

import h2.errors

from .framing import MessageDeframer, StatusCode, frame, percent_encode

MAX_BACKLOG = 8 << 20  # bytes of one call that wait for the peer's flow-control window

Metadata = dict[str, str]
Headers = list[tuple[str, str]]


class CallTransport(Protocol):
    """What a call needs of its connection."""

    def pump(self, call: "Call") -> None:
        """Sends as much of the call's backlog as the peer's window allows."""

    def reset(self, call: "Call", code: int) -> None:
        """Resets the call's HTTP/2 stream."""

    def forget(self, call: "Call") -> None:
        """Drops a call that is over."""

    def accept(self, call: "Call", **metadata: str) -> None:
        """Sends the server's first headers and metadata, once."""

    def flush(self) -> None:
        """Sends what is buffered."""


def ignore_headers(headers: Metadata) -> None:
    """The default handler of response headers."""


def ignore_message(data: bytes) -> None:
    """The default handler of messages."""


def ignore_end(status: int, text: str) -> None:
    """The default handler of a call's end."""


def ignore_writable() -> None:
    """The default handler of a backlog that has been sent."""


def to_headers(metadata: Metadata) -> Headers:
    """Headers for metadata whose names are written with underscores."""
    return [(name.replace("_", "-"), value) for name, value in metadata.items()]


class Call:
    """A stream of messages in each direction.

    Its user sets `message(data)`, `headers(metadata)` of the response, `writable()` for when the
    backlog has been sent, and `ended(status, text)`, which is called once, whatever the cause.
    """

    def __init__(self, connection: CallTransport, stream_id: int, path: str = "") -> None:
        self.connection = connection
        self.stream_id = stream_id  # of the HTTP/2 stream
        self.path = path
        self.deframer = MessageDeframer()
        self.backlog: deque[memoryview] = deque()  # waits for the peer's window
        self.backlog_size = 0  # bytes in the backlog
        self.trailers: Optional[Headers] = (
            None  # to send after the backlog; the first is the status
        )
        self.is_closed = False
        self.headers_sent = False  # whether this side's headers have been sent
        self.deadline: Optional[asyncio.TimerHandle] = None
        self.peer_metadata: Metadata = {}  # all headers and trailers of the peer
        self.on_message: Callable[[bytes], object] = ignore_message
        self.on_headers: Callable[[Metadata], object] = ignore_headers
        self.on_end: Callable[[int, str], object] = ignore_end
        self.on_writable: Callable[[], object] = ignore_writable

    @property
    def idle(self) -> bool:
        """Whether nothing waits for the peer: the time to send the newest state."""
        return not self.backlog and not self.is_closed

    def send(self, message: bytes) -> bool:
        """Sends a message.

        Returns False where the call is over, or too much waits for the peer: the call is then
        reset.
        """
        if self.is_closed or self.trailers is not None:
            return False
        data = frame(message)
        if self.backlog_size + len(data) > MAX_BACKLOG:
            self.reset("too much waits for the peer")
            return False
        self.backlog.append(memoryview(data))
        self.backlog_size += len(data)
        self.connection.pump(self)
        return True

    def peek_chunk(self, size: int) -> bytes:
        """At most `size` bytes from the front of the backlog, which remain there."""
        return bytes(self.backlog[0][:size])

    def drop_chunk(self, size: int) -> None:
        """Removes bytes that have been sent from the front of the backlog."""
        first = self.backlog[0]
        if size == len(first):
            self.backlog.popleft()
        else:
            self.backlog[0] = first[size:]
        self.backlog_size -= size

    def finish(self, status: int, text: str = "", **metadata: str) -> None:
        """Ends the call as the server: after the backlog with the status and trailing metadata."""
        if self.is_closed or self.trailers is not None:
            return
        self.trailers = [
            ("grpc-status", str(int(status))),
            ("grpc-message", percent_encode(text)),
            *to_headers(metadata),
        ]
        self.connection.pump(self)

    def reset(self, text: str, code: int = h2.errors.ErrorCodes.CANCEL) -> None:
        """Ends the call at once; the backlog is lost."""
        if not self.is_closed:
            self.connection.reset(self, code)
            self.end(StatusCode.CANCELLED, text)

    def end(self, status: int, text: str) -> None:
        """Marks the call as over, and calls its handler."""
        if self.is_closed:
            return
        self.is_closed = True
        self.backlog.clear()
        self.connection.forget(self)
        if self.deadline is not None:
            self.deadline.cancel()
        self.on_end(status, text)
