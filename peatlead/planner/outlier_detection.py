"""Outlier detection, as in Envoy: temporarily ejects endpoints that fail compared with their peers.

An endpoint is ejected if its reports or health checks are much worse than those of its peers. A
fault that all endpoints share therefore ejects none. The number of ejected endpoints is limited, so
that the rest can carry the load. An endpoint that is slow or full is relieved instead
(load_relief.py), because ejecting it would overload the others. The duration of an ejection doubles
if the endpoint fails again soon after its return.
"""

from math import log

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import MIN_COUNT, EndpointState
from .fleet_load import PeerMedians
from .load_relief import LoadRelief
from .load_statistics import LoadStatistics
from .slow_start import SlowStart
from .statistics import median
from .table_changes import TableChanges
from .zone_paths import ZonePaths

INITIAL_EJECTION_DURATION = 10.0  # seconds, doubled with each repeated ejection
MAX_EJECTION_DURATION = 60.0  # seconds
REPEATED_EJECTION_WINDOW = 30  # seconds after a return within which an ejection counts as repeated
MAX_EJECTED_FRACTION = 0.4  # of the ready endpoints, so that the rest can carry the load
MIN_PASSED_CHECKS = 2  # consecutive passed checks that end an ejection caused by failed checks

# An unresponsive endpoint has no recent successful attempt, and its health checks fail.
MAX_CYCLES_WITHOUT_SUCCESS = 1.3  # reporting cycles since the last successful attempt
# Error rate above which an endpoint is ejected earlier if its peers have spare capacity.
UNRESPONSIVE_ERROR_RATE = 0.6
SPARE_CAPACITY_UTILIZATION = 0.7  # median utilization, below which peers have spare capacity
MIN_FAILED_CHECKS = 3.0  # minimum of the consecutive failed checks of an unresponsive endpoint
# Maximum probability that the median endpoint fails as many consecutive checks.
MAX_CHANCE_OF_FAILED_CHECKS = 0.001
# Range to which the median failure rate of health checks is clamped.
CHECK_FAILURE_RATE_RANGE = (0.01, 0.8)
MIN_REPORTED_ERRORS = 0.5  # decayed errors that confirm failed checks

# Errors, latency and utilization are compared with the medians of the peers.
MIN_EVALUATED_ATTEMPTS = 2  # decayed attempts; an endpoint with fewer is not compared
MIN_ERRORS = 3  # minimum decayed errors of an endpoint that fails
EJECTION_ERROR_RATE = 0.25  # minimum error rate of an endpoint that fails
# An endpoint may have an error rate of this factor times the peers' error rate, plus the margin.
PEER_ERROR_RATE_FACTOR = 3
PEER_ERROR_RATE_MARGIN = 0.1
# An endpoint is slow if its latency exceeds both this multiple of the peers' latency and this
# multiple of the mean response target.
SLOW_LATENCY_FACTOR = 1.5
SLOW_TARGET_FACTOR = 0.6
# An endpoint's errors are attributed to overload if its latency exceeds this multiple of the peers'
# latency.
OVERLOADED_LATENCY_FACTOR = 1.2
OVERLOADED_UTILIZATION = 0.8  # at or above it, an endpoint's errors are attributed to overload
# An endpoint is full, and is relieved, if its utilization exceeds both RELIEF_UTILIZATION and the
# peers' utilization plus the margin.
RELIEF_UTILIZATION = 0.85
RELIEF_UTILIZATION_MARGIN = 0.15
# Traffic is restored to an endpoint whose utilization is lower than the peers' by this margin.
RESTORE_UTILIZATION_MARGIN = 0.1


class OutlierDetection:
    """Compares every endpoint with its peers once per round."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        schedule: EndpointSchedule,
        load_statistics: LoadStatistics,
        zone_paths: ZonePaths,
        load_relief: LoadRelief,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule
        self.load_statistics = load_statistics
        self.zone_paths = zone_paths
        self.load_relief = load_relief
        self.slow_start = slow_start

    def evaluate(self, ready: list[EndpointState], peers: PeerMedians) -> None:
        """Eject or relieve the outliers among the ready endpoints."""
        required_failed_checks = failed_checks_to_eject(ready)
        for endpoint in [endpoint for endpoint in ready if endpoint.usable]:
            if self._is_unresponsive(endpoint, peers, required_failed_checks):
                self.eject(endpoint, ready, by_checks=True)
            elif endpoint.attempts >= MIN_EVALUATED_ATTEMPTS:
                self._evaluate_reports(endpoint, ready, peers)

    def _is_unresponsive(
        self, endpoint: EndpointState, peers: PeerMedians, required_failed_checks: float
    ) -> bool:
        """Return whether health checks and reports show that the endpoint has stopped answering.

        After `required_failed_checks` consecutive failures, reports must also show errors and no
        successful attempt for some time. Since reports cover several seconds, their successes may
        be outdated: if the peers have spare capacity, a high error rate suffices instead of the
        time. If proxies do not report attempts, health checks alone decide.
        """
        if endpoint.failed_checks < required_failed_checks:
            return False
        attempts_are_reported = self.context.settings.get("tries_told", True)
        if attempts_are_reported and endpoint.errors <= MIN_REPORTED_ERRORS:
            return False
        path = (self.context.settings["zone"], endpoint.zone)
        last_answer_at = max(endpoint.last_success_at, self.zone_paths.bad_until(path))
        if (
            self.context.now - last_answer_at
            > MAX_CYCLES_WITHOUT_SUCCESS * self.load_statistics.reporting_cycle
        ):
            return True
        return (
            recent_error_rate(endpoint) > UNRESPONSIVE_ERROR_RATE
            and endpoint.errors >= MIN_ERRORS
            and peers.utilization < SPARE_CAPACITY_UTILIZATION
        )

    def _evaluate_reports(
        self, endpoint: EndpointState, ready: list[EndpointState], peers: PeerMedians
    ) -> None:
        """Eject the endpoint if it fails, or relieve it if it is slow or full.

        A full endpoint may reject requests as quickly as a broken one, but ejecting it would
        overload the others.
        """
        latency = endpoint.mean_latency
        tolerated_error_rate = PEER_ERROR_RATE_FACTOR * peers.error_rate + PEER_ERROR_RATE_MARGIN
        failing = endpoint.errors >= MIN_ERRORS and recent_error_rate(endpoint) > max(
            EJECTION_ERROR_RATE, tolerated_error_rate
        )
        slow = latency > max(SLOW_LATENCY_FACTOR * peers.latency, SLOW_TARGET_FACTOR * peers.target)
        full = endpoint.utilization > max(
            RELIEF_UTILIZATION, peers.utilization + RELIEF_UTILIZATION_MARGIN
        )
        overloaded = (
            latency > OVERLOADED_LATENCY_FACTOR * peers.latency
            or endpoint.utilization >= OVERLOADED_UTILIZATION
        )
        if failing and not overloaded:
            self.eject(endpoint, ready, by_checks=False)
        elif failing or slow or full:
            self.load_relief.relieve(endpoint, ready)
        elif endpoint.utilization < peers.utilization - RESTORE_UTILIZATION_MARGIN:
            self.load_relief.make_restore_due(endpoint)

    def eject(self, endpoint: EndpointState, ready: list[EndpointState], by_checks: bool) -> None:
        """Remove the endpoint from all tables for a while, unless too many are already unusable.

        `ready` has all ready endpoints. `by_checks` is true if failed health checks are the cause.
        """
        unusable_count = sum([not other.usable for other in ready])
        if unusable_count + 1 > len(ready) * MAX_EJECTED_FRACTION:
            return
        now = self.context.now
        endpoint.unusable_since = now
        repeated = now - endpoint.ejection_ended_at <= REPEATED_EJECTION_WINDOW
        endpoint.consecutive_ejections = endpoint.consecutive_ejections + 1 if repeated else 1
        endpoint.ejected_by_checks = by_checks
        endpoint.passed_checks = 0
        duration = INITIAL_EJECTION_DURATION * 2 ** (endpoint.consecutive_ejections - 1)
        endpoint.ejected_until = now + min(MAX_EJECTION_DURATION, duration)
        self.changes.removals_pending = True
        self.changes.count_endpoint_change(endpoint)
        self.schedule.activate(endpoint)
        self.context.log(
            f"endpoint {endpoint.id} ejected: "
            f"{'failed health checks' if by_checks else 'high error rate'}"
        )

    def end_ejection_if_due(self, endpoint: EndpointState) -> None:
        """End the endpoint's ejection if this is due, and ramp the endpoint.

        An ejection that failed health checks caused ends after passed checks. Any other ejection
        ends after its duration, because a shallow health check may pass at an endpoint that hangs.
        """
        if endpoint.ejected_until is None:
            return
        if endpoint.ejected_by_checks:
            due = endpoint.passed_checks >= MIN_PASSED_CHECKS
        else:
            due = self.context.now >= endpoint.ejected_until
        if due:
            endpoint.ejected_until = None
            endpoint.ejection_ended_at = self.context.now
            endpoint.clear_evidence(self.context.now)
            self.slow_start.begin_ramp(endpoint)
            self.changes.mark_endpoint_changed(endpoint)


def recent_error_rate(endpoint: EndpointState) -> float:
    """Return the errors per attempt of an endpoint that may have had no attempts."""
    return endpoint.errors / max(MIN_COUNT, endpoint.attempts)


def failed_checks_to_eject(ready: list[EndpointState]) -> float:
    """Return the number of consecutive failed checks that is unlikely to occur by chance.

    A deep health check may time out at a busy endpoint. The number is so high that as many
    consecutive checks of the median endpoint rarely fail.
    """
    min_rate, max_rate = CHECK_FAILURE_RATE_RANGE
    median_rate = median([endpoint.check_failure_rate for endpoint in ready])
    required = log(MAX_CHANCE_OF_FAILED_CHECKS) / log(min(max_rate, max(min_rate, median_rate)))
    return max(MIN_FAILED_CHECKS, required)
