"""Restorations of endpoints that proxies may eject since an earlier stream."""

import unittest

from peatlead import interface
from peatlead.planner.channel_budget import (
    RESTORATION_QUEUE_FRACTION,
    UPDATE_QUEUE_FRACTION,
)

from ..helpers import SETTINGS, make_endpoint, make_planner, of_type

QUEUE_LIMIT = SETTINGS["queue_most"]
SAFE_WAIT = min(SETTINGS["drain_grace"], SETTINGS["bare_most"] - SETTINGS["push_delay_most"])


def restored(commands):
    """Return the restored endpoints by proxy; no endpoint is restored twice."""
    by_proxy = {}
    for command in of_type(commands, interface.RestoreEndpoints):
        endpoints = by_proxy.setdefault(command.proxy, [])
        assert not set(endpoints) & set(command.endpoints)
        endpoints += command.endpoints
    return by_proxy


def entries_of(planner, proxy):
    return set().union(*planner.proxies[proxy].entries)


class RestorationsTest(unittest.TestCase):
    def connect(self, planner, now, proxy=9, queued=0.0):
        """Connect a proxy while some entries wait in the channel."""
        planner.budget.backlog.unacknowledged_entries = queued
        return planner.decide(now, [interface.ProxyConnected(proxy, 0, 10.0, True)])

    def test_a_new_stream_restores_every_endpoint_of_its_tables_once(self):
        planner = make_planner(proxies_keep_ejections=True)
        for now in (101.0, 102.0):  # the second time the proxy reconnects
            commands = self.connect(planner, now)
            self.assertEqual(restored(commands), {9: sorted(entries_of(planner, 9))})
            commands = planner.decide(now + 0.5, [interface.TimerFired(0)])
            self.assertEqual(restored(commands), {})

    def test_each_restoration_is_counted_as_an_entry_of_the_channel(self):
        queued = {}
        for keeps_ejections in (False, True):
            planner = make_planner(proxies_keep_ejections=keeps_ejections)
            commands = self.connect(planner, 101.0)
            queued[keeps_ejections] = planner.budget.backlog.queued_entries
        [endpoints] = restored(commands).values()
        self.assertEqual(queued[True] - queued[False], len(endpoints))

    def test_restorations_wait_while_the_channel_is_busy(self):
        # In a herd they would delay the tables of other proxies and the removals of drains.
        planner = make_planner(proxies_keep_ejections=True)
        queued = RESTORATION_QUEUE_FRACTION * QUEUE_LIMIT
        commands = self.connect(planner, 101.0, queued=queued)
        self.assertEqual(
            [command.proxy for command in of_type(commands, interface.AssignTable)], [9]
        )
        self.assertEqual(restored(commands), {})
        drain = interface.EndpointUpdate("changes", 2, (make_endpoint(3, 1, "draining"),))
        planner.budget.backlog.unacknowledged_entries = queued
        commands = planner.decide(101.1, [drain])
        self.assertEqual(restored(commands), {})
        self.assertNotIn(3, entries_of(planner, 9))
        planner.budget.backlog.unacknowledged_entries = 0.0
        commands = planner.decide(101.2, [interface.TimerFired(0)])
        self.assertEqual(restored(commands)[9], sorted(entries_of(planner, 9)))

    def test_restorations_past_the_safe_wait_wait_only_for_the_room_of_updates(self):
        # The updates of a slow channel would otherwise postpone them for ever.
        planner = make_planner(proxies_keep_ejections=True)
        self.connect(planner, 101.0, queued=RESTORATION_QUEUE_FRACTION * QUEUE_LIMIT)
        overdue = 101.1 + SAFE_WAIT
        for queue_fraction, is_restored in ((UPDATE_QUEUE_FRACTION, False), (0.2, True)):
            planner.budget.backlog.unacknowledged_entries = queue_fraction * QUEUE_LIMIT
            commands = planner.decide(overdue, [interface.TimerFired(0)])
            self.assertEqual(9 in restored(commands), is_restored)

    def test_restorations_wait_no_longer_than_a_proxy_may_be_without_entries(self):
        # All endpoints of its tables may be ejected.
        planner = make_planner(proxies_keep_ejections=True, drain_grace=60.0)
        self.connect(planner, 101.0, queued=RESTORATION_QUEUE_FRACTION * QUEUE_LIMIT)
        planner.budget.backlog.unacknowledged_entries = 0.2 * QUEUE_LIMIT
        no_entries_until = 101.0 + SETTINGS["bare_most"] - SETTINGS["push_delay_most"]
        commands = planner.decide(no_entries_until + 0.1, [interface.TimerFired(0)])
        self.assertIn(9, restored(commands))

    def test_the_time_that_restorations_have_waited_ends_with_the_stream(self):
        planner = make_planner(proxies_keep_ejections=True)
        overdue = 101.1 + SAFE_WAIT
        for now in (101.0, overdue):  # the second time the proxy reconnects
            commands = self.connect(planner, now, queued=0.2 * QUEUE_LIMIT)
            self.assertEqual(restored(commands), {})

    def test_an_endpoint_that_this_controller_withdrew_is_restored_with_its_entry(self):
        planner = make_planner(proxies_keep_ejections=True)
        for phase, started_at in (("draining", 0.0), ("ready", 101.0)):
            listed = (make_endpoint(3, 1, phase, started_at),)
            planner.decide(101.0, [interface.EndpointUpdate("changes", 2, listed)])
        queued = UPDATE_QUEUE_FRACTION * QUEUE_LIMIT
        commands = self.connect(planner, 102.0, queued=queued)
        self.assertEqual(restored(commands), {9: [3]})

    def test_an_endpoint_ejected_on_this_stream_is_restored_by_the_withdrawal_s_end_alone(self):
        planner = make_planner(proxies_keep_ejections=True)
        # The proxy keeps its previous table at first, so that it is notified of the drain.
        planner.decide(101.0, [interface.ProxyConnected(9, 0, 10.0, False)])
        drain = interface.EndpointUpdate("changes", 2, (make_endpoint(3, 1, "draining"),))
        [withdrawal] = of_type(planner.decide(101.1, [drain]), interface.WithdrawEndpoint)
        self.assertEqual(withdrawal.notify, (9,))
        returned = interface.EndpointUpdate("changes", 3, (make_endpoint(3, 1, "ready", 101.2),))
        commands = planner.decide(101.2, [returned])
        self.assertEqual(of_type(commands, interface.WithdrawEndpoint), [(3, False, None)])
        planner.budget.backlog.unacknowledged_entries = 0.0
        commands = planner.decide(104.0, [interface.TimerFired(0)])
        self.assertIn(3, entries_of(planner, 9))
        self.assertEqual(restored(commands)[9], sorted(entries_of(planner, 9) - {3}))

    def test_restorations_stay_below_the_limit_on_messages(self):
        planner = make_planner(proxies_keep_ejections=True, messages_most=10, messages_span=10.0)
        queued = UPDATE_QUEUE_FRACTION * QUEUE_LIMIT
        self.connect(planner, 101.0, queued=queued)
        proxy = planner.proxies[9]
        proxy.message_times.extend([101.0] * 8)
        planner.budget.backlog.unacknowledged_entries = 0.0
        self.assertEqual(restored(planner.decide(102.0, [interface.TimerFired(0)])), {})
        commands = planner.decide(112.0, [interface.TimerFired(0)])
        self.assertEqual(restored(commands)[9], sorted(entries_of(planner, 9)))

    def test_channels_that_restore_endpoints_themselves_get_no_restorations(self):
        planner = make_planner()
        self.assertEqual(restored(self.connect(planner, 101.0)), {})
