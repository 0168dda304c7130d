"""Request counts of a stand-in proxy, and the load reports (LRS) made of them."""

from collections import defaultdict
from typing import Any

from envoy.service.load_stats.v3 import lrs_pb2

from .proxy_plan import ProxyPlan

NANOSECONDS = 1e9  # in a second


class EndpointTally:
    """Counts of requests of one class to one endpoint since the last report."""

    __slots__ = ("done", "errors", "latency_sum", "utilization_sum", "utilization_reports")

    def __init__(self) -> None:
        self.done = 0
        self.errors = 0
        self.latency_sum = 0.0  # sum of the latencies of done requests
        self.utilization_sum = 0.0  # sum of the utilizations that the endpoint reported
        self.utilization_reports = 0  # number of utilizations in the sum


class LoadStats:
    """A proxy's counts since its last load report."""

    def __init__(self, plan: ProxyPlan, now: float) -> None:
        self.plan = plan
        self.reported_at = now
        self.tallies: defaultdict[tuple[str, str], EndpointTally] = defaultdict(EndpointTally)
        self.dropped: defaultdict[str, int] = defaultdict(int)  # shed requests by class

    def take_report(self, now: float) -> Any:
        """Return a LoadStatsRequest with the counts, and reset them."""
        request = lrs_pb2.LoadStatsRequest()
        interval = int((now - self.reported_at) * NANOSECONDS)
        for request_class in self.plan.kinds:
            cluster = request.cluster_stats.add(cluster_name=request_class.name)
            cluster.load_report_interval.FromNanoseconds(interval)
            cluster.total_dropped_requests = self.dropped.pop(request_class.name, 0)
            locality = cluster.upstream_locality_stats.add()
            for (name, address), tally in self.tallies.items():
                if name == request_class.name:
                    self._add_endpoint(locality, address, tally)
        self.tallies.clear()
        self.reported_at = now
        return request

    def _add_endpoint(self, locality: Any, address: str, tally: EndpointTally) -> None:
        stats = locality.upstream_endpoint_stats.add()
        stats.address.socket_address.address = address
        stats.address.socket_address.port_value = self.plan.port
        stats.total_successful_requests = tally.done
        stats.total_error_requests = tally.errors
        for metric, count, total in (
            ("seconds", tally.done, tally.latency_sum),
            ("util", tally.utilization_reports, tally.utilization_sum),
        ):
            if count:
                stats.load_metric_stats.add(
                    metric_name=metric,
                    num_requests_finished_with_metric=count,
                    total_metric_value=total,
                )
