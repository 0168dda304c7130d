"""Frames and records of the wire, one table of fields a record. Names here are the wire's own."""

import json
import struct

MICRO = 1_000_000
BATCH_HEADER = struct.Struct(">IIQ")
REPLY_HEADER = struct.Struct(">II")
ENTRY = struct.Struct(">6sBHHBfQ")

NUMBERS = {
    kind: struct.Struct(">" + code)
    for kind, code in (
        ("u8", "B"),
        ("u16", "H"),
        ("u32", "I"),
        ("u64", "Q"),
        ("f32", "f"),
        ("host", "6s"),
    )
}

EVENTS = {
    1030: ("ATTACH", (("i", "u32"), ("seed", "u64"), ("env", "json"))),
    1100: ("TOPOLOGY", (("i", "u32"), ("mode", "u8"), ("version", "u32"), ("members", "entries"))),
    1020: (
        "WEIGHT_SEEN",
        (
            ("i", "u32"),
            ("category", "u16"),
            ("routeTable", "u16"),
            ("many", "u32"),
            ("coversUs", "u32"),
            ("failed", "u32"),
        ),
    ),
    1110: (
        "CHECK_RESULT",
        (
            ("i", "u32"),
            ("how", "u16"),
            ("host", "host"),
            ("timeTakenUs", "u32"),
            ("feedback", "floats"),
        ),
    ),
    1130: (
        "INTAKE",
        (
            ("i", "u32"),
            ("many", "u32"),
            ("px", "u16"),
            ("category", "u16"),
            ("coversUs", "u32"),
            ("failed", "u32"),
        ),
    ),
    1090: ("CAUGHT_UP", (("i", "u32"), ("version", "u32"), ("timeTakenUs", "u32"), ("px", "u16"))),
    1050: (
        "CHECKED_IN",
        (("i", "u32"), ("px", "u16"), ("locality", "u8"), ("size", "f32"), ("on", "u8")),
    ),
    1060: ("WAKE", (("i", "u32"), ("token", "u32"))),
    1000: (
        "TALLY",
        (
            ("i", "u32"),
            ("host", "host"),
            ("failed", "u32"),
            ("coversUs", "u32"),
            ("timeTakenUs", "u32"),
            ("many", "u32"),
            ("locality", "u8"),
            ("feedback", "floats"),
        ),
    ),
    1040: ("SHUTDOWN", (("i", "u32"),)),
    1080: ("INBOX", (("i", "u32"), ("who", "u32"), ("bytes", "bytes"))),
    1070: ("IN_STORE", (("i", "u32"), ("routeTable", "u16"), ("host", "host"), ("size", "f32"))),
    1010: ("LEFT", (("i", "u32"), ("px", "u16"))),
    1120: ("GIVEN", (("i", "u32"), ("routeTable", "u16"), ("on", "u8"))),
}

ORDERS = {
    "JOURNAL_LINE": (1030, (("i", "u32"), ("reasonText", "bytes"))),
    "ATTACH_TABLE": (1100, (("i", "u32"), ("lanes", "u16"), ("px", "u16"), ("routeTable", "u16"))),
    "CORDON": (1090, (("i", "u32"), ("host", "host"), ("on", "u8"))),
    "BLANK": (1080, (("i", "u32"), ("routeTable", "u16"))),
    "OBSERVE": (1050, (("i", "u32"), ("on", "u8"))),
    "WRITE_PEER": (1020, (("i", "u32"), ("whom", "u16"), ("bytes", "bytes"))),
    "GET_LIST": (1060, (("i", "u32"),)),
    "TEST": (1010, (("i", "u32"), ("host", "host"))),
    "BROKEN": (1040, (("i", "u32"), ("reasonText", "bytes"))),
    "UPSERT": (1070, (("i", "u32"), ("routeTable", "u16"), ("host", "host"), ("size", "f32"))),
    "GATE_CLASS": (
        1110,
        (
            ("i", "u32"),
            ("lanes", "u16"),
            ("routeTable", "u16"),
            ("amount", "f32"),
            ("secondTry", "u8"),
        ),
    ),
    "WAKE_ME": (1000, (("i", "u32"), ("token", "u32"), ("offsetUs", "u32"))),
    "NONCE": (1120, (("i", "u32"), ("version", "u32"), ("on", "u8"))),
}


class WireFormatError(Exception):
    """The stream holds something that is not the wire; the text says what and where."""


def read_exactly(stream, size, what):
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


def read_batch(stream):
    """(clock in microseconds, [(record name, {field: value})]) or None at the end of the input."""
    header = read_exactly(stream, BATCH_HEADER.size, "batch header")
    if header is None:
        return None
    count, length, clock = BATCH_HEADER.unpack(header)
    body = read_exactly(stream, length, "batch")
    if body is None:
        raise WireFormatError(f"truncated batch: 0 of {length} bytes")
    at, records = 0, []
    for number in range(count):
        name, record, at = read_record(body, at, number)
        records.append((name, record))
    if at != len(body):
        raise WireFormatError(
            f"{len(body) - at} bytes left over at byte {at} after {count} records"
        )
    return clock, records


def read_record(body, at, number):
    start = at

    def take(layout):
        nonlocal at
        if at + layout.size > len(body):
            raise WireFormatError(
                f"record {number} at byte {start} overruns its batch at byte {at}"
            )
        values = layout.unpack_from(body, at)
        at += layout.size
        return values

    def take_bytes(size):
        nonlocal at
        if at + size > len(body):
            raise WireFormatError(
                f"record {number} at byte {start}: a count of {size} overruns the batch at {at}"
            )
        at += size
        return body[at - size : at]

    code = take(NUMBERS["u16"])[0]
    if code not in EVENTS:
        raise WireFormatError(f"record {number} at byte {start}: unknown code {code}")
    name, fields = EVENTS[code]
    record = {}
    for field, kind in fields:
        if kind in NUMBERS:
            record[field] = take(NUMBERS[kind])[0]
        elif kind == "floats":
            size = take(NUMBERS["u8"])[0]
            record[field] = struct.unpack(f">{size}f", take_bytes(4 * size))
        elif kind == "entries":
            size = take(NUMBERS["u32"])[0]
            record[field] = list(ENTRY.iter_unpack(take_bytes(ENTRY.size * size)))
        elif kind == "bytes":
            record[field] = take_bytes(take(NUMBERS["u16"])[0])
        else:
            record[field] = parse_json(take_bytes(take(NUMBERS["u32"])[0]), number, start)
    return name, record, at


def parse_json(data, number, start):
    try:
        value = json.loads(data.decode("utf-8"))
    except ValueError as problem:
        raise WireFormatError(
            f"record {number} at byte {start}: settings are not JSON: {problem}"
        ) from None
    if not isinstance(value, dict):
        raise WireFormatError(f"record {number} at byte {start}: settings are not a JSON object")
    return value


def write_reply(orders):
    """A whole reply from [(record name, {field: value})]."""
    parts = []
    for name, record in orders:
        code, fields = ORDERS[name]
        parts.append(NUMBERS["u16"].pack(code))
        for field, kind in fields:
            if kind == "bytes":
                parts.append(NUMBERS["u16"].pack(len(record[field])))
                parts.append(record[field])
            else:
                parts.append(NUMBERS[kind].pack(record[field]))
    body = b"".join(parts)
    return REPLY_HEADER.pack(len(body), len(orders)) + body
