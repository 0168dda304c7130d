"""The table log on disk: numbered segment files in a folder, which are read after a restart.

A killed process loses nothing that was written. A failed machine loses at most the writes since the
last sync, which runs every `sync_interval` seconds. After a restart the log never appends to an old
file: it ignores and reports the damaged end that a crash may leave, and starts a new segment with a
snapshot of the whole state. While writes fail, for instance on a full disk, the log retries every
`retry_interval` seconds; publishing continues, and versions that are not written are counted in
`lost_versions`.
"""

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import Optional, Protocol, Union

from .history import HistoryStore
from .items import ItemChanges
from .log_reader import LogReader, ReadProblem
from .log_records import (
    NoteRecord,
    PublishedRecord,
    Record,
    RemovedRecord,
    SnapshotRecord,
)
from .log_recovery import set_note
from .proxy_history import HistoryEntry
from .segment_file import SegmentFile
from .version import Version

SEGMENT_BYTES_MAX = 2 << 20  # above this size a new segment is started
SNAPSHOTS_PER_FRAME = 200
NO_FOLDER = "no folder is set"  # `failure` of a log without a folder


class EventLogger(Protocol):
    """A function that logs events for operators."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Log an event with its fields."""


class TableLog:
    """Logs the versions of a store, and notes: small values that survive restarts.

    Call `restore()` and `start()` first, then `record_version()`, `record_disconnect()` and
    `record_note()`, with a `flush()` at every step of the controller, and `close()` at the end.
    Without a folder nothing is stored.
    """

    def __init__(
        self,
        folder: Union[str, Path, None],
        store: HistoryStore,
        log: Optional[EventLogger],
        sync_interval: float = 1.0,
        retry_interval: float = 5.0,
        disk_bytes_max: int = 64 << 20,
    ) -> None:
        self.folder = Path(folder) if folder else None
        self.store = store
        self.sync_interval = sync_interval  # seconds between syncs
        self.retry_interval = retry_interval  # seconds between attempts after a failure
        self.disk_bytes_max = disk_bytes_max  # of all segments together
        self.notes: dict[str, bytes] = {}
        self.segment: Optional[SegmentFile] = None
        self.newest_number = 0  # of the newest segment
        self.segment_sizes: dict[int, int] = {}  # segment number -> bytes
        self.failure = None if folder else NO_FOLDER  # why writing fails, or None
        self.lost_versions = 0  # versions not written, only contained in a later snapshot
        self._log_event = log or _discard_event
        self._pending: list[Record] = []  # not written yet
        # Segment number -> newest version of each proxy in the segment.
        self._published_versions: dict[int, dict[str, Version]] = {}
        self._synced_at = 0.0  # seconds, on the clock of the caller
        self._retry_at = 0.0  # seconds, on the clock of the caller

    def restore(self) -> list[ReadProblem]:
        """Read all segments into the store and the notes. Return the problems in the files."""
        if self.folder is None:
            return []
        reader = LogReader(self.folder, self.store, self.notes)
        reader.read()
        self.newest_number = reader.newest_number
        self.segment_sizes = reader.segment_sizes
        self._published_versions = reader.published_versions
        return reader.problems

    def record_version(self, name: str, entry: HistoryEntry) -> None:
        """Record a version that was committed to the store."""
        if self.folder is None:
            return
        new_values: ItemChanges = {key: after for key, _, after in entry.item_changes}
        self._record(
            PublishedRecord(
                name, *entry.version, entry.published_at, list(entry.causes), new_values
            )
        )

    def record_disconnect(self, name: str) -> None:
        """Record that a proxy has disconnected."""
        self._record(RemovedRecord(name))

    def record_note(self, key: str, value: Optional[bytes]) -> None:
        """Set a note and record it; None removes the note."""
        if self.notes.get(key) != value:
            set_note(self.notes, key, value)
            self._record(NoteRecord(key, value))

    def start(self, now: float) -> None:
        """Start a new segment. Call it after `restore()` and before the first version."""
        if self.folder is None:
            return
        try:
            self._start_segment(self.folder)
            self._prune(self.folder)
        except OSError as error:
            self._handle_write_failure(now, error)

    def flush(self, now: float) -> None:
        """Write the pending records, and sync if this is due. Blocks on disk I/O."""
        if self.folder is None:
            return
        if self.failure is not None and now < self._retry_at:
            self._drop_pending()
            return
        try:
            segment = self.segment or self._start_segment(self.folder)
            self._write_pending(segment)
            if segment.unsynced and now - self._synced_at >= self.sync_interval:
                segment.sync()
                self._synced_at = now
            if segment.size > SEGMENT_BYTES_MAX:
                self.close()
                # No record is pending here: the snapshot would replace pending versions.
                self._start_segment(self.folder)
                self._prune(self.folder)
        except OSError as error:
            self._handle_write_failure(now, error)

    def close(self) -> None:
        """Sync and close the segment. Raises OSError."""
        segment = self.segment
        self.segment = None
        if segment is not None:
            segment.close()

    def _record(self, record: Record) -> None:
        """Add a record to the pending ones, unless there is no folder."""
        if self.folder is not None:
            self._pending.append(record)

    def _write_pending(self, segment: SegmentFile) -> None:
        """Write the pending records, if there are any. Raises OSError."""
        if not self._pending:
            return
        self._write(segment, self._pending)
        published = self._published_versions[self.newest_number]
        for record in self._pending:
            if isinstance(record, PublishedRecord):
                published[record.name] = Version(record.epoch, record.serial)
        self._pending = []

    def _write(self, segment: SegmentFile, records: list[Record]) -> None:
        """Write the records as one frame. Raises OSError."""
        segment.write_records(records)
        self.segment_sizes[self.newest_number] = segment.size

    def _handle_write_failure(self, now: float, error: OSError) -> None:
        """Close the segment and schedule a retry: a new segment with a snapshot of the state."""
        reason = error.strerror or str(error)
        if self.failure is None:
            self._log_event("table log write failed", why=reason)
        self.failure = reason
        self._retry_at = now + self.retry_interval
        self._drop_pending()
        with contextlib.suppress(OSError):  # `failure` already has the reason
            self.close()

    def _drop_pending(self) -> None:
        """Drop the pending records, whose result is part of the next segment's snapshot."""
        self.lost_versions += sum(isinstance(record, PublishedRecord) for record in self._pending)
        self._pending = []

    def _start_segment(self, folder: Path) -> SegmentFile:
        """Start a new segment with a snapshot of the newest state. Raises OSError."""
        folder.mkdir(parents=True, exist_ok=True)
        number = self.newest_number + 1
        segment = self.segment = SegmentFile(_segment_path(folder, number))
        self.newest_number = number
        self.segment_sizes[number] = 0
        self._published_versions[number] = {}
        segment.write_header_line()
        self._drop_pending()
        for records in self._snapshot():
            self._write(segment, records)
        if self.failure is not None:
            self._log_event("table log writable again", lost=self.lost_versions)
            self.failure = None
        return segment

    def _snapshot(self) -> Iterator[list[Record]]:
        """Yield the records of each frame: the states of proxies, then notes and disconnections."""
        histories = list(self.store.histories.items())
        for start in range(0, len(histories), SNAPSHOTS_PER_FRAME):
            yield [
                SnapshotRecord(name, *history.newest_version, history.items)
                for name, history in histories[start : start + SNAPSHOTS_PER_FRAME]
            ]
        yield [
            *(NoteRecord(key, value) for key, value in sorted(self.notes.items())),
            *(RemovedRecord(name) for name in self.store.disconnected),
        ]

    def _prune(self, folder: Path) -> None:
        """Remove the oldest segments, as long as they have no version that is in the store.

        If the segments exceed `disk_bytes_max`, the store first drops the versions of the
        oldest segment.
        """
        while len(self.segment_sizes) > 1:
            oldest = min(self.segment_sizes)
            if sum(self.segment_sizes.values()) > self.disk_bytes_max:
                for name, version in self._published_versions[oldest].items():
                    self.store.drop_up_to(name, version)
            if oldest == self.newest_number or self._is_needed(oldest):
                return
            try:
                _segment_path(folder, oldest).unlink()
            except OSError as error:
                self._log_event("old table log segment not removed", why=error.strerror)
                return
            del self.segment_sizes[oldest]
            del self._published_versions[oldest]

    def _is_needed(self, number: int) -> bool:
        """Return whether the store has versions of this segment or of older segments."""
        return any(
            self.store.has_entry_up_to(name, version)
            for name, version in self._published_versions[number].items()
        )


def _segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment's file."""
    return folder / f"{number:08d}.log"


def _discard_event(event: str, /, **fields: object) -> None:
    """Ignore an event: the default logger."""
