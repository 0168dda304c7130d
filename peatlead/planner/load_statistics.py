"""Decaying sums of the attempts that proxies report, by endpoint.

Each report is added to the counts for its endpoint and the zone of its proxies. Older counts decay
by a constant factor per reporting cycle. The duration of the cycle is measured, so that counts last
longer where reports are infrequent.
"""

from math import fsum
from typing import NamedTuple, Optional

from ..interface import EndpointStats
from .context import PlannerContext
from .endpoint_state import READY, Counts, DatedCounts, EndpointState
from .health_checks import HealthChecks
from .input_bounds import endpoint_stats_are_usable
from .report_round import ReportRound
from .statistics import median

# Fraction of a count that remains after one cycle. With a slower decay, the many errors of an
# overload would outweigh the few successes after it.
CYCLE_DECAY = 0.25
REPORT_DELAY = 1.0  # seconds, approximate delay of reports
CYCLE_WINDOW = 8  # reports that the measured cycle is averaged over
# One report counts as covering at most the greater of these multiples of the measured cycle and of
# the configured interval.
MAX_CYCLE_GROWTH = 4
MAX_CONFIGURED_INTERVALS = 16
MIN_CYCLE = 1e-3  # seconds, prevents a division by zero
# One report counts as at most this multiple of the median endpoint's attempts, or of the minimum.
# With it, one endpoint of eight or more does not decide the medians of the fleet alone.
MAX_ATTEMPTS_FACTOR = 4
MIN_LIMITED_ATTEMPTS = 100
# A latency counts as at most this multiple of the longest response target.
MAX_LATENCY_FACTOR = 10
# Decayed errors, below which an endpoint is not sent to other controllers.
MIN_GOSSIP_ERRORS = 0.5

Path = tuple[int, int]  # (zone of the proxies, zone of the endpoints)


class FailingEndpoint(NamedTuple):
    """An endpoint at which attempts of this controller's own proxies failed."""

    name: bytes
    counts: Counts


class LoadStatistics:
    """Adds up attempts, errors and latency by endpoint, and measures the reporting cycle."""

    def __init__(
        self, context: PlannerContext, report_round: ReportRound, health_checks: HealthChecks
    ) -> None:
        self.context = context
        self.report_round = report_round
        self.health_checks = health_checks
        # Seconds; grows only in steps, since many decisions wait for a number of cycles.
        self.reporting_cycle = max(MIN_CYCLE, context.settings.get("sums_every", 1.0))
        self.last_success_at = 0.0  # seconds, of an attempt at any endpoint
        self.median_attempts = 0.0  # of the ready endpoints, without other controllers' counts
        targets = [
            request_class["response_target"] for request_class in context.settings["req_kinds"]
        ]
        self.max_latency = MAX_LATENCY_FACTOR * max(targets, default=0.0)  # seconds

    def on_endpoint_stats(self, event: EndpointStats) -> Optional[Counts]:
        """Add a report about one endpoint from the proxies of one zone.

        Return the counts that were added, or None if the report was not used.
        """
        if not endpoint_stats_are_usable(event, self.context.settings["sums_every"]):
            return None
        endpoint = self.context.endpoints.get(event.endpoint)
        self.report_round.note_report()
        if endpoint is None or self._predates_start(event, endpoint):
            return None
        # If the rate of reports is limited, a report covers more time than the configured interval.
        configured = max(MIN_CYCLE, self.context.settings["sums_every"])
        max_interval = max(
            MAX_CYCLE_GROWTH * self.reporting_cycle, MAX_CONFIGURED_INTERVALS * configured
        )
        report_interval = min(max(event.window, configured), max_interval)
        self.reporting_cycle += (report_interval - self.reporting_cycle) / CYCLE_WINDOW
        counts = self._limited_counts(event)
        self._add_counts(event, endpoint, counts)
        endpoint.add_load_report(event.load_report)
        if event.errors:
            self.health_checks.check_early(endpoint)
        return counts

    def _predates_start(self, event: EndpointStats, endpoint: EndpointState) -> bool:
        """Return whether the report covers a previous process of the endpoint."""
        return (
            endpoint.cold_since is not None
            and self.context.now - event.window - REPORT_DELAY < endpoint.cold_since
        )

    def _add_counts(self, event: EndpointStats, endpoint: EndpointState, counts: Counts) -> None:
        """Add the counts of a report to the decayed counts for its endpoint and zone."""
        now = self.context.now
        if event.attempts > event.errors:
            endpoint.last_success_at = now
        self.last_success_at = max(self.last_success_at, endpoint.last_success_at)
        previous = endpoint.counts_by_zone.get(event.zone)
        if previous is None:
            endpoint.counts_by_zone[event.zone] = DatedCounts(now, *counts)
            return
        decay = CYCLE_DECAY ** ((now - previous.updated_at) / self.reporting_cycle)
        endpoint.counts_by_zone[event.zone] = DatedCounts(
            now,
            previous.attempts * decay + counts.attempts,
            previous.errors * decay + counts.errors,
            previous.latency_sum * decay + counts.latency_sum,
        )

    def _limited_counts(self, event: EndpointStats) -> Counts:
        """Return the counts of a report, reduced if they are far out of the usual.

        The decayed counts would otherwise be those of one report with an impossible number for many
        cycles, and so would the medians of the fleet. The error rate of the report stays.
        """
        limit = MAX_ATTEMPTS_FACTOR * max(MIN_LIMITED_ATTEMPTS, self.median_attempts)
        fraction = min(1.0, limit / max(1, event.attempts))
        mean_latency = min(event.mean_latency, self.max_latency)
        attempts, errors = event.attempts * fraction, event.errors * fraction
        return Counts(attempts, errors, mean_latency * (attempts - errors))

    def end_round(self, bad_paths: set[Path]) -> list[FailingEndpoint]:
        """Sum up each endpoint's counts, excluding bad paths, and return the failing endpoints.

        The sums in the endpoints' state include counts from other controllers, the returned counts
        do not.
        """
        failing = []
        for endpoint in self.context.endpoints.values():
            zone_counts = [
                self._decayed_counts(counts)
                for zone, counts in endpoint.counts_by_zone.items()
                if (zone, endpoint.zone) not in bad_paths
            ]
            own_counts = all_counts = sum_counts(zone_counts)
            endpoint.own_attempts = own_counts.attempts
            if endpoint.phase == READY and own_counts.errors >= MIN_GOSSIP_ERRORS:
                failing.append(FailingEndpoint(endpoint.name, own_counts))
            if endpoint.counts_by_peer:
                peer_counts = [
                    self._decayed_counts(counts) for counts in endpoint.counts_by_peer.values()
                ]
                all_counts = sum_counts(zone_counts + peer_counts)
            endpoint.attempts, endpoint.errors, endpoint.latency_sum = all_counts
        self.median_attempts = median(
            [
                endpoint.own_attempts
                for endpoint in self.context.endpoints.values()
                if endpoint.phase == READY
            ]
        )
        return failing

    def _decayed_counts(self, counts: DatedCounts) -> Counts:
        """Return the counts as decayed since their last update."""
        decay = CYCLE_DECAY ** ((self.context.now - counts.updated_at) / self.reporting_cycle)
        return Counts(decay * counts.attempts, decay * counts.errors, decay * counts.latency_sum)


def sum_counts(all_counts: list[Counts]) -> Counts:
    """Return the sum of counts. `fsum` makes the result independent of the order."""
    return Counts(
        fsum([counts.attempts for counts in all_counts]),
        fsum([counts.errors for counts in all_counts]),
        fsum([counts.latency_sum for counts in all_counts]),
    )
