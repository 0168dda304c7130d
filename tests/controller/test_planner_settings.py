import unittest

from peatlead.controller.planner_settings import planner_settings

from ..standin_fleet import settings


class PlannerSettingsTest(unittest.TestCase):
    def test_every_view_connects_to_all_controllers_and_a_proxy_to_one(self):
        given = settings()
        given["grpc"]["proxies"] = 7
        controllers = [{**given["steward"][0], "peer": ("127.0.0.1", 1)} for _ in range(3)]
        given["steward"] = controllers
        made = planner_settings(given, controllers[0], 5)
        self.assertEqual((made["stewards"], made["proxies"], made["peer_notes"]), (3, 22, True))
        alone = planner_settings(given, {**controllers[0], "peer": None}, 5)
        self.assertEqual((alone["stewards"], alone["proxies"], alone["peer_notes"]), (1, 12, False))

    def test_request_classes_name_zones_by_number(self):
        given = settings()
        zones = [zone["name"] for zone in given["zone"]]
        given["request_kind"][0]["only_zones"] = [zones[-1]]
        made = planner_settings(given, given["steward"][0], 1)
        self.assertEqual(made["req_kinds"][0]["only_zones"], [len(zones) - 1])
        self.assertEqual(made["zones"], zones)
