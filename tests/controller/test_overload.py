import unittest

from hypothesis import given
from hypothesis import strategies as some

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
    """Proxies that report, and a controller whose timer is late by the cost of the reports it reads."""

    def __init__(self, senders, cost, follow=True, every=1.0):
        self.overload, self.senders = OverloadControl(every, lambda low, high: low), senders
        self.cost, self.follow = cost, follow
        self.now, self.next, self.last, self.turn = (
            0.0,
            [at / senders for at in range(senders)],
            {},
            {},
        )
        self.read, self.sent, self.late, self.orders, self.backlog = [0] * senders, 0, 0.0, [], 0.0

    def run(self, seconds, extra=0.0):
        """`extra` is the part of the time that other work takes."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            spent = extra * 0.1
            for at in range(self.senders):
                while self.next[at] <= self.now:
                    self.sent += 1
                    if self.overload.takes_report(
                        self.next[at], self.last.get(at), self.turn.get(at, 0)
                    ):
                        self.read[at] += 1
                        self.last[at] = self.next[at]
                        self.overload.decide(self.now, [ReportsRead(1, self.cost)])
                        spent += self.cost
                    self.turn[at] = self.turn.get(at, 0) + 1
                    part = at * 619 % 997 / 996
                    self.next[at] += (
                        self.overload.report_interval_of(part)
                        if self.follow
                        else self.overload.every
                    )
            self.backlog = max(0.0, self.backlog + spent - 0.1)
            self.late = self.backlog
            self.orders += self.overload.decide(self.now, [TimerLateness(self.late, self.senders)])


class LoadReportTest(unittest.TestCase):
    def test_with_headroom_all_reports_are_read_without_commands(self):
        control = SimulatedProxies(100, 0.0005)
        control.run(20)
        self.assertEqual(sum(control.read), control.sent)
        self.assertEqual((control.orders, control.overload.headroom), ([], 1.0))

    def test_many_proxies_get_a_longer_interval_and_are_all_read(self):
        control = SimulatedProxies(3000, 0.0004)  # 1.2 s of work a second
        control.run(40)
        told = [order.seconds for order in control.orders if type(order) is SetReportInterval]
        self.assertTrue(
            told and told[-1] >= 1.2 / overload.REPORT_SHARE / overload.INTERVAL_STEP, told
        )
        self.assertLess(len(told), 6)
        before, sent = sum(control.read), control.sent
        control.run(30)
        self.assertGreater((sum(control.read) - before) / (control.sent - sent), 0.9)
        self.assertLess(control.late, overload.LATE_SEVERE)

    def test_proxies_that_ignore_the_interval_are_read_in_equal_parts(self):
        control = SimulatedProxies(3000, 0.0004, follow=False)
        control.run(60)
        self.assertLess(control.late, overload.LATE_SEVERE)
        self.assertGreater(min(control.read), 0)
        self.assertLessEqual(max(control.read), 3 * min(control.read) + 3)
        self.assertGreater(
            control.overload.shed["reports"] + control.overload.shed["reports early"], 0
        )

    def test_other_load_lowers_the_headroom_until_it_ends(self):
        control = SimulatedProxies(500, 0.0004)
        control.run(10)
        control.run(10, extra=1.05)
        self.assertLess(control.overload.headroom, 0.2)
        self.assertTrue(
            any(type(order) is SetGatherWindow and order.seconds > 0 for order in control.orders)
        )
        self.assertTrue(any(type(order) is LogOverload for order in control.orders))
        control.run(120)
        self.assertEqual(
            (control.overload.headroom, control.overload.interval, control.overload.gather),
            (1.0, 1.0, 0.0),
        )

    def test_a_flooding_proxy_does_not_affect_the_others(self):
        control = OverloadControl(1.0, lambda low, high: low)
        last, read, others, now = None, 0, 0, 0.0
        for step in range(2000):  # 100 a second for 20 s
            now += 0.01
            if control.takes_report(now, last, step):
                read, last = read + 1, now
                control.decide(now, [ReportsRead(1, 0.0004)])
            if step % 100 == 0:
                others += control.takes_report(now, now - 1.0, step // 100)
            if step % 10 == 0:
                control.decide(now, [TimerLateness(0.0, 2)])
        self.assertLessEqual(read, 20 / overload.EARLY_SHARE + 1)
        self.assertEqual((others, control.share), (20, 1.0))

    @given(some.integers(1, 400), some.floats(0.01, 1.0))
    def test_the_share_is_spread_evenly_over_reports(self, turns, share):
        control = OverloadControl(1.0, lambda low, high: low)
        control.share = share
        taken = [control.takes_report(float(at), None, at) for at in range(turns)]
        self.assertLessEqual(abs(sum(taken) - turns * share), 1.0)
        self.assertTrue(taken[0])

    def test_a_single_stall_is_soon_over(self):
        control, now = OverloadControl(1.0, lambda low, high: low), 0.0
        for late in [0.0] * 5 + [9.0] + [0.0] * 40:
            now += 0.1
            control.decide(now, [TimerLateness(late, 10)])
        self.assertEqual((control.headroom, control.interval), (1.0, 1.0))

    @given(
        some.lists(
            some.tuples(some.floats(0, 3), some.integers(0, 5000), some.floats(0, 0.01)),
            max_size=80,
        )
    )
    def test_outputs_stay_within_their_bounds(self, beats):
        control, now = OverloadControl(1.0, lambda low, high: low), 0.0
        for late, senders, cost in beats:
            now += 0.1
            orders = control.decide(now, [ReportsRead(3, 3 * cost), TimerLateness(late, senders)])
            for order in orders:
                if type(order) is SetReportInterval:
                    self.assertTrue(1.0 <= order.seconds <= overload.INTERVAL_FACTOR_MOST)
            self.assertTrue(0.0 <= control.headroom <= 1.0 and 0.0 < control.share <= 1.0)
            self.assertTrue(0.0 <= control.gather <= overload.GATHER_MOST)


class JoinAndQueryTest(unittest.TestCase):
    def test_a_proxy_without_a_table_never_waits(self):
        control = OverloadControl(1.0, lambda low, high: low)
        control.headroom = 0.0
        self.assertTrue(all(control.join_delay(0.0, True) == 0.0 for _ in range(5000)))
        waits = [control.join_delay(0.0, False) for _ in range(5000)]
        self.assertGreater(sum(wait > 0 for wait in waits), 4000)
        self.assertEqual(control.shed["joins"], sum(wait > 0 for wait in waits))

    def test_queries_are_limited_but_never_all_refused(self):
        control = OverloadControl(1.0, lambda low, high: low)
        control.headroom = 0.0
        taken = [control.takes_question(at * 0.01) for at in range(1000)]
        self.assertTrue(10 <= sum(taken) <= 100, sum(taken))
