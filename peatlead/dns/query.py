"""Queries with the responses that are built for them, and the size limits of responses."""

from dataclasses import dataclass

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rrset

from .message_format import (
    ID_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_PLAIN_UDP_BYTES,
    OPCODE_AND_RD_BITS,
    RESPONSE_FLAG,
)


@dataclass(slots=True)
class Query:
    """A parsed query, and the response that is being built."""

    data: bytes  # the query's message
    peer: str  # the resolver's address
    tcp: bool
    question: dns.rrset.RRset
    response: dns.message.Message
    max_size: int  # of the response, in bytes

    def relative_labels(self, zone: dns.name.Name) -> list[str]:
        """Return the labels of the question's name before the zone's own, in lower case."""
        labels = self.question.name.relativize(zone).labels
        return [label.decode("ascii", "replace").lower() for label in labels]

    def fail(self, rcode: dns.rcode.Rcode) -> None:
        """Set the response code of a failure, and clear the authoritative flag."""
        self.response.flags &= ~dns.flags.AA
        self.response.set_rcode(rcode)

    def response_bytes(self) -> bytes:
        """Return the complete response, even if it exceeds `max_size`."""
        return self.response.to_wire(max_size=MAX_MESSAGE_BYTES)

    def truncate(self) -> None:
        """Remove all records and set the TC flag (RFC 2181 section 9)."""
        self.response.answer = []
        self.response.authority = []
        self.response.additional = []
        self.response.flags |= dns.flags.TC


def max_response_size(message: dns.message.Message, tcp: bool, max_udp_payload: int) -> int:
    """Return the largest allowed size of a response in bytes."""
    if tcp:
        return MAX_MESSAGE_BYTES
    if message.edns < 0:
        return MAX_PLAIN_UDP_BYTES
    return max(MAX_PLAIN_UDP_BYTES, min(message.payload, max_udp_payload))


def header_only(data: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """Return a response that consists of a header only, without the question."""
    flags = bytes((RESPONSE_FLAG | data[2] & OPCODE_AND_RD_BITS, rcode))
    return data[:ID_BYTES] + flags + bytes(8)
