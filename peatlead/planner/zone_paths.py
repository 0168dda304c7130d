"""Detects slow network paths between zones.

A path is bad if even the fast endpoints of a zone answer much later than the endpoints in the zone
of the proxies, which indicates a slow network rather than slow endpoints. Tables of these proxies
avoid the zone for a while, and for longer each time that the path turns out to be bad again.
"""

from typing import NamedTuple

from .context import PlannerContext
from .endpoint_state import DISTANT_PAST
from .load_statistics import LoadStatistics, Path
from .request_demand import RequestDemand
from .statistics import median
from .table_changes import TableChanges

# Fraction of the mean response target. A path is bad if its latency exceeds the latency within the
# zone of the proxies by more than this fraction.
MAX_EXTRA_LATENCY = 0.3
INITIAL_AVOIDANCE_DURATION = 10.0  # seconds, doubled each time that the path is bad again
MAX_AVOIDANCE_DURATION = 60.0  # seconds
# Seconds after the end of an avoidance. If the path is bad again within this time, the next
# avoidance takes twice as long.
REPEATED_BAD_PATH_WINDOW = 30
MIN_PATH_SUCCESSES = 0.5  # decayed; endpoints with fewer successful attempts are not considered
FASTEST_FRACTION_DIVISOR = 4  # the latency of a path is that of the fastest quarter of endpoints
# Median failure rate of a zone's health checks above which the avoidance is extended.
MAX_CHECK_FAILURE_RATE = 0.5


class PathState(NamedTuple):
    """The avoidance of a path that was found to be bad."""

    bad_until: float  # seconds
    duration: float  # seconds, of the last avoidance


UNKNOWN_PATH = PathState(DISTANT_PAST, 0.0)


class ZonePaths:
    """Detects bad paths between zones and decides for how long tables avoid them."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        demand: RequestDemand,
        load_statistics: LoadStatistics,
    ) -> None:
        self.context = context
        self.changes = changes
        self.demand = demand
        self.load_statistics = load_statistics
        self.path_states: dict[Path, PathState] = {}
        self.bad_paths: set[Path] = set()

    def bad_until(self, path: Path) -> float:
        """Return the time in seconds until which the path is or was avoided."""
        return self.path_states.get(path, UNKNOWN_PATH).bad_until

    def end_round(self) -> None:
        """Update the bad paths from the latencies and health checks of the round."""
        for zone in {proxy.zone: 0 for proxy in self.context.connected_proxies}:
            self._evaluate_paths(zone)
        self._extend_while_checks_fail()
        now, previous_bad_paths = self.context.now, self.bad_paths
        self.bad_paths = {path for path, state in self.path_states.items() if now < state.bad_until}
        if self.bad_paths != previous_bad_paths:
            self.changes.mark_all_changed()

    def _evaluate_paths(self, zone: int) -> None:
        """Find the bad paths of the proxies in one zone, and start their avoidance."""
        latencies = self._latencies_by_zone(zone)
        local_latency = median(latencies.get(zone, ()))
        if not local_latency:
            return
        for other_zone, endpoint_latencies in latencies.items():
            path, now = (zone, other_zone), self.context.now
            state = self.path_states.get(path, UNKNOWN_PATH)
            if (
                other_zone != zone
                and now >= state.bad_until
                and len(endpoint_latencies) > 1
                and sorted(endpoint_latencies)[len(endpoint_latencies) // FASTEST_FRACTION_DIVISOR]
                - local_latency
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
                    f"path from zone {zone} to zone {other_zone} is slow, avoided for {duration} s"
                )

    def _latencies_by_zone(self, zone: int) -> dict[int, list[float]]:
        """Return the mean latencies of usable endpoints for the proxies of one zone.

        The result is grouped by the zone of the endpoints. Outdated counts are ignored.
        """
        latencies: dict[int, list[float]] = {}
        max_age = 2 * self.load_statistics.reporting_cycle
        for endpoint in self.context.endpoints.values():
            counts = endpoint.counts_by_zone.get(zone)
            if (
                counts is not None
                and endpoint.usable
                and self.context.now - counts.updated_at < max_age
                and counts.attempts - counts.errors > MIN_PATH_SUCCESSES
            ):
                mean_latency = counts.latency_sum / (counts.attempts - counts.errors)
                latencies.setdefault(endpoint.zone, []).append(mean_latency)
        return latencies

    def _extend_while_checks_fail(self) -> None:
        """Extend the avoidance of bad paths from the controller's zone while health checks fail.

        The controller's own health checks use these paths. Thus no request has to be sent to find
        out that a path is still bad.
        """
        own_zone = self.context.settings["zone"]
        for path in sorted(self.bad_paths):
            if path[0] != own_zone:
                continue
            failure_rates = [
                endpoint.check_failure_rate
                for endpoint in self.context.endpoints.values()
                if endpoint.zone == path[1]
            ]
            if median(failure_rates) > MAX_CHECK_FAILURE_RATE:
                state = self.path_states[path]
                bad_until = max(
                    state.bad_until, self.context.now + 2 * self.load_statistics.reporting_cycle
                )
                self.path_states[path] = PathState(bad_until, state.duration)
