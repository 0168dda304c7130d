"""Sends the health checks that the planner commands, and reads load reports from the answers.

The request of a health check also carries the admitted fractions. Endpoints enforce them for
requests of DNS clients.
"""

from ipaddress import ip_address
from typing import TYPE_CHECKING, Any, NamedTuple

from .. import interface
from ..dns.views import View
from ..health.load_report_counts import EndpointReport, LoadReportCounts, parse_endpoint_report
from ..health.prober import Prober
from ..net.http import Response
from ..net.orca import LOAD_REPORT_HEADER, parse_load_report

if TYPE_CHECKING:
    from .controller import Controller

ADMISSION_HEADER = "peatlead-levels"
MAX_CACHED_NETWORKS = 100_000  # client networks with a cached view; a full cache is cleared

PASSED = interface.HealthCheckOutcome.OK.value
OUTCOME_OF_STATUS = {
    200: PASSED,
    429: interface.HealthCheckOutcome.DENIED.value,
    503: interface.HealthCheckOutcome.DENIED.value,
}
OUTCOME_OF_OTHER_STATUS = interface.HealthCheckOutcome.ERRORED.value

LoadReport = dict[str, float]
"""An ORCA load report, by the field names of `net.orca`."""


class HealthCheckAnswer(NamedTuple):
    """The contents of an endpoint's answer to a health check."""

    outcome: str  # the value of a HealthCheckOutcome
    load_report: LoadReport | None
    request_counts: EndpointReport | None  # by client network


def read_answer(answer: Response) -> HealthCheckAnswer:
    """Parse an endpoint's answer to a health check."""
    outcome = OUTCOME_OF_STATUS.get(answer.status, OUTCOME_OF_OTHER_STATUS)
    load_report = parse_load_report(answer.headers.get(LOAD_REPORT_HEADER, "")) or None
    request_counts = parse_endpoint_report(answer.body) if outcome == PASSED else None
    return HealthCheckAnswer(outcome, load_report, request_counts)


class HealthChecks:
    """Sends health checks and translates their results into planner events."""

    def __init__(self, controller: "Controller") -> None:
        settings = controller.settings
        self._controller = controller
        self._port: int = settings["probes"]["port"]
        self._view_by_network: dict[str, View | None] = {}  # cached results of `_find_view`
        self.admitted_fractions: dict[int, float] = {}  # by request class
        self._report_counts = LoadReportCounts(
            controller.request_classes,
            self._cached_view,
            controller.zone_names.index(controller.own_settings["zone"]),
            settings["choices"]["sums_every"],
        )
        self.prober = Prober(
            settings["probes"],
            self._check_completed,
            read_answer,
            self._request_headers,
            controller.own_settings["listen"][0],
        )

    def send_check(self, command: interface.CheckHealth) -> None:
        """Send the health check that the planner commands."""
        entry = self._controller.registry.entries[command.endpoint]
        self.prober.probe(command.endpoint, (entry.address or entry.address6, self._port))

    def set_admission(self, command: interface.SetAdmission) -> None:
        """Set the admitted fraction that the next health checks carry."""
        self.admitted_fractions.update(dict.fromkeys(command.request_classes, command.fraction))

    def admission_header(self) -> str:
        """Return the value of ADMISSION_HEADER: `CLASS=FRACTION,...`."""
        names = self._controller.request_classes
        return ",".join(
            f"{names[index]}={fraction}"
            for index, fraction in sorted(self.admitted_fractions.items())
        )

    def take_due_stats(self, now: float) -> list[Any]:
        """Return planner events for the endpoints' reports, or an empty list until they are due."""
        events: list[Any] = self._report_counts.take_due_events(now, self._controller.view_numbers)
        return events

    def _request_headers(self) -> list[tuple[str, str]]:
        return [(ADMISSION_HEADER, self.admission_header())]

    def _check_completed(
        self,
        endpoint: int,
        outcome: str,
        duration: float,
        load_report: LoadReport | None,
        request_counts: EndpointReport | None,
    ) -> None:
        self._report_counts.add_report(endpoint, request_counts, load_report)
        self._report_counts.add_probe(endpoint, outcome == PASSED, duration)
        self._controller.submit(
            interface.HealthCheckResult(endpoint, outcome, duration, load_report)
        )

    def _cached_view(self, network: str) -> View | None:
        """Return the view of a client network, cached since reports repeat the same networks."""
        if network not in self._view_by_network:
            if len(self._view_by_network) > MAX_CACHED_NETWORKS:
                self._view_by_network = {}
            self._view_by_network[network] = self._find_view(network)
        return self._view_by_network[network]

    def _find_view(self, network: str) -> View | None:
        try:
            address = ip_address(network)
        except ValueError:
            return None
        view: View | None = self._controller.views.match_network(
            address, address.max_prefixlen
        ).view
        return view
