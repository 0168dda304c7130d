"""Relief of slow or full endpoints."""

import unittest

from tests.helpers import make_planner


class LoadReliefTest(unittest.TestCase):
    def test_excluded_proxies_are_chosen_among_the_endpoints_subscribers(self):
        planner = make_planner(proxies=8)
        for number in range(4):
            planner.writer.set_entry(planner.proxies[number], 0, 1, 0.0)
        endpoint = planner.endpoints[1]
        planner.load_relief.set_traffic_fraction(endpoint, 0.5)
        excluded = endpoint.excluded_proxies
        self.assertTrue(excluded and excluded <= {4, 5, 6, 7})

    def test_a_slow_endpoint_leaves_some_shards_and_a_slow_fleet_changes_none(self):
        planner = make_planner()
        for all_slow in (True, False):
            planner.now += 10
            for endpoint in planner.endpoints.values():
                slow = all_slow or endpoint.id == 1
                endpoint.attempts = 10.0
                endpoint.errors = 0.0
                endpoint.latency_sum = 9.0 if slow else 1.0
            planner.evaluate_endpoints()
        relieved = {
            endpoint.id: endpoint.excluded_proxies
            for endpoint in planner.endpoints.values()
            if endpoint.excluded_proxies
        }
        self.assertEqual({number: len(proxies) for number, proxies in relieved.items()}, {1: 1})
        [excluded] = relieved[1]
        self.assertNotIn(1, planner.sharding.table(planner.proxies[excluded], 0))
