"""Sums of load reports on their way to the planner. Pure: no I/O, no clock.

Thousands of proxies report on the same endpoints. Their reports are summed on arrival, by
endpoint and zone, and by proxy and request class, and the planner gets each sum once. The sums
are exact, and bounded by endpoints times zones and by connected proxies times request classes.
Reports on unlisted endpoints and overflowed counters are left out before (`load_reports`).
"""

from dataclasses import dataclass
from typing import Optional

from .. import interface


@dataclass(slots=True)
class EndpointTotals:
    """What one zone met at one endpoint."""

    attempts: int
    errors: int
    seconds: float  # of the attempts that succeeded, together
    utilization: float  # sum of the reported utilizations
    utilization_reports: int
    window: float  # seconds, of the longest report

    def to_stats(self, endpoint: int, zone: int) -> interface.EndpointStats:
        """The event for the planner."""
        load_report: Optional[interface.LoadReport] = None
        if self.utilization_reports:
            load_report = {"util": self.utilization / self.utilization_reports}
        successes = self.attempts - self.errors
        mean_latency = self.seconds / max(1, successes)
        return interface.EndpointStats(
            endpoint, zone, self.attempts, self.errors, self.window, mean_latency, load_report
        )


@dataclass(slots=True)
class RequestTotals:
    """Requests of one class at one proxy."""

    requests: int = 0
    unanswered: int = 0
    window: float = 0.0  # seconds, of all reports together


class LoadAggregator:
    """Sums reports until they are due, `wait` seconds after the first."""

    def __init__(self) -> None:
        self.endpoints: dict[tuple[int, int], EndpointTotals] = {}  # by (endpoint, zone)
        self.requests: dict[int, dict[int, RequestTotals]] = {}  # by proxy, then request class
        self.started_at: Optional[float] = None  # when the first report came
        self.max_delay = 0.0  # seconds

    def on_report(self, now: float) -> None:
        """Notes that a report has come, whose sums are added next."""
        if self.started_at is None:
            self.started_at = now

    def add_endpoint(  # noqa: PLR0913 - called for each endpoint of each report: no object for it
        self,
        endpoint: int,
        zone: int,
        attempts: int,
        errors: int,
        seconds: float,
        utilization: float,
        utilization_reports: int,
        window: float,
    ) -> None:
        """Adds what one proxy reports on an endpoint, as in EndpointTotals."""
        totals = self.endpoints.get((endpoint, zone))
        if totals is None:
            self.endpoints[endpoint, zone] = EndpointTotals(
                attempts, errors, seconds, utilization, utilization_reports, window
            )
            return
        totals.attempts += attempts
        totals.errors += errors
        totals.seconds += seconds
        totals.utilization += utilization
        totals.utilization_reports += utilization_reports
        totals.window = max(totals.window, window)

    def add_requests(
        self, proxy: int, request_class: int, requests: int, unanswered: int, window: float
    ) -> None:
        """Adds what one proxy reports on a request class."""
        classes = self.requests.setdefault(proxy, {})
        totals = classes.get(request_class)
        if totals is None:
            totals = classes[request_class] = RequestTotals()
        totals.requests += requests
        totals.unanswered += unanswered
        totals.window += window

    def take_due(self, now: float) -> list[interface.RequestStats | interface.EndpointStats]:
        """The sums as events once they are due, endpoints in the order of their indices."""
        if self.started_at is None or now - self.started_at < self.max_delay:
            return []
        events: list[interface.RequestStats | interface.EndpointStats] = [
            interface.RequestStats(
                proxy, request_class, totals.requests, totals.unanswered, totals.window
            )
            for proxy, classes in self.requests.items()
            for request_class, totals in classes.items()
        ]
        for endpoint, zone in sorted(self.endpoints):
            events.append(self.endpoints[endpoint, zone].to_stats(endpoint, zone))
        self.endpoints = {}
        self.requests = {}
        self.started_at = None
        return events

    def forget_proxy(self, proxy: int) -> None:
        """Drops the sums of a proxy that has disconnected, which the planner no longer knows."""
        self.requests.pop(proxy, None)
