import unittest

from peatlead.scenario.script import load_day
from peatlead.settings import SettingsError, load_settings

from .places import SCRIPT, settings


class Complaints(unittest.TestCase):
    def told(self, old, new):
        script = SCRIPT.format(port=5300, control=5301, path="/x")
        with self.assertRaises(SettingsError) as caught:
            load_settings("s.star", script.replace(old, new))
        return str(caught.exception)

    def test_an_error_names_file_line_and_what_was_expected(self):
        for old, new, expected in (
            (
                "lifetime = 1",
                "lifetime = -1",
                "s.star:4: dns.lifetime: expected a number from 0 to 3600, got -1",
            ),
            (
                "lifetime = 1",
                "lifetime = '1'",
                "s.star:4: dns.lifetime: expected a whole number, got '1'",
            ),
            ("lifetime = 1,", "", "s.star:4: dns.lifetime: expected a value"),
            ("open_views = 4", "views = 4", "s.star:4: dns: expected only zone"),
            ('"10.1.0.0/24"', '"10.1.0.1/24"', "expected a network such as"),
            (
                'repeat = "replayable"',
                'repeat = "safe"',
                "s.star:10: request_kind.repeat: expected one of",
            ),
            (
                'zone(name = "south")',
                "zone('south')",
                "s.star:3: zone: expected every value by name",
            ),
            ("gain = 2", "gain = = 2", "s.star:10: Parse error"),
            ("gain = 2", "gain = two", "s.star:10: Variable `two` not found"),
            ("127.1.0.1:5300", "127.1.0.1", "s.star:13: steward.listen: expected ADDRESS:PORT"),
        ):
            with self.subTest(new):
                self.assertIn(expected, self.told(old, new))

    def test_what_does_not_fit_together_is_told(self):
        for old, new, expected in (
            (
                "lifetime = 1",
                "lifetime = 3",
                "dns.lifetime: expected at most 2, got 3: drain_grace less",
            ),
            (
                'view(name = "desk1", zone = "south"',
                'view(name = "desk1", zone = "east"',
                "view desk1.zone",
            ),
            ('name = "desk1"', 'name = "desk0"', "expected each view once"),
            ('"10.2.0.0/24"', '"10.1.0.0/24"', "expected each network once"),
            (
                'kinds = ["look", "file"]',
                'kinds = ["look", "fly"]',
                "service api.kinds: expected one of",
            ),
            (
                'zone(name = "south")',
                "dns(zone = 'a.b', port = 1, lifetime = 1)",
                "expected one call of dns()",
            ),
        ):
            with self.subTest(new):
                self.assertIn(expected, self.told(old, new))

    def test_no_file_and_no_text_are_told(self):
        from peatlead.settings import read_settings

        with self.assertRaisesRegex(SettingsError, "expected a readable file"):
            read_settings("/nowhere/at/all.star")
        with self.assertRaisesRegex(SettingsError, "expected a call of dns"):
            load_settings("s.star", "")

    def test_a_script_may_compute_its_views(self):
        made = settings(more='[view(name = "d%d" % i, zone = "north") for i in range(50)]\n')
        self.assertEqual(len(made["view"]), 52)


class Days(unittest.TestCase):
    def test_a_day_names_its_verbs_and_their_limits(self):
        day = load_day("d.star", "silent(at = 3, part = 0.2)\nburst(at = 1)\nday(length = 5)")
        self.assertEqual([t["verb"] for t in day["troubles"]], ["burst", "silent"])
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
