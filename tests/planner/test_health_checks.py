"""Results of health checks."""

import unittest

from peatlead import interface
from tests.helpers import make_endpoint, make_planner


class HealthChecksTest(unittest.TestCase):
    def test_an_endpoint_listed_later_is_not_used_until_a_check_confirms_it(self):
        planner = make_planner()
        planner.decide(101.0, [interface.EndpointUpdate("changes", 2, (make_endpoint(70),))])
        self.assertNotIn(70, planner.sharding.table(planner.proxies[0], 0))
        planner.health_checks.on_result(interface.HealthCheckResult(70, "errored", 0.01, None))
        self.assertFalse(planner.endpoints[70].usable)
        planner.health_checks.on_result(interface.HealthCheckResult(70, "ok", 0.01, None))
        self.assertTrue(planner.endpoints[70].usable)
