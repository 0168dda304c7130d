"""Assigns tables to proxies that have connected, as far as the channel has room.

The tables of all proxies at once would exceed the channel's queue. A limited number of tables is
sent with each batch, so that urgent events are processed in between. Shortly after the start of
this controller, a proxy keeps the table of its previous controller until this controller has
received a few rounds of reports.
"""

from ..interface import AssignTable, SetTimer
from .channel_budget import ChannelBudget
from .context import COVERAGE, PlannerContext
from .endpoint_pools import EndpointPools
from .proxy_state import ProxyState
from .report_round import ReportRound
from .restorations import Restorations
from .table_writer import TableWriter
from .timers import CONTINUE_DELAY, CONTINUE_TIMER

TABLES_PER_BATCH = 100  # limits the duration of a batch, which delays removals
# Completed rounds of reports after the start, from which previous tables are replaced.
MIN_REPORT_ROUNDS = 3
COST_WINDOW = 8  # proxies that the mean cost is averaged over


class TableAssignment:
    """Assigns tables to the proxies that have no tables of this controller yet."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        report_round: ReportRound,
        writer: TableWriter,
        restorations: Restorations,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.pools = pools
        self.report_round = report_round
        self.writer = writer
        self.restorations = restorations
        self.budget = budget
        self.blocked_by_queue = False  # whether proxies wait because the channel has no room
        # Moving average of the entries for a proxy's tables and assignment.
        self.mean_cost = COVERAGE

    def assign_waiting_proxies(self) -> None:
        """Assign tables to waiting proxies.

        Proxies whose previous tables may have no endpoint for a group come first.
        """
        context = self.context
        self.blocked_by_queue = False
        if not context.unassigned:
            return
        waiting = [
            proxy
            for proxy in context.unassigned.values()
            if context.endpoints and not self.keeps_previous_table(proxy)
        ]
        covers_every_group = {
            zone: self._covers_every_group(zone) for zone in {proxy.zone: 0 for proxy in waiting}
        }
        for proxy in sorted(waiting, key=lambda proxy: covers_every_group[proxy.zone])[
            :TABLES_PER_BATCH
        ]:
            if not self.budget.has_room():
                self.blocked_by_queue = True
                break
            self._assign(proxy)
        if len(waiting) > TABLES_PER_BATCH and self.budget.has_room():
            context.commands.append(SetTimer(CONTINUE_TIMER, CONTINUE_DELAY))

    def _covers_every_group(self, zone: int) -> bool:
        """Return whether every group may use endpoints of the zone.

        Previous tables may lack a group that must not use the zone of its proxy.
        """
        groups = range(len(self.pools.groups))
        return all(zone in self.pools.allowed_pools(group, zone) for group in groups)

    def _assign(self, proxy: ProxyState) -> None:
        """Write a proxy's tables and route its request classes by them."""
        entries_before = self.budget.backlog.queued_entries
        self.writer.write(proxy)
        proxy.assigned = True
        del self.context.unassigned[proxy.number]
        for number, group in enumerate(self.pools.groups):
            table = proxy.first_table + number
            classes = tuple(group.request_classes)
            self.context.commands.append(AssignTable(proxy.number, table, classes))
            self.budget.spend(proxy, self._assignment_cost(proxy, number))
            self.restorations.add_entries(proxy, proxy.entries[number])
        self.mean_cost += (
            self.budget.backlog.queued_entries - entries_before - self.mean_cost
        ) / COST_WINDOW

    def _assignment_cost(self, proxy: ProxyState, group: int) -> int:
        """Return the entries for an assignment, its table and its admissions."""
        return 1 + len(proxy.entries[group]) + len(self.context.settings["req_kinds"])

    def keeps_previous_table(self, proxy: ProxyState) -> bool:
        """Return whether the proxy keeps the table of its previous controller for now."""
        few_reports = self.report_round.completed_rounds < MIN_REPORT_ROUNDS
        return self.context.now < proxy.previous_table_until and few_reports

    def tables_fit_in_time(self) -> bool:
        """Return whether all waiting proxies get their tables in time at the configured rate.

        The time ends when the proxy that connected first has waited for as long as the drain grace
        and the delivery of a message permit.
        """
        context, settings = self.context, self.context.settings
        first_connected_at = min([proxy.connected_at for proxy in context.unassigned.values()])
        waited = context.now - first_connected_at
        remaining = settings["drain_grace"] - settings["push_delay_most"] - waited
        entries = self.budget.backlog.queued_entries + len(context.unassigned) * self.mean_cost
        return bool(entries < remaining * settings["channel_rate"])
