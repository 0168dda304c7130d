import unittest

from hypothesis import given
from hypothesis import strategies as some

from peatlead import interface
from peatlead.controller import overload as module
from peatlead.controller.overload import Beat, Did, Gather, OverloadControl, ReportEvery, Say
from peatlead.grpc.load_aggregation import LoadAggregator


class Crowd:
    """Senders and a steward whose timer runs late by what the reports that it reads cost past its time."""

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
        """`extra`: part of the time that other work takes."""
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
                        self.overload.decide(self.now, [Did(1, self.cost)])
                        spent += self.cost
                    self.turn[at] = self.turn.get(at, 0) + 1
                    part = at * 619 % 997 / 996
                    self.next[at] += (
                        self.overload.interval_of(part) if self.follow else self.overload.every
                    )
            self.backlog = max(0.0, self.backlog + spent - 0.1)
            self.late = self.backlog
            self.orders += self.overload.decide(self.now, [Beat(self.late, self.senders)])


class Reports(unittest.TestCase):
    def test_at_ease_all_is_read_and_nothing_is_said(self):
        made = Crowd(100, 0.0005)
        made.run(20)
        self.assertEqual(sum(made.read), made.sent)
        self.assertEqual((made.orders, made.overload.ease), ([], 1.0))

    def test_many_are_told_to_report_less_often_and_then_all_is_read(self):
        made = Crowd(3000, 0.0004)  # 1.2 s of work a second
        made.run(40)
        told = [order.seconds for order in made.orders if type(order) is ReportEvery]
        self.assertTrue(told and told[-1] >= 1.2 / module.REPORT_PART / module.STEP, told)
        self.assertLess(len(told), 6)
        before, sent = sum(made.read), made.sent
        made.run(30)
        self.assertGreater((sum(made.read) - before) / (made.sent - sent), 0.9)
        self.assertLess(made.late, module.LATE_GRAVE)

    def test_those_that_do_not_slow_down_are_read_in_turns_and_alike(self):
        made = Crowd(3000, 0.0004, follow=False)
        made.run(60)
        self.assertLess(made.late, module.LATE_GRAVE)
        self.assertGreater(min(made.read), 0)
        self.assertLessEqual(max(made.read), 3 * min(made.read) + 3)
        self.assertGreater(made.overload.shed["reports"] + made.overload.shed["reports early"], 0)

    def test_a_steward_that_is_late_for_another_reason_reads_less_and_recovers(self):
        made = Crowd(500, 0.0004)
        made.run(10)
        made.run(10, extra=1.05)
        self.assertLess(made.overload.ease, 0.2)
        self.assertTrue(any(type(order) is Gather and order.seconds > 0 for order in made.orders))
        self.assertTrue(any(type(order) is Say for order in made.orders))
        made.run(120)
        self.assertEqual(
            (made.overload.ease, made.overload.interval, made.overload.gather), (1.0, 1.0, 0.0)
        )

    def test_one_that_floods_costs_the_others_nothing(self):
        made = OverloadControl(1.0, lambda low, high: low)
        last, read, others, now = None, 0, 0, 0.0
        for step in range(2000):  # 100 a second for 20 s
            now += 0.01
            if made.takes_report(now, last, step):
                read, last = read + 1, now
                made.decide(now, [Did(1, 0.0004)])
            if step % 100 == 0:
                others += made.takes_report(now, now - 1.0, step // 100)
            if step % 10 == 0:
                made.decide(now, [Beat(0.0, 2)])
        self.assertLessEqual(read, 20 / module.EARLY + 1)
        self.assertEqual((others, made.share), (20, 1.0))

    @given(some.integers(1, 400), some.floats(0.01, 1.0))
    def test_a_share_is_spread_evenly_over_turns(self, turns, share):
        made = OverloadControl(1.0, lambda low, high: low)
        made.share = share
        taken = [made.takes_report(float(at), None, at) for at in range(turns)]
        self.assertLessEqual(abs(sum(taken) - turns * share), 1.0)
        self.assertTrue(taken[0])

    def test_one_that_stood_still_is_soon_at_ease_again(self):
        made, now = OverloadControl(1.0, lambda low, high: low), 0.0
        for late in [0.0] * 5 + [9.0] + [0.0] * 40:
            now += 0.1
            made.decide(now, [Beat(late, 10)])
        self.assertEqual((made.ease, made.interval), (1.0, 1.0))

    @given(
        some.lists(
            some.tuples(some.floats(0, 3), some.integers(0, 5000), some.floats(0, 0.01)),
            max_size=80,
        )
    )
    def test_bounds_hold_whatever_comes(self, beats):
        made, now = OverloadControl(1.0, lambda low, high: low), 0.0
        for late, senders, cost in beats:
            now += 0.1
            orders = made.decide(now, [Did(3, 3 * cost), Beat(late, senders)])
            for order in orders:
                if type(order) is ReportEvery:
                    self.assertTrue(1.0 <= order.seconds <= module.LONGEST)
            self.assertTrue(0.0 <= made.ease <= 1.0 and 0.0 < made.share <= 1.0)
            self.assertTrue(0.0 <= made.gather <= module.GATHER_MOST)


class Others(unittest.TestCase):
    def test_a_proxy_without_a_table_never_waits(self):
        made = OverloadControl(1.0, lambda low, high: low)
        made.ease = 0.0
        self.assertTrue(all(made.takes_join(0.0, True) == 0.0 for _ in range(5000)))
        waits = [made.takes_join(0.0, False) for _ in range(5000)]
        self.assertGreater(sum(wait > 0 for wait in waits), 4000)
        self.assertEqual(made.shed["joins"], sum(wait > 0 for wait in waits))

    def test_questions_are_bounded_and_a_few_always_pass(self):
        made = OverloadControl(1.0, lambda low, high: low)
        made.ease = 0.0
        taken = [made.takes_question(at * 0.01) for at in range(1000)]
        self.assertTrue(10 <= sum(taken) <= 100, sum(taken))


class Sums(unittest.TestCase):
    def test_many_reports_become_one_sum_a_host_and_zone(self):
        made = LoadAggregator()
        for at in range(100):
            made.report(5.0)
            made.host(3, at % 2, 4, 1, 0.6, 0.5, 1, 1.0 + at / 100)
            made.reqs(at, 0, 4, 1, 1.0)
        made.reqs(7, 0, 6, 0, 2.0)
        events = made.due(5.0)
        hosts = [event for event in events if type(event) is interface.EndpointStats]
        self.assertEqual(
            [(one.endpoint, one.zone, one.attempts, one.errors, one.load_report) for one in hosts],
            [(3, 0, 200, 50, {"util": 0.5}), (3, 1, 200, 50, {"util": 0.5})],
        )
        self.assertEqual([round(one.mean_latency, 9) for one in hosts], [0.2, 0.2])
        self.assertEqual(
            [one for one in events if type(one) is interface.RequestStats and one.proxy == 7],
            [interface.RequestStats(7, 0, 10, 1, 3.0)],
        )
        self.assertEqual(made.due(6.0), [])

    def test_they_wait_for_their_time_and_forget_who_left(self):
        made = LoadAggregator()
        made.wait = 0.5
        made.report(1.0)
        made.reqs(1, 0, 4, 0, 1.0)
        made.reqs(2, 0, 4, 0, 1.0)
        made.forget(1)
        self.assertEqual(made.due(1.4), [])
        self.assertEqual(made.due(1.5), [interface.RequestStats(2, 0, 4, 0, 1.0)])
