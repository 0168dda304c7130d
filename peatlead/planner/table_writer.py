"""Writes the differences between the tables that a proxy holds and its newly computed tables."""

from ..interface import SetAdmission, SetEntry
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState
from .restorations import Restorations
from .shuffle_sharding import ShuffleSharding
from .table_admission import TableAdmission
from .table_changes import TableChanges


class TableWriter:
    """Writes all entries, updates the subscriber index and counts the written entries."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        sharding: ShuffleSharding,
        table_admission: TableAdmission,
        restorations: Restorations,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.changes = changes
        self.sharding = sharding
        self.table_admission = table_admission
        self.restorations = restorations
        self.budget = budget

    def write(self, proxy: ProxyState) -> None:
        """Compute all tables of a proxy, if they may have changed, and write the differences.

        Their admissions are written even if the tables are unchanged.
        """
        changes = self.changes
        changes.pending_proxies.discard(proxy.number)
        for group in range(len(proxy.entries)):
            self.write_admission(proxy, group)
        if self._is_current(proxy):
            return
        proxy.source_endpoints = {}
        proxy.seen_global_change_count = changes.global_change_count
        proxy.seen_change_count = changes.change_count
        proxy.has_endpoints_outside_shards = False
        for group, entries in enumerate(proxy.entries):
            table = self.sharding.table(proxy, group)
            for endpoint in sorted(entries.keys() | table.keys()):
                if table.get(endpoint) != entries.get(endpoint):
                    self.set_entry(proxy, group, endpoint, table.get(endpoint, 0.0))

    def _is_current(self, proxy: ProxyState) -> bool:
        """Return whether nothing has changed that the tables were computed from."""
        return (
            proxy.seen_global_change_count == self.changes.global_change_count
            and not proxy.has_endpoints_outside_shards
            and all(
                endpoint.last_change_count <= proxy.seen_change_count
                for endpoint in proxy.source_endpoints.values()
            )
        )

    def write_admission(self, proxy: ProxyState, group: int) -> None:
        """Write the admission of one table if it has changed."""
        admission = self.table_admission.admission(proxy, group)
        if admission is None or admission == proxy.admissions[group]:
            return
        proxy.admissions[group] = admission
        classes = tuple(self.table_admission.pools.groups[group].request_classes)
        self.context.commands.append(SetAdmission(proxy.first_table + group, classes, *admission))
        if proxy.assigned:
            self.budget.spend(proxy, 1)

    def set_entry(self, proxy: ProxyState, group: int, endpoint: int, weight: float) -> None:
        """Set one entry; weight 0 removes it."""
        context = self.context
        entries = proxy.entries[group]
        previous_weight = entries.pop(endpoint, None)
        if previous_weight:
            context.subscriber_index.remove(endpoint, proxy.number)
        if weight:
            entries[endpoint] = weight
            context.subscriber_index.add(endpoint, proxy.number)
        context.commands.append(SetEntry(proxy.first_table + group, endpoint, weight))
        if proxy.assigned:
            self.budget.spend(proxy, 1)
            if weight and not previous_weight:
                self.restorations.add_entries(proxy, (endpoint,))
