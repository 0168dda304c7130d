"""The causes of published versions, as operators see them."""

import unittest

from peatlead import interface
from peatlead.planner.endpoint_state import DatedCounts
from peatlead.tables.change_causes import ChangeCauses
from tests.helpers import make_planner, of_type


class ChangeCausesTest(unittest.TestCase):
    def setUp(self):
        self.causes = ChangeCauses(lambda endpoint: f"h{endpoint}", lambda endpoint: 1.0)

    def test_a_phase_change_is_the_cause_of_a_changed_weight(self):
        self.causes.note_phase_changes({1: ("ready", "draining"), 2: (None, "ready")}, 12)
        self.assertEqual(
            self.causes.causes_of({("line", 0, 1): 0.0, ("line", 0, 2): 1.0}),
            ("h1 drains, list 12 (was ready)", "h2 listed, list 12"),
        )

    def test_log_messages_about_endpoints_are_causes_and_others_are_none(self):
        self.assertEqual(
            self.causes.note_planner_message("endpoint 3 ejected: high error rate"),
            (3, "ejected: high error rate"),
        )
        for other in (
            "admitted fractions by request class: [1.0]",
            "path from zone 0 to zone 1 is slow, avoided for 10.0 s",
            "endpoint x y",
            "endpoint 3",
        ):
            self.assertIsNone(self.causes.note_planner_message(other))
        self.assertEqual(
            self.causes.causes_of({("withdrawn", 3): True}), ("h3 ejected: high error rate",)
        )
        self.assertEqual(self.causes.causes_of({("withdrawn", 4): True}), ("h4 withdrawn",))
        self.assertEqual(self.causes.causes_of({("withdrawn", 4): False}), ("h4 restored",))

    def test_a_weight_below_the_listed_one_is_a_ramp(self):
        self.assertEqual(
            self.causes.causes_of({("line", 0, 1): 0.25}), ("h1 ramps, 0.25 of its weight",)
        )
        self.assertEqual(
            self.causes.causes_of({("line", 0, 1): 1.0, ("line", 0, 2): None}),
            ("h1 added", "h2 removed"),
        )

    def test_the_most_frequent_causes_come_first_and_the_rest_is_counted(self):
        operations = {("line", 0, endpoint): 1.0 for endpoint in range(8)}
        operations["line", 1, 7] = 1.0
        operations["level", 0] = (0.5, "once")
        causes = self.causes.causes_of(operations)
        self.assertEqual(causes[0], "h7 added")
        self.assertEqual((len(causes), causes[-1]), (7, "and 3 more"))
        self.assertEqual(
            self.causes.causes_of({("level", 0): (0.5, "once")}),
            ("admitted fraction 0.50, retry policy once",),
        )

    def test_an_assigned_table_is_one_cause(self):
        self.assertEqual(
            self.causes.causes_of({("bind", 0): 1, ("line", 1, 3): 1.0}), ("put on its table",)
        )


class PlannerMessagesTest(unittest.TestCase):
    """The planner's own log messages, as `ChangeCauses` reads them."""

    def setUp(self):
        self.causes = ChangeCauses(lambda endpoint: f"h{endpoint}", lambda endpoint: 1.0)
        self.planner = make_planner(endpoints=20)
        self.ready = self.planner.fleet_load.ready_endpoints()

    def logged_by(self, act, *arguments, **options):
        """Run `act`, and return the only message that the planner logs meanwhile."""
        self.planner.commands = []
        act(*arguments, **options)
        [message] = of_type(self.planner.commands, interface.LogMessage)
        return message.text

    def assert_message_causes(self, text, endpoint, cause):
        """Assert that after the planner's message, `cause` is the cause of a changed weight."""
        self.assertEqual(self.causes.note_planner_message(text), (endpoint, cause))
        self.assertEqual(
            self.causes.causes_of({("line", 0, endpoint): None}), (f"h{endpoint} {cause}",)
        )
        self.assertEqual(
            self.causes.causes_of({("withdrawn", endpoint): True}), (f"h{endpoint} {cause}",)
        )

    def test_an_ejection_is_the_cause_of_a_changed_weight(self):
        eject = self.planner.outlier_detection.eject
        text = self.logged_by(eject, self.ready[3], self.ready, by_checks=True)
        self.assert_message_causes(text, 3, "ejected: failed health checks")
        text = self.logged_by(eject, self.ready[12], self.ready, by_checks=False)
        self.assert_message_causes(text, 12, "ejected: high error rate")

    def test_a_changed_traffic_fraction_is_the_cause_of_a_changed_weight(self):
        relief = self.planner.load_relief
        text = self.logged_by(relief.relieve, self.ready[5], self.ready)
        self.assert_message_causes(text, 5, "traffic fraction set to 0.75")
        self.planner.now += 100.0
        text = self.logged_by(relief.restore_traffic_if_due, self.ready[5])
        self.assert_message_causes(text, 5, "traffic fraction set to 1.0")

    def test_messages_about_admissions_and_paths_are_no_causes_of_endpoints(self):
        self.planner.load_shedding.admitted_fraction = 0.5
        texts = [self.logged_by(self.planner.publish_admissions)]
        for endpoint in self.planner.endpoints.values():
            latency_sum = 10.0 if endpoint.zone else 1.0
            endpoint.counts_by_zone[0] = DatedCounts(self.planner.now, 10.0, 0.0, latency_sum)
        texts.append(self.logged_by(self.planner.zone_paths.end_round))
        for text in texts:
            self.assertIsNone(self.causes.note_planner_message(text))
        self.assertEqual(self.causes.last_events, {})
