"""What the planner knows about one endpoint, and what it has decided about it."""

from typing import NamedTuple, Optional

from ..interface import Endpoint, EndpointPhase, LoadReport
from .rendezvous import endpoint_hash

READY = EndpointPhase.READY.value
GONE = EndpointPhase.GONE.value
DISTANT_PAST = -1e9  # seconds; earlier than any other time
# Seconds until a step of a relieved endpoint's traffic is restored; doubled with repeated relief.
INITIAL_RELIEF_DURATION = 10.0
MIN_COUNT = 0.5  # minimum divisor of means and rates: decayed counts may be below one


class Counts(NamedTuple):
    """Attempts at an endpoint; the counts decay with time and are not whole numbers."""

    attempts: float
    errors: float
    latency_sum: float  # seconds, summed over the successful attempts


class DatedCounts(NamedTuple):
    """Counts with the time of their last update."""

    updated_at: float  # seconds
    attempts: float
    errors: float
    latency_sum: float  # seconds, summed over the successful attempts


class EndpointState:
    """The state of one endpoint; each mechanism writes the fields under its heading."""

    def __init__(self, endpoint: Endpoint, now: float, confirmed: bool) -> None:
        self.id = endpoint.id
        self.name = endpoint.name
        self.zone = endpoint.zone
        self.machine_type = endpoint.machine_type
        self.name_hash = endpoint_hash(endpoint.name)  # for rendezvous hashing

        # Endpoint list. The initial phase is "gone", so that a ready endpoint counts as newly
        # started.
        self.phase: str = GONE
        self.weight = endpoint.weight  # relative to the weights of other endpoints
        self.started_at: Optional[float] = None  # seconds, start of the endpoint's process
        # False if the endpoint was added to the list later and no health check has found it yet.
        self.confirmed = confirmed
        # Value of `TableChanges.count` at the last change that affects tables.
        self.last_change = 0

        # Withdrawals.
        self.withdrawn = False
        self.withdrawn_at = now  # when `withdrawn` last changed
        # Proxies may still avoid the endpoint after an earlier withdrawal.
        self.ever_withdrawn = False
        self.notified_proxies: dict[int, object] = {}  # proxies to notify when the endpoint returns
        self.unusable_since = now  # when the endpoint last became unusable

        # Slow start.
        self.cold_since: Optional[float] = None  # start of the cold start; None if warm
        self.ramp = 1.0  # fraction of the weight that the ramp permits
        self.next_step_at = 0.0
        self.step_interval = 0.0  # seconds between two steps of the ramp
        self.weight_fraction = 1.0  # published fraction of the weight

        # Relief.
        self.traffic_fraction = 1.0  # fraction of its subscribers' requests that it should receive
        self.excluded_proxies: set[int] = set()  # proxies whose tables leave the endpoint out
        self.next_restore_at = 0.0  # when the next step of traffic is restored
        self.relief_duration = INITIAL_RELIEF_DURATION
        self.relieved_at = DISTANT_PAST

        # Outlier detection.
        self.ejected_until: Optional[float] = None
        self.ejected_by_checks = False
        self.consecutive_ejections = 0
        self.restored_at = DISTANT_PAST

        # Health checks.
        self.next_check_at = 0.0
        self.failed_checks = 0  # consecutive
        self.passed_checks = 0  # consecutive
        self.check_failure_rate = 0.0  # moving average

        self.clear_evidence(now)

    def clear_evidence(self, now: float) -> None:
        """Discard all reports: another process is running, or the reports are outdated."""
        self.stats: dict[int, DatedCounts] = {}  # by the zone of the proxies
        self.peer_stats: dict[int, DatedCounts] = {}  # by the controller that sent the counts
        # Of the last round, including counts from other controllers and excluding bad paths:
        self.attempts = 0.0
        self.errors = 0.0
        self.latency_sum = 0.0  # seconds
        self.own_attempts = 0.0  # without counts from other controllers
        self.utilization = 0.0  # moving average, 0 to 1
        self.last_success_at = now

    def add_load_report(self, report: Optional[LoadReport]) -> None:
        """Update the utilization by a load report.

        If the report has no utilization, any waiting request counts as full utilization.
        """
        if report:
            utilization = report.get("util")
            if utilization is None:
                utilization = report.get("waiting", 0.0)
            self.utilization += (min(1.0, utilization) - self.utilization) / 2

    @property
    def mean_latency(self) -> float:
        """Mean latency in seconds of the successful attempts."""
        return self.latency_sum / max(MIN_COUNT, self.attempts - self.errors)

    @property
    def error_rate(self) -> float:
        """Errors per attempt; the endpoint must have had attempts."""
        return self.errors / self.attempts

    @property
    def usable(self) -> bool:
        """Whether tables may name the endpoint."""
        return self.phase == READY and self.ejected_until is None and self.confirmed
