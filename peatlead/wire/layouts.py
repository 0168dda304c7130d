"""The binary layout of each record: its code, its name and the types of its fields in order."""

import struct
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from . import event_records, reply_records
from .event_records import EventRecord
from .reply_records import ReplyRecord


class FieldType(StrEnum):
    """The type of a field. All numbers are big-endian."""

    U8 = "u8"
    U16 = "u16"
    U32 = "u32"
    U64 = "u64"
    F32 = "f32"
    ADDRESS = "host"  # 6 bytes: IPv4 address, port
    BYTES = "bytes"  # 16-bit length, then the bytes
    FLOATS = "floats"  # 8-bit count, then that many f32
    ENTRIES = "entries"  # 32-bit count, then that many `TOPOLOGY_ENTRY`
    JSON = "json"  # 32-bit length in bytes, then a JSON object in UTF-8


U8 = FieldType.U8
U16 = FieldType.U16
U32 = FieldType.U32
U64 = FieldType.U64
F32 = FieldType.F32
ADDRESS = FieldType.ADDRESS
BYTES = FieldType.BYTES
FLOATS = FieldType.FLOATS
ENTRIES = FieldType.ENTRIES
JSON = FieldType.JSON

FIXED_SIZE_STRUCTS = {
    U8: struct.Struct(">B"),
    U16: struct.Struct(">H"),
    U32: struct.Struct(">I"),
    U64: struct.Struct(">Q"),
    F32: struct.Struct(">f"),
    ADDRESS: struct.Struct(">6s"),
}
TOPOLOGY_ENTRY = struct.Struct(">6sBHHBfQ")  # in the order of `event_records.TopologyEntry`


class FixedFields:
    """Consecutive fixed-size fields, read and written with one struct."""

    __slots__ = ("field_structs", "combined_struct")

    def __init__(self, fields: Sequence[FieldType]) -> None:
        self.field_structs = [FIXED_SIZE_STRUCTS[field] for field in fields]
        formats = [field_struct.format.removeprefix(">") for field_struct in self.field_structs]
        self.combined_struct = struct.Struct(">" + "".join(formats))

    def overrun_offset(self, offset: int, end: int) -> int:
        """Return the offset of the first field that extends past `end`.

        The first of the fields starts at `offset`.
        """
        for field_struct in self.field_structs:
            if offset + field_struct.size > end:
                break
            offset += field_struct.size
        return offset


class EventLayout(NamedTuple):
    """The layout of a record that the simulator sends; `EVENT_LAYOUTS` maps codes to layouts."""

    name: str
    record_type: Callable[..., EventRecord]
    fields: tuple[FieldType, ...]


class ReplyLayout(NamedTuple):
    """The layout of a record in a reply."""

    code: int
    name: str
    fields: tuple[FieldType, ...]


EVENT_LAYOUTS = {  # by code
    1000: EventLayout("TALLY", event_records.Tally, (U32, ADDRESS, U32, U32, U32, U32, U8, FLOATS)),
    1010: EventLayout("LEFT", event_records.Left, (U32, U16)),
    1020: EventLayout("WEIGHT_SEEN", event_records.WeightSeen, (U32, U16, U16, U32, U32, U32)),
    1030: EventLayout("ATTACH", event_records.Attach, (U32, U64, JSON)),
    1040: EventLayout("SHUTDOWN", event_records.Shutdown, (U32,)),
    1050: EventLayout("CHECKED_IN", event_records.CheckedIn, (U32, U16, U8, F32, U8)),
    1060: EventLayout("WAKE", event_records.Wake, (U32, U32)),
    1070: EventLayout("IN_STORE", event_records.InStore, (U32, U16, ADDRESS, F32)),
    1080: EventLayout("INBOX", event_records.Inbox, (U32, U32, BYTES)),
    1090: EventLayout("CAUGHT_UP", event_records.CaughtUp, (U32, U32, U32, U16)),
    1100: EventLayout("TOPOLOGY", event_records.Topology, (U32, U8, U32, ENTRIES)),
    1110: EventLayout("CHECK_RESULT", event_records.CheckResult, (U32, U16, ADDRESS, U32, FLOATS)),
    1120: EventLayout("GIVEN", event_records.Given, (U32, U16, U8)),
    1130: EventLayout("INTAKE", event_records.Intake, (U32, U32, U16, U16, U32, U32)),
}

REPLY_LAYOUTS: dict[type[ReplyRecord], ReplyLayout] = {
    reply_records.WakeMe: ReplyLayout(1000, "WAKE_ME", (U32, U32, U32)),
    reply_records.Test: ReplyLayout(1010, "TEST", (U32, ADDRESS)),
    reply_records.WritePeer: ReplyLayout(1020, "WRITE_PEER", (U32, U16, BYTES)),
    reply_records.JournalLine: ReplyLayout(1030, "JOURNAL_LINE", (U32, BYTES)),
    reply_records.Broken: ReplyLayout(1040, "BROKEN", (U32, BYTES)),
    reply_records.Observe: ReplyLayout(1050, "OBSERVE", (U32, U8)),
    reply_records.GetList: ReplyLayout(1060, "GET_LIST", (U32,)),
    reply_records.Upsert: ReplyLayout(1070, "UPSERT", (U32, U16, ADDRESS, F32)),
    reply_records.Blank: ReplyLayout(1080, "BLANK", (U32, U16)),
    reply_records.Cordon: ReplyLayout(1090, "CORDON", (U32, ADDRESS, U8)),
    reply_records.AttachTable: ReplyLayout(1100, "ATTACH_TABLE", (U32, U16, U16, U16)),
    reply_records.GateClass: ReplyLayout(1110, "GATE_CLASS", (U32, U16, U16, F32, U8)),
    reply_records.Nonce: ReplyLayout(1120, "NONCE", (U32, U32, U8)),
}

EVENT_NAMES = {layout.record_type: layout.name for layout in EVENT_LAYOUTS.values()}
