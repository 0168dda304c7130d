"""Stand-in resolvers, which cache answers for the TTL or, like some real resolvers, for longer.

A resolver's kind is a key of `CACHE_POLICIES`. A resolver queries its servers over UDP, fastest
first, and repeats a query over TCP if the answer is truncated.
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

MAX_STALE_TIME = 30.0  # seconds after expiry in which an answer may be served
ATTEMPT_TIMEOUT = 0.35  # seconds until the next server is queried
MAX_ATTEMPTS = 4
MAX_CACHED_ANSWERS = 10_000
RESPONSE_TIME_DECAY = 0.7  # weight of the previous response time, after a query without an answer
UDP_PAYLOAD = 1232  # bytes, in the EDNS option (DNS flag day 2020)
CACHED_RCODES = ("NOERROR", "NXDOMAIN")


class CachePolicy(NamedTuple):
    """How long a kind of resolver caches an answer."""

    ttl_factor: float = 1.0  # of the answer's TTL
    min_ttl: float = 0.0  # seconds
    serves_stale: bool = False  # serves expired answers while no server answers (RFC 8767)


CACHE_POLICIES = {
    "keeps": CachePolicy(),  # RFC 1035
    "twice": CachePolicy(ttl_factor=2.0),
    "tenfold": CachePolicy(ttl_factor=10.0),
    "least": CachePolicy(min_ttl=5.0),
    "stale": CachePolicy(serves_stale=True),
}


class CachedAnswer:
    """The addresses of an answer, their expiry time, and the rotation of their order."""

    __slots__ = ("addresses", "expires_at", "rotation")

    def __init__(self, addresses: list[str], expires_at: float) -> None:
        self.addresses = addresses
        self.expires_at = expires_at
        self.rotation = 0

    def rotate(self) -> list[str]:
        """Return the addresses, starting one position later than in the previous call."""
        self.rotation = (self.rotation + 1) % len(self.addresses)
        return self.addresses[self.rotation :] + self.addresses[: self.rotation]


class Resolver(asyncio.DatagramProtocol):
    """A caching resolver that queries authoritative servers."""

    loop: asyncio.AbstractEventLoop
    transport: asyncio.DatagramTransport

    def __init__(
        self,
        kind: str,
        address: str,
        servers: Sequence[Server],
        rng: Random,
        recorder: Recorder,
        rotates: bool = True,
    ) -> None:
        self.kind = kind
        self.policy = CACHE_POLICIES[kind]
        self.address = address
        self.servers = servers
        self.rng = rng
        self.recorder = recorder
        self.rotates = rotates  # whether the order of addresses changes between lookups
        self.cache: dict[CacheKey, CachedAnswer] = {}
        self.active_queries: dict[CacheKey, asyncio.Task[Optional[CachedAnswer]]] = {}
        self.pending_answers: dict[
            tuple[Server, bytes], asyncio.Future[bytes]
        ] = {}  # by message ID
        self.response_times = dict.fromkeys(servers, 0.0)  # smoothed response time in seconds

    async def open(self) -> None:
        """Open the UDP socket for queries."""
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        """Pass an answer to the query that waits for it."""
        waiter = self.pending_answers.get((peer, data[:2]))
        if waiter is not None and not waiter.done():
            waiter.set_result(data)

    def close(self) -> None:
        """Close the socket."""
        self.transport.close()

    async def lookup(self, name: str, network: str, view: str) -> Optional[list[str]]:
        """Return the addresses of a name, possibly none, or None if no server answered.

        `network` is the client subnet to send ("" for none). `view` is recorded with the answer.
        """
        now = self.loop.time()
        key = (name, network)
        cached = self.cache.get(key)
        if cached is not None and now < cached.expires_at:
            return self._order_addresses(cached)
        if key not in self.active_queries:
            task = self.active_queries[key] = self.loop.create_task(
                self._resolve(name, network, view)
            )
            task.add_done_callback(lambda _: self.active_queries.pop(key, None))
        answer = await asyncio.shield(self.active_queries[key])
        if answer is not None:
            return self._order_addresses(answer)
        if (
            cached is not None
            and self.policy.serves_stale
            and now <= cached.expires_at + MAX_STALE_TIME
        ):
            return self._order_addresses(cached)
        return None

    def _order_addresses(self, answer: CachedAnswer) -> list[str]:
        if self.rotates and answer.addresses:
            return answer.rotate()
        return list(answer.addresses)

    async def _resolve(self, name: str, network: str, view: str) -> Optional[CachedAnswer]:
        """Query the servers in turn until one sends an answer that can be cached."""
        query = build_query(name, network)
        query.id = self.rng.randrange(65536)
        wire = query.to_wire()
        start = self.loop.time()
        for server in self._order_servers():
            answer = await self._query_timed(server, wire, query)
            if answer is None:
                continue
            rcode = dns.rcode.to_text(answer.rcode())
            addresses, ttl = read_addresses(answer)
            self._record_answer(view, server[0], rcode, addresses, ttl, start)
            if rcode in CACHED_RCODES:
                return self.cache_answer(name, network, addresses, ttl)
        self._record_answer(view, "", "none", [], 0, start)
        return None

    def _record_answer(
        self,
        view: str,
        server: str,
        rcode: str,
        addresses: list[str],
        ttl: int,
        start: float,
    ) -> None:
        now = self.loop.time()
        duration = now - start
        self.recorder.write_row(
            "answer", now, view, self.kind, server, rcode, addresses, ttl, duration
        )

    def _order_servers(self) -> list[Server]:
        """Return the servers to query: fastest first, equally fast ones in random order."""
        servers = sorted(
            self.servers,
            key=lambda server: (round(self.response_times[server], 2), self.rng.random()),
        )
        return (servers * MAX_ATTEMPTS)[:MAX_ATTEMPTS]

    async def _query_timed(
        self, server: Server, wire: bytes, query: dns.message.Message
    ) -> Optional[dns.message.Message]:
        """Query a server and update its smoothed response time."""
        start = self.loop.time()
        answer = await self._query_server(server, wire, query)
        duration = self.loop.time() - start
        response_time = self.response_times[server]
        if answer is None:
            self.response_times[server] = ATTEMPT_TIMEOUT + response_time * RESPONSE_TIME_DECAY
        else:
            self.response_times[server] = 0.7 * response_time + 0.3 * duration
        return answer

    async def _query_server(
        self, server: Server, wire: bytes, query: dns.message.Message
    ) -> Optional[dns.message.Message]:
        key = (server, wire[:2])
        self.pending_answers[key] = self.loop.create_future()
        self.transport.sendto(wire, server)
        try:
            data = await with_timeout(ATTEMPT_TIMEOUT, self.pending_answers[key])
            answer: Optional[dns.message.Message] = dns.message.from_wire(data)
            if answer is not None and answer.flags & dns.flags.TC:
                answer = await query_over_tcp(self.loop, server, self.address, wire)
            return answer if answer is not None and query.is_response(answer) else None
        except (TimeoutError, dns.exception.DNSException):
            return None
        finally:
            self.pending_answers.pop(key, None)

    def cache_answer(self, name: str, network: str, addresses: list[str], ttl: int) -> CachedAnswer:
        """Cache an answer with a TTL in seconds, adjusted by the resolver's policy."""
        cached_ttl = max(ttl * self.policy.ttl_factor, self.policy.min_ttl)
        if len(self.cache) >= MAX_CACHED_ANSWERS:
            self.cache.pop(next(iter(self.cache)))  # the oldest answer
        cached = CachedAnswer(addresses, self.loop.time() + cached_ttl)
        self.cache[name, network] = cached
        return cached


def build_query(name: str, network: str) -> dns.message.Message:
    """Build an A query, with a client subnet option (RFC 7871) if `network` is not empty."""
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
    ttl = 0
    for rrset in answer.answer:
        if rrset.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA):
            addresses += [str(ip_address(rdata.address)) for rdata in rrset]
            ttl = rrset.ttl
    return addresses, ttl


class TcpQuery(Stream):
    """One query over TCP; `answer` is the message in bytes, or None if the connection ended."""

    def __init__(self, wire: bytes) -> None:
        super().__init__(ATTEMPT_TIMEOUT * 2)
        self.wire = wire
        self.data = b""
        self.answer: asyncio.Future[Optional[bytes]] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        """Send the query."""
        self.send(len(self.wire).to_bytes(2, "big") + self.wire)

    def received(self, data: bytes) -> None:
        """Collect the answer, and close the connection when it is complete."""
        self.data += data
        if len(self.data) >= 2 and len(self.data) >= 2 + int.from_bytes(self.data[:2], "big"):
            if not self.answer.done():
                self.answer.set_result(self.data[2:])
            self.close()

    def ended(self, reason: str) -> None:
        """Set `answer` to None if the connection ended without a complete answer."""
        if not self.answer.done():
            self.answer.set_result(None)


async def query_over_tcp(
    loop: asyncio.AbstractEventLoop, server: Server, local: str, wire: bytes
) -> Optional[dns.message.Message]:
    """Query a server over TCP from a local address; return None without an answer."""
    try:
        _, query = await loop.create_connection(
            lambda: TcpQuery(wire), *server, local_addr=(local, 0)
        )
    except OSError:
        return None
    data = await query.answer
    return dns.message.from_wire(data) if data else None
