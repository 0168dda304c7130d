"""The recorded result of a request."""

import unittest
from types import SimpleNamespace

from peatlead.standin.request_outcome import RequestClass, request_result


class RequestResultTest(unittest.TestCase):
    def test_only_a_request_that_is_done_by_its_deadline_earns_a_gain(self):
        request_class = RequestClass("look", 1.0, 0.5, 1.5, 6.0, "replayable")
        request = SimpleNamespace(request_class=request_class, due=10.0, deadline=11.5)
        for outcome, now, expected in (
            ("done", 10.5, ("done", 6.0)),
            ("done", 11.5, ("late", 0.6)),
            ("done", 11.6, ("late", 0.0)),
            ("shed", 10.1, ("shed", 0.0)),
        ):
            outcome, gain = request_result(request, outcome, now, 0.1)
            self.assertEqual((outcome, round(gain, 9)), expected)
