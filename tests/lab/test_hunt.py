"""The search over random seeds finds faults and reduces failing scenarios."""

import unittest

from peatlead.lab.day import play_day
from peatlead.lab.hunt import problem_types, shrink
from peatlead.lab.random_scenario import draw_scenario

from ..seeded_faults import SEEDED_FAULTS, seeds_until_found


class FaultSearchTest(unittest.TestCase):
    def test_shrinking_keeps_only_the_faults_that_cause_the_problem(self):
        scenario = draw_scenario(3, "dns")
        scenario["troubles"] = [
            {"verb": verb, "at": float(at), "length": 1.0}
            for at, verb in enumerate(
                ("silent", "hung", "burst", "list_old", "pauses", "silent", "shift")
            )
        ]

        class FakeResult:
            def __init__(self, day):
                verbs = [fault["verb"] for fault in day["troubles"]]
                fails = "hung" in verbs and "list_old" in verbs and day["day"]["length"] > 12
                self.problems = ["rule 3 drains kept: x"] if fails else []

        small = shrink(scenario, 3, ["rule 3 drains kept: y"], lambda day, seed: FakeResult(day))
        self.assertEqual([fault["verb"] for fault in small["troubles"]], ["hung", "list_old"])
        self.assertEqual(small["day"]["length"], 14.0)
        self.assertEqual(problem_types(["at 1.2 s in ns1: KeyError('x') (f)"]), {"ns1: KeyError"})

    def test_a_few_seeds_of_both_kinds_break_no_rule(self):
        for seed in range(4):
            for kind in ("fleet", "dns"):
                self.assertEqual(
                    play_day(draw_scenario(seed, kind, 10.0), seed).problems, [], (seed, kind)
                )

    def test_seeded_faults_are_found(self):
        """Tests only faults that few seeds find; docs/results/lab.md lists the seeds for all faults."""
        for name in (
            "the fence of an agent is not checked",
            "an error when a host leaves",
            "a drain empties tables",
        ):
            self.assertIn(name, SEEDED_FAULTS)
            self.assertIsNotNone(seeds_until_found(name, 6, 16.0)[0], name)
