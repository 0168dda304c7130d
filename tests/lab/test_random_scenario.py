"""Scenarios drawn by seed."""

import unittest

from peatlead.lab.random_scenario import as_script, draw_scenario
from peatlead.scenario.script import load_day


class RandomScenarios(unittest.TestCase):
    def test_scenario_equals_its_script_read_again(self):
        for seed in range(30):
            for kind in ("fleet", "dns"):
                scenario = draw_scenario(seed, kind)
                self.assertEqual(load_day("again", as_script(scenario)), scenario)

    def test_each_fault_is_on_for_a_part_of_seeds(self):
        verbs = [
            {trouble["verb"] for trouble in draw_scenario(seed, "dns")["troubles"]}
            for seed in range(60)
        ]
        for verb in ("silent", "release", "list_empty", "steward_killed", "link_cut"):
            on = sum(verb in one for one in verbs)
            self.assertTrue(5 < on < 40, (verb, on))
