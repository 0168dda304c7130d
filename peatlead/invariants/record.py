"""Recordings of what stand-ins sent and got: one row an event, msgpack in a zstandard stream.

A file is a stream of rows `[kind, at, *fields]`; `ROWS` names the fields. Times are the machine's
one monotonic clock, so rows of several processes can be laid side by side. A killed writer leaves a
torn tail: the reader takes what is whole and counts the rest. Kinds and fields are the stored form
and keep their names: `steward` is a controller, `agent` a proxy, `host` an endpoint, `req` a
request.
"""

import struct
from pathlib import Path
from typing import Any, NamedTuple, Union

import msgspec
import zstandard

ROWS = {
    # An answer to a resolver: `rcode` as a text; "none" where no controller answered in time.
    "answer": ("view", "resolver", "steward", "rcode", "addresses", "lifetime", "took"),
    # An attempt as the client made it: `sent` False where no byte of the request left.
    "try": ("req", "kind", "view", "resolver", "habit", "address", "number", "outcome", "sent"),
    # A request at its end: `at` is the end, `due` when it should have begun.
    "req": ("req", "kind", "view", "resolver", "habit", "outcome", "due", "tries", "gain"),
    # At an endpoint: a request that took effect; `repeat` is its class's repeat semantics.
    "effect": ("host", "req", "kind", "repeat"),
    # At an endpoint: work offered to it while cold, as a part of what overloads it.
    "cold": ("host", "part", "since"),
    "tipped": ("host", "since"),
    # The endpoint list from then on: {name: [address, phase, started]}.
    "list": ("version", "hosts", "told"),
    # From a controller's feed: one message that left its channel; `held`: entries that the view
    # then holds, by service.
    "message": ("steward", "view", "lines", "waiting", "most", "held"),
    # A fault that the scenario made, and to whom.
    "trouble": ("name", "whom", "until"),
    "steward": ("steward", "what"),
    # At a proxy: its stream to a controller began ("joined") or ended ("lost").
    "stream": ("agent", "steward", "what"),
    # At a proxy: an assignment that came; `done`: "applied", "old" (not acted on) or "refused";
    # `least`: the fewest entries of any request class that it then held.
    "order": ("agent", "steward", "epoch", "serial", "done", "least"),
    # At a proxy that checks deltas: the digest of what it then held, whether its memory still fits
    # that, the addresses.
    "held": ("agent", "steward", "epoch", "serial", "digest", "sound", "addresses"),
    # At a controller, at the end: the digest of what a proxy was last published.
    "published": ("steward", "agent", "epoch", "serial", "digest", "age"),
    # An operator's pin: "pinned" or "resumed".
    "pin": ("steward", "pin", "what"),
}


LENGTH = struct.Struct(">I")  # before each row
COMPRESSION = 3  # zstandard's level


class Row(NamedTuple):
    """One event; its fields are attributes too, but for those that the tuple's own names hide."""

    kind: str
    at: float  # seconds on the machine's monotonic clock
    fields: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        try:
            return self.fields[name]
        except KeyError:
            raise AttributeError(name) from None


class Recorder:
    """Writes rows; `flush` makes all so far readable."""

    def __init__(self, path: Union[str, Path]) -> None:
        self.file = open(path, "wb")  # noqa: SIM115 (closed by `close`)
        self.compressor = zstandard.ZstdCompressor(level=COMPRESSION).stream_writer(self.file)
        self.encode = msgspec.msgpack.Encoder().encode
        self.rows = 0

    def row(self, kind: str, at: float, *fields: Any) -> None:
        """Write a row. Raises ValueError where the number of fields is wrong."""
        if len(fields) != len(ROWS[kind]):
            raise ValueError(f"a row {kind} has {len(ROWS[kind])} fields, got {len(fields)}")
        data = self.encode((kind, at, *fields))
        self.compressor.write(LENGTH.pack(len(data)) + data)
        self.rows += 1

    def flush(self) -> None:
        """Make all rows so far readable."""
        self.compressor.flush(zstandard.FLUSH_BLOCK)
        self.file.flush()

    def close(self) -> None:
        """End the file."""
        self.compressor.close()
        if not self.file.closed:
            self.file.close()


class Recording(NamedTuple):
    """Rows of one or more files."""

    rows: list[Row]
    torn_bytes: int  # bytes at the end of files that held no whole row


def read_file(path: Union[str, Path]) -> tuple[list[Row], int]:
    """The whole rows of a file, and the bytes left over."""
    data = decompress(path)
    rows = []
    position = 0
    while len(data) - position >= LENGTH.size:
        start = position + LENGTH.size
        (size,) = LENGTH.unpack_from(data, position)
        if len(data) - start < size:
            break
        kind, at, *fields = msgspec.msgpack.decode(data[start : start + size])
        rows.append(Row(kind, at, dict(zip(ROWS[kind], fields))))
        position = start + size
    return rows, len(data) - position


def decompress(path: Union[str, Path]) -> bytearray:
    """A file's content, as far as it is whole: its writer may have been killed."""
    data = bytearray()
    with open(path, "rb") as file:
        try:
            for part in zstandard.ZstdDecompressor().read_to_iter(file):
                data += part
        except zstandard.ZstdError:
            pass
    return data


def read_folder(folder: Union[str, Path]) -> Recording:
    """All rows of a folder's *.rec files, by time."""
    rows: list[Row] = []
    torn_bytes = 0
    for path in sorted(Path(folder).glob("*.rec")):
        found, left = read_file(path)
        rows += found
        torn_bytes += left
    rows.sort(key=lambda row: row.at)
    return Recording(rows, torn_bytes)
