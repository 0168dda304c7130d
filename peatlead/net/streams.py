"""Streams: asyncio's BufferedProtocol with bounded buffers both ways and deadlines by the loop's clock."""

import asyncio

# Bytes read at a time. One buffer serves all streams: asyncio reads into it and hands it over within one
# callback, and what is kept is copied. A buffer a stream would be 200 MB at 3,000 proxies.
ROOM = bytearray(65536)
WINDOW = memoryview(ROOM)


async def within(seconds, waited):
    """What is awaited, or asyncio.TimeoutError. `asyncio.wait_for` takes other steps in 3.11 than in later Pythons:
    the same day in the lab would differ by version."""
    async with asyncio.timeout(seconds):
        return await waited


class Stream(asyncio.BufferedProtocol):
    """One connection. Subclasses fill in `opened`, `received(data)` and `ended(reason)`.

    `idle` seconds without a byte either way cut it; so does a peer that leaves more than `waiting_most`
    bytes unread: a slow reader costs its own connection, never memory without end.
    """

    def __init__(self, idle=0.0, waiting_most=1 << 20):
        self.idle, self.waiting_most = idle, waiting_most
        self.transport, self.peer, self.loop = None, None, None
        self.touched, self.timer, self.why = 0.0, None, None

    # For subclasses.

    def opened(self):
        pass

    def received(self, data):
        pass

    def ended(self, reason):
        pass

    # What they may call.

    def send(self, data):
        """False where the stream has ended or the peer does not read."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.touched = self.loop.time()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.waiting_most:
            self.cut("slow reader")
            return False
        return True

    def close(self):
        """After what waits has been sent."""
        if self.transport is not None:
            self.transport.close()

    def cut(self, reason):
        """Now; what waits is lost."""
        self.why = self.why or reason
        if self.transport is not None:
            self.transport.abort()

    # asyncio's side.

    def connection_made(self, transport):
        self.loop, self.transport = asyncio.get_running_loop(), transport
        self.peer = transport.get_extra_info("peername")
        self.touched = self.loop.time()
        if self.idle:
            self.timer = self.loop.call_later(self.idle, self.look)
        self.opened()

    def get_buffer(self, sizehint):
        return ROOM

    def buffer_updated(self, size):
        self.touched = self.loop.time()
        self.received(bytes(WINDOW[:size]))

    def eof_received(self):
        return False

    def connection_lost(self, problem):
        if self.timer is not None:
            self.timer.cancel()
        self.transport = None
        self.ended(self.why or (type(problem).__name__ if problem else "closed"))

    def look(self):
        """One timer a stream, set again only when due: a byte costs no timer."""
        left = self.touched + self.idle - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.look)
        else:
            self.cut("idle")


class ConnectionSet:
    """The streams that a listener holds, `most` at most: past that the one idle for longest is cut."""

    def __init__(self, most):
        self.most, self.streams, self.evicted = most, {}, 0

    def add(self, stream):
        if len(self.streams) >= self.most:
            oldest = min(self.streams, key=lambda one: one.touched)
            del self.streams[oldest]
            oldest.cut("evicted")
            self.evicted += 1
        self.streams[stream] = True

    def drop(self, stream):
        self.streams.pop(stream, None)

    def close(self):
        for stream in list(self.streams):
            stream.close()


class Lines(Stream):
    """A stream of lines that end in a newline, `longest` bytes at most; `line(data)` gets each."""

    def __init__(self, idle=0.0, longest=1 << 20, waiting_most=1 << 20):
        super().__init__(idle, waiting_most)
        self.longest, self.part = longest, bytearray()  # of a line whose end has not come

    def line(self, data):
        pass

    def received(self, data):
        first, *rest = data.split(b"\n")
        self.part += (
            first  # what came before it is not read again: a long line may come byte by byte
        )
        if rest:
            whole, self.part = [bytes(self.part), *rest[:-1]], bytearray(rest[-1])
            for one in whole:
                self.line(one)
        if len(self.part) > self.longest:
            self.cut("line too long")
