"""Each log message of the planner is converted to its wording in tests/data/lab_digests.json.

Without the conversion, a new wording would change the digests of test_lab_digests.py.
"""

import re
import unittest

from peatlead import interface
from peatlead.lab.canonical_form import canonical_form
from peatlead.planner.endpoint_state import DatedCounts
from tests.compatibility.test_lab_digests import (
    MESSAGE_PATTERNS,
    recorded_canonical_form,
    recorded_text,
    with_recorded_texts,
)
from tests.helpers import make_planner, of_type

RECORDED = {
    "admitted fractions by request class: [0.19, 1.0]": "levels [0.19, 1.0]",
    "admitted fractions by request class: [1.0]": "levels [1.0]",
    "endpoint 5 traffic fraction set to 0.75": "host 5 reach 0.75",
    "endpoint 5 traffic fraction set to 1.0": "host 5 reach 1.0",
    "endpoint 3 ejected: failed health checks": "host 3 dropped: probes",
    "endpoint 12 ejected: high error rate": "host 12 dropped: sums",
    "path from zone 0 to zone 1 is slow, avoided for 10.0 s": "way from zone 0 to 1 is bad, 10.0 s",
    "path from zone 0 to zone 1 is slow, avoided for 20.0 s": "way from zone 0 to 1 is bad, 20.0 s",
}


class RecordedMessagesTest(unittest.TestCase):
    def setUp(self):
        self.planner = make_planner(endpoints=20)
        self.ready = self.planner.fleet_load.ready_endpoints()

    def assert_logs(self, text, act, *arguments, **options):
        """Check that `act` logs only `text`, and that `text` is converted to its recorded wording."""
        self.planner.commands = []
        act(*arguments, **options)
        [message] = of_type(self.planner.commands, interface.LogMessage)
        self.assertEqual(message.text, text)
        self.assertEqual(recorded_text(message.text), RECORDED[text])

    def test_admission_message_has_its_recorded_wording(self):
        self.planner.load_shedding.admitted_fraction = 0.5
        self.assert_logs(
            "admitted fractions by request class: [0.19, 1.0]", self.planner.publish_admissions
        )

    def test_traffic_fraction_message_has_its_recorded_wording(self):
        relief = self.planner.load_relief
        self.assert_logs(
            "endpoint 5 traffic fraction set to 0.75", relief.relieve, self.ready[5], self.ready
        )
        self.planner.now += 100.0
        self.assert_logs(
            "endpoint 5 traffic fraction set to 1.0", relief.restore_traffic_if_due, self.ready[5]
        )

    def test_ejection_messages_have_their_recorded_wording(self):
        eject = self.planner.outlier_detection.eject
        self.assert_logs(
            "endpoint 3 ejected: failed health checks",
            eject,
            self.ready[3],
            self.ready,
            by_checks=True,
        )
        self.assert_logs(
            "endpoint 12 ejected: high error rate",
            eject,
            self.ready[12],
            self.ready,
            by_checks=False,
        )

    def test_slow_path_message_has_its_recorded_wording(self):
        for duration in ("10.0", "20.0"):
            for endpoint in self.planner.endpoints.values():
                latency_sum = 10.0 if endpoint.zone else 1.0
                endpoint.counts_by_zone[0] = DatedCounts(self.planner.now, 10.0, 0.0, latency_sum)
            self.assert_logs(
                f"path from zone 0 to zone 1 is slow, avoided for {duration} s",
                self.planner.zone_paths.end_round,
            )
            self.planner.now += 15.0

    def test_each_message_matches_exactly_one_pattern(self):
        for text, recorded in RECORDED.items():
            self.assertEqual(recorded_text(text), recorded)
            self.assertEqual(
                sum(bool(re.fullmatch(pattern, text)) for pattern, _ in MESSAGE_PATTERNS), 1
            )
        for pattern, _ in MESSAGE_PATTERNS:
            self.assertTrue(any(re.fullmatch(pattern, text) for text in RECORDED), pattern)

    def test_a_text_that_matches_no_pattern_is_unchanged(self):
        variants = [
            variant
            for text in RECORDED
            for variant in (f" {text}", f"{text} ", f"{text}\n", f"{text} and more", text.upper())
        ]
        for text in (
            *variants,
            *RECORDED.values(),
            "",
            "unknown",
            "admitted fractions by request class: 0.5",
            "admitted fractions: [0.5]",
            "endpoint x traffic fraction set to 0.5",
            "endpoint 3 traffic fraction set to",
            "endpoint 3 ejected: unknown",
            "endpoint 3 ejected",
            "path from zone 0 to 1 is slow, avoided for 10.0 s",
            "path from zone 0 to zone 1 is slow, avoided for 10.0",
        ):
            self.assertEqual(recorded_text(text), text)

    def test_conversion_changes_only_log_messages_and_keeps_the_order(self):
        set_timer, fetch = interface.SetTimer(1, 0.5), interface.FetchEndpoints()
        unknown = interface.LogMessage("unknown")
        commands = [
            set_timer,
            interface.LogMessage("endpoint 3 ejected: high error rate"),
            fetch,
            unknown,
        ]
        expected = [set_timer, interface.LogMessage("host 3 dropped: sums"), fetch, unknown]
        self.assertEqual(with_recorded_texts(commands), expected)
        self.assertEqual(recorded_canonical_form(commands), canonical_form(expected))
        self.assertEqual(commands[1].text, "endpoint 3 ejected: high error rate")


if __name__ == "__main__":
    unittest.main()
