"""HTTP/1.1 (RFC 9112) on our streams; httptools (llhttp) reads the messages, heads are written here.

`Exchange` is the client's side: one req at a time on a connection that may be kept. `Server` is the
other side. Heads, bodies and reqs that wait behind one in work are bounded.

h11 read them before: in Python, it took half of all the time of a simulated day (docs/results/lab.md).
"""

import asyncio
from collections import deque
from http import HTTPStatus

import httptools

from .errors import is_local
from .streams import Stream, within

BODY_MOST, HEAD_MOST, AHEAD_MOST = (
    4 << 20,
    64 << 10,
    16,
)  # bytes; bytes; reqs sent ahead of their answers
PHRASES = {one.value: one.phrase for one in HTTPStatus}


class RequestFailedError(Exception):
    """No answer came. `outcome` is "unreachable", "denied" (this machine had no means to ask), "timed out" or
    "broken"; `sent`: whether bytes of the req may have reached the host."""

    def __init__(self, outcome, sent):
        super().__init__(outcome)
        self.outcome, self.sent = outcome, sent


class MessageTooLargeError(Exception):
    """A message passed a bound; `status` is what its sender is told."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Answer:
    __slots__ = ("status", "headers", "body", "keep")

    def __init__(self, status, headers, body, keep):
        self.status, self.headers, self.body, self.keep = status, headers, body, keep


def write_message(first, headers, body):
    """A message's bytes. ValueError where a name or value would end its line: it could add a header, or a req."""
    head = "".join([first, "\r\n", *[f"{name}: {value}\r\n" for name, value in headers], "\r\n"])
    if head.count("\n") != len(headers) + 2 or head.count("\r") != len(headers) + 2:
        raise ValueError("expected no line ends within a header")
    return head.encode("latin-1") + body


class Message:
    """What a parser's callbacks gather; `whole()` is called at each message's end."""

    def __init__(self):
        self.begin()

    def begin(self):
        self.target, self.headers, self.body, self.size, self.head = b"", {}, [], 0, 0

    on_message_begin = begin

    def on_url(self, data):
        self.grow(len(data))
        self.target += data

    def on_header(self, name, value):
        self.grow(len(name) + len(value))
        name = name.decode("latin-1").lower()
        if name in self.headers and name in ("host", "content-length"):
            raise MessageTooLargeError(400)  # two readers could take two messages for one
        self.headers[name] = value.decode("latin-1")

    def grow(self, more):
        self.head += more
        if self.head > HEAD_MOST:
            raise MessageTooLargeError(431)

    def on_body(self, data):
        self.size += len(data)
        if self.size > BODY_MOST:
            raise MessageTooLargeError(413)
        self.body.append(data)

    def on_message_complete(self):
        self.whole()

    def whole(self):
        pass


def feed(parser, data):
    """0, or the status that tells what was wrong."""
    try:
        parser.feed_data(data)
    except httptools.HttpParserCallbackError as problem:
        cause = problem.__context__
        if isinstance(cause, MessageTooLargeError):
            return cause.status
        raise
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return 400
    return 0


class Reply(Message):
    def __init__(self, exchange):
        super().__init__()
        self.exchange = exchange

    def whole(self):
        self.exchange.finish()


class Exchange(Stream):
    """`await ask(...)` sends one req and waits for its whole answer."""

    def __init__(self):
        super().__init__()
        self.reply = Reply(self)
        self.parser, self.waiting, self.sent = httptools.HttpResponseParser(self.reply), None, False
        self.keep, self.heard = True, 0

    @property
    def usable(self):
        return self.keep and self.transport is not None and not self.transport.is_closing()

    async def ask(self, method, path, headers, body, deadline):
        """`headers`: [(name, value)]; `deadline`: the loop's time. Raises Failed."""
        loop = asyncio.get_running_loop()
        self.sent, self.heard = False, 0
        self.waiting = loop.create_future()
        if body:
            headers = [*headers, ("content-length", str(len(body)))]
        self.sent = self.send(write_message(f"{method} {path} HTTP/1.1", headers, body))
        timer = loop.call_at(deadline, self.late)
        try:
            return await self.waiting
        finally:
            timer.cancel()
            self.waiting = None

    def late(self):
        self.fail("timed out")
        self.cut("late")

    def fail(self, outcome):
        self.keep = False
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(RequestFailedError(outcome, self.sent))

    def received(self, data):
        self.heard += len(data)
        if self.waiting is None or self.heard > BODY_MOST + HEAD_MOST or feed(self.parser, data):
            self.fail("broken")  # an answer that nobody asked for would be taken for the next one's
            self.cut("not HTTP")

    def finish(self):
        status = self.parser.get_status_code()
        if status < 200:
            return  # on the way to the answer
        self.keep = self.keep and self.parser.should_keep_alive()
        if self.waiting is not None and not self.waiting.done():
            reply = self.reply
            self.waiting.set_result(Answer(status, reply.headers, b"".join(reply.body), self.keep))
        if not self.keep:
            self.close()

    def ended(self, reason):
        self.fail("broken")


async def connect(loop, address, deadline, local=None):
    """An Exchange to (host, port), from the address `local` if given. Raises Failed."""
    try:
        opening = loop.create_connection(
            Exchange, *address, local_addr=(local, 0) if local else None
        )
        _, stream = await within(max(0.0, deadline - loop.time()), opening)
        return stream
    except asyncio.TimeoutError:
        raise RequestFailedError("timed out", False) from None
    except OSError as problem:
        raise RequestFailedError("denied" if is_local(problem) else "unreachable", False) from None


class Req(Message):
    def __init__(self, server):
        super().__init__()
        self.server = server

    def whole(self):
        self.server.take(self)


class Server(Stream):
    """One connection of a client; `serve(method, path, headers, body)` is called for one req at a time. Those
    that are sent ahead wait for its answer, `AHEAD_MOST` at most."""

    def __init__(self, idle):
        super().__init__(idle)
        self.parser, self.ahead = httptools.HttpRequestParser(Req(self)), deque()
        self.busy, self.last, self.refused = False, False, 0

    def serve(self, method, path, headers, body):
        pass

    def received(self, data):
        if self.last:
            return  # its last req was taken: what follows is served by nobody
        self.refused = feed(self.parser, data)
        self.last = bool(self.refused)
        self.advance()

    def take(self, req):
        if len(self.ahead) >= AHEAD_MOST:
            raise MessageTooLargeError(429)
        if "host" not in req.headers and self.parser.get_http_version() == "1.1":
            raise MessageTooLargeError(400)
        if self.parser.should_upgrade():
            raise MessageTooLargeError(501)  # what follows would be another protocol's
        method, keep = self.parser.get_method().decode("latin-1"), self.parser.should_keep_alive()
        self.ahead.append(
            (method, req.target.decode("latin-1"), req.headers, b"".join(req.body), keep)
        )

    def advance(self):
        while self.ahead and not self.busy and self.transport is not None:
            *req, keep = self.ahead.popleft()
            self.busy, self.last = True, self.last or not keep
            self.serve(*req)
        if self.refused and not self.busy:  # after the answers to what came whole before it
            self.send(
                write_message(
                    f"HTTP/1.1 {self.refused} {PHRASES[self.refused]}",
                    [("content-length", "0"), ("connection", "close")],
                    b"",
                )
            )
            self.close()

    def answer(self, status, headers, body, last=False):
        """`last`: this connection serves no further req."""
        if self.transport is None:
            return
        last = last or self.last and not (self.ahead or self.refused)
        headers = [*headers, ("content-length", str(len(body)))] + [("connection", "close")] * last
        self.send(write_message(f"HTTP/1.1 {status} {PHRASES.get(status, '')}", headers, body))
        self.busy = False
        if last:
            self.last = True
            self.ahead.clear()
            self.close()
            return
        if self.ahead or self.refused:
            self.loop.call_soon(self.advance)
