"""The history of one proxy's published tables. Time is an argument; nothing is read or written.

An entry stores what a version changed: each item's value before and after. The newest state is
stored whole, and an older one is found by undoing entries from it. So a version costs only its own
changes, and the oldest entry can be dropped by itself. `peatlead.benchmarks.tables` compares this
with plain copies.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Optional

from .digest import Digest
from .errors import UnknownVersionError, VersionOrderError
from .items import Items, ItemValue, changes
from .version import NO_VERSION, Version

ENTRY_BYTES = 260  # memory of an entry without its changes, approximately
CHANGE_BYTES = 88  # memory of one change, approximately


# Key, value before and value after; None stands for an absent item. Plain tuples: histories hold
# them by the hundred thousand, and NamedTuples make each commit slower.
ItemChange = tuple[str, Optional[ItemValue], Optional[ItemValue]]


class HistoryEntry(NamedTuple):
    """One version. `at` is the wall-clock time of its publication in seconds."""

    version: Version
    published_at: float
    causes: tuple[str, ...]
    item_changes: tuple[ItemChange, ...]
    digest: str

    @property
    def memory_bytes(self) -> int:
        """Memory in bytes, approximately."""
        return ENTRY_BYTES + CHANGE_BYTES * len(self.item_changes)


class History:
    """One proxy's versions, newest last."""

    __slots__ = ("items", "entries", "digest", "newest_version", "oldest_restorable")

    def __init__(self) -> None:
        self.items: Items = {}  # the newest state
        self.entries: deque[HistoryEntry] = deque()
        self.digest = Digest()
        self.newest_version = NO_VERSION  # the newest version, whether its entry is stored or not
        self.oldest_restorable = (
            NO_VERSION  # the version before the oldest entry: the farthest that can be restored
        )

    def commit(
        self,
        version: Version,
        published_at: float,
        causes: Iterable[str],
        item_changes: Mapping[str, Optional[ItemValue]],
    ) -> HistoryEntry:
        """Add a version that sets the items in `moved`, or removes them where None.

        Raises VersionOrderError where it does not come after the newest version.
        """
        if version <= self.newest_version:
            raise VersionOrderError(f"expected a version past {self.newest_version}, got {version}")
        items = self.items
        changed = []
        for key, new in item_changes.items():
            old = items.get(key)
            if old == new:
                continue
            changed.append((key, old, new))
            self.digest.update(key, old, new)
            if new is None:
                del items[key]
            else:
                items[key] = new
        entry = HistoryEntry(version, published_at, tuple(causes), tuple(changed), str(self.digest))
        self.entries.append(entry)
        self.newest_version = version
        return entry

    def drop_oldest(self) -> HistoryEntry:
        """Remove the oldest entry and return it."""
        entry = self.entries.popleft()
        self.oldest_restorable = entry.version
        return entry

    def at_version(self, version: Version) -> Items:
        """Return the items as of a version. Raises UnknownVersionError."""
        if version == self.newest_version:
            return dict(self.items)
        if version != self.oldest_restorable and all(
            entry.version != version for entry in self.entries
        ):
            raise UnknownVersionError(str(version))
        items = dict(self.items)
        for entry in reversed(self.entries):
            if entry.version == version:
                break
            _undo(items, entry)
        return items

    def at_time(self, when: float) -> tuple[Version, Items]:
        """Return the version and items as of a wall-clock time.

        Where clocks stepped, it is the newest version that bears no later time. Raises
        UnknownVersionError.
        """
        items = dict(self.items)
        for entry in reversed(self.entries):
            if entry.published_at <= when:
                return entry.version, items
            _undo(items, entry)
        raise UnknownVersionError(f"nothing of {when:.3f} is kept")

    def diff(
        self, first: Version, second: Version
    ) -> dict[str, tuple[Optional[ItemValue], Optional[ItemValue]]]:
        """Return {key: (value, value)} of the items that differ. Raises UnknownVersionError."""
        before = self.at_version(first)
        after = self.at_version(second)
        return {key: (before.get(key), after.get(key)) for key in sorted(changes(before, after))}

    def digest_at(self, version: Version) -> Optional[str]:
        """Return the digest of a version whose entry is stored, else None."""
        return next((entry.digest for entry in self.entries if entry.version == version), None)


def _undo(items: Items, entry: HistoryEntry) -> None:
    for key, before, _ in entry.item_changes:
        if before is None:
            items.pop(key, None)
        else:
            items[key] = before
