"""Reading of load reports into totals for the planner."""

import unittest

from envoy.service.load_stats.v3 import lrs_pb2

from peatlead import interface
from peatlead.grpc.load_aggregation import LoadAggregator
from peatlead.grpc.load_reports import read_report


class LoadReportsTest(unittest.TestCase):
    def test_reports_are_added_up_and_invalid_ones_ignored(self):
        request = lrs_pb2.LoadStatsRequest()
        for cluster_name, interval, successes, errors in (
            ("look", 1.0, 8, 2),
            ("other", 1.0, 5, 0),
            ("file", 1e6, 5, 0),
        ):
            cluster = request.cluster_stats.add(cluster_name=cluster_name, total_dropped_requests=3)
            cluster.load_report_interval.FromNanoseconds(int(interval * 1e9))
            for address in ("127.10.9.1", "203.0.113.9"):
                stats = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add()
                stats.address.socket_address.address, stats.address.socket_address.port_value = (
                    address,
                    80,
                )
                stats.total_successful_requests, stats.total_error_requests = successes, errors
                stats.load_metric_stats.add(
                    metric_name="seconds",
                    num_requests_finished_with_metric=8,
                    total_metric_value=2.0,
                )
                stats.load_metric_stats.add(
                    metric_name="util", num_requests_finished_with_metric=4, total_metric_value=2.0
                )
        aggregator = LoadAggregator()
        aggregator.on_report(0.0)
        read_report(request, {"look": 0, "file": 1}, {("127.10.9.1", 80): 5}.get, 70, 1, aggregator)
        self.assertEqual(
            aggregator.take_due(0.0),
            [
                interface.RequestStats(70, 0, 23, 7, 1.0),
                interface.EndpointStats(5, 1, 10, 2, 1.0, 0.25, {"util": 0.5}),
            ],
        )
