"""The causes of versions, in operators' words."""

import unittest

from peatlead.tables.change_causes import ChangeCauses


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
            self.causes.note_planner_message("host 3 dropped: sums"), (3, "dropped: sums")
        )
        for other in ("levels [1.0]", "way from zone 0 to 1 is bad, 10 s", "host x y", "host 3"):
            self.assertIsNone(self.causes.note_planner_message(other))
        self.assertEqual(self.causes.causes_of({("withdrawn", 3): True}), ("h3 dropped: sums",))
        self.assertEqual(self.causes.causes_of({("withdrawn", 4): True}), ("h4 withdrawn",))
        self.assertEqual(self.causes.causes_of({("withdrawn", 4): False}), ("h4 let in again",))

    def test_a_weight_below_the_listed_one_is_a_ramp(self):
        self.assertEqual(
            self.causes.causes_of({("line", 0, 1): 0.25}), ("h1 ramps, 0.25 of its weight",)
        )
        self.assertEqual(
            self.causes.causes_of({("line", 0, 1): 1.0, ("line", 0, 2): None}), ("h1 in", "h2 out")
        )

    def test_the_most_frequent_causes_come_first_and_the_rest_is_counted(self):
        operations = {("line", 0, endpoint): 1.0 for endpoint in range(8)}
        operations["line", 1, 7] = 1.0
        operations["level", 0] = (0.5, "once")
        causes = self.causes.causes_of(operations)
        self.assertEqual(causes[0], "h7 in")
        self.assertEqual((len(causes), causes[-1]), (7, "and 3 more"))
        self.assertEqual(
            self.causes.causes_of({("level", 0): (0.5, "once")}), ("level 0.50, second tries once",)
        )

    def test_an_assigned_table_is_one_cause(self):
        self.assertEqual(
            self.causes.causes_of({("bind", 0): 1, ("line", 1, 3): 1.0}), ("put on its table",)
        )
