"""Aggregation of load reports for the planner. No I/O and no clock.

Many proxies report on the same endpoints. The aggregator adds up their reports by endpoint and
zone, and by proxy and request class, and passes each total to the planner once. The number of
totals is limited by endpoints times zones, and by connected proxies times request classes.
`load_reports` leaves out unlisted endpoints and overflowed counters.
"""

from dataclasses import dataclass
from typing import Optional

from .. import interface


@dataclass(slots=True)
class EndpointTotals:
    """Totals of the attempts of one zone at one endpoint."""

    attempts: int
    errors: int
    total_latency: float  # seconds, of the successful attempts
    total_utilization: float  # sum of the reported utilizations
    utilization_reports: int
    window: float  # seconds that the longest report covers

    def to_stats(self, endpoint: int, zone: int) -> interface.EndpointStats:
        """Returns the event for the planner."""
        load_report: Optional[interface.LoadReport] = None
        if self.utilization_reports:
            load_report = {"util": self.total_utilization / self.utilization_reports}
        successes = self.attempts - self.errors
        mean_latency = self.total_latency / max(1, successes)
        return interface.EndpointStats(
            endpoint, zone, self.attempts, self.errors, self.window, mean_latency, load_report
        )


@dataclass(slots=True)
class RequestTotals:
    """Totals of the requests of one class at one proxy."""

    requests: int = 0
    unanswered: int = 0
    window: float = 0.0  # seconds that all reports together cover


class LoadAggregator:
    """Adds up reports until the totals are due, `max_delay` seconds after the first report.

    The owner of the aggregator sets `max_delay`.
    """

    def __init__(self) -> None:
        self.endpoint_totals: dict[tuple[int, int], EndpointTotals] = {}  # by (endpoint, zone)
        # Totals by proxy number, then by index of the request class.
        self.request_totals: dict[int, dict[int, RequestTotals]] = {}
        self.first_report_at: Optional[float] = None  # None if there are no totals
        self.max_delay = 0.0  # seconds

    def on_report(self, now: float) -> None:
        """Records the arrival of a report, before its figures are added."""
        if self.first_report_at is None:
            self.first_report_at = now

    def add_endpoint(  # noqa: PLR0913 - called often: creating an argument object costs time
        self,
        endpoint: int,
        zone: int,
        attempts: int,
        errors: int,
        total_latency: float,
        total_utilization: float,
        utilization_reports: int,
        window: float,
    ) -> None:
        """Adds one proxy's report on an endpoint; see `EndpointTotals` for the arguments."""
        totals = self.endpoint_totals.get((endpoint, zone))
        if totals is None:
            self.endpoint_totals[endpoint, zone] = EndpointTotals(
                attempts, errors, total_latency, total_utilization, utilization_reports, window
            )
            return
        totals.attempts += attempts
        totals.errors += errors
        totals.total_latency += total_latency
        totals.total_utilization += total_utilization
        totals.utilization_reports += utilization_reports
        totals.window = max(totals.window, window)

    def add_requests(
        self, proxy: int, request_class: int, requests: int, unanswered: int, window: float
    ) -> None:
        """Adds one proxy's report on a request class; `window` is in seconds."""
        classes = self.request_totals.setdefault(proxy, {})
        totals = classes.get(request_class)
        if totals is None:
            totals = classes[request_class] = RequestTotals()
        totals.requests += requests
        totals.unanswered += unanswered
        totals.window += window

    def take_due(self, now: float) -> list[interface.RequestStats | interface.EndpointStats]:
        """Returns the totals as events and clears them, or returns nothing if they are not due.

        Events on endpoints are ordered by endpoint index.
        """
        if self.first_report_at is None or now - self.first_report_at < self.max_delay:
            return []
        events: list[interface.RequestStats | interface.EndpointStats] = [
            interface.RequestStats(
                proxy, request_class, totals.requests, totals.unanswered, totals.window
            )
            for proxy, classes in self.request_totals.items()
            for request_class, totals in classes.items()
        ]
        for endpoint, zone in sorted(self.endpoint_totals):
            events.append(self.endpoint_totals[endpoint, zone].to_stats(endpoint, zone))
        self.endpoint_totals = {}
        self.request_totals = {}
        self.first_report_at = None
        return events

    def forget_proxy(self, proxy: int) -> None:
        """Drops the totals of a disconnected proxy, which the planner no longer knows."""
        self.request_totals.pop(proxy, None)
