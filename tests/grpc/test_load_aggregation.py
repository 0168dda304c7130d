import unittest

from peatlead import interface
from peatlead.grpc.load_aggregation import LoadAggregator


class LoadAggregatorTest(unittest.TestCase):
    def test_reports_are_summed_by_endpoint_and_zone(self):
        aggregator = LoadAggregator()
        for at in range(100):
            aggregator.on_report(5.0)
            aggregator.add_endpoint(3, at % 2, 4, 1, 0.6, 0.5, 1, 1.0 + at / 100)
            aggregator.add_requests(at, 0, 4, 1, 1.0)
        aggregator.add_requests(7, 0, 6, 0, 2.0)
        events = aggregator.take_due(5.0)
        hosts = [event for event in events if type(event) is interface.EndpointStats]
        self.assertEqual(
            [
                (event.endpoint, event.zone, event.attempts, event.errors, event.load_report)
                for event in hosts
            ],
            [(3, 0, 200, 50, {"util": 0.5}), (3, 1, 200, 50, {"util": 0.5})],
        )
        self.assertEqual([round(event.mean_latency, 9) for event in hosts], [0.2, 0.2])
        self.assertEqual(
            [
                event
                for event in events
                if type(event) is interface.RequestStats and event.proxy == 7
            ],
            [interface.RequestStats(7, 0, 10, 1, 3.0)],
        )
        self.assertEqual(aggregator.take_due(6.0), [])

    def test_sums_wait_for_their_time_and_drop_proxies_that_left(self):
        aggregator = LoadAggregator()
        aggregator.max_delay = 0.5
        aggregator.on_report(1.0)
        aggregator.add_requests(1, 0, 4, 0, 1.0)
        aggregator.add_requests(2, 0, 4, 0, 1.0)
        aggregator.forget_proxy(1)
        self.assertEqual(aggregator.take_due(1.4), [])
        self.assertEqual(aggregator.take_due(1.5), [interface.RequestStats(2, 0, 4, 0, 1.0)])
