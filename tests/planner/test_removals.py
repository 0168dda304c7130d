"""Removal of unusable endpoints from tables."""

import unittest

from peatlead import interface
from tests.helpers import make_endpoint, make_planner, of_type


class RemovalsTest(unittest.TestCase):
    def test_a_draining_endpoint_is_removed_from_every_table_and_withdrawn_at_once(self):
        planner = make_planner()
        commands = planner.decide(
            101.0, [interface.EndpointUpdate("changes", 2, (make_endpoint(3, 1, "draining"),))]
        )
        # No proxy waits for a table.
        self.assertIn(interface.WithdrawEndpoint(3, True, ()), commands)
        entries = of_type(commands, interface.SetEntry)
        removed = [entry for entry in entries if entry.endpoint == 3 and not entry.weight]
        self.assertEqual(len(removed), 4)

    def test_a_removal_that_leaves_only_cold_endpoints_rewrites_the_table(self):
        planner = make_planner()
        proxy = planner.proxies[0]
        proxy.entries[0] = {0: 0.06, 1: 1.0}
        planner.endpoints[0].cold_since = 100.0
        planner.endpoints[0].weight_fraction = 0.06
        planner.endpoints[1].phase = "gone"
        planner.changes.removals_pending = True
        planner.removals.remove_unusable_endpoints()
        warm = {number for number in planner.endpoints if number > 3}
        self.assertTrue(warm <= set(proxy.entries[0]))

    def test_an_empty_table_is_rewritten_even_if_the_queue_is_full(self):
        planner = make_planner()
        proxy = planner.proxies[0]
        proxy.entries[0] = {0: 1.0}
        planner.endpoints[0].phase = "gone"
        planner.changes.removals_pending = True
        planner.budget.backlog.unacknowledged_entries = planner.settings["queue_most"]
        planner.removals.remove_unusable_endpoints()
        self.assertTrue(proxy.entries[0])
