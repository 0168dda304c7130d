"""Simulated stream connections: listeners, connection attempts and transports."""

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from .process_loop import ProcessLoop

Address = tuple[str, int]

MAX_READ_BYTES = 65_536  # passed to a protocol at a time
RECEIVE_BUFFER_BYTES = 4 << 20  # maximum size of received data that a process has not read
CONNECTION_TIMEOUT = 30.0  # seconds until the kernel ends a connection over a cut link
RETRANSMISSION_INTERVAL = 0.2  # seconds between attempts to send over a cut link


def timeout_error() -> TimeoutError:
    """Return the error of a connection that has timed out."""
    return TimeoutError(errno.ETIMEDOUT, "timed out")


class SegmentType(StrEnum):
    """The type of a segment."""

    DATA = "data"
    EOF = "eof"
    RESET = "reset"


class Segment(NamedTuple):
    """Data or a signal that one end of a connection sends to the other."""

    type: SegmentType
    data: bytes = b""


EOF = Segment(SegmentType.EOF)
RESET = Segment(SegmentType.RESET)


class StreamProtocol(Protocol):
    """The methods of asyncio.BufferedProtocol that a transport calls, with memoryview buffers."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """See asyncio."""

    def buffer_updated(self, nbytes: int) -> None:
        """See asyncio."""

    def eof_received(self) -> bool | None:
        """See asyncio."""

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio."""


class Listener:
    """A listening socket; replaces asyncio.Server and the sockets of a server."""

    def __init__(
        self, loop: "ProcessLoop", factory: Callable[[], Any], address: Address, backlog: int
    ) -> None:
        self.loop = loop
        self.factory = factory
        self.address = address
        self.backlog = backlog
        self.pending = 0  # connections that are not yet accepted by the process
        self.sockets = [self]

    def getsockname(self) -> Address:
        """Return the address of the socket."""
        return self.address

    def close(self) -> None:
        """Stop listening."""
        self.loop.simulation.listeners.pop(self.address, None)


class ConnectionAttempt:
    """The handshake of a connection, which takes one round trip.

    The remote kernel accepts or refuses the connection, or drops the packet. `connected` is
    completed with the transport of the remote end, or with the error.
    """

    def __init__(
        self,
        loop: "ProcessLoop",
        local: Address,
        remote: Address,
        connected: "asyncio.Future[StreamTransport]",
    ) -> None:
        self.loop = loop
        self.simulation = loop.simulation
        self.local = local
        self.remote = remote
        self.connected = connected
        delay = self.simulation.links.delay(local[0], remote[0])
        if delay is None:
            self._fail_after(CONNECTION_TIMEOUT, timeout_error())
        else:
            self.simulation.schedule(self.simulation.now + delay, None, self._arrive)

    def _arrive(self) -> None:
        listener = self.simulation.listeners.get(self.remote)
        delay = self.simulation.links.delay(self.remote[0], self.local[0])
        if delay is None or listener is not None and listener.pending >= listener.backlog:
            # A listener with a full backlog drops the packet, so that the client times out.
            self._fail_after(CONNECTION_TIMEOUT, timeout_error())
        elif listener is None:
            refused = ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
            self._fail_after(delay, refused)
        else:
            listener.pending += 1
            remote_end = StreamTransport(listener.loop, self.remote, self.local)
            remote_end.listener = listener
            arrives_at = self.simulation.now + delay
            self.simulation.schedule(arrives_at, self.loop, self._connect, remote_end)

    def _fail_after(self, seconds: float, error: OSError) -> None:
        self.simulation.schedule(self.simulation.now + seconds, self.loop, self._fail, error)

    def _fail(self, error: OSError) -> None:
        if not self.connected.done():
            self.connected.set_exception(error)

    def _connect(self, remote_end: "StreamTransport") -> None:
        if self.connected.done():
            remote_end.listener.pending -= 1
            remote_end.kill()
        else:
            self.connected.set_result(remote_end)


class StreamTransport(asyncio.Transport):
    """One end of a stream connection.

    Bytes arrive in order at the peer's kernel after the delay of the link. The kernel passes them
    to the protocol when the peer's process runs.
    """

    listener: Listener  # of the accepting end
    protocol: StreamProtocol  # set when the connection is opened

    def __init__(self, loop: "ProcessLoop", local: Address, remote: Address) -> None:
        super().__init__()
        self.loop = loop
        self.simulation = loop.simulation
        self.local = local
        self.remote = remote
        self.label = f"{local}{remote}".encode()  # identifies the connection in the digest
        self.peer: StreamTransport | None = None  # the other end
        self.opened = False
        self.closing = False
        self.closed = False
        # Segments that the kernel has received but not passed to the protocol.
        self.received: deque[Segment] = deque()
        self.received_bytes = 0
        self.delivery_scheduled = False
        self.unsent: deque[bytes] = deque()
        self.unsent_bytes = 0
        self.in_flight_bytes = 0  # sent but not received by the peer's kernel
        self.last_arrival = 0.0  # simulated time at which the last sent segment arrives
        loop.transports[self] = True

    # Opening.

    def open_with(self, protocol: StreamProtocol, remote_end: "StreamTransport") -> None:
        """Open the connecting end, and schedule the accept in the process of the remote end."""
        self.peer = remote_end
        remote_end.peer = self
        self.simulation.schedule(self.simulation.now, remote_end.loop, remote_end._accept)
        self._open(protocol)

    def _accept(self) -> None:
        self.listener.pending -= 1
        if not self.closed:
            self._open(self.listener.factory())

    def _open(self, protocol: StreamProtocol) -> None:
        self.protocol = protocol
        self.opened = True
        protocol.connection_made(self)
        self._deliver()

    # The interface of asyncio.Transport.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """See asyncio."""
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def is_closing(self) -> bool:
        """See asyncio."""
        return self.closing or self.closed

    def get_write_buffer_size(self) -> int:
        """See asyncio."""
        return self.unsent_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: protocols are never paused."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """See asyncio."""
        if self.closing or self.closed or self.loop.dead or not data:
            return
        self.unsent.append(bytes(data))
        self.unsent_bytes += len(data)
        self._send()

    def close(self) -> None:
        """See asyncio."""
        if not self.closing and not self.closed:
            self.closing = True
            self._send()

    def abort(self) -> None:
        """See asyncio."""
        if not self.closed:
            self.closing = True
            self.unsent.clear()
            self.unsent_bytes = 0
            if self.peer is not None:
                self._transmit(RESET)
            self._end(None)

    def kill(self) -> None:
        """Reset the connection, as the kernel does when a process ends."""
        if not self.closed:
            self.closed = True
            if self.peer is not None:
                self._transmit(RESET)

    # Sending.

    def _send(self) -> None:
        """Send data until the peer's receive buffer is full, then end a closing connection."""
        while (
            self.unsent
            and self.peer is not None
            and self.peer.received_bytes + self.in_flight_bytes < RECEIVE_BUFFER_BYTES
        ):
            data = self.unsent.popleft()
            self.unsent_bytes -= len(data)
            self.in_flight_bytes += len(data)
            self._transmit(Segment(SegmentType.DATA, data))
        if not self.unsent and self.closing and not self.closed:
            self._transmit(EOF)
            self._end(None)

    def _transmit(self, segment: Segment) -> None:
        """Send a segment to the peer's kernel, later if the link is cut."""
        assert self.peer is not None
        now = self.simulation.now
        delay = self.simulation.links.delay(self.local[0], self.remote[0])
        if delay is None:
            self._retransmit_later(segment, now + CONNECTION_TIMEOUT)
            return
        self.last_arrival = max(now + delay, self.last_arrival)  # jitter must not reorder segments
        self.simulation.schedule(self.last_arrival, None, self.peer._arrive, segment)

    def _retransmit_later(self, segment: Segment, deadline: float) -> None:
        retransmit_at = self.simulation.now + RETRANSMISSION_INTERVAL
        self.simulation.schedule(retransmit_at, None, self._retransmit, segment, deadline)

    def _retransmit(self, segment: Segment, deadline: float) -> None:
        is_cut = self.simulation.links.delay(self.local[0], self.remote[0]) is None
        if self.simulation.now >= deadline:
            self.simulation.schedule(self.simulation.now, self.loop, self._end, timeout_error())
        elif is_cut:
            self._retransmit_later(segment, deadline)
        else:
            self._transmit(segment)

    # Receiving.

    def _arrive(self, segment: Segment) -> None:
        """Store a segment in the kernel's buffer and schedule its delivery."""
        is_data = segment.type is SegmentType.DATA
        if self.closed:
            if is_data and self.peer is not None and not self.peer.closed:
                self.peer.in_flight_bytes -= len(segment.data)
                self._transmit(RESET)
            return
        if is_data:
            assert self.peer is not None
            self.peer.in_flight_bytes -= len(segment.data)
            self.received_bytes += len(segment.data)
        self.received.append(segment)
        if not self.delivery_scheduled and self.opened:
            self.delivery_scheduled = True
            self.loop.run_callback(self._deliver, ())

    def _deliver(self) -> None:
        """Pass all received segments to the protocol."""
        self.delivery_scheduled = False
        while self.received and not self.closed and self.opened:
            segment_type, data = self.received.popleft()
            if segment_type is SegmentType.DATA:
                self.received_bytes -= len(data)
                self.simulation.record("stream", self.label, data)
                self._deliver_data(data)
                if self.peer is not None and self.peer.unsent:
                    self.peer._send()
            elif segment_type is SegmentType.EOF:
                if not self.protocol.eof_received():
                    self.close()
            else:
                self._end(ConnectionResetError(errno.ECONNRESET, "reset by peer"))

    def _deliver_data(self, data: bytes) -> None:
        buffer = self.protocol.get_buffer(-1)
        if len(data) <= min(len(buffer), MAX_READ_BYTES):
            buffer[: len(data)] = data
            self.protocol.buffer_updated(len(data))
            return
        remaining = memoryview(data)
        while remaining and not self.closed:
            buffer = self.protocol.get_buffer(-1)
            size = min(len(buffer), len(remaining), MAX_READ_BYTES)
            buffer[:size] = remaining[:size]
            remaining = remaining[size:]
            self.protocol.buffer_updated(size)

    # Closing.

    def _end(self, error: OSError | None) -> None:
        """Mark this end as closed and schedule the protocol's `connection_lost`."""
        if not self.closed:
            self.closed = True
            self.simulation.schedule(self.simulation.now, self.loop, self._connection_lost, error)

    def _connection_lost(self, error: OSError | None) -> None:
        self.loop.transports.pop(self, None)
        if self.opened:
            self.protocol.connection_lost(error)
