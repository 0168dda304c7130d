"""Decaying counts of reported attempts."""

import unittest

from peatlead import interface
from peatlead.planner.endpoint_state import Counts
from peatlead.planner.load_statistics import sum_counts
from tests.helpers import make_endpoint, make_planner


class LoadStatisticsTest(unittest.TestCase):
    def test_reports_from_before_a_start_are_ignored(self):
        planner = make_planner()
        planner.decide(
            101.0,
            [interface.EndpointUpdate("changes", 2, (make_endpoint(3, 1, started_at=100.9),))],
        )
        planner.load_statistics.on_endpoint_stats(
            interface.EndpointStats(3, 0, 9, 9, 4.0, 0.0, None)
        )
        self.assertFalse(planner.endpoints[3].counts_by_zone)

    def test_counts_last_until_the_next_report_if_reports_are_infrequent(self):
        planner = make_planner()
        planner.load_statistics.reporting_cycle = 5.0
        planner.load_statistics.on_endpoint_stats(
            interface.EndpointStats(2, 0, 10, 0, 5.0, 0.1, None)
        )
        planner.now += 2.0
        planner.end_round()
        self.assertGreater(planner.endpoints[2].attempts, 5.0)

    def test_counts_decay_to_a_quarter_within_a_cycle(self):
        planner = make_planner()
        report = interface.EndpointStats(2, 0, 8, 4, 1.0, 0.5, None)
        planner.load_statistics.on_endpoint_stats(report)
        planner.now += planner.load_statistics.reporting_cycle
        planner.load_statistics.on_endpoint_stats(report)
        counts = planner.endpoints[2].counts_by_zone[0]
        self.assertAlmostEqual(counts.attempts, 10.0)
        self.assertAlmostEqual(counts.errors, 5.0)
        self.assertAlmostEqual(counts.latency_sum, 2.5)

    def test_the_sum_of_no_counts_is_zero(self):
        self.assertEqual(sum_counts([]), Counts(0.0, 0.0, 0.0))
