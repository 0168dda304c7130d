"""Stream connections: a BufferedProtocol with bounded buffers both ways and an idle timeout."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar, cast

Result = TypeVar("Result")

READ_BUFFER_BYTES = 64 << 10  # read at a time
MAX_UNSENT_BYTES = 1 << 20  # default bound of what a peer leaves unread
MAX_LINE_BYTES = 1 << 20  # default bound of a line's length

# All streams share one read buffer: asyncio fills it and hands it over within one callback, and
# what is stored is copied. A buffer for each stream would take 200 MB with 3,000 proxies.
READ_BUFFER = bytearray(READ_BUFFER_BYTES)
READ_VIEW = memoryview(READ_BUFFER)


async def with_timeout(seconds: float, awaitable: Awaitable[Result]) -> Result:
    """Await with a timeout; raises asyncio.TimeoutError.

    `asyncio.wait_for` schedules differently in Python 3.11 than in later versions, which would make
    the same simulated day differ between them.
    """
    async with asyncio.timeout(seconds):
        return await awaitable


class Stream(asyncio.BufferedProtocol):
    """One connection. Subclasses override `opened`, `received` and `ended`.

    The connection is cut after `idle` seconds without a byte in either direction (0: never), and
    when the peer leaves more than `max_unsent_bytes` bytes unread, so that a slow reader costs its
    own connection and no unbounded memory.
    """

    loop: asyncio.AbstractEventLoop  # set when the connection is made

    def __init__(self, idle: float = 0.0, max_unsent_bytes: int = MAX_UNSENT_BYTES) -> None:
        self.idle = idle
        self.max_unsent_bytes = max_unsent_bytes
        self.transport: asyncio.Transport | None = None  # None before and after the connection
        self.peer: Any = None  # the peer's address: (host, port), or longer for IPv6
        self.last_activity = 0.0  # loop time of the last activity
        self.timer: asyncio.TimerHandle | None = None  # checks for idleness
        self.close_reason: str | None = None  # why this side ended the connection

    def opened(self) -> None:
        """Handle the start of the connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def ended(self, reason: str) -> None:
        """Handle the end of the connection."""

    def send(self, data: bytes) -> bool:
        """Write the data; return False if the stream has ended or the peer reads too slowly."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.last_activity = self.loop.time()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.max_unsent_bytes:
            self.abort("slow reader")
            return False
        return True

    def close(self) -> None:
        """End the connection once buffered data has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self, reason: str) -> None:
        """End the connection immediately; buffered data is lost."""
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer and call `opened` (asyncio callback)."""
        self.loop = asyncio.get_running_loop()
        self.transport = cast(asyncio.Transport, transport)
        self.peer = transport.get_extra_info("peername")
        self.last_activity = self.loop.time()
        if self.idle:
            self.timer = self.loop.call_later(self.idle, self.check_idle)
        self.opened()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the shared read buffer (asyncio callback)."""
        return READ_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Hand a copy of the bytes read to `received` (asyncio callback)."""
        self.last_activity = self.loop.time()
        self.received(bytes(READ_VIEW[:size]))

    def eof_received(self) -> bool:
        """Close the connection when the peer has closed its side (asyncio callback)."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Call `ended` with the reason (asyncio callback)."""
        if self.timer is not None:
            self.timer.cancel()
        self.transport = None
        self.ended(self.close_reason or (type(error).__name__ if error else "closed"))

    def check_idle(self) -> None:
        """Cut an idle connection, or check again when it could next be idle.

        There is one timer per stream, and activity does not reset it.
        """
        remaining = self.last_activity + self.idle - self.loop.time()
        if remaining > 0:
            self.timer = self.loop.call_later(remaining, self.check_idle)
        else:
            self.abort("idle")


class ConnectionSet:
    """The open streams of a listener, bounded: past the bound, the longest idle one is cut."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.streams: dict[Stream, bool] = {}  # used as an ordered set
        self.evicted = 0  # streams cut to make room

    def add(self, stream: Stream) -> None:
        """Add a stream, evicting the longest idle one if the set is full."""
        if len(self.streams) >= self.max_connections:
            longest_idle = min(self.streams, key=lambda other: other.last_activity)
            del self.streams[longest_idle]
            longest_idle.abort("evicted")
            self.evicted += 1
        self.streams[stream] = True

    def remove(self, stream: Stream) -> None:
        """Remove a stream that has ended."""
        self.streams.pop(stream, None)

    def close(self) -> None:
        """Close all streams."""
        for stream in list(self.streams):
            stream.close()


class LineStream(Stream):
    """A stream of newline-terminated lines of at most `max_line_bytes` bytes.

    Subclasses override `line`.
    """

    def __init__(
        self,
        idle: float = 0.0,
        max_line_bytes: int = MAX_LINE_BYTES,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        super().__init__(idle, max_unsent_bytes)
        self.max_line_bytes = max_line_bytes
        self.part = bytearray()  # the start of a line whose end has not arrived

    def line(self, data: bytes) -> None:
        """Handle one line, without its newline."""

    def received(self, data: bytes) -> None:
        """Split the data into lines; a line that is too long cuts the connection.

        Earlier bytes of a partial line are not scanned again: a long line may come byte by byte.
        """
        first, *rest = data.split(b"\n")
        self.part += first
        if rest:
            complete = [bytes(self.part), *rest[:-1]]
            self.part = bytearray(rest[-1])
            for line in complete:
                self.line(line)
        if len(self.part) > self.max_line_bytes:
            self.abort("line too long")
