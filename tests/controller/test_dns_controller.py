"""A DNS controller from the endpoint list to the answer, and its behaviour under failures."""

import asyncio
import unittest
from unittest import mock

import dns.message

from peatlead.net.http import connect

from ..standin_fleet import run_with_standins, until
from .connections import connect_tcp, start_resolver


class ListToAnswerTest(unittest.TestCase):
    def test_a_request_reaches_the_endpoint_that_an_answer_named(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: world.answered_endpoints(controller))
            addresses = await (await start_resolver(world)).lookup(
                "desk0.api.example.org", "", "desk0"
            )
            now = asyncio.get_running_loop().time()
            stream = await connect(asyncio.get_running_loop(), (addresses[0], world.port), now + 1)
            answer = await stream.send_request(
                "POST", "/file", [("host", "x"), ("req-id", "r1")], b"", now + 1
            )
            stream.close()
            endpoint = answer.headers["host-name"]
            return answer.status, [
                (row[2], row[3]) for row in world.recorder.rows_of_kind("effect")
            ] == [(endpoint, "r1")]

        self.assertEqual(run_with_standins(case), (200, True))

    def test_a_silent_endpoint_leaves_answers_without_load_reports(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            world.endpoints[1].inject_fault("silent", True)
            await until(lambda: "h1" not in world.answered_endpoints(controller), 15.0)
            self.assertIn(
                "endpoint 1 ejected: failed health checks",
                [fields.get("text") for _, fields in world.log],
            )

        run_with_standins(case)

    def test_a_hung_endpoint_that_passes_shallow_health_checks_is_found_by_request_counts(self):
        async def case(world):
            controller, loop = await world.start_controller(), asyncio.get_running_loop()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            world.endpoints[1].inject_fault("hung", True)

            async def send_request(address):
                try:
                    stream = await connect(loop, (address, world.port), loop.time() + 1)
                    await stream.send_request(
                        "POST", "/look", [("host", "x"), ("req-id", "r")], b"", loop.time() + 0.1
                    )
                    stream.close()
                except Exception:  # requests to the hung endpoint time out
                    pass

            async def send_requests():
                while True:
                    for plan in world.plans:
                        asyncio.ensure_future(send_request(plan.address))
                    await asyncio.sleep(0.05)

            sending_task = asyncio.ensure_future(send_requests())
            await until(lambda: "h1" not in world.answered_endpoints(controller), 15.0)
            sending_task.cancel()
            await asyncio.sleep(0.3)
            self.assertIn(
                "endpoint 1 ejected: high error rate",
                [fields.get("text") for _, fields in world.log],
            )

        run_with_standins(case, deep=False)

    def test_a_draining_endpoint_leaves_answers_and_loses_its_own_name(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            world.phases["h2"] = "draining"
            world.write_list()
            await until(lambda: "h2" not in world.answered_endpoints(controller))
            return controller.answers.name_exists(["h2", "hosts"]), controller.answers.name_exists(
                ["h1", "hosts"]
            )

        self.assertEqual(run_with_standins(case), (False, True))

    def test_an_empty_truncated_or_wrong_list_changes_no_answer(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            await until(lambda: controller.planner.report_round.completed_rounds > 2)
            world.extra_entries = [
                {"name": "ghost", "zone": "north", "address": "127.66.9.9", "phase": "ready"}
            ]
            world.write_list()
            await until(lambda: "ghost" in controller.answers.endpoint_by_label)
            await asyncio.sleep(0.5)
            self.assertEqual(world.answered_endpoints(controller), {"h0", "h1", "h2", "h3"})
            world.write_list(b'{"version": 99, "hosts": [{"na')
            await until(lambda: any(event == "list not readable" for event, _ in world.log))
            phases, world.phases = world.phases, {}
            world.extra_entries, world.list_version = [], 200
            world.write_list()
            await until(lambda: controller.endpoint_lists.source.version == 201)
            await asyncio.sleep(0.5)
            world.phases = phases
            return world.answered_endpoints(controller)

        self.assertEqual(run_with_standins(case), {"h0", "h1", "h2", "h3"})

    def test_a_controller_restarted_without_a_list_answers_as_before_at_once(self):
        async def case(world):
            first = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(first)) == 4)
            tables = [[source.weights for source in view] for view in first.answers.sources]
            first.stop()
            (world.folder / "nodes.json").unlink()
            restarted = await world.start_controller("ns2")
            # The second controller has no stored list of its own.
            self.assertEqual(world.answered_endpoints(restarted), set())
            restarted.stop()
            await asyncio.sleep(0.02)
            (world.folder / "state" / "list-ns1").rename(world.folder / "state" / "list-ns2")
            restarted = await world.start_controller("ns2")
            await until(lambda: world.answered_endpoints(restarted))
            await until(lambda: not restarted.channel.queue)
            return [
                [source.weights for source in view] for view in restarted.answers.sources
            ] == tables

        self.assertTrue(run_with_standins(case))


class FailuresTest(unittest.TestCase):
    def test_an_error_in_the_planner_ends_the_controller_and_is_logged(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: world.answered_endpoints(controller))
            with mock.patch.object(
                controller.planner, "end_round", side_effect=ZeroDivisionError("planted")
            ):
                reason = await asyncio.wait_for(controller.ended, 10)
            log_fields = dict(world.log)["decide failed"]
            with self.assertRaises(OSError):
                await connect_tcp(world)
            return reason, log_fields["error"], bool(log_fields["at"])

        self.assertEqual(
            run_with_standins(case),
            ("decide failed: ZeroDivisionError('planted')", "ZeroDivisionError('planted')", True),
        )

    def test_after_a_stall_no_query_is_answered_until_the_list_was_read(self):
        async def case(world):
            controller, loop = await world.start_controller(), asyncio.get_running_loop()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            resolver = await start_resolver(world)
            self.assertTrue(await resolver.lookup("desk0.api.example.org", "", "desk0"))
            # A stall: the list changes and a query waits in the socket before any timer runs.
            controller.endpoint_lists.source.stop()
            world.phases["h0"] = "draining"
            world.write_list()
            controller.dns_server.fresh_until = loop.time() - 5.0
            wire = dns.message.make_query("api.example.org", "A").to_wire()
            before = controller.dns_server.unanswered_count
            resolver.transport.sendto(wire, ("127.1.0.1", world.port))
            await until(
                lambda: controller.dns_server.unanswered_count > before
                or controller.dns_server.fresh_until > loop.time()
            )
            await until(lambda: controller.dns_server.fresh_until > loop.time())
            return "h0" in world.answered_endpoints(controller), "controller stalled" in dict(
                world.log
            )

        self.assertEqual(run_with_standins(case), (False, True))

    def test_resolvers_switch_from_a_frozen_controller_to_the_other(self):
        async def case(world):
            controllers = [await world.start_controller("ns1"), await world.start_controller("ns2")]
            await until(
                lambda: all(world.answered_endpoints(controller) for controller in controllers)
            )
            controllers[0].answer_freshness.renew = lambda now: None
            controllers[0].dns_server.fresh_until = 0.1
            resolver = await start_resolver(world, servers=("127.1.0.1", "127.1.0.2"))
            return [
                bool(await resolver.lookup(f"desk{number % 2}.api.example.org", "", "x"))
                for number in range(6)
            ]

        self.assertEqual(run_with_standins(case), [True] * 6)

    def test_two_controllers_have_the_same_tables_for_a_view(self):
        async def case(world):
            controllers = [await world.start_controller("ns1"), await world.start_controller("ns2")]
            await until(
                lambda: all(
                    controller.answers.sources[0][0].weights and not controller.channel.queue
                    for controller in controllers
                )
            )
            tables = [
                [source.weights for view in controller.answers.sources for source in view]
                for controller in controllers
            ]
            return tables[0] == tables[1]

        self.assertTrue(run_with_standins(case))

    def test_an_address_in_use_raises_os_error_at_the_start(self):
        async def case(world):
            await world.start_controller()
            with self.assertRaises(OSError):
                await world.start_controller()

        run_with_standins(case)
