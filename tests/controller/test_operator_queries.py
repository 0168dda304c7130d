"""Operators' questions over the control socket."""

import unittest

from peatlead.controller.control_socket import Question, ask_once

from ..standin_fleet import run_with_standins, until


class OperatorQueriesTest(unittest.TestCase):
    def test_answer_and_status_queries_succeed_and_malformed_questions_get_errors(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            address = "127.1.0.1", world.port + 1
            answer = await ask_once(address, {"ask": "answer", "view": "desk0"})
            self.assertEqual({line["host"] for line in answer["lines"]}, {"h0", "h1", "h2", "h3"})
            self.assertIn(
                "expected a view",
                (await ask_once(address, {"ask": "answer", "view": "no"}))["error"],
            )
            self.assertIn(
                "expected ask to be one of", (await ask_once(address, {"ask": "fly"}))["error"]
            )
            self.assertIn("expected a question", (await ask_once(address, ["junk"]))["error"])
            return (await ask_once(address, {"ask": "status"}))["channel"]["past"]

        self.assertEqual(run_with_standins(case), 0)

    def test_why_describes_an_endpoint_with_the_planners_state(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            question = Question("why", host="h2")
            await until(lambda: controller.operator_queries.why(question)["holders"], 5.0)
            unknown = controller.operator_queries.why(Question("why", host="none"))
            endpoint = controller.registry.numbers["h2"]
            holders = len(controller.planner.context.subscriber_index.subscribers(endpoint))
            return controller.operator_queries.why(question), unknown, holders

        answer, unknown, holders = run_with_standins(case)
        self.assertIn("expected a host of the list", unknown["error"])
        self.assertEqual(
            list(answer)[:13],
            [
                "host",
                "steward",
                "phase",
                "usable",
                "share",
                "reach",
                "cold for s",
                "out for s more",
                "tries",
                "bad",
                "load",
                "probes failed in a row",
                "holders",
            ],
        )
        self.assertEqual(
            [answer[key] for key in ("host", "phase", "usable", "share", "reach")],
            ["h2", "ready", True, 1.0, 1.0],
        )
        self.assertEqual((answer["cold for s"], answer["out for s more"]), (None, None))
        self.assertEqual(answer["holders"], holders)

    def test_drained_reports_until_when_cached_answers_may_name_an_endpoint(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            question = Question("drained", host="h2")
            before = controller.operator_queries.drained(question)
            world.phases["h2"] = "draining"
            world.write_list()
            await until(
                lambda: controller.operator_queries.drained(question)[
                    "seconds until no kept answer names it"
                ]
                == 0,
                5.0,
            )
            return before["named by views"] > 0, controller.operator_queries.drained(question)[
                "phase"
            ]

        self.assertEqual(run_with_standins(case), (True, "draining"))
