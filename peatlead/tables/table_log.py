"""The tables' log on disk: segments in a folder, written at their ends, read warily.

A process that is killed loses nothing that was written; a machine that dies loses at most what was written since
the last sync (`sync_every`). A file is never written on after a start: what a crash left at its end is cut off by
reading, reported, and a new segment begun with all that is known. Where the disk is full or read-only the log says
so and tries anew every `again` seconds; publishing goes on, and versions say that they are not kept.
"""

import os
from pathlib import Path

from .log_records import (
    NoteRecord,
    PublishedRecord,
    RecordFramer,
    RemovedRecord,
    SnapshotRecord,
    read_segment,
)
from .version import Version, changes

SEGMENT_MOST = 2 << 20  # bytes
SNAPSHOT_PART = 200  # proxies a frame


class TableLog:
    """`folder` None keeps nothing. `store`: a Store, filled by `recall()`; `noted`: {key: bytes}."""

    def __init__(self, folder, store, log, sync_every=1.0, again=5.0, disk_most=64 << 20):
        self.folder, self.store, self.log = folder and Path(folder), store, log
        self.sync_every, self.again, self.disk_most = sync_every, again, disk_most
        self.noted, self.waiting, self.file, self.framer = {}, [], None, None
        self.number, self.written, self.synced_at, self.unsynced = 0, 0, 0.0, False
        self.segments, self.contents = (
            {},
            {},
        )  # number -> bytes; number -> {name: newest version in it}
        self.broken, self.retry_at, self.lost = None if folder else "no folder is set", 0.0, 0

    # Reading.

    def recall(self):
        """Reads all segments, oldest first. Returns [(file, what was wrong)]."""
        wrong = []
        if self.folder is None:
            return wrong
        try:
            files = sorted(self.folder.glob("*.log"))
        except OSError as problem:
            return [(str(self.folder), str(problem))]
        for path in files:
            if not path.stem.isdigit():
                continue
            try:
                segment = read_segment(path.read_bytes())
            except OSError as problem:
                wrong.append((path.name, str(problem)))
                continue
            number = int(path.stem)
            self.number = max(self.number, number)
            if segment.why:
                wrong.append((path.name, segment.why))
            if not segment.sound:
                continue  # not ours, or another release's: left where it is
            self.segments[number], self.contents[number] = segment.sound, {}
            for record in segment.records:
                problem = self.take(record, number)
                if problem:
                    wrong.append((path.name, problem))
        return wrong

    def take(self, record, number):
        """One record of a sound frame; says what could not be joined to what came before."""
        store = self.store
        if type(record) is NoteRecord:
            if record.value is None:
                self.noted.pop(record.key, None)
            else:
                self.noted[record.key] = record.value
            return None
        if type(record) is RemovedRecord:
            store.left(record.name)
            return None
        version = Version(record.epoch, record.serial)
        history = store.history(record.name)
        if type(record) is SnapshotRecord:
            return self.take_whole(record, history, version)
        self.contents[number][record.name] = version
        if version <= history.last:
            return f"{record.name}: {version} after {history.last}"
        store.commit(record.name, version, record.at, record.causes, record.moved)
        return None

    def take_whole(self, record, history, version):
        """Where versions before a snapshot were not kept, one that sums them up bridges the gap."""
        if history.last == version:
            return (
                None if history.items == record.items else f"{record.name}: two states of {version}"
            )
        if version < history.last:
            return f"{record.name}: a state of {version} after {history.last}"
        if not history.last.epoch:
            self.store.restart(record.name, version, record.items)
            return None
        at = history.entries[-1].at if history.entries else 0.0
        self.store.commit(
            record.name,
            version,
            at,
            ("what led to it was not kept",),
            changes(history.items, record.items),
        )
        return f"{record.name}: what led to {version} was not kept"

    # Writing.

    def publish(self, name, entry):
        if self.folder is not None:
            self.waiting.append(
                PublishedRecord(
                    name,
                    *entry.version,
                    entry.at,
                    list(entry.causes),
                    {key: new for key, _, new in entry.moved},
                )
            )

    def left(self, name):
        if self.folder is not None:
            self.waiting.append(RemovedRecord(name))

    def note(self, key, value):
        if self.noted.get(key) != value:
            if value is None:
                self.noted.pop(key, None)
            else:
                self.noted[key] = value
            if self.folder is not None:
                self.waiting.append(NoteRecord(key, value))

    def start(self, now):
        """After `recall()`, before anything is published: a new segment. What fails is told as by `flush`."""
        if self.folder is not None:
            try:
                self.begin()
                self.prune()
            except OSError as problem:
                self.fail(now, problem)

    def flush(self, now):
        """Writes what waits. Called at every step of the steward: never waits, but for the disk itself."""
        if self.folder is None:
            return
        if self.broken is not None and now < self.retry_at:
            self.lose()
            return
        try:
            if self.file is None:
                self.begin()
            if self.waiting:
                self.write(self.waiting)
                for record in self.waiting:
                    if type(record) is PublishedRecord:
                        self.contents[self.number][record.name] = Version(
                            record.epoch, record.serial
                        )
                self.waiting = []
            if self.unsynced and now - self.synced_at >= self.sync_every:
                os.fsync(self.file.fileno())
                self.synced_at, self.unsynced = now, False
            if self.segments[self.number] > SEGMENT_MOST:
                self.close()
                self.begin()  # now, while nothing waits: the snapshot would swallow what does
                self.prune()
        except OSError as problem:
            self.fail(now, problem)

    def fail(self, now, problem):
        """What is in memory stays; it is written whole once the disk takes it again."""
        if self.broken is None:
            self.log("tables are not kept", why=problem.strerror or str(problem))
        self.broken, self.retry_at = problem.strerror or str(problem), now + self.again
        self.lose()
        try:
            self.close()
        except OSError:
            self.file = None

    def lose(self):
        """Not kept one by one any more: the snapshot that begins a segment has their sum."""
        self.lost += sum(type(one) is PublishedRecord for one in self.waiting)
        self.waiting = []

    def begin(self):
        """A new segment: what is in reach of the newest state, whole."""
        self.folder.mkdir(parents=True, exist_ok=True)
        number = self.number + 1
        path = self.folder / f"{number:08d}.log"
        self.framer = RecordFramer()
        self.file = open(path, "xb", buffering=0)
        self.number, self.segments[number], self.contents[number] = number, 0, {}
        self.put(self.framer.head())
        self.lose()
        names = list(self.store.histories)
        for at in range(0, len(names), SNAPSHOT_PART):
            self.write(
                [
                    SnapshotRecord(
                        name, *self.store.histories[name].last, self.store.histories[name].items
                    )
                    for name in names[at : at + SNAPSHOT_PART]
                ]
            )
        self.write(
            [
                *(NoteRecord(key, value) for key, value in sorted(self.noted.items())),
                *(RemovedRecord(name) for name in self.store.gone),
            ]
        )
        if self.broken is not None:
            self.log("tables are kept again", lost=self.lost)
            self.broken = None

    def write(self, records):
        self.put(self.framer.frame(records))

    def put(self, data):
        """All of it, or OSError: a short write leaves a torn end, which the reader cuts."""
        view = memoryview(data)
        while view:
            done = self.file.write(view)
            view = view[done:]
        self.segments[self.number] += len(data)
        self.written += len(data)
        self.unsynced = True

    def close(self):
        if self.file is not None:
            file, self.file = self.file, None
            try:
                os.fsync(file.fileno())
                self.unsynced = False
            finally:
                file.close()

    def prune(self):
        """Oldest first, those that no version in reach needs; where the disk's bound is passed, versions go first."""
        while len(self.segments) > 1:
            oldest = min(self.segments)
            over = sum(self.segments.values()) > self.disk_most
            if over:
                for name, version in self.contents[oldest].items():
                    self.store.drop_up_to(name, version)
            needed = any(
                self.store.reaches(name, version) for name, version in self.contents[oldest].items()
            )
            if needed or oldest == self.number:
                return
            try:
                (self.folder / f"{oldest:08d}.log").unlink()
            except OSError as problem:
                self.log("old tables not removed", why=problem.strerror)
                return
            del self.segments[oldest], self.contents[oldest]
