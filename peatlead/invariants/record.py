"""Recordings of the traffic of stand-ins: one row per event, msgpack in a zstandard stream.

A file is a sequence of rows `[kind, at, *fields]`, each preceded by its length; `ROWS` names the
fields. Times are in seconds on the machine's monotonic clock, so that rows of several processes can
be compared. The file of a killed writer can end with an incomplete row; the reader returns the
complete rows and counts the remaining bytes. The names of kinds and fields are part of the file
format: `steward` is a controller, `agent` a proxy, `host` an endpoint, `req` a request.
"""

import struct
from pathlib import Path
from typing import Any, NamedTuple, Union

import msgspec
import zstandard

ROWS = {
    # A resolver's query: `rcode` as text, "none" if no controller answered in time; `took` seconds.
    "answer": ("view", "resolver", "steward", "rcode", "addresses", "lifetime", "took"),
    # A client's attempt at a request: `sent` is False if no byte of the request was sent.
    "try": ("req", "kind", "view", "resolver", "habit", "address", "number", "outcome", "sent"),
    # A request that ended at `at`; `due` is the time at which it was due to start.
    "req": ("req", "kind", "view", "resolver", "habit", "outcome", "due", "tries", "gain"),
    # At an endpoint: a request took effect; `repeat` is the repeat semantics of its class.
    "effect": ("host", "req", "kind", "repeat"),
    # At a cold endpoint started at `since`: the offered load as a fraction of the overload limit.
    "cold": ("host", "part", "since"),
    # At a cold endpoint: it is overloaded.
    "tipped": ("host", "since"),
    # A new endpoint list: {name: [address, phase, started]}; `told` is False for an incorrect one.
    "list": ("version", "hosts", "told"),
    # From a controller's feed: a message left the channel; `waiting` is the queue and `most` its
    # limit, both in entries; `held` is the number of entries that the view then has, by service.
    "message": ("steward", "view", "lines", "waiting", "most", "held"),
    # A fault that the scenario injected, and its targets.
    "trouble": ("name", "whom", "until"),
    # A controller was started, killed, frozen, woken or told to drain.
    "steward": ("steward", "what"),
    # At a proxy: its stream to a controller started ("joined") or ended ("lost").
    "stream": ("agent", "steward", "what"),
    # At a proxy: an assignment arrived; `done` is "applied", "old" (ignored) or "refused"; `least`
    # is the number of entries in the proxy's shortest table after it.
    "order": ("agent", "steward", "epoch", "serial", "done", "least"),
    # At a proxy that applied a delta: the digest of its table, whether the table matches the
    # digest, and the addresses in its tables.
    "held": ("agent", "steward", "epoch", "serial", "digest", "sound", "addresses"),
    # At a controller, at the end of the day: the last version published to a proxy, its digest, and
    # its age in seconds.
    "published": ("steward", "agent", "epoch", "serial", "digest", "age"),
    # An operator pinned or resumed a table; `what` is "pinned" or "resumed".
    "pin": ("steward", "pin", "what"),
}


ROW_LENGTH = struct.Struct(">I")  # of a row in bytes, before each row
COMPRESSION_LEVEL = 3  # zstandard level


class Row(NamedTuple):
    """One event, whose fields can also be read as attributes.

    Attributes of the tuple hide fields of the same name: `row.kind` is the kind of the row.
    """

    kind: str
    at: float  # seconds on the machine's monotonic clock
    fields: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        try:
            return self.fields[name]
        except KeyError:
            raise AttributeError(name) from None


class Recorder:
    """Writes rows to a file."""

    def __init__(self, path: Union[str, Path]) -> None:
        self.file = open(path, "wb")  # noqa: SIM115 (closed by `close`)
        self.compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).stream_writer(self.file)
        self.encode = msgspec.msgpack.Encoder().encode
        self.rows = 0

    def write_row(self, kind: str, at: float, *fields: Any) -> None:
        """Write a row. Raises ValueError if the number of fields is not that of the kind."""
        if len(fields) != len(ROWS[kind]):
            raise ValueError(f"a row {kind} has {len(ROWS[kind])} fields, got {len(fields)}")
        data = self.encode((kind, at, *fields))
        self.compressor.write(ROW_LENGTH.pack(len(data)) + data)
        self.rows += 1

    def flush(self) -> None:
        """Write buffered rows to the file, so that a reader finds all rows up to now."""
        self.compressor.flush(zstandard.FLUSH_BLOCK)
        self.file.flush()

    def close(self) -> None:
        """Finish the compressed stream and close the file."""
        self.compressor.close()
        if not self.file.closed:
            self.file.close()


class Recording(NamedTuple):
    """Rows of one or more files."""

    rows: list[Row]
    torn_bytes: int  # incomplete rows at the end of files


def read_file(path: Union[str, Path]) -> tuple[list[Row], int]:
    """Return the complete rows of a file and the number of bytes after them."""
    data = decompress(path)
    rows = []
    position = 0
    while len(data) - position >= ROW_LENGTH.size:
        start = position + ROW_LENGTH.size
        (size,) = ROW_LENGTH.unpack_from(data, position)
        if len(data) - start < size:
            break
        kind, at, *fields = msgspec.msgpack.decode(data[start : start + size])
        rows.append(Row(kind, at, dict(zip(ROWS[kind], fields))))
        position = start + size
    return rows, len(data) - position


def decompress(path: Union[str, Path]) -> bytearray:
    """Return a file's content up to the first damage, such as the end left by a killed writer."""
    data = bytearray()
    with open(path, "rb") as file:
        try:
            for part in zstandard.ZstdDecompressor().read_to_iter(file):
                data += part
        except zstandard.ZstdError:
            pass
    return data


def read_folder(folder: Union[str, Path]) -> Recording:
    """Return the rows of all `*.rec` files in a folder, ordered by time."""
    rows: list[Row] = []
    torn_bytes = 0
    for path in sorted(Path(folder).glob("*.rec")):
        file_rows, leftover = read_file(path)
        rows += file_rows
        torn_bytes += leftover
    rows.sort(key=lambda row: row.at)
    return Recording(rows, torn_bytes)
