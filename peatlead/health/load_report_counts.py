"""Aggregates the request counts that endpoints report into the planner's stats. No I/O, no clock.

DNS clients report nothing. What is known about their attempts is counted by the endpoints: how many
requests came from which network, and whether they were answered, failed, were denied (the endpoint
was full), were shed (by the admission level) or were abandoned by a client that gave up. A hung
endpoint that passes shallow probes still counts abandoned requests. An endpoint that does not
respond at all is detected by probes.

An endpoint's report is a JSON document: {"boot": text, "kinds": [name], "networks": {"10.1.2.0":
[[taken, done, errored, denied, abandoned, shed, seconds of the done] for each request class]}} with
counts since its start.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import msgspec

from .. import interface

FIELDS = 7  # counters for each network and request class
MAX_NETWORKS = 20_000  # in one report

Counters = list[float]


class EndpointReport(msgspec.Struct):
    """The document of an endpoint; field names are those of the document."""

    boot: str  # differs after each start of the endpoint
    kinds: list[str]  # names of request classes
    networks: dict[str, list[Counters]]  # by client network, in the order of `kinds`


class ClientView(Protocol):
    """The view that a client network belongs to, as far as needed here."""

    @property
    def index(self) -> int:
        """Position in the controller's list of views."""

    @property
    def zone(self) -> int:
        """The planner's index of the view's zone."""


class ReportedCounts(NamedTuple):
    """The last counts of an endpoint."""

    boot: str
    networks: dict[str, list[Counters]]


@dataclass(slots=True)
class EndpointTotals:
    """Attempts at an endpoint from one zone."""

    attempts: float = 0.0
    errors: float = 0.0
    seconds: float = 0.0  # response times of the successful attempts, summed


@dataclass(slots=True)
class RequestTotals:
    """Requests of one class from one view."""

    requests: float = 0.0
    unanswered: float = 0.0


def parse_endpoint_report(body: bytes) -> EndpointReport | None:
    """Parse an endpoint's report; return None if it is invalid or too large."""
    try:
        report = msgspec.json.decode(body, type=EndpointReport)
    except msgspec.MsgspecError:
        return None
    if len(report.networks) > MAX_NETWORKS or not report.kinds:
        return None
    return report


class LoadReportCounts:
    """Collects the increments of reported counts until the next round of stats.

    `kinds` holds the request classes' names in the planner's order. `view_of(network)` returns the
    view of a client network given as text, or None. `zone` is the zone of this controller's probes,
    `every` the seconds of a round.
    """

    def __init__(
        self,
        kinds: Sequence[str],
        view_of: Callable[[str], ClientView | None],
        zone: int,
        every: float,
    ) -> None:
        self.request_classes = {name: index for index, name in enumerate(kinds)}
        self.view_of = view_of
        self.zone = zone
        self.every = every
        self.last_counts: dict[int, ReportedCounts] = {}  # by endpoint
        self.endpoint_totals: dict[tuple[int, int], EndpointTotals] = {}  # by endpoint and zone
        self.request_totals: dict[tuple[int, int], RequestTotals] = {}  # by view index and class
        self.load_reports: dict[int, interface.LoadReport] = {}  # by endpoint
        self.round_start: float | None = None

    def add_report(
        self,
        endpoint: int,
        report: EndpointReport | None,
        load_report: interface.LoadReport | None,
    ) -> None:
        """Add an endpoint's report and load report, as far as a probe returned them.

        The first report is only a baseline: its counts go back to the endpoint's start.
        """
        if load_report is not None:
            self.load_reports[endpoint] = load_report
        if report is None:
            return
        last = self.last_counts.get(endpoint)
        self.last_counts[endpoint] = ReportedCounts(report.boot, report.networks)
        if last is None:
            return
        baseline = last.networks if last.boot == report.boot else {}
        for network, rows in report.networks.items():
            self.add_network(endpoint, report.kinds, network, rows, baseline.get(network))

    def add_network(
        self,
        endpoint: int,
        kinds: Sequence[str],
        network: str,
        rows: list[Counters],
        baseline_rows: list[Counters] | None,
    ) -> None:
        """Add one network's increments; invalid rows and unknown classes are ignored."""
        view = self.view_of(network)
        if view is None:
            return
        for index, name in enumerate(kinds[: len(rows)]):
            request_class = self.request_classes.get(name)
            if request_class is None or len(rows[index]) != FIELDS:
                continue
            baseline = [0.0] * FIELDS
            if baseline_rows and index < len(baseline_rows) and len(baseline_rows[index]) == FIELDS:
                baseline = baseline_rows[index]
            # A counter that went back counts as unchanged.
            increments = [max(0.0, new - old) for new, old in zip(rows[index], baseline)]
            self.add_increments(endpoint, view, request_class, increments)

    def add_increments(
        self, endpoint: int, view: ClientView, request_class: int, increments: Counters
    ) -> None:
        """Add the increments of one network and request class to the totals."""
        taken, done, errored, denied, abandoned, _, seconds = increments
        if done + errored + denied + abandoned:
            attempts = self.endpoint_totals.setdefault((endpoint, view.zone), EndpointTotals())
            attempts.attempts += done + errored + denied + abandoned
            attempts.errors += errored + denied + abandoned
            attempts.seconds += seconds
        if taken:
            requests = self.request_totals.setdefault((view.index, request_class), RequestTotals())
            requests.requests += taken
            requests.unanswered += max(0.0, taken - done)

    def add_probe(self, endpoint: int, passed: bool, duration: float) -> None:
        """Count a passed probe as an attempt if the endpoint had no other in this round.

        An idle endpoint would otherwise look as if nothing were known about it.
        """
        if passed and not any(endpoint == other for other, _ in self.endpoint_totals):
            self.endpoint_totals[endpoint, self.zone] = EndpointTotals(1.0, 0.0, duration)

    def events_due(
        self, now: float, numbers: Sequence[int]
    ) -> list[interface.RequestStats | interface.EndpointStats]:
        """Return the events of the round if it has ended and there are any.

        `numbers` holds the planner's proxy number of each view index.
        """
        if self.round_start is None:
            self.round_start = now
        window = now - self.round_start
        if window < self.every or not (self.endpoint_totals or self.request_totals):
            return []
        events: list[interface.RequestStats | interface.EndpointStats] = [
            *self.request_stats(window, numbers),
            *self.endpoint_stats(window),
        ]
        self.endpoint_totals = {}
        self.request_totals = {}
        self.load_reports = {}
        self.round_start = now
        return events

    def request_stats(self, window: float, numbers: Sequence[int]) -> list[interface.RequestStats]:
        """Return the stats of requests by view and class."""
        return [
            interface.RequestStats(
                proxy=numbers[view],
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
        """Return the stats of attempts by endpoint and zone."""
        return [
            interface.EndpointStats(
                endpoint=endpoint,
                zone=zone,
                attempts=int(totals.attempts),
                errors=int(totals.errors),
                window=window,
                mean_latency=totals.seconds / max(1.0, totals.attempts - totals.errors),
                load_report=self.load_reports.get(endpoint),
            )
            for (endpoint, zone), totals in sorted(
                self.endpoint_totals.items(), key=lambda item: item[0]
            )
        ]
