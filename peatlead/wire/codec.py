"""Framing of the wire protocol: reads batches of event records and writes replies.

All header fields are big-endian.
"""

import struct
from collections.abc import Sequence
from typing import BinaryIO, NamedTuple, Optional

from .errors import WireFormatError
from .event_reader import RecordReader
from .event_records import EventRecord
from .reply_packer import PACKERS
from .reply_records import ReplyRecord

BATCH_HEADER = struct.Struct(">IIQ")  # record count, body size in bytes, clock in microseconds
REPLY_HEADER = struct.Struct(">II")  # body size in bytes, record count


class Batch(NamedTuple):
    """The event records of one batch, and the simulator's clock in microseconds."""

    clock_us: int
    records: list[EventRecord]


def read_batch(stream: BinaryIO) -> Optional[Batch]:
    """Read the next batch, or return None at the end of the input. Raises WireFormatError."""
    header = _read_exactly(stream, BATCH_HEADER.size, "batch header")
    if header is None:
        return None
    record_count, body_size, clock_us = BATCH_HEADER.unpack(header)
    body = _read_exactly(stream, body_size, "batch")
    if body is None:
        raise WireFormatError(f"truncated batch: 0 of {body_size} bytes")
    reader = RecordReader(body)
    records = [reader.read_record(number) for number in range(record_count)]
    if reader.offset != len(body):
        raise WireFormatError(
            f"{len(body) - reader.offset} unread bytes at byte {reader.offset} of the batch "
            f"after {record_count} records"
        )
    return Batch(clock_us, records)


def _read_exactly(stream: BinaryIO, size: int, content: str) -> Optional[bytes]:
    """Read `size` bytes. Return None if the input ends before the first byte.

    Raises WireFormatError if the input ends after the first byte. The error's message names
    `content`, the part of the protocol that is read.
    """
    data = stream.read(size)
    if not data and size:
        return None
    while len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            raise WireFormatError(f"truncated {content}: {len(data)} of {size} bytes")
        data += chunk
    return data


def write_reply(records: Sequence[ReplyRecord]) -> bytes:
    """Return an encoded reply: the header, then the records."""
    body = b"".join([PACKERS[type(record)].pack(record) for record in records])
    return REPLY_HEADER.pack(len(body), len(records)) + body
