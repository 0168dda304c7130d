"""The records of the table log and their encoding. No I/O.

A segment is a header line `peatlead-tables FORMAT`, followed by frames. A frame is a 4-byte
big-endian body length, an 8-byte checksum and the body. The bodies of a segment form one zstandard
stream, which is flushed after each frame. Each body contains one msgpack list of records. A
checksum is the BLAKE3 hash of the previous frame's checksum and the body, so that missing, repeated
and foreign frames are detected. Reading ends at the first damaged frame.

Each segment starts with a snapshot of all proxies and can be read without the older segments, which
contain the earlier versions.
"""

import struct
from collections.abc import Sequence
from typing import NamedTuple, Optional, Union

import msgspec
import zstandard
from blake3 import blake3

from .errors import SegmentError

FORMAT_VERSION = 1
HEADER_LINE = b"peatlead-tables %d\n"
HEADER_MAGIC = HEADER_LINE.split()[0]  # first word of the header line of every format
HEADER_BYTES_MAX = 64  # maximum length of the header line
FRAME_HEADER = struct.Struct(">I8s")  # body length, checksum
CHECKSUM_BYTES = 8  # length of a frame's checksum
FRAME_BYTES_MAX = 16 << 20  # a frame with a greater length counts as damaged
DECOMPRESSED_BYTES_MAX = 256 << 20  # maximum size of a decompressed segment
COMPRESSION_LEVEL = 3  # of zstandard


class PublishedRecord(msgspec.Struct, array_like=True, tag="p"):
    """A published version of one proxy.

    `at` is wall-clock time in seconds. `changes` maps keys to new values, or to None for removed
    items.
    """

    name: str
    epoch: int
    serial: int
    at: float
    causes: list[str]
    changes: dict[str, Union[int, str, None]]


class SnapshotRecord(msgspec.Struct, array_like=True, tag="w"):
    """The newest state of one proxy, at the start of a segment."""

    name: str
    epoch: int
    serial: int
    items: dict[str, Union[int, str]]


class RemovedRecord(msgspec.Struct, array_like=True, tag="g"):
    """A proxy has disconnected."""

    name: str


class NoteRecord(msgspec.Struct, array_like=True, tag="n"):
    """A small value that survives restarts. A later record of the same key replaces it.

    The value None removes the key.
    """

    key: str
    value: Optional[bytes]


Record = Union[PublishedRecord, SnapshotRecord, RemovedRecord, NoteRecord]
RECORD_DECODER = msgspec.msgpack.Decoder(list[Record])
RECORD_ENCODER = msgspec.msgpack.Encoder()


class RecordFramer:
    """Encodes the frames of one segment."""

    def __init__(self) -> None:
        self._compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compressobj()
        self._checksum = b""  # of the previous frame

    def header_line(self) -> bytes:
        """Return the first line of the segment."""
        return HEADER_LINE % FORMAT_VERSION

    def frame(self, records: Sequence[Record]) -> bytes:
        """Return the next frame, with these records."""
        body = self._compressor.compress(RECORD_ENCODER.encode(records))
        body += self._compressor.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK)
        self._checksum = blake3(self._checksum + body).digest(CHECKSUM_BYTES)
        return FRAME_HEADER.pack(len(body), self._checksum) + body


class Segment(NamedTuple):
    """The readable records of a segment.

    `intact_bytes` is the offset of the end of the last intact frame. `damage` says why reading
    stopped, or is "" if the whole segment was read.
    """

    records: list[Record]
    intact_bytes: int
    damage: str


def read_segment(data: bytes) -> Segment:
    """Read a segment up to its end or the first damage, which `Segment.damage` describes."""
    try:
        start = _check_header_line(data)
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


def _check_header_line(data: bytes) -> int:
    """Return the offset of the first frame. Raises SegmentError if the format differs."""
    line = data[: data.find(b"\n", 0, HEADER_BYTES_MAX) + 1]
    if line == HEADER_LINE % FORMAT_VERSION:
        return len(line)
    words = line.split()
    if len(words) == 2 and words[0] == HEADER_MAGIC and words[1].isdigit():
        raise SegmentError(f"format {int(words[1])}: expected {FORMAT_VERSION}")
    raise SegmentError("not a table log")


class _FrameReader:
    """Reads the frames of a segment in order. `position` is the end of the last intact frame."""

    def __init__(self, data: bytes, position: int) -> None:
        self.position = position
        self._data = data
        self._decompressor = zstandard.ZstdDecompressor().decompressobj()
        self._checksum = b""  # of the previous frame
        self._decompressed_bytes = 0  # of all frames read so far

    def read_frame(self) -> list[Record]:
        """Return the records of the next frame. Raises SegmentError if the frame is damaged."""
        body = self._read_body()
        records = self._decode(body)
        self.position += FRAME_HEADER.size + len(body)
        return records

    def _read_body(self) -> bytes:
        """Return the body of the frame at `position` after checking length and checksum."""
        offset = self.position
        if len(self._data) - offset < FRAME_HEADER.size:
            raise SegmentError(f"torn frame header at byte {offset}")
        size, expected = FRAME_HEADER.unpack_from(self._data, offset)
        if size > FRAME_BYTES_MAX:
            frame = f"frame length {size} at byte {offset}"
            raise SegmentError(f"{frame}: expected at most {FRAME_BYTES_MAX} bytes")
        body = self._data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + size]
        if len(body) < size:
            raise SegmentError(f"torn frame at byte {offset}: {len(body)} of {size} bytes")
        self._checksum = blake3(self._checksum + body).digest(CHECKSUM_BYTES)
        if self._checksum != expected:
            problem = f"wrong checksum of the frame at byte {offset}"
            raise SegmentError(f"{problem}: the frame is damaged or out of sequence")
        return body

    def _decode(self, body: bytes) -> list[Record]:
        """Decompress and decode the body of a frame. Raises SegmentError."""
        offset = self.position
        try:
            decompressed = self._decompressor.decompress(body)
            self._decompressed_bytes += len(decompressed)
            if self._decompressed_bytes > DECOMPRESSED_BYTES_MAX:
                raise SegmentError(
                    f"more than {DECOMPRESSED_BYTES_MAX} decompressed bytes at byte {offset}"
                )
            return RECORD_DECODER.decode(decompressed)
        except (zstandard.ZstdError, msgspec.MsgspecError) as error:
            raise SegmentError(f"unreadable frame at byte {offset}: {error}") from None
