"""The zone as secondaries hold it, version by version. No I/O, no clock.

A secondary cannot choose answers by who asks. So the zone has separate names for each view, with
the addresses that it is given and SRV records with weights. A version is a serial (RFC 1982), the
records that differ from the version before, and a digest of the whole as a ZONEMD record (RFC
8976, SIMPLE scheme, SHA-384), so that a receiver can check what it got.

Each controller issues only serials with a remainder of its own, modulo a power of two, so that no
two controllers ever give one serial to different zones, and a difference is never applied to a
base that another controller made. When a secondary is ahead (this controller was restored from a
backup, or the secondary followed another one), the next serial is the first own one after the
secondary's.
"""

import struct
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable
from hashlib import sha384
from typing import NamedTuple

import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype

SERIAL_MODULUS = 1 << 32
MAX_DELTAS = 500  # stored: past this, the oldest is dropped
MAX_DELTA_RECORDS = 50_000  # in all stored deltas together: past this, the oldest is dropped
MAX_CACHED_ROWS = 4 * MAX_DELTA_RECORDS
APEX = "@"
APEX_LIFETIME = 60  # seconds that the SOA and ZONEMD records may be cached
ZONEMD_PARAMETERS = "1 1"  # scheme SIMPLE, hash SHA-384 (RFC 8976 section 5)
SOA = "SOA"
ZONEMD = "ZONEMD"


class ZoneRecord(NamedTuple):
    """One resource record in text form."""

    name: str  # relative to the zone's origin
    lifetime: int  # seconds
    rtype: str
    text: str


class Delta(NamedTuple):
    """What the version after `serial` changed."""

    serial: int
    removed: tuple[ZoneRecord, ...]
    added: tuple[ZoneRecord, ...]


class Difference(NamedTuple):
    """What changed between two versions."""

    removed: set[ZoneRecord]
    added: set[ZoneRecord]


class SortKey(NamedTuple):
    """Sorts records in canonical order (RFC 4034 section 6)."""

    labels: tuple[bytes, ...]  # lower case, from the right
    rtype: int
    rdata: bytes


class CanonicalRow(NamedTuple):
    """A record in canonical form."""

    key: SortKey
    wire: bytes


def newer(serial: int, other: int) -> bool:
    """Return whether a serial is past another (RFC 1982 section 3.2).

    At a distance of 2^31 neither is.
    """
    return 0 < (serial - other) % SERIAL_MODULUS < SERIAL_MODULUS // 2


class Serials:
    """The serials that controller number `index` of `many` may issue.

    They are `index` modulo the next power of two, and never 0.
    """

    def __init__(self, index: int, many: int) -> None:
        self.step = 1
        while self.step < many:
            self.step *= 2
        self.index = index

    def next_after(self, serial: int) -> int:
        """Return the first own serial past another."""
        distance = self.step - (serial - self.index) % self.step
        following = (serial + distance) % SERIAL_MODULUS
        return following or self.next_after(following)

    def is_own(self, serial: int) -> bool:
        """Return whether this controller may have issued a serial."""
        return serial % self.step == self.index


class ZoneHistory:
    """The zone's current version, and the differences from earlier ones.

    `soa(serial)` returns the SOA record's text.
    """

    def __init__(
        self,
        origin: dns.name.Name,
        soa: Callable[[int], str],
        serials: Serials,
        serial: int = 0,
    ) -> None:
        self.origin = origin
        self.soa = soa
        self.serials = serials
        self.serial = serials.next_after(serial)
        self.records: frozenset[ZoneRecord] = frozenset()  # empty before the first version
        self.content: frozenset[ZoneRecord] = frozenset()  # all but the SOA and ZONEMD records
        self.digested: frozenset[ZoneRecord] = frozenset()  # all but the ZONEMD record
        self.deltas: deque[Delta] = deque()  # oldest first
        self.delta_record_count = 0
        self.digest: str | None = None  # text of the ZONEMD record
        self.canonical = CanonicalZone(origin)

    def update(self, records: Iterable[ZoneRecord]) -> bool:
        """Set the zone's content; return whether that made a new version."""
        content = frozenset(records)
        if content == self.content:
            return False
        old_records = self.records
        old_serial = self.serial
        if not old_records:
            self.replace(content, old_serial)
            return True
        self.replace(content, self.serials.next_after(old_serial))
        removed = tuple(sorted(old_records - self.records))
        added = tuple(sorted(self.records - old_records))
        self.deltas.append(Delta(old_serial, removed, added))
        self.delta_record_count += len(removed) + len(added)
        self.drop_old_deltas()
        return True

    def replace(self, content: frozenset[ZoneRecord], serial: int) -> None:
        """Make the content the version with this serial."""
        self.serial = serial
        digested = content | {self.soa_record(serial)}
        self.canonical.change(self.digested - digested, digested - self.digested)
        self.digest = f"{serial} {ZONEMD_PARAMETERS} {self.canonical.digest()}"
        zonemd = ZoneRecord(APEX, APEX_LIFETIME, ZONEMD, self.digest)
        self.content = content
        self.digested = digested
        self.records = digested | {zonemd}

    def soa_record(self, serial: int) -> ZoneRecord:
        """Return the SOA record of a version."""
        return ZoneRecord(APEX, APEX_LIFETIME, SOA, self.soa(serial))

    def drop_old_deltas(self) -> None:
        """Drop the oldest differences past the bounds."""
        while len(self.deltas) > MAX_DELTAS or (
            self.deltas and self.delta_record_count > MAX_DELTA_RECORDS
        ):
            oldest = self.deltas.popleft()
            self.delta_record_count -= len(oldest.removed) + len(oldest.added)

    def since(self, serial: int) -> Difference | None:
        """Return the condensed difference from a version to now (RFC 1995 section 5).

        Return None if the version is not known.
        """
        if not self.serials.is_own(serial):
            return None
        known = False
        removed: set[ZoneRecord] = set()
        added: set[ZoneRecord] = set()
        for delta in self.deltas:
            known = known or delta.serial == serial
            if not known:
                continue
            removed_again = added.intersection(delta.removed)
            added -= removed_again
            removed |= set(delta.removed) - removed_again
            added_again = removed.intersection(delta.added)
            removed -= added_again
            added |= set(delta.added) - added_again
        return Difference(removed, added) if known else None

    def pass_by(self, serial: int) -> bool:
        """Move past a secondary's serial if it is ahead; return whether it was.

        Otherwise the secondary would never take another version from here.
        """
        if not newer(serial, self.serial):
            return False
        self.deltas.clear()
        self.delta_record_count = 0
        self.replace(self.content, self.serials.next_after(serial))
        return True


class CanonicalZone:
    """A zone's records in canonical order and form (RFC 4034 section 6), updated incrementally.

    A version costs its own records and one pass of the hash over ready bytes; dnspython's own
    digest takes 0.1 ms for each record each time.
    """

    def __init__(self, origin: dns.name.Name) -> None:
        self.origin = origin
        self.rows: list[CanonicalRow] = []  # sorted
        self.cached_rows: dict[ZoneRecord, CanonicalRow] = {}

    def row(self, record: ZoneRecord) -> CanonicalRow:
        """Return a record in canonical form."""
        row = self.cached_rows.get(record)
        if row is None:
            if len(self.cached_rows) > MAX_CACHED_ROWS:
                self.cached_rows.clear()
            row = self.cached_rows[record] = self.make_row(record)
        return row

    def make_row(self, record: ZoneRecord) -> CanonicalRow:
        """Convert a record to canonical form."""
        name, lifetime, rtype_text, text = record
        owner = self.origin if name == APEX else dns.name.from_text(name, self.origin)
        rtype = dns.rdatatype.from_text(rtype_text)
        rdata = dns.rdata.from_text("IN", rtype, text, self.origin, False)
        data = rdata.to_digestable(self.origin)
        fixed_fields = struct.pack(">HHIH", rtype, dns.rdataclass.IN, lifetime, len(data))
        labels = tuple(label.lower() for label in reversed(owner.labels))
        wire = owner.to_digestable() + fixed_fields + data
        return CanonicalRow(SortKey(labels, rtype, data), wire)

    def change(self, removed: Iterable[ZoneRecord], added: Iterable[ZoneRecord]) -> None:
        """Remove and add records."""
        for record in removed:
            del self.rows[bisect_left(self.rows, self.row(record))]
        for record in added:
            insort(self.rows, self.row(record))

    def digest(self) -> str:
        """Return SHA-384 over all records (RFC 8976 section 3.3.1) in hexadecimal."""
        return sha384(b"".join(row.wire for row in self.rows)).hexdigest()
