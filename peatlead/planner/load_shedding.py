"""Load shedding: how much of all work is admitted while the fleet lacks capacity.

The admitted fraction falls by a limited factor while the median attempt fails, is late or meets
full endpoints, and to the least at once in an overload: full queues hold work whose clients have
gone, which must be finished first. It comes back fast to what was surely carried before, and slowly
past it, since reports lag and an overload costs more.
"""

from .channel_budget import ChannelBudget
from .context import COVERAGE, PlannerContext
from .fleet_load import HIGH_ERROR_RATE, HIGH_LATENESS, FleetLoad

LEAST_ADMITTED = 0.3  # of all work
FULL_UTILIZATION = 0.85  # from which less is admitted
FULL_UTILIZATION_IN_SHARDS = 0.75  # likewise where shards load endpoints unevenly
UPDATE_INTERVAL = 0.8  # seconds between two changes
OVERLOAD_PAUSE = 1.0  # seconds more after a cut to the least
LEAST_REPORTING = 3  # endpoints with attempts, or nothing is known
MESSAGES_PART = 0.7  # of every proxy's messages: a change goes to all

LOW_UTILIZATION = 0.6  # below which errors and lateness are no lack of capacity
WHOLE_SHARE = 0.9  # of the endpoints' weights: none ramps
OVERLOAD_ERRORS = 3  # times the high error rate
OVERLOAD_LATENESS = 2  # times the high lateness
WORST_CUT = 0.85  # what a cut leaves at least
LEAST_CUT = 0.9  # what a cut leaves at most
IMPROVED = 0.95  # of the last cut's severity: below it no further cut is made
SAFE_PART = 0.85  # of the admitted fraction where an overload began, surely carried
LOW_LATENESS = 0.7  # of the high lateness, below which more is admitted
REGAIN_STEP = 0.02  # of all work, past what is surely carried
REGAIN_ROUNDS = 10  # rounds over which the reported capacity is used up
LEAST_UTILIZATION = 0.4  # that reported capacity is computed by


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
        in_shards = context.proxies_expected > COVERAGE
        self.full = FULL_UTILIZATION_IN_SHARDS if in_shards else FULL_UTILIZATION
        self.admitted = 1.0  # of all work
        self.safe = 1.0  # admitted fraction that was surely carried
        self.cutting = False  # the last change was a cut
        self.overload_reported = False  # the last round looked like an overload
        self.severity = 0.0  # lateness and errors at the last cut
        self.next_at = 0.0  # seconds, when the fraction may change again

    def update(self) -> bool:
        """Change the admitted fraction as the round has it; false where it isn't looked at."""
        if not self._is_due():
            return False
        self.next_at = self.context.now + UPDATE_INTERVAL
        load = self.fleet_load
        has_capacity = self._has_capacity()
        over_limit = (
            load.error_rate > HIGH_ERROR_RATE
            or load.lateness > HIGH_LATENESS
            or load.utilization > self.full
        )
        if over_limit and not has_capacity:
            self._cut()
        elif (has_capacity and self._may_regain()) or (
            load.lateness < LOW_LATENESS * HIGH_LATENESS and load.utilization < self.full
        ):
            self._regain()
        return True

    def _is_due(self) -> bool:
        return (
            self.context.now >= self.next_at
            and self.fleet_load.reporting >= LEAST_REPORTING
            and all(self.budget.may_update(proxy, MESSAGES_PART) for proxy in self.context.joined)
        )

    def _has_utilization(self) -> bool:
        """Whether endpoints report their utilization."""
        return "util" in self.context.settings["report_fields"]

    def _has_capacity(self) -> bool:
        """Errors and lateness while endpoints have capacity are no lack of it.

        They may be lost answers or impatient clients; or, right after a cut, what was sent before
        it. Load reports are newer.
        """
        known = self._has_utilization() or self.admitted <= LEAST_ADMITTED
        return self.fleet_load.utilization < LOW_UTILIZATION and known

    def _may_regain(self) -> bool:
        """Whether the whole fleet fares well, none ramping; or no less can be admitted."""
        load = self.fleet_load
        whole = (
            load.lateness < HIGH_LATENESS
            and load.error_rate < HIGH_ERROR_RATE
            and load.mean_share > WHOLE_SHARE
        )
        return whole or self.admitted <= LEAST_ADMITTED

    def _cut(self) -> None:
        """Admit less.

        Two rounds must show an overload: reports that a stall delayed look like one. What was
        admitted before a cut is still being reported: no further cut is made once it gets better.
        """
        load = self.fleet_load
        overload = (
            load.error_rate > OVERLOAD_ERRORS * HIGH_ERROR_RATE
            or load.lateness > OVERLOAD_LATENESS * HIGH_LATENESS
        )
        confirmed = overload and self.overload_reported
        if confirmed or not self.cutting:
            self.safe = SAFE_PART * (self.safe if self.cutting else self.admitted)
        severity = load.lateness + load.error_rate
        worse = severity >= IMPROVED * self.severity
        by_lateness = HIGH_LATENESS / max(HIGH_LATENESS, load.lateness)
        factor = max(WORST_CUT, min(LEAST_CUT, by_lateness)) if worse else 1.0
        if confirmed:
            self.admitted = LEAST_ADMITTED
            self.next_at += OVERLOAD_PAUSE
        else:
            self.admitted = max(LEAST_ADMITTED, self.admitted * factor)
        self.cutting = True
        self.overload_reported = overload
        self.severity = severity

    def _regain(self) -> None:
        """Admit more: at once what was surely carried, past it in steps by the free capacity."""
        free = self.full / max(LEAST_UTILIZATION, self.fleet_load.utilization) - 1
        reported = self._has_utilization() * self.admitted * free / REGAIN_ROUNDS
        step = max(REGAIN_STEP, reported)
        self.admitted = min(1.0, max(self.safe, self.admitted + step))
        self.cutting = False
        self.overload_reported = False
        self.severity = 0.0
