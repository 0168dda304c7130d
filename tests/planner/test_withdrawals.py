"""Withdrawals, and notifications of proxies that wait for tables."""

import unittest

from peatlead import interface
from peatlead.controller.publisher import Publisher
from tests.helpers import make_endpoint, make_planner, of_type


def draining(count):
    """Return the first endpoints of a list, draining."""
    return tuple(make_endpoint(number, number % 2, "draining") for number in range(count))


class WithdrawalsTest(unittest.TestCase):
    def test_a_proxy_that_waits_for_its_tables_is_sent_earlier_withdrawals(self):
        planner = make_planner()
        planner.decide(
            101.0, [interface.EndpointUpdate("changes", 2, (make_endpoint(3, 1, "draining"),))]
        )
        planner.budget.backlog.unacknowledged_entries = planner.settings["queue_most"]
        commands = planner.decide(101.0, [interface.ProxyConnected(9, 0, 10.0, True)])
        self.assertFalse(of_type(commands, interface.AssignTable))
        self.assertIn(interface.WithdrawEndpoint(3, True, (9,)), commands)

    def test_withdrawals_that_would_fill_the_queue_are_not_sent_again(self):
        planner = make_planner(endpoints=80, channel_rate=100.0, queue_most=400.0)
        planner.decide(
            101.0,
            [interface.EndpointUpdate("changes", 2, draining(60))],
        )
        commands = planner.decide(101.1, [interface.ProxyConnected(9, 0, 10.0, False)])
        self.assertFalse(of_type(commands, interface.WithdrawEndpoint))

    def test_notifications_of_waiting_proxies_do_not_fill_the_queue(self):
        # Many waiting proxies times many draining endpoints could exceed the queue.
        planner = make_planner(endpoints=60, channel_rate=100.0, queue_most=400.0)
        planner.budget.backlog.unacknowledged_entries = 180.0
        planner.decide(
            101.0,
            [interface.ProxyConnected(number, number % 2, 10.0, False) for number in range(10, 40)],
        )
        commands = planner.decide(
            101.1,
            [interface.EndpointUpdate("changes", 2, draining(9))],
        )
        self.assertEqual(
            {command.notify for command in of_type(commands, interface.WithdrawEndpoint)}, {()}
        )
        publisher = Publisher()
        publisher.join(10, enforces_admission=True)
        publisher.join(11, enforces_admission=True)
        self.assertEqual(publisher.route([interface.WithdrawEndpoint(3, True, ())])[0], {})
        self.assertEqual(
            list(publisher.route([interface.WithdrawEndpoint(3, True, (10, 12))])[0]), [10]
        )
        self.assertEqual(list(publisher.route([interface.WithdrawEndpoint(3, True)])[0]), [11])
        planner.budget.backlog.unacknowledged_entries = 0.0
        planner.budget.backlog.batches.clear()
        commands = [
            command
            for tick in range(60)
            for command in planner.decide(101.2 + tick / 10, [interface.TimerFired(0)])
        ]
        self.assertTrue(of_type(commands, interface.AssignTable))
