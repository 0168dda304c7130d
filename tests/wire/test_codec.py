"""Framing of batches and replies, and their record layouts."""

import io
import struct
import unittest

from peatlead.wire import codec, event_records, layouts, reply_records
from peatlead.wire.errors import WireFormatError

TALLY_HEX = "03e8000000030a124a071b5b00000001000f42400000bc7a0000000e00033f1eb85240e0000041680000"


def batch(*records_hex, clock_us=5):
    """Return an encoded batch of records, given in hexadecimal."""
    body = b"".join(map(bytes.fromhex, records_hex))
    return struct.pack(">IIQ", len(records_hex), len(body), clock_us) + body


class ReadBatchTest(unittest.TestCase):
    def test_records_are_decoded(self):
        clock_us, (tally, wake) = codec.read_batch(
            io.BytesIO(batch(TALLY_HEX, "0424000000030000004d"))
        )
        self.assertEqual(clock_us, 5)
        self.assertIsInstance(tally, event_records.Tally)
        self.assertEqual(tally.attempts, 14)
        self.assertIsInstance(wake, event_records.Wake)
        self.assertEqual(wake, event_records.Wake(instance=3, token=77))

    def test_malformed_batches_raise_errors_that_name_the_problem(self):
        for data, message in (
            (batch(TALLY_HEX)[:-3], "truncated batch"),
            (b"\0\0", "truncated batch header"),
            (batch("9999000000"), "record 0 at byte 0: unknown code"),
            (batch(TALLY_HEX[:-2]), "overruns"),
            (batch("040600000003" + "00" * 8 + "000000022a"), "overruns"),
            (batch("040600000003" + "00" * 8 + "000000022a2a"), "not JSON"),
        ):
            with self.assertRaises(WireFormatError) as caught:
                codec.read_batch(io.BytesIO(data))
            self.assertRegex(str(caught.exception), message)


class WriteReplyTest(unittest.TestCase):
    def test_reply_starts_with_body_size_and_record_count(self):
        reply = codec.write_reply([reply_records.WakeMe(instance=3, token=77, delay_us=500000)])
        self.assertEqual(reply.hex(), "0000000e0000000103e8000000030000004d0007a120")


class LayoutTest(unittest.TestCase):
    def test_each_layout_has_one_type_per_record_field(self):
        for layout in layouts.EVENT_LAYOUTS.values():
            self.assertEqual(len(layout.fields), len(layout.record_type._fields), layout.name)
        for record_type, layout in layouts.REPLY_LAYOUTS.items():
            self.assertEqual(len(layout.fields), len(record_type._fields), layout.name)
