"""What proxies report of their attempts at endpoints, as sums that fade.

Each report adds to the sums of the endpoint and of the proxies' zone; older counts fade by a
constant factor a cycle of reports. Where reports come seldom they stand longer: the cycle is
measured.
"""

from math import fsum
from typing import NamedTuple

from ..interface import EndpointStats
from .context import PlannerContext
from .endpoint_state import READY, Counts, DatedCounts, EndpointState
from .health_checks import HealthChecks
from .report_round import ReportRound

# What is left of a count after one cycle. Quick: else the many errors of an overload would outweigh
# the few successes after it.
FADE = 0.25
REPORT_DELAY = 1.0  # seconds that reports are late, about
CYCLE_WINDOW = 8  # reports that the measured cycle is averaged over
LEAST_ERRORS_SENT = 0.5  # faded errors, below which an endpoint isn't reported to other controllers

Path = tuple[int, int]  # (zone of proxies, zone of endpoints)


class FailingEndpoint(NamedTuple):
    """An endpoint at which attempts of this controller's own proxies failed."""

    name: bytes
    counts: Counts


class LoadStatistics:
    """Sums of attempts, errors and latency by endpoint."""

    def __init__(
        self, context: PlannerContext, reports: ReportRound, health_checks: HealthChecks
    ) -> None:
        self.context = context
        self.reports = reports
        self.health_checks = health_checks
        self.cycle: float = context.settings.get("sums_every", 1.0)  # seconds between reports
        self.last_success_at = 0.0  # of any endpoint

    def on_endpoint_stats(self, event: EndpointStats) -> None:
        """Add what the proxies of one zone report of an endpoint."""
        endpoint = self.context.endpoints.get(event.endpoint)
        self.reports.note_report()
        if endpoint is None or self._from_before_start(event, endpoint):
            return
        # Where reports are capped each covers many cycles and comes seldom.
        interval = max(event.window, self.context.settings["sums_every"])
        self.cycle += (interval - self.cycle) / CYCLE_WINDOW
        self._add(event, endpoint)
        endpoint.add_load_report(event.load_report)
        if event.errors:
            self.health_checks.check_if_failing(endpoint)

    def _from_before_start(self, event: EndpointStats, endpoint: EndpointState) -> bool:
        """Whether the report covers the process that ran there before the present one."""
        return (
            endpoint.cold_since is not None
            and self.context.now - event.window - REPORT_DELAY < endpoint.cold_since
        )

    def _add(self, event: EndpointStats, endpoint: EndpointState) -> None:
        now = self.context.now
        successes = event.attempts - event.errors
        if successes:
            endpoint.last_success_at = now
        self.last_success_at = max(self.last_success_at, endpoint.last_success_at)
        latency = event.mean_latency * successes
        old = endpoint.stats.get(event.zone)
        if old is None:
            endpoint.stats[event.zone] = DatedCounts(now, event.attempts, event.errors, latency)
            return
        left = FADE ** ((now - old.updated_at) / self.cycle)
        endpoint.stats[event.zone] = DatedCounts(
            now,
            old.attempts * left + event.attempts,
            old.errors * left + event.errors,
            old.latency * left + latency,
        )

    def end_round(self, bad_paths: set[Path]) -> list[FailingEndpoint]:
        """Sum up each endpoint's counts, but those over bad paths; returns those that fail."""
        failing = []
        for endpoint in self.context.endpoints.values():
            by_zone = [
                self._faded(counts)
                for zone, counts in endpoint.stats.items()
                if (zone, endpoint.zone) not in bad_paths
            ]
            own = with_peers = total(by_zone)
            endpoint.own_attempts = own.attempts
            if endpoint.phase == READY and own.errors >= LEAST_ERRORS_SENT:
                failing.append(FailingEndpoint(endpoint.name, own))
            if endpoint.peer_stats:
                by_peer = [self._faded(counts) for counts in endpoint.peer_stats.values()]
                with_peers = total(by_zone + by_peer)
            endpoint.attempts, endpoint.errors, endpoint.latency = with_peers
        return failing

    def _faded(self, counts: DatedCounts) -> Counts:
        left = FADE ** ((self.context.now - counts.updated_at) / self.cycle)
        return Counts(left * counts.attempts, left * counts.errors, left * counts.latency)


def total(all_counts: list[Counts]) -> Counts:
    """The sum of counts, correctly rounded, so that their order doesn't matter."""
    return Counts(
        fsum([counts.attempts for counts in all_counts]),
        fsum([counts.errors for counts in all_counts]),
        fsum([counts.latency for counts in all_counts]),
    )
