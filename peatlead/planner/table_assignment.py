"""Assigns proxies that have connected to their tables, as far as the channel has room.

Whole tables of all proxies at once would pass what may wait in the channel: a number of them goes
out with each batch, and urgent events come between. A proxy that has a table of an earlier
controller keeps it for a while after a start, until this controller has received a few rounds
of reports.
"""

from ..interface import AssignTable, SetTimer
from .channel_budget import ChannelBudget
from .context import COVERAGE, PlannerContext
from .endpoint_pools import EndpointPools
from .proxy_state import ProxyState
from .report_round import ReportRound
from .table_writer import TableWriter
from .timers import CONTINUE_DELAY, CONTINUE_TIMER

TABLES_PER_BATCH = 100  # or removals would wait
ROUNDS_BEFORE_CHANGES = 3  # rounds of reports after a start, until previous tables are replaced
COST_WINDOW = 8  # tables that the mean cost is averaged over


class TableAssignment:
    """The queue of proxies without tables of this controller."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        reports: ReportRound,
        writer: TableWriter,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.pools = pools
        self.reports = reports
        self.writer = writer
        self.budget = budget
        self.waits_for_room = False  # whether proxies wait because the channel has no room
        self.mean_cost = COVERAGE  # entries that the tables of a proxy take

    def assign_waiting(self) -> None:
        """Assign those that wait, first those whose previous tables may lack a class altogether."""
        context = self.context
        self.waits_for_room = False
        if not context.unassigned:
            return
        waiting = [
            proxy
            for proxy in context.unassigned.values()
            if context.endpoints and not self.keeps_previous_table(proxy)
        ]
        covered = {
            zone: self._covers_every_group(zone) for zone in {proxy.zone: 0 for proxy in waiting}
        }
        for proxy in sorted(waiting, key=lambda proxy: covered[proxy.zone])[:TABLES_PER_BATCH]:
            if not self.budget.has_room():
                self.waits_for_room = True
                break
            self._assign(proxy)
        if len(waiting) > TABLES_PER_BATCH and self.budget.has_room():
            context.commands.append(SetTimer(CONTINUE_TIMER, CONTINUE_DELAY))

    def _covers_every_group(self, zone: int) -> bool:
        """Whether every group may stay in the zone, where previous tables were drawn."""
        groups = range(len(self.pools.groups))
        return all(zone in self.pools.open_endpoints(group, zone) for group in groups)

    def _assign(self, proxy: ProxyState) -> None:
        before = self.budget.backlog.entries
        self.writer.write(proxy)
        proxy.assigned = True
        del self.context.unassigned[proxy.number]
        for number, group in enumerate(self.pools.groups):
            table = proxy.first_table + number
            classes = tuple(group.request_classes)
            self.context.commands.append(AssignTable(proxy.number, table, classes))
            self.budget.spend(proxy, self._assignment_cost(proxy, number))
        self.mean_cost += (self.budget.backlog.entries - before - self.mean_cost) / COST_WINDOW

    def _assignment_cost(self, proxy: ProxyState, group: int) -> int:
        """Entries: the assignment, the table, admissions, and endpoints to be restored."""
        entries, endpoints = proxy.entries[group], self.context.endpoints
        restored = sum([endpoints[endpoint].ever_withdrawn for endpoint in entries])
        return 1 + len(entries) + len(self.context.settings["req_kinds"]) + restored

    def keeps_previous_table(self, proxy: ProxyState) -> bool:
        """Whether the previous table of the proxy stands for now."""
        early = self.reports.count < ROUNDS_BEFORE_CHANGES
        return self.context.now < proxy.previous_table_until and early

    def tables_fit(self) -> bool:
        """Whether, at the configured pace, all that wait have their tables in time."""
        context, settings = self.context, self.context.settings
        first = min([proxy.connected_at for proxy in context.unassigned.values()])
        waited = context.now - first
        left = settings["drain_grace"] - settings["push_delay_most"] - waited
        entries = self.budget.backlog.entries + len(context.unassigned) * self.mean_cost
        return bool(entries < left * settings["channel_rate"])
