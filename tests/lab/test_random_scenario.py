"""Random scenarios by seed."""

import unittest

from peatlead.lab.random_scenario import as_script, draw_scenario
from peatlead.scenario.script import load_day


class RandomScenarioTest(unittest.TestCase):
    def test_a_scenario_equals_its_loaded_script(self):
        for seed in range(30):
            for kind in ("fleet", "dns"):
                scenario = draw_scenario(seed, kind)
                self.assertEqual(load_day("again", as_script(scenario)), scenario)

    def test_each_kind_of_fault_is_enabled_for_some_seeds(self):
        kinds_by_seed = [
            {fault["verb"] for fault in draw_scenario(seed, "dns")["troubles"]}
            for seed in range(60)
        ]
        for verb in ("silent", "release", "list_empty", "steward_killed", "link_cut"):
            count = sum(verb in kinds for kinds in kinds_by_seed)
            self.assertTrue(5 < count < 40, (verb, count))
