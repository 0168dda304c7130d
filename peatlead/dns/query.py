"""A parsed query and its response in progress."""

from dataclasses import dataclass

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rrset

from .message_format import (
    ID_BYTES,
    MAX_MESSAGE_BYTES,
    OPCODE_AND_RD_BITS,
    PLAIN_UDP_BYTES,
    RESPONSE_FLAG,
)


@dataclass(slots=True)
class Query:
    """A parsed query and its response in progress."""

    data: bytes
    peer: str
    tcp: bool
    question: dns.rrset.RRset
    response: dns.message.Message
    max_size: int  # bytes of the response

    def labels_below(self, zone: dns.name.Name) -> list[str]:
        """Return the question's labels below a zone's apex, in lower case."""
        labels = self.question.name.relativize(zone).labels
        return [label.decode("ascii", "replace").lower() for label in labels]

    def fail(self, rcode: dns.rcode.Rcode) -> None:
        """Make the response a failure without authority."""
        self.response.flags &= ~dns.flags.AA
        self.response.set_rcode(rcode)

    def response_bytes(self) -> bytes:
        """Return the complete response, whatever its size."""
        return self.response.to_wire(max_size=MAX_MESSAGE_BYTES)

    def truncate(self) -> None:
        """Remove all records: none of a truncated response may be used (RFC 2181 section 9)."""
        self.response.answer = []
        self.response.authority = []
        self.response.additional = []
        self.response.flags |= dns.flags.TC


def max_response_size(message: dns.message.Message, tcp: bool, max_udp_payload: int) -> int:
    """Return the bound of a response's bytes."""
    if tcp:
        return MAX_MESSAGE_BYTES
    if message.edns < 0:
        return PLAIN_UDP_BYTES
    return max(PLAIN_UDP_BYTES, min(message.payload, max_udp_payload))


def header_only(data: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """Return a response that is a header: the rest of such a query is not to be trusted."""
    flags = bytes((RESPONSE_FLAG | data[2] & OPCODE_AND_RD_BITS, rcode))
    return data[:ID_BYTES] + flags + bytes(8)
