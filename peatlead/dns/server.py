"""DNS over UDP and TCP on asyncio: the sockets around `Answers`.

TCP (RFC 7766, 9210): queries are taken as they come, pipelined ones answered in order on the same
connection; idle and slow peers are cut, connections bounded, the idlest evicted.
"""

import asyncio

from ..net.streams import ConnectionSet, Stream


class Udp(asyncio.DatagramProtocol):
    """Answers nothing while the steward is not fresh: one that was frozen would name drained hosts from the
    queries that waited in its socket, and resolvers have another to go to."""

    def __init__(self, front):
        self.front, self.respond = front, front.answers.respond

    def connection_made(self, transport):
        self.sendto = transport.sendto
        self.now = asyncio.get_running_loop().time

    def datagram_received(self, data, peer):
        if self.now() > self.front.fresh_until:
            self.front.unanswered += 1
            return
        answer = self.respond(data, peer[0])
        if answer is not None:
            self.sendto(answer, peer)

    def error_received(self, problem):
        pass  # a peer's port is closed: its query was answered all the same


class Tcp(Stream):
    def __init__(self, front):
        super().__init__(front.settings["tcp_idle"], 1 << 18)
        self.front, self.part = front, b""

    def opened(self):
        self.front.held.add(self)

    def ended(self, reason):
        self.front.held.drop(self)

    def received(self, data):
        data = self.part + data
        at = 0
        while len(data) - at >= 2:
            size = int.from_bytes(data[at : at + 2], "big")
            if len(data) - at - 2 < size:
                break
            self.one(data[at + 2 : at + 2 + size])
            at += 2 + size
        self.part = data[at:]  # under 64 KiB: a message has at most 65,535 bytes

    def one(self, query):
        if self.loop.time() > self.front.fresh_until:
            self.front.unanswered += 1
            self.cut("not fresh")  # a resolver goes to another steward at once
            return
        answer = self.front.answers.respond(query, self.peer[0], True)
        if answer is None:
            self.cut("malformed")
        else:
            for one in answer if type(answer) is list else (answer,):  # a zone transfer is several
                self.send(len(one).to_bytes(2, "big") + one)


class DnsFront:
    """Both sockets of one steward; `fresh_until` is set by the steward as it goes on deciding."""

    def __init__(self, settings, answers):
        self.settings, self.answers = settings, answers
        self.held, self.fresh_until, self.unanswered = ConnectionSet(settings["tcp_most"]), 0.0, 0
        self.closers = []

    async def open(self, address):
        """Raises OSError where the address cannot be had."""
        loop = asyncio.get_running_loop()
        udp, _ = await loop.create_datagram_endpoint(lambda: Udp(self), local_addr=address)
        self.closers.append(udp)
        self.closers.append(await loop.create_server(lambda: Tcp(self), *address))

    def close(self):
        for closer in self.closers:
            closer.close()
        self.held.close()
