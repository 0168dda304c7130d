"""The planner under list changes, and with many proxies or endpoints."""

import unittest
from collections import Counter
from random import Random
from unittest import mock

from peatlead import interface
from peatlead.benchmarks.paced_runs import PacedRun
from peatlead.planner import planner as planner_module
from peatlead.planner.health_checks import MAX_CHECKS_PER_SECOND
from peatlead.planner.planner import Planner
from peatlead.planner.shuffle_sharding import MAX_ADDED_WARM_ENDPOINTS
from peatlead.planner.table_assignment import TABLES_PER_BATCH
from peatlead.planner.timers import CONTINUE_DELAY, CONTINUE_TIMER

from ..helpers import SETTINGS, make_endpoint, make_planner, of_type


class PlannerAtScaleTest(unittest.TestCase):
    """Indexes, schedules and limits of the planner, under list changes or with a large fleet."""

    def run_list_changes(self, planner, rng, steps=250):
        """Run a planner through list changes, errors and recoveries, drawn from `rng`.

        Return the time of the last batch.
        """
        now = 100.0
        phases = {endpoint: ("ready", 0.0) for endpoint in range(12)}
        failing = set()
        for step in range(steps):
            now += 0.1
            events = [interface.TimerFired(0)]
            random_value = rng.random()
            endpoint = rng.randrange(12)
            if random_value < 0.08:
                may_drain = (
                    phases[endpoint][0] == "ready"
                    and sum(phase == "ready" for phase, _ in phases.values()) > 6
                )
                phases[endpoint] = (
                    ("draining", phases[endpoint][1]) if may_drain else ("ready", now)
                )
                events.append(
                    interface.EndpointUpdate(
                        "changes", 2, (make_endpoint(endpoint, endpoint % 2, *phases[endpoint]),)
                    )
                )
            elif random_value < 0.12:
                failing ^= {endpoint}
            if step % 10 == 5:
                events += [
                    interface.EndpointStats(
                        number,
                        zone,
                        9,
                        8 if number in failing else 0,
                        1.0,
                        0.1,
                        {"util": rng.uniform(0.2, 0.9)},
                    )
                    for number, (phase, _) in phases.items()
                    if phase == "ready"
                    for zone in (0, 1)
                ]
            planner.decide(now, events)
        return now

    def test_tables_that_were_not_recomputed_equal_newly_computed_ones(self):
        compared_proxies = 0
        for seed in range(6):
            planner = make_planner(endpoints=12, proxies=24)
            now = self.run_list_changes(planner, Random(seed))
            for _ in range(400):  # until all endpoints are warm and all stages are written
                now += 0.1
                planner.decide(now, [interface.TimerFired(0)])
            unchanged = [
                proxy
                for proxy in planner.context.connected_proxies
                if proxy.seen_global_change_count == planner.changes.global_change_count
                and not proxy.has_endpoints_outside_shards
                and all(
                    endpoint.last_change_count <= proxy.seen_change_count
                    for endpoint in proxy.source_endpoints.values()
                )
            ]
            compared_proxies += len(unchanged)
            for proxy in unchanged:
                for group, entries in enumerate(proxy.entries):
                    self.assertEqual(entries, planner.sharding.table(proxy, group))
        self.assertGreater(compared_proxies, 24)

    def test_the_subscriber_index_follows_the_tables(self):
        for seed in range(4):
            planner = make_planner(endpoints=12, proxies=24)
            self.run_list_changes(planner, Random(seed))
            for endpoint in planner.endpoints:
                self.assertEqual(
                    set(planner.context.subscriber_index.subscribers(endpoint)),
                    {
                        proxy.number
                        for proxy in planner.proxies.values()
                        if any(endpoint in entries for entries in proxy.entries)
                    },
                )

    def test_a_warming_endpoint_is_active_until_it_has_its_full_weight(self):
        planner = make_planner()
        planner.decide(
            101.0, [interface.EndpointUpdate("changes", 2, (make_endpoint(3, 1, "ready", 100.5),))]
        )
        self.assertIn(3, planner.schedule.active)
        now = 101.0
        while now < 130:
            now += 0.1
            planner.decide(now, [interface.TimerFired(0)])
        self.assertEqual((planner.endpoints[3].weight_fraction, planner.schedule.active), (1.0, {}))

    def test_each_ready_endpoint_is_checked_about_once_per_second(self):
        planner, now, checks = make_planner(), 100.0, Counter()
        for _ in range(100):
            now += 0.1
            checks.update(
                command.endpoint
                for command in of_type(
                    planner.decide(now, [interface.TimerFired(0)]), interface.CheckHealth
                )
            )
        self.assertEqual(len(checks), 8)
        self.assertTrue(all(8 <= count <= 11 for count in checks.values()), checks)

    def test_checks_of_many_endpoints_are_limited_and_start_at_once_after_errors(self):
        # Checks of a thousand endpoints per second would take half of a controller's time.
        planner, now, checks = make_planner(endpoints=900), 100.0, Counter()
        for _ in range(300):
            now += 0.1
            checks.update(
                command.endpoint
                for command in of_type(
                    planner.decide(now, [interface.TimerFired(0)]), interface.CheckHealth
                )
            )
        self.assertTrue(
            0.8 * MAX_CHECKS_PER_SECOND * 30
            < sum(checks.values())
            <= 1.2 * MAX_CHECKS_PER_SECOND * 30
        )
        self.assertTrue(min(checks.values()) >= 7, checks.most_common()[-3:])
        unchecked = next(
            endpoint.id
            for endpoint in planner.endpoints.values()
            if endpoint.next_check_at > now + 1
        )
        planner.decide(now, [interface.EndpointStats(unchecked, 0, 5, 2, 1.0, 0.1, None)])
        commands = planner.decide(now + 0.1, [interface.TimerFired(0)])
        self.assertIn(interface.CheckHealth(unchecked), commands)

    def make_large_planner(self, proxies):
        """Return a planner for this number of proxies, with 40 endpoints and a fast channel."""
        settings = {**SETTINGS, "proxies": proxies, "channel_rate": 1e6, "queue_most": 1e6}
        planner = Planner(settings, 1)
        planner.decide(
            100.0,
            [
                interface.EndpointUpdate(
                    "remembered",
                    1,
                    tuple(make_endpoint(number, number % 2) for number in range(40)),
                )
            ],
        )
        return planner

    def test_many_connections_are_spread_over_batches_and_a_withdrawal_is_sent_in_between(self):
        # Assigning all tables in one batch would delay a withdrawal by seconds.
        proxies = 450
        planner = self.make_large_planner(proxies)
        now, assigned, batches = 100.0, [], 0
        commands = planner.decide(
            now, [interface.ProxyConnected(proxy, proxy % 2, 1.0, True) for proxy in range(proxies)]
        )
        while len(assigned) < proxies:
            newly_assigned = [command.proxy for command in of_type(commands, interface.AssignTable)]
            self.assertLessEqual(len(newly_assigned), TABLES_PER_BATCH)
            assigned += newly_assigned
            if len(assigned) == 200:
                commands = planner.decide(
                    now,
                    [interface.EndpointUpdate("changes", 2, (make_endpoint(5, 1, "draining"),))],
                )
                [withdrawal] = of_type(commands, interface.WithdrawEndpoint)
                self.assertEqual((withdrawal.endpoint, withdrawal.withdrawn), (5, True))
                self.assertTrue(set(withdrawal.notify) <= set(planner.unassigned))
                holders = {
                    proxy.number
                    for proxy in planner.context.connected_proxies
                    if proxy.assigned and any(5 in entries for entries in proxy.entries)
                }
                self.assertEqual(holders, set())
                continue
            timers = [
                command
                for command in of_type(commands, interface.SetTimer)
                if command.token == CONTINUE_TIMER
            ]
            self.assertEqual(bool(timers), len(assigned) < proxies)
            now += CONTINUE_DELAY
            commands = planner.decide(now, [interface.TimerFired(CONTINUE_TIMER)])
            batches += 1
            self.assertLess(batches, 10)
        self.assertEqual(sorted(assigned), list(range(proxies)))

    def test_the_continuation_timer_is_not_a_tick(self):
        planner = self.make_large_planner(4)
        planner.decide(100.0, [interface.ProxyConnected(proxy, 0, 1.0, True) for proxy in range(4)])
        with mock.patch.object(planner, "advance_endpoint") as advance_endpoint:
            self.assertEqual(planner.decide(100.5, [interface.TimerFired(CONTINUE_TIMER)]), [])
        advance_endpoint.assert_not_called()

    def test_a_decreased_cold_weight_reaches_all_proxies_within_a_few_batches(self):
        planner, now = self.make_large_planner(450), 100.0
        commands = planner.decide(
            now, [interface.ProxyConnected(proxy, proxy % 2, 1.0, True) for proxy in range(450)]
        )
        while any(
            command.token == CONTINUE_TIMER for command in of_type(commands, interface.SetTimer)
        ):
            now += CONTINUE_DELAY
            commands = planner.decide(now, [interface.TimerFired(CONTINUE_TIMER)])
        now += 60
        planner.decide(now, [interface.TimerFired(0)])
        planner.endpoints[3].weight_fraction = 0.5
        planner.changes.mark_endpoint_changed(planner.endpoints[3])
        planner.changes.weight_decrease_pending = True
        batches = 0
        while planner.changes.pending_proxies or planner.changes.all_pending:
            now += CONTINUE_DELAY
            planner.decide(now, [interface.TimerFired(CONTINUE_TIMER)])
            batches += 1
            self.assertLess(batches, 9)
        self.assertEqual(
            {
                entries[3]
                for proxy in planner.context.connected_proxies
                for entries in proxy.entries
                if 3 in entries
            },
            {0.5},
        )

    def test_replacing_nearly_all_endpoints_within_half_a_minute_stays_within_the_limits(self):
        run = PacedRun(planner_module, 60, 200, channel_rate=2800.0)
        run.connect_proxies()
        run.run_ticks(100)
        run.channel.peak_size = 0.0
        figures = run.replace_endpoints()
        self.assertEqual(figures["proxies without entries"], 0)
        self.assertLess(figures["max load of a cold endpoint / overload threshold"], 0.5)
        self.assertLess(figures["max queue length / limit"], 1.0)
        self.assertLessEqual(figures["max messages per proxy within 10 s"], 30)
        run.run_ticks(100)
        self.assertEqual(
            {endpoint.weight_fraction for endpoint in run.planner.endpoints.values()}, {1.0}
        )

    def test_proxy_numbers_may_have_64_bits(self):
        planner = self.make_large_planner(3)
        commands = planner.decide(
            101.0,
            [
                interface.ProxyConnected(number, 0, 1.0, True)
                for number in (2**16, 2**32, 2**64 - 1)
            ],
        )
        self.assertEqual(
            len(of_type(commands, interface.AssignTable)), 3 * len(planner.pools.groups)
        )

    def test_a_table_with_too_many_cold_endpoints_gets_a_limited_number_of_warm_ones(self):
        planner = Planner({**SETTINGS, "proxies": 3000, "channel_rate": 1e6, "queue_most": 1e6}, 1)
        planner.decide(
            100.0,
            [
                interface.EndpointUpdate(
                    "remembered",
                    1,
                    tuple(make_endpoint(number, number % 2) for number in range(400)),
                )
            ],
        )
        planner.decide(100.0, [interface.ProxyConnected(0, 0, 1.0, True)])
        proxy = planner.proxies[0]
        for endpoint in proxy.entries[0]:
            planner.endpoints[endpoint].cold_since, planner.endpoints[endpoint].weight_fraction = (
                100.0,
                0.25,
            )
        entries = planner.sharding.table(proxy, 0)
        cold = sum(
            weight
            for endpoint, weight in entries.items()
            if planner.endpoints[endpoint].cold_since is not None
        )
        warm = [endpoint for endpoint in entries if planner.endpoints[endpoint].cold_since is None]
        self.assertTrue(0 < len(warm) <= MAX_ADDED_WARM_ENDPOINTS)
        self.assertTrue(proxy.has_endpoints_outside_shards and cold <= 0.5 * sum(entries.values()))
