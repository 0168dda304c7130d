"""Stand-in resolvers: they cache as the RFCs have it, or as real ones do.

Kinds: "keeps" (RFC 1035 lifetimes), "twice" and "tenfold" (longer by that), "least" (at least 5 s, as some
are set), "stale" (RFC 8767: what has run out serves on while no server answers).
"""

import asyncio
from ipaddress import ip_address, ip_network

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype

from ..net.streams import Stream, within

LONGER = {"keeps": 1.0, "twice": 2.0, "tenfold": 10.0, "least": 1.0, "stale": 1.0}
LEAST = {"least": 5.0}
STALE_FOR = 30.0
TRY_WAIT = 0.35  # seconds until the next server is asked
TRIES = 4
CACHE_MOST = 10_000
FORGIVE = 0.7  # a server that did not answer is asked again once others seem as bad


class Kept:
    __slots__ = ("addresses", "until", "turn")

    def __init__(self, addresses, until):
        self.addresses, self.until, self.turn = addresses, until, 0


class Resolver(asyncio.DatagramProtocol):
    """`await lookup(name, network, view)` gives addresses, [] for an answer that has none, or None."""

    def __init__(self, kind, address, servers, chance, record, rotates=True):
        self.kind, self.address, self.servers, self.chance = kind, address, servers, chance
        self.record, self.rotates = record, rotates
        self.cache, self.asking, self.waiting = {}, {}, {}
        self.slowness = dict.fromkeys(servers, 0.0)

    async def begin(self):
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, 0))

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        waiter = self.waiting.get((peer, data[:2]))
        if waiter is not None and not waiter.done():
            waiter.set_result(data)

    def close(self):
        self.transport.close()

    async def lookup(self, name, network, view):
        now, key = self.loop.time(), (name, network)
        kept = self.cache.get(key)
        if kept is None or now >= kept.until:
            if key not in self.asking:
                task = self.asking[key] = self.loop.create_task(self.ask(name, network, view))
                task.add_done_callback(lambda _: self.asking.pop(key, None))
            found = await asyncio.shield(self.asking[key])
            if found is not None:
                return self.turned(found)
            if self.kind != "stale" or kept is None or now > kept.until + STALE_FOR:
                return None
        return self.turned(kept)

    def turned(self, kept):
        """Many resolvers turn the order from one answer to the next."""
        if self.rotates and kept.addresses:
            kept.turn = (kept.turn + 1) % len(kept.addresses)
            return kept.addresses[kept.turn :] + kept.addresses[: kept.turn]
        return list(kept.addresses)

    async def ask(self, name, network, view):
        options = []
        if network:
            net = ip_network(network)
            options = [dns.edns.ECSOption(str(net.network_address), net.prefixlen)]
        query = dns.message.make_query(name, "A", use_edns=0, payload=1232, options=options or None)
        query.id = self.chance.randrange(65536)
        wire, start = query.to_wire(), self.loop.time()
        for server in self.order():
            began = self.loop.time()
            answer = await self.ask_server(server, wire, query)
            took = self.loop.time() - began
            if answer is None:
                self.slowness[server] = TRY_WAIT + self.slowness[server] * FORGIVE
                continue
            self.slowness[server] = 0.7 * self.slowness[server] + 0.3 * took
            code = dns.rcode.to_text(answer.rcode())
            addresses, lifetime = read_addresses(answer)
            self.record.row(
                "answer",
                self.loop.time(),
                view,
                self.kind,
                server[0],
                code,
                addresses,
                lifetime,
                self.loop.time() - start,
            )
            if code in ("NOERROR", "NXDOMAIN"):
                return self.keep(name, network, addresses, lifetime)
        self.record.row(
            "answer", self.loop.time(), view, self.kind, "", "none", [], 0, self.loop.time() - start
        )
        return None

    def order(self):
        """Quick ones first, each again once; chance between those alike, so that no server is left unused."""
        servers = sorted(
            self.servers, key=lambda s: (round(self.slowness[s], 2), self.chance.random())
        )
        return (servers * TRIES)[:TRIES]

    async def ask_server(self, server, wire, query):
        key = server, wire[:2]
        self.waiting[key] = self.loop.create_future()
        self.transport.sendto(wire, server)
        try:
            data = await within(TRY_WAIT, self.waiting[key])
            answer = dns.message.from_wire(data)
            if answer.flags & dns.flags.TC:
                answer = await ask_tcp(self.loop, server, self.address, wire)
            return answer if answer is not None and query.is_response(answer) else None
        except (asyncio.TimeoutError, dns.exception.DNSException):
            return None
        finally:
            self.waiting.pop(key, None)

    def keep(self, name, network, addresses, lifetime):
        lasts = max(lifetime * LONGER[self.kind], LEAST.get(self.kind, 0.0))
        if len(self.cache) >= CACHE_MOST:
            self.cache.pop(next(iter(self.cache)))  # the oldest; it is only asked again
        kept = self.cache[name, network] = Kept(addresses, self.loop.time() + lasts)
        return kept


def read_addresses(answer):
    addresses, lifetime = [], 0
    for rrset in answer.answer:
        if rrset.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA):
            addresses += [str(ip_address(rdata.address)) for rdata in rrset]
            lifetime = rrset.ttl
    return addresses, lifetime


class TcpAsk(Stream):
    def __init__(self, wire):
        super().__init__(TRY_WAIT * 2)
        self.wire, self.data = wire, b""
        self.over = asyncio.get_running_loop().create_future()

    def opened(self):
        self.send(len(self.wire).to_bytes(2, "big") + self.wire)

    def received(self, data):
        self.data += data
        if len(self.data) >= 2 and len(self.data) >= 2 + int.from_bytes(self.data[:2], "big"):
            if not self.over.done():
                self.over.set_result(self.data[2:])
            self.close()

    def ended(self, reason):
        if not self.over.done():
            self.over.set_result(None)


async def ask_tcp(loop, server, local, wire):
    try:
        _, stream = await loop.create_connection(
            lambda: TcpAsk(wire), *server, local_addr=(local, 0)
        )
    except OSError:
        return None
    data = await stream.over
    return dns.message.from_wire(data) if data else None
