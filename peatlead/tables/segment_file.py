"""The file of one segment of the table log, open for writing."""

import os
from collections.abc import Sequence
from pathlib import Path

from .log_records import Record, RecordFramer


class SegmentFile:
    """The file of a new segment, which must not exist yet. All methods may raise OSError."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("xb", buffering=0)
        self.size = 0  # in bytes
        self.unsynced = False  # whether there are writes since the last sync
        self._framer = RecordFramer()

    def write_header_line(self) -> None:
        """Write the first line of the segment."""
        self._write_all(self._framer.header_line())

    def write_records(self, records: Sequence[Record]) -> None:
        """Write the records as one frame."""
        self._write_all(self._framer.frame(records))

    def sync(self) -> None:
        """Flush all writes to the disk (fsync)."""
        os.fsync(self.file.fileno())
        self.unsynced = False

    def close(self) -> None:
        """Sync and close the file. The file is closed even if the sync fails."""
        try:
            self.sync()
        finally:
            self.file.close()

    def _write_all(self, data: bytes) -> None:
        """Write all data. An error may leave an incomplete frame, which readers ignore."""
        remaining = memoryview(data)
        while remaining:
            written = self.file.write(remaining)
            remaining = remaining[written:]
        self.size += len(data)
        self.unsynced = True
