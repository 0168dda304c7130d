"""Admitted fractions of tables whose endpoints are cold."""

import unittest

from peatlead import interface
from peatlead.benchmarks.cold_endpoints import FleetPlan
from peatlead.benchmarks.cold_fleet import ColdFleet
from peatlead.benchmarks.cold_start import COURSES, OTHER_ZONE, ZONE, InformedFleet, play
from tests.helpers import SETTINGS, make_endpoint, make_planner, of_type

OWN_ZONE_CLASSES = [
    {**request_class, "own_zone": request_class["name"] == "read"}
    for request_class in SETTINGS["req_kinds"]
]
NOW = 100.0
# The platform asks for half of what a policy serves that knows the true state.
MIN_SHARE_OF_INFORMED = 0.5


def make_zone_planner(**settings):
    """Return a planner whose class `read` stays in its zone; endpoints 0, 2, 4, 6 are in zone 0."""
    return make_planner(req_kinds=OWN_ZONE_CLASSES, report_fields=["util"], **settings)


def start_cold(planner, numbers, others="gone", now=NOW + 1.0):
    """Restart some endpoints of zone 0 and change the phase of the others. Return the commands."""
    listed = [
        make_endpoint(number, 0, "ready" if number in numbers else others, started_at=now - 0.5)
        for number in (0, 2, 4, 6)
        if number in numbers or others != "ready"
    ]
    return planner.decide(now, [interface.EndpointUpdate("changes", 2, tuple(listed))])


def tick(planner, times, start=NOW + 1.0):
    """Let ticks pass and return their commands."""
    commands = []
    for number in range(times):
        commands += planner.decide(start + number / 10, [interface.TimerFired(0)])
    return commands


def table_fractions(commands):
    """Return the last fraction that the commands set for each table."""
    return {
        command.table: command.fraction
        for command in of_type(commands, interface.SetAdmission)
        if command.table is not None
    }


class ColdZoneTest(unittest.TestCase):
    def check_course(self, name, **plan):
        """Play a course: no endpoint may fall, and requests are served as by the other policy."""
        given = FleetPlan(**plan)
        result = play(ColdFleet(given), COURSES[name])
        informed = play(InformedFleet(given, 0.8), COURSES[name])
        self.assertEqual((result.fallen, result.breaches), ([], []))
        self.assertGreaterEqual(
            result.by_zone[ZONE].share, MIN_SHARE_OF_INFORMED * informed.by_zone[ZONE].share
        )
        return result

    def test_cold_endpoints_of_a_zone_are_not_pushed_over_by_classes_that_stay_in_it(self):
        # review/2: the only endpoint of a zone got all requests of such classes, and fell.
        for plan in ({}, {"repeats": 3}, {"warm_up_exponent": 2.0, "seed": 2}):
            result = self.check_course("one by one", **plan)
            self.assertGreater(result.by_zone[OTHER_ZONE].share, 0.95)

    def test_a_zone_or_a_fleet_that_starts_is_not_pushed_over(self):
        self.check_course("all at once", seed=3)
        self.check_course("whole fleet", seed=3)

    def test_a_cold_endpoint_does_not_get_the_requests_of_drained_or_silent_warm_ones(self):
        self.check_course("warm drained", seed=4)
        result = play(ColdFleet(FleetPlan(seed=1, warm_up_exponent=2.0)), COURSES["warm silent"])
        self.assertEqual((result.fallen, result.breaches), ([], []))


class TableAdmissionTest(unittest.TestCase):
    def test_the_first_cold_endpoint_of_a_table_and_its_fraction_are_sent_together(self):
        planner = make_zone_planner()
        commands = start_cold(planner, [0])
        for number, proxy in planner.proxies.items():
            entries = proxy.entries[0]
            if proxy.zone == 0:
                self.assertEqual(set(entries), {0})
                self.assertLess(table_fractions(commands)[proxy.first_table], 0.5)
                self.assertNotIn(proxy.first_table + 1, table_fractions(commands))
            else:
                self.assertNotIn(proxy.first_table, table_fractions(commands), number)

    def test_the_fraction_grows_while_endpoints_warm_up_and_ends_at_1(self):
        planner = make_zone_planner()
        table = planner.proxies[0].first_table
        first = table_fractions(start_cold(planner, [0, 2, 4, 6]))[table]
        tick(planner, 70)
        later = planner.proxies[0].admissions[0].fraction
        self.assertLess(first, later)
        tick(planner, 100, NOW + 8.0)
        self.assertEqual(planner.proxies[0].admissions[0].fraction, 1.0)
        self.assertEqual(planner.table_admission.limits, {})

    def test_tables_with_enough_warm_endpoints_are_not_limited(self):
        planner = make_zone_planner()
        commands = start_cold(planner, [0], others="ready")
        self.assertEqual(table_fractions(commands + tick(planner, 20)), {})

    def test_an_endpoint_that_no_check_has_found_yet_is_limited_too(self):
        # Without another ready endpoint, tables name it before it is confirmed.
        planner = make_zone_planner()
        start_cold(planner, [])
        commands = planner.decide(
            NOW + 3.0,
            [interface.EndpointUpdate("changes", 3, (make_endpoint(50, 0, started_at=NOW + 2),))],
        )
        proxy = planner.proxies[0]
        self.assertEqual(set(proxy.entries[0]), {50})
        self.assertLess(table_fractions(commands)[proxy.first_table], 0.5)

    def test_a_class_with_one_endpoint_is_limited_while_it_is_cold(self):
        classes = [{**SETTINGS["req_kinds"][0], "only_zones": (1,)}, SETTINGS["req_kinds"][1]]
        planner = make_planner(endpoints=2, req_kinds=classes)
        commands = planner.decide(
            NOW + 1,
            [interface.EndpointUpdate("changes", 2, (make_endpoint(1, 1, started_at=NOW),))],
        )
        limited = table_fractions(commands)
        for proxy in planner.proxies.values():
            self.assertLess(limited[proxy.first_table], 0.5)
            self.assertNotIn(proxy.first_table + 1, limited)

    def test_removals_that_leave_cold_endpoints_alone_carry_the_fraction(self):
        planner = make_zone_planner(queue_most=60.0)
        start_cold(planner, [0], others="ready")
        tick(planner, 5)
        planner.budget.has_room = lambda fraction=0.4: fraction > 0.5  # for removals alone
        drained = tuple(make_endpoint(number, 0, "draining") for number in (2, 4, 6))
        commands = planner.decide(NOW + 2.0, [interface.EndpointUpdate("changes", 3, drained)])
        self.assertLess(table_fractions(commands)[planner.proxies[0].first_table], 0.5)

    def test_tables_with_their_own_admission_follow_the_retry_policy(self):
        planner = make_zone_planner()
        start_cold(planner, [0])
        planner.table_admission.set_retry_policy("never")
        commands = tick(planner, 10)
        policies = {
            command.retry_policy
            for command in of_type(commands, interface.SetAdmission)
            if command.table is not None
        }
        self.assertEqual(policies, {"never"})

    def test_an_announced_rate_of_one_proxy_does_not_decide_the_fraction_of_all(self):
        fractions = []
        for rate in (10.0, 1e6):
            planner = make_zone_planner(proxies=12)
            planner.capacity.by_zone = {0: 20.0, 1: 20.0}
            planner.decide(NOW, [interface.ProxyConnected(11, 1, rate, True)])
            planner.decide(NOW, [interface.ProxyConnected(10, 0, rate, True)])
            fractions.append(table_fractions(start_cold(planner, [0]))[0])
        self.assertGreater(fractions[1], fractions[0] / 3)

    def test_a_fleet_of_which_nothing_is_known_is_served_all_the_same(self):
        planner = make_zone_planner(proxies=0)
        listed = tuple(make_endpoint(number, number % 2, started_at=NOW) for number in range(8))
        planner.decide(NOW + 1.0, [interface.EndpointUpdate("whole", 2, listed)])
        commands = planner.decide(NOW + 1.1, [interface.ProxyConnected(0, 0, 0.0, True)])
        fractions = table_fractions(commands)
        self.assertTrue(0.05 < fractions[0] < 0.5, fractions)


class EndpointCapacityTest(unittest.TestCase):
    def report(self, planner, now, attempts, util, numbers=(0, 2, 4, 6)):
        for number in numbers:
            planner.decide(
                now, [interface.EndpointStats(number, 0, attempts, 0, 1.0, 0.1, {"util": util})]
            )
        planner.decide(now + 0.3, [interface.TimerFired(0)])

    def test_capacity_is_the_requests_served_divided_by_the_utilization(self):
        planner = make_zone_planner()
        for second in range(1, 20):
            self.report(planner, NOW + second, 10, 0.5)
        self.assertAlmostEqual(planner.capacity.per_weight(0), 20.0, delta=1.0)
        self.assertAlmostEqual(planner.capacity.per_weight(1), 20.0, delta=1.0)

    def test_reports_on_one_endpoint_or_of_failures_do_not_decide_the_capacity(self):
        planner = make_zone_planner()
        for second in range(1, 20):
            self.report(planner, NOW + second, 10, 0.5, (0, 2, 4))
            self.report(planner, NOW + second + 0.4, 400, 0.5, (6,))
        self.assertAlmostEqual(planner.capacity.per_weight(0), 20.0, delta=2.0)
        failing = [interface.EndpointStats(n, 0, 50, 50, 1.0, 0.0, None) for n in (0, 2, 4, 6)]
        planner.decide(NOW + 20, failing)
        planner.decide(NOW + 20.3, [interface.TimerFired(0)])
        self.assertAlmostEqual(planner.capacity.per_weight(0), 20.0, delta=2.0)
