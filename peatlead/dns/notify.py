"""Secondaries: versions of the zone, NOTIFY messages (RFC 1996) and transfers."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import dns.flags
import dns.message
import dns.opcode

from .message_format import HEADER_BYTES, ID_BYTES, RESPONSE_FLAG
from .serials import Serials
from .transfer import held_serial, refused, respond
from .zone import ZoneHistory

if TYPE_CHECKING:
    from .answers import Answers

VERSION_INTERVAL = 1.0  # seconds at least between two versions of the zone
NOTIFY_ATTEMPTS = 6  # messages to one secondary for one version
FIRST_NOTIFY_WAIT = 1.0  # seconds for the first acknowledgement, doubled with each attempt
COUNTERS = ("versions", "notified", "answered", "given up", "transfers", "passed")

Address = tuple[str, int]


class PendingNotify(NamedTuple):
    """A NOTIFY message that was not acknowledged yet."""

    message_id: int
    timer: asyncio.TimerHandle  # sends the next one

    def is_acknowledged_by(self, data: bytes) -> bool:
        """Return whether a datagram acknowledges the message."""
        return (
            len(data) >= HEADER_BYTES
            and data[:ID_BYTES] == self.message_id.to_bytes(ID_BYTES, "big")
            and bool(data[2] & RESPONSE_FLAG)
        )


class Secondaries(asyncio.DatagramProtocol):
    """Makes versions of the zone, notifies the secondaries and serves their transfers.

    `places` holds the secondaries' addresses. `index` and `many` number the controllers, whose
    serials differ. `store_serial(serial)` is called with each version's serial, to store it for a
    restart. At a time there is one pending NOTIFY for each secondary; a secondary that never
    acknowledges is given up until the next version.
    """

    def __init__(
        self,
        answers: "Answers",
        places: Iterable[tuple[Any, ...]],
        index: int,
        many: int,
        serial: int,
        rng: Random,
        store_serial: Callable[[int], object],
    ) -> None:
        self.answers = answers
        self.places: list[Address] = [(host, port) for host, port in places]
        self.rng = rng
        self.store_serial = store_serial
        self.peers = {address for address, _ in self.places}
        self.history = ZoneHistory(answers.zone, answers.soa, Serials(index, many), serial)
        self.loop: asyncio.AbstractEventLoop | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.made_at = -1e9  # loop time of the last version
        self.waiting: dict[Address, PendingNotify] = {}
        self.published_change_count = -1  # the answers' count of changes at the last version
        self.counts = dict.fromkeys(COUNTERS, 0)
        answers.transfer = self.transfer

    async def open(self, address: str) -> None:
        """Open the socket that NOTIFY messages are sent from."""
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, 0)
        )

    def tick(self, now: float) -> None:
        """Make a new version if anything has changed, at most one per interval."""
        if (
            now - self.made_at < VERSION_INTERVAL
            or self.answers.change_count == self.published_change_count
        ):
            return
        if not self.answers.has_table():
            return
        self.made_at = now
        self.published_change_count = self.answers.change_count
        if self.history.update(self.answers.zone_records()):
            self.publish()

    def publish(self) -> None:
        """Store the version's serial and notify all secondaries."""
        self.counts["versions"] += 1
        self.answers.serial = self.history.serial
        self.store_serial(self.history.serial)
        for place in self.places:
            self.notify(place, NOTIFY_ATTEMPTS, FIRST_NOTIFY_WAIT)

    def notify(self, place: Address, attempts: int, wait: float) -> None:
        """Send a NOTIFY; repeat it after `wait` seconds while attempts are left."""
        old = self.waiting.pop(place, None)
        if old is not None:
            old.timer.cancel()
        if self.transport is None or self.loop is None or not attempts:
            self.counts["given up"] += not attempts
            return
        message = self.make_notify()
        self.transport.sendto(message.to_wire(), place)
        self.counts["notified"] += 1
        timer = self.loop.call_later(wait, self.notify, place, attempts - 1, 2 * wait)
        self.waiting[place] = PendingNotify(message.id, timer)

    def make_notify(self) -> dns.message.Message:
        """Return a NOTIFY message with a random id."""
        message = dns.message.make_query(self.answers.zone, "SOA")
        message.set_opcode(dns.opcode.NOTIFY)
        message.flags = (message.flags & ~dns.flags.RD) | dns.flags.AA
        message.id = self.rng.randrange(1 << 16)
        return message

    def datagram_received(self, data: bytes, peer: tuple[Any, ...]) -> None:
        """Handle an acknowledgement (asyncio callback)."""
        place = (peer[0], peer[1])
        pending = self.waiting.get(place)
        if pending is not None and pending.is_acknowledged_by(data):
            del self.waiting[place]
            pending.timer.cancel()
            self.counts["answered"] += 1

    def error_received(self, error: Exception) -> None:
        """Ignore that nobody listens there: the next attempt or version follows."""

    def transfer(self, query: dns.message.Message, peer: str, tcp: bool) -> list[bytes]:
        """Return the messages that answer an AXFR or IXFR query; strangers are refused."""
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
            self.publish()
        return respond(query, self.history, tcp)

    def close(self) -> None:
        """Cancel pending messages and close the socket."""
        for pending in self.waiting.values():
            pending.timer.cancel()
        self.waiting.clear()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
