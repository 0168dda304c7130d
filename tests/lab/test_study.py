"""Studies: continued runs, policies, checks of the script, and confidence intervals."""

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


class StudyTest(unittest.TestCase):
    def test_a_continued_study_has_the_results_of_an_uninterrupted_one(self):
        with tempfile.TemporaryDirectory() as folder:
            study = Study("s.star", STUDY)
            complete, interrupted = (
                Results(f"{folder}/complete.sqlite"),
                Results(f"{folder}/interrupted.sqlite"),
            )
            self.assertEqual(run_study(study, complete, 2, lambda _: None), 4)
            run_study(study, interrupted, 2, lambda _: None)
            interrupted.database.execute("DELETE FROM cells WHERE seed = 1")
            interrupted.database.commit()
            self.assertEqual(run_study(study, interrupted, 2, lambda _: None), 2)
            rows = [
                results.database.execute("SELECT * FROM cells ORDER BY cell").fetchall()
                for results in (complete, interrupted)
            ]
            self.assertEqual(*rows)
            mean, low, high, pairs = compare_paired(
                complete, "s", "events", ("as is", "shards"), ("few", "shards"), "one"
            )
            self.assertEqual((pairs, low <= mean <= high), (2, True))
            write_report(complete, study, f"{folder}/r.html")
            self.assertIn("data:image/png;base64,", Path(f"{folder}/r.html").read_text())

    def test_the_oracle_policy_serves_more_than_the_plain_policy(self):
        day = load_day(
            "d",
            "day(length = 6)\nfleet(hosts = 6)\n"
            "desks(views = 4, rate = 20, shared = 0, retries = 0)\n"
            "silent(at = 1, length = 5, part = 0.5)",
        )
        served = {
            policy: play_day(day, 1, policy).report.service["whole"]["part"]
            for policy in ("oracle", "plain", "home")
        }
        self.assertGreater(served["oracle"], served["plain"] + 0.05)
        self.assertGreater(served["home"], 0.1)

    def test_invalid_studies_are_rejected_with_a_reason(self):
        for old, new, expected in (
            ("COVERAGE", "COVER", "the planner has no constant COVER"),
            ("study(", "case(", "case"),
            ("steering.addresses", "steering.x", "expected day script fields or planner constants"),
        ):
            with self.subTest(new), self.assertRaisesRegex(SettingsError, expected):
                Study("s.star", STUDY.replace(old, new, 1))

    def test_confidence_intervals_contain_the_mean_and_shrink_with_samples(self):
        rng = random.Random(1)
        few_samples, many_samples = (
            [rng.gauss(0.5, 1) for _ in range(count)] for count in (8, 200)
        )
        (_, low, high), (_, lower, higher) = (
            bootstrap_interval(few_samples),
            bootstrap_interval(many_samples),
        )
        self.assertTrue(low < 0.5 < high and lower < 0.5 < higher and higher - lower < high - low)
