"""Loading of settings scripts and the errors in them."""

import unittest

from peatlead.settings import SettingsError, load_settings, read_settings

from ..standin_fleet import SCRIPT, settings


class LoaderTest(unittest.TestCase):
    def load_error(self, old, new):
        """Return the error of loading the test script with `old` replaced by `new`."""
        script = SCRIPT.format(port=5300, control=5301, path="/x")
        with self.assertRaises(SettingsError) as caught:
            load_settings("s.star", script.replace(old, new))
        return str(caught.exception)

    def test_an_error_has_the_file_the_line_and_what_was_expected(self):
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
                self.assertIn(expected, self.load_error(old, new))

    def test_inconsistent_values_are_errors(self):
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
                self.assertIn(expected, self.load_error(old, new))

    def test_a_missing_file_and_an_empty_script_are_errors(self):
        with self.assertRaisesRegex(SettingsError, "expected a readable file"):
            read_settings("/nowhere/at/all.star")
        with self.assertRaisesRegex(SettingsError, "expected a call of dns"):
            load_settings("s.star", "")

    def test_a_script_may_compute_its_views(self):
        loaded = settings(
            extra_script='[view(name = "d%d" % i, zone = "north") for i in range(50)]\n'
        )
        self.assertEqual(len(loaded["view"]), 52)
