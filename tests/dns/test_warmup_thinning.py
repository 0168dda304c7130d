"""The endpoints in each view's answers while endpoints ramp up."""

import unittest

from hypothesis import given, strategies

from peatlead.dns.warmup_thinning import WarmupThinning


class WarmupThinningTest(unittest.TestCase):
    def test_a_cold_endpoint_is_in_answers_to_small_views_only(self):
        # View 0 has half of all requests. One answer with the cold endpoint would send all requests
        # of the view to that endpoint until the TTL ends.
        thinning = WarmupThinning({view: 100.0 if view == 0 else 2.0 for view in range(50)})
        table = {0: 0.25, 1: 1.0, 2: 1.0, 3: 1.0}
        pools = thinning.decide({view: table for view in range(50)}, dict.fromkeys(range(4), 1.0))
        selected = [view for view in pools if 0 in pools[view].weights]
        self.assertNotIn(0, selected)
        self.assertTrue(selected)
        planned_rate = (100 + 49 * 2) * 0.25 / 3.25
        self.assertLessEqual(sum(2.0 / 4 for _ in selected), planned_rate)

    @given(
        strategies.lists(strategies.floats(0.1, 60.0), min_size=3, max_size=40),
        strategies.floats(0.05, 0.9),
    )
    def test_neither_one_selected_view_nor_all_together_exceed_the_planned_rate(
        self, rates, cold_weight
    ):
        thinning = WarmupThinning(dict(enumerate(rates)))
        table = {0: cold_weight, 1: 1.0, 2: 1.0}
        pools = thinning.decide(
            {view: table for view in range(len(rates))}, dict.fromkeys(range(3), 1.0)
        )
        planned_rate = sum(rates) * cold_weight / (cold_weight + 2)
        selected_rates = [rates[view] for view in pools if 0 in pools[view].weights]
        self.assertLessEqual(sum(selected_rates) / 3, planned_rate + 1e-9)
        self.assertLessEqual(max(selected_rates, default=0.0), planned_rate + 1e-9)

    def test_a_view_with_only_ramping_endpoints_gets_all_and_is_not_cacheable(self):
        thinning = WarmupThinning({0: 10.0})
        pools = thinning.decide({0: {1: 0.5, 2: 0.5}}, {1: 2.0, 2: 2.0})
        self.assertEqual(pools[0].weights, {1: 0.5, 2: 0.5})
        self.assertFalse(pools[0].cacheable)

    def test_a_warm_endpoint_is_in_the_answers_to_all_views(self):
        thinning, full_weights = WarmupThinning({view: 5.0 for view in range(8)}), {1: 1.0, 2: 1.0}
        thinning.decide({view: {1: 0.1, 2: 1.0} for view in range(8)}, full_weights)
        pools = thinning.decide({view: {1: 1.0, 2: 1.0} for view in range(8)}, full_weights)
        self.assertTrue(all(1 in thinning.pools[view].weights for view in range(8)))
        self.assertTrue(pools)

    def test_answers_to_a_busy_view_have_more_endpoints_and_are_not_cacheable(self):
        thinning = WarmupThinning({view: 1.0 for view in range(30)})
        table = dict.fromkeys(range(10), 1.0)
        thinning.decide({view: table for view in range(30)}, table)
        pools = thinning.decide({}, table, [(3, 80.0)])
        self.assertEqual((pools[3].cacheable, pools[3].min_addresses), (False, 10))
        self.assertTrue(thinning.pools[4].cacheable)
