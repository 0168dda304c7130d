"""Tells secondaries of a new version (RFC 1996), and makes the zone that they fetch."""

import asyncio

import dns.flags
import dns.message
import dns.opcode

from .transfer import held_serial, refused, respond
from .zone import Serials, ZoneHistory

EVERY = 1.0  # seconds at least between two versions of the zone
TRIES, FIRST_WAIT = (
    6,
    1.0,
)  # NOTIFY messages to one secondary, and the wait after the first, doubled each time


class Secondaries(asyncio.DatagramProtocol):
    """`answers` gives the zone's records as they stand; `kept(serial)` is told each serial, to outlive a restart.

    One NOTIFY for each secondary is under way at a time; one that never answers is given up until the next version.
    """

    def __init__(self, answers, places, index, many, serial, chance, kept):
        self.answers, self.places, self.chance, self.kept = (
            answers,
            [tuple(one) for one in places],
            chance,
            kept,
        )
        self.peers = {address for address, _ in self.places}
        self.history = ZoneHistory(answers.zone, answers.soa, Serials(index, many), serial)
        self.transport, self.made_at, self.waiting, self.placed = None, -1e9, {}, -1
        self.counts = {
            "versions": 0,
            "notified": 0,
            "answered": 0,
            "given up": 0,
            "transfers": 0,
            "passed": 0,
        }
        answers.transfer = self.transfer

    async def open(self, address):
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, 0)
        )

    def tick(self, now):
        """Makes a new version where anything has changed, at most one each EVERY seconds."""
        if (
            now - self.made_at < EVERY
            or self.answers.placed == self.placed
            or not any(seat.lines for view in self.answers.seats for seat in view)
        ):
            return
        self.made_at, self.placed = now, self.answers.placed
        if self.history.update(self.answers.zone_records()):
            self.tell()

    def tell(self):
        self.counts["versions"] += 1
        self.answers.serial = self.history.serial
        self.kept(self.history.serial)
        for place in self.places:
            self.notify(place, TRIES, FIRST_WAIT)

    def notify(self, place, tries, wait):
        old = self.waiting.pop(place, None)
        if old is not None:
            old[1].cancel()
        if self.transport is None or not tries:
            self.counts["given up"] += not tries
            return
        message = dns.message.make_query(self.answers.zone, "SOA")
        message.set_opcode(dns.opcode.NOTIFY)
        message.flags = (message.flags & ~dns.flags.RD) | dns.flags.AA
        message.id = self.chance.randrange(1 << 16)
        self.transport.sendto(message.to_wire(), place)
        self.counts["notified"] += 1
        self.waiting[place] = (
            message.id,
            self.loop.call_later(wait, self.notify, place, tries - 1, 2 * wait),
        )

    def datagram_received(self, data, peer):
        found = self.waiting.get(tuple(peer[:2]))
        if found and len(data) >= 12 and data[:2] == found[0].to_bytes(2, "big") and data[2] & 0x80:
            self.waiting.pop(tuple(peer[:2]))[1].cancel()
            self.counts["answered"] += 1

    def error_received(self, problem):
        pass  # nobody listens there now: the next try, or the next version

    def transfer(self, query, peer, tcp):
        """The messages for an AXFR or IXFR query; only secondaries of the settings get any."""
        if (
            peer not in self.peers
            or query.question[0].name != self.answers.zone
            or not self.history.records
        ):
            return refused(query)
        self.counts["transfers"] += tcp
        serial = held_serial(query)
        if serial is not None and self.history.pass_by(serial):
            self.counts["passed"] += 1
            self.tell()
        return respond(query, self.history, tcp)

    def close(self):
        for _, timer in self.waiting.values():
            timer.cancel()
        self.waiting.clear()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
