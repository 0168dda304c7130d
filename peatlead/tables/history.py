"""The histories of all proxies, with limits. No I/O and no clock: times are arguments.

The entries are limited in number (per proxy and in total), in age and in memory. The oldest entry
of all proxies is dropped first. The newest state of a connected proxy is always kept. Above
`proxies_max` histories, the histories of disconnected proxies are dropped, starting with the proxy
that disconnected first.
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

__all__ = ["History", "HistoryEntry", "HistoryStore", "StoredEntry", "UnknownVersionError"]

COMPACTION_SLACK = 1000  # number of references to dropped entries that cause no compaction


class StoredEntry(NamedTuple):
    """An entry with the name of its proxy."""

    name: str
    entry: HistoryEntry


class HistoryStore:
    """The histories of all proxies by name.

    Limits: `versions_per_proxy` entries per proxy and `versions_max` in total, `bytes_max` of
    memory (approximate), `age_max` seconds since publication, `proxies_max` histories.
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
        self.disconnected: OrderedDict[str, bool] = OrderedDict()  # earliest disconnected first
        # (name, version) of all entries, oldest first. Some references may be to dropped entries.
        self.publication_order: deque[tuple[str, Version]] = deque()
        self.entry_count = 0
        self.memory_bytes = 0  # approximate
        self.dropped_entries = 0  # number of entries dropped since the start

    def history(self, name: str) -> History:
        """Return the history of a connected proxy, which is created for a new proxy."""
        self.disconnected.pop(name, None)
        history = self.histories.get(name)
        if history is None:
            history = self.histories[name] = History()
            self._drop_excess_histories()
        return history

    def mark_disconnected(self, name: str) -> None:
        """Mark a proxy as disconnected, so that its history may be dropped above `proxies_max`."""
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
        """Add a version of a proxy, and drop the entries that exceed the limits.

        `published_at` is wall-clock time in seconds. Raises VersionOrderError.
        """
        history = self.history(name)
        entry = history.commit(version, published_at, causes, item_changes)
        self.publication_order.append((name, version))
        self.entry_count += 1
        self.memory_bytes += entry.memory_bytes
        if len(history.entries) > self.versions_per_proxy:
            self._drop_oldest(history)
        self._drop_excess_entries(published_at)
        self._compact()
        return entry

    def replace_history(self, name: str, version: Version, items: Mapping[str, ItemValue]) -> None:
        """Replace a proxy's history by one state, whose previous versions are unknown."""
        history = self.history(name)
        while history.entries:
            self._drop_oldest(history)
        history.items = dict(items)
        history.digest = Digest(items)
        history.newest_version = version
        history.oldest_restorable_version = version

    def has_entry_up_to(self, name: str, version: Version) -> bool:
        """Return whether the proxy has a stored entry of this version or an older one."""
        history = self.histories.get(name)
        return bool(history and history.entries and history.entries[0].version <= version)

    def drop_up_to(self, name: str, version: Version) -> None:
        """Drop the proxy's entries up to and including a version."""
        history = self.histories.get(name)
        while history and history.entries and history.entries[0].version <= version:
            self._drop_oldest(history)

    def entries_between(
        self, since: float = 0.0, until: float = float("inf"), name: Optional[str] = None
    ) -> list[StoredEntry]:
        """Return the entries published in a span of wall-clock time, in publication order.

        `name` limits the result to one proxy.
        """
        remaining_entries: dict[str, Iterator[HistoryEntry]] = {
            proxy: iter(history.entries) for proxy, history in self.histories.items()
        }
        selected = []
        for proxy, version in self.publication_order:
            if proxy not in remaining_entries or name not in (None, proxy):
                continue
            entry = next(
                (
                    candidate
                    for candidate in remaining_entries[proxy]
                    if candidate.version >= version
                ),
                None,
            )
            if entry is not None and entry.version > version:  # the entry of `version` was dropped
                remaining_entries[proxy] = chain((entry,), remaining_entries[proxy])
            elif entry is not None and since <= entry.published_at <= until:
                selected.append(StoredEntry(proxy, entry))
        return selected

    def _drop_oldest(self, history: History) -> None:
        """Drop the oldest entry of one history."""
        entry = history.drop_oldest()
        self.entry_count -= 1
        self.memory_bytes -= entry.memory_bytes
        self.dropped_entries += 1

    def _drop_excess_entries(self, now: float) -> None:
        """Drop the oldest entries while a limit is exceeded.

        If the wall clock was set back, old entries may not exceed the age limit, but the other
        limits still apply.
        """
        while self.publication_order and self._should_drop_oldest(now):
            name, version = self.publication_order.popleft()
            history = self.histories.get(name)
            if history and history.entries and history.entries[0].version == version:
                self._drop_oldest(history)

    def _should_drop_oldest(self, now: float) -> bool:
        """Return whether a limit is exceeded, or the oldest reference is to a dropped entry."""
        oldest = self._oldest_entry()
        return (
            oldest is None
            or self.entry_count > self.versions_max
            or self.memory_bytes > self.bytes_max
            or oldest.published_at < now - self.age_max
        )

    def _oldest_entry(self) -> Optional[HistoryEntry]:
        """Return the entry of the oldest reference, or None if that entry was dropped."""
        name, version = self.publication_order[0]
        history = self.histories.get(name)
        if history and history.entries and history.entries[0].version == version:
            return history.entries[0]
        return None

    def _drop_excess_histories(self) -> None:
        """Drop histories of disconnected proxies while there are more than `proxies_max`."""
        while len(self.histories) > self.proxies_max and self.disconnected:
            name, _ = self.disconnected.popitem(last=False)
            history = self.histories.pop(name)
            while history.entries:
                self._drop_oldest(history)

    def _compact(self) -> None:
        """Remove references to dropped entries if there are too many.

        Otherwise such references would accumulate behind an old entry that is still stored.
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
