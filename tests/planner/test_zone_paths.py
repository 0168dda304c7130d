"""Detection of slow paths between zones."""

import unittest

from peatlead.planner.endpoint_state import DatedCounts
from tests.helpers import make_planner, zones_of


class ZonePathsTest(unittest.TestCase):
    def test_a_zone_whose_endpoints_are_all_slow_is_avoided(self):
        planner = make_planner()
        for endpoint in planner.endpoints.values():
            endpoint.counts_by_zone[0] = DatedCounts(
                planner.now, 10.0, 0.0, 10.0 if endpoint.zone else 1.0
            )
        planner.zone_paths.end_round()
        avoiding, unchanged = [
            planner.sharding.table(planner.proxies[number], 0) for number in (0, 1)
        ]
        self.assertEqual(zones_of(planner, avoiding), {0})
        self.assertEqual(zones_of(planner, unchanged), {0, 1})
