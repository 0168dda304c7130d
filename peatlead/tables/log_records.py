"""The records of the tables' log, and their framing. Pure: bytes in, records out.

A segment is a line `peatlead-tables FORMAT`, then frames: 4 bytes of length, 8 bytes of hash, and that many bytes
of one zstandard stream (flushed at each frame), which holds msgpack lists of records. A frame's hash covers the
frame before it too: none can be lost, doubled, or moved here from elsewhere unseen. What does not check out ends
the segment: a reader takes all before it and says where and why.

Each segment begins with a snapshot of every proxy, so that it can be read with no other; those before it hold the
way back.
"""

import struct
from typing import NamedTuple, Optional, Union

import msgspec
import zstandard
from blake3 import blake3

FORMAT = 1
HEAD = b"peatlead-tables %d\n"
FRAME = struct.Struct(">I8s")
FRAME_MOST = 16 << 20  # bytes: a longer one is a length that was flipped
INFLATED_MOST = 256 << 20


class PublishedRecord(msgspec.Struct, array_like=True, tag="p"):
    """One version; `moved`: {key: value, or None where it went}."""

    name: str
    epoch: int
    serial: int
    at: float
    causes: list[str]
    moved: dict[str, Union[int, str, None]]


class SnapshotRecord(msgspec.Struct, array_like=True, tag="w"):
    """A proxy's newest state, at the start of a segment."""

    name: str
    epoch: int
    serial: int
    items: dict[str, Union[int, str]]


class RemovedRecord(msgspec.Struct, array_like=True, tag="g"):
    name: str


class NoteRecord(msgspec.Struct, array_like=True, tag="n"):
    """Anything small that must outlive a restart, by a key: the newest counts. `value` None: no more."""

    key: str
    value: Optional[bytes]


RECORDS = msgspec.msgpack.Decoder(
    list[Union[PublishedRecord, SnapshotRecord, RemovedRecord, NoteRecord]]
)
ENCODER = msgspec.msgpack.Encoder()


class RecordFramer:
    """Records to bytes, one segment."""

    def __init__(self):
        self.zip, self.chain = zstandard.ZstdCompressor(level=3).compressobj(), b""

    def head(self):
        return HEAD % FORMAT

    def frame(self, records):
        body = self.zip.compress(ENCODER.encode(records)) + self.zip.flush(
            zstandard.COMPRESSOBJ_FLUSH_BLOCK
        )
        self.chain = blake3(self.chain + body).digest(8)
        return FRAME.pack(len(body), self.chain) + body


class Segment(NamedTuple):
    """`sound`: bytes up to the end of the last frame that checks out; `why`: what ended it, or ""."""

    records: list
    sound: int
    why: str


def read_segment(data):
    """A Segment of a file's bytes, whatever they are."""
    end = data.find(b"\n", 0, 64)
    head = data[: end + 1]
    if head != HEAD % FORMAT:
        words = head.split()
        if len(words) == 2 and words[0] == b"peatlead-tables" and words[1].isdigit():
            return Segment([], 0, f"format {int(words[1])}: expected {FORMAT}")
        return Segment([], 0, "not a log of tables")
    unzip, chain, records, at = zstandard.ZstdDecompressor().decompressobj(), b"", [], len(head)
    inflated = 0
    while at < len(data):
        if len(data) - at < FRAME.size:
            return Segment(records, at, f"torn in a frame's head at byte {at}")
        size, told = FRAME.unpack_from(data, at)
        body = data[at + FRAME.size : at + FRAME.size + size]
        if size > FRAME_MOST:
            return Segment(
                records,
                at,
                f"a frame of {size} bytes at byte {at}: the length is not to be believed",
            )
        if len(body) < size:
            return Segment(
                records, at, f"torn in a frame at byte {at}: {len(body)} of {size} bytes"
            )
        chain = blake3(chain + body).digest(8)
        if chain != told:
            return Segment(
                records, at, f"the checksum does not fit at byte {at}: changed, or out of its place"
            )
        try:
            plain = unzip.decompress(body)
            inflated += len(plain)
            if inflated > INFLATED_MOST:
                return Segment(records, at, f"over {INFLATED_MOST} bytes unpacked at byte {at}")
            records += RECORDS.decode(plain)
        except (zstandard.ZstdError, msgspec.MsgspecError) as problem:
            return Segment(records, at, f"a frame that cannot be read at byte {at}: {problem}")
        at += FRAME.size + size
    return Segment(records, at, "")
