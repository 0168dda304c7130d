"""Serves secondaries: versions of the zone, NOTIFY messages (RFC 1996) and zone transfers."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import dns.flags
import dns.message
import dns.opcode

from .message_format import HEADER_BYTES, ID_BYTES, RESPONSE_FLAG
from .serials import Serials
from .transfer import client_serial, respond_to_transfer, transfer_refusal
from .zone import ZoneHistory

if TYPE_CHECKING:
    from .answers import Answers

MIN_VERSION_INTERVAL = 1.0  # seconds between versions of the zone
MAX_NOTIFY_ATTEMPTS = 6  # for one secondary and one version
FIRST_NOTIFY_TIMEOUT = 1.0  # seconds; doubled with each attempt
# "answered" counts acknowledged NOTIFY messages, "passed" the newer serials of secondaries.
COUNTERS = ("versions", "notified", "answered", "given up", "transfers", "passed")

Address = tuple[str, int]


class PendingNotify(NamedTuple):
    """A NOTIFY message that has not been acknowledged."""

    message_id: int
    timer: asyncio.TimerHandle  # sends the message again

    def is_response(self, data: bytes) -> bool:
        """Return whether a datagram is the secondary's response to the message."""
        return (
            len(data) >= HEADER_BYTES
            and data[:ID_BYTES] == self.message_id.to_bytes(ID_BYTES, "big")
            and bool(data[2] & RESPONSE_FLAG)
        )


class Secondaries(asyncio.DatagramProtocol):
    """Creates versions of the zone, notifies the secondaries and answers their transfer queries.

    `secondary_addresses` holds (host, port) of each secondary. `controller_index` and
    `controller_count` select the serials that this controller may issue. `store_serial(serial)` is
    called with the serial of each new version, which must survive a restart. Each secondary has at
    most one pending NOTIFY. After the last attempt without an acknowledgement a secondary is not
    notified again before the next version.
    """

    def __init__(
        self,
        answers: "Answers",
        secondary_addresses: Iterable[tuple[Any, ...]],
        controller_index: int,
        controller_count: int,
        serial: int,
        rng: Random,
        store_serial: Callable[[int], object],
    ) -> None:
        self.answers = answers
        self.secondary_addresses: list[Address] = [
            (host, port) for host, port in secondary_addresses
        ]
        self.rng = rng
        self.store_serial = store_serial
        self.allowed_peers = {peer for peer, _ in self.secondary_addresses}
        self.history = ZoneHistory(
            answers.zone, answers.soa_text, Serials(controller_index, controller_count), serial
        )
        self.loop: asyncio.AbstractEventLoop | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.last_version_at = -1e9  # loop time of the last version
        self.pending_notifies: dict[Address, PendingNotify] = {}  # by the secondary's address
        self.published_change_count = -1  # `Answers.change_count` at the last version
        self.counts = dict.fromkeys(COUNTERS, 0)
        answers.transfer = self.transfer

    async def open(self, address: str) -> None:
        """Open the socket that NOTIFY messages are sent from."""
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, 0)
        )

    def tick(self, now: float) -> None:
        """Create a new version if the answers have changed and the last version is old enough."""
        if (
            now - self.last_version_at < MIN_VERSION_INTERVAL
            or self.answers.change_count == self.published_change_count
        ):
            return
        if not self.answers.has_table():
            return
        self.last_version_at = now
        self.published_change_count = self.answers.change_count
        if self.history.update(self.answers.zone_records()):
            self.publish()

    def publish(self) -> None:
        """Store the version's serial and notify all secondaries."""
        self.counts["versions"] += 1
        self.answers.serial = self.history.serial
        self.store_serial(self.history.serial)
        for address in self.secondary_addresses:
            self.notify(address, MAX_NOTIFY_ATTEMPTS, FIRST_NOTIFY_TIMEOUT)

    def notify(self, address: Address, attempts_left: int, timeout: float) -> None:
        """Send a NOTIFY, and again after `timeout` seconds while attempts are left.

        The timeout doubles with each attempt.
        """
        old_notify = self.pending_notifies.pop(address, None)
        if old_notify is not None:
            old_notify.timer.cancel()
        if self.transport is None or self.loop is None or not attempts_left:
            self.counts["given up"] += not attempts_left
            return
        message = self.build_notify()
        self.transport.sendto(message.to_wire(), address)
        self.counts["notified"] += 1
        timer = self.loop.call_later(timeout, self.notify, address, attempts_left - 1, 2 * timeout)
        self.pending_notifies[address] = PendingNotify(message.id, timer)

    def build_notify(self) -> dns.message.Message:
        """Return a NOTIFY message with a random id (RFC 1996)."""
        message = dns.message.make_query(self.answers.zone, "SOA")
        message.set_opcode(dns.opcode.NOTIFY)
        message.flags = (message.flags & ~dns.flags.RD) | dns.flags.AA
        message.id = self.rng.randrange(1 << 16)
        return message

    def datagram_received(self, data: bytes, peer: tuple[Any, ...]) -> None:
        """Handle an acknowledgement (asyncio callback)."""
        address = (peer[0], peer[1])
        pending_notify = self.pending_notifies.get(address)
        if pending_notify is not None and pending_notify.is_response(data):
            del self.pending_notifies[address]
            pending_notify.timer.cancel()
            self.counts["answered"] += 1

    def error_received(self, error: Exception) -> None:
        """Ignore the error (asyncio callback): the next attempt or version sends NOTIFY again."""

    def transfer(self, query: dns.message.Message, peer: str, tcp: bool) -> list[bytes]:
        """Return the messages that answer an AXFR or IXFR query; refuse unknown peers."""
        if (
            peer not in self.allowed_peers
            or query.question[0].name != self.answers.zone
            or not self.history.records
        ):
            return transfer_refusal(query)
        self.counts["transfers"] += tcp
        serial = client_serial(query)
        if serial is not None and self.history.advance_serial(serial):
            self.counts["passed"] += 1
            self.publish()
        return respond_to_transfer(query, self.history, tcp)

    def close(self) -> None:
        """Cancel the pending NOTIFY messages and close the socket."""
        for pending_notify in self.pending_notifies.values():
            pending_notify.timer.cancel()
        self.pending_notifies.clear()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
