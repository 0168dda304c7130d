"""Applies updates of the endpoint list: endpoints that start, drain or are gone.

A list may be wrong. With the setting `gone_is_advice`, an endpoint that is missing from the list is
kept while it answers, and a list that would leave no ready endpoint removes none. Health checks
detect endpoints that are really gone.
"""

from ..interface import Endpoint, EndpointUpdate, ListScope, WatchEndpoints
from .context import LIST_ON_REQUEST, PlannerContext
from .endpoint_lifecycle import EndpointLifecycle
from .endpoint_pools import EndpointPools
from .endpoint_state import GONE, READY, EndpointState
from .health_checks import HealthChecks
from .input_bounds import usable_weight
from .load_statistics import LoadStatistics
from .table_changes import TableChanges
from .withdrawals import Withdrawals

WATCH_RETRY_DELAY = (0.5, 1.5)  # seconds until the list is requested again after a failure
# Reporting cycles without a successful attempt, after which an endpoint counts as not answering.
MAX_SILENT_CYCLES = 2
NOT_SCHEDULED = float("inf")  # seconds, later than any time


class EndpointUpdates:
    """Keeps the endpoints of the context in line with the endpoint list."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        pools: EndpointPools,
        lifecycle: EndpointLifecycle,
        health_checks: HealthChecks,
        load_statistics: LoadStatistics,
        withdrawals: Withdrawals,
    ) -> None:
        self.context = context
        self.changes = changes
        self.pools = pools
        self.lifecycle = lifecycle
        self.health_checks = health_checks
        self.load_statistics = load_statistics
        self.withdrawals = withdrawals
        self.has_list = False  # whether a list has arrived since the start
        on_request = context.settings.get("roster_mode") == LIST_ON_REQUEST
        self.watch_at = 0.0 if on_request else NOT_SCHEDULED  # seconds, when the list is requested

    def watch_if_due(self) -> None:
        """Request the list if this is due: after the start and after a failure of the source."""
        if self.context.now >= self.watch_at:
            self.watch_at = NOT_SCHEDULED
            self.context.commands.append(WatchEndpoints(True))

    def on_update(self, event: EndpointUpdate) -> None:
        """Apply a complete list, or changes to the list."""
        context = self.context
        if event.scope == ListScope.UNAVAILABLE:
            self.watch_at = context.now + context.rng.uniform(*WATCH_RETRY_DELAY)
            return
        for endpoint in self._endpoints_to_remove(event):
            endpoint.phase = GONE
        for listed in event.endpoints:
            self.apply_entry(listed)
        self.has_list = True
        self.changes.removals_pending = True
        self.health_checks.update_interval()
        self.pools.reset()
        self._update_withdrawals()
        self.lifecycle.forget_gone()
        self.changes.mark_all_changed()

    def _endpoints_to_remove(self, event: EndpointUpdate) -> list[EndpointState]:
        """Return the known endpoints that are missing from a complete list and count as gone."""
        if event.scope == ListScope.CHANGES:
            return []
        listed = {endpoint.id for endpoint in event.endpoints}
        missing = [
            endpoint for endpoint in self.context.endpoints.values() if endpoint.id not in listed
        ]
        gone = [endpoint for endpoint in missing if not self._still_answers(endpoint)]
        leaves_ready_endpoints = any(
            endpoint.phase == READY for endpoint in event.endpoints
        ) or any(endpoint.phase == READY for endpoint in missing if endpoint not in gone)
        if leaves_ready_endpoints or not self.context.settings.get("gone_is_advice"):
            return gone
        return []

    def _still_answers(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint must be kept although the list says that it is gone.

        This requires `gone_is_advice`, passing health checks and a recent successful attempt. The
        time since that attempt is measured up to the latest success at any endpoint, because a
        controller that was stalled has received no reports.
        """
        silence = (
            min(self.context.now, self.load_statistics.last_success_at) - endpoint.last_success_at
        )
        cycle = self.load_statistics.reporting_cycle + self.context.settings["sums_every"]
        return bool(
            self.context.settings.get("gone_is_advice")
            and endpoint.phase == READY
            and not endpoint.failed_checks
            and silence < MAX_SILENT_CYCLES * cycle
        )

    def apply_entry(self, listed: Endpoint) -> None:
        """Apply one entry of the list."""
        endpoint = self._find_or_add(listed)
        if listed.phase == GONE and self._still_answers(endpoint):
            return
        is_new_process = listed.phase == READY and (
            endpoint.phase != READY or listed.started_at != endpoint.started_at
        )
        endpoint.phase = listed.phase
        endpoint.weight = usable_weight(listed.weight, endpoint.weight)
        endpoint.started_at = listed.started_at
        if is_new_process:
            self.lifecycle.start(endpoint, listed.started_at, ramp_warm=self.has_list)

    def _find_or_add(self, listed: Endpoint) -> EndpointState:
        """Return the state of a listed endpoint, which is created for an unknown endpoint.

        An endpoint that is added after the first list must be confirmed by a health check.
        """
        endpoint = self.context.endpoints.get(listed.id)
        if endpoint is None:
            confirmed = not (self.has_list and self.context.settings.get("probing"))
            endpoint = EndpointState(listed, self.context.now, confirmed)
            self.context.endpoints[listed.id] = endpoint
        return endpoint

    def _update_withdrawals(self) -> None:
        """Withdraw the endpoints that are no longer ready, and restore those that are again."""
        changed = [
            endpoint
            for endpoint in self.context.endpoints.values()
            if (endpoint.phase != READY) != endpoint.withdrawn
        ]
        for endpoint in changed:
            self.withdrawals.set_withdrawn(endpoint, not endpoint.withdrawn)
