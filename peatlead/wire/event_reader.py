"""Decodes the event records of a batch. Errors name the record and the problem's position."""

import json
import struct
from typing import Any, NamedTuple, Optional

from .errors import WireFormatError
from .event_records import EventRecord, TopologyEntry
from .layouts import (
    EVENT_LAYOUTS,
    FIXED_SIZE_STRUCTS,
    TOPOLOGY_ENTRY,
    EventLayout,
    FieldType,
    FixedFields,
)


class EventReader(NamedTuple):
    """How to read the records of one type: fixed-size fields, then at most one variable field."""

    layout: EventLayout
    fixed_fields: FixedFields
    variable_field: Optional[FieldType]  # the last field if its size varies, else None


def _event_reader(layout: EventLayout) -> EventReader:
    """Split the fields of a layout into fixed-size and variable fields."""
    if layout.fields[-1] in FIXED_SIZE_STRUCTS:
        return EventReader(layout, FixedFields(layout.fields), None)
    return EventReader(layout, FixedFields(layout.fields[:-1]), layout.fields[-1])


RECORD_CODE = FixedFields([FieldType.U16])
# Counts or sizes in bytes, of 8, 16 and 32 bits.
COUNT_8 = FixedFields([FieldType.U8])
COUNT_16 = FixedFields([FieldType.U16])
COUNT_32 = FixedFields([FieldType.U32])
EVENT_READERS = {code: _event_reader(layout) for code, layout in EVENT_LAYOUTS.items()}


class RecordReader:
    """Reads the records of one batch's body in order."""

    __slots__ = ("body", "offset", "record_number", "record_start")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.offset = 0  # of the next byte to read
        self.record_number = 0  # index of the current record, for errors
        self.record_start = 0  # offset of the current record, for errors

    def read_record(self, number: int) -> EventRecord:
        """Read the next record, whose index in the batch is `number`. Raises WireFormatError."""
        self.record_number = number
        self.record_start = self.offset
        (code,) = self._read_fixed(RECORD_CODE)
        reader = EVENT_READERS.get(code)
        if reader is None:
            raise WireFormatError(
                f"record {number} at byte {self.record_start}: unknown code {code}"
            )
        values = self._read_fixed(reader.fixed_fields)
        if reader.variable_field is None:
            return reader.layout.record_type(*values)
        return reader.layout.record_type(*values, self._read_variable(reader.variable_field))

    def _read_variable(self, field: FieldType) -> Any:
        """Read a field that starts with its count or size."""
        if field is FieldType.FLOATS:
            (count,) = self._read_fixed(COUNT_8)
            return struct.unpack(f">{count}f", self._read_bytes(4 * count))
        if field is FieldType.ENTRIES:
            (count,) = self._read_fixed(COUNT_32)
            rows = TOPOLOGY_ENTRY.iter_unpack(self._read_bytes(TOPOLOGY_ENTRY.size * count))
            return list(map(TopologyEntry._make, rows))
        if field is FieldType.BYTES:
            (size,) = self._read_fixed(COUNT_16)
            return self._read_bytes(size)
        (size,) = self._read_fixed(COUNT_32)
        return self._parse_json(self._read_bytes(size))

    def _read_fixed(self, fields: FixedFields) -> tuple[Any, ...]:
        """Read consecutive fixed-size fields. Raises WireFormatError."""
        end = self.offset + fields.combined_struct.size
        if end > len(self.body):
            field_offset = fields.overrun_offset(self.offset, len(self.body))
            raise WireFormatError(
                f"record {self.record_number} at byte {self.record_start}: "
                f"the field at byte {field_offset} overruns the batch of {len(self.body)} bytes"
            )
        values = fields.combined_struct.unpack_from(self.body, self.offset)
        self.offset = end
        return values

    def _read_bytes(self, size: int) -> bytes:
        """Read the content of a variable-size field of `size` bytes. Raises WireFormatError."""
        end = self.offset + size
        if end > len(self.body):
            raise WireFormatError(
                f"record {self.record_number} at byte {self.record_start}: the field of {size} "
                f"bytes at byte {self.offset} overruns the batch of {len(self.body)} bytes"
            )
        data = self.body[self.offset : end]
        self.offset = end
        return data

    def _parse_json(self, data: bytes) -> dict[str, Any]:
        """Parse the settings of an `Attach` record. Raises WireFormatError."""
        location = f"record {self.record_number} at byte {self.record_start}"
        try:
            value = json.loads(data.decode("utf-8"))
        except ValueError as error:
            raise WireFormatError(f"{location}: settings are not JSON: {error}") from None
        if not isinstance(value, dict):
            raise WireFormatError(f"{location}: settings are not a JSON object")
        return value
