"""Rebuilds a store of histories from the records of a table log. No I/O."""

from typing import Optional

from .history import HistoryStore
from .items import changes
from .log_records import NoteRecord, PublishedRecord, Record, RemovedRecord, SnapshotRecord
from .proxy_history import History
from .version import Version

GAP_CAUSE = "some previous versions are missing in the log"


class LogRecovery:
    """Applies records, oldest first, to a store and a map of notes."""

    def __init__(self, store: HistoryStore, notes: dict[str, bytes]) -> None:
        self._store = store
        self._notes = notes

    def apply(self, record: Record, published: dict[str, Version]) -> Optional[str]:
        """Apply one record. Return how the record contradicts earlier records, or None.

        `published` collects the newest published version of each proxy in the record's segment.
        """
        if isinstance(record, NoteRecord):
            set_note(self._notes, record.key, record.value)
            return None
        if isinstance(record, RemovedRecord):
            self._store.mark_disconnected(record.name)
            return None
        version = Version(record.epoch, record.serial)
        history = self._store.history(record.name)
        if isinstance(record, SnapshotRecord):
            return self._apply_snapshot(record, history, version)
        published[record.name] = version
        return self._apply_published(record, history, version)

    def _apply_published(
        self, record: PublishedRecord, history: History, version: Version
    ) -> Optional[str]:
        """Commit a published version if it is newer than the proxy's newest version."""
        if version <= history.newest_version:
            return f"{record.name}: version {version} after {history.newest_version}"
        self._store.commit(record.name, version, record.at, record.causes, record.changes)
        return None

    def _apply_snapshot(
        self, record: SnapshotRecord, history: History, version: Version
    ) -> Optional[str]:
        """Apply a snapshot. Versions that are missing before the snapshot become one version."""
        if version == history.newest_version:
            if history.items == record.items:
                return None
            return f"{record.name}: two different states of version {version}"
        if version < history.newest_version:
            return f"{record.name}: snapshot of version {version} after {history.newest_version}"
        if not history.newest_version.epoch:
            self._store.replace_history(record.name, version, record.items)
            return None
        published_at = history.entries[-1].published_at if history.entries else 0.0
        missing = changes(history.items, record.items)
        self._store.commit(record.name, version, published_at, (GAP_CAUSE,), missing)
        return f"{record.name}: some versions before {version} are missing"


def set_note(notes: dict[str, bytes], key: str, value: Optional[bytes]) -> None:
    """Set a note. The value None removes the note."""
    if value is None:
        notes.pop(key, None)
    else:
        notes[key] = value
