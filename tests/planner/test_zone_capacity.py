"""The division of requests among zones."""

import unittest

from tests.helpers import SETTINGS, make_planner


class ZoneCapacityTest(unittest.TestCase):
    def test_a_plan_exists_although_a_zone_has_no_usable_endpoint(self):
        planner = make_planner(pick="lighter of two")
        for endpoint in planner.endpoints.values():
            endpoint.ejected_until = 1e9 if endpoint.zone else None
        self.assertTrue(planner.zone_capacity.compute_plan())

    def test_unrestricted_classes_leave_capacity_in_zones_that_restricted_classes_need(self):
        read, pay = SETTINGS["req_kinds"]
        planner = make_planner(pick="lighter of two", req_kinds=[{**read, "only_zones": [0]}, pay])
        planner.demand.requests = [10.0, 16.0]
        plan = planner.zone_capacity.compute_plan()
        self.assertGreater(plan[1, 0][1], plan[1, 0][0])
