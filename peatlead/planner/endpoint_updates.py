"""Takes in the endpoint list: who starts, drains, or is gone.

A list may be wrong. Where the settings say so, an endpoint that the list lacks stays as long as it
answers, and a list that leaves nobody is not believed: an endpoint that has really gone is found by
health checks.
"""

from ..interface import Endpoint, EndpointUpdate, ListScope, WatchEndpoints
from .context import LIST_ON_REQUEST, PlannerContext
from .endpoint_lifecycle import EndpointLifecycle
from .endpoint_pools import EndpointPools
from .endpoint_state import GONE, READY, EndpointState
from .health_checks import HealthChecks
from .load_statistics import LoadStatistics
from .table_changes import TableChanges
from .withdrawals import Withdrawals

WATCH_RETRY = (0.5, 1.5)  # seconds until a list that failed is watched again
STAYING_CYCLES = 2  # cycles of reports without a success, after which an endpoint doesn't answer
NOT_PLANNED = float("inf")


class EndpointUpdates:
    """Keeps the context's endpoints as the list has them."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        pools: EndpointPools,
        lifecycle: EndpointLifecycle,
        health_checks: HealthChecks,
        statistics: LoadStatistics,
        withdrawals: Withdrawals,
    ) -> None:
        self.context = context
        self.changes = changes
        self.pools = pools
        self.lifecycle = lifecycle
        self.health_checks = health_checks
        self.statistics = statistics
        self.withdrawals = withdrawals
        self.listed = False  # whether a list has come since the start
        on_request = context.settings.get("roster_mode") == LIST_ON_REQUEST
        self.watch_at = 0.0 if on_request else NOT_PLANNED  # seconds, when to ask for the list

    def watch_if_due(self) -> None:
        """Ask for the list, at a start and after it failed."""
        if self.context.now >= self.watch_at:
            self.watch_at = NOT_PLANNED
            self.context.commands.append(WatchEndpoints(True))

    def on_update(self, event: EndpointUpdate) -> None:
        """Take a list or its changes in."""
        context = self.context
        if event.scope == ListScope.UNAVAILABLE:
            self.watch_at = context.now + context.rng.uniform(*WATCH_RETRY)
            return
        for endpoint in self._believed_gone(event):
            endpoint.phase = GONE
        for listed in event.endpoints:
            self.take(listed)
        self.listed = True
        self.changes.removals_pending = True
        self.health_checks.update_interval()
        self.pools.reset()
        self._update_withdrawals()
        self.lifecycle.forget_gone()
        self.changes.mark_all()

    def _believed_gone(self, event: EndpointUpdate) -> list[EndpointState]:
        """Endpoints that a whole list lacks, unless it leaves nobody where it may be wrong."""
        if event.scope == ListScope.CHANGES:
            return []
        listed = {endpoint.id for endpoint in event.endpoints}
        missing = [
            endpoint for endpoint in self.context.endpoints.values() if endpoint.id not in listed
        ]
        gone = [endpoint for endpoint in missing if not self._still_answers(endpoint)]
        leaves_some = any(endpoint.phase == READY for endpoint in event.endpoints) or any(
            endpoint.phase == READY for endpoint in missing if endpoint not in gone
        )
        if leaves_some or not self.context.settings.get("gone_is_advice"):
            return gone
        return []

    def _still_answers(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint that the list lacks stays.

        Silence counts up to the latest success at any endpoint: a controller that was stalled
        itself has received no reports.
        """
        silence = min(self.context.now, self.statistics.last_success_at) - endpoint.last_success_at
        cycle = self.statistics.cycle + self.context.settings["sums_every"]
        return bool(
            self.context.settings.get("gone_is_advice")
            and endpoint.phase == READY
            and not endpoint.failed_checks
            and silence < STAYING_CYCLES * cycle
        )

    def take(self, listed: Endpoint) -> None:
        """Take one endpoint in as the list has it."""
        endpoint = self._find_or_add(listed)
        if listed.phase == GONE and self._still_answers(endpoint):
            return
        starts = listed.phase == READY and (
            endpoint.phase != READY or listed.started_at != endpoint.started_at
        )
        endpoint.phase = listed.phase
        endpoint.weight = listed.weight
        endpoint.started_at = listed.started_at
        if starts:
            self.lifecycle.start(endpoint, listed.started_at, ramp_warm=self.listed)

    def _find_or_add(self, listed: Endpoint) -> EndpointState:
        """One that appears once there has been a list must be confirmed by a health check."""
        endpoint = self.context.endpoints.get(listed.id)
        if endpoint is None:
            confirmed = not (self.listed and self.context.settings.get("probing"))
            endpoint = EndpointState(listed, self.context.now, confirmed)
            self.context.endpoints[listed.id] = endpoint
        return endpoint

    def _update_withdrawals(self) -> None:
        changed = [
            endpoint
            for endpoint in self.context.endpoints.values()
            if (endpoint.phase != READY) != endpoint.withdrawn
        ]
        for endpoint in changed:
            self.withdrawals.set_withdrawn(endpoint, not endpoint.withdrawn)
