"""The record: what the stand-ins sent and got, one row an event, as msgpack in a zstandard stream.

A file is a stream of rows `[kind, at, *fields]`; `ROWS` names the fields. Times are the machine's one
monotonic clock, so rows of several processes can be laid side by side. A killed writer leaves a torn
tail: the reader takes what is whole and counts the rest.
"""

import struct
from pathlib import Path
from typing import NamedTuple

import msgspec
import zstandard

ROWS = {
    # What a resolver was told: `rcode` as a text; "none" where no steward answered in time.
    "answer": ("view", "resolver", "steward", "rcode", "addresses", "lifetime", "took"),
    # A try as the desk made it: `sent` False where no byte of the req left.
    "try": ("req", "kind", "view", "resolver", "habit", "address", "number", "outcome", "sent"),
    # A req at its end: `at` is the end, `due` when it should have begun; outcome of the last try.
    "req": ("req", "kind", "view", "resolver", "habit", "outcome", "due", "tries", "gain"),
    # At a host: a req that took effect; `repeat` is its kind's repeat class.
    "effect": ("host", "req", "kind", "repeat"),
    # At a host: work offered to it while cold, as a part of what tips it.
    "cold": ("host", "part", "since"),
    "tipped": ("host", "since"),
    # What the node list said from then on: {name: [address, phase, started]}.
    "list": ("version", "hosts", "told"),
    # From a steward's feed: one message that left its channel; `held`: lines that the view then holds, a service.
    "message": ("steward", "view", "lines", "waiting", "most", "held"),
    # What the day did to whom.
    "trouble": ("name", "whom", "until"),
    "steward": ("steward", "what"),
    # At an agent: its stream to a controller began ("joined") or ended ("lost").
    "stream": ("agent", "steward", "what"),
    # At an agent: an order that came; `done`: "applied", "old" (not acted on) or "refused"; `least`: the fewest
    # lines of any request kind that it then held.
    "order": ("agent", "steward", "epoch", "serial", "done", "least"),
    # At an agent that checks deltas: what it then held, by digest; whether its memory still fits that; the addresses.
    "held": ("agent", "steward", "epoch", "serial", "digest", "sound", "addresses"),
    # At a steward, by its control: what a proxy was last published, by digest; told at a day's end.
    "published": ("steward", "agent", "epoch", "serial", "digest", "age"),
    # An operator's pin: "pinned" or "resumed".
    "pin": ("steward", "pin", "what"),
}


class Row(NamedTuple):
    kind: str
    at: float
    fields: dict

    def __getattr__(self, name):
        try:
            return self.fields[name]
        except KeyError:
            raise AttributeError(name) from None


class Recorder:
    """Writes rows; `flush` makes all so far readable."""

    def __init__(self, path):
        self.file = open(path, "wb")
        self.zip = zstandard.ZstdCompressor(level=3).stream_writer(self.file)
        self.encode, self.rows = msgspec.msgpack.Encoder().encode, 0

    def row(self, kind, at, *fields):
        if len(fields) != len(ROWS[kind]):
            raise ValueError(f"a row {kind} has {len(ROWS[kind])} fields, got {len(fields)}")
        data = self.encode((kind, at, *fields))
        self.zip.write(struct.pack(">I", len(data)) + data)
        self.rows += 1

    def flush(self):
        self.zip.flush(zstandard.FLUSH_BLOCK)
        self.file.flush()

    def close(self):
        self.zip.close()
        if not self.file.closed:
            self.file.close()


class Read(NamedTuple):
    rows: list
    torn: int  # bytes at the end of files that held no whole row


def read_file(path):
    """(rows, bytes left over)."""
    held, rows, at = bytearray(), [], 0
    try:
        with open(path, "rb") as file:
            for part in zstandard.ZstdDecompressor().read_to_iter(file):
                held += part
    except zstandard.ZstdError:
        pass  # killed while it wrote: what was whole stands
    decode = msgspec.msgpack.decode
    while len(held) - at >= 4:
        size = int.from_bytes(held[at : at + 4], "big")
        if len(held) - at - 4 < size:
            break
        kind, when, *fields = decode(held[at + 4 : at + 4 + size])
        rows.append(Row(kind, when, dict(zip(ROWS[kind], fields))))
        at += 4 + size
    return rows, len(held) - at


def read_folder(folder):
    """All rows of a folder's *.rec files, by time."""
    rows, torn = [], 0
    for path in sorted(Path(folder).glob("*.rec")):
        found, left = read_file(path)
        rows += found
        torn += left
    rows.sort(key=lambda row: row.at)
    return Read(rows, torn)
