"""What the planner knows of one endpoint, and what it has decided about it."""

from typing import NamedTuple, Optional

from ..interface import Endpoint, EndpointPhase, LoadReport
from .rendezvous import endpoint_hash

READY = EndpointPhase.READY.value
GONE = EndpointPhase.GONE.value
NEVER = -1e9  # seconds; a moment before every other
FIRST_RELIEF_WAIT = 10.0  # seconds until a relieved endpoint gets a step back; doubled each time
LEAST_COUNT = 0.5  # that a mean or rate is taken over at least: counts fade below one


class Counts(NamedTuple):
    """Attempts at an endpoint; counts fade with time, so they are no whole numbers."""

    attempts: float
    errors: float
    latency: float  # seconds, summed over the attempts that succeeded


class DatedCounts(NamedTuple):
    """Counts as they stood when they were last added to."""

    updated_at: float  # seconds
    attempts: float
    errors: float
    latency: float  # seconds, summed over the attempts that succeeded


class EndpointState:
    """One endpoint; each mechanism writes the fields under its heading."""

    def __init__(self, endpoint: Endpoint, now: float, confirmed: bool) -> None:
        self.id = endpoint.id
        self.name = endpoint.name
        self.zone = endpoint.zone
        self.machine_type = endpoint.machine_type
        self.name_hash = endpoint_hash(endpoint.name)  # its hash in rendezvous orders

        # The endpoint list. "gone" at first, so that one that is listed ready counts as starting.
        self.phase: str = GONE
        self.weight = endpoint.weight  # relative to the others'
        self.started_at: Optional[float] = None  # seconds, its process's start
        self.confirmed = (
            confirmed  # false: listed while the planner ran, and no health check found it
        )
        self.last_change = 0  # the planner's change count when what tables go by last changed here

        # Withdrawals.
        self.withdrawn = False
        self.withdrawn_at = now  # when that last changed
        self.ever_withdrawn = False  # proxies may still avoid it because of an earlier withdrawal
        self.notified_proxies: dict[int, object] = {}  # those to notify once it is back
        self.unusable_since = now  # when it last stopped being usable

        # Slow start.
        self.cold_since: Optional[float] = None  # when its present cold start began
        self.ramp = 1.0  # part of its weight that the ramp permits
        self.next_step_at = 0.0
        self.step_wait = 0.0  # seconds between the ramp's steps
        self.weight_fraction = 1.0  # part of its weight that is published

        # Relief.
        self.traffic_fraction = 1.0  # part of its holders' requests that may come
        self.excluded_proxies: set[int] = set()  # those that do without it
        self.reach_restored_at = 0.0  # when the next step of reach comes back
        self.relief_wait = FIRST_RELIEF_WAIT
        self.relieved_at = NEVER

        # Outlier detection.
        self.ejected_until: Optional[float] = None
        self.ejected_by_checks = False
        self.consecutive_ejections = 0
        self.restored_at = NEVER

        # Health checks.
        self.next_check_at = 0.0  # when the next check is due
        self.failed_checks = 0  # in a row
        self.passed_checks = 0  # in a row
        self.check_failure_rate = 0.0  # fading

        self.clear_evidence(now)

    def clear_evidence(self, now: float) -> None:
        """Forget what was reported of it: another process runs there, or time has passed."""
        self.stats: dict[int, DatedCounts] = {}  # by the proxies' zone
        self.peer_stats: dict[int, DatedCounts] = {}  # by the controller that sent them
        # Of the last round, over all zones but those with a bad path to it, and peers:
        self.attempts = 0.0
        self.errors = 0.0
        self.latency = 0.0  # seconds, summed
        self.own_attempts = 0.0  # without those that peers reported
        self.utilization = 0.0  # fading: part of its cores in use, or 1 where requests wait
        self.last_success_at = now

    def add_load_report(self, report: Optional[LoadReport]) -> None:
        """Average a load report in; without a utilization, waiting requests count as full."""
        if report:
            utilization = report.get("util")
            if utilization is None:
                utilization = report.get("waiting", 0.0)
            self.utilization += (min(1.0, utilization) - self.utilization) / 2

    @property
    def mean_latency(self) -> float:
        """Seconds, of the attempts that succeeded."""
        return self.latency / max(LEAST_COUNT, self.attempts - self.errors)

    @property
    def error_rate(self) -> float:
        """Errors by attempts; the endpoint must have had attempts."""
        return self.errors / self.attempts

    @property
    def usable(self) -> bool:
        """Whether tables may name it."""
        return self.phase == READY and self.ejected_until is None and self.confirmed
