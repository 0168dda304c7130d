"""Publishes changed tables in stages, so that a mistake affects a tenth of the proxies at first.

A decreased weight is as urgent as a removal and is sent to as many proxies as a batch permits.
"""

from math import ceil

from ..interface import SetTimer
from .channel_budget import (
    UPDATE_MESSAGES_FRACTION,
    URGENT_MESSAGES_FRACTION,
    ChannelBudget,
)
from .context import PlannerContext
from .endpoint_pools import EndpointPools
from .proxy_state import ProxyState
from .table_assignment import TABLES_PER_BATCH
from .table_changes import TableChanges
from .table_writer import TableWriter
from .timers import CONTINUE_DELAY, CONTINUE_TIMER

STAGES = 10  # each stage covers one part in STAGES of the proxies
STAGE_INTERVAL = 0.2  # seconds between two stages, on average
STAGE_JITTER = (0.5, 1.5)  # each interval is multiplied by a random factor from this range


class StagedUpdates:
    """Writes the changed tables of proxies in stages."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        pools: EndpointPools,
        writer: TableWriter,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.changes = changes
        self.pools = pools
        self.writer = writer
        self.budget = budget
        self.next_stage_at = 0.0  # seconds, when the next stage may start

    def publish_stage(self) -> None:
        """Write the tables of the next stage if the stage is due or a weight has decreased."""
        context, changes = self.context, self.changes
        if changes.all_pending:
            changes.pending_proxies.update(
                [number for number, proxy in context.connected.items() if proxy.assigned]
            )
            changes.all_pending = False
        urgent = changes.weight_decrease_pending
        if not changes.pending_proxies or (context.now < self.next_stage_at and not urgent):
            return
        candidates = self._shuffled_candidates(urgent)
        max_writes = TABLES_PER_BATCH if urgent else ceil(len(context.connected) / STAGES)
        changes.weight_decrease_pending = urgent and len(candidates) > max_writes
        if changes.weight_decrease_pending:
            context.commands.append(SetTimer(CONTINUE_TIMER, CONTINUE_DELAY))
        self._write(candidates, max_writes, urgent)
        self.next_stage_at = context.now + context.rng.uniform(*STAGE_JITTER) * STAGE_INTERVAL

    def _shuffled_candidates(self, urgent: bool) -> list[ProxyState]:
        """Return the proxies with pending changes that may be written to, in random order.

        Those with an empty table that can be filled come first.
        """
        pending_proxies = self.changes.pending_proxies
        candidates = [
            proxy
            for proxy in self.context.connected_proxies
            if proxy.number in pending_proxies
            and proxy.assigned
            and self._may_update(proxy, urgent)
        ]
        self.context.rng.shuffle(candidates)
        # A proxy must not be without entries for long, however often changes start a new draw.
        candidates.sort(key=lambda proxy: not self._has_table_to_fill(proxy))
        return candidates

    def _may_update(self, proxy: ProxyState, urgent: bool) -> bool:
        """Return whether a proxy may be written to now; to fill an empty table is always urgent."""
        fraction = URGENT_MESSAGES_FRACTION if urgent else UPDATE_MESSAGES_FRACTION
        return self.budget.may_update(proxy, fraction) or (
            self.budget.may_update(proxy, URGENT_MESSAGES_FRACTION)
            and self._has_table_to_fill(proxy)
        )

    def _has_table_to_fill(self, proxy: ProxyState) -> bool:
        """Return whether a table of the proxy is empty although endpoints are listed for it."""
        if all(proxy.entries):
            return False
        return any(
            not entries and self.pools.allowed_pools(group, proxy.zone)
            for group, entries in enumerate(proxy.entries)
        )

    def _write(self, candidates: list[ProxyState], max_writes: int, urgent: bool) -> None:
        """Write the tables of at most `max_writes` proxies.

        A proxy whose tables turn out to be unchanged counts only if messages are limited.
        """
        commands = self.context.commands
        messages_are_limited = self.context.settings["messages_most"] > 0
        for proxy in candidates:
            # The previous writes may have filled the queue.
            if max_writes > 0 and self._may_update(proxy, urgent):
                commands_before = len(commands)
                self.writer.write(proxy)
                max_writes -= messages_are_limited or len(commands) > commands_before
