"""Replacement of a planner that raises an exception."""

import unittest
from unittest import mock

from peatlead import interface
from peatlead.planner.planner import Planner
from peatlead.platform.restart_budget import MAX_RESTARTS

from ..platforms import (
    endpoint_list,
    instance,
    removed_endpoints,
    run_with_platform,
    whole_tables,
)
from ..standin_fleet import until


class PlannerRestart(unittest.TestCase):
    def test_a_planner_that_raises_is_replaced_and_its_proxies_are_served(self):
        async def case(platform):
            proxy, planner = await platform.connect_proxy_with_table(), platform.controller.planner
            with mock.patch.object(planner, "decide", side_effect=KeyError("simulated error")):
                platform.controller.submit(interface.ProxyDisconnected(3))
                await until(lambda: platform.controller.planner is not planner)
            await until(lambda: whole_tables(proxy) == 2, 20)
            batches_before = platform.controller.batch_count
            platform.discovery.publish(instance(1, "z1", "leaving"))
            await until(lambda: "s-1" in removed_endpoints(proxy))
            await until(
                lambda: platform.controller.batch_count > batches_before + 5
            )  # the timers of the new planner run
            self.assertIsNone(proxy.end_reason)

        run_with_platform(case)

    def test_endpoints_that_a_whole_list_omitted_stay_gone_for_a_new_planner(self):
        # The new planner took them for ready and wrote them into tables.
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            remaining = [instance(0), instance(1, "z1"), instance(2)]
            platform.controller.on_endpoint_list(endpoint_list(2, *remaining, whole=True))
            await until(lambda: platform.controller.planner.endpoints[3].phase == "gone")
            planner = platform.controller.planner
            with mock.patch.object(planner, "decide", side_effect=KeyError("simulated error")):
                platform.controller.submit(interface.ProxyDisconnected(3))
                await until(lambda: platform.controller.planner is not planner)
            await until(lambda: 3 in platform.controller.planner.endpoints)
            phases = {
                number: endpoint.phase
                for number, endpoint in platform.controller.planner.endpoints.items()
            }
            self.assertEqual(phases, {0: "ready", 1: "ready", 2: "ready", 3: "gone"})

        run_with_platform(case)

    def test_timers_of_a_replaced_planner_are_ignored(self):
        async def case(platform):
            events = []
            platform.controller.submit = events.append
            platform.controller.fire_timer_if_current(object(), 0, 0.0)
            self.assertEqual(events, [])
            platform.controller.fire_timer_if_current(platform.controller.planner, 0, 0.0)
            self.assertEqual(events, [interface.TimerFired(0)])

        run_with_platform(case)

    def test_a_planner_that_fails_too_often_stops_the_controller(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version)
            with mock.patch.object(Planner, "decide", side_effect=KeyError("simulated error")):
                platform.controller.submit(interface.ProxyDisconnected(3))
                await until(platform.controller.ended.done)
            self.assertIn("simulated error", platform.controller.ended.result())
            self.assertEqual(platform.controller.restart_budget.failure_count, MAX_RESTARTS + 1)

        run_with_platform(case)
