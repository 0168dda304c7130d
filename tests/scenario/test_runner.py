"""Each fault of day scripts has a player, and faults of links are refused on real sockets."""

import asyncio
import tempfile
import unittest

from peatlead.scenario.runner import Day
from peatlead.scenario.script import FAULT_BUILTINS, load_day


class DayTest(unittest.TestCase):
    def test_each_fault_of_day_scripts_can_be_played(self):
        async def registered_faults(folder):
            day = Day(load_day("d.star", ""), folder)
            day.prepare()
            day.row_recorder.close()
            day.standins.close()
            return day.fault_players

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(set(asyncio.run(registered_faults(folder))), set(FAULT_BUILTINS))

    def test_faults_of_links_need_a_simulated_network(self):
        for verb in ("link_cut", "link_slow", "datagrams_lost"):
            with tempfile.TemporaryDirectory() as folder, self.subTest(verb):
                day = Day(load_day("d.star", ""), folder)
                with self.assertRaisesRegex(
                    RuntimeError, f"{verb}: this fault needs a simulated network"
                ):
                    asyncio.run(getattr(day, verb)({"verb": verb}))
