"""Reads load reports of the load reporting service (LRS) into the aggregator. No I/O.

A cluster of a report is a request class. The load metric `seconds` of an endpoint is the total
latency of its successful attempts, and `util` is its utilization.

Sources: envoy.service.load_stats.v3, envoy.config.endpoint.v3 (load_report.proto).
"""

from collections.abc import Callable, Mapping
from typing import Any, Optional

from .load_aggregation import LoadAggregator

MIN_INTERVAL = 0.05  # seconds; a report that covers less is ignored
MAX_INTERVAL = 600.0  # seconds; a report that covers more is ignored
MAX_COUNT = 10_000_000  # attempts per report; a greater count is an overflowed counter
MAX_ATTEMPT_RATE = 1e5  # attempts per second of one proxy at one endpoint
MAX_MEAN_LATENCY = 600.0  # seconds; a greater latency would count for all proxies of the zone
MAX_METRIC_TOTAL = 1e9  # in the unit of the metric; a metric with a greater total is ignored
SECONDS_METRIC = "seconds"
UTILIZATION_METRIC = "util"

EndpointLookup = Callable[[tuple[str, int]], Optional[int]]  # (address, port) -> endpoint index


def read_report(
    request: Any,
    request_classes: Mapping[str, int],
    find_endpoint: EndpointLookup,
    proxy: int,
    zone: int,
    aggregator: LoadAggregator,
) -> None:
    """Adds one LoadStatsRequest to the aggregator.

    Entries with unknown endpoints, unknown request classes or impossible counts are ignored.
    """
    for cluster in request.cluster_stats:
        request_class = request_classes.get(cluster.cluster_name)
        duration = cluster.load_report_interval
        window = duration.seconds + duration.nanos / 1e9
        if request_class is None or not MIN_INTERVAL <= window <= MAX_INTERVAL:
            continue
        attempts, successes = _read_endpoints(cluster, find_endpoint, zone, window, aggregator)
        requests = min(cluster.total_dropped_requests, MAX_COUNT) + attempts
        if requests:
            unanswered = requests - successes
            aggregator.add_requests(proxy, request_class, requests, unanswered, window)


def _read_endpoints(
    cluster: Any,
    find_endpoint: EndpointLookup,
    zone: int,
    window: float,
    aggregator: LoadAggregator,
) -> tuple[int, int]:
    """Adds the endpoints of a cluster; returns the attempts and successes at all endpoints.

    The returned counts include endpoints that are not listed, which are not added.
    """
    all_attempts = 0
    all_successes = 0
    for locality in cluster.upstream_locality_stats:
        for stats in locality.upstream_endpoint_stats:
            successes = stats.total_successful_requests
            errors = stats.total_error_requests
            attempts = successes + errors
            if attempts > min(MAX_COUNT, MAX_ATTEMPT_RATE * max(1.0, window)):
                continue
            all_attempts += attempts
            all_successes += successes
            address = stats.address.socket_address
            endpoint = find_endpoint((address.address, address.port_value))
            if endpoint is not None and attempts:
                metrics = _read_metrics(stats)
                aggregator.add_endpoint(endpoint, zone, attempts, errors, *metrics, window)
    return all_attempts, all_successes


def _read_metrics(stats: Any) -> tuple[float, float, int]:
    """Returns the total latency (seconds), total utilization and number of utilization reports."""
    total_latency = 0.0
    total_utilization = 0.0
    utilization_reports = 0
    for metric in stats.load_metric_stats:
        count = metric.num_requests_finished_with_metric
        total = metric.total_metric_value
        if not 0 < count <= MAX_COUNT or not 0 <= total < MAX_METRIC_TOTAL:
            continue
        if metric.metric_name == SECONDS_METRIC:
            successes = max(1, stats.total_successful_requests)
            total_latency += min(total, MAX_MEAN_LATENCY * successes)
        elif metric.metric_name == UTILIZATION_METRIC:
            total_utilization += min(total, count)
            utilization_reports += count
    return total_latency, total_utilization, utilization_reports
