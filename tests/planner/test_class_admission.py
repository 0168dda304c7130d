"""Admitted fractions and retry policies of request classes."""

import unittest

from peatlead import interface
from tests.helpers import make_planner, of_type


class ClassAdmissionTest(unittest.TestCase):
    def test_the_class_with_the_lowest_value_for_its_work_is_cut_first(self):
        planner = make_planner()
        planner.demand.requests = [60.0, 20.0]
        planner.load_shedding.admitted_fraction = 0.5
        planner.publish_admissions()
        read, pay = planner.class_admission.admissions
        self.assertLess(read.fraction, 0.6)
        self.assertEqual(pay.fraction, 1.0)

    def test_only_attempts_that_were_not_started_are_retried(self):
        planner = make_planner()
        planner.commands = []
        planner.class_admission.admissions = None
        planner.publish_admissions()
        policies = {
            command.request_classes: command.retry_policy
            for command in of_type(planner.commands, interface.SetAdmission)
        }
        self.assertEqual(policies, {(0,): "unstarted", (1,): "unstarted"})
