"""Compares the table log and pins with literal bytes and with tests/data/wire/tables.json.

Compressed bytes depend on the version of the zstandard library, so frames are compared after
decompression. After an intended change of the format, record the file again with
`python -m tests.transcripts.test_tables_transcripts`. Renamed code must match the existing file.
"""

import struct
import tempfile
import unittest
from pathlib import Path

import msgspec
import zstandard
from blake3 import blake3

from peatlead.tables import history, log_records, pins, table_log, version

from . import recorded

# Adapter: the only code here that uses names of the package. Structs are created by position.

PublishedRecord, SnapshotRecord, RemovedRecord, NoteRecord, Pin = (
    log_records.PublishedRecord,
    log_records.SnapshotRecord,
    log_records.RemovedRecord,
    log_records.NoteRecord,
    pins.Pin,
)
decode_pins, encode_pins, PIN_ERROR = pins.decode_pins, pins.encode_pins, ValueError


def encode(record):
    return log_records.RECORD_ENCODER.encode([record])


def decode(data):
    return log_records.RECORD_DECODER.decode(data)


def encode_segment(frames):
    framer = log_records.RecordFramer()
    return framer.header_line() + b"".join(framer.frame(records) for records in frames)


def read_segment(data):
    """Return [encoded records, number of intact bytes, whether everything was read]."""
    records, intact_bytes, damage = log_records.read_segment(data)
    return [[encode(record).hex() for record in records], intact_bytes, not damage]


def rollout_positions(pin, names):
    return [round(pins.rollout_position(pin, name) * (1 << 48)) for name in names]


def encoded_snapshot(now, pin_arguments, snapshot_at):
    """Return the encoded pins of a controller at `snapshot_at`.

    All pins are made at `now`, and the first pin ends before the snapshot.
    """
    known_pins = pins.Pins("ns1", "-start")
    for arguments in pin_arguments:
        known_pins.make(now, *arguments)
    known_pins.resume(now + 1.5, sorted(known_pins.by_id)[0])
    return encode_pins(known_pins.snapshot(snapshot_at))


def open_log(folder):
    """Restore and start a log in a folder. Return (problems, log)."""
    log = table_log.TableLog(folder, history.HistoryStore(), lambda *_, **__: None)
    problems = log.restore()
    log.start(0.0)
    return problems, log


def commit(log, name, epoch, serial, published_at, causes, item_changes):
    entry = log.store.commit(
        name, version.Version(epoch, serial), published_at, causes, item_changes
    )
    log.record_version(name, entry)


def record_note(log, key, value):
    log.record_note(key, value)


def flush_and_close(log, now):
    log.flush(now)
    log.close()


def stored_state(log):
    """Return [{proxy: [version, items]}, notes] as plain values."""
    return [
        {
            name: [str(proxy.newest_version), sorted(proxy.items.items())]
            for name, proxy in sorted(log.store.histories.items())
        },
        {key: value.hex() for key, value in sorted(log.notes.items())},
    ]


# End of the adapter.

RECORDS = (
    (
        b"\x91\x97\xa1p\xa2p0\x03\x04\xcb\x3f\xf8"
        + bytes(6)
        + b"\x91\xa4list\x82\xa6line/a\x05\xa7retry/b\xc0",
        PublishedRecord("p0", 3, 4, 1.5, ["list"], {"line/a": 5, "retry/b": None}),
    ),
    (
        b"\x91\x95\xa1w\xa2p0\x03\x04\x82\xa6line/a\x05\xa7retry/b\xa4once",
        SnapshotRecord("p0", 3, 4, {"line/a": 5, "retry/b": "once"}),
    ),
    (b"\x91\x92\xa1g\xa2p0", RemovedRecord("p0")),
    (b"\x91\x93\xa1n\xa4pins\xc4\x02\x00\xff", NoteRecord("pins", b"\x00\xff")),
    (b"\x91\x93\xa1n\xa4pins\xc0", NoteRecord("pins", None)),
)
PIN = (
    b"\x91\x8c\xa2id\xa5ns1-1\xa5stamp\x01\xa3rev\x02\xa4whom\xa4zone\xa5which\xa5north\xa6target\xa4back"
    b"\xa2to\xa230\xa4over\xcb\x40\x24"
    + bytes(6)
    + b"\xa3age\xcb\x3f\xe0"
    + bytes(6)
    + b"\xa4left\xcb\x40\x4e"
    + bytes(6)
    + b"\xa5ended\xc0\xa2by\xa2me",
    Pin("ns1-1", 1, 2, "zone", "north", "back", "30", 10.0, 0.5, 60.0, None, "me"),
)
PIN_ARGUMENTS = (
    ("all",),
    ("zone", "north", "back", "30", 0.0, 60.0, "me"),
    ("share", "0.25", "held", "", 5.0),
    ("proxy", "p7", "version", "3.9"),
)
FRAMES = [
    [record for _, record in RECORDS[:2]],
    [RECORDS[2][1]],
    [],
    [record for _, record in RECORDS[3:]],
]


def read_damaged_segments(data):
    """Return what is read of a segment and of damaged copies of that segment."""
    return [
        read_segment(damaged)
        for damaged in (
            data,
            data[:-1],
            data[:40],
            data[:25],
            data.replace(b" 1\n", b" 2\n", 1),
            b"other\n" + data,
            data[:-3] + bytes([data[-3] ^ 1]) + data[-2:],
            b"",
            data + b"\0" * 12,
        )
    ]


def transcript():
    segment = encode_segment(FRAMES)
    return {
        "segment": recorded.to_base64(segment),
        "read": read_damaged_segments(segment),
        "pins": encoded_snapshot(100.0, PIN_ARGUMENTS, 104.25).hex(),
        "places": rollout_positions(PIN[1], ["p0", "p1", "é"]),
    }


def decompress_segment(data):
    """Return a segment's first line and its decompressed frames; checks the chained checksums."""
    header_end = data.index(b"\n") + 1
    decompressor, checksum, frames, offset = (
        zstandard.ZstdDecompressor().decompressobj(),
        b"",
        [],
        header_end,
    )
    while offset < len(data):
        size, expected = struct.unpack_from(">I8s", data, offset)
        body = data[offset + 12 : offset + 12 + size]
        checksum = blake3(checksum + body).digest(8)
        assert checksum == expected
        frames.append(decompressor.decompress(body))
        offset += 12 + size
    return data[:header_end], frames


class LiteralBytes(unittest.TestCase):
    def test_log_records_are_encoded_to_and_decoded_from_literal_bytes(self):
        for data, record in RECORDS:
            self.assertEqual(encode(record), data)
            [decoded] = decode(data)
            self.assertIs(type(decoded), type(record))
            self.assertEqual(encode(decoded), data)

    def test_unknown_record_type_is_rejected(self):
        with self.assertRaises(msgspec.ValidationError):
            decode(b"\x91\x92\xa1x\xa2p0")

    def test_pin_is_encoded_to_and_decoded_from_literal_bytes(self):
        self.assertEqual(encode_pins([PIN[1]]), PIN[0])
        self.assertEqual(encode_pins(decode_pins(PIN[0])), PIN[0])
        self.assertEqual(decode_pins(PIN[0]), [PIN[1]])

    def test_pin_without_its_last_fields_is_decoded(self):
        short = b"\x91\x8a" + PIN[0][2 : PIN[0].index(b"\xa5ended")]
        [decoded] = decode_pins(short)
        self.assertEqual(encode_pins([decoded]), PIN[0].replace(b"\xa2by\xa2me", b"\xa2by\xa0"))
        for data in (b"", b"\xc0", b"\x91\x80", short[:-1]):
            with self.assertRaises(PIN_ERROR):
                decode_pins(data)


class Transcripts(unittest.TestCase):
    def test_segment_pins_and_positions_equal_the_recording(self):
        recording, actual = recorded.read("tables"), transcript()
        data = recorded.b64decode(recording["segment"])
        self.assertEqual(read_damaged_segments(data), recording["read"])
        self.assertEqual(
            (actual["pins"], actual["places"]), (recording["pins"], recording["places"])
        )
        self.assertEqual(decompress_segment(encode_segment(FRAMES)), decompress_segment(data))

    def test_segment_is_a_header_line_and_frames_of_encoded_records(self):
        first_line, frames = decompress_segment(encode_segment(FRAMES))
        self.assertEqual(first_line, b"peatlead-tables 1\n")
        self.assertEqual(
            frames,
            [
                b"\x92" + RECORDS[0][0][1:] + RECORDS[1][0][1:],
                RECORDS[2][0],
                b"\x90",
                b"\x92" + RECORDS[3][0][1:] + RECORDS[4][0][1:],
            ],
        )

    def test_log_is_written_to_numbered_files_and_read_back(self):
        with tempfile.TemporaryDirectory() as folder:
            problems, log = open_log(folder)
            self.assertEqual(problems, [])
            commit(log, "p0", 3, 1, 1.5, ("list",), {"line/a": 5, "retry/b": "once"})
            commit(log, "p0", 3, 2, 2.5, ("list", "load"), {"line/a": None})
            record_note(log, "pins", PIN[0])
            flush_and_close(log, 5.0)
            first_line, frames = decompress_segment((Path(folder) / "00000001.log").read_bytes())
            self.assertEqual(first_line, b"peatlead-tables 1\n")
            self.assertEqual(
                frames[-1].hex(),
                (
                    b"\x93\x97\xa1p\xa2p0\x03\x01\xcb\x3f\xf8"
                    + bytes(6)
                    + b"\x91\xa4list\x82\xa6line/a\x05"
                    b"\xa7retry/b\xa4once"
                    b"\x97\xa1p\xa2p0\x03\x02\xcb\x40\x04"
                    + bytes(6)
                    + b"\x92\xa4list\xa4load\x81\xa6line/a\xc0"
                    b"\x93\xa1n\xa4pins\xc4" + bytes([len(PIN[0])]) + PIN[0]
                ).hex(),
            )
            problems, log = open_log(folder)
            flush_and_close(log, 6.0)
            self.assertEqual(problems, [])
            self.assertEqual(
                stored_state(log), [{"p0": ["3.2", [("retry/b", "once")]]}, {"pins": PIN[0].hex()}]
            )
            self.assertEqual(
                sorted(path.name for path in Path(folder).iterdir()),
                ["00000001.log", "00000002.log"],
            )


if __name__ == "__main__":
    recorded.write("tables", transcript())
