"""DNS over UDP and TCP: the sockets around `Answers`.

TCP (RFC 7766, 9210): queries are taken as they come, and pipelined ones are answered in order on
the same connection. Idle and slow peers are cut; connections are bounded, the longest idle is
evicted.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol, cast

from ..net.streams import ConnectionSet, Stream
from .answers import Answers
from .message_format import TCP_LENGTH_BYTES

MAX_UNSENT_BYTES = 1 << 18  # responses that a TCP peer leaves unread


class Closer(Protocol):
    """A transport or a server."""

    def close(self) -> None:
        """Stop listening."""


class DnsServer:
    """The UDP and TCP sockets of one controller.

    The controller moves `fresh_until`, in loop time, on as it goes on deciding.
    """

    def __init__(self, settings: Mapping[str, Any], answers: Answers) -> None:
        self.settings = settings
        self.answers = answers
        self.connections = ConnectionSet(settings["tcp_most"])
        self.fresh_until = 0.0
        self.unanswered = 0  # queries that came while the controller was not fresh
        self.closers: list[Closer] = []

    async def open(self, address: tuple[str, int]) -> None:
        """Listen on an address; raises OSError."""
        loop = asyncio.get_running_loop()
        udp, _ = await loop.create_datagram_endpoint(lambda: UdpProtocol(self), local_addr=address)
        self.closers.append(udp)
        self.closers.append(await loop.create_server(lambda: TcpConnection(self), *address))

    def close(self) -> None:
        """Close the sockets and all connections."""
        for closer in self.closers:
            closer.close()
        self.connections.close()


class UdpProtocol(asyncio.DatagramProtocol):
    """Answers datagrams, while the controller is fresh.

    A controller that was suspended would name drained endpoints in answers to the queries that
    waited in its socket; resolvers have another controller to ask.
    """

    def __init__(self, server: DnsServer) -> None:
        self.server = server
        # Over UDP there is never more than one message.
        self.respond = cast(Callable[[bytes, str], bytes | None], server.answers.respond)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Look up what each datagram needs once (asyncio callback)."""
        self.sendto = cast(asyncio.DatagramTransport, transport).sendto
        self.now = asyncio.get_running_loop().time

    def datagram_received(self, data: bytes, peer: tuple[Any, ...]) -> None:
        """Answer a query (asyncio callback)."""
        if self.now() > self.server.fresh_until:
            self.server.unanswered += 1
            return
        answer = self.respond(data, peer[0])
        if answer is not None:
            self.sendto(answer, peer)

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer's port is closed."""


class TcpConnection(Stream):
    """A resolver's connection."""

    def __init__(self, server: DnsServer) -> None:
        super().__init__(server.settings["tcp_idle"], MAX_UNSENT_BYTES)
        self.server = server
        self.part = b""  # of a message that has not arrived completely: less than 64 KiB

    def opened(self) -> None:
        """Join the server's bounded set of connections."""
        self.server.connections.add(self)

    def ended(self, reason: str) -> None:
        """Leave the server's set of connections."""
        self.server.connections.remove(self)

    def received(self, data: bytes) -> None:
        """Answer all complete queries."""
        data = self.part + data
        start = 0
        while len(data) - start >= TCP_LENGTH_BYTES:
            size = int.from_bytes(data[start : start + TCP_LENGTH_BYTES], "big")
            end = start + TCP_LENGTH_BYTES + size
            if len(data) < end:
                break
            self.answer_query(data[start + TCP_LENGTH_BYTES : end])
            start = end
        self.part = data[start:]

    def answer_query(self, query: bytes) -> None:
        """Answer one query; a zone transfer takes several messages."""
        if self.loop.time() > self.server.fresh_until:
            self.server.unanswered += 1
            self.abort("not fresh")  # a resolver asks another controller at once
            return
        answer = self.server.answers.respond(query, self.peer[0], True)
        if answer is None:
            self.abort("malformed")
            return
        for message in answer if isinstance(answer, list) else (answer,):
            self.send(len(message).to_bytes(TCP_LENGTH_BYTES, "big") + message)
