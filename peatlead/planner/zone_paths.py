"""Paths between zones that are slow in themselves.

A path over which even the fast endpoints of a zone answer far later than those at home is bad: its
endpoints aren't to blame, and tables leave that zone for a while, for longer each time that the
path turns out bad again.
"""

from typing import NamedTuple

from .context import PlannerContext
from .endpoint_state import NEVER
from .load_statistics import LoadStatistics, Path
from .request_demand import RequestDemand
from .statistics import median
from .table_changes import TableChanges

FAR_LATENCY = 0.3  # of the mean response target, by which a bad path's latency exceeds that at home
FIRST_PATH_WAIT = 10.0  # seconds for which a bad path is left, doubled each time
LONGEST_PATH_WAIT = 60.0  # seconds
REPEATED_PATH_SPAN = 30  # seconds after its return, in which a path that is bad counts as bad again
LEAST_PATH_SUCCESSES = 0.5  # faded, of an endpoint whose latency counts
FAST_QUANTILE = 4  # the fastest 1/4 of a zone's endpoints speak for the path
FAILING_CHECKS = 0.5  # of a zone's checks, that keep the path from this controller's zone closed


class PathState(NamedTuple):
    """A path that was found bad."""

    bad_until: float  # seconds
    wait: float  # seconds, as it was left the last time


UNKNOWN_PATH = PathState(NEVER, 0.0)


class ZonePaths:
    """The paths between zones that are left at present."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        demand: RequestDemand,
        statistics: LoadStatistics,
    ) -> None:
        self.context = context
        self.changes = changes
        self.demand = demand
        self.statistics = statistics
        self.states: dict[Path, PathState] = {}
        self.bad: set[Path] = set()

    def bad_until(self, path: Path) -> float:
        """When the path is tried again, or was."""
        return self.states.get(path, UNKNOWN_PATH).bad_until

    def end_round(self) -> None:
        """Judge all paths by the latencies of the round."""
        for zone in {proxy.zone: 0 for proxy in self.context.joined}:
            self._judge_paths_from(zone)
        self._extend_while_checks_fail()
        now, before = self.context.now, self.bad
        self.bad = {path for path, state in self.states.items() if now < state.bad_until}
        if self.bad != before:
            self.changes.mark_all()

    def _judge_paths_from(self, zone: int) -> None:
        latencies = self._latencies_by_zone(zone)
        at_home = median(latencies.get(zone, ()))
        if not at_home:
            return
        for other, measured in latencies.items():
            path, now = (zone, other), self.context.now
            state = self.states.get(path, UNKNOWN_PATH)
            if (
                other != zone
                and now >= state.bad_until
                and len(measured) > 1
                and sorted(measured)[len(measured) // FAST_QUANTILE] - at_home
                > FAR_LATENCY * self.demand.mean_target()
            ):
                again = now - state.bad_until < REPEATED_PATH_SPAN
                wait = min(LONGEST_PATH_WAIT, 2 * state.wait) if again else FIRST_PATH_WAIT
                self.states[path] = PathState(now + wait, wait)
                self.context.log(f"way from zone {zone} to {other} is bad, {wait} s")

    def _latencies_by_zone(self, zone: int) -> dict[int, list[float]]:
        """By zone of the endpoints, their mean latencies at the proxies of one zone."""
        latencies: dict[int, list[float]] = {}
        oldest = 2 * self.statistics.cycle
        for endpoint in self.context.endpoints.values():
            counts = endpoint.stats.get(zone)
            if (
                counts is not None
                and endpoint.usable
                and self.context.now - counts.updated_at < oldest
                and counts.attempts - counts.errors > LEAST_PATH_SUCCESSES
            ):
                mean = counts.latency / (counts.attempts - counts.errors)
                latencies.setdefault(endpoint.zone, []).append(mean)
        return latencies

    def _extend_while_checks_fail(self) -> None:
        """While health checks from the own zone fail, no request need try a bad path again."""
        own_zone = self.context.settings["zone"]
        for path in sorted(self.bad):
            if path[0] != own_zone:
                continue
            rates = [
                endpoint.check_failure_rate
                for endpoint in self.context.endpoints.values()
                if endpoint.zone == path[1]
            ]
            if median(rates) > FAILING_CHECKS:
                state = self.states[path]
                until = max(state.bad_until, self.context.now + 2 * self.statistics.cycle)
                self.states[path] = PathState(until, state.wait)
