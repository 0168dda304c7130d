"""Updates of the endpoint list, including wrong lists."""

import unittest

from peatlead import interface
from tests.helpers import make_endpoint, make_planner


class EndpointUpdatesTest(unittest.TestCase):
    def test_endpoints_that_are_long_gone_leave_no_record_and_no_entry(self):
        planner = make_planner(endpoints=6, proxies=2)
        planner.decide(101.0, [interface.ProxyDisconnected(1)])
        for number in range(200):
            # Each second, one of the six endpoints is replaced by an endpoint with a new name.
            old_number = 5 + number
            new = make_endpoint(6 + number, (6 + number) % 2, started_at=0.0)
            gone = make_endpoint(old_number, old_number % 2, "gone")
            planner.decide(
                102.0 + number, [interface.EndpointUpdate("changes", 2 + number, (gone, new))]
            )
            for after in range(1, 10):
                passed = interface.HealthCheckResult(6 + number, "ok", 0.01, None)
                planner.decide(102.0 + number + after / 10, [interface.TimerFired(0), passed])
        self.assertLess(len(planner.endpoints), 75)
        known = set(planner.endpoints)
        self.assertEqual(set(planner.context.subscriber_index.by_endpoint) - known, set())
        self.assertEqual(set(planner.schedule.active) - known, set())
        self.assertTrue(planner.proxies[0].entries[0])

    def test_with_gone_is_advice_an_answering_endpoint_is_kept_and_a_draining_one_is_not(self):
        planner = make_planner(gone_is_advice=True)
        planner.now = planner.load_statistics.last_success_at = 110.0
        planner.endpoints[3].last_success_at = 110.0
        planner.endpoint_updates.on_update(
            interface.EndpointUpdate("whole", 2, (make_endpoint(2, phase="draining"),))
        )
        self.assertEqual(
            [state.id for state in planner.endpoints.values() if state.phase == "ready"],
            [3],
        )

    def test_a_stalled_controller_does_not_treat_endpoints_as_silent(self):
        planner = make_planner(gone_is_advice=True)
        planner.decide(
            105.0,
            [interface.EndpointStats(number, 0, 5, 0, 1.0, 0.1, None) for number in range(8)],
        )
        planner.decide(115.0, [interface.EndpointUpdate("whole", 2, ())])
        self.assertEqual({endpoint.phase for endpoint in planner.endpoints.values()}, {"ready"})
        self.assertTrue(all(proxy.entries[0] for proxy in planner.context.connected_proxies))

    def test_with_gone_is_advice_a_list_without_ready_endpoints_removes_none(self):
        # An empty list may arrive while no endpoint answers, for instance after a network fault.
        for gone_is_advice, expected in ((True, 8), (False, 0)):
            planner = make_planner(gone_is_advice=gone_is_advice)
            for endpoint in planner.endpoints.values():
                endpoint.failed_checks = 5
                endpoint.last_success_at = 0.0
            planner.decide(101.0, [interface.EndpointUpdate("whole", 2, ())])
            ready = [state for state in planner.endpoints.values() if state.phase == "ready"]
            self.assertEqual(len(ready), expected)

    def test_with_gone_is_advice_a_list_with_ready_endpoints_is_applied(self):
        planner = make_planner(gone_is_advice=True)
        for endpoint in planner.endpoints.values():
            endpoint.failed_checks = 5
            endpoint.last_success_at = 0.0
        planner.decide(101.0, [interface.EndpointUpdate("whole", 2, (make_endpoint(3, 1),))])
        self.assertEqual(
            [state.id for state in planner.endpoints.values() if state.phase == "ready"],
            [3],
        )
