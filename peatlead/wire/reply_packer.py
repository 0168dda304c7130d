"""Packs the records of a reply."""

from typing import Any

from .layouts import REPLY_LAYOUTS, FieldType, FixedFields, ReplyLayout
from .reply_records import ReplyRecord


class ReplyPacker:
    """Packs the records of one type.

    All fields are packed at once; only the last one may be `BYTES`, which follow their length.
    """

    __slots__ = ("code", "head", "ends_with_bytes")

    def __init__(self, layout: ReplyLayout) -> None:
        self.code = layout.code
        self.ends_with_bytes = layout.fields[-1] is FieldType.BYTES
        fixed = layout.fields[:-1] + (FieldType.U16,) if self.ends_with_bytes else layout.fields
        self.head = FixedFields((FieldType.U16, *fixed)).all  # the code, then the fields

    def pack(self, record: ReplyRecord) -> bytes:
        """The record with its code."""
        if not self.ends_with_bytes:
            return self.head.pack(self.code, *record)
        values: tuple[Any, ...] = record
        data: bytes = values[-1]
        return self.head.pack(self.code, *values[:-1], len(data)) + data


PACKERS = {record: ReplyPacker(layout) for record, layout in REPLY_LAYOUTS.items()}
