"""The admitted fraction of all work under overload."""

import unittest

from tests.helpers import make_planner, report_round


class LoadSheddingTest(unittest.TestCase):
    def admitted_after_slow_rounds(self, weight_fraction):
        """Return the admitted fraction a few slow rounds after a cut to 0.5.

        All endpoints have the same published fraction of their weight.
        """
        planner = make_planner(report_fields=["util"], fails_to_shun=3)
        shedding = planner.load_shedding
        shedding.admitted_fraction = shedding.safe_fraction = 0.5
        shedding.last_change_was_cut = True
        shedding.last_cut_severity = 1.0
        shedding.next_update_at = 0.0
        for endpoint in planner.endpoints.values():
            endpoint.weight_fraction = endpoint.ramp_fraction = weight_fraction
            endpoint.next_ramp_step_at = 1e9
        latency = 0.35 * planner.demand.mean_target()
        for _ in range(4):
            report_round(planner, utilization=0.45, latency=latency)
        return shedding.admitted_fraction

    def run_failing_rounds(self, planner, errors, rounds):
        """Run rounds in which the fraction `errors` of all attempts fails.

        The utilization of each endpoint equals this fraction.
        """
        for _ in range(rounds):
            planner.now = max(planner.now, planner.load_shedding.next_update_at) + 1
            for endpoint in planner.endpoints.values():
                endpoint.attempts = endpoint.own_attempts = 1.0
                endpoint.errors = endpoint.utilization = errors
                endpoint.latency_sum = 0.1
            planner.evaluate_endpoints()
            planner.load_shedding.update()

    def test_more_is_admitted_while_a_slow_fleet_has_spare_capacity(self):
        self.assertGreater(self.admitted_after_slow_rounds(1.0), 0.5)

    def test_no_more_is_admitted_while_endpoints_ramp(self):
        self.assertEqual(self.admitted_after_slow_rounds(0.5), 0.5)

    def test_one_overloaded_round_cuts_a_little_and_two_cut_to_the_minimum(self):
        planner = make_planner()
        self.run_failing_rounds(planner, 0.8, 1)
        self.assertGreaterEqual(planner.load_shedding.admitted_fraction, 0.9)
        self.run_failing_rounds(planner, 0.8, 1)
        self.assertEqual(planner.load_shedding.admitted_fraction, 0.3)

    def test_few_attempts_per_endpoint_suffice_to_admit_more_again(self):
        planner = make_planner()
        planner.load_shedding.admitted_fraction = 0.2
        planner.load_shedding.safe_fraction = 0.5
        self.run_failing_rounds(planner, 0.0, 1)
        self.assertEqual(planner.load_shedding.admitted_fraction, 0.5)

    def test_errors_at_endpoints_with_spare_capacity_cause_no_cut(self):
        planner = make_planner(report_fields=["util"])
        for endpoint in planner.endpoints.values():
            endpoint.attempts = 10.0
            endpoint.errors = 6.0
            endpoint.latency_sum = 9.0
            endpoint.utilization = 0.3
        planner.evaluate_endpoints()
        planner.load_shedding.update()
        self.assertEqual(planner.load_shedding.admitted_fraction, 1.0)
