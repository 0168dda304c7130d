"""Resource records of endpoints and name servers."""

import struct
from ipaddress import ip_address

import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from .views import IPV4, IPV6

RECORD_TYPES = {IPV4: dns.rdatatype.A, IPV6: dns.rdatatype.AAAA}
RECORD_TYPE_TEXTS = {IPV4: "A", IPV6: "AAAA"}
FAMILIES = {rdtype: family for family, rdtype in RECORD_TYPES.items()}
QUESTION_NAME_POINTER = b"\xc0\x0c"  # to the name at offset 12 (RFC 1035 section 4.1.4)

Section = list[dns.rrset.RRset]


class EndpointAddresses:
    """An endpoint's name and addresses."""

    __slots__ = ("by_family", "name")

    def __init__(self, name: str, ipv4: str, ipv6: str) -> None:
        self.name = name  # one label
        self.by_family = {IPV4: ipv4, IPV6: ipv6}  # an address is empty if the endpoint has none

    def record(self, family: int, ttl: int) -> bytes:
        """Return the wire form of an address record whose owner is the question's name."""
        data = ip_address(self.by_family[family]).packed
        fixed_fields = struct.pack(">HHIH", RECORD_TYPES[family], dns.rdataclass.IN, ttl, len(data))
        return QUESTION_NAME_POINTER + fixed_fields + data

    def typed_addresses(self) -> list[tuple[str, str]]:
        """Return (record type, address) for each address."""
        return [
            (rtype, self.by_family[family])
            for family, rtype in RECORD_TYPE_TEXTS.items()
            if self.by_family[family]
        ]


def address_rtype(address: str) -> str:
    """Return the record type for an address."""
    return "AAAA" if ":" in address else "A"


def add_record(section: Section, name: dns.name.Name, ttl: int, rtype: str, value: str) -> None:
    """Add a record to a section, in the record set of the same name and type."""
    rdata = dns.rdata.from_text("IN", rtype, value)
    for rrset in section:
        if rrset.name == name and rrset.rdtype == rdata.rdtype:
            rrset.add(rdata, ttl)
            return
    section.append(dns.rrset.from_rdata(name, ttl, rdata))
