"""HTTP/2 on our streams: calls both ways, flow control honoured, peers that misuse it cut.

h2 reads and writes the frames (RFC 9113). What waits for a peer's window is bounded a call; a caller that
sends state asks `idle` first, so that a slow reader holds only its newest.
"""

import asyncio
from collections import deque

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from ..net.streams import Stream, within
from .framing import FramingError, MessageDeframer, StatusCode, frame, parse_timeout, percent_encode

STREAMS_MOST = 16  # calls of one peer at a time
HEADERS_MOST = 16384
WAITING_MOST = 8 << 20  # bytes of one call that wait for the peer's window
CONTROL_MOST = 200  # resets, pings and settings of a peer within CONTROL_SPAN: more is a flood
CONTROL_SPAN = 10.0
CREDITS = 3  # window updates that a peer may send for each frame of data that it got, uncounted
CONTROL = (
    h2.events.PingReceived,
    h2.events.RemoteSettingsChanged,
    h2.events.PriorityUpdated,
    h2.events.UnknownFrameReceived,
)
PING_EVERY, PING_WAIT = 1.0, 1.0  # seconds: a half-open peer that says nothing is found in two
PING_SLACK = 0.01
PINGS_A_SECOND = 500  # of all connections of a listener: more of them are pinged less often


class Call:
    """One stream of messages each way. `message(data)`, `headers(map)` and `ended(status, text)` are set by its
    user; `ended` comes once, whatever the cause."""

    def __init__(self, connection, number, path=""):
        self.connection, self.number, self.path = connection, number, path
        self.unframer, self.out, self.waiting = MessageDeframer(), deque(), 0
        self.closing, self.over, self.answered, self.deadline = None, False, False, None
        self.told = {}
        self.message = self.headers = lambda _: None
        self.ended = lambda status, text: None
        self.writable = lambda: None

    @property
    def idle(self):
        return not self.out and not self.over

    def send(self, message):
        """False where the call is over or the peer lets too much wait: the call is then reset."""
        if self.over or self.closing is not None:
            return False
        data = frame(message)
        if self.waiting + len(data) > WAITING_MOST:
            self.reset("too much waits for the peer")
            return False
        self.out.append(memoryview(data))
        self.waiting += len(data)
        self.connection.pump(self)
        return True

    def finish(self, status, text="", **more):
        """The server's end: what waits goes first, then the status and `more` as trailing metadata."""
        if not self.over and self.closing is None:
            self.closing = [
                ("grpc-status", str(status)),
                ("grpc-message", percent_encode(text)),
                *((name.replace("_", "-"), value) for name, value in more.items()),
            ]
            self.connection.pump(self)

    def reset(self, text, code=h2.errors.ErrorCodes.CANCEL):
        if not self.over:
            self.connection.reset(self, code)
            self.end(1, text)

    def end(self, status, text):
        if not self.over:
            self.over = True
            self.out.clear()
            self.connection.calls.pop(self.number, None)
            if self.deadline is not None:
                self.deadline.cancel()
            self.ended(status, text)


class Connection(Stream):
    """Either side. `serve(call)` is asked for each call of a client; `ended_all(reason)` at the end."""

    def __init__(self, client, serve=None, ping_every=PING_EVERY, ping_wait=PING_WAIT):
        super().__init__(0.0, 16 << 20)
        self.talk = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client, header_encoding="utf-8", validate_inbound_headers=True
            )
        )
        self.client, self.serve, self.calls, self.control = client, serve, {}, deque()
        self.ping_every, self.ping_wait, self.ping_timer, self.pinged = (
            ping_every,
            ping_wait,
            None,
            None,
        )
        self.going, self.heard, self.credits = False, 0.0, 2 * CREDITS
        self.ended_all, self.crowd = (
            lambda reason: None,
            lambda: 0,
        )  # how many connections share the pings

    @property
    def live(self):
        """Whether anything may still be said. Between its closing and its end its calls still stand: an order for one
        of them raised out of the steward's own timer, and what was due to others then was lost."""
        return self.transport is not None and not self.transport.is_closing()

    # Its life.

    def opened(self):
        self.talk.local_settings = h2.settings.Settings(
            client=self.client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS_MOST,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: HEADERS_MOST,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.talk.initiate_connection()
        self.flush()
        if self.ping_every:
            self.ping_timer = self.loop.call_later(self.ping_every, self.ping)

    def ended(self, reason):
        if self.ping_timer is not None:
            self.ping_timer.cancel()
        for call in list(self.calls.values()):
            call.end(14, reason)
        self.ended_all(reason)

    def ping(self):
        """A peer whose machine went away says nothing: unanswered pings find it. One that speaks needs none: at
        3,000 proxies they were most of what an idle steward did."""
        if not self.live:
            return
        now = self.loop.time()
        if self.pinged is not None and self.heard < self.pinged:
            self.cut("no answer to pings")
            return
        every = max(self.ping_every, self.crowd() / PINGS_A_SECOND)
        wait, self.pinged = every - (now - self.heard), None
        if (
            wait < PING_SLACK
        ):  # a remainder of rounding would be waited for without end, at no time at all
            wait, self.pinged = max(every, self.ping_wait), now
            self.talk.ping(b"peatlead")
            self.flush()
        self.ping_timer = self.loop.call_later(wait, self.ping)

    def go_away(self):
        """No new calls; those under way may end."""
        if not self.going and self.transport is not None:
            self.going = True
            self.talk.close_connection(last_stream_id=max(self.calls, default=0))
            self.flush()

    def flush(self):
        data = self.talk.data_to_send()
        if data:
            self.send(data)

    # Bytes in, events out.

    def received(self, data):
        self.heard = self.loop.time()
        try:
            for event in self.talk.receive_data(data):
                self.take(event)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError, ValueError) as problem:
            self.flush()  # h2 has put its GOAWAY there
            self.why = f"not HTTP/2: {type(problem).__name__}"
            self.close()
            return
        self.flush()

    def take(self, event):
        kind = type(event)
        call = self.calls.get(getattr(event, "stream_id", None))
        if kind is h2.events.DataReceived:
            # Taken at once, so the window is given back at once: what is bounded is each message, not a queue.
            if event.flow_controlled_length:
                self.talk.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if not event.data:
                self.count_control()
            elif call is not None:
                self.take_data(call, event.data)
        elif kind is h2.events.RequestReceived:
            self.take_req(event)
        elif kind in (h2.events.ResponseReceived, h2.events.TrailersReceived) and call is not None:
            call.told.update(event.headers)
            if kind is h2.events.ResponseReceived:
                call.headers(call.told)
        elif kind is h2.events.StreamEnded and call is not None:
            self.take_end(call)
        elif kind is h2.events.StreamReset:
            self.count_control()
            if call is not None:
                call.end(1, "reset by the peer")
        elif kind in CONTROL:
            self.count_control()
            self.pump_all()
        elif kind is h2.events.WindowUpdated:
            self.credits -= 1
            if self.credits < 0:  # more of them than we ever sent it frames
                self.credits = 0
                self.count_control()
            self.pump_all()
        elif kind is h2.events.ConnectionTerminated:
            self.why = "the peer went away"
            if not self.going:
                self.close()

    def take_data(self, call, data):
        try:
            messages = call.unframer.feed(data)
        except FramingError as problem:
            if self.client:
                call.reset(str(problem))
            else:
                call.finish(problem.status, str(problem))
            return
        for message in messages:
            if not call.over:
                call.message(message)

    def take_req(self, event):
        headers = dict(event.headers)
        call = self.calls[event.stream_id] = Call(self, event.stream_id, headers.get(":path", ""))
        call.told = headers
        if headers.get(":method") != "POST" or not headers.get("content-type", "").startswith(
            "application/grpc"
        ):
            self.talk.send_headers(event.stream_id, [(":status", "415")], end_stream=True)
            call.end(12, "not gRPC")
        else:
            timeout = parse_timeout(headers.get("grpc-timeout", ""))
            if timeout is not None:
                call.deadline = self.loop.call_later(
                    timeout, call.finish, StatusCode.DEADLINE_EXCEEDED, "its deadline has passed"
                )
            self.serve(call)

    def take_end(self, call):
        if self.client:
            status = call.told.get("grpc-status", "2")
            call.end(int(status) if status.isdigit() else 2, call.told.get("grpc-message", ""))
        else:
            call.half_closed = True
            call.finish(0)

    def count_control(self):
        """Frames that cost the peer little and us some work; a peer that sends nothing else is cut."""
        now = self.loop.time()
        self.control.append(now)
        while now - self.control[0] > CONTROL_SPAN:
            self.control.popleft()
        if len(self.control) > CONTROL_MOST:
            self.talk.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.flush()
            self.cut("flood of control frames")

    # Calls out.

    def call(self, path, authority, headers=()):
        """A client's call; messages may be sent at once. Raises h2's ProtocolError past the peer's limit."""
        number = self.talk.get_next_available_stream_id()
        call = self.calls[number] = Call(self, number, path)
        self.talk.send_headers(
            number,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", path),
                (":authority", authority),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
                *headers,
            ],
        )
        call.answered = True
        self.flush()
        return call

    def accept(self, call, **more):
        """The server's first headers, with `more` as metadata."""
        if not call.answered and not call.over and self.live:
            call.answered = True
            self.talk.send_headers(
                call.number,
                [
                    (":status", "200"),
                    ("content-type", "application/grpc"),
                    *((name.replace("_", "-"), value) for name, value in more.items()),
                ],
            )

    def pump(self, call):
        """As much of a call as the peer's window takes."""
        if not self.live or call.over:
            return
        if not self.client:
            self.accept(call)
        had = bool(call.out)
        while call.out:
            room = min(
                self.talk.local_flow_control_window(call.number), self.talk.max_outbound_frame_size
            )
            if room <= 0:
                break
            part = call.out[0][:room]
            self.talk.send_data(call.number, bytes(part))
            self.credits += CREDITS
            call.waiting -= len(part)
            if len(part) == len(call.out[0]):
                call.out.popleft()
            else:
                call.out[0] = call.out[0][len(part) :]
        if not call.out and call.closing is not None:
            self.talk.send_headers(call.number, call.closing, end_stream=True)
            self.flush()
            call.end(int(call.closing[0][1]), "finished")
            return
        self.flush()
        if had and not call.out:
            call.writable()

    def pump_all(self):
        for call in list(self.calls.values()):
            if call.out:
                self.pump(call)

    def reset(self, call, code):
        try:
            self.talk.reset_stream(call.number, code)
            self.flush()
        except h2.exceptions.ProtocolError:
            pass  # the peer was first


async def dial(address, local=None, deadline=1.0, **more):
    """A client's Connection. Raises OSError or asyncio.TimeoutError."""
    loop = asyncio.get_running_loop()
    _, made = await within(
        deadline,
        loop.create_connection(
            lambda: Connection(True, **more), *address, local_addr=(local, 0) if local else None
        ),
    )
    return made
