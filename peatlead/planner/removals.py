"""Removes endpoints that can't be used from every table at once: what is sent to them is lost."""

from .channel_budget import ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState
from .shuffle_sharding import ShuffleSharding
from .table_assignment import TableAssignment
from .table_changes import TableChanges
from .table_writer import TableWriter

REMOVAL_QUEUE_PART = 0.75  # of the queue: past it removals wait for the next batches
# Of the drain grace, for which removals wait while tables with earlier deadlines do.
YIELD_PART = 1 / 3


class Removals:
    """Entries of endpoints that drain, are gone or were ejected."""

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
        """Remove what is due, as far as the channel has room."""
        changes = self.changes
        if not changes.removals_pending:
            return
        unusable = [endpoint for endpoint in self.context.endpoints.values() if not endpoint.usable]
        before = self._due_before()
        due = {endpoint.id for endpoint in unusable if endpoint.unusable_since <= before}
        changes.removals_pending = len(due) < len(unusable)
        for proxy in sorted(self._holders_of(due), key=lambda proxy: proxy.first_table):
            if not self.budget.has_room(REMOVAL_QUEUE_PART):
                changes.removals_pending = True  # the rest goes with the next batches
                break
            self._remove_from(proxy, due)

    def _due_before(self) -> float:
        """Seconds; waiting proxies came before the update that made the newest removals due."""
        yielded = YIELD_PART * self.context.settings["drain_grace"]
        return float(self.context.now - self.assignment.waits_for_room * yielded)

    def _holders_of(self, endpoints: set[int]) -> list[ProxyState]:
        connected = self.context.connected
        numbers = self.context.subscriber_index.subscribers_of_any(sorted(endpoints))
        holders = [connected[number] for number in numbers if number in connected]
        return [proxy for proxy in holders if proxy.assigned]

    def _remove_from(self, proxy: ProxyState, due: set[int]) -> None:
        """Remove from all of a proxy's tables.

        A table is written anew where nothing is left, or cold endpoints would get the removed ones'
        part.
        """
        for group, entries in enumerate(proxy.entries):
            removed = [endpoint for endpoint in entries if endpoint in due]
            for endpoint in removed:
                self.writer.set_entry(proxy, group, endpoint, 0.0)
                proxy.reset_draw()
            if removed and (not entries or self._should_rewrite(entries)):
                self.writer.write(proxy)

    def _should_rewrite(self, entries: dict[int, float]) -> bool:
        endpoints = self.context.endpoints
        return self.budget.has_room() and self.sharding.is_cold_heavy(
            [endpoints[endpoint] for endpoint in entries]
        )
