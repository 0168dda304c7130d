"""Aggregation of load reports by endpoint, zone, proxy and request class."""

import unittest

from peatlead import interface
from peatlead.grpc.load_aggregation import LoadAggregator


class LoadAggregatorTest(unittest.TestCase):
    def test_reports_are_added_up_by_endpoint_and_zone(self):
        aggregator = LoadAggregator()
        for index in range(100):
            aggregator.on_report(5.0)
            aggregator.add_endpoint(3, index % 2, 4, 1, 0.6, 0.5, 1, 1.0 + index / 100)
            aggregator.add_requests(index, 0, 4, 1, 1.0)
        aggregator.add_requests(7, 0, 6, 0, 2.0)
        events = aggregator.take_due(5.0)
        endpoint_events = [event for event in events if type(event) is interface.EndpointStats]
        self.assertEqual(
            [
                (event.endpoint, event.zone, event.attempts, event.errors, event.load_report)
                for event in endpoint_events
            ],
            [(3, 0, 200, 50, {"util": 0.5}), (3, 1, 200, 50, {"util": 0.5})],
        )
        self.assertEqual([round(event.mean_latency, 9) for event in endpoint_events], [0.2, 0.2])
        self.assertEqual(
            [
                event
                for event in events
                if type(event) is interface.RequestStats and event.proxy == 7
            ],
            [interface.RequestStats(7, 0, 10, 1, 3.0)],
        )
        self.assertEqual(aggregator.take_due(6.0), [])

    def test_totals_are_delayed_and_exclude_disconnected_proxies(self):
        aggregator = LoadAggregator()
        aggregator.max_delay = 0.5
        aggregator.on_report(1.0)
        aggregator.add_requests(1, 0, 4, 0, 1.0)
        aggregator.add_requests(2, 0, 4, 0, 1.0)
        aggregator.forget_proxy(1)
        self.assertEqual(aggregator.take_due(1.4), [])
        self.assertEqual(aggregator.take_due(1.5), [interface.RequestStats(2, 0, 4, 0, 1.0)])
