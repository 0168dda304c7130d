"""Assigns tables to proxies that have connected, as far as the channel has room.

The tables of all proxies at once would exceed the channel's queue. A limited number of tables is
sent with each batch, so that urgent events are processed in between. Shortly after the start of
this controller, a proxy keeps the table of its previous controller until this controller has
received a few rounds of reports.
"""

from math import inf

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
        # Whether proxies wait for room in the channel that may use withdrawn endpoints meanwhile.
        self.deadlines_blocked = False
        # Moving average of the entries for a proxy's tables and assignment.
        self.mean_cost = COVERAGE

    def assign_waiting_proxies(self) -> None:
        """Assign tables to waiting proxies.

        Proxies whose previous tables may have no usable endpoint for a group come first, then those
        that may use withdrawn endpoints, by the time since which they may.
        """
        context = self.context
        self.deadlines_blocked = False
        if not context.unassigned:
            return
        waiting = [
            proxy
            for proxy in context.unassigned.values()
            if context.endpoints and not self.keeps_previous_table(proxy)
        ]
        for proxy in self._by_urgency(waiting)[:TABLES_PER_BATCH]:
            if not self.budget.has_room_for_table(proxy.may_have_no_endpoint):
                self.deadlines_blocked = any(
                    proxy.unnotified_since is not None for proxy in context.unassigned.values()
                )
                break
            self._assign(proxy)
        if len(waiting) > TABLES_PER_BATCH and self.budget.has_room():
            context.commands.append(SetTimer(CONTINUE_TIMER, CONTINUE_DELAY))

    def _by_urgency(self, waiting: list[ProxyState]) -> list[ProxyState]:
        """Return the waiting proxies in the order in which they get tables."""
        covers_every_group = {
            zone: self._covers_every_group(zone) for zone in {proxy.zone: 0 for proxy in waiting}
        }

        def urgency(proxy: ProxyState) -> tuple[bool, float]:
            since = proxy.unnotified_since
            has_endpoints = covers_every_group[proxy.zone] and not proxy.may_have_no_endpoint
            return has_endpoints, inf if since is None else since

        return sorted(waiting, key=urgency)

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
        proxy.returned_endpoints = set()  # restored with the entries
        del self.context.unassigned[proxy.number]
        for number, group in enumerate(self.pools.groups):
            table = proxy.first_table + number
            classes = tuple(group.request_classes)
            self.context.commands.append(AssignTable(proxy.number, table, classes))
            self.budget.spend(proxy, self._assignment_cost(len(proxy.entries[number])))
            self.restorations.add_entries(proxy, proxy.entries[number])
        self.mean_cost += (
            self.budget.backlog.queued_entries - entries_before - self.mean_cost
        ) / COST_WINDOW

    def _assignment_cost(self, entries: int) -> int:
        """Return the cost of an assignment, of a table of some entries and of its admissions."""
        return 1 + entries + len(self.context.settings["req_kinds"])

    def expected_cost(self, proxy: ProxyState) -> float:
        """Return what the message with a waiting proxy's tables will cost, in entries."""
        shard_sizes = self.writer.sharding.shard_sizes
        tables = [
            self._assignment_cost(sum(shard_sizes(group, proxy.zone).values()))
            for group in range(len(self.pools.groups))
        ]
        return self.budget.message_cost(sum(tables))

    def keeps_previous_table(self, proxy: ProxyState) -> bool:
        """Return whether the proxy keeps the table of its previous controller for now.

        A table that names mostly withdrawn endpoints is replaced at once.
        """
        few_reports = self.report_round.completed_rounds < MIN_REPORT_ROUNDS
        in_time = self.context.now < proxy.previous_table_until
        return few_reports and in_time and not proxy.needs_table

    def tables_fit_in_time(self) -> bool:
        """Return whether all waiting proxies get their tables in time at the configured rate.

        The time ends when the first proxy has been able to use a withdrawn endpoint, without a
        notification, for as long as the drain grace and the delivery of a message permit.
        """
        context, settings = self.context, self.context.settings
        unnotified_since = [proxy.unnotified_since for proxy in context.unassigned.values()]
        first_since = min([since for since in unnotified_since if since is not None])
        waited = context.now - first_since
        remaining = settings["drain_grace"] - settings["push_delay_most"] - waited
        entries = self.budget.backlog.queued_entries + len(context.unassigned) * self.mean_cost
        return bool(entries < remaining * settings["channel_rate"])
