"""Load shedding: the fraction of all work that is admitted while the fleet lacks capacity.

The fraction decreases by a limited factor while the median attempt fails, is slow or meets a full
endpoint. In an overload it drops to the minimum at once: full queues hold requests whose clients
have given up, and these must be processed first. It quickly returns to a level that the fleet is
known to carry, and increases slowly above that level, since reports are delayed and another
overload is expensive.
"""

from .channel_budget import ChannelBudget
from .context import COVERAGE, PlannerContext
from .fleet_load import HIGH_ERROR_RATE, HIGH_LATENCY_RATIO, FleetLoad

MIN_ADMITTED_FRACTION = 0.3  # of all work
MAX_UTILIZATION = 0.85  # above it less is admitted
MAX_UTILIZATION_SHARDED = 0.75  # same, for shards that load endpoints unevenly
UPDATE_INTERVAL = 0.8  # seconds between two changes
OVERLOAD_DELAY = 1.0  # additional seconds after a cut to the minimum
MIN_REPORTING_ENDPOINTS = 3  # endpoints with attempts that a decision requires
ADMISSION_MESSAGES_FRACTION = 0.7  # of each proxy's message limit, since a change is sent to all

# Below this utilization, errors and high latency do not indicate a lack of capacity.
LOW_UTILIZATION = 0.6
MIN_MEAN_WEIGHT_FRACTION = 0.9  # above it no endpoint ramps
OVERLOAD_ERROR_FACTOR = 3  # times the high error rate
OVERLOAD_LATENCY_FACTOR = 2  # times the high latency ratio
MIN_CUT_FACTOR = 0.85
MAX_CUT_FACTOR = 0.9
IMPROVED_SEVERITY_FACTOR = 0.95  # of the severity at the last cut; below it no further cut is made
SAFE_FACTOR = 0.85  # of the admitted fraction before an overload
LOW_LATENCY_FACTOR = 0.7  # of the high latency ratio, below which more is admitted
MIN_INCREASE = 0.02  # of all work, above the safe fraction
INCREASE_ROUNDS = 10  # rounds in which the reported spare capacity is put to use
MIN_UTILIZATION = 0.4  # lower bound in the computation of the spare capacity


class LoadShedding:
    """The admitted fraction of all work."""

    def __init__(
        self,
        context: PlannerContext,
        fleet_load: FleetLoad,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.fleet_load = fleet_load
        self.budget = budget
        in_shards = context.expected_proxies > COVERAGE
        self.max_utilization = MAX_UTILIZATION_SHARDED if in_shards else MAX_UTILIZATION
        self.admitted_fraction = 1.0  # of all work
        self.safe_fraction = 1.0  # admitted fraction that the fleet is known to carry
        self.cutting = False  # whether the last change was a cut
        self.overload_reported = False  # whether the last round showed an overload
        self.severity = 0.0  # latency ratio plus error rate at the last cut
        self.next_update_at = 0.0  # seconds, when the fraction may change again

    def update(self) -> bool:
        """Update the admitted fraction by the round; return whether an update was due."""
        if not self._is_due():
            return False
        self.next_update_at = self.context.now + UPDATE_INTERVAL
        load = self.fleet_load
        has_capacity = self._has_capacity()
        over_limit = (
            load.error_rate > HIGH_ERROR_RATE
            or load.latency_ratio > HIGH_LATENCY_RATIO
            or load.utilization > self.max_utilization
        )
        if over_limit and not has_capacity:
            self._decrease()
        elif (has_capacity and self._may_increase()) or (
            load.latency_ratio < LOW_LATENCY_FACTOR * HIGH_LATENCY_RATIO
            and load.utilization < self.max_utilization
        ):
            self._increase()
        return True

    def _is_due(self) -> bool:
        return (
            self.context.now >= self.next_update_at
            and self.fleet_load.reporting_endpoints >= MIN_REPORTING_ENDPOINTS
            and all(
                self.budget.may_update(proxy, ADMISSION_MESSAGES_FRACTION)
                for proxy in self.context.connected_proxies
            )
        )

    def _has_utilization(self) -> bool:
        """Return whether endpoints report their utilization."""
        return "util" in self.context.settings["report_fields"]

    def _has_capacity(self) -> bool:
        """Return whether the endpoints have spare capacity in spite of errors and high latency.

        In that case errors may come from lost responses or impatient clients, or from requests sent
        before a cut. Load reports are more recent than reports of attempts.
        """
        known = self._has_utilization() or self.admitted_fraction <= MIN_ADMITTED_FRACTION
        return self.fleet_load.utilization < LOW_UTILIZATION and known

    def _may_increase(self) -> bool:
        """Return whether the fleet is healthy and no endpoint ramps.

        At the minimum an increase is always allowed.
        """
        load = self.fleet_load
        healthy = (
            load.latency_ratio < HIGH_LATENCY_RATIO
            and load.error_rate < HIGH_ERROR_RATE
            and load.mean_weight_fraction > MIN_MEAN_WEIGHT_FRACTION
        )
        return healthy or self.admitted_fraction <= MIN_ADMITTED_FRACTION

    def _decrease(self) -> None:
        """Admit less.

        An overload must show in two consecutive rounds, since delayed reports after a stall look
        like one. Reports lag behind a cut, so no further cut is made while the severity falls.
        """
        load = self.fleet_load
        overload = (
            load.error_rate > OVERLOAD_ERROR_FACTOR * HIGH_ERROR_RATE
            or load.latency_ratio > OVERLOAD_LATENCY_FACTOR * HIGH_LATENCY_RATIO
        )
        confirmed = overload and self.overload_reported
        if confirmed or not self.cutting:
            self.safe_fraction = SAFE_FACTOR * (
                self.safe_fraction if self.cutting else self.admitted_fraction
            )
        severity = load.latency_ratio + load.error_rate
        worse = severity >= IMPROVED_SEVERITY_FACTOR * self.severity
        by_latency = HIGH_LATENCY_RATIO / max(HIGH_LATENCY_RATIO, load.latency_ratio)
        factor = max(MIN_CUT_FACTOR, min(MAX_CUT_FACTOR, by_latency)) if worse else 1.0
        if confirmed:
            self.admitted_fraction = MIN_ADMITTED_FRACTION
            self.next_update_at += OVERLOAD_DELAY
        else:
            self.admitted_fraction = max(MIN_ADMITTED_FRACTION, self.admitted_fraction * factor)
        self.cutting = True
        self.overload_reported = overload
        self.severity = severity

    def _increase(self) -> None:
        """Admit more.

        The safe fraction is admitted at once; above it the fraction increases by the spare
        capacity.
        """
        spare = self.max_utilization / max(MIN_UTILIZATION, self.fleet_load.utilization) - 1
        by_capacity = self._has_utilization() * self.admitted_fraction * spare / INCREASE_ROUNDS
        step = max(MIN_INCREASE, by_capacity)
        self.admitted_fraction = min(1.0, max(self.safe_fraction, self.admitted_fraction + step))
        self.cutting = False
        self.overload_reported = False
        self.severity = 0.0
