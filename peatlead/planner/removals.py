"""Removes unusable endpoints from all tables without delay, since requests to them fail."""

from .channel_budget import ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState
from .shuffle_sharding import ShuffleSharding
from .table_assignment import TableAssignment
from .table_changes import TableChanges
from .table_writer import TableWriter

REMOVAL_QUEUE_FRACTION = 0.75  # of the queue; above it removals wait for the next batches
# Of the drain grace: delay of removals while tables with earlier deadlines wait.
REMOVAL_DELAY_FRACTION = 1 / 3


class Removals:
    """Removes entries of endpoints that drain, are gone or are ejected."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        sharding: ShuffleSharding,
        writer: TableWriter,
        assignment: TableAssignment,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.changes = changes
        self.sharding = sharding
        self.writer = writer
        self.assignment = assignment
        self.budget = budget

    def remove_unusable(self) -> None:
        """Remove the due entries as far as the channel has room."""
        changes = self.changes
        if not changes.removals_pending:
            return
        unusable = [endpoint for endpoint in self.context.endpoints.values() if not endpoint.usable]
        due_before = self._due_before()
        due = {endpoint.id for endpoint in unusable if endpoint.unusable_since <= due_before}
        changes.removals_pending = len(due) < len(unusable)
        for proxy in sorted(self._subscribers_of(due), key=lambda proxy: proxy.first_table):
            if not self.budget.has_room(REMOVAL_QUEUE_FRACTION):
                changes.removals_pending = True  # for the next batches
                break
            self._remove_from(proxy, due)

    def _due_before(self) -> float:
        """Return the time in seconds by which an endpoint must have become unusable to be removed.

        While proxies wait for tables, removals are delayed: these proxies connected before the
        update that caused the newest removals.
        """
        delay = REMOVAL_DELAY_FRACTION * self.context.settings["drain_grace"]
        return float(self.context.now - self.assignment.blocked_by_queue * delay)

    def _subscribers_of(self, endpoints: set[int]) -> list[ProxyState]:
        """Return the connected proxies with assigned tables that hold any of the endpoints."""
        connected = self.context.connected
        numbers = self.context.subscriber_index.subscribers_of_any(sorted(endpoints))
        subscribers = [connected[number] for number in numbers if number in connected]
        return [proxy for proxy in subscribers if proxy.assigned]

    def _remove_from(self, proxy: ProxyState, due: set[int]) -> None:
        """Remove the endpoints from all tables of a proxy.

        The tables are rewritten if one of them is empty or mostly cold, because cold endpoints
        would otherwise receive the share of the removed ones.
        """
        for group, entries in enumerate(proxy.entries):
            removed = [endpoint for endpoint in entries if endpoint in due]
            for endpoint in removed:
                self.writer.set_entry(proxy, group, endpoint, 0.0)
                proxy.invalidate_tables()
            if removed and (not entries or self._should_rewrite(entries)):
                self.writer.write(proxy)

    def _should_rewrite(self, entries: dict[int, float]) -> bool:
        endpoints = self.context.endpoints
        return self.budget.has_room() and self.sharding.is_cold_heavy(
            [endpoints[endpoint] for endpoint in entries]
        )
