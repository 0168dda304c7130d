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

RECORDS_PER_MESSAGE = 90  # stays under 65,535 bytes, however long the names are


def refused(query: dns.message.Message) -> list[bytes]:
    """Return the messages that refuse a transfer."""
    return [error_response(query, dns.rcode.REFUSED)]


def error_response(query: dns.message.Message, rcode: dns.rcode.Rcode) -> bytes:
    """Return a response without records."""
    response = dns.message.make_response(query)
    response.set_rcode(rcode)
    return response.to_wire()


def respond(query: dns.message.Message, history: ZoneHistory, tcp: bool) -> list[bytes]:
    """Return the messages that answer an AXFR or IXFR query."""
    if query.question[0].rdtype == dns.rdatatype.AXFR:
        return messages(query, history, whole_zone(history)) if tcp else refused(query)
    serial = client_serial(query)
    if serial is None:
        return [error_response(query, dns.rcode.FORMERR)]
    return messages(query, history, incremental(history, serial, tcp))


def incremental(history: ZoneHistory, serial: int, tcp: bool) -> list[ZoneRecord]:
    """Return the records that answer an IXFR query, in order."""
    soa = history.soa_record(history.serial)
    if not tcp or serial == history.serial:
        return [soa]  # up to date; or over UDP: retry over TCP (RFC 1995 section 2)
    difference = history.difference_since(serial)
    if difference is None or is_longer_than_zone(difference, history):
        return whole_zone(history)
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
    """Return whether a difference has more records than the whole zone."""
    return len(difference.removed) + len(difference.added) > len(history.records)


def client_serial(query: dns.message.Message) -> int | None:
    """Return the serial that an IXFR query's sender holds (RFC 1995 section 3), if given."""
    for rrset in query.authority:
        if rrset.rdtype == dns.rdatatype.SOA:
            serial: int = rrset[0].serial
            return serial
    return None


def whole_zone(history: ZoneHistory) -> list[ZoneRecord]:
    """Return all records in the order of a whole transfer: the SOA first and last."""
    soa = history.soa_record(history.serial)
    return [soa, *sorted(history.records - {soa}), soa]


def messages(
    query: dns.message.Message, history: ZoneHistory, records: Sequence[ZoneRecord]
) -> list[bytes]:
    """Return the records in as many messages as needed.

    Records are sent in the canonical form that the digest is made of: their names are not
    compressed, which is longer, but the bytes are ready.
    """
    response = dns.message.make_response(query)
    response.flags |= dns.flags.AA
    wire = response.to_wire()
    id_and_flags = wire[:4]
    question = question_bytes(wire)
    parts = []
    for start in range(0, len(records), RECORDS_PER_MESSAGE):
        part = records[start : start + RECORDS_PER_MESSAGE]
        counts = struct.pack(">HHHH", 1, len(part), 0, 0)
        body = b"".join(history.canonical.row(record).wire for record in part)
        parts.append(id_and_flags + counts + question + body)
    return parts
