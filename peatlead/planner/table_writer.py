"""Writes the difference between the tables that a proxy holds and its current tables."""

from ..interface import SetEntry
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState
from .shuffle_sharding import ShuffleSharding
from .table_changes import TableChanges


class TableWriter:
    """The only writer of entries: updates the subscriber index and counts written entries."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        sharding: ShuffleSharding,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.changes = changes
        self.sharding = sharding
        self.budget = budget

    def write(self, proxy: ProxyState) -> None:
        """Write the changes of all tables of a proxy."""
        changes = self.changes
        changes.pending.discard(proxy.number)
        if self._is_current(proxy):
            return
        proxy.source_endpoints = {}
        proxy.seen_pool_changes = changes.pool_changes
        proxy.seen_changes = changes.count
        proxy.beyond_shards = False
        for group, entries in enumerate(proxy.entries):
            table = self.sharding.table(proxy, group)
            for endpoint in sorted(entries.keys() | table.keys()):
                if table.get(endpoint) != entries.get(endpoint):
                    self.set_entry(proxy, group, endpoint, table.get(endpoint, 0.0))

    def _is_current(self, proxy: ProxyState) -> bool:
        """Return whether nothing has changed that the tables were computed from."""
        return (
            proxy.seen_pool_changes == self.changes.pool_changes
            and not proxy.beyond_shards
            and all(
                endpoint.last_change <= proxy.seen_changes
                for endpoint in proxy.source_endpoints.values()
            )
        )

    def set_entry(self, proxy: ProxyState, group: int, endpoint: int, weight: float) -> None:
        """Set one entry; weight 0 removes it."""
        context = self.context
        entries = proxy.entries[group]
        old = entries.pop(endpoint, None)
        if old:
            context.subscriber_index.remove(endpoint, proxy.number)
        if weight:
            entries[endpoint] = weight
            context.subscriber_index.add(endpoint, proxy.number)
        context.commands.append(SetEntry(proxy.first_table + group, endpoint, weight))
        if proxy.assigned:
            # An endpoint that the proxy may avoid after a withdrawal is restored with its first
            # entry.
            restored = context.endpoints[endpoint].ever_withdrawn and weight > 0 and not old
            self.budget.spend(proxy, 1 + restored)
