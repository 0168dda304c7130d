"""Reads the segments of a table log from its folder."""

from pathlib import Path
from typing import NamedTuple

from .history import HistoryStore
from .log_records import Segment, read_segment
from .log_recovery import LogRecovery
from .version import Version


class ReadProblem(NamedTuple):
    """A problem in a file of the log."""

    file: str
    reason: str


class LogReader:
    """Reads all segments, oldest first, into a store and a map of notes."""

    def __init__(self, folder: Path, store: HistoryStore, notes: dict[str, bytes]) -> None:
        self.newest_number = 0  # of the newest segment; 0 if there is no segment
        self.segment_sizes: dict[int, int] = {}  # segment number -> intact bytes
        # Segment number -> newest version of each proxy in the segment.
        self.published_versions: dict[int, dict[str, Version]] = {}
        self.problems: list[ReadProblem] = []
        self._folder = folder
        self._recovery = LogRecovery(store, notes)

    def read(self) -> None:
        """Read all readable segments. Everything else is reported in `problems`."""
        try:
            paths = sorted(self._folder.glob("*.log"))
        except OSError as error:
            self.problems.append(ReadProblem(str(self._folder), str(error)))
            return
        for path in paths:
            if path.stem.isdecimal():
                self._read_file(path)

    def _read_file(self, path: Path) -> None:
        """Read one segment file up to its end or the first damage."""
        try:
            segment = read_segment(path.read_bytes())
        except OSError as error:
            self.problems.append(ReadProblem(path.name, str(error)))
            return
        number = int(path.stem)
        self.newest_number = max(self.newest_number, number)
        if segment.damage:
            self.problems.append(ReadProblem(path.name, segment.damage))
        if segment.intact_bytes:  # 0 for files of other formats, which are ignored
            self._apply(path.name, number, segment)

    def _apply(self, file: str, number: int, segment: Segment) -> None:
        """Apply the records of a segment to the store and the notes."""
        self.segment_sizes[number] = segment.intact_bytes
        published_versions = self.published_versions[number] = {}
        for record in segment.records:
            problem = self._recovery.apply(record, published_versions)
            if problem:
                self.problems.append(ReadProblem(file, problem))
