import unittest

from hypothesis import given, strategies

from peatlead.planner.statistics import median, weighted_median

COUNTED = strategies.lists(
    strategies.tuples(strategies.floats(0, 10), strategies.integers(0, 6)), max_size=30
)


class WeightedMedianTest(unittest.TestCase):
    @given(COUNTED)
    def test_the_weighted_median_is_the_median_of_the_repeated_values(self, counted):
        expected = median([value for value, count in counted for _ in range(count)])
        self.assertEqual(weighted_median(counted), expected)
