"""Zone transfer out, whole (AXFR, RFC 5936) and by differences (IXFR, RFC 1995). Queries in, messages out: no I/O."""

import struct

import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype

from .zone import SOA

EACH = 90  # records a message: under its 65,535 bytes, however long their names


def refused(query):
    answer = dns.message.make_response(query)
    answer.set_rcode(dns.rcode.REFUSED)
    return [answer.to_wire()]


def respond(query, history, tcp):
    """The messages that answer an AXFR or IXFR query."""
    asked = query.question[0]
    head = next(record for record in history.records if record[2] == SOA)
    if asked.rdtype == dns.rdatatype.AXFR:
        return messages(query, history, whole(history, head)) if tcp else refused(query)
    serial = held_serial(query)
    if serial is None:
        answer = dns.message.make_response(query)
        answer.set_rcode(dns.rcode.FORMERR)
        return [answer.to_wire()]
    if not tcp or serial == history.serial:
        return messages(
            query, history, [head]
        )  # up to date; or by UDP: come again by TCP (RFC 1995 section 2)
    moved = history.since(serial)
    if moved is None:
        return messages(query, history, whole(history, head))
    gone, come = moved
    if len(gone) + len(come) > len(history.records):
        return messages(query, history, whole(history, head))  # the whole is shorter
    old = next(record for record in gone if record[2] == SOA)
    return messages(
        query, history, [head, old, *sorted(gone - {old}), head, *sorted(come - {head}), head]
    )


def held_serial(query):
    """The serial that an IXFR query says its sender holds (RFC 1995 section 3), or None."""
    for rrset in query.authority:
        if rrset.rdtype == dns.rdatatype.SOA:
            return rrset[0].serial
    return None


def whole(history, head):
    return [head, *sorted(history.records - {head}), head]


def messages(query, history, records):
    """Records go as the ready bytes that the digest is made of: names whole, longer but ready."""
    answer = dns.message.make_response(query)
    answer.flags |= dns.flags.AA
    wire = answer.to_wire()
    question = wire[12 : wire.index(b"\0", 12) + 5]
    found = []
    for at in range(0, len(records), EACH):
        some = records[at : at + EACH]
        found.append(
            wire[:4]
            + struct.pack(">HHHH", 1, len(some), 0, 0)
            + question
            + b"".join(history.canonical.row(record)[1] for record in some)
        )
    return found
