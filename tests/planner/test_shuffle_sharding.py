"""Shards and tables of proxies."""

import unittest

from peatlead import interface
from peatlead.planner.table_weights import is_cold_heavy, prefix_of_weight
from tests.helpers import SETTINGS, make_endpoint, make_planner, of_type, zones_of


class ShuffleShardingTest(unittest.TestCase):
    def test_added_warm_endpoints_leave_the_cold_ones_their_load(self):
        # Too many warm endpoints in a table would leave too few requests for the cold ones.
        planner = make_planner(endpoints=60, proxies=400, channel_rate=1e6, queue_most=1e6)
        planner.context.expected_proxies = 400.0
        proxy = planner.proxies[0]
        shard = [
            endpoint
            for chosen in planner.sharding.shard(proxy, 0).endpoints_by_zone.values()
            for endpoint in chosen
        ]
        for endpoint in shard[:2]:
            endpoint.cold_since = 100.0
            endpoint.weight_fraction = 0.37
        planner.changes.mark_all_changed()
        planner.sharding.end_batch()
        table = planner.sharding.table(proxy, 0)
        total = sum(table.values())
        cold = sum(
            weight
            for number, weight in table.items()
            if planner.endpoints[number].cold_since is not None
        )
        self.assertLessEqual(cold, 0.2 * total + 1e-9)
        self.assertLess(total, max(len(shard), 0.74 / 0.2) + 1.0)
        self.assertGreaterEqual(total, len(shard) - 1e-9)

    def test_every_controller_computes_the_same_shard(self):
        planner = make_planner()
        other = make_planner()
        tables = planner.proxies[2].entries
        self.assertEqual(tables, other.proxies[2].entries)
        self.assertEqual(zones_of(planner, tables[0]), {0, 1})

    def test_a_shard_without_usable_endpoints_is_replaced_by_all_ready_endpoints(self):
        planner = make_planner()
        shard = planner.sharding.shard(planner.proxies[0], 0)
        for members in shard.endpoints_by_zone.values():
            for endpoint in members:
                endpoint.phase = "gone"
        planner.endpoint_updates.apply_entry(make_endpoint(50, 0))
        planner.pools.ready_pools.clear()
        self.assertEqual(set(planner.sharding.table(planner.proxies[0], 0)), {50})

    def test_a_class_restricted_to_some_zones_has_no_entries_in_others(self):
        read, pay = SETTINGS["req_kinds"]
        planner = make_planner(req_kinds=[{**read, "only_zones": [1]}, pay])
        tables = planner.proxies[0].entries
        self.assertEqual(zones_of(planner, tables[0]), {1})
        self.assertEqual(zones_of(planner, tables[1]), {0, 1})

    def test_ejections_never_leave_a_proxy_without_an_entry(self):
        planner = make_planner()
        for endpoint in planner.endpoints.values():
            endpoint.ejected_until = 1e9
        self.assertTrue(planner.sharding.table(planner.proxies[0], 0))

    def test_a_table_never_consists_of_cold_endpoints_only(self):
        planner = make_planner()
        proxy = planner.proxies[0]
        for endpoint in planner.endpoints.values():
            if endpoint.zone == proxy.zone:
                endpoint.cold_since = 100.0
                endpoint.weight_fraction = 0.06
        table = planner.sharding.table(proxy, 0)
        self.assertTrue(any(planner.endpoints[number].cold_since is None for number in table))
        for endpoint in planner.endpoints.values():
            endpoint.cold_since = 100.0 if endpoint.id else None
        self.assertIn(0, planner.sharding.table(proxy, 0))

    def test_a_table_is_cold_heavy_if_a_fifth_of_its_weight_is_cold(self):
        planner = make_planner()
        endpoints = list(planner.endpoints.values())
        endpoints[0].cold_since = 100.0
        endpoints[0].weight_fraction = 0.37
        self.assertTrue(is_cold_heavy(endpoints[:2]))
        self.assertFalse(is_cold_heavy(endpoints[:4]))

    def test_proxies_whose_numbers_are_hashes_of_names_get_tables(self):
        planner = make_planner()
        commands = planner.decide(101.0, [interface.ProxyConnected(2**47 + 5, 0, 1.0, True)])
        self.assertTrue(of_type(commands, interface.AssignTable))

    def test_a_prefix_has_the_weight_and_at_least_one_endpoint(self):
        endpoints = list(make_planner().endpoints.values())
        for weight, count in ((-1.0, 1), (0.0, 1), (1.0, 1), (1.5, 2), (3.0, 3), (99.0, 8)):
            self.assertEqual(len(prefix_of_weight(endpoints, weight)), count)
        self.assertEqual(prefix_of_weight([], 1.0), [])

    def test_warm_endpoints_of_the_zone_join_a_cold_table_of_a_class_that_stays_in_it(self):
        # They were looked for in all zones, of which such a class may use none.
        classes = [{**request_class, "own_zone": True} for request_class in SETTINGS["req_kinds"]]
        planner = make_planner(
            endpoints=40, proxies=200, channel_rate=1e6, queue_most=1e6, req_kinds=classes
        )
        proxy = planner.proxies[0]
        planner.context.expected_proxies = 200.0
        shard = {endpoint.id for endpoint in planner.sharding.shard(proxy, 0).endpoints_by_zone[0]}
        self.assertLess(len(shard), 20)
        for number in shard:
            planner.endpoints[number].cold_since = 100.0
            planner.endpoints[number].weight_fraction = 0.06
        warm = planner.sharding.table(proxy, 0).keys() - shard
        self.assertTrue(warm)
        self.assertEqual({planner.endpoints[number].zone for number in warm}, {0})
