import unittest

from peatlead.wire.settings import settings_from_environment


class SettingsFromTest(unittest.TestCase):
    def test_settings_get_our_names_and_seconds_and_unknown_keys_are_skipped(self):
        settings = settings_from_environment(
            {
                "familyInfo": {"emptyForUs": 3000000, "new": 1},
                "classes": [{"repeat": "by_key", "targetUs": 400000, "group": "cell"}],
            }
        )
        self.assertEqual(settings["bare_most"], 3.0)
        self.assertEqual(settings["req_kinds"][0]["repeat"], "uniqued")
        self.assertEqual(settings["req_kinds"][0]["response_target"], 0.4)
        self.assertNotIn("new", settings)
