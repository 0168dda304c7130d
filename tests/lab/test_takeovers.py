"""Proxies of failed controllers are taken over without a broken rule, in simulated days."""

import unittest

from peatlead.lab.day import play_day
from peatlead.scenario.script import load_day


class TakeoverTest(unittest.TestCase):
    def play_without_problems(self, faults, agents=12, more=""):
        day = load_day(
            "d",
            f"""
day(length = 14, seed = 5, stewards = 3)
fleet(hosts = 9, zones = ["a", "b", "c"], pod = 3, warm_after = 5)
desks(views = 0, shared = 0)
agents(many = {agents}, rate = 40)
{faults}
""",
        )
        result = play_day(day, 5)
        self.assertEqual(result.problems, [])
        last_stream_events = {
            row.agent: row.what
            for row in result.rows
            if row.kind == "stream" and row.at < result.end_time - 3
        }
        self.assertEqual(set(last_stream_events.values()), {"joined"})
        return result

    def test_a_second_takeover_within_a_second_of_the_first_breaks_no_rule(self):
        self.play_without_problems(
            "steward_killed(at = 3, length = 5, steward = 0)\n"
            "steward_killed(at = 3.6, length = 4, steward = 1)"
        )

    def test_restarts_of_all_controllers_with_an_outdated_list_break_no_rule(self):
        result = self.play_without_problems(
            "release(at = 1, length = 3, part = 0.3)\nlist_old(at = 5, length = 4)\n"
            + "\n".join(
                f"steward_killed(at = {5.2 + number / 10}, length = 2, steward = {number})"
                for number in range(3)
            )
        )
        self.assertTrue(any(cause == "killed" for cause, _ in result.report.takeovers))

    def test_a_kill_during_a_withdrawal_and_staged_updates_breaks_no_rule(self):
        for delay in (0.15, 0.25, 0.35, 0.6):
            self.play_without_problems(
                f"release(at = 3, length = 4, part = 0.5)\nsteward_killed(at = {3.2 + delay}, length = 4)"
            )

    def test_commands_of_controllers_that_resume_after_a_takeover_are_not_applied(self):
        result = self.play_without_problems(
            "release(at = 2, length = 8, part = 0.6)\n"
            "steward_frozen(at = 3, length = 6, steward = 0)\n"
            "steward_frozen(at = 4, length = 3, steward = 1)"
        )
        self.assertIn("0 applied twice, 0 old ones applied", result.report.findings[5].summary)

    def test_reconnection_of_all_proxies_at_once_stays_within_the_channel_limits(self):
        result = self.play_without_problems(
            "steward_killed(at = 3, length = 8, steward = 0)\n"
            "steward_killed(at = 3, length = 7, steward = 1)",
            agents=150,
        )
        self.assertLess(result.report.findings[4].fraction_of_limit, 1.0)

    def test_cut_and_flapping_links_between_controllers_break_no_rule(self):
        cut = "link_cut(at = {}, length = {}, one = '127.1.0.1', other = '127.1.0.2', both = {})"
        self.play_without_problems(cut.format(2, 6, True))
        self.play_without_problems(cut.format(2, 6, False))
        self.play_without_problems(
            "\n".join(cut.format(2 + number, 0.5, number % 2 == 0) for number in range(8))
        )
