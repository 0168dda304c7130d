import asyncio
import tempfile
import unittest

from peatlead.scenario.runner import Day
from peatlead.scenario.script import VERBS, load_day


class DayTest(unittest.TestCase):
    def test_each_verb_of_day_scripts_is_played(self):
        async def registered(folder):
            day = Day(load_day("d.star", ""), folder)
            day.prepare()
            day.record.close()
            day.standins.close()
            return day.verbs

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(set(asyncio.run(registered(folder))), set(VERBS))

    def test_faults_of_links_need_the_lab(self):
        for verb in ("link_cut", "link_slow", "datagrams_lost"):
            with tempfile.TemporaryDirectory() as folder, self.subTest(verb):
                day = Day(load_day("d.star", ""), folder)
                with self.assertRaisesRegex(RuntimeError, f"{verb}: expected a day in the lab"):
                    asyncio.run(getattr(day, verb)({"verb": verb}))
