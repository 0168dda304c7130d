"""The file of one log segment, open for appending."""

import os
from collections.abc import Sequence
from pathlib import Path

from .log_records import Record, RecordFramer


class SegmentFile:
    """A new segment's file. All methods raise OSError."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("xb", buffering=0)
        self.size = 0  # bytes written
        self.unsynced = False  # whether bytes were written since the last sync
        self._framer = RecordFramer()

    def write_head(self) -> None:
        """Write the segment's first line."""
        self._write_all(self._framer.head())

    def write_records(self, records: Sequence[Record]) -> None:
        """Write one frame of records."""
        self._write_all(self._framer.frame(records))

    def sync(self) -> None:
        """Wait until all that was written is on the disk."""
        os.fsync(self.file.fileno())
        self.unsynced = False

    def close(self) -> None:
        """Sync and close; the file is closed even where the sync fails."""
        try:
            self.sync()
        finally:
            self.file.close()

    def _write_all(self, data: bytes) -> None:
        """Write all of it. An error midway leaves a torn end, which reading cuts off."""
        remaining = memoryview(data)
        while remaining:
            written = self.file.write(remaining)
            remaining = remaining[written:]
        self.size += len(data)
        self.unsynced = True
