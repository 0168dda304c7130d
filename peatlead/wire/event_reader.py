"""Reads the records of a batch, with the place of whatever isn't one in the error."""

import json
import struct
from typing import Any, NamedTuple, Optional

from .errors import WireFormatError
from .event_records import EventRecord, TopologyEntry
from .layouts import EVENT_LAYOUTS, FIXED, TOPOLOGY_ENTRY, EventLayout, FieldType, FixedFields


class EventReader(NamedTuple):
    """How the records of one type are read: fields of a fixed size, then at most one other."""

    layout: EventLayout
    fixed: FixedFields
    last: Optional[FieldType]  # the field of a variable size


def _event_reader(layout: EventLayout) -> EventReader:
    if layout.fields[-1] in FIXED:
        return EventReader(layout, FixedFields(layout.fields), None)
    return EventReader(layout, FixedFields(layout.fields[:-1]), layout.fields[-1])


CODE = FixedFields([FieldType.U16])
COUNT_8 = FixedFields([FieldType.U8])
COUNT_16 = FixedFields([FieldType.U16])
COUNT_32 = FixedFields([FieldType.U32])
EVENT_READERS = {code: _event_reader(layout) for code, layout in EVENT_LAYOUTS.items()}


class RecordReader:
    """Reads the records of one batch's body in turn."""

    __slots__ = ("body", "offset", "number", "start")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.offset = 0  # of the byte that is read next
        self.number = 0  # of the record that is read, for errors
        self.start = 0  # its first byte

    def read_record(self, number: int) -> EventRecord:
        """The next record; `number` is its place in the batch."""
        self.number = number
        self.start = self.offset
        (code,) = self._unpack(CODE)
        reader = EVENT_READERS.get(code)
        if reader is None:
            raise WireFormatError(f"record {number} at byte {self.start}: unknown code {code}")
        values = self._unpack(reader.fixed)
        if reader.last is None:
            return reader.layout.record(*values)
        return reader.layout.record(*values, self._read_variable(reader.last))

    def _read_variable(self, field: FieldType) -> Any:
        """The value of a field whose size comes before it."""
        if field is FieldType.FLOATS:
            (count,) = self._unpack(COUNT_8)
            return struct.unpack(f">{count}f", self._take(4 * count))
        if field is FieldType.ENTRIES:
            (count,) = self._unpack(COUNT_32)
            rows = TOPOLOGY_ENTRY.iter_unpack(self._take(TOPOLOGY_ENTRY.size * count))
            return list(map(TopologyEntry._make, rows))
        if field is FieldType.BYTES:
            (size,) = self._unpack(COUNT_16)
            return self._take(size)
        (size,) = self._unpack(COUNT_32)
        return self._parse_json(self._take(size))

    def _unpack(self, fields: FixedFields) -> tuple[Any, ...]:
        end = self.offset + fields.all.size
        if end > len(self.body):
            place = fields.overrun(self.offset, len(self.body))
            raise WireFormatError(
                f"record {self.number} at byte {self.start} overruns its batch at byte {place}"
            )
        values = fields.all.unpack_from(self.body, self.offset)
        self.offset = end
        return values

    def _take(self, size: int) -> bytes:
        """The bytes of a field whose size has been read."""
        end = self.offset + size
        if end > len(self.body):
            raise WireFormatError(
                f"record {self.number} at byte {self.start}: a count of {size} "
                f"overruns the batch at {self.offset}"
            )
        data = self.body[self.offset : end]
        self.offset = end
        return data

    def _parse_json(self, data: bytes) -> dict[str, Any]:
        place = f"record {self.number} at byte {self.start}"
        try:
            value = json.loads(data.decode("utf-8"))
        except ValueError as error:
            raise WireFormatError(f"{place}: settings are not JSON: {error}") from None
        if not isinstance(value, dict):
            raise WireFormatError(f"{place}: settings are not a JSON object")
        return value
