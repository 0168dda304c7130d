"""The state of one endpoint: its list entry, its reported load and the planner's decisions."""

from typing import NamedTuple, Optional

from ..interface import Endpoint, EndpointPhase, LoadReport
from .input_bounds import DEFAULT_WEIGHT, usable_weight
from .rendezvous import endpoint_hash

READY = EndpointPhase.READY.value
GONE = EndpointPhase.GONE.value
DISTANT_PAST = -1e9  # seconds, before any time of the planner's clock
# Seconds until a step of a relieved endpoint's traffic is restored; doubled with repeated relief.
INITIAL_RELIEF_DURATION = 10.0
MIN_COUNT = 0.5  # minimum divisor of means and rates: decayed counts may be below one


class Counts(NamedTuple):
    """Counts of the attempts at an endpoint, which decay with time and are not whole numbers."""

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
        # Relative to the weights of other endpoints.
        self.weight = usable_weight(endpoint.weight, DEFAULT_WEIGHT)
        self.started_at: Optional[float] = None  # seconds, start of the endpoint's process
        # False if the endpoint was added to the list later and no health check has found it yet.
        self.confirmed = confirmed
        # `TableChanges.change_count` at the endpoint's last change that affects tables.
        self.last_change_count = 0

        # Withdrawals.
        self.withdrawn = False
        self.withdrawn_at = now  # when `withdrawn` last changed
        # True after the first withdrawal: proxies may still avoid the endpoint.
        self.ever_withdrawn = False
        # By number: proxies to notify of the endpoint's return.
        self.notified_proxies: dict[int, object] = {}
        # Numbers of the proxies that this withdrawal was sent to while they waited for tables.
        self.ejecting_proxies: set[int] = set()
        self.unusable_since = now  # when the endpoint last became unusable

        # Slow start.
        self.cold_since: Optional[float] = None  # start of the cold start; None if warm
        self.ramp_fraction = 1.0  # fraction of the weight that the ramp permits
        self.next_ramp_step_at = 0.0  # seconds
        self.ramp_step_interval = 0.0  # seconds between two steps of the ramp
        self.weight_fraction = 1.0  # published fraction of the weight

        # Relief.
        self.traffic_fraction = 1.0  # fraction of the subscribers' requests to send to the endpoint
        self.excluded_proxies: set[int] = set()  # numbers of proxies whose tables omit the endpoint
        self.next_traffic_step_at = 0.0  # when the next step of traffic is restored
        self.relief_duration = INITIAL_RELIEF_DURATION  # seconds until a step is restored
        self.relieved_at = DISTANT_PAST  # when traffic was last reduced

        # Outlier detection.
        self.ejected_until: Optional[float] = None  # seconds; None if not ejected
        self.ejected_by_checks = False  # whether failed health checks caused the ejection
        self.consecutive_ejections = 0  # each soon after the end of the previous one
        self.ejection_ended_at = DISTANT_PAST  # when the last ejection ended

        # Health checks.
        self.next_check_at = 0.0
        self.failed_checks = 0  # consecutive
        self.passed_checks = 0  # consecutive
        self.check_failure_rate = 0.0  # moving average, 0 to 1

        self.clear_evidence(now)

    def clear_evidence(self, now: float) -> None:
        """Discard the reported counts and loads, which no longer describe the running process."""
        self.counts_by_zone: dict[int, DatedCounts] = {}  # by the zone of the proxies
        self.counts_by_peer: dict[int, DatedCounts] = {}  # by the controller that sent the counts
        # By the zone of the proxies: successful attempts per second while the endpoint is warm.
        self.success_rates: dict[int, float] = {}
        # Sums of the last round, including counts from other controllers, excluding bad paths.
        self.attempts = 0.0
        self.errors = 0.0
        self.latency_sum = 0.0  # seconds
        self.own_attempts = 0.0  # attempts without counts from other controllers
        self.utilization = 0.0  # moving average, 0 to 1
        self.last_success_at = now

    def add_load_report(self, report: Optional[LoadReport]) -> None:
        """Update the utilization from a load report.

        If the report has no utilization, any waiting request counts as full utilization. A value
        that is negative or NaN is ignored.
        """
        if report:
            utilization = report.get("util")
            if utilization is None:
                utilization = report.get("waiting", 0.0)
            if utilization >= 0:
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
