"""Groups of request classes, and the pools of endpoints that they may use."""

import unittest

from peatlead.planner.endpoint_pools import group_request_classes
from tests.helpers import SETTINGS, make_endpoint, make_planner


class EndpointPoolsTest(unittest.TestCase):
    def test_classes_that_may_use_the_same_endpoints_share_a_group(self):
        read, pay = SETTINGS["req_kinds"]
        classes = [read, {**pay, "only_zones": [1]}, pay, {**read, "own_zone": True}]
        groups = group_request_classes({"req_kinds": classes})
        self.assertEqual([group.request_classes for group in groups], [[0, 2], [1], [3]])
        self.assertEqual([group.zones for group in groups], [(), (1,), ()])

    def test_a_pool_that_a_new_list_does_not_change_is_kept(self):
        planner = make_planner()
        before = planner.pools.allowed_pools(0, 0)
        planner.pools.reset()
        planner.endpoint_updates.apply_entry(make_endpoint(0, 0, "gone"))
        after = planner.pools.allowed_pools(0, 0)
        self.assertIsNot(after[0], before[0])
        self.assertIs(after[1], before[1])

    def test_zones_behind_bad_paths_are_left_out_unless_no_other_zone_remains(self):
        planner = make_planner()
        planner.zone_paths.bad_paths = {(0, 1)}
        self.assertEqual(set(planner.pools.allowed_pools(0, 0)), {0})
        self.assertEqual(set(planner.pools.allowed_pools(0, None)), {0, 1})
        planner.zone_paths.bad_paths = {(0, 0), (0, 1)}
        self.assertEqual(set(planner.pools.allowed_pools(0, 0)), {0, 1})
