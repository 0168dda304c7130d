"""Studies: grids of scenarios, their results file and their statistics."""

import random
import tempfile
import unittest
from pathlib import Path

from peatlead.lab.day import play_day
from peatlead.lab.report import write_report
from peatlead.lab.study import Results, Study, bootstrap_interval, compare_paired, run_study
from peatlead.scenario.script import load_day
from peatlead.settings import SettingsError

STUDY = """
study(name = "s", question = "q", seeds = 2)
case(name = "one", script = "day(length = 2)\\nfleet(hosts = 6)\\ndesks(views = 4, rate = 15, shared = 0)")
vary(name = "as is")
vary(name = "few", set = {"steering.addresses": 1, "module.COVERAGE": 12.0})
"""


class Studies(unittest.TestCase):
    def test_resumed_study_equals_an_uninterrupted_one(self):
        with tempfile.TemporaryDirectory() as folder:
            study = Study("s.star", STUDY)
            whole, halted = Results(f"{folder}/whole.sqlite"), Results(f"{folder}/halted.sqlite")
            self.assertEqual(run_study(study, whole, 2, lambda _: None), 4)
            run_study(study, halted, 2, lambda _: None)
            halted.database.execute("DELETE FROM cells WHERE seed = 1")
            halted.database.commit()
            self.assertEqual(run_study(study, halted, 2, lambda _: None), 2)
            rows = [
                base.database.execute("SELECT * FROM cells ORDER BY cell").fetchall()
                for base in (whole, halted)
            ]
            self.assertEqual(*rows)
            mean, low, high, pairs = compare_paired(
                whole, "s", "events", ("as is", "shards"), ("few", "shards"), "one"
            )
            self.assertEqual((pairs, low <= mean <= high), (2, True))
            write_report(whole, study, f"{folder}/r.html")
            self.assertIn("data:image/png;base64,", Path(f"{folder}/r.html").read_text())

    def test_oracle_policy_is_an_upper_bound_of_the_plain_one(self):
        day = load_day(
            "d",
            "day(length = 6)\nfleet(hosts = 6)\n"
            "desks(views = 4, rate = 20, shared = 0, retries = 0)\n"
            "silent(at = 1, length = 5, part = 0.5)",
        )
        parts = {
            policy: play_day(day, 1, policy).report.service["whole"]["part"]
            for policy in ("oracle", "plain", "home")
        }
        self.assertGreater(parts["oracle"], parts["plain"] + 0.05)
        self.assertGreater(parts["home"], 0.1)

    def test_invalid_studies_are_rejected_with_a_reason(self):
        for old, new, expected in (
            ("COVERAGE", "COVER", "the module has no COVER"),
            ("study(", "case(", "case"),
            ("steering.addresses", "steering.x", "expected names of a day"),
        ):
            with self.subTest(new), self.assertRaisesRegex(SettingsError, expected):
                Study("s.star", STUDY.replace(old, new, 1))

    def test_confidence_intervals_contain_the_mean_and_shrink_with_samples(self):
        draw_ = random.Random(1)
        few, many = ([draw_.gauss(0.5, 1) for _ in range(n)] for n in (8, 200))
        (_, low, high), (_, lower, higher) = bootstrap_interval(few), bootstrap_interval(many)
        self.assertTrue(low < 0.5 < high and lower < 0.5 < higher and higher - lower < high - low)
