"""The DNS server: UDP and TCP sockets for `Answers`.

Over TCP (RFC 7766, 9210), pipelined queries are answered in order on the same connection. The
server closes connections of idle and slow peers. The number of connections is limited; a new
connection replaces the connection that has been idle longest.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol, cast

from ..net.streams import ConnectionSet, Stream
from .answers import Answers
from .message_format import TCP_LENGTH_BYTES

MAX_UNSENT_BYTES = 1 << 18  # of responses that a TCP peer has not read


class Closable(Protocol):
    """A transport or a server that can be closed."""

    def close(self) -> None:
        """Stop listening."""


class DnsServer:
    """The UDP and TCP sockets of one controller.

    Queries are answered until `fresh_until` (loop time in seconds), which the controller advances
    regularly unless it has stalled.
    """

    def __init__(self, settings: Mapping[str, Any], answers: Answers) -> None:
        self.settings = settings
        self.answers = answers
        self.connections = ConnectionSet(settings["tcp_most"])
        self.fresh_until = 0.0
        self.unanswered_count = 0  # queries that arrived after `fresh_until`
        self.listeners: list[Closable] = []

    async def open(self, address: tuple[str, int]) -> None:
        """Listen on an address; raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        udp, _ = await loop.create_datagram_endpoint(lambda: UdpProtocol(self), local_addr=address)
        self.listeners.append(udp)
        self.listeners.append(await loop.create_server(lambda: TcpConnection(self), *address))

    def close(self) -> None:
        """Close the sockets and all connections."""
        for listener in self.listeners:
            listener.close()
        self.connections.close()


class UdpProtocol(asyncio.DatagramProtocol):
    """Answers queries over UDP until `DnsServer.fresh_until`.

    After a suspension, the socket's buffer holds queries that would be answered with outdated
    endpoints. These queries are dropped; resolvers then ask another controller.
    """

    def __init__(self, server: DnsServer) -> None:
        self.server = server
        # Over UDP an answer is never a list of messages.
        self.respond = cast(Callable[[bytes, str], bytes | None], server.answers.respond)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the bound methods that each datagram needs (asyncio callback)."""
        self.sendto = cast(asyncio.DatagramTransport, transport).sendto
        self.now = asyncio.get_running_loop().time

    def datagram_received(self, data: bytes, peer: tuple[Any, ...]) -> None:
        """Answer a query (asyncio callback)."""
        if self.now() > self.server.fresh_until:
            self.server.unanswered_count += 1
            return
        answer = self.respond(data, peer[0])
        if answer is not None:
            self.sendto(answer, peer)

    def error_received(self, error: Exception) -> None:
        """Ignore the error (asyncio callback), which occurs when a peer has closed its port."""


class TcpConnection(Stream):
    """A TCP connection from a resolver."""

    def __init__(self, server: DnsServer) -> None:
        super().__init__(server.settings["tcp_idle"], MAX_UNSENT_BYTES)
        self.server = server
        self.incomplete_message = b""  # the received part of the next message, less than 64 KiB

    def opened(self) -> None:
        """Add this connection to the server's limited set of connections."""
        self.server.connections.add(self)

    def ended(self, reason: str) -> None:
        """Remove this connection from the server's set of connections."""
        self.server.connections.remove(self)

    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete query."""
        return len(self.incomplete_message)

    def received(self, data: bytes) -> None:
        """Answer all complete queries in the received data."""
        data = self.incomplete_message + data
        start = 0
        while len(data) - start >= TCP_LENGTH_BYTES and not self.aborted:
            size = int.from_bytes(data[start : start + TCP_LENGTH_BYTES], "big")
            end = start + TCP_LENGTH_BYTES + size
            if len(data) < end:
                break
            self.answer_query(data[start + TCP_LENGTH_BYTES : end])
            start = end
        self.incomplete_message = data[start:]

    def answer_query(self, query: bytes) -> None:
        """Answer one query; the answer to a zone transfer may have several messages."""
        if self.loop.time() > self.server.fresh_until:
            self.server.unanswered_count += 1
            self.abort("answers are out of date")  # makes the resolver ask another controller
            return
        answer = self.server.answers.respond(query, self.peer_address[0], True)
        if answer is None:
            self.abort("malformed")
            return
        for message in answer if isinstance(answer, list) else (answer,):
            self.send(len(message).to_bytes(TCP_LENGTH_BYTES, "big") + message)
