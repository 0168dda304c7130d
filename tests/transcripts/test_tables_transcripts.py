"""The tables' log and operators' pins, as literal bytes and as recorded in tests/data/wire/tables.json.

Compressed bytes differ by the library's version, so that a segment's frames are compared by what they hold; a
recorded segment is read back. A change of the format that is meant is recorded anew by
`python -m tests.transcripts.test_tables_transcripts`; a renaming must pass on the old record.
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

# Adapter: all internal names that these tests use. Structs are made by position.

PublishedRecord, SnapshotRecord, RemovedRecord, NoteRecord, Pin = (
    log_records.PublishedRecord,
    log_records.SnapshotRecord,
    log_records.RemovedRecord,
    log_records.NoteRecord,
    pins.Pin,
)
decode_pins, encode_pins, BAD_PINS = pins.decode_pins, pins.encode_pins, ValueError


def encode(record):
    return log_records.ENCODER.encode([record])


def decode(data):
    return log_records.RECORDS.decode(data)


def segment(frames):
    framer = log_records.RecordFramer()
    return framer.head() + b"".join(framer.frame(one) for one in frames)


def read(data):
    """[[records as bytes], sound bytes, whether all was read]."""
    found, sound, why = log_records.read_segment(data)
    return [[encode(one).hex() for one in found], sound, not why]


def pin_places(pin, names):
    return [round(pins.rollout_position(pin, name) * (1 << 48)) for name in names]


def told_pins(now, made, later):
    """Bytes of what a controller tells of its pins: made at `now`, told `later`; the first resumed in between."""
    mine = pins.Pins("ns1", "-start")
    for one in made:
        mine.make(now, *one)
    mine.resume(now + 1.5, sorted(mine.held)[0])
    return encode_pins(mine.snapshot(later))


def open_log(folder):
    """A log in a folder, read and begun: ([what was wrong], log)."""
    made = table_log.TableLog(folder, history.Store(), lambda *_, **__: None)
    wrong = made.recall()
    made.start(0.0)
    return wrong, made


def commit(log, name, epoch, serial, at, causes, moved):
    entry = log.store.commit(name, version.Version(epoch, serial), at, causes, moved)
    log.publish(name, entry)


def keep(log, key, value):
    log.note(key, value)


def end(log, now):
    log.flush(now)
    log.close()


def state(log):
    """{proxy: [version, items]} and what was noted, as plain values."""
    return [
        {
            name: [str(one.last), sorted(one.items.items())]
            for name, one in sorted(log.store.histories.items())
        },
        {key: value.hex() for key, value in sorted(log.noted.items())},
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
MADE = (
    ("all",),
    ("zone", "north", "back", "30", 0.0, 60.0, "me"),
    ("share", "0.25", "held", "", 5.0),
    ("proxy", "p7", "version", "3.9"),
)
FRAMES = [[one for _, one in RECORDS[:2]], [RECORDS[2][1]], [], [one for _, one in RECORDS[3:]]]


def odd_segments(data):
    """Damaged forms of a segment, and what is read of each."""
    return [
        read(one)
        for one in (
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
    made = segment(FRAMES)
    return {
        "segment": recorded.to_base64(made),
        "read": odd_segments(made),
        "pins": told_pins(100.0, MADE, 104.25).hex(),
        "places": pin_places(PIN[1], ["p0", "p1", "é"]),
    }


def unpacked(data):
    """A segment's first line and [plain bytes of a frame]; checks each frame's chained hash."""
    end_of_head = data.index(b"\n") + 1
    unzip, chain, found, at = zstandard.ZstdDecompressor().decompressobj(), b"", [], end_of_head
    while at < len(data):
        size, told = struct.unpack_from(">I8s", data, at)
        body = data[at + 12 : at + 12 + size]
        chain = blake3(chain + body).digest(8)
        assert chain == told
        found.append(unzip.decompress(body))
        at += 12 + size
    return data[:end_of_head], found


class LiteralBytes(unittest.TestCase):
    def test_each_log_record_is_its_literal_bytes_out_and_in(self):
        for data, record in RECORDS:
            self.assertEqual(encode(record), data)
            [found] = decode(data)
            self.assertIs(type(found), type(record))
            self.assertEqual(encode(found), data)

    def test_an_unknown_record_is_refused(self):
        with self.assertRaises(msgspec.ValidationError):
            decode(b"\x91\x92\xa1x\xa2p0")

    def test_a_pin_is_its_literal_bytes_out_and_in(self):
        self.assertEqual(encode_pins([PIN[1]]), PIN[0])
        self.assertEqual(encode_pins(decode_pins(PIN[0])), PIN[0])
        self.assertEqual(decode_pins(PIN[0]), [PIN[1]])

    def test_a_pin_without_its_last_fields_is_read(self):
        short = b"\x91\x8a" + PIN[0][2 : PIN[0].index(b"\xa5ended")]
        [found] = decode_pins(short)
        self.assertEqual(encode_pins([found]), PIN[0].replace(b"\xa2by\xa2me", b"\xa2by\xa0"))
        for data in (b"", b"\xc0", b"\x91\x80", short[:-1]):
            with self.assertRaises(BAD_PINS):
                decode_pins(data)


class Transcripts(unittest.TestCase):
    def test_the_recorded_segment_pins_and_places_are_met_again(self):
        kept, found = recorded.read("tables"), transcript()
        data = recorded.b64decode(kept["segment"])
        self.assertEqual(odd_segments(data), kept["read"])
        self.assertEqual((found["pins"], found["places"]), (kept["pins"], kept["places"]))
        self.assertEqual(unpacked(segment(FRAMES)), unpacked(data))

    def test_a_segment_is_a_line_and_frames_of_the_records_bytes(self):
        head, frames = unpacked(segment(FRAMES))
        self.assertEqual(head, b"peatlead-tables 1\n")
        self.assertEqual(
            frames,
            [
                b"\x92" + RECORDS[0][0][1:] + RECORDS[1][0][1:],
                RECORDS[2][0],
                b"\x90",
                b"\x92" + RECORDS[3][0][1:] + RECORDS[4][0][1:],
            ],
        )

    def test_a_log_on_disk_is_written_in_numbered_files_and_read_back(self):
        with tempfile.TemporaryDirectory() as folder:
            wrong, log = open_log(folder)
            self.assertEqual(wrong, [])
            commit(log, "p0", 3, 1, 1.5, ("list",), {"line/a": 5, "retry/b": "once"})
            commit(log, "p0", 3, 2, 2.5, ("list", "load"), {"line/a": None})
            keep(log, "pins", PIN[0])
            end(log, 5.0)
            head, frames = unpacked((Path(folder) / "00000001.log").read_bytes())
            self.assertEqual(head, b"peatlead-tables 1\n")
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
            wrong, log = open_log(folder)
            end(log, 6.0)
            self.assertEqual(wrong, [])
            self.assertEqual(
                state(log), [{"p0": ["3.2", [("retry/b", "once")]]}, {"pins": PIN[0].hex()}]
            )
            self.assertEqual(
                sorted(one.name for one in Path(folder).iterdir()), ["00000001.log", "00000002.log"]
            )


if __name__ == "__main__":
    recorded.write("tables", transcript())
