"""Outlier detection, as in Envoy: ejects endpoints that fail against their peers for a while.

Reports and health checks eject an endpoint only by comparison with its peers: a fault that all
share ejects nobody, and the rest must be able to carry the load. One that is slow or full is
relieved instead (load_relief.py): ejecting it would overload the others. The wait of an ejection
doubles each time that the endpoint fails again soon.
"""

from math import log

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import LEAST_COUNT, EndpointState
from .fleet_load import PeerMedians
from .load_relief import LoadRelief
from .load_statistics import LoadStatistics
from .slow_start import SlowStart
from .statistics import median
from .table_changes import TableChanges
from .zone_paths import ZonePaths

FIRST_EJECTION = 10.0  # seconds, doubled with each ejection that follows soon
LONGEST_EJECTION = 60.0  # seconds
REPEATED_EJECTION_SPAN = 30  # seconds after a return, in which an ejection follows soon
MAX_EJECTED_PART = 0.4  # of the ready endpoints: the rest could not carry the load
PASSES_TO_RETURN = 2  # health checks in a row, where the ejection followed from checks

# Silence: no success for longer than reports take, and health checks that fail.
SILENT_CYCLES = 1.3  # cycles of reports without a success
SILENT_ERROR_RATE = 0.6  # from which peers with capacity don't wait for silence
CAPACITY_LEFT = 0.7  # utilization below which peers have capacity
LEAST_FAILED_CHECKS = 3.0  # in a row
CHANCE_OF_FAILED_CHECKS = 0.001  # that the median endpoint's checks fail so often in a row
FAILURE_RATE_BOUNDS = (0.01, 0.8)  # of the median endpoint's checks, as far as they are believed
REPORTED_ERRORS = 0.5  # faded errors that count as a report of errors

# Errors and latency against the peers.
LEAST_EVALUATED_ATTEMPTS = 2  # faded, of an endpoint that is compared by them
LEAST_ERRORS = 3  # faded
EJECTION_ERROR_RATE = 0.25
PEER_ERRORS_FACTOR = 3  # times the peers' error rate
PEER_ERRORS_MARGIN = 0.1  # and so much more
SLOW_FACTOR = 1.5  # times the peers' latency
SLOW_TARGET = 0.6  # of the response target
FAST_FACTOR = 1.2  # times the peers' latency, up to which one that fails isn't overloaded
OVERLOADED = 0.8  # utilization from which errors are overload
FULL = 0.85  # utilization from which an endpoint is relieved
FULLER_THAN_PEERS = 0.15  # utilization above the peers'
EMPTIER_THAN_PEERS = 0.1  # utilization below the peers'


class OutlierDetection:
    """Compares every endpoint with its peers once a round."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        schedule: EndpointSchedule,
        statistics: LoadStatistics,
        paths: ZonePaths,
        relief: LoadRelief,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule
        self.statistics = statistics
        self.paths = paths
        self.relief = relief
        self.slow_start = slow_start

    def evaluate(self, ready: list[EndpointState], peers: PeerMedians) -> None:
        """Eject or relieve what stands out among the ready endpoints."""
        failed_checks = failed_checks_to_eject(ready)
        for endpoint in [endpoint for endpoint in ready if endpoint.usable]:
            if self._is_silent(endpoint, peers, failed_checks):
                self.eject(endpoint, ready, by_checks=True)
            elif endpoint.attempts >= LEAST_EVALUATED_ATTEMPTS:
                self._evaluate_reports(endpoint, ready, peers)

    def _is_silent(self, endpoint: EndpointState, peers: PeerMedians, failed_checks: float) -> bool:
        """Whether it has stopped answering: checks and reports must both say so.

        Reports cover seconds and the successes in them may be older: peers that have capacity don't
        wait for silence. Where proxies report no attempts, checks alone suffice.
        """
        if endpoint.failed_checks < failed_checks:
            return False
        reports = self.context.settings.get("tries_told", True)
        if reports and endpoint.errors <= REPORTED_ERRORS:
            return False
        path = (self.context.settings["zone"], endpoint.zone)
        last = max(endpoint.last_success_at, self.paths.bad_until(path))
        if self.context.now - last > SILENT_CYCLES * self.statistics.cycle:
            return True
        return (
            recent_error_rate(endpoint) > SILENT_ERROR_RATE
            and endpoint.errors >= LEAST_ERRORS
            and peers.utilization < CAPACITY_LEFT
        )

    def _evaluate_reports(
        self, endpoint: EndpointState, ready: list[EndpointState], peers: PeerMedians
    ) -> None:
        """Eject it if it fails, relieve it if it is slow or full.

        One that is full rejects as fast as one that is broken, but ejecting it would overload the
        others.
        """
        latency = endpoint.mean_latency
        tolerated = PEER_ERRORS_FACTOR * peers.error_rate + PEER_ERRORS_MARGIN
        failing = endpoint.errors >= LEAST_ERRORS and recent_error_rate(endpoint) > max(
            EJECTION_ERROR_RATE, tolerated
        )
        slow = latency > max(SLOW_FACTOR * peers.latency, SLOW_TARGET * peers.target)
        full = endpoint.utilization > max(FULL, peers.utilization + FULLER_THAN_PEERS)
        overloaded = latency > FAST_FACTOR * peers.latency or endpoint.utilization >= OVERLOADED
        if failing and not overloaded:
            self.eject(endpoint, ready, by_checks=False)
        elif failing or slow or full:
            self.relief.relieve(endpoint, ready)
        elif endpoint.utilization < peers.utilization - EMPTIER_THAN_PEERS:
            self.relief.restore_now(endpoint)

    def eject(self, endpoint: EndpointState, ready: list[EndpointState], by_checks: bool) -> None:
        """Take it out of all tables for a while, unless too many are out already."""
        unusable = sum([not other.usable for other in ready])
        if unusable + 1 > len(ready) * MAX_EJECTED_PART:
            return
        now = self.context.now
        endpoint.unusable_since = now
        soon = now - endpoint.restored_at <= REPEATED_EJECTION_SPAN
        endpoint.consecutive_ejections = endpoint.consecutive_ejections + 1 if soon else 1
        endpoint.ejected_by_checks = by_checks
        endpoint.passed_checks = 0
        wait = FIRST_EJECTION * 2 ** (endpoint.consecutive_ejections - 1)
        endpoint.ejected_until = now + min(LONGEST_EJECTION, wait)
        self.changes.removals_pending = True
        self.changes.touch(endpoint)
        self.schedule.activate(endpoint)
        self.context.log(f"host {endpoint.id} dropped: {'probes' if by_checks else 'sums'}")

    def restore_if_due(self, endpoint: EndpointState) -> None:
        """Bring an ejected endpoint back, with a ramp, once it passed checks or its wait is over.

        A shallow check passes at an endpoint that hangs: passes count only where checks had
        failed.
        """
        if endpoint.ejected_until is None:
            return
        if endpoint.ejected_by_checks:
            due = endpoint.passed_checks >= PASSES_TO_RETURN
        else:
            due = self.context.now >= endpoint.ejected_until
        if due:
            endpoint.ejected_until = None
            endpoint.restored_at = self.context.now
            endpoint.clear_evidence(self.context.now)
            self.slow_start.begin(endpoint)
            self.changes.mark(endpoint)


def recent_error_rate(endpoint: EndpointState) -> float:
    """Errors by attempts, of an endpoint that may have had none."""
    return endpoint.errors / max(LEAST_COUNT, endpoint.attempts)


def failed_checks_to_eject(ready: list[EndpointState]) -> float:
    """Failed checks in a row that are more than chance.

    A deep check times out at a busy endpoint: more must fail in a row than chance brings at the
    median endpoint.
    """
    lowest, highest = FAILURE_RATE_BOUNDS
    usual = median([endpoint.check_failure_rate for endpoint in ready])
    by_chance = log(CHANCE_OF_FAILED_CHECKS) / log(min(highest, max(lowest, usual)))
    return max(LEAST_FAILED_CHECKS, by_chance)
