"""Stream connections with bounded buffers in both directions and an idle timeout."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar, cast

from .buffer_budget import BufferBudget, buffer_budget
from .read_scheduler import ReadScheduler, read_scheduler

Result = TypeVar("Result")

READ_BUFFER_BYTES = 16 << 10  # maximum size of one read
MAX_UNSENT_BYTES = 1 << 20  # default limit of the write buffer
MAX_LINE_BYTES = 1 << 20  # default limit of one line

# All streams share one read buffer. asyncio fills the buffer and calls `buffer_updated` in the same
# callback, and `buffer_updated` copies the data. One buffer per stream would take 200 MB with 3,000
# proxies.
READ_BUFFER = bytearray(READ_BUFFER_BYTES)
READ_BUFFER_VIEW = memoryview(READ_BUFFER)


async def with_timeout(seconds: float, awaitable: Awaitable[Result]) -> Result:
    """Await with a timeout in seconds; raises TimeoutError.

    `asyncio.wait_for` is not used: its scheduling changed after Python 3.11, so that a simulation
    would give different results on different versions of Python.
    """
    async with asyncio.timeout(seconds):
        return await awaitable


class Stream(asyncio.BufferedProtocol):
    """One connection. Subclasses override `opened`, `received` and `ended`.

    The connection is aborted after `idle_timeout` seconds without a byte in either direction (0: no
    timeout), and when more than `max_unsent_bytes` bytes wait for the peer to read them. What all
    streams of an event loop buffer together is limited by its `BufferBudget`.
    """

    # Set when the connection is made.
    loop: asyncio.AbstractEventLoop
    read_scheduler: ReadScheduler
    buffer_budget: BufferBudget

    def __init__(self, idle_timeout: float = 0.0, max_unsent_bytes: int = MAX_UNSENT_BYTES) -> None:
        self.idle_timeout = idle_timeout
        self.max_unsent_bytes = max_unsent_bytes
        self.transport: asyncio.Transport | None = None  # None unless the connection is open
        self.peer_address: Any = None  # (host, port), or a longer tuple for IPv6
        self.last_activity = 0.0  # seconds on the loop's clock
        self.idle_timer: asyncio.TimerHandle | None = None  # for the next `check_idle`
        self.close_reason: str | None = None  # why this side ended the connection
        self.aborted = False
        self.is_counted = False  # whether the buffer budget counts bytes of this stream
        # For the read scheduler.
        self.service_tag = 0.0
        self.unhandled_data = b""

    def opened(self) -> None:
        """Handle the start of the connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    def ended(self, reason: str) -> None:
        """Handle the end of the connection."""

    def incomplete_bytes(self) -> int:
        """Return the size of received data that is kept until more of it arrives."""
        return 0

    def held_bytes(self) -> int:
        """Return the bytes that wait for more input, for their turn, or for the peer to read."""
        unsent = 0 if self.transport is None else self.transport.get_write_buffer_size()
        return self.incomplete_bytes() + len(self.unhandled_data) + unsent

    def _count_held_bytes(self) -> None:
        """Update what the stream holds in the budget."""
        self.is_counted = self.held_bytes() > 0
        self.buffer_budget.update(self)

    @property
    def accepts_data(self) -> bool:
        """Whether received data is still handled: not after the end or an abort."""
        return self.transport is not None and not self.aborted

    def send(self, data: bytes) -> bool:
        """Write the data; return False if the connection is closed or the peer reads too slowly."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.last_activity = self.loop.time()
        self.transport.write(data)
        unsent = self.transport.get_write_buffer_size()
        if unsent > self.max_unsent_bytes:
            self.abort("slow reader")
            return False
        if unsent:
            self._count_held_bytes()
        return not self.aborted

    def close(self) -> None:
        """Close the connection after sending buffered data."""
        if self.transport is not None:
            self.transport.close()

    def abort(self, reason: str) -> None:
        """Close the connection immediately; buffered data is lost."""
        self.aborted = True
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer and call `opened` (asyncio callback)."""
        self.loop = asyncio.get_running_loop()
        self.transport = cast(asyncio.Transport, transport)
        self.read_scheduler = read_scheduler(self.loop)
        self.buffer_budget = buffer_budget(self.loop)
        self.peer_address = transport.get_extra_info("peername")
        self.last_activity = self.loop.time()
        if self.idle_timeout:
            self.idle_timer = self.loop.call_later(self.idle_timeout, self.check_idle)
        self.opened()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the shared read buffer (asyncio callback)."""
        return READ_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Pass a copy of the bytes read to `received`, now or in a later turn of the event loop.

        This is an asyncio callback.
        """
        self.last_activity = self.loop.time()
        self.read_scheduler.receive(self, bytes(READ_BUFFER_VIEW[:size]), self.last_activity)
        if self.unhandled_data:
            self._count_held_bytes()

    def handle_data(self, data: bytes) -> None:
        """Pass received data to `received`, and measure what is kept of it."""
        self.received(data)
        if self.transport is not None and (self.is_counted or self.incomplete_bytes()):
            self._count_held_bytes()

    def pause_reading(self) -> None:
        """Receive no more data."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive data again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Return False: close the connection when the peer closes its side (asyncio callback)."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Call `ended` with the reason (asyncio callback)."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.transport = None
        self.unhandled_data = b""
        self.buffer_budget.remove(self)
        self.ended(self.close_reason or (type(error).__name__ if error else "closed"))

    def check_idle(self) -> None:
        """Abort the connection if it was idle for too long; else schedule the next check.

        Activity does not restart the timer, which keeps sending and receiving cheap.
        """
        remaining = self.last_activity + self.idle_timeout - self.loop.time()
        if remaining > 0:
            self.idle_timer = self.loop.call_later(remaining, self.check_idle)
        else:
            self.abort("idle")


class ConnectionSet:
    """The open streams of a listener.

    When the set is full, a new stream replaces the stream that was idle for the longest time.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.streams: dict[Stream, bool] = {}  # used as an ordered set
        self.evicted_count = 0  # number of streams aborted because the set was full

    def add(self, stream: Stream) -> None:
        """Add a stream; abort the longest idle one if the set is full."""
        if len(self.streams) >= self.max_connections:
            longest_idle = min(self.streams, key=lambda other: other.last_activity)
            del self.streams[longest_idle]
            longest_idle.abort("evicted")
            self.evicted_count += 1
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

    Subclasses override `line_received`.
    """

    def __init__(
        self,
        idle_timeout: float = 0.0,
        max_line_bytes: int = MAX_LINE_BYTES,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        super().__init__(idle_timeout, max_unsent_bytes)
        self.max_line_bytes = max_line_bytes
        self.partial_line = bytearray()  # the received start of an incomplete line

    def line_received(self, data: bytes) -> None:
        """Handle one line, without its newline."""

    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete line."""
        return len(self.partial_line)

    def received(self, data: bytes) -> None:
        """Split the data into lines; abort the connection if a line is too long.

        Only the new data is searched for newlines, so that the cost of a line that arrives in many
        small pieces stays linear.
        """
        first_piece, *later_pieces = data.split(b"\n")
        self.partial_line += first_piece
        if later_pieces:
            complete_lines = [bytes(self.partial_line), *later_pieces[:-1]]
            self.partial_line = bytearray(later_pieces[-1])
            for line in complete_lines:
                if self.aborted:
                    return
                self.line_received(line)
        if len(self.partial_line) > self.max_line_bytes:
            self.abort("line too long")
