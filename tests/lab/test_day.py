"""Requests are due independent of responses on simulated time, and the timeline of a request."""

import unittest

from peatlead.lab.day import play_day
from peatlead.lab.timeline import timeline
from peatlead.scenario.script import load_day

from .small_scenario import play_small


class SimulatedDayTest(unittest.TestCase):
    def test_requests_become_due_while_endpoints_pause(self):
        day = load_day(
            "d",
            """
day(length = 6, seed = 1)
fleet(hosts = 3, zones = ["a"], pod = 3)
desks(views = 2, rate = 20, shared = 0, retries = 0)
pauses(at = 1, length = 3, part = 1.0, pause = 2.0, every = 9)
""",
        )
        rows = [row for row in play_day(day, 1).rows if row.kind == "req"]
        due_times = sorted(row.due for row in rows)
        # A gap in the due times would show that clients waited for paused endpoints.
        self.assertLess(
            max(later - earlier for earlier, later in zip(due_times, due_times[1:])), 1.0
        )
        self.assertGreater(max(row.at - row.due for row in rows), 1.0)

    def test_timeline_follows_one_request(self):
        result = play_small(3)
        request = next(row.req for row in result.rows if row.kind == "effect")
        lines = timeline(result.rows, request)
        self.assertTrue(
            any("effect" in line for line in lines)
            and any("outcome=done" in line for line in lines)
        )
