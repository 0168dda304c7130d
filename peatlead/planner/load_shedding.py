"""Load shedding: the fraction of all work that is admitted while the fleet lacks capacity.

The fraction decreases by a limited factor while the median attempt fails, is slow or meets a full
endpoint. In an overload the fraction drops to the minimum at once, because the endpoints' full
queues hold requests whose clients have given up, which must be processed first. Afterwards the
fraction returns at once to a level that the fleet is known to carry. Above that level it increases
slowly, since reports are delayed and another overload is expensive.
"""

from .channel_budget import ChannelBudget
from .context import COVERAGE, PlannerContext
from .fleet_load import HIGH_ERROR_RATE, HIGH_LATENCY_RATIO, FleetLoad

MIN_ADMITTED_FRACTION = 0.3  # of all work
# Median utilization over attempts, above which the admitted fraction is cut.
MAX_UTILIZATION = 0.85
MAX_UTILIZATION_SHARDED = 0.75  # replaces MAX_UTILIZATION if shards load endpoints unevenly
UPDATE_INTERVAL = 0.8  # seconds between two updates of the admitted fraction
OVERLOAD_DELAY = 1.0  # seconds added to the update interval after a cut to the minimum
# The admitted fraction changes only if at least this many endpoints have reported attempts.
MIN_REPORTING_ENDPOINTS = 3
# The admitted fraction changes only while every proxy has used less than this fraction of its
# message limit, because each change is sent to all proxies.
ADMISSION_MESSAGES_FRACTION = 0.7

# Below this utilization, errors and high latency do not indicate a lack of capacity.
LOW_UTILIZATION = 0.6
# Mean weight fraction of the ready endpoints, above which the fleet counts as not ramping.
MIN_MEAN_WEIGHT_FRACTION = 0.9
# The fleet is overloaded if its error rate exceeds this multiple of HIGH_ERROR_RATE, or its latency
# ratio exceeds this multiple of HIGH_LATENCY_RATIO.
OVERLOAD_ERROR_FACTOR = 3
OVERLOAD_LATENCY_FACTOR = 2
# A cut without a confirmed overload multiplies the admitted fraction by a factor from this range.
MIN_CUT_FACTOR = 0.85
MAX_CUT_FACTOR = 0.9
# Without a confirmed overload, no further cut is made if the severity is below this fraction of the
# severity at the last cut.
IMPROVED_SEVERITY_FACTOR = 0.95
# The first of consecutive cuts sets the safe fraction to this factor times the admitted fraction. A
# confirmed overload multiplies the safe fraction by the factor again.
SAFE_FACTOR = 0.85
# More is admitted if the latency ratio is below this fraction of HIGH_LATENCY_RATIO.
LOW_LATENCY_FACTOR = 0.7
MIN_INCREASE = 0.02  # minimum step of the admitted fraction above the safe fraction
INCREASE_ROUNDS = 10  # updates after which about all reported spare capacity is admitted
MIN_UTILIZATION = 0.4  # lower bound of the utilization from which spare capacity is computed


class LoadShedding:
    """Computes the admitted fraction of all work."""

    def __init__(
        self,
        context: PlannerContext,
        fleet_load: FleetLoad,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.fleet_load = fleet_load
        self.budget = budget
        uses_shards = context.expected_proxies > COVERAGE
        self.max_utilization = MAX_UTILIZATION_SHARDED if uses_shards else MAX_UTILIZATION
        self.admitted_fraction = 1.0  # of all work
        self.safe_fraction = 1.0  # minimum admitted fraction after an increase
        self.last_change_was_cut = False  # whether the last change was a cut
        self.overload_reported = False  # whether the last update showed an overload
        self.last_cut_severity = 0.0  # latency ratio plus error rate, at the last cut
        self.next_update_at = 0.0  # seconds, when the fraction may change again

    def update(self) -> bool:
        """Update the admitted fraction from the last round. Return whether an update was due."""
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
        """Return whether the fraction may change and a change can be sent to all proxies."""
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

        Errors may come from lost responses, from clients with short timeouts, or from requests sent
        before a cut. Load reports are more recent than reports of attempts.
        """
        utilization_is_known = (
            self._has_utilization() or self.admitted_fraction <= MIN_ADMITTED_FRACTION
        )
        return self.fleet_load.utilization < LOW_UTILIZATION and utilization_is_known

    def _may_increase(self) -> bool:
        """Return whether the fleet is healthy and not ramping, or the minimum is admitted."""
        load = self.fleet_load
        healthy = (
            load.latency_ratio < HIGH_LATENCY_RATIO
            and load.error_rate < HIGH_ERROR_RATE
            and load.mean_weight_fraction > MIN_MEAN_WEIGHT_FRACTION
        )
        return healthy or self.admitted_fraction <= MIN_ADMITTED_FRACTION

    def _decrease(self) -> None:
        """Admit less.

        An overload must show in two consecutive updates, because delayed reports after a stall look
        like an overload. Reports lag behind a cut, so no further cut is made while the severity
        falls.
        """
        load = self.fleet_load
        overload = (
            load.error_rate > OVERLOAD_ERROR_FACTOR * HIGH_ERROR_RATE
            or load.latency_ratio > OVERLOAD_LATENCY_FACTOR * HIGH_LATENCY_RATIO
        )
        confirmed = overload and self.overload_reported
        if confirmed or not self.last_change_was_cut:
            self.safe_fraction = SAFE_FACTOR * (
                self.safe_fraction if self.last_change_was_cut else self.admitted_fraction
            )
        severity = load.latency_ratio + load.error_rate
        worse = severity >= IMPROVED_SEVERITY_FACTOR * self.last_cut_severity
        latency_factor = HIGH_LATENCY_RATIO / max(HIGH_LATENCY_RATIO, load.latency_ratio)
        factor = max(MIN_CUT_FACTOR, min(MAX_CUT_FACTOR, latency_factor)) if worse else 1.0
        if confirmed:
            self.admitted_fraction = MIN_ADMITTED_FRACTION
            self.next_update_at += OVERLOAD_DELAY
        else:
            self.admitted_fraction = max(MIN_ADMITTED_FRACTION, self.admitted_fraction * factor)
        self.last_change_was_cut = True
        self.overload_reported = overload
        self.last_cut_severity = severity

    def _increase(self) -> None:
        """Admit more.

        The safe fraction is admitted at once. Above the safe fraction, the step depends on the
        spare capacity if endpoints report their utilization.
        """
        spare_capacity = (
            self.max_utilization / max(MIN_UTILIZATION, self.fleet_load.utilization) - 1
        )
        capacity_step = (
            self._has_utilization() * self.admitted_fraction * spare_capacity / INCREASE_ROUNDS
        )
        step = max(MIN_INCREASE, capacity_step)
        self.admitted_fraction = min(1.0, max(self.safe_fraction, self.admitted_fraction + step))
        self.last_change_was_cut = False
        self.overload_reported = False
        self.last_cut_severity = 0.0
