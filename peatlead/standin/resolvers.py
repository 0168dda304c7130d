"""Stand-in resolvers that cache answers as the RFCs have it, or as real ones are known to.

A resolver's kind is one of `CACHE_POLICIES`. It asks its servers over UDP, and over TCP where an
answer is truncated, the quickest first.
"""

import asyncio
from collections.abc import Sequence
from ipaddress import ip_address, ip_network
from random import Random
from typing import Any, NamedTuple, Optional, cast

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from ..invariants.record import Recorder
from ..net.streams import Stream, with_timeout

Server = tuple[str, int]  # host, port
CacheKey = tuple[str, str]  # name, client subnet or ""

STALE_FOR = 30.0  # seconds that an expired answer may be served for
ATTEMPT_TIMEOUT = 0.35  # seconds until the next server is asked
MAX_ATTEMPTS = 4
MAX_CACHED = 10_000  # answers
SLOWNESS_DECAY = 0.7  # a server that did not answer is asked again once others seem as slow
UDP_PAYLOAD = 1232  # bytes, announced in EDNS (DNS flag day 2020)
CACHED_RCODES = ("NOERROR", "NXDOMAIN")


class CachePolicy(NamedTuple):
    """How long a kind of resolver keeps an answer."""

    lifetime_factor: float = 1.0  # of the answer's TTL
    min_lifetime: float = 0.0  # seconds
    serves_stale: bool = False  # expired answers while no server answers (RFC 8767)


CACHE_POLICIES = {
    "keeps": CachePolicy(),  # RFC 1035
    "twice": CachePolicy(lifetime_factor=2.0),
    "tenfold": CachePolicy(lifetime_factor=10.0),
    "least": CachePolicy(min_lifetime=5.0),
    "stale": CachePolicy(serves_stale=True),
}


class CachedAnswer:
    """Addresses, when they expire, and how far their order is rotated."""

    __slots__ = ("addresses", "until", "rotation")

    def __init__(self, addresses: list[str], until: float) -> None:
        self.addresses = addresses
        self.until = until
        self.rotation = 0

    def rotate(self) -> list[str]:
        """Return the addresses, beginning one later than the time before."""
        self.rotation = (self.rotation + 1) % len(self.addresses)
        return self.addresses[self.rotation :] + self.addresses[: self.rotation]


class Resolver(asyncio.DatagramProtocol):
    """A caching resolver that asks authoritative servers."""

    loop: asyncio.AbstractEventLoop
    transport: asyncio.DatagramTransport

    def __init__(
        self,
        kind: str,
        address: str,
        servers: Sequence[Server],
        rng: Random,
        record: Recorder,
        rotates: bool = True,
    ) -> None:
        self.kind = kind
        self.policy = CACHE_POLICIES[kind]
        self.address = address
        self.servers = servers
        self.rng = rng
        self.record = record
        self.rotates = rotates  # whether the order of addresses changes between lookups
        self.cache: dict[CacheKey, CachedAnswer] = {}
        self.queries: dict[CacheKey, asyncio.Task[Optional[CachedAnswer]]] = {}  # under way
        self.waiting: dict[tuple[Server, bytes], asyncio.Future[bytes]] = {}  # by message ID
        self.slowness = dict.fromkeys(servers, 0.0)  # smoothed seconds until an answer

    async def begin(self) -> None:
        """Open the socket that queries are sent from."""
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        """Hand an answer to the query that waits for it."""
        waiter = self.waiting.get((peer, data[:2]))
        if waiter is not None and not waiter.done():
            waiter.set_result(data)

    def close(self) -> None:
        """Close the socket."""
        self.transport.close()

    async def lookup(self, name: str, network: str, view: str) -> Optional[list[str]]:
        """Return the addresses of a name ([] where it has none), or None without an answer.

        `network` is the client subnet to send ("" for none); `view` names the client in the rows.
        """
        now = self.loop.time()
        key = (name, network)
        cached = self.cache.get(key)
        if cached is not None and now < cached.until:
            return self._order_addresses(cached)
        if key not in self.queries:
            task = self.queries[key] = self.loop.create_task(self._resolve(name, network, view))
            task.add_done_callback(lambda _: self.queries.pop(key, None))
        answer = await asyncio.shield(self.queries[key])
        if answer is not None:
            return self._order_addresses(answer)
        if cached is not None and self.policy.serves_stale and now <= cached.until + STALE_FOR:
            return self._order_addresses(cached)
        return None

    def _order_addresses(self, answer: CachedAnswer) -> list[str]:
        if self.rotates and answer.addresses:
            return answer.rotate()
        return list(answer.addresses)

    async def _resolve(self, name: str, network: str, view: str) -> Optional[CachedAnswer]:
        """Ask one server after the other until one has an answer that can be cached."""
        query = build_query(name, network)
        query.id = self.rng.randrange(65536)
        wire = query.to_wire()
        start = self.loop.time()
        for server in self._order_servers():
            answer = await self._ask_timed(server, wire, query)
            if answer is None:
                continue
            rcode = dns.rcode.to_text(answer.rcode())
            addresses, lifetime = read_addresses(answer)
            self._record_answer(view, server[0], rcode, addresses, lifetime, start)
            if rcode in CACHED_RCODES:
                return self.store(name, network, addresses, lifetime)
        self._record_answer(view, "", "none", [], 0, start)
        return None

    def _record_answer(
        self,
        view: str,
        server: str,
        rcode: str,
        addresses: list[str],
        lifetime: int,
        start: float,
    ) -> None:
        now = self.loop.time()
        duration = now - start
        self.record.row(
            "answer", now, view, self.kind, server, rcode, addresses, lifetime, duration
        )

    def _order_servers(self) -> list[Server]:
        """Quick ones first, in random order where alike, so that no server is left unused."""
        servers = sorted(
            self.servers,
            key=lambda server: (round(self.slowness[server], 2), self.rng.random()),
        )
        return (servers * MAX_ATTEMPTS)[:MAX_ATTEMPTS]

    async def _ask_timed(
        self, server: Server, wire: bytes, query: dns.message.Message
    ) -> Optional[dns.message.Message]:
        """Ask a server and update its slowness."""
        began = self.loop.time()
        answer = await self._ask(server, wire, query)
        duration = self.loop.time() - began
        slowness = self.slowness[server]
        if answer is None:
            self.slowness[server] = ATTEMPT_TIMEOUT + slowness * SLOWNESS_DECAY
        else:
            self.slowness[server] = 0.7 * slowness + 0.3 * duration
        return answer

    async def _ask(
        self, server: Server, wire: bytes, query: dns.message.Message
    ) -> Optional[dns.message.Message]:
        key = (server, wire[:2])
        self.waiting[key] = self.loop.create_future()
        self.transport.sendto(wire, server)
        try:
            data = await with_timeout(ATTEMPT_TIMEOUT, self.waiting[key])
            answer: Optional[dns.message.Message] = dns.message.from_wire(data)
            if answer is not None and answer.flags & dns.flags.TC:
                answer = await ask_over_tcp(self.loop, server, self.address, wire)
            return answer if answer is not None and query.is_response(answer) else None
        except (TimeoutError, dns.exception.DNSException):
            return None
        finally:
            self.waiting.pop(key, None)

    def store(self, name: str, network: str, addresses: list[str], lifetime: int) -> CachedAnswer:
        """Cache an answer with a lifetime in seconds, as the resolver's policy has it."""
        lifetime_here = max(lifetime * self.policy.lifetime_factor, self.policy.min_lifetime)
        if len(self.cache) >= MAX_CACHED:
            self.cache.pop(next(iter(self.cache)))  # the oldest; it is only asked for again
        cached = CachedAnswer(addresses, self.loop.time() + lifetime_here)
        self.cache[name, network] = cached
        return cached


def build_query(name: str, network: str) -> dns.message.Message:
    """Build an A query, with a client subnet option (RFC 7871) where a network is given."""
    options: list[dns.edns.Option] = []
    if network:
        subnet = ip_network(network)
        options = [dns.edns.ECSOption(str(subnet.network_address), subnet.prefixlen)]
    return dns.message.make_query(
        name, "A", use_edns=0, payload=UDP_PAYLOAD, options=options or None
    )


def read_addresses(answer: dns.message.Message) -> tuple[list[str], int]:
    """Return the addresses of an answer and their TTL in seconds."""
    addresses: list[str] = []
    lifetime = 0
    for rrset in answer.answer:
        if rrset.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA):
            addresses += [str(ip_address(rdata.address)) for rdata in rrset]
            lifetime = rrset.ttl
    return addresses, lifetime


class TcpQuery(Stream):
    """One query over TCP; `answer` is the message's bytes, None where the connection ended."""

    def __init__(self, wire: bytes) -> None:
        super().__init__(ATTEMPT_TIMEOUT * 2)
        self.wire = wire
        self.data = b""
        self.answer: asyncio.Future[Optional[bytes]] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        """Send the query."""
        self.send(len(self.wire).to_bytes(2, "big") + self.wire)

    def received(self, data: bytes) -> None:
        """Wait until the answer is complete."""
        self.data += data
        if len(self.data) >= 2 and len(self.data) >= 2 + int.from_bytes(self.data[:2], "big"):
            if not self.answer.done():
                self.answer.set_result(self.data[2:])
            self.close()

    def ended(self, reason: str) -> None:
        """Report a connection that ended without an answer."""
        if not self.answer.done():
            self.answer.set_result(None)


async def ask_over_tcp(
    loop: asyncio.AbstractEventLoop, server: Server, local: str, wire: bytes
) -> Optional[dns.message.Message]:
    """Ask over TCP from a local address; None where the server cannot be reached."""
    try:
        _, query = await loop.create_connection(
            lambda: TcpQuery(wire), *server, local_addr=(local, 0)
        )
    except OSError:
        return None
    data = await query.answer
    return dns.message.from_wire(data) if data else None
