"""Shedding of load reports, joins and queries while the controller runs late."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.controller import overload
from peatlead.controller.overload import (
    LogOverload,
    OverloadControl,
    ReportsRead,
    SetGatherWindow,
    SetReportInterval,
    TimerLateness,
)


class SimulatedProxies:
    """Proxies that report to a controller whose timer is late by the cost of processed reports.

    With `follow_interval` the proxies report at the interval that the controller sets.
    """

    def __init__(self, proxies, cost, follow_interval=True, report_interval=1.0):
        self.overload, self.proxies = (
            OverloadControl(report_interval, lambda low, high: low),
            proxies,
        )
        self.cost, self.follow_interval = cost, follow_interval
        self.now, self.next_report_at, self.last_read_at, self.report_counts = (
            0.0,
            [proxy / proxies for proxy in range(proxies)],
            {},
            {},
        )
        self.read_counts, self.sent_count, self.lateness, self.commands, self.backlog = (
            [0] * proxies,
            0,
            0.0,
            [],
            0.0,
        )

    def run(self, seconds, other_work=0.0):
        """Simulate a time; `other_work` is the fraction of the time that other work takes."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            spent = other_work * 0.1
            for proxy in range(self.proxies):
                while self.next_report_at[proxy] <= self.now:
                    self.sent_count += 1
                    if self.overload.accepts_report(
                        self.next_report_at[proxy],
                        self.last_read_at.get(proxy),
                        self.report_counts.get(proxy, 0),
                    ):
                        self.read_counts[proxy] += 1
                        self.last_read_at[proxy] = self.next_report_at[proxy]
                        self.overload.decide(self.now, [ReportsRead(1, self.cost)])
                        spent += self.cost
                    self.report_counts[proxy] = self.report_counts.get(proxy, 0) + 1
                    phase = proxy * 619 % 997 / 996
                    self.next_report_at[proxy] += (
                        self.overload.proxy_report_interval(phase)
                        if self.follow_interval
                        else self.overload.configured_interval
                    )
            self.backlog = max(0.0, self.backlog + spent - 0.1)
            self.lateness = self.backlog
            self.commands += self.overload.decide(
                self.now, [TimerLateness(self.lateness, self.proxies)]
            )


class LoadReportTest(unittest.TestCase):
    def test_with_headroom_all_reports_are_read_without_commands(self):
        simulation = SimulatedProxies(100, 0.0005)
        simulation.run(20)
        self.assertEqual(sum(simulation.read_counts), simulation.sent_count)
        self.assertEqual((simulation.commands, simulation.overload.headroom), ([], 1.0))

    def test_many_proxies_get_a_longer_interval_and_nearly_all_reports_are_read(self):
        simulation = SimulatedProxies(3000, 0.0004)  # 1.2 s of work per second
        simulation.run(40)
        intervals = [
            command.seconds for command in simulation.commands if type(command) is SetReportInterval
        ]
        self.assertTrue(
            intervals
            and intervals[-1] >= 1.2 / overload.MAX_REPORT_FRACTION / overload.INTERVAL_STEP_FACTOR,
            intervals,
        )
        self.assertLess(len(intervals), 6)
        read_before, sent_before = sum(simulation.read_counts), simulation.sent_count
        simulation.run(30)
        self.assertGreater(
            (sum(simulation.read_counts) - read_before) / (simulation.sent_count - sent_before), 0.9
        )
        self.assertLess(simulation.lateness, overload.SEVERE_LATENESS)

    def test_reports_are_shed_evenly_over_proxies_that_ignore_the_interval(self):
        simulation = SimulatedProxies(3000, 0.0004, follow_interval=False)
        simulation.run(60)
        self.assertLess(simulation.lateness, overload.SEVERE_LATENESS)
        self.assertGreater(min(simulation.read_counts), 0)
        self.assertLessEqual(max(simulation.read_counts), 3 * min(simulation.read_counts) + 3)
        self.assertGreater(
            simulation.overload.shed_counts["reports"]
            + simulation.overload.shed_counts["reports early"],
            0,
        )

    def test_other_load_lowers_the_headroom_until_it_ends(self):
        simulation = SimulatedProxies(500, 0.0004)
        simulation.run(10)
        simulation.run(10, other_work=1.05)
        self.assertLess(simulation.overload.headroom, 0.2)
        self.assertTrue(
            any(
                type(command) is SetGatherWindow and command.seconds > 0
                for command in simulation.commands
            )
        )
        self.assertTrue(any(type(command) is LogOverload for command in simulation.commands))
        simulation.run(120)
        self.assertEqual(
            (
                simulation.overload.headroom,
                simulation.overload.report_interval,
                simulation.overload.gather_window,
            ),
            (1.0, 1.0, 0.0),
        )

    def test_a_flooding_proxy_does_not_affect_the_others(self):
        control = OverloadControl(1.0, lambda low, high: low)
        last_read_at, read_count, accepted_from_others, now = None, 0, 0, 0.0
        for step in range(2000):  # 100 reports per second for 20 s
            now += 0.01
            if control.accepts_report(now, last_read_at, step):
                read_count, last_read_at = read_count + 1, now
                control.decide(now, [ReportsRead(1, 0.0004)])
            if step % 100 == 0:
                accepted_from_others += control.accepts_report(now, now - 1.0, step // 100)
            if step % 10 == 0:
                control.decide(now, [TimerLateness(0.0, 2)])
        self.assertLessEqual(read_count, 20 / overload.EARLY_REPORT_FRACTION + 1)
        self.assertEqual((accepted_from_others, control.read_fraction), (20, 1.0))

    @given(st.integers(1, 400), st.floats(0.01, 1.0))
    def test_the_read_fraction_is_spread_evenly_over_reports(self, count, fraction):
        control = OverloadControl(1.0, lambda low, high: low)
        control.read_fraction = fraction
        accepted = [control.accepts_report(float(index), None, index) for index in range(count)]
        self.assertLessEqual(abs(sum(accepted) - count * fraction), 1.0)
        self.assertTrue(accepted[0])

    def test_the_headroom_recovers_soon_from_a_single_stall(self):
        control, now = OverloadControl(1.0, lambda low, high: low), 0.0
        for late in [0.0] * 5 + [9.0] + [0.0] * 40:
            now += 0.1
            control.decide(now, [TimerLateness(late, 10)])
        self.assertEqual((control.headroom, control.report_interval), (1.0, 1.0))

    @given(
        st.lists(
            st.tuples(st.floats(0, 3), st.integers(0, 5000), st.floats(0, 0.01)),
            max_size=80,
        )
    )
    def test_outputs_stay_within_their_bounds(self, timers):
        control, now = OverloadControl(1.0, lambda low, high: low), 0.0
        for late, proxies, cost in timers:
            now += 0.1
            commands = control.decide(now, [ReportsRead(3, 3 * cost), TimerLateness(late, proxies)])
            for command in commands:
                if type(command) is SetReportInterval:
                    self.assertTrue(1.0 <= command.seconds <= overload.MAX_INTERVAL_FACTOR)
            self.assertTrue(0.0 <= control.headroom <= 1.0 and 0.0 < control.read_fraction <= 1.0)
            self.assertTrue(0.0 <= control.gather_window <= overload.MAX_GATHER_FRACTION)


class JoinAndQueryTest(unittest.TestCase):
    def test_a_proxy_without_a_table_never_waits(self):
        control = OverloadControl(1.0, lambda low, high: low)
        control.headroom = 0.0
        self.assertTrue(all(control.join_delay(0.0, True) == 0.0 for _ in range(5000)))
        delays = [control.join_delay(0.0, False) for _ in range(5000)]
        self.assertGreater(sum(delay > 0 for delay in delays), 4000)
        self.assertEqual(control.shed_counts["joins"], sum(delay > 0 for delay in delays))

    def test_queries_are_limited_but_never_all_refused(self):
        control = OverloadControl(1.0, lambda low, high: low)
        control.headroom = 0.0
        accepted = [control.accepts_query(number * 0.01) for number in range(1000)]
        self.assertTrue(10 <= sum(accepted) <= 100, sum(accepted))
