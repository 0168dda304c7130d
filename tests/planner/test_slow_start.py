"""Ramps and published weights of cold endpoints."""

import unittest

from peatlead import interface
from tests.helpers import make_endpoint, make_planner


class SlowStartTest(unittest.TestCase):
    def test_the_ramp_of_a_new_endpoint_is_not_longer_than_its_warm_up(self):
        planner = make_planner(warm_after=1.0)
        planner.decide(
            200.0, [interface.EndpointUpdate("changes", 2, (make_endpoint(50, started_at=199.9),))]
        )
        planner.decide(200.1, [interface.HealthCheckResult(50, "ok", 0.01, None)])
        for tick in range(2, 14):
            planner.decide(200.0 + tick / 10, [interface.TimerFired(0)])
        self.assertEqual(planner.endpoints[50].weight_fraction, 1.0)

    def test_the_weight_of_a_cold_endpoint_is_limited_and_zero_in_a_saturated_fleet(self):
        planner = make_planner()
        endpoint = planner.endpoints[0]
        planner.now = endpoint.cold_since = 100.0
        endpoint.ramp_fraction = 1.0
        weight_fraction = planner.slow_start.target_weight_fraction(endpoint)
        self.assertLessEqual(weight_fraction, 0.3 * 4.0 * 0.2 + 1e-9)
        planner.fleet_load.mean_weight_fraction = 0.5
        self.assertLess(planner.slow_start.target_weight_fraction(endpoint), weight_fraction)
        planner.settings["fails_to_shun"] = 3
        planner.fleet_load.saturated = True
        self.assertEqual(planner.slow_start.target_weight_fraction(endpoint), 0.0)
