"""TCP connections and resolvers for tests of the DNS controller."""

import asyncio

import dns.message

from peatlead.net.streams import Stream
from peatlead.standin.resolvers import Resolver

from ..standin_fleet import MemoryRecorder


class ReceivedBytes(Stream):
    """Collects all received bytes. `end_reason` is a future: why the connection has ended."""

    def __init__(self):
        super().__init__()
        self.received_bytes = b""
        self.end_reason = asyncio.get_running_loop().create_future()

    def received(self, data):
        self.received_bytes += data

    def ended(self, reason):
        self.end_reason.set_result(reason)


def framed_query(name="api.example.org"):
    """An A query for a name with the length prefix of DNS over TCP (RFC 1035 section 4.2.2)."""
    wire = dns.message.make_query(name, "A").to_wire()
    return len(wire).to_bytes(2, "big") + wire


async def connect_tcp(world, name="ns1"):
    """A TCP connection to a controller's DNS port."""
    address = {"ns1": "127.1.0.1", "ns2": "127.1.0.2"}[name]
    _, stream = await asyncio.get_running_loop().create_connection(
        ReceivedBytes, address, world.port, local_addr=("127.0.0.1", 0)
    )
    return stream


async def start_resolver(world, kind="keeps", servers=("127.1.0.1",)):
    """A stand-in resolver of a kind that queries these servers and is closed with the world."""
    addresses = [(server, world.port) for server in servers]
    resolver = Resolver(kind, "127.20.9.1", addresses, world.random, MemoryRecorder())
    await resolver.open()
    world.cleanups.append(resolver.close)
    return resolver
