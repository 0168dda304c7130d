import unittest
from collections import Counter
from random import Random
from unittest import mock

from hypothesis import given
from hypothesis import strategies as some

from peatlead import interface
from peatlead.benchmarks.scale import Paced
from peatlead.planner import planner as planner_module
from peatlead.planner.channel_backlog import ChannelBacklog
from peatlead.planner.planner import Planner
from peatlead.planner.rendezvous import (
    DeadlineQueue,
    RendezvousPool,
    SubscriberIndex,
    host_word,
    proxy_key,
    rank,
)

from .helpers import FACTS, member, of_type, planner


class Named:
    def __init__(self, name):
        self.name, self.word = name, host_word(name)


def pool(many):
    return [Named(b"host-%d" % at) for at in range(many)]


class Order(unittest.TestCase):
    @given(some.integers(0, 400), some.integers(0, 2**64 - 1), some.integers(1, 60), some.randoms())
    def test_the_top_is_that_of_ranking_one_by_one(self, hosts, number, many, chance):
        hosts, key = pool(hosts), proxy_key(number)
        plain = sorted(hosts, key=lambda host: (rank(key, host.word), host.name))[:many]
        chance.shuffle(hosts)  # ids and lists differ from steward to steward; names do not
        self.assertEqual(RendezvousPool(hosts).top(key, many), plain)

    def test_two_hosts_with_one_word_stand_by_name(self):
        hosts = pool(3)
        for host in hosts:
            host.word = 12345
        self.assertEqual(RendezvousPool(hosts[::-1]).top(proxy_key(7), 2), hosts[:2])

    def test_hosts_and_pairs_of_them_are_taken_as_chance_would(self):
        # Pairs that come together too often would be lost together: that is what shuffle shards are against.
        hosts, taken, pairs = RendezvousPool(pool(40)), Counter(), Counter()
        for number in range(4000):
            names = sorted(host.name for host in hosts.top(proxy_key(number), 4))
            taken.update(names)
            pairs.update((one, other) for at, one in enumerate(names) for other in names[:at])
        self.assertTrue(
            all(300 < taken[host.name] < 500 for host in hosts), taken.most_common()[::39]
        )
        mean = 4000 * 6 / 780
        spread = sum((pairs[key] - mean) ** 2 for key in pairs) / 780 / mean
        self.assertTrue(0.7 < spread < 1.3, spread)

    def test_one_that_leaves_moves_only_those_that_had_it(self):
        hosts = pool(200)
        before, after = RendezvousPool(hosts), RendezvousPool(hosts[1:])
        for number in range(300):
            old, new = before.top(proxy_key(number), 5), after.top(proxy_key(number), 5)
            if hosts[0] in old:
                old.remove(hosts[0])
                self.assertEqual(new[:4], old)
            else:
                self.assertEqual(new, old)


class Kept(unittest.TestCase):
    @given(some.lists(some.tuples(some.integers(0, 5), some.integers(0, 5), some.booleans())))
    def test_holders_are_who_holds(self, steps):
        made, plain = SubscriberIndex(), Counter()
        for host, proxy, on in steps:
            if on:
                made.put(host, proxy)
                plain[host, proxy] += 1
            elif plain[host, proxy]:
                made.take(host, proxy)
                plain[host, proxy] -= 1
        for host in range(6):
            self.assertEqual(
                set(made.of(host)), {p for (h, p), many in plain.items() if h == host and many}
            )
        self.assertEqual(set(made.of_all(range(6))), {p for (_, p), many in plain.items() if many})

    def test_what_is_due_comes_once_by_its_time(self):
        made = DeadlineQueue()
        for at, what in ((3.0, 1), (1.0, 2), (2.0, 2), (1.0, 0), (9.0, 5)):
            made.push(at, what)
        self.assertEqual((made.take(3.0), made.take(8.9), made.take(9.0)), ([0, 2, 1], [], [5]))


class AtScale(unittest.TestCase):
    """What the planner does with them."""

    def drive(self, made, chance, steps=250):
        """A planner through changes of the list, failures, returns and relief; the last orders are settled."""
        now, phases, bad = 100.0, {host: ("ready", 0.0) for host in range(12)}, set()
        for step in range(steps):
            now += 0.1
            events, drawn = [interface.TimerFired(0)], chance.random()
            host = chance.randrange(12)
            if drawn < 0.08:
                ready = (
                    phases[host][0] == "ready"
                    and sum(phase == "ready" for phase, _ in phases.values()) > 6
                )
                phases[host] = ("draining", phases[host][1]) if ready else ("ready", now)
                events.append(
                    interface.EndpointUpdate("changes", 2, (member(host, host % 2, *phases[host]),))
                )
            elif drawn < 0.12:
                bad ^= {host}
            if step % 10 == 5:
                events += [
                    interface.EndpointStats(
                        h, z, 9, 8 if h in bad else 0, 1.0, 0.1, {"util": chance.uniform(0.2, 0.9)}
                    )
                    for h, (phase, _) in phases.items()
                    if phase == "ready"
                    for z in (0, 1)
                ]
            made.decide(now, events)
        return now

    def test_tables_left_alone_are_those_that_would_come_out_the_same(self):
        seen = 0
        for seed in range(6):
            made = planner(hosts=12, proxies=24)
            now = self.drive(made, Random(seed))
            for _ in range(400):  # until all are warm, and all stages are through
                now += 0.1
                made.decide(now, [interface.TimerFired(0)])
            alone = [
                p
                for p in made.joined
                if p.drawn == made.drawn
                and not p.wide
                and all(host.moved <= p.wrote for host in p.around.values())
            ]
            seen += len(alone)
            for proxy in alone:
                for group, lines in enumerate(proxy.lines):
                    self.assertEqual(lines, made.table(proxy, group))
        self.assertGreater(seen, 24)

    def test_holders_stay_true_through_changes(self):
        for seed in range(4):
            made = planner(hosts=12, proxies=24)
            self.drive(made, Random(seed))
            for host in made.hosts:
                self.assertEqual(
                    set(made.held.of(host)),
                    {
                        p.number
                        for p in made.proxies.values()
                        if any(host in lines for lines in p.lines)
                    },
                )

    def test_a_host_that_time_alone_changes_is_looked_at_until_it_rests(self):
        made = planner()
        made.decide(
            101.0, [interface.EndpointUpdate("changes", 2, (member(3, 1, "ready", 100.5),))]
        )
        self.assertIn(3, made.restless)
        now = 101.0
        while now < 130:
            now += 0.1
            made.decide(now, [interface.TimerFired(0)])
        self.assertEqual((made.hosts[3].share, made.restless), (1.0, {}))

    def test_each_ready_host_is_probed_about_once_a_second(self):
        made, now, probes = planner(), 100.0, Counter()
        for _ in range(100):
            now += 0.1
            probes.update(
                order.endpoint
                for order in of_type(
                    made.decide(now, [interface.TimerFired(0)]), interface.CheckHealth
                )
            )
        self.assertEqual(len(probes), 8)
        self.assertTrue(all(8 <= many <= 11 for many in probes.values()), probes)

    def test_probes_of_many_hosts_are_bounded_and_go_at_once_where_tries_fail(self):
        # 1,000 probes a second were half of what a steward of 1,000 hosts did.
        made, now, probes = planner(hosts=900), 100.0, Counter()
        for _ in range(300):
            now += 0.1
            probes.update(
                order.endpoint
                for order in of_type(
                    made.decide(now, [interface.TimerFired(0)]), interface.CheckHealth
                )
            )
        self.assertTrue(
            0.8 * planner_module.PROBES_MOST * 30
            < sum(probes.values())
            <= 1.2 * planner_module.PROBES_MOST * 30
        )
        self.assertTrue(min(probes.values()) >= 7, probes.most_common()[-3:])
        later = next(h.id for h in made.hosts.values() if h.probe_at > now + 1)
        made.decide(now, [interface.EndpointStats(later, 0, 5, 2, 1.0, 0.1, None)])
        orders = made.decide(now + 0.1, [interface.TimerFired(0)])
        self.assertIn(interface.CheckHealth(later), orders)

    @given(some.lists(some.tuples(some.floats(0, 10), some.integers(0, 6)), max_size=30))
    def test_the_middle_of_counted_values_is_that_of_all(self, counted):
        plain = planner_module.middle([value for value, many in counted for _ in range(many)])
        self.assertEqual(planner_module.middles(counted), plain)

    def crowd(self, many):
        facts = {**FACTS, "proxies": many, "channel_rate": 1e6, "queue_most": 1e6}
        made = Planner(facts, 1)
        made.decide(
            100.0,
            [interface.EndpointUpdate("remembered", 1, tuple(member(h, h % 2) for h in range(40)))],
        )
        return made

    def test_many_joins_are_spread_and_a_removal_goes_between(self):
        # All 3,000 in one batch took 5 to 13 s, in which no withdrawal could go out.
        made, many = self.crowd(450), 450
        now, bound, waited = 100.0, [], 0
        orders = made.decide(
            now, [interface.ProxyConnected(p, p % 2, 1.0, True) for p in range(many)]
        )
        while len(bound) < many:
            new = [order.proxy for order in of_type(orders, interface.AssignTable)]
            self.assertLessEqual(len(new), planner_module.AT_ONCE)
            bound += new
            if len(bound) == 200:
                orders = made.decide(
                    now, [interface.EndpointUpdate("changes", 2, (member(5, 1, "draining"),))]
                )
                [told] = of_type(orders, interface.WithdrawEndpoint)
                self.assertEqual((told.endpoint, told.withdrawn), (5, True))
                self.assertTrue(set(told.notify) <= set(made.unbound))
                held = {
                    p.number
                    for p in made.joined
                    if p.bound and any(5 in lines for lines in p.lines)
                }
                self.assertEqual(held, set())
                continue
            again = [
                order
                for order in of_type(orders, interface.SetTimer)
                if order.token == planner_module.MORE
            ]
            self.assertEqual(bool(again), len(bound) < many)
            now += planner_module.SOON
            orders = made.decide(now, [interface.TimerFired(planner_module.MORE)])
            waited += 1
            self.assertLess(waited, 10)
        self.assertEqual(sorted(bound), list(range(many)))

    def test_the_timer_of_a_crowd_is_no_tick(self):
        made = self.crowd(4)
        made.decide(100.0, [interface.ProxyConnected(p, 0, 1.0, True) for p in range(4)])
        with mock.patch.object(made, "tend") as tended:
            self.assertEqual(made.decide(100.5, [interface.TimerFired(planner_module.MORE)]), [])
        tended.assert_not_called()

    def test_cold_shares_that_sink_reach_all_within_a_few_batches(self):
        made, now = self.crowd(450), 100.0
        orders = made.decide(
            now, [interface.ProxyConnected(p, p % 2, 1.0, True) for p in range(450)]
        )
        while any(
            order.token == planner_module.MORE for order in of_type(orders, interface.SetTimer)
        ):
            now += planner_module.SOON
            orders = made.decide(now, [interface.TimerFired(planner_module.MORE)])
        now += 60
        made.decide(now, [interface.TimerFired(0)])
        made.hosts[3].share = 0.5
        made.all_dirty(made.hosts[3])
        made.sunk, batches = True, 0
        while made.dirty or made.spoiled:
            now += planner_module.SOON
            made.decide(now, [interface.TimerFired(planner_module.MORE)])
            batches += 1
            self.assertLess(batches, 9)
        self.assertEqual({lines[3] for p in made.joined for lines in p.lines if 3 in lines}, {0.5})

    def test_a_release_of_nearly_all_hosts_within_half_a_minute_keeps_the_rules(self):
        run = Paced(planner_module, 60, 200, channel=2800.0)
        run.join()
        run.ticks(100)
        run.channel.deepest = 0.0
        told = run.replace()
        self.assertEqual(told["proxies without a line"], 0)
        self.assertLess(told["cold host, most of what tips it"], 0.5)
        self.assertLess(told["queue, deepest part"], 1.0)
        self.assertLessEqual(told["messages a proxy in 10 s, most"], 30)
        run.ticks(100)
        self.assertEqual({host.share for host in run.planner.hosts.values()}, {1.0})

    def test_numbers_up_to_2_to_the_64_are_proxies(self):
        made = self.crowd(3)
        orders = made.decide(
            101.0, [interface.ProxyConnected(n, 0, 1.0, True) for n in (2**16, 2**32, 2**64 - 1)]
        )
        self.assertEqual(len(of_type(orders, interface.AssignTable)), 3 * len(made.group_open))

    def test_a_table_with_too_many_cold_hosts_gets_some_warm_ones_not_all_of_a_large_zone(self):
        made = Planner({**FACTS, "proxies": 3000, "channel_rate": 1e6, "queue_most": 1e6}, 1)
        made.decide(
            100.0,
            [
                interface.EndpointUpdate(
                    "remembered", 1, tuple(member(h, h % 2) for h in range(400))
                )
            ],
        )
        made.decide(100.0, [interface.ProxyConnected(0, 0, 1.0, True)])
        proxy = made.proxies[0]
        for host in proxy.lines[0]:
            made.hosts[host].cold_from, made.hosts[host].share = 100.0, 0.25
        lines = made.table(proxy, 0)
        cold = sum(
            weight for host, weight in lines.items() if made.hosts[host].cold_from is not None
        )
        warm = [host for host in lines if made.hosts[host].cold_from is None]
        self.assertTrue(0 < len(warm) <= planner_module.WARM_MOST)
        self.assertTrue(proxy.wide and cold <= 0.5 * sum(lines.values()))


class WaitingLines(unittest.TestCase):
    """What two proxies are written in each batch: 50 lines, a head of 6 and a mark."""

    def written(self, *batches):
        made = ChannelBacklog(6, 10.0)
        for at, lines in batches:
            made.advance(float(at))
            made.add("a", lines, True)
            made.add("b", lines, True)
            self.assertEqual(made.end_batch(), at)
        return made

    def test_what_no_answer_covers_waits_however_long_the_pace_says_it_takes(self):
        made = self.written((1, 50), (2, 50), (3, 50))
        made.advance(9.0)
        self.assertEqual(made.lines, 3 * 2 * 57)
        made.answered("a", 3)
        self.assertEqual(made.lines, 57)
        made.answered("b", 3)
        self.assertEqual(made.lines, 0.0)

    def test_answers_that_come_late_twice_never_or_of_nothing_do_no_harm(self):
        made = self.written((1, 50), (2, 50))
        for proxy, mark in (("b", 2), ("a", 1), ("a", 1), ("b", 7), ("c", 2), ("b", 2), ("a", 0)):
            made.answered(proxy, mark)
            self.assertEqual(
                made.unanswered, 57
            )  # b's answer covers the first batch and its own message, no more
        made.answered("a", 2)
        self.assertEqual(made.unanswered, 0.0)
        made = self.written((1, 50))
        made.advance(11.5)
        self.assertEqual(made.lines, 0.0)

    def test_what_was_written_to_one_that_left_waits_no_longer(self):
        # Whoever loses a thousand proxies at once would take their lines to wait until they are too old to count.
        made = self.written((1, 50), (2, 50))
        made.add("a", 3, True)
        made.left("a")
        self.assertEqual((made.unanswered, made.open_lines), (2 * 57, 0))
        made.left("b")
        self.assertEqual((made.unanswered, len(made.batches)), (0.0, 0))
        self.assertEqual(made.end_batch(), 0)

    def test_a_batch_counts_before_it_is_closed_and_one_that_writes_nothing_has_no_mark(self):
        made = ChannelBacklog(6, 10.0)
        self.assertEqual(made.end_batch(), 0)
        made.add("a", 3, True)
        made.add("a", 1, False)
        self.assertEqual(made.lines, 11)

    def test_numbers_of_marks_come_round_again(self):
        made = ChannelBacklog(0, 1.0)
        for at in range(65_536):
            made.advance(at / 10)
            made.add("a", 1, True)
            last = made.end_batch()
        self.assertEqual(last, 1)
        self.assertLessEqual(len(made.batches), 11)
        made.answered("a", 1)
        self.assertEqual(made.unanswered, 0.0)
