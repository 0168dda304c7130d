"""A proxy's replica of its versioned tables. No I/O.

A delta is applied atomically: it is applied to a copy, which replaces the state only if its digest
equals the digest in the stamp. Otherwise the delta is refused with a reason, and the sender sends
either a delta from the proxy's actual state or the whole state.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Optional

from .digest import Digest
from .items import PARTS, Items, ItemValue
from .version import NO_VERSION, WHOLE_STATE, Stamp, Version


class DeltaOutcome(StrEnum):
    """The result of applying a delta. For a refusal, the value is the reason sent to the sender."""

    APPLIED = "applied"
    OLD_VERSION = "old"  # not newer than the replica's version; ignored without an answer
    BASE_DIFFERS = "base differs"  # the delta applies to a state other than the replica's
    DIGEST_DIFFERS = "digest differs"  # the resulting state would differ from the sender's


APPLIED = DeltaOutcome.APPLIED
OLD_VERSION = DeltaOutcome.OLD_VERSION
BASE_DIFFERS = DeltaOutcome.BASE_DIFFERS
DIGEST_DIFFERS = DeltaOutcome.DIGEST_DIFFERS


class Replica:
    """The state of a proxy's tables, by part.

    Versions up to `newest_version` are refused, so that a controller that has lost ownership of the
    proxy cannot overwrite the state; see `peatlead.fleet.ownership`.
    """

    def __init__(self) -> None:
        self.parts: dict[str, Items] = {part: {} for part in PARTS}
        self.digests = {part: Digest() for part in PARTS}
        self.newest_version = NO_VERSION

    def apply_delta(
        self, part: str, stamp: Stamp, item_changes: Mapping[str, Optional[ItemValue]]
    ) -> DeltaOutcome:
        """Apply a delta that sets the items in `item_changes`; None removes an item."""
        if stamp.version <= self.newest_version:
            return DeltaOutcome.OLD_VERSION
        if stamp.base == WHOLE_STATE:
            items: Items = {}
            digest = Digest()
        elif stamp.base == str(self.digests[part]):
            items = dict(self.parts[part])
            digest = self.digests[part].copy()
        else:
            return DeltaOutcome.BASE_DIFFERS
        _apply_changes(items, digest, item_changes)
        if str(digest) != stamp.digest:
            return DeltaOutcome.DIGEST_DIFFERS
        self.parts[part] = items
        self.digests[part] = digest
        self.newest_version = stamp.version
        return DeltaOutcome.APPLIED

    def is_consistent(self, part: str) -> bool:
        """Return whether the items of a part still match the stored digest of that part."""
        return str(Digest(self.parts[part])) == str(self.digests[part])

    def reject_up_to(self, version: Version) -> None:
        """Refuse versions up to and including this one from now on."""
        self.newest_version = max(self.newest_version, version)


def _apply_changes(
    items: Items, digest: Digest, item_changes: Mapping[str, Optional[ItemValue]]
) -> None:
    """Apply changes to a map of items and to its digest."""
    for key, value in item_changes.items():
        digest.update(key, items.get(key), value)
        if value is None:
            items.pop(key, None)
        else:
            items[key] = value
