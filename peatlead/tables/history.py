"""All proxies' histories, within bounds. Time is an argument; nothing is read or written.

Entries are bounded by number for each proxy and in all, by age and by memory. The oldest entry of
all proxies is dropped first, never a connected proxy's newest state. Of disconnected proxies the
one that left first is forgotten first, once there are more than `proxies_max` in all.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from typing import NamedTuple, Optional

from .digest import Digest
from .errors import UnknownVersionError
from .items import ItemValue
from .proxy_history import History, HistoryEntry
from .version import Version

__all__ = ["History", "HistoryEntry", "Store", "StoredEntry", "UnknownVersionError"]

COMPACTION_SLACK = 1000  # references to dropped entries that never trigger a compaction


class StoredEntry(NamedTuple):
    """An entry and whose it is."""

    name: str
    entry: HistoryEntry


class Store:
    """The histories of all proxies by name, with their bounds.

    Bounds: `versions_per_proxy` and `versions_max` entries, `bytes_max` of memory approximately,
    `age_max` seconds, `proxies_max` histories.
    """

    def __init__(
        self,
        versions_per_proxy: int = 256,
        versions_max: int = 100_000,
        bytes_max: int = 64 << 20,
        age_max: float = 86_400.0,
        proxies_max: int = 5000,
    ) -> None:
        self.versions_per_proxy = versions_per_proxy
        self.versions_max = versions_max
        self.bytes_max = bytes_max
        self.age_max = age_max
        self.proxies_max = proxies_max
        self.histories: dict[str, History] = {}
        self.disconnected: OrderedDict[str, bool] = (
            OrderedDict()
        )  # disconnected proxies, first left first
        # (name, version) of all entries, oldest first; also of those that were dropped out of turn.
        self.publication_order: deque[tuple[str, Version]] = deque()
        self.entry_count = 0
        self.memory_bytes = 0  # bytes of memory, approximately
        self.dropped = 0  # entries dropped since the start

    def history(self, name: str) -> History:
        """Return a connected proxy's history, new where there is none."""
        self.disconnected.pop(name, None)
        history = self.histories.get(name)
        if history is None:
            history = self.histories[name] = History()
            self._bound_proxies()
        return history

    def mark_disconnected(self, name: str) -> None:
        """Mark a proxy as disconnected: its history stays until others need the place."""
        if name in self.histories:
            self.disconnected[name] = True
            self.disconnected.move_to_end(name)

    def commit(
        self,
        name: str,
        version: Version,
        published_at: float,
        causes: Iterable[str],
        item_changes: Mapping[str, Optional[ItemValue]],
    ) -> HistoryEntry:
        """Add a proxy's version and drop what exceeds the bounds. Raises VersionOrderError."""
        history = self.history(name)
        entry = history.commit(version, published_at, causes, item_changes)
        self.publication_order.append((name, version))
        self.entry_count += 1
        self.memory_bytes += entry.memory_bytes
        if len(history.entries) > self.versions_per_proxy:
            self._drop_oldest(history)
        self._bound_entries(published_at)
        self._compact()
        return entry

    def restart(self, name: str, version: Version, items: Mapping[str, ItemValue]) -> None:
        """Begin a proxy's history anew at a state whose previous versions are not known."""
        history = self.history(name)
        while history.entries:
            self._drop_oldest(history)
        history.items = dict(items)
        history.digest = Digest(items)
        history.newest_version = version
        history.oldest_restorable = version

    def has_entry_up_to(self, name: str, version: Version) -> bool:
        """Return whether an entry of that version, or of an older one of that proxy, is stored."""
        history = self.histories.get(name)
        return bool(history and history.entries and history.entries[0].version <= version)

    def drop_up_to(self, name: str, version: Version) -> None:
        """Drop a proxy's entries up to a version."""
        history = self.histories.get(name)
        while history and history.entries and history.entries[0].version <= version:
            self._drop_oldest(history)

    def entries_between(
        self, since: float = 0.0, until: float = float("inf"), name: Optional[str] = None
    ) -> list[StoredEntry]:
        """Return entries of a span of wall-clock time, in order of publication."""
        remaining: dict[str, Iterator[HistoryEntry]] = {
            proxy: iter(history.entries) for proxy, history in self.histories.items()
        }
        selected = []
        for proxy, version in self.publication_order:
            if proxy not in remaining or name not in (None, proxy):
                continue
            entry = next((one for one in remaining[proxy] if one.version >= version), None)
            if entry is not None and entry.version > version:  # this one was dropped out of turn
                remaining[proxy] = chain((entry,), remaining[proxy])
            elif entry is not None and since <= entry.published_at <= until:
                selected.append(StoredEntry(proxy, entry))
        return selected

    def _drop_oldest(self, history: History) -> None:
        entry = history.drop_oldest()
        self.entry_count -= 1
        self.memory_bytes -= entry.memory_bytes
        self.dropped += 1

    def _bound_entries(self, now: float) -> None:
        """Drop entries past the bounds.

        With a clock that was set back no entry is too old; the other bounds still hold.
        """
        while self.publication_order and self._oldest_is_due(now):
            name, version = self.publication_order.popleft()
            history = self.histories.get(name)
            if history and history.entries and history.entries[0].version == version:
                self._drop_oldest(history)

    def _oldest_is_due(self, now: float) -> bool:
        """Return whether the oldest reference should go: past the bounds, or dropped before."""
        oldest = self._oldest()
        return (
            oldest is None
            or self.entry_count > self.versions_max
            or self.memory_bytes > self.bytes_max
            or oldest.published_at < now - self.age_max
        )

    def _oldest(self) -> Optional[HistoryEntry]:
        name, version = self.publication_order[0]
        history = self.histories.get(name)
        if history and history.entries and history.entries[0].version == version:
            return history.entries[0]
        return None

    def _bound_proxies(self) -> None:
        while len(self.histories) > self.proxies_max and self.disconnected:
            name, _ = self.disconnected.popitem(last=False)
            history = self.histories.pop(name)
            while history.entries:
                self._drop_oldest(history)

    def _compact(self) -> None:
        """Remove references to dropped entries.

        They would pile up behind one old entry that is still stored.
        """
        if len(self.publication_order) <= 2 * self.entry_count + COMPACTION_SLACK:
            return
        stored = {
            name: {entry.version for entry in history.entries}
            for name, history in self.histories.items()
        }
        self.publication_order = deque(
            (name, version)
            for name, version in self.publication_order
            if version in stored.get(name, ())
        )
