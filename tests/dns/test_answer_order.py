"""The order of the endpoints in DNS answers."""

import random
import unittest
from collections import Counter

from hypothesis import given, strategies

from peatlead.dns.answer_order import AnswerRotation, draw_orders, srv_weights

WEIGHTS = strategies.dictionaries(
    strategies.integers(0, 40), strategies.floats(0.05, 8.0), min_size=1, max_size=14
)


class AnswerRotationTest(unittest.TestCase):
    @given(WEIGHTS, strategies.floats(0.0, 0.999), strategies.integers(1, 120))
    def test_first_addresses_match_the_weights_in_every_run_of_answers(
        self, weights, start, length
    ):
        rotation, counts, total = AnswerRotation(weights, start), Counter(), sum(weights.values())
        for pick_count in range(1, length + 1):
            counts[rotation.pick()] += 1
            for endpoint, weight in weights.items():
                self.assertLess(abs(counts[endpoint] - pick_count * weight / total), 2.0)

    def test_independent_draws_deviate_at_least_three_times_as_much(self):
        weights = {endpoint: 1.0 + endpoint % 3 for endpoint in range(12)}
        rng = random.Random(5)
        total, length = sum(weights.values()), 240

        def largest_deviation(picks):
            counts = Counter(picks)
            return max(
                abs(counts[endpoint] - length * weight / total)
                for endpoint, weight in weights.items()
            )

        rotation = AnswerRotation(weights, 0.3)
        rotation_deviation = largest_deviation(rotation.pick() for _ in range(length))
        random_deviation = largest_deviation(
            rng.choices(list(weights), list(weights.values()), k=length)
        )
        self.assertLess(rotation_deviation * 3, random_deviation)


class DrawOrdersTest(unittest.TestCase):
    @given(WEIGHTS, strategies.integers(1, 20))
    def test_answers_contain_no_endpoint_twice_and_as_many_as_possible(
        self, weights, max_endpoints
    ):
        for order in draw_orders(weights, max_endpoints, 32, 0.5):
            self.assertEqual(len(set(order)), len(order))
            self.assertEqual(len(order), min(max_endpoints, len(weights)))


class SrvWeightsTest(unittest.TestCase):
    def test_weights_keep_their_ratio_and_are_at_least_1(self):
        self.assertEqual(srv_weights({1: 4.0, 2: 1.0, 3: 1e-5}), {1: 1000, 2: 250, 3: 1})
