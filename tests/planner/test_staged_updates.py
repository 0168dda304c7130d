"""Publication of changed tables in stages."""

import unittest

from peatlead import interface
from tests.helpers import make_planner, of_type


class StagedUpdatesTest(unittest.TestCase):
    def test_a_proxy_with_an_unchanged_table_does_not_count_in_a_stage(self):
        planner = make_planner(endpoints=40, proxies=60, channel_rate=1e6, queue_most=1e6)
        planner.context.expected_proxies = 60.0
        planner.changes.mark_all_changed()
        for tick in range(200):
            planner.decide(101.0 + tick, [interface.TimerFired(0)])
        endpoint = planner.endpoints[0]
        subscribers = set(planner.context.subscriber_index.subscribers(0))
        self.assertLess(len(subscribers), 40)
        endpoint.weight_fraction = 0.5
        planner.changes.mark_endpoint_changed(endpoint)
        staged = set()
        stages = 0
        while not subscribers <= staged and stages < 60:
            stages += 1
            planner.staged_updates.next_stage_at = 0.0
            entries = of_type(planner.decide(planner.now + 0.1, []), interface.SetEntry)
            staged |= {entry.table for entry in entries if entry.weight == 0.5}
            self.assertLessEqual(len({entry.table for entry in entries}), 6)
        self.assertLessEqual(stages, -(-len(subscribers) // 6))
