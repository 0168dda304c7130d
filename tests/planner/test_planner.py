"""The planner's tolerance of unknown events, and access to its constants by name."""

import ast
import unittest
from pathlib import Path

from peatlead import interface
from peatlead import planner as planner_package
from peatlead.lab.planner_constants import modules_with_constant, replaced_constants
from peatlead.planner import context, shuffle_sharding
from tests.helpers import make_endpoint, make_planner, of_type


class PlannerTest(unittest.TestCase):
    def test_events_about_unknown_endpoints_and_proxies_add_no_entries(self):
        planner = make_planner()
        commands = planner.decide(
            101.0,
            [
                interface.EndpointStats(900, 7, 3, 5, 0.0, 0.1, {"odd": 1.0}),
                interface.RequestStats(900, 70, 5, 0, 0.0),
                interface.RequestStats(0, 70, 5, 0, 1.0),
                interface.EndpointStats(1, 7, 3, 5, 9.0, 0.1, None),
                interface.ProxyDisconnected(1),
                interface.HealthCheckResult(900, "ok", 0.1, None),
                interface.ProxyDisconnected(900),
                interface.GossipReceived(5, b""),
                interface.ProxyDisconnected(1),
                interface.EndpointUpdate(
                    "changes",
                    1,
                    (make_endpoint(901, 6, "gone"), make_endpoint(2), make_endpoint(2)),
                ),
                interface.ProxyConnected(60000, 9, 1.0, False),
                interface.ProxyConnected(60000, 9, 1.0, True),
                interface.TimerFired(99),
            ],
        )
        later = planner.decide(103.0, [interface.TimerFired(0), interface.TimerFired(0)])
        entries = of_type(commands + later, interface.SetEntry)
        self.assertFalse({entry.endpoint for entry in entries if entry.weight} & {900, 901})
        assignments = of_type(commands + later, interface.AssignTable)
        self.assertIn(60000, {assignment.proxy for assignment in assignments})


class ConstantsTest(unittest.TestCase):
    def test_a_constant_is_assigned_in_one_module_only(self):
        # Studies look up a constant by its name, without its module.
        assigned = [
            target.id
            for path in Path(planner_package.__path__[0]).glob("*.py")
            for statement in ast.parse(path.read_text()).body
            if isinstance(statement, ast.Assign)
            for target in statement.targets
            if isinstance(target, ast.Name) and target.id.isupper()
        ]
        self.assertGreater(len(assigned), 100)
        self.assertEqual(len(assigned), len(set(assigned)))

    def test_a_constant_is_replaced_in_every_module_that_has_it(self):
        with replaced_constants({"COVERAGE": 8.0}):
            self.assertEqual(
                {module.COVERAGE for module in modules_with_constant("COVERAGE")}, {8.0}
            )
            self.assertIs(shuffle_sharding.COVERAGE, context.COVERAGE)
        self.assertEqual((shuffle_sharding.COVERAGE, context.COVERAGE), (25.0, 25.0))

    def test_an_unknown_constant_raises_an_error(self):
        for name in ("COVERAGES", "Planner", "rendezvous"):
            with self.assertRaises(ValueError):
                modules_with_constant(name)
