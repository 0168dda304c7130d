"""Aggregates the request counts that endpoints report; performs no I/O and reads no clock.

DNS clients send no reports, so the endpoints count requests by client network: how many were
answered, failed, were denied because the endpoint was full, were shed by admission control, or were
abandoned by the client. An endpoint that hangs but passes shallow probes still counts abandoned
requests. Probes detect an endpoint that does not respond at all.

An endpoint's report is a JSON document with counts since the start of the endpoint:

    {"boot": text, "kinds": [name, ...], "networks": {"10.1.2.0": [row, ...], ...}}

There is one row for each request class of `kinds`: [received, done, errored, denied, abandoned,
shed, seconds], where `seconds` is the summed response time of the requests done.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, NamedTuple, Protocol

import msgspec

from .. import interface

COUNTERS_PER_ROW = 7  # a row is for one client network and request class
MAX_NETWORKS = 20_000  # client networks in one report
MAX_COUNTER = 1e15  # requests or seconds since the start of an endpoint
MAX_INCREMENT = 1e6  # of a counter between two reports; a row with more is ignored

Counters = list[Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNTER)]]


class EndpointReport(msgspec.Struct):
    """An endpoint's report; field names are those of the JSON document."""

    boot: str  # identifies one run of the endpoint process
    kinds: list[str]  # names of request classes
    networks: dict[str, list[Counters]]  # by client network; rows in the order of `kinds`


class ClientView(Protocol):
    """The attributes of a client network's view that `LoadReportCounts` uses."""

    @property
    def index(self) -> int:
        """Index in the controller's list of views."""

    @property
    def zone(self) -> int:
        """The planner's index of the zone."""


class ReportedCounts(NamedTuple):
    """The counts in an endpoint's last report."""

    boot: str
    networks: dict[str, list[Counters]]


@dataclass(slots=True)
class EndpointTotals:
    """Attempts at an endpoint from one zone."""

    attempts: float = 0.0
    errors: float = 0.0
    response_seconds: float = 0.0  # summed over the successful attempts


@dataclass(slots=True)
class RequestTotals:
    """Requests of one class from one view."""

    requests: float = 0.0
    unanswered: float = 0.0


def parse_endpoint_report(body: bytes) -> EndpointReport | None:
    """Parse an endpoint's report; return None if the report is invalid or too large."""
    try:
        report = msgspec.json.decode(body, type=EndpointReport)
    except msgspec.MsgspecError:
        return None
    if len(report.networks) > MAX_NETWORKS or not report.kinds:
        return None
    return report


class LoadReportCounts:
    """Sums the increments of reported counts over a reporting interval.

    `class_names` holds the names of the request classes in the planner's order.
    `find_view(network)` returns the view of a client network given as text, or None. `probe_zone`
    is the zone that this controller probes from. `interval` is in seconds.
    """

    def __init__(
        self,
        class_names: Sequence[str],
        find_view: Callable[[str], ClientView | None],
        probe_zone: int,
        interval: float,
    ) -> None:
        self.request_classes = {name: index for index, name in enumerate(class_names)}
        self.find_view = find_view
        self.probe_zone = probe_zone
        self.interval = interval
        self.last_counts: dict[int, ReportedCounts] = {}  # by endpoint
        self.endpoint_totals: dict[tuple[int, int], EndpointTotals] = {}  # by endpoint, zone
        self.request_totals: dict[tuple[int, int], RequestTotals] = {}  # by view index, class
        self.load_reports: dict[int, interface.LoadReport] = {}  # by endpoint
        self.interval_start: float | None = None  # seconds on the caller's clock

    def add_report(
        self,
        endpoint: int,
        report: EndpointReport | None,
        load_report: interface.LoadReport | None,
    ) -> None:
        """Add an endpoint's report and its load report; either is None if it is missing.

        The first report of an endpoint serves only as the baseline of the next one, because its
        counts go back to the start of the endpoint.
        """
        if load_report is not None:
            self.load_reports[endpoint] = load_report
        if report is None:
            return
        last_counts = self.last_counts.get(endpoint)
        self.last_counts[endpoint] = ReportedCounts(report.boot, report.networks)
        if last_counts is None:
            return
        baseline = last_counts.networks if last_counts.boot == report.boot else {}
        for network, rows in report.networks.items():
            self.add_network_rows(endpoint, report.kinds, network, rows, baseline.get(network))

    def add_network_rows(
        self,
        endpoint: int,
        class_names: Sequence[str],
        network: str,
        rows: list[Counters],
        baseline_rows: list[Counters] | None,
    ) -> None:
        """Add the increments of one client network; ignore invalid rows and unknown classes."""
        view = self.find_view(network)
        if view is None:
            return
        for index, name in enumerate(class_names[: len(rows)]):
            request_class = self.request_classes.get(name)
            if request_class is None or len(rows[index]) != COUNTERS_PER_ROW:
                continue
            baseline = [0.0] * COUNTERS_PER_ROW
            if (
                baseline_rows
                and index < len(baseline_rows)
                and len(baseline_rows[index]) == COUNTERS_PER_ROW
            ):
                baseline = baseline_rows[index]
            # A counter that decreased without a restart counts as unchanged.
            increments = [max(0.0, new - old) for new, old in zip(rows[index], baseline)]
            if max(increments) <= MAX_INCREMENT:
                self.add_increments(endpoint, view, request_class, increments)

    def add_increments(
        self, endpoint: int, view: ClientView, request_class: int, increments: Counters
    ) -> None:
        """Add the increments of one network and request class to the totals."""
        received, done, errored, denied, abandoned, _, seconds = increments
        if done + errored + denied + abandoned:
            endpoint_totals = self.endpoint_totals.setdefault(
                (endpoint, view.zone), EndpointTotals()
            )
            endpoint_totals.attempts += done + errored + denied + abandoned
            endpoint_totals.errors += errored + denied + abandoned
            endpoint_totals.response_seconds += seconds
        if received:
            request_totals = self.request_totals.setdefault(
                (view.index, request_class), RequestTotals()
            )
            request_totals.requests += received
            request_totals.unanswered += max(0.0, received - done)

    def add_probe(self, endpoint: int, passed: bool, duration: float) -> None:
        """Count a passed probe as an attempt if the endpoint has no other attempt yet.

        Without this, the planner would get no statistics of an idle endpoint. `duration` is in
        seconds.
        """
        if passed and not any(endpoint == attempted for attempted, _ in self.endpoint_totals):
            self.endpoint_totals[endpoint, self.probe_zone] = EndpointTotals(1.0, 0.0, duration)

    def take_due_events(
        self, now: float, proxy_numbers: Sequence[int]
    ) -> list[interface.RequestStats | interface.EndpointStats]:
        """Return the planner's events of the interval and start the next one, or return [].

        An interval ends after `interval` seconds, or later with the first count to report.
        `proxy_numbers` holds the planner's proxy number of each view index. `now` is in seconds.
        """
        if self.interval_start is None:
            self.interval_start = now
        window = now - self.interval_start
        if window < self.interval or not (self.endpoint_totals or self.request_totals):
            return []
        events: list[interface.RequestStats | interface.EndpointStats] = [
            *self.request_stats(window, proxy_numbers),
            *self.endpoint_stats(window),
        ]
        self.endpoint_totals = {}
        self.request_totals = {}
        self.load_reports = {}
        self.interval_start = now
        return events

    def request_stats(
        self, window: float, proxy_numbers: Sequence[int]
    ) -> list[interface.RequestStats]:
        """Return request statistics by view and request class."""
        return [
            interface.RequestStats(
                proxy=proxy_numbers[view],
                request_class=request_class,
                requests=int(totals.requests),
                unanswered=int(totals.unanswered),
                window=window,
            )
            for (view, request_class), totals in sorted(
                self.request_totals.items(), key=lambda item: item[0]
            )
        ]

    def endpoint_stats(self, window: float) -> list[interface.EndpointStats]:
        """Return attempt statistics by endpoint and client zone."""
        return [
            interface.EndpointStats(
                endpoint=endpoint,
                zone=zone,
                attempts=int(totals.attempts),
                errors=int(totals.errors),
                window=window,
                mean_latency=totals.response_seconds / max(1.0, totals.attempts - totals.errors),
                load_report=self.load_reports.get(endpoint),
            )
            for (endpoint, zone), totals in sorted(
                self.endpoint_totals.items(), key=lambda item: item[0]
            )
        ]
