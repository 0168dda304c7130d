"""gRPC over HTTP/2: calls on a stream connection, with flow control and protection against misuse.

h2 reads and writes the frames (RFC 9113). What waits for a peer's window is bounded for each call
(`call`); whoever sends state asks `Call.idle` first, so that a slow reader gets only the newest.
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

MAX_CALLS = 16  # of one peer at a time
MAX_HEADER_LIST = 16384  # bytes of one header list
MAX_UNSENT = 16 << 20  # bytes in the socket's buffer

MAX_CONTROL_FRAMES = (
    200  # resets, pings and settings of a peer within CONTROL_WINDOW: more is a flood
)
CONTROL_WINDOW = 10.0  # seconds
WINDOW_UPDATES_PER_FRAME = 3  # that a peer may send for each data frame it got, uncounted

PING_INTERVAL = 1.0  # seconds without a byte until a peer is pinged
PING_TIMEOUT = 1.0  # seconds for its answer
PING_SLACK = 0.01  # seconds; a timer of a shorter remainder might fire in the same instant for ever
MAX_PING_RATE = (
    500  # a second, over all connections of a listener; more connections are pinged less often
)
PING_DATA = b"peatlead"

GRPC_CONTENT_TYPE = "application/grpc"
NO_STREAM = -1  # of events that concern the whole connection


class ControlFrameLimit:
    """Counts frames that cost the peer little and this side some work, to find a flood of them."""

    __slots__ = ("times", "window_updates_left")

    def __init__(self) -> None:
        self.times: deque[float] = deque()  # of the frames within the window
        self.window_updates_left = 2 * WINDOW_UPDATES_PER_FRAME

    def add(self, now: float) -> bool:
        """Counts a frame; whether there are too many."""
        self.times.append(now)
        while now - self.times[0] > CONTROL_WINDOW:
            self.times.popleft()
        return len(self.times) > MAX_CONTROL_FRAMES

    def allow_window_updates(self) -> None:
        """Notes a data frame to the peer, which it may answer with window updates."""
        self.window_updates_left += WINDOW_UPDATES_PER_FRAME

    def take_window_update(self) -> bool:
        """Whether a window update of the peer is an expected one, which doesn't count."""
        self.window_updates_left -= 1
        if self.window_updates_left >= 0:
            return True
        self.window_updates_left = 0
        return False


def ignore_call(call: Call) -> None:
    """The default handler of a peer's calls."""


def ignore_end(reason: str) -> None:
    """The default handler of a connection's end."""


class Connection(Stream):
    """Either side of a connection.

    `serve(call)` gets each call of a client; `ended_all(reason)` is called at the end.
    `connection_count()` gives how many connections share the rate of pings; `ping_every` 0 sends
    none.
    """

    def __init__(
        self,
        client: bool,
        serve: Callable[[Call], object] = ignore_call,
        ping_every: float = PING_INTERVAL,
        ping_wait: float = PING_TIMEOUT,
    ) -> None:
        super().__init__(0.0, MAX_UNSENT)
        self.talk = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client, header_encoding="utf-8", validate_inbound_headers=True
            )
        )
        self.client = client
        self.serve = serve
        self.calls: dict[int, Call] = {}  # by the number of their HTTP/2 stream
        self.control_frames = ControlFrameLimit()
        self.ping_every = ping_every
        self.ping_wait = ping_wait
        self.ping_timer: Optional[asyncio.TimerHandle] = None
        self.pinged: Optional[float] = None  # when the unanswered ping was sent
        self.going_away = False
        self.last_received_at = 0.0  # when the peer's last bytes came
        self.ended_all: Callable[[str], object] = ignore_end
        self.connection_count: Callable[[], int] = lambda: 0

    @property
    def live(self) -> bool:
        """Whether anything may still be sent.

        Between the closing of a connection and its end its calls still stand, and may be used.
        """
        return self.transport is not None and not self.transport.is_closing()

    # The connection's life.

    def opened(self) -> None:
        """Sends the settings."""
        self.talk.local_settings = h2.settings.Settings(
            client=self.client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CALLS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.talk.initiate_connection()
        self.flush()
        if self.ping_every:
            self.ping_timer = self.loop.call_later(self.ping_every, self.ping)

    def ended(self, reason: str) -> None:
        """Ends all calls with the connection."""
        if self.ping_timer is not None:
            self.ping_timer.cancel()
        for call in list(self.calls.values()):
            call.end(StatusCode.UNAVAILABLE, reason)
        self.ended_all(reason)

    def ping(self) -> None:
        """Pings a silent peer, and ends the connection where a ping was not answered.

        So a peer whose machine has failed is found. One that sends needs no pings: with 3,000
        proxies they were most of an idle controller's work.
        """
        if not self.live:
            return
        now = self.loop.time()
        if self.pinged is not None and self.last_received_at < self.pinged:
            self.abort("no answer to pings")
            return
        self.pinged = None
        interval = max(self.ping_every, self.connection_count() / MAX_PING_RATE)
        wait = interval - (now - self.last_received_at)
        if wait < PING_SLACK:
            wait = max(interval, self.ping_wait)
            self.pinged = now
            self.talk.ping(PING_DATA)
            self.flush()
        self.ping_timer = self.loop.call_later(wait, self.ping)

    def go_away(self) -> None:
        """Accepts no new calls; those in progress may end."""
        if not self.going_away and self.transport is not None:
            self.going_away = True
            self.talk.close_connection(last_stream_id=max(self.calls, default=0))
            self.flush()

    def flush(self) -> None:
        """Sends what h2 has to send."""
        data = self.talk.data_to_send()
        if data:
            self.send(data)

    # Incoming frames.

    def received(self, data: bytes) -> None:
        """Handles bytes of the peer."""
        self.last_received_at = self.loop.time()
        try:
            for event in self.talk.receive_data(data):
                self._on_event(event)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError, ValueError) as error:
            self.flush()  # h2's GOAWAY
            self.close_reason = f"not HTTP/2: {type(error).__name__}"
            self.close()
            return
        self.flush()

    def _on_event(self, event: Any) -> None:
        handler = EVENT_HANDLERS.get(type(event))
        if handler is not None:
            stream_id: int = getattr(event, "stream_id", NO_STREAM)
            handler(self, event, self.calls.get(stream_id))

    def _on_data(self, event: Any, call: Optional[Call]) -> None:
        # Messages are handled at once, so the window is given back at once.
        if event.flow_controlled_length:
            self.talk.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        if not event.data:
            self._count_control_frame()
        elif call is not None:
            self._on_call_data(call, event.data)

    def _on_call_data(self, call: Call, data: bytes) -> None:
        try:
            messages = call.deframer.feed(data)
        except FramingError as error:
            if self.client:
                call.reset(str(error))
            else:
                call.finish(error.status, str(error))
            return
        for message in messages:
            if not call.over:
                call.message(message)

    def _on_request(self, event: Any, _: Optional[Call]) -> None:
        headers: Metadata = dict(event.headers)
        call = Call(self, event.stream_id, headers.get(":path", ""))
        self.calls[event.stream_id] = call
        call.peer_metadata = headers
        is_grpc = headers.get("content-type", "").startswith(GRPC_CONTENT_TYPE)
        if headers.get(":method") != "POST" or not is_grpc:
            self.talk.send_headers(event.stream_id, [(":status", "415")], end_stream=True)
            call.end(StatusCode.UNIMPLEMENTED, "not gRPC")
            return
        timeout = parse_timeout(headers.get("grpc-timeout", ""))
        if timeout is not None:
            call.deadline = self.loop.call_later(
                timeout, call.finish, StatusCode.DEADLINE_EXCEEDED, "its deadline has passed"
            )
        self.serve(call)

    def _on_response(self, event: Any, call: Optional[Call]) -> None:
        if call is not None:
            call.peer_metadata.update(event.headers)
            call.headers(call.peer_metadata)

    def _on_trailers(self, event: Any, call: Optional[Call]) -> None:
        if call is not None:
            call.peer_metadata.update(event.headers)

    def _on_stream_ended(self, _: Any, call: Optional[Call]) -> None:
        if call is None:
            return
        if not self.client:
            call.finish(StatusCode.OK)
            return
        status = call.peer_metadata.get("grpc-status", "")
        code = int(status) if status.isdigit() else StatusCode.UNKNOWN
        call.end(code, call.peer_metadata.get("grpc-message", ""))

    def _on_stream_reset(self, _: Any, call: Optional[Call]) -> None:
        self._count_control_frame()
        if call is not None:
            call.end(StatusCode.CANCELLED, "reset by the peer")

    def _on_control_frame(self, _: Any, __: Optional[Call]) -> None:
        self._count_control_frame()
        self._pump_all()

    def _on_window_update(self, _: Any, __: Optional[Call]) -> None:
        if not self.control_frames.take_window_update():
            self._count_control_frame()
        self._pump_all()

    def _on_terminated(self, _: Any, __: Optional[Call]) -> None:
        self.close_reason = "the peer went away"
        if not self.going_away:
            self.close()

    def _count_control_frame(self) -> None:
        """Ends the connection of a peer that sends too many control frames."""
        if self.control_frames.add(self.loop.time()):
            self.talk.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.flush()
            self.abort("flood of control frames")

    # Calls.

    def call(self, path: str, authority: str, headers: Iterable[tuple[str, str]] = ()) -> Call:
        """Starts a call as a client; messages may be sent at once.

        Raises h2's ProtocolError beyond the peer's limit of calls.
        """
        number = self.talk.get_next_available_stream_id()
        call = Call(self, number, path)
        self.calls[number] = call
        self.talk.send_headers(
            number,
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
        call.answered = True
        self.flush()
        return call

    def accept(self, call: Call, **metadata: str) -> None:
        """Sends the server's first headers and metadata, once."""
        if call.answered or call.over or not self.live:
            return
        call.answered = True
        headers = [(":status", "200"), ("content-type", GRPC_CONTENT_TYPE), *to_headers(metadata)]
        self.talk.send_headers(call.number, headers)

    def pump(self, call: Call) -> None:
        """Sends as much of a call's backlog as the peer's window allows, then its trailers."""
        if not self.live or call.over:
            return
        if not self.client:
            self.accept(call)
        had_backlog = bool(call.backlog)
        self._send_backlog(call)
        if not call.backlog and call.trailers is not None:
            self.talk.send_headers(call.number, call.trailers, end_stream=True)
            self.flush()
            _, status = call.trailers[0]
            call.end(int(status), "finished")
            return
        self.flush()
        if had_backlog and not call.backlog:
            call.writable()

    def _send_backlog(self, call: Call) -> None:
        while call.backlog:
            window = self.talk.local_flow_control_window(call.number)
            capacity = min(window, self.talk.max_outbound_frame_size)
            if capacity <= 0:
                return
            chunk = call.next_chunk(capacity)
            self.talk.send_data(call.number, chunk)
            self.control_frames.allow_window_updates()
            call.drop_chunk(len(chunk))

    def _pump_all(self) -> None:
        for call in list(self.calls.values()):
            if call.backlog:
                self.pump(call)

    def reset(self, call: Call, code: int) -> None:
        """Resets a call's HTTP/2 stream."""
        try:
            self.talk.reset_stream(call.number, code)
            self.flush()
        except h2.exceptions.ProtocolError:
            pass  # the peer was first

    def forget(self, call: Call) -> None:
        """Drops a call that is over."""
        self.calls.pop(call.number, None)


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
    local: Optional[str] = None,
    deadline: float = 1.0,
    ping_every: float = PING_INTERVAL,
    ping_wait: float = PING_TIMEOUT,
) -> Connection:
    """Connects as a client, from the address `local` where given.

    Raises OSError or asyncio.TimeoutError.
    """
    _, connection = await with_timeout(
        deadline,
        asyncio.get_running_loop().create_connection(
            lambda: Connection(True, ping_every=ping_every, ping_wait=ping_wait),
            *address,
            local_addr=(local, 0) if local else None,
        ),
    )
    return connection
