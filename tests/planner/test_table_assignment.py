"""Assignment of tables after a restart of the controller."""

import unittest

from peatlead import interface
from tests.helpers import make_planner


class TableAssignmentTest(unittest.TestCase):
    def test_after_a_restart_previous_tables_are_kept_up_to_the_time_limit(self):
        planner = make_planner()
        planner.report_round.completed_rounds = 0
        planner.decide(101.0, [interface.ProxyConnected(9, 0, 10.0, False)])
        self.assertFalse(planner.proxies[9].assigned)
        planner.decide(102.1, [])
        self.assertTrue(planner.proxies[9].assigned)
