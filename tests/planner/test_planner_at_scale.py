import unittest
from collections import Counter
from random import Random
from unittest import mock

from peatlead import interface
from peatlead.benchmarks.scale import Paced
from peatlead.planner import planner as planner_module
from peatlead.planner.planner import Planner

from ..helpers import FACTS, member, of_type
from ..helpers import planner as new_planner


class PlannerAtScaleTest(unittest.TestCase):
    """The planner with its indexes, through changes and with many proxies or endpoints."""

    def drive(self, planner, rng, steps=250):
        """Take a planner through list changes, errors and recoveries; returns the time of the last batch."""
        now = 100.0
        phases = {endpoint: ("ready", 0.0) for endpoint in range(12)}
        failing = set()
        for step in range(steps):
            now += 0.1
            events = [interface.TimerFired(0)]
            draw = rng.random()
            endpoint = rng.randrange(12)
            if draw < 0.08:
                may_drain = (
                    phases[endpoint][0] == "ready"
                    and sum(phase == "ready" for phase, _ in phases.values()) > 6
                )
                phases[endpoint] = (
                    ("draining", phases[endpoint][1]) if may_drain else ("ready", now)
                )
                events.append(
                    interface.EndpointUpdate(
                        "changes", 2, (member(endpoint, endpoint % 2, *phases[endpoint]),)
                    )
                )
            elif draw < 0.12:
                failing ^= {endpoint}
            if step % 10 == 5:
                events += [
                    interface.EndpointStats(
                        each,
                        zone,
                        9,
                        8 if each in failing else 0,
                        1.0,
                        0.1,
                        {"util": rng.uniform(0.2, 0.9)},
                    )
                    for each, (phase, _) in phases.items()
                    if phase == "ready"
                    for zone in (0, 1)
                ]
            planner.decide(now, events)
        return now

    def test_tables_that_were_not_redrawn_equal_newly_drawn_ones(self):
        compared = 0
        for seed in range(6):
            planner = new_planner(hosts=12, proxies=24)
            now = self.drive(planner, Random(seed))
            for _ in range(400):  # until all are warm, and all stages are through
                now += 0.1
                planner.decide(now, [interface.TimerFired(0)])
            unchanged = [
                proxy
                for proxy in planner.joined
                if proxy.drawn == planner.drawn
                and not proxy.wide
                and all(endpoint.moved <= proxy.wrote for endpoint in proxy.around.values())
            ]
            compared += len(unchanged)
            for proxy in unchanged:
                for group, lines in enumerate(proxy.lines):
                    self.assertEqual(lines, planner.table(proxy, group))
        self.assertGreater(compared, 24)

    def test_the_subscriber_index_follows_the_tables(self):
        for seed in range(4):
            planner = new_planner(hosts=12, proxies=24)
            self.drive(planner, Random(seed))
            for host in planner.hosts:
                self.assertEqual(
                    set(planner.held.of(host)),
                    {
                        p.number
                        for p in planner.proxies.values()
                        if any(host in lines for lines in p.lines)
                    },
                )

    def test_a_warming_endpoint_is_checked_until_it_has_its_whole_share(self):
        planner = new_planner()
        planner.decide(
            101.0, [interface.EndpointUpdate("changes", 2, (member(3, 1, "ready", 100.5),))]
        )
        self.assertIn(3, planner.restless)
        now = 101.0
        while now < 130:
            now += 0.1
            planner.decide(now, [interface.TimerFired(0)])
        self.assertEqual((planner.hosts[3].share, planner.restless), (1.0, {}))

    def test_each_ready_endpoint_is_probed_about_once_a_second(self):
        planner, now, probes = new_planner(), 100.0, Counter()
        for _ in range(100):
            now += 0.1
            probes.update(
                command.endpoint
                for command in of_type(
                    planner.decide(now, [interface.TimerFired(0)]), interface.CheckHealth
                )
            )
        self.assertEqual(len(probes), 8)
        self.assertTrue(all(8 <= many <= 11 for many in probes.values()), probes)

    def test_probes_of_many_endpoints_are_bounded_and_start_at_once_after_errors(self):
        # 1,000 probes a second were half of the work of a controller with 1,000 endpoints.
        planner, now, probes = new_planner(hosts=900), 100.0, Counter()
        for _ in range(300):
            now += 0.1
            probes.update(
                command.endpoint
                for command in of_type(
                    planner.decide(now, [interface.TimerFired(0)]), interface.CheckHealth
                )
            )
        self.assertTrue(
            0.8 * planner_module.PROBES_MOST * 30
            < sum(probes.values())
            <= 1.2 * planner_module.PROBES_MOST * 30
        )
        self.assertTrue(min(probes.values()) >= 7, probes.most_common()[-3:])
        unchecked = next(h.id for h in planner.hosts.values() if h.probe_at > now + 1)
        planner.decide(now, [interface.EndpointStats(unchecked, 0, 5, 2, 1.0, 0.1, None)])
        commands = planner.decide(now + 0.1, [interface.TimerFired(0)])
        self.assertIn(interface.CheckHealth(unchecked), commands)

    def planner_for(self, proxies):
        settings = {**FACTS, "proxies": proxies, "channel_rate": 1e6, "queue_most": 1e6}
        planner = Planner(settings, 1)
        planner.decide(
            100.0,
            [interface.EndpointUpdate("remembered", 1, tuple(member(h, h % 2) for h in range(40)))],
        )
        return planner

    def test_many_connects_are_spread_over_batches_and_a_withdrawal_goes_between(self):
        # All 3,000 in one batch took 5 to 13 s, in which no withdrawal could go out.
        proxies = 450
        planner = self.planner_for(proxies)
        now, assigned, batches = 100.0, [], 0
        commands = planner.decide(
            now, [interface.ProxyConnected(p, p % 2, 1.0, True) for p in range(proxies)]
        )
        while len(assigned) < proxies:
            new = [command.proxy for command in of_type(commands, interface.AssignTable)]
            self.assertLessEqual(len(new), planner_module.AT_ONCE)
            assigned += new
            if len(assigned) == 200:
                commands = planner.decide(
                    now, [interface.EndpointUpdate("changes", 2, (member(5, 1, "draining"),))]
                )
                [withdrawal] = of_type(commands, interface.WithdrawEndpoint)
                self.assertEqual((withdrawal.endpoint, withdrawal.withdrawn), (5, True))
                self.assertTrue(set(withdrawal.notify) <= set(planner.unbound))
                held = {
                    p.number
                    for p in planner.joined
                    if p.bound and any(5 in lines for lines in p.lines)
                }
                self.assertEqual(held, set())
                continue
            timers = [
                command
                for command in of_type(commands, interface.SetTimer)
                if command.token == planner_module.MORE
            ]
            self.assertEqual(bool(timers), len(assigned) < proxies)
            now += planner_module.SOON
            commands = planner.decide(now, [interface.TimerFired(planner_module.MORE)])
            batches += 1
            self.assertLess(batches, 10)
        self.assertEqual(sorted(assigned), list(range(proxies)))

    def test_the_timer_for_waiting_proxies_is_no_tick(self):
        planner = self.planner_for(4)
        planner.decide(100.0, [interface.ProxyConnected(p, 0, 1.0, True) for p in range(4)])
        with mock.patch.object(planner, "tend") as tended:
            self.assertEqual(planner.decide(100.5, [interface.TimerFired(planner_module.MORE)]), [])
        tended.assert_not_called()

    def test_a_lowered_cold_share_reaches_all_proxies_within_a_few_batches(self):
        planner, now = self.planner_for(450), 100.0
        commands = planner.decide(
            now, [interface.ProxyConnected(p, p % 2, 1.0, True) for p in range(450)]
        )
        while any(
            command.token == planner_module.MORE
            for command in of_type(commands, interface.SetTimer)
        ):
            now += planner_module.SOON
            commands = planner.decide(now, [interface.TimerFired(planner_module.MORE)])
        now += 60
        planner.decide(now, [interface.TimerFired(0)])
        planner.hosts[3].share = 0.5
        planner.all_dirty(planner.hosts[3])
        planner.sunk, batches = True, 0
        while planner.dirty or planner.spoiled:
            now += planner_module.SOON
            planner.decide(now, [interface.TimerFired(planner_module.MORE)])
            batches += 1
            self.assertLess(batches, 9)
        self.assertEqual(
            {lines[3] for p in planner.joined for lines in p.lines if 3 in lines}, {0.5}
        )

    def test_replacing_nearly_all_endpoints_within_half_a_minute_keeps_the_rules(self):
        run = Paced(planner_module, 60, 200, channel=2800.0)
        run.join()
        run.ticks(100)
        run.channel.deepest = 0.0
        figures = run.replace()
        self.assertEqual(figures["proxies without a line"], 0)
        self.assertLess(figures["cold host, most of what tips it"], 0.5)
        self.assertLess(figures["queue, deepest part"], 1.0)
        self.assertLessEqual(figures["messages a proxy in 10 s, most"], 30)
        run.ticks(100)
        self.assertEqual({host.share for host in run.planner.hosts.values()}, {1.0})

    def test_proxy_numbers_may_have_64_bits(self):
        planner = self.planner_for(3)
        commands = planner.decide(
            101.0, [interface.ProxyConnected(n, 0, 1.0, True) for n in (2**16, 2**32, 2**64 - 1)]
        )
        self.assertEqual(len(of_type(commands, interface.AssignTable)), 3 * len(planner.group_open))

    def test_a_table_with_too_many_cold_endpoints_gets_some_warm_ones_not_a_whole_zone(self):
        planner = Planner({**FACTS, "proxies": 3000, "channel_rate": 1e6, "queue_most": 1e6}, 1)
        planner.decide(
            100.0,
            [
                interface.EndpointUpdate(
                    "remembered", 1, tuple(member(h, h % 2) for h in range(400))
                )
            ],
        )
        planner.decide(100.0, [interface.ProxyConnected(0, 0, 1.0, True)])
        proxy = planner.proxies[0]
        for host in proxy.lines[0]:
            planner.hosts[host].cold_from, planner.hosts[host].share = 100.0, 0.25
        lines = planner.table(proxy, 0)
        cold = sum(
            weight for host, weight in lines.items() if planner.hosts[host].cold_from is not None
        )
        warm = [host for host in lines if planner.hosts[host].cold_from is None]
        self.assertTrue(0 < len(warm) <= planner_module.WARM_MOST)
        self.assertTrue(proxy.wide and cold <= 0.5 * sum(lines.values()))
