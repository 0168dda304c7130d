"""Outgoing zone transfers: AXFR (RFC 5936) and IXFR (RFC 1995). No I/O."""

import struct
from collections.abc import Sequence

import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype

from .canonical_zone import ZoneRecord
from .message_format import question_bytes
from .zone import Difference, ZoneHistory

RECORDS_PER_MESSAGE = 90  # keeps a message below 65,535 bytes for any length of names


def transfer_refusal(query: dns.message.Message) -> list[bytes]:
    """Return the messages that refuse a transfer."""
    return [error_response(query, dns.rcode.REFUSED)]


def error_response(query: dns.message.Message, rcode: dns.rcode.Rcode) -> bytes:
    """Return a response without records."""
    response = dns.message.make_response(query)
    response.set_rcode(rcode)
    return response.to_wire()


def respond_to_transfer(query: dns.message.Message, history: ZoneHistory, tcp: bool) -> list[bytes]:
    """Return the messages that answer an AXFR or IXFR query."""
    if query.question[0].rdtype == dns.rdatatype.AXFR:
        return (
            encode_messages(query, history, full_zone_records(history))
            if tcp
            else transfer_refusal(query)
        )
    serial = client_serial(query)
    if serial is None:
        return [error_response(query, dns.rcode.FORMERR)]
    return encode_messages(query, history, incremental_records(history, serial, tcp))


def incremental_records(history: ZoneHistory, serial: int, tcp: bool) -> list[ZoneRecord]:
    """Return the records that answer an IXFR query, in order (RFC 1995 section 4)."""
    soa = history.soa_record(history.serial)
    if not tcp or serial == history.serial:
        return [soa]  # the client is up to date, or retries over TCP (RFC 1995 section 2)
    difference = history.condensed_difference(serial)
    if difference is None or is_longer_than_zone(difference, history):
        return full_zone_records(history)
    old_soa = history.soa_record(serial)
    return [
        soa,
        old_soa,
        *sorted(difference.removed - {old_soa}),
        soa,
        *sorted(difference.added - {soa}),
        soa,
    ]


def is_longer_than_zone(difference: Difference, history: ZoneHistory) -> bool:
    """Return whether a difference has more records than the zone."""
    return len(difference.removed) + len(difference.added) > len(history.records)


def client_serial(query: dns.message.Message) -> int | None:
    """Return the serial of the client's version from an IXFR query, or None.

    The serial is that of the SOA record in the authority section (RFC 1995 section 3).
    """
    for rrset in query.authority:
        if rrset.rdtype == dns.rdatatype.SOA:
            serial: int = rrset[0].serial
            return serial
    return None


def full_zone_records(history: ZoneHistory) -> list[ZoneRecord]:
    """Return all records in the order of a full transfer: the SOA first and last."""
    soa = history.soa_record(history.serial)
    return [soa, *sorted(history.records - {soa}), soa]


def encode_messages(
    query: dns.message.Message, history: ZoneHistory, records: Sequence[ZoneRecord]
) -> list[bytes]:
    """Return the messages of a transfer with the records in the given order.

    The records are sent in the stored canonical form that the digest uses. Without name compression
    the messages are longer, but the records need no conversion.
    """
    response = dns.message.make_response(query)
    response.flags |= dns.flags.AA
    wire = response.to_wire()
    id_and_flags = wire[:4]
    question = question_bytes(wire)
    messages = []
    for start in range(0, len(records), RECORDS_PER_MESSAGE):
        message_records = records[start : start + RECORDS_PER_MESSAGE]
        counts = struct.pack(">HHHH", 1, len(message_records), 0, 0)
        body = b"".join(history.canonical.row(record).wire for record in message_records)
        messages.append(id_and_flags + counts + question + body)
    return messages
