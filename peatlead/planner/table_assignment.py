"""Assigns tables to proxies that have connected, as far as the channel has room.

Sending the tables of all proxies at once would exceed the channel's queue. A limited number is sent
with each batch, so that urgent events are processed in between. A proxy that has a table of a
previous controller keeps it for a while after the start, until this controller has received a few
rounds of reports.
"""

from ..interface import AssignTable, SetTimer
from .channel_budget import ChannelBudget
from .context import COVERAGE, PlannerContext
from .endpoint_pools import EndpointPools
from .proxy_state import ProxyState
from .report_round import ReportRound
from .table_writer import TableWriter
from .timers import CONTINUE_DELAY, CONTINUE_TIMER

TABLES_PER_BATCH = 100  # limits the duration of a batch, so that removals are not delayed
# Rounds of reports after the start until previous tables are replaced.
MIN_REPORT_ROUNDS = 3
COST_WINDOW = 8  # tables that the mean cost is averaged over


class TableAssignment:
    """The queue of proxies without tables of this controller."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        report_round: ReportRound,
        writer: TableWriter,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.pools = pools
        self.report_round = report_round
        self.writer = writer
        self.budget = budget
        self.blocked_by_queue = False  # whether proxies wait because the channel has no room
        self.mean_cost = COVERAGE  # entries per proxy, including its assignment

    def assign_waiting(self) -> None:
        """Assign tables to waiting proxies.

        Proxies whose previous tables may lack a whole group are assigned first.
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
        """Return whether every group may use the zone, which previous tables were drawn from."""
        groups = range(len(self.pools.groups))
        return all(zone in self.pools.open_endpoints(group, zone) for group in groups)

    def _assign(self, proxy: ProxyState) -> None:
        """Write a proxy's tables and route its request classes by them."""
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
        """Return the entries for an assignment, its table, admissions and restored endpoints."""
        entries, endpoints = proxy.entries[group], self.context.endpoints
        restored = sum([endpoints[endpoint].ever_withdrawn for endpoint in entries])
        return 1 + len(entries) + len(self.context.settings["req_kinds"]) + restored

    def keeps_previous_table(self, proxy: ProxyState) -> bool:
        """Return whether the proxy keeps its previous table for now."""
        early = self.report_round.completed_rounds < MIN_REPORT_ROUNDS
        return self.context.now < proxy.previous_table_until and early

    def tables_fit_in_time(self) -> bool:
        """Return whether all waiting proxies get their tables in time at the configured rate.

        The time ends when the drain grace of the proxy that connected first would be exceeded.
        """
        context, settings = self.context, self.context.settings
        first_connected_at = min([proxy.connected_at for proxy in context.unassigned.values()])
        waited = context.now - first_connected_at
        remaining = settings["drain_grace"] - settings["push_delay_most"] - waited
        entries = self.budget.backlog.entries + len(context.unassigned) * self.mean_cost
        return bool(entries < remaining * settings["channel_rate"])
