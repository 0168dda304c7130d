"""Detects slow network paths between zones.

A path is bad if even the fast endpoints of a zone answer much later than the endpoints in the zone
of the proxies. The endpoints are not at fault. Tables avoid that zone for a while, and for longer
each time that the path turns out to be bad again.
"""

from typing import NamedTuple

from .context import PlannerContext
from .endpoint_state import DISTANT_PAST
from .load_statistics import LoadStatistics, Path
from .request_demand import RequestDemand
from .statistics import median
from .table_changes import TableChanges

# Of the mean response target: latency above that of the local zone that makes a path bad.
MAX_EXTRA_LATENCY = 0.3
INITIAL_AVOIDANCE_DURATION = 10.0  # seconds, doubled each time that the path is bad again
MAX_AVOIDANCE_DURATION = 60.0  # seconds
# Seconds after the end of an avoidance within which the path counts as bad again.
REPEATED_BAD_PATH_WINDOW = 30
MIN_PATH_SUCCESSES = 0.5  # decayed successful attempts at an endpoint whose latency counts
FASTEST_FRACTION_DIVISOR = 4  # the fastest quarter of a zone's endpoints determines the latency
# Median failure rate of a zone's health checks above which the avoidance is extended.
MAX_CHECK_FAILURE_RATE = 0.5


class PathState(NamedTuple):
    """The avoidance of a path that was found to be bad."""

    bad_until: float  # seconds
    duration: float  # seconds, of the last avoidance


UNKNOWN_PATH = PathState(DISTANT_PAST, 0.0)


class ZonePaths:
    """The bad paths between zones."""

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
        self.path_states: dict[Path, PathState] = {}
        self.bad_paths: set[Path] = set()

    def bad_until(self, path: Path) -> float:
        """Return the time at which the path is or was used again."""
        return self.path_states.get(path, UNKNOWN_PATH).bad_until

    def end_round(self) -> None:
        """Evaluate all paths by the latencies of the round."""
        for zone in {proxy.zone: 0 for proxy in self.context.connected_proxies}:
            self._evaluate_paths_from(zone)
        self._extend_while_checks_fail()
        now, before = self.context.now, self.bad_paths
        self.bad_paths = {path for path, state in self.path_states.items() if now < state.bad_until}
        if self.bad_paths != before:
            self.changes.mark_all()

    def _evaluate_paths_from(self, zone: int) -> None:
        latencies = self._latencies_by_zone(zone)
        local_latency = median(latencies.get(zone, ()))
        if not local_latency:
            return
        for other, measured in latencies.items():
            path, now = (zone, other), self.context.now
            state = self.path_states.get(path, UNKNOWN_PATH)
            if (
                other != zone
                and now >= state.bad_until
                and len(measured) > 1
                and sorted(measured)[len(measured) // FASTEST_FRACTION_DIVISOR] - local_latency
                > MAX_EXTRA_LATENCY * self.demand.mean_target()
            ):
                repeated = now - state.bad_until < REPEATED_BAD_PATH_WINDOW
                duration = (
                    min(MAX_AVOIDANCE_DURATION, 2 * state.duration)
                    if repeated
                    else INITIAL_AVOIDANCE_DURATION
                )
                self.path_states[path] = PathState(now + duration, duration)
                self.context.log(
                    f"path from zone {zone} to zone {other} is slow, avoided for {duration} s"
                )

    def _latencies_by_zone(self, zone: int) -> dict[int, list[float]]:
        """Return by zone of the endpoints their mean latencies for the proxies of one zone."""
        latencies: dict[int, list[float]] = {}
        oldest = 2 * self.statistics.cycle
        for endpoint in self.context.endpoints.values():
            counts = endpoint.stats.get(zone)
            if (
                counts is not None
                and endpoint.usable
                and self.context.now - counts.updated_at < oldest
                and counts.attempts - counts.errors > MIN_PATH_SUCCESSES
            ):
                mean = counts.latency_sum / (counts.attempts - counts.errors)
                latencies.setdefault(endpoint.zone, []).append(mean)
        return latencies

    def _extend_while_checks_fail(self) -> None:
        """Extend the avoidance of paths from the own zone while health checks over them fail.

        Thus no request has to be sent to find out that a path is still bad.
        """
        own_zone = self.context.settings["zone"]
        for path in sorted(self.bad_paths):
            if path[0] != own_zone:
                continue
            rates = [
                endpoint.check_failure_rate
                for endpoint in self.context.endpoints.values()
                if endpoint.zone == path[1]
            ]
            if median(rates) > MAX_CHECK_FAILURE_RATE:
                state = self.path_states[path]
                bad_until = max(state.bad_until, self.context.now + 2 * self.statistics.cycle)
                self.path_states[path] = PathState(bad_until, state.duration)
