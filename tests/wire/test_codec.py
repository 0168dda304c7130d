import io
import struct
import unittest

from peatlead.wire import codec, event_records, layouts, reply_records
from peatlead.wire.errors import WireFormatError

TALLY = "03e8000000030a124a071b5b00000001000f42400000bc7a0000000e00033f1eb85240e0000041680000"


def batch(*encoded, clock=5):
    body = b"".join(map(bytes.fromhex, encoded))
    return struct.pack(">IIQ", len(encoded), len(body), clock) + body


class ReadBatchTest(unittest.TestCase):
    def test_records_are_read_field_by_field(self):
        clock, (tally, wake) = codec.read_batch(io.BytesIO(batch(TALLY, "0424000000030000004d")))
        self.assertEqual(clock, 5)
        self.assertIsInstance(tally, event_records.Tally)
        self.assertEqual(tally.attempts, 14)
        self.assertIsInstance(wake, event_records.Wake)
        self.assertEqual(wake, event_records.Wake(instance=3, token=77))

    def test_errors_in_the_input_name_their_place(self):
        for data, words in (
            (batch(TALLY)[:-3], "truncated batch"),
            (b"\0\0", "truncated batch header"),
            (batch("9999000000"), "record 0 at byte 0: unknown code"),
            (batch(TALLY[:-2]), "overruns"),
            (batch("040600000003" + "00" * 8 + "000000022a"), "overruns"),
            (batch("040600000003" + "00" * 8 + "000000022a2a"), "not JSON"),
        ):
            with self.assertRaises(WireFormatError) as caught:
                codec.read_batch(io.BytesIO(data))
            self.assertRegex(str(caught.exception), words)


class WriteReplyTest(unittest.TestCase):
    def test_a_reply_starts_with_its_size_and_count(self):
        reply = codec.write_reply([reply_records.WakeMe(instance=3, token=77, delay_us=500000)])
        self.assertEqual(reply.hex(), "0000000e0000000103e8000000030000004d0007a120")


class LayoutTest(unittest.TestCase):
    def test_each_layout_has_a_type_for_each_field_of_its_record(self):
        for layout in layouts.EVENT_LAYOUTS.values():
            self.assertEqual(len(layout.fields), len(layout.record._fields), layout.name)
        for record, layout in layouts.REPLY_LAYOUTS.items():
            self.assertEqual(len(layout.fields), len(record._fields), layout.name)
