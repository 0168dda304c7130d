"""The weighted median."""

import unittest

from hypothesis import given, strategies

from peatlead.planner.statistics import median, weighted_median

VALUES_AND_COUNTS = strategies.lists(
    strategies.tuples(strategies.floats(0, 10), strategies.integers(0, 6)), max_size=30
)


class WeightedMedianTest(unittest.TestCase):
    @given(VALUES_AND_COUNTS)
    def test_the_weighted_median_is_the_median_of_the_repeated_values(self, values_and_counts):
        expected = median([value for value, count in values_and_counts for _ in range(count)])
        self.assertEqual(weighted_median(values_and_counts), expected)
