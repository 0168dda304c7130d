"""gRPC over HTTP/2: connections with calls, flow control and limits against misuse by peers.

The h2 library reads and writes the frames (RFC 9113). The data that waits for a peer's
flow-control window is limited for each call (`call`). A sender of state checks `Call.idle` before
it sends, so that a slow reader gets only the newest state.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Optional

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from ..net.streams import Stream, with_timeout
from .call import Call, Metadata, to_headers
from .framing import FramingError, StatusCode, parse_timeout

MAX_CALLS = 16  # concurrent calls per peer
MAX_HEADER_LIST = 16384  # bytes per header list
MAX_UNSENT_BYTES = 16 << 20  # bytes in the write buffer of the socket

# Maximum resets, pings, settings and similar frames of a peer within CONTROL_WINDOW.
MAX_CONTROL_FRAMES = 200
CONTROL_WINDOW = 10.0  # seconds
WINDOW_UPDATES_PER_FRAME = 3  # uncounted window updates of a peer per data frame sent to it

PING_INTERVAL = 1.0  # seconds without received data until a peer is pinged
PING_TIMEOUT = 1.0  # seconds to wait for the answer
MIN_PING_DELAY = 0.01  # seconds; with a shorter delay the timer could fire again at the same time
MAX_PING_RATE = 500  # pings per second on all connections of a listener together
PING_DATA = b"peatlead"

GRPC_CONTENT_TYPE = "application/grpc"
NO_STREAM = -1  # stream of events that concern the whole connection


class ControlFrameLimit:
    """Detects floods of frames that are cheap to send and expensive to handle."""

    __slots__ = ("frame_times", "window_updates_left")

    def __init__(self) -> None:
        # Arrival times of the counted frames in the current window.
        self.frame_times: deque[float] = deque()
        self.window_updates_left = 2 * WINDOW_UPDATES_PER_FRAME

    def count_frame(self, now: float) -> bool:
        """Counts a frame; returns whether the peer has exceeded the limit."""
        self.frame_times.append(now)
        while now - self.frame_times[0] > CONTROL_WINDOW:
            self.frame_times.popleft()
        return len(self.frame_times) > MAX_CONTROL_FRAMES

    def allow_window_updates(self) -> None:
        """Allows the peer more window updates, after a data frame was sent to it."""
        self.window_updates_left += WINDOW_UPDATES_PER_FRAME

    def take_window_update(self) -> bool:
        """Handles a window update of the peer; returns whether it is expected.

        Expected window updates are not counted as control frames.
        """
        self.window_updates_left -= 1
        if self.window_updates_left >= 0:
            return True
        self.window_updates_left = 0
        return False


def ignore_call(call: Call) -> None:
    """Default handler: ignores a call."""


def ignore_end(reason: str) -> None:
    """Default handler: ignores the end of a connection."""


class Connection(Stream):
    """One side of an HTTP/2 connection.

    `is_client`: whether this is the client's side. `on_call(call)` handles each call that the peer
    starts. `ping_interval`: seconds without received data until the peer is pinged; 0 disables
    pings. `ping_timeout`: seconds to wait for the answer.

    The user may set two more functions: `on_end(reason)` is called when the connection has ended,
    and `connection_count()` returns the number of connections that share `MAX_PING_RATE`.
    """

    def __init__(
        self,
        is_client: bool,
        on_call: Callable[[Call], object] = ignore_call,
        ping_interval: float = PING_INTERVAL,
        ping_timeout: float = PING_TIMEOUT,
    ) -> None:
        super().__init__(0.0, MAX_UNSENT_BYTES)
        self.h2_connection = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=is_client, header_encoding="utf-8", validate_inbound_headers=True
            )
        )
        self.is_client = is_client
        self.on_call = on_call
        self.calls: dict[int, Call] = {}  # by HTTP/2 stream ID
        self.control_frames = ControlFrameLimit()
        self.ping_interval = ping_interval
        self.ping_timeout = ping_timeout
        self.ping_timer: Optional[asyncio.TimerHandle] = None
        self.ping_sent_at: Optional[float] = None  # time of the unanswered ping
        self.going_away = False  # whether this side has sent GOAWAY
        self.last_received_at = 0.0  # when the last data of the peer arrived
        self.on_end: Callable[[str], object] = ignore_end
        self.connection_count: Callable[[], int] = lambda: 0
        self.unparsed_bytes = 0  # received since the last complete frame or header list

    @property
    def is_open(self) -> bool:
        """Whether data may be sent.

        The calls of a closing connection remain until the connection has ended, and their methods
        may still be called.
        """
        return self.transport is not None and not self.transport.is_closing()

    # Start, end and pings.

    def opened(self) -> None:
        """Sends the HTTP/2 settings and starts the ping timer."""
        self.h2_connection.local_settings = h2.settings.Settings(
            client=self.is_client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CALLS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.h2_connection.initiate_connection()
        self.flush()
        if self.ping_interval:
            self.ping_timer = self.loop.call_later(self.ping_interval, self.ping)

    def ended(self, reason: str) -> None:
        """Ends all calls, and calls the `on_end` handler."""
        if self.ping_timer is not None:
            self.ping_timer.cancel()
        for call in list(self.calls.values()):
            call.end(StatusCode.UNAVAILABLE, reason)
        self.on_end(reason)

    def ping(self) -> None:
        """Pings a silent peer, and ends the connection if the last ping was not answered.

        This detects peers whose machine has failed. A peer that sends data is not pinged, which
        saves work with thousands of connections.
        """
        if not self.is_open:
            return
        now = self.loop.time()
        if self.ping_sent_at is not None and self.last_received_at < self.ping_sent_at:
            self.abort("peer did not answer a ping")
            return
        self.ping_sent_at = None
        interval = max(self.ping_interval, self.connection_count() / MAX_PING_RATE)
        delay = interval - (now - self.last_received_at)
        if delay < MIN_PING_DELAY:
            delay = max(interval, self.ping_timeout)
            self.ping_sent_at = now
            self.h2_connection.ping(PING_DATA)
            self.flush()
        self.ping_timer = self.loop.call_later(delay, self.ping)

    def go_away(self) -> None:
        """Sends GOAWAY: the peer starts no more calls, and calls in progress may finish."""
        if not self.going_away and self.transport is not None:
            self.going_away = True
            self.h2_connection.close_connection(last_stream_id=max(self.calls, default=0))
            self.flush()

    def flush(self) -> None:
        """Sends the frames that the h2 library has buffered."""
        data = self.h2_connection.data_to_send()
        if data:
            self.send(data)

    def incomplete_bytes(self) -> int:
        """Returns the size of incomplete frames and messages, and of what waits for a window."""
        calls = self.calls.values()
        return self.unparsed_bytes + sum(
            len(call.deframer.buffer) + call.backlog_size for call in calls
        )

    # Incoming frames.

    def received(self, data: bytes) -> None:
        """Handles data of the peer; closes the connection if the data violates HTTP/2."""
        self.last_received_at = self.loop.time()
        try:
            events = self.h2_connection.receive_data(data)
            self.unparsed_bytes = 0 if events else self.unparsed_bytes + len(data)
            for event in events:
                if self.aborted:
                    return
                self._on_event(event)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError, ValueError) as error:
            self.flush()  # the GOAWAY frame of the h2 library
            self.close_reason = f"HTTP/2 protocol error of the peer: {type(error).__name__}"
            self.close()
            return
        self.flush()

    def _on_event(self, event: Any) -> None:
        handler = EVENT_HANDLERS.get(type(event))
        if handler is not None:
            stream_id: int = getattr(event, "stream_id", NO_STREAM)
            handler(self, event, self.calls.get(stream_id))

    def _on_data(self, event: Any, call: Optional[Call]) -> None:
        # Messages are handled immediately, so the flow-control window is restored immediately.
        if event.flow_controlled_length:
            self.h2_connection.acknowledge_received_data(
                event.flow_controlled_length, event.stream_id
            )
        if not event.data:
            self._count_control_frame()
        elif call is not None:
            self._on_call_data(call, event.data)

    def _on_call_data(self, call: Call, data: bytes) -> None:
        """Passes the complete messages to the call; an invalid message ends the call."""
        try:
            messages = call.deframer.feed(data)
        except FramingError as error:
            if self.is_client:
                call.reset(str(error))
            else:
                call.finish(error.status, str(error))
            return
        for message in messages:
            if not call.is_closed:
                call.on_message(message)

    def _on_request(self, event: Any, _: Optional[Call]) -> None:
        headers: Metadata = dict(event.headers)
        call = Call(self, event.stream_id, headers.get(":path", ""))
        self.calls[event.stream_id] = call
        self._count_control_frame()  # h2 keeps a record of each stream, also of those that ended
        if self.aborted:
            return
        is_grpc = headers.get("content-type", "").startswith(GRPC_CONTENT_TYPE)
        if headers.get(":method") != "POST" or not is_grpc:
            self.h2_connection.send_headers(event.stream_id, [(":status", "415")], end_stream=True)
            call.end(StatusCode.UNIMPLEMENTED, "request is not a gRPC call")
            return
        timeout = parse_timeout(headers.get("grpc-timeout", ""))
        if timeout is not None:
            call.deadline_timer = self.loop.call_later(
                timeout, call.finish, StatusCode.DEADLINE_EXCEEDED, "the call's deadline has passed"
            )
        self.on_call(call)

    def _on_response(self, event: Any, call: Optional[Call]) -> None:
        if call is not None:
            call.peer_metadata.update(event.headers)
            call.on_headers(call.peer_metadata)

    def _on_trailers(self, event: Any, call: Optional[Call]) -> None:
        if call is not None:
            call.peer_metadata.update(event.headers)

    def _on_stream_ended(self, _: Any, call: Optional[Call]) -> None:
        if call is None:
            return
        if not self.is_client:
            call.finish(StatusCode.OK)
            return
        status = call.peer_metadata.get("grpc-status", "")
        status_code = int(status) if status.isdecimal() else StatusCode.UNKNOWN
        call.end(status_code, call.peer_metadata.get("grpc-message", ""))

    def _on_stream_reset(self, _: Any, call: Optional[Call]) -> None:
        self._count_control_frame()
        if call is not None:
            call.end(StatusCode.CANCELLED, "peer reset the stream")

    def _on_control_frame(self, _: Any, __: Optional[Call]) -> None:
        self._count_control_frame()
        self._send_all_pending()

    def _on_window_update(self, _: Any, __: Optional[Call]) -> None:
        if not self.control_frames.take_window_update():
            self._count_control_frame()
        self._send_all_pending()

    def _on_terminated(self, _: Any, __: Optional[Call]) -> None:
        self.close_reason = "peer sent GOAWAY"
        if not self.going_away:
            self.close()

    def _count_control_frame(self) -> None:
        """Counts a control frame; ends the connection if the peer has sent too many."""
        if self.control_frames.count_frame(self.loop.time()):
            self.h2_connection.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.flush()
            self.abort(
                f"peer sent more than {MAX_CONTROL_FRAMES} control frames in {CONTROL_WINDOW} s"
            )

    # Calls.

    def call(self, path: str, authority: str, headers: Iterable[tuple[str, str]] = ()) -> Call:
        """Starts a call as the client; messages may be sent immediately.

        Raises h2.exceptions.ProtocolError if the peer's limit of concurrent calls is reached.
        """
        stream_id = self.h2_connection.get_next_available_stream_id()
        call = Call(self, stream_id, path)
        self.calls[stream_id] = call
        self.h2_connection.send_headers(
            stream_id,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", path),
                (":authority", authority),
                ("te", "trailers"),
                ("content-type", GRPC_CONTENT_TYPE),
                *headers,
            ],
        )
        call.headers_sent = True
        self.flush()
        return call

    def send_initial_metadata(self, call: Call, **metadata: str) -> None:
        """Sends the server's response headers with metadata, unless they have been sent."""
        if call.headers_sent or call.is_closed or not self.is_open:
            return
        call.headers_sent = True
        headers = [(":status", "200"), ("content-type", GRPC_CONTENT_TYPE), *to_headers(metadata)]
        self.h2_connection.send_headers(call.stream_id, headers)

    def send_pending(self, call: Call) -> None:
        """Sends as much of a call's backlog as the peer's window allows, then its trailers."""
        if not self.is_open or call.is_closed:
            return
        if not self.is_client:
            self.send_initial_metadata(call)
        had_backlog = bool(call.backlog)
        self._send_backlog(call)
        if not call.backlog and call.trailers is not None:
            self.h2_connection.send_headers(call.stream_id, call.trailers, end_stream=True)
            self.flush()
            _, status = call.trailers[0]
            call.end(int(status), "finished")
            return
        self.flush()
        if had_backlog and not call.backlog:
            call.on_writable()

    def _send_backlog(self, call: Call) -> None:
        while call.backlog:
            window = self.h2_connection.local_flow_control_window(call.stream_id)
            capacity = min(window, self.h2_connection.max_outbound_frame_size)
            if capacity <= 0:
                return
            chunk = call.peek_chunk(capacity)
            self.h2_connection.send_data(call.stream_id, chunk)
            self.control_frames.allow_window_updates()
            call.drop_chunk(len(chunk))

    def _send_all_pending(self) -> None:
        for call in list(self.calls.values()):
            if call.backlog:
                self.send_pending(call)

    def reset(self, call: Call, code: int) -> None:
        """Resets a call's HTTP/2 stream."""
        try:
            self.h2_connection.reset_stream(call.stream_id, code)
            self.flush()
        except h2.exceptions.ProtocolError:
            pass  # the peer has already closed or reset the stream

    def remove_call(self, call: Call) -> None:
        """Removes a closed call."""
        self.calls.pop(call.stream_id, None)


EventHandler = Callable[[Connection, Any, Optional[Call]], None]

EVENT_HANDLERS: dict[type, EventHandler] = {
    h2.events.DataReceived: Connection._on_data,
    h2.events.RequestReceived: Connection._on_request,
    h2.events.ResponseReceived: Connection._on_response,
    h2.events.TrailersReceived: Connection._on_trailers,
    h2.events.StreamEnded: Connection._on_stream_ended,
    h2.events.StreamReset: Connection._on_stream_reset,
    h2.events.PingReceived: Connection._on_control_frame,
    h2.events.RemoteSettingsChanged: Connection._on_control_frame,
    h2.events.PriorityUpdated: Connection._on_control_frame,
    h2.events.UnknownFrameReceived: Connection._on_control_frame,
    h2.events.WindowUpdated: Connection._on_window_update,
    h2.events.ConnectionTerminated: Connection._on_terminated,
}


async def dial(
    address: tuple[str, int],
    local_host: Optional[str] = None,
    timeout: float = 1.0,
    ping_interval: float = PING_INTERVAL,
    ping_timeout: float = PING_TIMEOUT,
) -> Connection:
    """Connects as a client, from the address `local_host` if given, within `timeout` seconds.

    See `Connection` for the ping interval and timeout. Raises OSError or asyncio.TimeoutError.
    """
    _, connection = await with_timeout(
        timeout,
        asyncio.get_running_loop().create_connection(
            lambda: Connection(True, ping_interval=ping_interval, ping_timeout=ping_timeout),
            *address,
            local_addr=(local_host, 0) if local_host else None,
        ),
    )
    return connection
