"""Versions of the zone for secondaries. No I/O, no clock.

A secondary cannot select an answer by the client. So the zone has separate names for each view,
with the view's addresses and with SRV records that have its weights. Each version has a serial (RFC
1982), the records that differ from the preceding version, and a ZONEMD record (RFC 8976, SIMPLE
scheme, SHA-384) with the digest of the zone, so that a secondary can verify its copy.

A secondary may have a newer serial, if the controller was restored from a backup or if the
secondary got its copy from another controller. Then the controller continues with its first serial
that is newer than the secondary's.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import dns.name

from .canonical_zone import APEX, CanonicalZone, ZoneRecord
from .serials import Serials, is_newer

MAX_DELTAS = 500  # stored deltas
MAX_DELTA_RECORDS = 50_000  # in all stored deltas together
APEX_TTL = 60  # seconds that the SOA and ZONEMD records may be cached
ZONEMD_PARAMETERS = "1 1"  # scheme SIMPLE, hash SHA-384 (RFC 8976 section 5)
SOA = "SOA"
ZONEMD = "ZONEMD"


class Delta(NamedTuple):
    """The changes from version `serial` to the next version."""

    serial: int
    removed: tuple[ZoneRecord, ...]
    added: tuple[ZoneRecord, ...]


class Difference(NamedTuple):
    """The changes between two versions."""

    removed: set[ZoneRecord]
    added: set[ZoneRecord]


class ZoneHistory:
    """The zone's current version, and the changes since earlier versions.

    `soa_text(serial)` returns the SOA record's text. `serial` is the last serial before a restart,
    or 0.
    """

    def __init__(
        self,
        origin: dns.name.Name,
        soa_text: Callable[[int], str],
        serials: Serials,
        serial: int = 0,
    ) -> None:
        self.origin = origin
        self.soa_text = soa_text
        self.serials = serials
        self.serial = serials.next_own_serial(serial)
        self.records: frozenset[ZoneRecord] = frozenset()  # empty before the first version
        self.content: frozenset[ZoneRecord] = frozenset()  # without the SOA and ZONEMD records
        self.digested_records: frozenset[ZoneRecord] = frozenset()  # without the ZONEMD record
        self.deltas: deque[Delta] = deque()  # oldest first
        self.delta_record_count = 0
        self.zonemd_text: str | None = None  # None before the first version
        self.canonical = CanonicalZone(origin)

    def update(self, records: Iterable[ZoneRecord]) -> bool:
        """Set the zone's content; return whether this created a new version."""
        content = frozenset(records)
        if content == self.content:
            return False
        old_records = self.records
        old_serial = self.serial
        if not old_records:
            self.set_version(content, old_serial)
            return True
        self.set_version(content, self.serials.next_own_serial(old_serial))
        removed = tuple(sorted(old_records - self.records))
        added = tuple(sorted(self.records - old_records))
        self.deltas.append(Delta(old_serial, removed, added))
        self.delta_record_count += len(removed) + len(added)
        self.drop_old_deltas()
        return True

    def set_version(self, content: frozenset[ZoneRecord], serial: int) -> None:
        """Set the current version's content and serial, and compute its digest."""
        self.serial = serial
        digested_records = content | {self.soa_record(serial)}
        self.canonical.apply_changes(
            self.digested_records - digested_records, digested_records - self.digested_records
        )
        self.zonemd_text = f"{serial} {ZONEMD_PARAMETERS} {self.canonical.digest()}"
        zonemd = ZoneRecord(APEX, APEX_TTL, ZONEMD, self.zonemd_text)
        self.content = content
        self.digested_records = digested_records
        self.records = digested_records | {zonemd}

    def soa_record(self, serial: int) -> ZoneRecord:
        """Return the SOA record of a version."""
        return ZoneRecord(APEX, APEX_TTL, SOA, self.soa_text(serial))

    def drop_old_deltas(self) -> None:
        """Drop the oldest deltas while there are more than the limits allow."""
        while len(self.deltas) > MAX_DELTAS or (
            self.deltas and self.delta_record_count > MAX_DELTA_RECORDS
        ):
            oldest = self.deltas.popleft()
            self.delta_record_count -= len(oldest.removed) + len(oldest.added)

    def condensed_difference(self, serial: int) -> Difference | None:
        """Return the condensed difference from version `serial` to the current version.

        See RFC 1995 section 5. The result is None if the version has no stored delta.
        """
        if not self.serials.is_own(serial):
            return None
        version_found = False
        removed: set[ZoneRecord] = set()
        added: set[ZoneRecord] = set()
        for delta in self.deltas:
            version_found = version_found or delta.serial == serial
            if not version_found:
                continue
            added_and_removed = added.intersection(delta.removed)
            added -= added_and_removed
            removed |= set(delta.removed) - added_and_removed
            removed_and_added = removed.intersection(delta.added)
            removed -= removed_and_added
            added |= set(delta.added) - removed_and_added
        return Difference(removed, added) if version_found else None

    def advance_serial(self, serial: int) -> bool:
        """Give the current version a newer serial if `serial`, a secondary's, is newer.

        Return whether the serial was advanced. Without this, the secondary would ignore all
        further versions of this controller.
        """
        if not is_newer(serial, self.serial):
            return False
        self.deltas.clear()
        self.delta_record_count = 0
        self.set_version(self.content, self.serials.next_own_serial(serial))
        return True
