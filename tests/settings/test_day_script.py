"""Loading of scenario scripts (day scripts)."""

import unittest

from peatlead.scenario.script import load_day
from peatlead.settings import SettingsError


class DayScriptTest(unittest.TestCase):
    def test_faults_are_sorted_by_time_and_their_values_are_checked(self):
        day = load_day("d.star", "silent(at = 3, part = 0.2)\nburst(at = 1)\nday(length = 5)")
        self.assertEqual([fault["verb"] for fault in day["troubles"]], ["burst", "silent"])
        for script, expected in (
            ("silent(part = 2)", "d.star:1: silent.part: expected a number from 0.0 to 1.0"),
            ("quiet()", "Variable `quiet` not found"),
            ("steward_killed(steward = 2)", "expected under 2"),
            ('hung(zone = "mars")', "hung.zone: expected one of"),
        ):
            with (
                self.subTest(script),
                self.assertRaisesRegex(SettingsError, expected.replace("(", r"\(")),
            ):
                load_day("d.star", script)
