"""Conversion between wire records and planner events and commands."""

import unittest

from peatlead import interface
from peatlead.wire import event_records, reply_records
from peatlead.wire.command_translator import CommandTranslator
from peatlead.wire.endpoint_ids import EndpointIds
from peatlead.wire.event_translator import EventTranslator
from peatlead.wire.settings import settings_from_environment

ADDRESS = b"\1\2\3\4\0\7"


class TranslatorsTest(unittest.TestCase):
    def test_endpoints_have_ids_in_the_planner_and_addresses_on_the_wire(self):
        settings = settings_from_environment({"stats": {"fields": ["busy"]}})
        endpoint_ids = EndpointIds()
        event = EventTranslator(endpoint_ids, settings["report_fields"]).translate(
            event_records.Tally(
                instance=9,
                address=ADDRESS,
                errors=1,
                window_us=1000000,
                mean_latency_us=5000,
                attempts=3,
                zone=0,
                load_report=(0.5,),
            )
        )
        self.assertIsInstance(event, interface.EndpointStats)
        self.assertEqual(event, interface.EndpointStats(0, 0, 3, 1, 1.0, 0.005, {"util": 0.5}))
        record = CommandTranslator(9, endpoint_ids).translate(interface.CheckHealth(0))
        self.assertIsInstance(record, reply_records.Test)
        self.assertEqual(record, reply_records.Test(instance=9, address=ADDRESS))

    def test_an_admission_names_its_table_or_all_tables(self):
        translator = CommandTranslator(9, EndpointIds())
        for table, number in ((5, 5), (None, 65535)):
            command = interface.SetAdmission(table, (0, 2), 0.125, "unstarted")
            self.assertEqual(
                translator.translate(command), reply_records.GateClass(9, 0b101, number, 0.125, 1)
            )
