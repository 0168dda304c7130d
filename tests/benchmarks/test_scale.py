"""Comparison of the planner's CPU time with that of an earlier checkout."""

import unittest
from pathlib import Path

from peatlead.benchmarks.scale import SizeResult, measure, measure_older, planner_module

ROOT = Path(__file__).resolve().parents[2]


class EarlierCheckoutTest(unittest.TestCase):
    def test_an_earlier_checkout_is_measured_step_by_step_in_a_child_process(self):
        now = measure(planner_module, 12, 24)
        before = measure_older(ROOT, 12, 24)
        self.assertEqual(list(before), list(now))
        row = SizeResult(12, 24, now, before).to_json()
        self.assertEqual(list(row), ["hosts", "proxies", "now", "before", "ratio"])
        self.assertEqual(list(row["ratio"]), list(now))
