"""Log events about proxies and the channel."""

import unittest

from peatlead import interface
from peatlead.platform.telemetry import STATUS_INTERVAL, Telemetry

from ..helpers import make_planner
from ..platforms import (
    instance,
    run_with_platform,
)
from ..standin_fleet import until


class Events(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.telemetry = Telemetry(lambda event, **fields: self.events.append((event, fields)))

    def test_the_proxies_event_names_proxies_that_joined_left_or_received_tables(self):
        self.telemetry.proxy_joined(1, True)
        self.telemetry.proxy_left(2, "reset")
        self.telemetry.message_written(
            1,
            {
                ("bind", 0): 4,
                ("line", 4, 7): 1.0,
                ("line", 3, 6): 0.0,
                ("withdrawn", 7): False,
                ("withdrawn", 8): False,
                ("withdrawn", 6): True,
            },
        )
        self.telemetry.end_batch(100.0, make_planner())
        self.assertEqual(
            self.events[0], ("proxies", {"joined": [1], "left": {"reset": [2]}, "tables": [1]})
        )
        self.assertEqual(
            {
                name: self.events[1][1]["since"][name]
                for name in ("tables", "lines", "removed_lines", "shut_out", "restored")
            },
            {"tables": 1, "lines": 2, "removed_lines": 1, "shut_out": 1, "restored": 2},
        )

    def test_the_status_is_logged_once_per_interval_and_not_while_idle(self):
        idle_planner = make_planner()
        idle_planner.decide(200.0, [])
        self.telemetry.end_batch(200.0, idle_planner)
        self.assertEqual(self.events, [])
        for quarter in range(4):
            self.telemetry.count("messages")
            self.telemetry.end_batch(200.0 + STATUS_INTERVAL * (1 + quarter / 4), idle_planner)
        self.assertEqual([event for event, _ in self.events], ["channel"])

    def test_the_status_counts_waiting_proxies(self):
        waiting_planner = make_planner(queue_most=10.0)
        waiting_planner.decide(101.0, [interface.ProxyConnected(2, 0, 5.0, False)])
        status = waiting_planner.status(102.5)
        self.assertEqual(
            (status.connected_proxies, status.unassigned_proxies, status.longest_wait), (4, 2, 2.5)
        )
        self.assertGreater(status.queued_entries, 0)

    def test_the_status_counts_proxies_that_wait_for_restorations(self):
        planner = make_planner(proxies_keep_ejections=True)
        planner.budget.backlog.unacknowledged_entries = 0.3 * planner.context.settings["queue_most"]
        planner.decide(101.0, [interface.ProxyConnected(9, 0, 5.0, True)])
        waiting = planner.status(101.0)
        self.assertEqual((waiting.unassigned_proxies, waiting.unrestored_proxies > 0), (0, True))
        self.telemetry.log_status(waiting._replace(queued_entries=0.0))
        self.assertEqual([event for event, _ in self.events], ["channel"])
        planner.budget.backlog.unacknowledged_entries = 0.0
        planner.decide(110.0, [interface.TimerFired(0)])
        self.assertEqual(planner.status(110.0).unrestored_proxies, 0)

    def test_a_controller_logs_joins_tables_and_ends_of_streams(self):
        async def case(platform):
            proxy = await platform.connect_proxy(3)
            await until(lambda: proxy.messages)
            platform.discovery.publish(instance(2, lifecycle="leaving"))
            await until(
                lambda: any(
                    ["s-2", 0.0] in message.get("endpoints", ()) for message in proxy.messages
                )
            )
            proxy.abort("over")
            await until(
                lambda: any(event == "proxies" and fields["left"] for event, fields in platform.log)
            )
            return [fields for event, fields in platform.log if event == "proxies"]

        events = run_with_platform(case)
        for name in ("joined", "tables"):
            self.assertEqual([number for fields in events for number in fields[name]], [3], name)
        self.assertEqual(list(events[-1]["left"].values()), [[3]])
