"""A stand-in secondary name server: hears NOTIFY, fetches by IXFR or AXFR, takes all or nothing, checks ZONEMD."""

import asyncio
import struct

import dns.exception
import dns.flags
import dns.message
import dns.opcode
import dns.xfr
import dns.zone

from ..net.streams import Stream


class Transfer(Stream):
    """One fetch over TCP. `over`: a future of the outcome."""

    def __init__(self, query, inbound, origin):
        super().__init__(5.0)
        self.query, self.inbound, self.origin, self.part = query, inbound, origin, b""
        self.over = asyncio.get_running_loop().create_future()

    def opened(self):
        wire = self.query.to_wire()
        self.send(struct.pack(">H", len(wire)) + wire)

    def received(self, data):
        self.part += data
        while len(self.part) >= 2 and len(self.part) - 2 >= (
            size := int.from_bytes(self.part[:2], "big")
        ):
            wire, self.part = self.part[2 : 2 + size], self.part[2 + size :]
            if self.over.done():
                return
            try:
                message = dns.message.from_wire(
                    wire, xfr=True, origin=self.origin, one_rr_per_rrset=True
                )
                if self.inbound.process_message(message):
                    self.over.set_result("done")
                    self.close()
            except (dns.exception.DNSException, KeyError, ValueError) as problem:
                self.over.set_result(f"refused: {type(problem).__name__} {problem}")
                self.cut("refused")

    def ended(self, reason):
        if not self.over.done():
            self.over.set_result(f"ended: {reason}")


class Secondary(asyncio.DatagramProtocol):
    """`zone` is what it holds; `fetched` counts by outcome; `sound` whether the newest fits its ZONEMD."""

    def __init__(self, origin, address, primary):
        self.origin, self.address, self.primary = origin, address, primary
        self.zone, self.fetched, self.records, self.task, self.again = (
            dns.zone.Zone(origin),
            {},
            0,
            None,
            False,
        )

    async def open(self):
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    @property
    def serial(self):
        found = self.zone.get_rdataset("@", "SOA")
        return found[0].serial if found else None

    def sound(self):
        """Raises dns.zone.DigestVerificationFailure where it does not fit."""
        self.zone.verify_digest()
        return True

    def datagram_received(self, data, peer):
        query = dns.message.from_wire(data)
        if query.opcode() == dns.opcode.NOTIFY:
            answer = dns.message.make_response(query)
            answer.set_opcode(dns.opcode.NOTIFY)
            self.transport.sendto(answer.to_wire(), peer)
            self.fetch()

    def fetch(self):
        """One at a time; news that comes meanwhile is fetched after it."""
        if self.task is not None and not self.task.done():
            self.again = True
            return
        self.task = self.loop.create_task(self.run())

    async def run(self):
        self.again = True
        while self.again:
            self.again = False
            outcome = await self.once(self.serial)
            if outcome != "done":
                outcome = await self.once(None)  # what does not fit is fetched whole
            self.fetched[outcome] = self.fetched.get(outcome, 0) + 1

    async def once(self, serial):
        query, _ = dns.xfr.make_query(self.zone, serial)
        if serial is None:
            query = dns.message.make_query(self.origin, "AXFR")
        rdtype = query.question[0].rdtype
        with dns.xfr.Inbound(self.zone, rdtype, serial, False) as inbound:
            try:
                origin = self.zone.from_wire_origin()
                _, stream = await self.loop.create_connection(
                    lambda: Transfer(query, inbound, origin),
                    *self.primary,
                    local_addr=(self.address[0], 0),
                )
            except OSError as problem:
                return f"ended: {problem.strerror}"
            return await stream.over

    def close(self):
        if self.task is not None:
            self.task.cancel()
        self.transport.close()
