"""Ejection of failing endpoints, and its limits."""

import unittest

from peatlead import interface
from peatlead.planner.outlier_detection import failed_checks_to_eject
from tests.helpers import make_planner, report_round


class OutlierDetectionTest(unittest.TestCase):
    def test_a_hung_endpoint_with_few_old_successes_is_ejected_while_peers_have_capacity(self):
        # Reports of old successes must not delay the ejection while peers have capacity.
        planner = make_planner(report_fields=["util"])
        report_round(planner, errors=9, failed_checks=4)
        self.assertFalse(planner.endpoints[0].usable)

    def test_a_hung_endpoint_with_few_old_successes_stays_while_peers_are_full(self):
        planner = make_planner(report_fields=["util"])
        for _ in range(3):
            report_round(planner, utilization=0.85)
        report_round(planner, errors=9, utilization=0.85, failed_checks=4)
        self.assertTrue(planner.endpoints[0].usable)

    def test_a_single_failing_endpoint_is_ejected_and_a_shared_fault_ejects_none(self):
        planner = make_planner()
        for endpoint in planner.endpoints.values():
            endpoint.attempts, endpoint.errors, endpoint.latency_sum = 10.0, 6.0, 1.0
        planner.evaluate_endpoints()
        self.assertTrue(all(endpoint.usable for endpoint in planner.endpoints.values()))
        for endpoint in planner.endpoints.values():
            endpoint.attempts, endpoint.errors = 10.0, 6.0 if endpoint.id == 5 else 0.0
            endpoint.latency_sum = 0.1 * (endpoint.attempts - endpoint.errors)
        planner.evaluate_endpoints()
        self.assertEqual(
            [state.id for state in planner.endpoints.values() if not state.usable], [5]
        )

    def test_a_busy_endpoint_with_failed_checks_stays_and_a_silent_one_is_ejected(self):
        planner = make_planner()
        planner.now = 110.0
        for endpoint in planner.endpoints.values():
            endpoint.last_success_at = 109.5
        busy = planner.endpoints[2]
        silent = planner.endpoints[3]
        busy.failed_checks = silent.failed_checks = silent.errors = 4
        silent.last_success_at = 105.0
        planner.evaluate_endpoints()
        self.assertEqual(
            [state.id for state in planner.endpoints.values() if not state.usable], [3]
        )

    def test_health_checks_alone_eject_if_no_attempts_are_reported(self):
        for reported, usable in ((True, True), (False, False)):
            planner = make_planner(tries_told=reported)
            now = 100.0
            for _ in range(40):
                now += 0.25
                results = [
                    interface.HealthCheckResult(
                        number, "timed out" if number == 3 else "ok", 0.1, None
                    )
                    for number in range(8)
                ]
                planner.decide(now, [*results, interface.TimerFired(0)])
            in_a_table = any(3 in proxy.entries[0] for proxy in planner.context.connected_proxies)
            self.assertEqual((planner.endpoints[3].usable, in_a_table), (usable, usable))

    def test_more_failed_checks_are_needed_if_checks_often_fail_by_chance(self):
        ready = list(make_planner().endpoints.values())
        required = []
        for rate in (0.0, 0.1, 0.5, 0.8, 1.0):
            for endpoint in ready:
                endpoint.check_failure_rate = rate
            required.append(failed_checks_to_eject(ready))
        self.assertEqual(required[:2], [3.0, 3.0])
        self.assertAlmostEqual(required[2], 9.97, 2)
        self.assertAlmostEqual(required[3], 30.96, 2)
        self.assertEqual(required[4], required[3])

    def test_at_most_forty_percent_of_the_endpoints_are_ejected(self):
        planner = make_planner(endpoints=10)
        ready = planner.fleet_load.ready_endpoints()
        for endpoint in ready:
            planner.outlier_detection.eject(endpoint, ready, by_checks=False)
        self.assertEqual(sum(not endpoint.usable for endpoint in ready), 4)

    def test_a_repeated_ejection_lasts_twice_as_long(self):
        planner = make_planner(endpoints=10)
        ready = planner.fleet_load.ready_endpoints()
        endpoint = ready[0]
        durations = []
        for _ in range(5):
            planner.outlier_detection.eject(endpoint, ready, by_checks=False)
            durations.append(endpoint.ejected_until - planner.now)
            planner.now = endpoint.ejected_until
            planner.outlier_detection.end_ejection_if_due(endpoint)
        self.assertEqual(durations, [10.0, 20.0, 40.0, 60.0, 60.0])
