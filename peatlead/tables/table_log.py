"""The tables' log on disk: numbered segments in a folder, read back after a restart.

A process that is killed loses nothing that was written; a machine that fails loses at most what
was written since the last sync (`sync_interval` seconds). A file is never appended to after a
restart: reading cuts off and reports what a crash left at its end, and a new segment begins with a
snapshot of all that is known. Where the disk is full or read-only the log reports it and retries
every `retry_interval` seconds; publishing goes on, and versions of that time are counted in
`lost_versions`.
"""

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import Optional, Protocol, Union

from .history import Store
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

SEGMENT_BYTES_MAX = 2 << 20  # past this size a new segment begins
SNAPSHOTS_PER_FRAME = 200  # proxies
NO_FOLDER = "no folder is set"


class EventLogger(Protocol):
    """Where operators' log lines go."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Log an event with its fields."""


class TableLog:
    """The log of a store's versions and of a few notes.

    The order of calls: `restore()`, `start()`, then `record_version()`, `record_disconnect()` and
    `record_note()` with a `flush()` at every step, and `close()`. Without a folder nothing is
    stored.
    """

    def __init__(
        self,
        folder: Union[str, Path, None],
        store: Store,
        log: Optional[EventLogger],
        sync_interval: float = 1.0,
        retry_interval: float = 5.0,
        disk_bytes_max: int = 64 << 20,
    ) -> None:
        self.folder = Path(folder) if folder else None
        self.store = store
        self.sync_interval = sync_interval  # seconds between syncs
        self.retry_interval = retry_interval  # seconds between attempts after a failure
        self.disk_bytes_max = disk_bytes_max  # bytes of all segments together
        self.notes: dict[str, bytes] = {}  # notes that survive restarts
        self.segment: Optional[SegmentFile] = None
        self.number = 0  # of the newest segment
        self.segment_sizes: dict[int, int] = {}  # number -> bytes
        self.failure = None if folder else NO_FOLDER  # why nothing is stored now
        self.lost_versions = 0  # versions that were not stored one by one
        self._log_event = log or _discard_event
        self._waiting: list[Record] = []  # not yet written
        self._published: dict[int, dict[str, Version]] = {}  # number -> newest versions in it
        self._synced_at = 0.0
        self._retry_at = 0.0

    def restore(self) -> list[ReadProblem]:
        """Read all segments into the store and the notes; return what was wrong in them."""
        if self.folder is None:
            return []
        reader = LogReader(self.folder, self.store, self.notes)
        reader.read()
        self.number = reader.newest
        self.segment_sizes = reader.sizes
        self._published = reader.published
        return reader.problems

    def record_version(self, name: str, entry: HistoryEntry) -> None:
        """Record a version that was committed to the store."""
        if self.folder is None:
            return
        changed: ItemChanges = {key: after for key, _, after in entry.item_changes}
        self._record(
            PublishedRecord(name, *entry.version, entry.published_at, list(entry.causes), changed)
        )

    def record_disconnect(self, name: str) -> None:
        """Record that a proxy has disconnected."""
        self._record(RemovedRecord(name))

    def record_note(self, key: str, value: Optional[bytes]) -> None:
        """Record a note; None removes it."""
        if self.notes.get(key) != value:
            set_note(self.notes, key, value)
            self._record(NoteRecord(key, value))

    def start(self, now: float) -> None:
        """Begin a new segment, after `restore()` and before anything is published."""
        if self.folder is None:
            return
        try:
            self._begin_segment(self.folder)
            self._prune(self.folder)
        except OSError as error:
            self._fail(now, error)

    def flush(self, now: float) -> None:
        """Write what waits. Called at every step of the controller; waits for the disk alone."""
        if self.folder is None:
            return
        if self.failure is not None and now < self._retry_at:
            self._drop_waiting()
            return
        try:
            segment = self.segment or self._begin_segment(self.folder)
            self._write_waiting(segment)
            if segment.unsynced and now - self._synced_at >= self.sync_interval:
                segment.sync()
                self._synced_at = now
            if segment.size > SEGMENT_BYTES_MAX:
                self.close()
                # Now, while nothing waits: the snapshot would replace the single versions.
                self._begin_segment(self.folder)
                self._prune(self.folder)
        except OSError as error:
            self._fail(now, error)

    def close(self) -> None:
        """Sync and close the segment. Raises OSError."""
        segment = self.segment
        self.segment = None
        if segment is not None:
            segment.close()

    def _record(self, record: Record) -> None:
        if self.folder is not None:
            self._waiting.append(record)

    def _write_waiting(self, segment: SegmentFile) -> None:
        if not self._waiting:
            return
        self._write(segment, self._waiting)
        published = self._published[self.number]
        for record in self._waiting:
            if isinstance(record, PublishedRecord):
                published[record.name] = Version(record.epoch, record.serial)
        self._waiting = []

    def _write(self, segment: SegmentFile, records: list[Record]) -> None:
        segment.write_records(records)
        self.segment_sizes[self.number] = segment.size

    def _fail(self, now: float, error: OSError) -> None:
        """Memory stays as it is: the next segment that can be begun has a snapshot of it."""
        reason = error.strerror or str(error)
        if self.failure is None:
            self._log_event("table log write failed", why=reason)
        self.failure = reason
        self._retry_at = now + self.retry_interval
        self._drop_waiting()
        with contextlib.suppress(OSError):  # `broken` has the reason already
            self.close()

    def _drop_waiting(self) -> None:
        """Give up single versions: the snapshot that begins the next segment has their sum."""
        self.lost_versions += sum(isinstance(record, PublishedRecord) for record in self._waiting)
        self._waiting = []

    def _begin_segment(self, folder: Path) -> SegmentFile:
        """Begin a new segment with a snapshot of the newest state."""
        folder.mkdir(parents=True, exist_ok=True)
        number = self.number + 1
        segment = self.segment = SegmentFile(_segment_path(folder, number))
        self.number = number
        self.segment_sizes[number] = 0
        self._published[number] = {}
        segment.write_head()
        self._drop_waiting()
        for records in self._snapshot():
            self._write(segment, records)
        if self.failure is not None:
            self._log_event("table log writable again", lost=self.lost_versions)
            self.failure = None
        return segment

    def _snapshot(self) -> Iterator[list[Record]]:
        """Yield the records of each frame: all states, then notes and disconnected proxies."""
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
        """Remove the oldest segments that no stored version needs.

        Past the disk bound their versions are dropped first.
        """
        while len(self.segment_sizes) > 1:
            oldest = min(self.segment_sizes)
            if sum(self.segment_sizes.values()) > self.disk_bytes_max:
                for name, version in self._published[oldest].items():
                    self.store.drop_up_to(name, version)
            if oldest == self.number or self._is_needed(oldest):
                return
            try:
                _segment_path(folder, oldest).unlink()
            except OSError as error:
                self._log_event("old table log segment not removed", why=error.strerror)
                return
            del self.segment_sizes[oldest]
            del self._published[oldest]

    def _is_needed(self, number: int) -> bool:
        """Return whether the store still has a version of a segment, or an older one."""
        return any(
            self.store.has_entry_up_to(name, version)
            for name, version in self._published[number].items()
        )


def _segment_path(folder: Path, number: int) -> Path:
    return folder / f"{number:08d}.log"


def _discard_event(event: str, /, **fields: object) -> None:
    """Log nothing."""
