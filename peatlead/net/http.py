"""HTTP/1.1 (RFC 9112) on our streams; h11 reads and writes the messages.

`Exchange` is the client's side: one req at a time on a connection that may be kept. `Server` is the
other side. Bodies are bounded.
"""

import asyncio

import h11

from .streams import Stream

BODY_MOST = 4 << 20


class Failed(Exception):
    """No answer came. `outcome` is "unreachable", "timed out" or "broken"; `sent`: whether bytes of the req
    may have reached the host."""

    def __init__(self, outcome, sent):
        super().__init__(outcome)
        self.outcome, self.sent = outcome, sent


class Answer:
    __slots__ = ("status", "headers", "body", "keep")

    def __init__(self, status, headers, body, keep):
        self.status, self.headers, self.body, self.keep = status, headers, body, keep


class Exchange(Stream):
    """`await ask(...)` sends one req and waits for its whole answer."""

    def __init__(self):
        super().__init__()
        self.talk, self.waiting, self.sent = h11.Connection(h11.CLIENT), None, False
        self.status, self.headers, self.body = 0, {}, []
        self.keep = True

    @property
    def usable(self):
        return self.keep and self.transport is not None and not self.transport.is_closing()

    async def ask(self, method, path, headers, body, deadline):
        """`headers`: [(name, value)]; `deadline`: the loop's time. Raises Failed."""
        loop = asyncio.get_running_loop()
        self.status, self.headers, self.body, self.sent = 0, {}, [], False
        self.waiting = loop.create_future()
        if body:
            headers = [*headers, ("content-length", str(len(body)))]
        data = self.talk.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += self.talk.send(h11.Data(data=body))
        self.sent = self.send(data + self.talk.send(h11.EndOfMessage()))
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
            self.waiting.set_exception(Failed(outcome, self.sent))

    def received(self, data):
        try:
            self.talk.receive_data(data)
            while (event := self.talk.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except h11.RemoteProtocolError:
            self.fail("broken")
            self.cut("not HTTP")

    def take(self, event):
        if type(event) is h11.Response:
            self.status = event.status_code
            self.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
        elif type(event) is h11.Data:
            self.body.append(bytes(event.data))
            if sum(map(len, self.body)) > BODY_MOST:
                raise h11.RemoteProtocolError("body too long")
        elif type(event) is h11.EndOfMessage:
            self.finish()
        elif type(event) is h11.ConnectionClosed:
            self.fail("broken")

    def finish(self):
        try:
            self.talk.start_next_cycle()
        except h11.LocalProtocolError:
            self.keep = False
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(Answer(self.status, self.headers, b"".join(self.body), self.keep))
        if not self.keep:
            self.close()

    def ended(self, reason):
        self.fail("broken")


async def connect(loop, address, deadline, local=None):
    """An Exchange to (host, port), from the address `local` if given. Raises Failed."""
    try:
        opening = loop.create_connection(Exchange, *address, local_addr=(local, 0) if local else None)
        _, stream = await asyncio.wait_for(opening, max(0.0, deadline - loop.time()))
        return stream
    except asyncio.TimeoutError:
        raise Failed("timed out", False) from None
    except OSError:
        raise Failed("unreachable", False) from None


class Server(Stream):
    """One connection of a client; `serve(req)` is called with (method, path, headers, body)."""

    def __init__(self, idle):
        super().__init__(idle)
        self.talk, self.req, self.parts, self.busy = h11.Connection(h11.SERVER), None, [], False

    def serve(self, method, path, headers, body):
        pass

    def received(self, data):
        try:
            self.talk.receive_data(data)
            self.advance()
        except h11.RemoteProtocolError as problem:
            self.refuse(problem.error_status_hint)

    def advance(self):
        while not self.busy and (event := self.talk.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if type(event) is h11.Request:
                self.req, self.parts = event, []
            elif type(event) is h11.Data:
                self.parts.append(bytes(event.data))
                if sum(map(len, self.parts)) > BODY_MOST:
                    raise h11.RemoteProtocolError("body too long", error_status_hint=413)
            elif type(event) is h11.EndOfMessage:
                self.busy = True
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in self.req.headers}
                self.serve(self.req.method.decode(), self.req.target.decode("latin-1"), headers,
                           b"".join(self.parts))
            elif type(event) is h11.ConnectionClosed:
                self.close()
                return

    def refuse(self, status):
        try:
            self.send(self.talk.send(h11.Response(status_code=status, headers=[("content-length", "0")])))
        except h11.LocalProtocolError:
            pass  # an answer was under way: nothing more can be said on this connection
        self.close()

    def answer(self, status, headers, body, last=False):
        """`last`: this connection serves no further req."""
        if self.transport is None:
            return
        headers = [*headers, ("content-length", str(len(body)))] + [("connection", "close")] * last
        data = self.talk.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += self.talk.send(h11.Data(data=body))
        self.send(data + self.talk.send(h11.EndOfMessage()))
        self.busy = False
        if last or self.talk.our_state is not h11.DONE or self.talk.their_state is not h11.DONE:
            self.close()
            return
        self.talk.start_next_cycle()
        try:
            self.advance()
        except h11.RemoteProtocolError as problem:
            self.refuse(problem.error_status_hint)
