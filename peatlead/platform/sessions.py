"""The steward's address: streams of proxies, collectors, and whoever else connects.

Only bytes, deadlines and bounds are guarded here; what a joined party says goes to `owner`:

    owner.log(event, **fields)     takes what is told
    owner.ready                    whether a sign of life may be given
    owner.accept(caller, here)     the proxy's number, or None where there is no such proxy
    owner.collects(here)           whether there is such a collector
    owner.joined(caller)           a proxy's stream, `caller.proxy` its number
    owner.left(caller, reason)     it has ended
    owner.said(caller, message)    a HostMet, ReqsMet or MarkMet
    owner.emptied()                after `close`: all connections have ended
"""

import socket

from ..net.listener import Listener
from ..net.streams import Lines
from .messages import (
    ALIVE,
    LINE_LIMIT,
    CollectorHello,
    InvalidFieldError,
    LivenessCheck,
    MalformedMessageError,
    ProxyHello,
    read_message,
    write_error,
)

JOIN_WITHIN = 1.3  # seconds that one may take to join, or is told an error and closed
REFUSED_WITHIN = 1.0  # seconds that one who was refused may take to read why
QUIET_MOST = (
    15.0  # seconds of silence after which a zone's collector makes room for another of that zone
)
FIRST_MOST = 4096  # bytes of a line before joining: ours are some hundred; after it a message may be LINE_LIMIT
UNREAD_MOST = 128 << 10  # bytes that a party may leave unread
AT_ONCE, BACKLOG = 8, 1024  # connections taken in one turn of the loop; that may wait meanwhile
SPARE = 14  # descriptors for the listener, the loop, discovery and files


class Session(Lines):
    """One connection. `proxy`: the number of the proxy that joined on it, None for all others."""

    def __init__(self, front):
        super().__init__(longest=FIRST_MOST, waiting_most=UNREAD_MOST)
        self.front, self.proxy, self.collects, self.joined = front, None, None, False
        self.over, self.asked, self.deadline = False, 0, None

    def opened(self):
        self.deadline = self.loop.call_later(
            JOIN_WITHIN, self.refuse, "expected a message that joins"
        )
        self.front.add(self)

    def received(self, data):
        if not self.over:
            super().received(data)

    def line(self, data):
        if self.over or not data.strip():
            return
        try:
            message = read_message(data)
        except InvalidFieldError as problem:
            self.front.count("spoilt")
            if not self.joined:
                self.refuse(str(problem))
            return
        except MalformedMessageError as problem:
            self.refuse(str(problem))  # the end of this one: nothing on it can be trusted any more
            return
        self.take(message)

    def take(self, message):
        kind = type(message)
        if kind is LivenessCheck:
            self.answer()
        elif kind is ProxyHello or kind is CollectorHello:
            self.join(message)
        elif not self.joined:
            self.refuse("expected a message that joins first")
        else:
            self.front.owner.said(self, message)

    def answer(self):
        if self.front.owner.ready:
            self.send(ALIVE)
        else:
            self.asked += self.asked < 8  # answered as soon as it is

    def join(self, message):
        owner, first = self.front.owner, not self.joined
        if type(message) is CollectorHello:
            if self.proxy is not None or not owner.collects(message):
                self.refuse("expected a collector's zone")
                return
            self.collects = message.zone
        elif not first and self.proxy is None or (number := owner.accept(self, message)) is None:
            self.refuse("expected a proxy's number and zone")
            return
        elif not first:
            return  # it is said twice
        else:
            self.proxy = number
        self.joined, self.longest = True, LINE_LIMIT
        self.deadline.cancel()
        self.front.unjoined.pop(self, None)
        if self.proxy is not None:
            owner.joined(self)
        elif first:
            self.front.collector(self)

    def refuse(self, why):
        """An error, then the end. What it goes on sending is not read."""
        if self.over:
            return
        self.over, self.part = True, bytearray()
        self.front.count("refused")
        self.send(write_error(why))
        self.deadline.cancel()
        self.deadline = self.loop.call_later(
            REFUSED_WITHIN, self.cut, "did not read why it was refused"
        )
        self.close()

    def leave(self):
        """The steward ends: what was written is still sent, nothing is read, and the peer is told the end."""
        self.over, self.part = True, bytearray()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def cut(self, reason):
        self.over = True
        super().cut(reason)

    def ended(self, reason):
        self.over, self.part = True, bytearray()
        self.deadline.cancel()
        self.front.remove(self, reason)


class SessionListener:
    """All connections of the address, `most` at once: past that the one that waits longest without having joined is
    cut, and where all have joined the new one."""

    def __init__(self, owner, sockets, reserved):
        self.owner, self.most = owner, max(8, sockets - SPARE - AT_ONCE - reserved)
        self.callers, self.unjoined, self.counts, self.server, self.closed = {}, {}, {}, None, False

    async def open(self, place):
        """Raises OSError."""
        listener = socket.socket(
            socket.AF_INET6 if ":" in place[0] else socket.AF_INET, socket.SOCK_STREAM
        )
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(place)
            listener.listen(
                BACKLOG
            )  # a herd waits there; it is taken `AT_ONCE` at a time, or it would pass `most`
            self.server = Listener(listener, lambda: Session(self), AT_ONCE, self.owner.log)
        except OSError:
            listener.close()
            raise

    def close(self):
        """No one else is taken in; those that are there get what was written to them, then the end."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for session in list(self.callers):
            session.leave()
        if not self.callers:
            self.owner.emptied()

    def cut(self):
        for session in list(self.callers):
            session.cut("the steward ends")

    def collector(self, session):
        """Its zone's others that have fallen silent go: a machine that vanished never ends its connection."""
        before = session.loop.time() - QUIET_MOST
        for other in [
            one for one in self.callers if one.collects == session.collects and one is not session
        ]:
            if other.touched < before:
                other.cut("silent")

    def add(self, session):
        if self.closed:
            session.cut("the steward ends")
        if len(self.callers) >= self.most:
            oldest = next(iter(self.unjoined), session)
            self.unjoined.pop(oldest, None)
            self.count("evicted")
            oldest.cut("too many connections")
        self.callers[session] = self.unjoined[session] = True

    def remove(self, session, reason):
        self.callers.pop(session, None)
        self.unjoined.pop(session, None)
        if session.proxy is not None:
            self.count(f"proxy: {reason}")
            self.owner.left(session, reason)
        if self.closed and not self.callers:
            self.owner.emptied()

    def alive(self):
        """The steward is ready: those that have asked are answered."""
        for session in list(self.callers):
            if session.asked:
                session.send(ALIVE * session.asked)
                session.asked = 0

    def count(self, what):
        """Kinds of ends are few: reasons of ours and names of errors."""
        self.counts[what] = self.counts.get(what, 0) + 1
