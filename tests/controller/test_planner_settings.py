"""Translation of the settings into the planner's settings."""

import unittest

from peatlead.controller.planner_settings import planner_settings

from ..standin_fleet import settings


class PlannerSettingsTest(unittest.TestCase):
    def test_every_view_connects_to_all_controllers_and_a_proxy_to_one(self):
        program_settings = settings()
        program_settings["grpc"]["proxies"] = 7
        controllers = [
            {**program_settings["steward"][0], "peer": ("127.0.0.1", 1)} for _ in range(3)
        ]
        program_settings["steward"] = controllers
        translated = planner_settings(program_settings, controllers[0], 5)
        self.assertEqual(
            (translated["stewards"], translated["proxies"], translated["peer_notes"]), (3, 22, True)
        )
        single = planner_settings(program_settings, {**controllers[0], "peer": None}, 5)
        self.assertEqual(
            (single["stewards"], single["proxies"], single["peer_notes"]), (1, 12, False)
        )

    def test_request_classes_refer_to_zones_by_number(self):
        program_settings = settings()
        zones = [zone["name"] for zone in program_settings["zone"]]
        program_settings["request_kind"][0]["only_zones"] = [zones[-1]]
        translated = planner_settings(program_settings, program_settings["steward"][0], 1)
        self.assertEqual(translated["req_kinds"][0]["only_zones"], [len(zones) - 1])
        self.assertEqual(translated["zones"], zones)
