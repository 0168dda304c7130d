"""The records of the tables' log and their framing. Bytes in, records out; no I/O.

A segment is a line `peatlead-tables FORMAT` and then frames: 4 bytes of length (big-endian), 8
bytes of checksum and that many bytes of one zstandard stream, flushed at each frame, which holds
msgpack lists of records. A frame's checksum also covers the checksum before it, so that frames
that are missing, repeated or from another segment are detected. Reading ends at the first frame
that is not intact.

Each segment begins with a snapshot of every proxy and can be read without the others; older
segments hold the previous versions.
"""

import struct
from collections.abc import Sequence
from typing import NamedTuple, Optional, Union

import msgspec
import zstandard
from blake3 import blake3

from .errors import SegmentError

FORMAT = 1
HEAD = b"peatlead-tables %d\n"
HEAD_WORD = HEAD.split()[0]
HEAD_BYTES_MAX = 64  # a first line that is longer is none of ours
FRAME = struct.Struct(">I8s")  # length, checksum
CHECKSUM_BYTES = 8
FRAME_BYTES_MAX = 16 << 20  # a longer frame is a damaged length
INFLATED_BYTES_MAX = 256 << 20  # of a whole segment
COMPRESSION_LEVEL = 3


class PublishedRecord(msgspec.Struct, array_like=True, tag="p"):
    """One version: `changes` maps keys to new values, or to None where the item was removed."""

    name: str
    epoch: int
    serial: int
    at: float
    causes: list[str]
    changes: dict[str, Union[int, str, None]]


class SnapshotRecord(msgspec.Struct, array_like=True, tag="w"):
    """A proxy's newest state, at the start of a segment."""

    name: str
    epoch: int
    serial: int
    items: dict[str, Union[int, str]]


class RemovedRecord(msgspec.Struct, array_like=True, tag="g"):
    """A proxy that has disconnected."""

    name: str


class NoteRecord(msgspec.Struct, array_like=True, tag="n"):
    """A small value that must survive a restart: the newest of a key counts, None removes it."""

    key: str
    value: Optional[bytes]


Record = Union[PublishedRecord, SnapshotRecord, RemovedRecord, NoteRecord]
RECORDS = msgspec.msgpack.Decoder(list[Record])
ENCODER = msgspec.msgpack.Encoder()


class RecordFramer:
    """Turns the records of one segment into bytes."""

    def __init__(self) -> None:
        self._compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compressobj()
        self._checksum = b""  # of the previous frame

    def head(self) -> bytes:
        """Return the segment's first line."""
        return HEAD % FORMAT

    def frame(self, records: Sequence[Record]) -> bytes:
        """Return the next frame, which holds these records."""
        body = self._compressor.compress(ENCODER.encode(records))
        body += self._compressor.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK)
        self._checksum = blake3(self._checksum + body).digest(CHECKSUM_BYTES)
        return FRAME.pack(len(body), self._checksum) + body


class Segment(NamedTuple):
    """The intact records of a segment.

    `intact_bytes` is the end of its last intact frame; `damage` says what ended the reading, "" at
    the end of data.
    """

    records: list[Record]
    intact_bytes: int
    damage: str


def read_segment(data: bytes) -> Segment:
    """Read a segment from arbitrary bytes."""
    try:
        start = _check_head(data)
    except SegmentError as error:
        return Segment([], 0, str(error))
    reader = _FrameReader(data, start)
    records: list[Record] = []
    try:
        while reader.position < len(data):
            records += reader.read_frame()
    except SegmentError as error:
        return Segment(records, reader.position, str(error))
    return Segment(records, reader.position, "")


def _check_head(data: bytes) -> int:
    """Return where the frames begin. Raises SegmentError where the first line is not ours."""
    head = data[: data.find(b"\n", 0, HEAD_BYTES_MAX) + 1]
    if head == HEAD % FORMAT:
        return len(head)
    words = head.split()
    if len(words) == 2 and words[0] == HEAD_WORD and words[1].isdigit():
        raise SegmentError(f"format {int(words[1])}: expected {FORMAT}")
    raise SegmentError("not a log of tables")


class _FrameReader:
    """Reads frame after frame; `position` is the end of the last intact one."""

    def __init__(self, data: bytes, position: int) -> None:
        self.position = position
        self._data = data
        self._decompressor = zstandard.ZstdDecompressor().decompressobj()
        self._checksum = b""  # of the previous frame
        self._inflated = 0  # bytes so far

    def read_frame(self) -> list[Record]:
        """Return the next frame's records. Raises SegmentError where it is not intact."""
        body = self._read_body()
        records = self._decode(body)
        self.position += FRAME.size + len(body)
        return records

    def _read_body(self) -> bytes:
        at = self.position
        if len(self._data) - at < FRAME.size:
            raise SegmentError(f"torn in a frame's head at byte {at}")
        size, expected = FRAME.unpack_from(self._data, at)
        if size > FRAME_BYTES_MAX:
            frame = f"a frame of {size} bytes at byte {at}"
            raise SegmentError(f"{frame}: the length is not to be believed")
        body = self._data[at + FRAME.size : at + FRAME.size + size]
        if len(body) < size:
            raise SegmentError(f"torn in a frame at byte {at}: {len(body)} of {size} bytes")
        self._checksum = blake3(self._checksum + body).digest(CHECKSUM_BYTES)
        if self._checksum != expected:
            problem = f"the checksum does not fit at byte {at}"
            raise SegmentError(f"{problem}: changed, or out of its place")
        return body

    def _decode(self, body: bytes) -> list[Record]:
        at = self.position
        try:
            plain = self._decompressor.decompress(body)
            self._inflated += len(plain)
            if self._inflated > INFLATED_BYTES_MAX:
                raise SegmentError(f"over {INFLATED_BYTES_MAX} bytes unpacked at byte {at}")
            return RECORDS.decode(plain)
        except (zstandard.ZstdError, msgspec.MsgspecError) as error:
            raise SegmentError(f"a frame that cannot be read at byte {at}: {error}") from None
