"""Measures versions of a DNS zone with their digest, and zone transfers, by the zone's size."""

import time

import dns.message
import dns.name
import dns.rrset

from ..dns import transfer
from ..dns.canonical_zone import ZoneRecord
from ..dns.serials import Serials
from ..dns.zone import ZoneHistory

SIZES = (60, 300, 1000)  # views
HOSTS = 300
HOSTS_PER_VIEW = 8
VERSIONS = 3
ORIGIN = dns.name.from_text("example.org.")


def soa(serial: int) -> str:
    """Return the text of the SOA record."""
    return f"ns1.example.org. h.example.org. {serial} 60 10 600 5"


def zone_records(views: int) -> set[ZoneRecord]:
    """Return a zone with addresses and SRV records for each view."""
    records: set[ZoneRecord] = {ZoneRecord("@", 60, "NS", "ns1.example.org.")}
    for view in range(views):
        for number in range(view, view + HOSTS_PER_VIEW):
            host = number % HOSTS
            address = f"10.0.{host // 250}.{number % 250}"
            target = f"0 100 80 h{host}.hosts.example.org."
            records.add(ZoneRecord(f"d{view}.api", 1, "A", address))
            records.add(ZoneRecord(f"_http._tcp.d{view}.api", 1, "SRV", target))
    return records


def ixfr_query(serial: int) -> dns.message.Message:
    """Return the IXFR query (RFC 1995) of a secondary that holds a serial."""
    query = dns.message.make_query(ORIGIN, "IXFR")
    held_soa = dns.rrset.from_text(ORIGIN, 60, "IN", "SOA", f"a. b. {serial} 1 1 1 1")
    query.authority.append(held_soa)
    return query


def measure_zone() -> None:
    """Print the time of a version and of both kinds of transfer, and the bytes of the transfers."""
    for views in SIZES:
        records = zone_records(views)
        history = ZoneHistory(ORIGIN, soa, Serials(0, 2))
        history.update(records)
        first = history.serial
        seconds = []
        for number in range(VERSIONS):
            start = time.perf_counter()
            history.update(records | {ZoneRecord("d0.api", 1, "A", f"10.9.9.{number + 1}")})
            seconds.append(time.perf_counter() - start)
        query = ixfr_query(first)
        start = time.perf_counter()
        ixfr = transfer.respond_to_transfer(query, history, True)
        axfr = transfer.respond_to_transfer(dns.message.make_query(ORIGIN, "AXFR"), history, True)
        transfer_time = time.perf_counter() - start
        print(
            f"{views} views, {len(history.records)} records: "
            f"a version {1000 * min(seconds):.0f} ms; both transfers {1000 * transfer_time:.0f} ms"
            f"; IXFR over three versions {sum(map(len, ixfr))} bytes, "
            f"AXFR {sum(map(len, axfr))} bytes in {len(axfr)} messages"
        )
