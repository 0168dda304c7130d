"""The history of one proxy's published tables. No I/O and no clock: times are arguments.

The newest state is stored in full. Each entry stores the items that its version changed, with their
values before and after, and older states are computed by undoing entries. A version therefore needs
memory only for its changes, and the oldest entry can be dropped alone.
`peatlead.benchmarks.tables` compares this with full copies.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Optional

from .digest import Digest
from .errors import UnknownVersionError, VersionOrderError
from .items import Items, ItemValue, changes
from .version import NO_VERSION, Version

ENTRY_BYTES = 260  # approximate memory of an entry, without its changes
CHANGE_BYTES = 88  # approximate memory of one change


# Key, value before, value after; None stands for an absent item. This is a plain tuple, because
# histories have hundreds of thousands of changes and a NamedTuple is slower to create.
ItemChange = tuple[str, Optional[ItemValue], Optional[ItemValue]]


class HistoryEntry(NamedTuple):
    """One published version. `published_at` is wall-clock time in seconds."""

    version: Version
    published_at: float
    causes: tuple[str, ...]
    item_changes: tuple[ItemChange, ...]
    digest: str

    @property
    def memory_bytes(self) -> int:
        """The approximate memory of the entry, in bytes."""
        return ENTRY_BYTES + CHANGE_BYTES * len(self.item_changes)


class History:
    """The published versions of one proxy, oldest first."""

    __slots__ = ("items", "entries", "digest", "newest_version", "oldest_restorable_version")

    def __init__(self) -> None:
        self.items: Items = {}  # the newest state
        self.entries: deque[HistoryEntry] = deque()
        self.digest = Digest()
        self.newest_version = NO_VERSION  # the entry of this version may have been dropped
        self.oldest_restorable_version = NO_VERSION  # the version before the oldest stored entry

    def commit(
        self,
        version: Version,
        published_at: float,
        causes: Iterable[str],
        item_changes: Mapping[str, Optional[ItemValue]],
    ) -> HistoryEntry:
        """Add a version that sets the items in `item_changes`; None removes an item.

        Raises VersionOrderError if the version is not newer than `newest_version`.
        """
        if version <= self.newest_version:
            raise VersionOrderError(
                f"expected a version newer than {self.newest_version}, got {version}"
            )
        items = self.items
        recorded_changes = []
        for key, new in item_changes.items():
            old = items.get(key)
            if old == new:
                continue
            recorded_changes.append((key, old, new))
            self.digest.update(key, old, new)
            if new is None:
                del items[key]
            else:
                items[key] = new
        entry = HistoryEntry(
            version, published_at, tuple(causes), tuple(recorded_changes), str(self.digest)
        )
        self.entries.append(entry)
        self.newest_version = version
        return entry

    def drop_oldest(self) -> HistoryEntry:
        """Remove the oldest entry and return it."""
        entry = self.entries.popleft()
        self.oldest_restorable_version = entry.version
        return entry

    def items_at_version(self, version: Version) -> Items:
        """Return the items at a version. Raises UnknownVersionError."""
        if version == self.newest_version:
            return dict(self.items)
        if version != self.oldest_restorable_version and all(
            entry.version != version for entry in self.entries
        ):
            raise UnknownVersionError(str(version))
        items = dict(self.items)
        for entry in reversed(self.entries):
            if entry.version == version:
                break
            _undo(items, entry)
        return items

    def state_at_time(self, wall_time: float) -> tuple[Version, Items]:
        """Return the newest version published at or before `wall_time`, and its items.

        Raises UnknownVersionError if no such version is stored.
        """
        items = dict(self.items)
        for entry in reversed(self.entries):
            if entry.published_at <= wall_time:
                return entry.version, items
            _undo(items, entry)
        raise UnknownVersionError(f"no version published at or before {wall_time:.3f}")

    def diff(
        self, first: Version, second: Version
    ) -> dict[str, tuple[Optional[ItemValue], Optional[ItemValue]]]:
        """Return the items that differ: key -> (value in `first`, value in `second`).

        Raises UnknownVersionError.
        """
        before = self.items_at_version(first)
        after = self.items_at_version(second)
        return {key: (before.get(key), after.get(key)) for key in sorted(changes(before, after))}

    def digest_of_version(self, version: Version) -> Optional[str]:
        """Return the digest of a version, or None if its entry is not stored."""
        return next((entry.digest for entry in self.entries if entry.version == version), None)


def _undo(items: Items, entry: HistoryEntry) -> None:
    """Change the items at the version of an entry into the items before that version."""
    for key, before, _ in entry.item_changes:
        if before is None:
            items.pop(key, None)
        else:
            items[key] = before
