"""The watch on discovery's endpoint list."""

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
            await until(lambda: platform.controller.watch.failures)
            platform.discovery.instances[0] = instance(0, lifecycle="leaving")
            watch.on_list = on_list
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_a_silent_connection_is_replaced(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.discovery.silent = True
            await until(lambda: len(platform.discovery.request_paths) > 2)
            before = len(platform.discovery.connections)
            await until(
                lambda: len(platform.discovery.connections) > before
            )  # past its deadline, though nothing has ended
            platform.discovery.silent = False
            platform.discovery.version = 2
            platform.discovery.changes = [instance(0, lifecycle="leaving")]
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_a_connection_closed_within_an_answer_loses_no_change(self):
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

    def test_after_a_version_that_went_back_only_a_whole_list_is_applied(self):
        async def case(platform):
            platform.discovery.version = 5
            await until(lambda: platform.controller.watch.version in (1, 5))
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.watch.version == 6)
            whole = platform.discovery.request_paths.count("/v1/endpoints")
            platform.discovery.instances[0] = instance(0, lifecycle="leaving")
            platform.discovery.version, platform.discovery.changes = 3, [instance(0)]
            platform.discovery.answer_requests()
            await until(lambda: platform.discovery.request_paths.count("/v1/endpoints") > whole)
            await until(lambda: platform.controller.watch.version == 3)
            self.assertEqual(platform.controller.planner.endpoints[0].phase, "draining")

        run_with_platform(case)

    def test_changes_during_a_long_decision_come_with_the_next_poll(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            decide, interruptions = platform.controller.planner.decide, []

            def once(now, events):
                if not interruptions:
                    # The poll that waited is lost meanwhile.
                    interruptions.append(platform.discovery.held_requests.clear())
                    platform.discovery.publish(instance(0, lifecycle="leaving"))
                return decide(now, events)

            with mock.patch.object(platform.controller.planner, "decide", once):
                await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)


class MovedAddress(unittest.TestCase):
    def test_the_old_address_is_polled_until_the_new_one_has_answered(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            later = type(platform.discovery)(platform.discovery.instances)
            later.silent = True
            await later.open(platform.port + 1)
            platform.move_discovery(1)
            await until(lambda: later.request_paths)
            platform.discovery.publish(
                instance(0, lifecycle="leaving")
            )  # known to the old one alone
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")
            later.silent, later.version, later.changes = False, 3, [instance(1, "z1", "leaving")]
            await until(lambda: platform.controller.planner.endpoints[1].phase == "draining", 20)
            await until(lambda: platform.controller.watch.previous is None)
            for connection in later.connections:
                connection.abort("over")
            later.servers[0].close()

        run_with_platform(case)

    def test_an_address_that_never_answered_is_left_at_once_and_the_previous_one_kept(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.move_discovery(1)  # refuses
            platform.move_discovery(2)  # refuses too: a second SIGHUP in a row
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")
            platform.move_discovery(0)
            await until(lambda: platform.controller.watch.previous is None)
            platform.discovery.publish(instance(1, "z1", "leaving"))
            await until(lambda: platform.controller.planner.endpoints[1].phase == "draining")

        run_with_platform(case)
