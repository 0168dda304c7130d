import io
import struct
import unittest

from peatlead import adapter, interface
from peatlead.wire import codec, names

TALLY = "03e8000000030a124a071b5b00000001000f42400000bc7a0000000e00033f1eb85240e0000041680000"


def batch(*records, clock=5):
    body = b"".join(map(bytes.fromhex, records))
    return struct.pack(">IIQ", len(records), len(body), clock) + body


class Codec(unittest.TestCase):
    def test_a_record_is_read_field_by_field(self):
        clock, records = codec.read_batch(io.BytesIO(batch(TALLY, "0424000000030000004d")))
        self.assertEqual(clock, 5)
        self.assertEqual(records[0][1]["many"], 14)
        self.assertEqual(records[1], ("WAKE", {"i": 3, "token": 77}))

    def test_a_reply_carries_its_size_and_count(self):
        made = codec.write_reply([("WAKE_ME", {"i": 3, "token": 77, "offsetUs": 500000})])
        self.assertEqual(made.hex(), "0000000e0000000103e8000000030000004d0007a120")

    def test_malformed_input_is_told_with_its_place(self):
        for data, words in (
            (batch(TALLY)[:-3], "truncated batch"),
            (b"\0\0", "truncated batch header"),
            (batch("9999000000"), "record 0 at byte 0: unknown code"),
            (batch(TALLY[:-2]), "overruns"),
            (batch("040600000003" + "00" * 8 + "000000022a"), "overruns"),
            (batch("040600000003" + "00" * 8 + "000000022a2a"), "not JSON"),
        ):
            with self.assertRaises(codec.WireFormatError) as caught:
                codec.read_batch(io.BytesIO(data))
            self.assertRegex(str(caught.exception), words)


class Names(unittest.TestCase):
    def test_settings_come_in_our_words_and_seconds_and_unknown_keys_are_skipped(self):
        facts = names.settings_from(
            {
                "familyInfo": {"emptyForUs": 3000000, "new": 1},
                "classes": [{"repeat": "by_key", "targetUs": 400000, "group": "cell"}],
            }
        )
        self.assertEqual(facts["bare_most"], 3.0)
        self.assertEqual(facts["req_kinds"][0]["repeat"], "uniqued")
        self.assertEqual(facts["req_kinds"][0]["response_target"], 0.4)
        self.assertNotIn("new", facts)

    def test_hosts_are_small_indices_inside_and_addresses_outside(self):
        translator = names.WireTranslator({"stats": {"fields": ["busy"]}})
        event = translator.event(
            "TALLY",
            {
                "host": b"\1\2\3\4\0\7",
                "locality": 0,
                "many": 3,
                "failed": 1,
                "coversUs": 1000000,
                "timeTakenUs": 5000,
                "feedback": (0.5,),
            },
        )
        self.assertEqual(event, interface.EndpointStats(0, 0, 3, 1, 1.0, 0.005, {"util": 0.5}))
        self.assertEqual(
            translator.order(9, interface.CheckHealth(0)),
            ("TEST", {"host": b"\1\2\3\4\0\7", "i": 9}),
        )


class Adapter(unittest.TestCase):
    def test_an_event_for_an_instance_that_never_started_is_told_plainly(self):
        with self.assertRaisesRegex(codec.WireFormatError, "record 0: WAKE for instance 3"):
            adapter.take_batch({}, 0, [("WAKE", {"i": 3, "token": 1})])

    def test_a_planner_that_raises_is_reported_for_its_instance_alone(self):
        held = adapter.Instance({"env": {}, "seed": 1})
        held.planner.decide = lambda now, events: 1 // 0
        reply = adapter.take_batch({3: held}, 0, [("WAKE", {"i": 3, "token": 1})])
        self.assertEqual(
            reply,
            [
                (
                    "BROKEN",
                    {
                        "i": 3,
                        "reasonText": b"ZeroDivisionError: integer division or modulo by zero",
                    },
                )
            ],
        )
