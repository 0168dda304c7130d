"""Encodes the records of a reply."""

from typing import Any

from .layouts import REPLY_LAYOUTS, FieldType, FixedFields, ReplyLayout
from .reply_records import ReplyRecord


class ReplyPacker:
    """Encodes the records of one type.

    All fixed-size fields are packed with one struct. Only the last field may be `BYTES`: a 16-bit
    length and the content.
    """

    __slots__ = ("code", "fixed_struct", "ends_with_bytes")

    def __init__(self, layout: ReplyLayout) -> None:
        self.code = layout.code
        self.ends_with_bytes = layout.fields[-1] is FieldType.BYTES
        fixed = layout.fields[:-1] + (FieldType.U16,) if self.ends_with_bytes else layout.fields
        self.fixed_struct = FixedFields((FieldType.U16, *fixed)).combined_struct  # code, fields

    def pack(self, record: ReplyRecord) -> bytes:
        """Return the encoded record, which starts with its code."""
        if not self.ends_with_bytes:
            return self.fixed_struct.pack(self.code, *record)
        values: tuple[Any, ...] = record
        content: bytes = values[-1]
        return self.fixed_struct.pack(self.code, *values[:-1], len(content)) + content


PACKERS = {record_type: ReplyPacker(layout) for record_type, layout in REPLY_LAYOUTS.items()}
