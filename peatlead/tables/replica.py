"""A proxy's replica of its versioned tables. No I/O.

A delta is applied as a whole or not at all: it is applied to a copy, the copy's digest is compared
with the stamp's, and only then does the copy replace the state. A delta that does not fit is
refused with the reason, and the sender continues from what the proxy has, or with the whole state.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Optional

from .digest import Digest
from .items import PARTS, Items, ItemValue
from .version import NO_VERSION, WHOLE_STATE, Stamp, Version


class DeltaOutcome(StrEnum):
    """What became of a delta. The values are sent to the controller as the reason of a refusal."""

    APPLIED = "applied"
    OLD = "old"  # not newer than what was seen: ignored without an answer
    BASE = "base differs"  # the delta is for another state than the replica's
    DIGEST = "digest differs"  # the result would not be what the sender meant


APPLIED = DeltaOutcome.APPLIED
OLD = DeltaOutcome.OLD
BASE = DeltaOutcome.BASE
DIGEST = DeltaOutcome.DIGEST


class Replica:
    """The replica's state by part, and the newest version that it has seen.

    Older versions are refused, so that a controller that has lost ownership cannot overwrite the
    state; see `peatlead.fleet.ownership`.
    """

    def __init__(self) -> None:
        self.parts: dict[str, Items] = {part: {} for part in PARTS}
        self.digests = {part: Digest() for part in PARTS}
        self.newest_version = NO_VERSION

    def apply_delta(
        self, part: str, stamp: Stamp, moved: Mapping[str, Optional[ItemValue]]
    ) -> DeltaOutcome:
        """Apply a delta that sets the items in `moved`, or removes them where None."""
        if stamp.version <= self.newest_version:
            return DeltaOutcome.OLD
        if stamp.base == WHOLE_STATE:
            items: Items = {}
            digest = Digest()
        elif stamp.base == str(self.digests[part]):
            items = dict(self.parts[part])
            digest = self.digests[part].copy()
        else:
            return DeltaOutcome.BASE
        _apply(items, digest, moved)
        if str(digest) != stamp.digest:
            return DeltaOutcome.DIGEST
        self.parts[part] = items
        self.digests[part] = digest
        self.newest_version = stamp.version
        return DeltaOutcome.APPLIED

    def is_consistent(self, part: str) -> bool:
        """Return whether a part's items still have the digest that was kept of them."""
        return str(Digest(self.parts[part])) == str(self.digests[part])

    def reject_up_to(self, version: Version) -> None:
        """Refuse versions up to this one from now on."""
        self.newest_version = max(self.newest_version, version)


def _apply(items: Items, digest: Digest, moved: Mapping[str, Optional[ItemValue]]) -> None:
    for key, value in moved.items():
        digest.update(key, items.get(key), value)
        if value is None:
            items.pop(key, None)
        else:
            items[key] = value
