"""Decaying sums of the attempts that proxies report, by endpoint.

Each report is added to the sums of the endpoint and of the proxies' zone. Older counts decay by a
constant factor per reporting cycle. The length of the cycle is measured, so that counts last longer
where reports are infrequent.
"""

from math import fsum
from typing import NamedTuple

from ..interface import EndpointStats
from .context import PlannerContext
from .endpoint_state import READY, Counts, DatedCounts, EndpointState
from .health_checks import HealthChecks
from .report_round import ReportRound

# Fraction of a count that remains after one cycle. With a slower decay, the many errors of an
# overload would outweigh the few successes after it.
CYCLE_DECAY = 0.25
REPORT_DELAY = 1.0  # seconds, approximate delay of reports
CYCLE_WINDOW = 8  # reports that the measured cycle is averaged over
# Decayed errors below which an endpoint is not reported to other controllers.
MIN_GOSSIP_ERRORS = 0.5

Path = tuple[int, int]  # (zone of proxies, zone of endpoints)


class FailingEndpoint(NamedTuple):
    """An endpoint at which attempts of this controller's own proxies failed."""

    name: bytes
    counts: Counts


class LoadStatistics:
    """Sums of attempts, errors and latency by endpoint."""

    def __init__(
        self, context: PlannerContext, report_round: ReportRound, health_checks: HealthChecks
    ) -> None:
        self.context = context
        self.report_round = report_round
        self.health_checks = health_checks
        self.cycle: float = context.settings.get("sums_every", 1.0)  # seconds between reports
        self.last_success_at = 0.0  # at any endpoint

    def on_endpoint_stats(self, event: EndpointStats) -> None:
        """Add a report of one endpoint by the proxies of one zone."""
        endpoint = self.context.endpoints.get(event.endpoint)
        self.report_round.note_report()
        if endpoint is None or self._from_before_start(event, endpoint):
            return
        # If the number of reports is limited, each report covers several cycles.
        report_interval = max(event.window, self.context.settings["sums_every"])
        self.cycle += (report_interval - self.cycle) / CYCLE_WINDOW
        self._add(event, endpoint)
        endpoint.add_load_report(event.load_report)
        if event.errors:
            self.health_checks.check_if_failing(endpoint)

    def _from_before_start(self, event: EndpointStats, endpoint: EndpointState) -> bool:
        """Return whether the report covers a previous process of the endpoint."""
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
        latency_sum = event.mean_latency * successes
        old = endpoint.stats.get(event.zone)
        if old is None:
            endpoint.stats[event.zone] = DatedCounts(now, event.attempts, event.errors, latency_sum)
            return
        decay = CYCLE_DECAY ** ((now - old.updated_at) / self.cycle)
        endpoint.stats[event.zone] = DatedCounts(
            now,
            old.attempts * decay + event.attempts,
            old.errors * decay + event.errors,
            old.latency_sum * decay + latency_sum,
        )

    def end_round(self, bad_paths: set[Path]) -> list[FailingEndpoint]:
        """Sum up each endpoint's counts, excluding bad paths, and return the failing endpoints.

        Counts from other controllers are included in the sums but not in the returned counts.
        """
        failing = []
        for endpoint in self.context.endpoints.values():
            by_zone = [
                self._decayed(counts)
                for zone, counts in endpoint.stats.items()
                if (zone, endpoint.zone) not in bad_paths
            ]
            own = with_peers = sum_counts(by_zone)
            endpoint.own_attempts = own.attempts
            if endpoint.phase == READY and own.errors >= MIN_GOSSIP_ERRORS:
                failing.append(FailingEndpoint(endpoint.name, own))
            if endpoint.peer_stats:
                by_peer = [self._decayed(counts) for counts in endpoint.peer_stats.values()]
                with_peers = sum_counts(by_zone + by_peer)
            endpoint.attempts, endpoint.errors, endpoint.latency_sum = with_peers
        return failing

    def _decayed(self, counts: DatedCounts) -> Counts:
        decay = CYCLE_DECAY ** ((self.context.now - counts.updated_at) / self.cycle)
        return Counts(decay * counts.attempts, decay * counts.errors, decay * counts.latency_sum)


def sum_counts(all_counts: list[Counts]) -> Counts:
    """Return the sum of counts; `fsum` makes the result independent of their order."""
    return Counts(
        fsum([counts.attempts for counts in all_counts]),
        fsum([counts.errors for counts in all_counts]),
        fsum([counts.latency_sum for counts in all_counts]),
    )
