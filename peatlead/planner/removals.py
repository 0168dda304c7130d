"""Removes unusable endpoints from all tables without delay, since requests to them fail."""

from .channel_budget import ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState
from .table_assignment import TableAssignment
from .table_changes import TableChanges
from .table_weights import is_cold_heavy
from .table_writer import TableWriter

# While the queue is above this fraction of its maximum length, removals wait for a later batch.
REMOVAL_QUEUE_FRACTION = 0.75
# Removals are delayed by this fraction of the drain grace while tables with earlier deadlines wait.
REMOVAL_DELAY_FRACTION = 1 / 3


class Removals:
    """Removes entries of endpoints that drain, are gone or are ejected."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        writer: TableWriter,
        assignment: TableAssignment,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.changes = changes
        self.writer = writer
        self.assignment = assignment
        self.budget = budget

    def remove_unusable_endpoints(self) -> None:
        """Remove the entries of unusable endpoints that are due, while the channel has room."""
        changes = self.changes
        if not changes.removals_pending:
            return
        unusable = [endpoint for endpoint in self.context.endpoints.values() if not endpoint.usable]
        cutoff = self._removal_cutoff()
        due = {endpoint.id for endpoint in unusable if endpoint.unusable_since <= cutoff}
        changes.removals_pending = len(due) < len(unusable)
        for proxy in sorted(self._subscribers(due), key=lambda proxy: proxy.first_table):
            if not self.budget.has_room(REMOVAL_QUEUE_FRACTION):
                changes.removals_pending = True  # for the next batches
                break
            self._remove_entries(proxy, due)

    def _removal_cutoff(self) -> float:
        """Return the time until which an endpoint must have become unusable to be removed now.

        While proxies that may use withdrawn endpoints wait for room in the channel, removals are
        delayed: these proxies connected before the update that caused the newest removals, so their
        deadlines are earlier.
        """
        delay = REMOVAL_DELAY_FRACTION * self.context.settings["drain_grace"]
        return float(self.context.now - self.assignment.deadlines_blocked * delay)

    def _subscribers(self, endpoints: set[int]) -> list[ProxyState]:
        """Return the connected proxies with assigned tables that hold any of the endpoints."""
        connected = self.context.connected
        numbers = self.context.subscriber_index.subscribers_of_any(sorted(endpoints))
        subscribers = [connected[number] for number in numbers if number in connected]
        return [proxy for proxy in subscribers if proxy.assigned]

    def _remove_entries(self, proxy: ProxyState, due: set[int]) -> None:
        """Remove the due endpoints from all tables of a proxy.

        The proxy's tables are written anew if a table becomes empty, or if too much of a table's
        weight is cold and the channel has room. Otherwise the cold endpoints would receive the
        requests of the removed endpoints.
        """
        for group, entries in enumerate(proxy.entries):
            removed = [endpoint for endpoint in entries if endpoint in due]
            for endpoint in removed:
                self.writer.set_entry(proxy, group, endpoint, 0.0)
                proxy.invalidate_tables()
            if not removed:
                continue
            if not entries or self._should_rewrite(entries):
                self.writer.write(proxy)
            else:
                self.writer.write_admission(proxy, group)

    def _should_rewrite(self, entries: dict[int, float]) -> bool:
        """Return whether too much of a table's weight is cold and the channel has room."""
        endpoints = self.context.endpoints
        return self.budget.has_room() and is_cold_heavy(
            [endpoints[endpoint] for endpoint in entries]
        )
