"""Frames of the wire: batches of records that come in, and the reply to each."""

import struct
from collections.abc import Sequence
from typing import BinaryIO, NamedTuple, Optional

from .errors import WireFormatError
from .event_reader import RecordReader
from .event_records import EventRecord
from .reply_packer import PACKERS
from .reply_records import ReplyRecord

BATCH_HEADER = struct.Struct(">IIQ")  # records, bytes of the body, clock in microseconds
REPLY_HEADER = struct.Struct(">II")  # bytes of the body, records


class Batch(NamedTuple):
    """The records that came together, and the simulator's clock in microseconds."""

    clock_us: int
    records: list[EventRecord]


def read_batch(stream: BinaryIO) -> Optional[Batch]:
    """The next batch, or None at the end of the input."""
    header = _read_exactly(stream, BATCH_HEADER.size, "batch header")
    if header is None:
        return None
    count, length, clock_us = BATCH_HEADER.unpack(header)
    body = _read_exactly(stream, length, "batch")
    if body is None:
        raise WireFormatError(f"truncated batch: 0 of {length} bytes")
    reader = RecordReader(body)
    records = [reader.read_record(number) for number in range(count)]
    if reader.offset != len(body):
        raise WireFormatError(
            f"{len(body) - reader.offset} bytes left over at byte {reader.offset} "
            f"after {count} records"
        )
    return Batch(clock_us, records)


def _read_exactly(stream: BinaryIO, size: int, what: str) -> Optional[bytes]:
    """Bytes of that size, or None at a clean end before the first byte."""
    data = stream.read(size)
    if not data and size:
        return None
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            raise WireFormatError(f"truncated {what}: {len(data)} of {size} bytes")
        data += more
    return data


def write_reply(records: Sequence[ReplyRecord]) -> bytes:
    """A whole reply, with its header."""
    body = b"".join([PACKERS[type(record)].pack(record) for record in records])
    return REPLY_HEADER.pack(len(body), len(records)) + body
