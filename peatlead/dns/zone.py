"""The zone as plain secondaries hold it, version by version. Pure: no I/O, no clock.

A secondary can't weigh answers by who asks. So the zone has names of their own for each view: the addresses that it
is told, and SRV records with weights. A version is a serial (RFC 1982), the records by which it differs from the one
before, and a digest of the whole as a ZONEMD record (RFC 8976, SIMPLE scheme, SHA-384), so that what arrives can be
checked by anybody.

Serials tell stewards apart: each takes only its own remainder by a power of two, so that no two ever give one serial
to two zones, and a difference is never laid on a base that another made. A secondary that is ahead of us (we were
set back, or it followed another steward) is passed: the next serial is the first of ours past it.
"""

import struct
from bisect import bisect_left, insort
from collections import deque
from hashlib import sha384

import dns.name
import dns.rdata
import dns.rdatatype

WRAP = 1 << 32
KEPT_MOST, RECORDS_MOST = (
    500,
    50_000,
)  # differences kept; records in them: past either the oldest go
SOA, ZONEMD = "SOA", "ZONEMD"


def newer(one, other):
    """Whether a serial is past another (RFC 1982 section 3.2); at a distance of 2^31 neither is."""
    return 0 < (one - other) % WRAP < WRAP // 2


class Serials:
    """`index` of `many` stewards; serials that are `index` modulo the next power of two, and never 0."""

    def __init__(self, index, many):
        self.step = 1
        while self.step < many:
            self.step *= 2
        self.index = index

    def after(self, serial):
        """The first of ours past a serial."""
        found = (serial - (serial - self.index) % self.step + self.step) % WRAP
        return found or self.after(found)

    def ours(self, serial):
        return serial % self.step == self.index


class ZoneHistory:
    """`origin`: a dns.name.Name; `soa(serial)`: the SOA's text. A record is (name, lifetime, type, text), the name
    relative to the origin."""

    def __init__(self, origin, soa, serials, serial=0):
        self.origin, self.soa, self.serials = origin, soa, serials
        self.serial = serials.after(serial)
        self.records, self.deltas, self.kept, self.digest = frozenset(), deque(), 0, None
        self.canonical = Canonical(origin)

    def update(self, records):
        """Takes the zone as it should be. True where that makes a new version."""
        bare = frozenset(records)
        old = self.records
        if bare == old - self.marks():
            return False
        before = self.serial
        serial = self.serials.after(before) if old else before
        self.replace(bare, serial)
        if old:
            gone, come = tuple(sorted(old - self.records)), tuple(sorted(self.records - old))
            self.deltas.append((before, gone, come))
            self.kept += len(gone) + len(come)
            self.bound()
        return True

    def replace(self, bare, serial):
        self.serial = serial
        head, old = (
            ("@", 60, SOA, self.soa(serial)),
            {one for one in self.records if one[2] != ZONEMD},
        )
        new = bare | {head}
        self.canonical.change(old - new, new - old)
        self.digest = f"{serial} 1 1 {self.canonical.digest()}"  # scheme SIMPLE, SHA-384
        self.records = new | {("@", 60, ZONEMD, self.digest)}

    def marks(self):
        return {record for record in self.records if record[2] in (SOA, ZONEMD)}

    def bound(self):
        while len(self.deltas) > KEPT_MOST or self.kept > RECORDS_MOST and self.deltas:
            _, gone, come = self.deltas.popleft()
            self.kept -= len(gone) + len(come)

    def since(self, serial):
        """(gone, come) from a serial to now, condensed (RFC 1995 section 5); None where the way is not known."""
        if not self.serials.ours(serial):
            return None
        gone, come, found = set(), set(), False
        for start, left, entered in self.deltas:
            found = found or start == serial
            if found:
                come -= (lost := set(left) & come)
                gone |= set(left) - lost
                gone -= (back := set(entered) & gone)
                come |= set(entered) - back
        return (gone, come) if found else None

    def pass_by(self, serial):
        """A secondary holds this serial, past ours: ours must come after it, or it would never take another."""
        if newer(serial, self.serial):
            bare = self.records - self.marks()
            self.deltas.clear()
            self.kept = 0
            self.replace(bare, self.serials.after(serial))
            return True
        return False


class Canonical:
    """A zone's records in canonical order and form (RFC 4034 section 6), kept as they change, so that a version costs
    its own records and one pass of the hash over ready bytes. dnspython's own took 0.1 ms a record, each time."""

    def __init__(self, origin):
        self.origin, self.rows, self.made = origin, [], {}

    def row(self, record):
        """((labels from the right, type, rdata), wire) of a record: compared, it stands where it belongs."""
        found = self.made.get(record)
        if found is None:
            if len(self.made) > 4 * RECORDS_MOST:
                self.made.clear()
            name, lifetime, rtype, text = record
            owner = self.origin if name == "@" else dns.name.from_text(name, self.origin)
            kind = dns.rdatatype.from_text(rtype)
            rdata = dns.rdata.from_text("IN", kind, text, self.origin, False).to_digestable(
                self.origin
            )
            wire = (
                owner.to_digestable() + struct.pack(">HHIH", kind, 1, lifetime, len(rdata)) + rdata
            )
            found = self.made[record] = (
                (tuple(label.lower() for label in reversed(owner.labels)), kind, rdata),
                wire,
            )
        return found

    def change(self, gone, come):
        for record in gone:
            at = bisect_left(self.rows, self.row(record))
            del self.rows[at]
        for record in come:
            insort(self.rows, self.row(record))

    def digest(self):
        """SHA-384 over all (RFC 8976 section 3.3.1), hex."""
        return sha384(b"".join(wire for _, wire in self.rows)).hexdigest()
