"""A stand-in secondary name server: zone transfers on NOTIFY, and ZONEMD verification.

Transfers use IXFR (RFC 1995) or AXFR (RFC 5936) and are applied completely or not at all. NOTIFY is
RFC 1996, ZONEMD is RFC 8976.
"""

import asyncio
import struct
from typing import Any, Optional

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.xfr
import dns.zone

from ..net.streams import Stream

DONE = "done"  # outcome of an applied transfer
TRANSFER_IDLE_TIMEOUT = 5.0  # seconds without data until a transfer is aborted
MESSAGE_LENGTH = struct.Struct(">H")  # before each message over TCP (RFC 1035 section 4.2.2)


class Transfer(Stream):
    """One transfer over TCP; `outcome` is `DONE`, or "refused: " or "ended: " and the reason."""

    def __init__(
        self, query: dns.message.Message, inbound: dns.xfr.Inbound, origin: Optional[dns.name.Name]
    ) -> None:
        super().__init__(TRANSFER_IDLE_TIMEOUT)
        self.query = query
        self.inbound = inbound
        self.origin = origin
        self.buffer = b""  # an incomplete message
        self.outcome: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        """Send the query."""
        message = self.query.to_wire()
        self.send(MESSAGE_LENGTH.pack(len(message)) + message)

    def received(self, data: bytes) -> None:
        """Apply the complete messages."""
        self.buffer += data
        while (message := self._next_message()) is not None:
            if self.outcome.done():
                return
            self._apply(message)

    def _next_message(self) -> Optional[bytes]:
        """Remove and return a complete message from the buffer, None without one."""
        if len(self.buffer) < MESSAGE_LENGTH.size:
            return None
        end = MESSAGE_LENGTH.size + MESSAGE_LENGTH.unpack_from(self.buffer)[0]
        if len(self.buffer) < end:
            return None
        message = self.buffer[MESSAGE_LENGTH.size : end]
        self.buffer = self.buffer[end:]
        return message

    def _apply(self, wire: bytes) -> None:
        try:
            message = dns.message.from_wire(
                wire, xfr=True, origin=self.origin, one_rr_per_rrset=True
            )
            if self.inbound.process_message(message):
                self.outcome.set_result(DONE)
                self.close()
        except (dns.exception.DNSException, KeyError, ValueError) as error:
            self.outcome.set_result(f"refused: {type(error).__name__} {error}")
            self.abort("refused")

    def ended(self, reason: str) -> None:
        """Set the outcome if the connection ended before the transfer."""
        if not self.outcome.done():
            self.outcome.set_result(f"ended: {reason}")


class Secondary(asyncio.DatagramProtocol):
    """A secondary server of one zone, which listens for NOTIFY on a UDP address (host, port)."""

    loop: asyncio.AbstractEventLoop
    transport: asyncio.DatagramTransport

    def __init__(self, origin: str, address: tuple[str, int], primary: tuple[str, int]) -> None:
        self.origin = origin
        self.address = address
        self.primary = primary
        self.zone = dns.zone.Zone(origin)  # the current version
        self.fetch_counts: dict[str, int] = {}  # by outcome
        self.fetch_task: Optional[asyncio.Task[None]] = None
        self.notified = False  # whether a NOTIFY arrived after the current fetch had started

    async def open(self) -> None:
        """Listen for NOTIFY."""
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    @property
    def serial(self) -> Optional[int]:
        """The serial of the current version, None before the first transfer."""
        soa = self.zone.get_rdataset("@", "SOA")
        return soa[0].serial if soa else None

    def verify_digest(self) -> bool:
        """Return True; raises dns.zone.DigestVerificationFailure if ZONEMD does not match."""
        self.zone.verify_digest()
        return True

    def datagram_received(self, data: bytes, peer: Any) -> None:
        """Acknowledge a NOTIFY and start a fetch."""
        query = dns.message.from_wire(data)
        if query.opcode() == dns.opcode.NOTIFY:
            answer = dns.message.make_response(query)
            answer.set_opcode(dns.opcode.NOTIFY)
            self.transport.sendto(answer.to_wire(), peer)
            self.fetch()

    def fetch(self) -> None:
        """Start a fetch of the current version, or repeat the active fetch when it ends."""
        if self.fetch_task is not None and not self.fetch_task.done():
            self.notified = True
            return
        self.fetch_task = self.loop.create_task(self._fetch_until_current())

    async def _fetch_until_current(self) -> None:
        self.notified = True
        while self.notified:
            self.notified = False
            outcome = await self._fetch_version(self.serial)
            if outcome != DONE:
                outcome = await self._fetch_version(None)  # fetch the whole zone instead
            self.fetch_counts[outcome] = self.fetch_counts.get(outcome, 0) + 1

    async def _fetch_version(self, serial: Optional[int]) -> str:
        """Fetch the changes since a serial, or the whole zone for None; return the outcome."""
        query: dns.message.Message
        query, _ = dns.xfr.make_query(self.zone, serial)
        if serial is None:
            query = dns.message.make_query(self.origin, "AXFR")
        rdtype = query.question[0].rdtype
        with dns.xfr.Inbound(self.zone, rdtype, serial, False) as inbound:
            try:
                origin = self.zone.from_wire_origin()
                _, transfer = await self.loop.create_connection(
                    lambda: Transfer(query, inbound, origin),
                    *self.primary,
                    local_addr=(self.address[0], 0),
                )
            except OSError as error:
                return f"ended: {error.strerror}"
            return await transfer.outcome

    def close(self) -> None:
        """Stop fetching and listening."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
        self.transport.close()
