import unittest

from tests.helpers import make_planner, report_round


class LoadSheddingTest(unittest.TestCase):
    def admitted_after(self, weight_fraction):
        """What is admitted a few late rounds after a cut, with all endpoints at a share of their weight."""
        planner = make_planner(report_fields=["util"], fails_to_shun=3)
        shedding = planner.load_shedding
        shedding.admitted = shedding.safe = 0.5
        shedding.cutting = True
        shedding.severity = 1.0
        shedding.next_at = 0.0
        for endpoint in planner.endpoints.values():
            endpoint.weight_fraction = endpoint.ramp = weight_fraction
            endpoint.next_step_at = 1e9
        late = 0.35 * planner.demand.mean_target()
        for _ in range(4):
            report_round(planner, utilization=0.45, latency=late)
        return shedding.admitted

    def overload(self, planner, errors, rounds):
        """Rounds in which a part of all attempts fails, at endpoints that are as full."""
        for _ in range(rounds):
            planner.now = max(planner.now, planner.load_shedding.next_at) + 1
            for endpoint in planner.endpoints.values():
                endpoint.attempts = endpoint.own_attempts = 1.0
                endpoint.errors = endpoint.utilization = errors
                endpoint.latency = 0.1
            planner.evaluate_endpoints()
            planner.load_shedding.update()

    def test_more_is_admitted_while_a_whole_fleet_has_capacity_though_it_is_late(self):
        self.assertGreater(self.admitted_after(1.0), 0.5)

    def test_no_more_is_admitted_while_endpoints_ramp(self):
        self.assertEqual(self.admitted_after(0.5), 0.5)

    def test_one_overloaded_round_cuts_gently_and_two_cut_to_the_least(self):
        planner = make_planner()
        self.overload(planner, 0.8, 1)
        self.assertGreaterEqual(planner.load_shedding.admitted, 0.9)
        self.overload(planner, 0.8, 1)
        self.assertEqual(planner.load_shedding.admitted, 0.3)

    def test_few_attempts_an_endpoint_are_enough_to_admit_more_again(self):
        planner = make_planner()
        planner.load_shedding.admitted = 0.2
        planner.load_shedding.safe = 0.5
        self.overload(planner, 0.0, 1)
        self.assertEqual(planner.load_shedding.admitted, 0.5)

    def test_errors_at_endpoints_with_capacity_cut_nothing(self):
        planner = make_planner(report_fields=["util"])
        for endpoint in planner.endpoints.values():
            endpoint.attempts = 10.0
            endpoint.errors = 6.0
            endpoint.latency = 9.0
            endpoint.utilization = 0.3
        planner.evaluate_endpoints()
        planner.load_shedding.update()
        self.assertEqual(planner.load_shedding.admitted, 1.0)
