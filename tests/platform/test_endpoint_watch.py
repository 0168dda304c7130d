"""Polling of discovery's endpoint list."""

import unittest
from unittest import mock

from ..platforms import (
    instance,
    run_with_platform,
)
from ..standin_fleet import until


class Polling(unittest.TestCase):
    def test_after_a_list_that_could_not_be_applied_the_whole_list_is_requested(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            watch = platform.controller.watch
            on_list = watch.on_list
            watch.on_list = lambda endpoint_list: 1 / 0
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.watch.failure_count)
            platform.discovery.instances[0] = instance(0, lifecycle="leaving")
            watch.on_list = on_list
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_a_silent_connection_is_replaced(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.discovery.silent = True
            await until(lambda: len(platform.discovery.request_paths) > 2)
            connections_before = len(platform.discovery.connections)
            await until(
                lambda: len(platform.discovery.connections) > connections_before
            )  # the watch opens a new connection after the timeout, though the old one is open
            platform.discovery.silent = False
            platform.discovery.version = 2
            platform.discovery.changes = [instance(0, lifecycle="leaving")]
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_a_change_is_not_lost_when_the_connection_closes_within_an_answer(self):
        async def case(platform):
            await until(
                lambda: platform.controller.watch.version == 1 and platform.discovery.held_requests
            )
            connection, _ = platform.discovery.held_requests.pop()
            connection.send(b'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{"generation":2,"inst')
            connection.close()
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_after_an_answer_with_an_older_version_the_whole_list_is_requested(self):
        async def case(platform):
            platform.discovery.version = 5
            await until(lambda: platform.controller.watch.version in (1, 5))
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.watch.version == 6)
            whole_list_requests = platform.discovery.request_paths.count("/v1/endpoints")
            platform.discovery.instances[0] = instance(0, lifecycle="leaving")
            platform.discovery.version, platform.discovery.changes = 3, [instance(0)]
            platform.discovery.answer_requests()
            await until(
                lambda: platform.discovery.request_paths.count("/v1/endpoints")
                > whole_list_requests
            )
            await until(lambda: platform.controller.watch.version == 3)
            self.assertEqual(platform.controller.planner.endpoints[0].phase, "draining")

        run_with_platform(case)

    def test_a_change_during_a_decision_is_received_with_the_next_poll(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            decide, interruptions = platform.controller.planner.decide, []

            def decide_with_interruption(now, events):
                if not interruptions:
                    # The list changes during the decision, and the pending poll is never answered.
                    interruptions.append(platform.discovery.held_requests.clear())
                    platform.discovery.publish(instance(0, lifecycle="leaving"))
                return decide(now, events)

            with mock.patch.object(platform.controller.planner, "decide", decide_with_interruption):
                await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)


class ChangedAddress(unittest.TestCase):
    def test_the_old_address_is_polled_until_the_new_one_has_answered(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            new_discovery = type(platform.discovery)(platform.discovery.instances)
            new_discovery.silent = True
            await new_discovery.open(platform.port + 1)
            platform.change_discovery_port(1)
            await until(lambda: new_discovery.request_paths)
            platform.discovery.publish(
                instance(0, lifecycle="leaving")
            )  # only at the previous address
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")
            new_discovery.silent, new_discovery.version, new_discovery.changes = (
                False,
                3,
                [instance(1, "z1", "leaving")],
            )
            await until(lambda: platform.controller.planner.endpoints[1].phase == "draining", 20)
            await until(lambda: platform.controller.watch.previous_poller is None)
            for connection in new_discovery.connections:
                connection.abort("over")
            new_discovery.servers[0].close()

        run_with_platform(case)

    def test_an_address_that_never_answered_is_dropped_and_the_previous_one_is_kept(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.change_discovery_port(1)  # connection refused
            platform.change_discovery_port(2)  # connection refused again
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")
            platform.change_discovery_port(0)
            await until(lambda: platform.controller.watch.previous_poller is None)
            platform.discovery.publish(instance(1, "z1", "leaving"))
            await until(lambda: platform.controller.planner.endpoints[1].phase == "draining")

        run_with_platform(case)
