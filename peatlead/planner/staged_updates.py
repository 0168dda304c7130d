"""Publishes changed tables in stages: a mistake meets a tenth of the proxies at first.

A cold endpoint's share that must sink is as urgent as a removal, and goes to many at once.
"""

from math import ceil

from ..interface import SetTimer
from .channel_budget import UPDATE_MESSAGES_PART, ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState
from .table_assignment import TABLES_PER_BATCH
from .table_changes import TableChanges
from .table_writer import TableWriter
from .timers import CONTINUE_DELAY, CONTINUE_TIMER

STAGES = 10  # this fraction of the proxies at a time
STAGE_INTERVAL = 0.2  # seconds between two stages, on the mean
STAGE_JITTER = (0.5, 1.5)  # of the interval
URGENT_MESSAGES_PART = 0.8  # of a proxy's messages, for shares that must sink


class StagedUpdates:
    """The stages of the proxies whose tables are pending."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        writer: TableWriter,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.changes = changes
        self.writer = writer
        self.budget = budget
        self.next_at = 0.0  # seconds, when the next stage may begin

    def publish_stage(self) -> None:
        """Write the next stage's tables, if it is due."""
        context, changes = self.context, self.changes
        if changes.all_pending:
            changes.pending.update(
                [number for number, proxy in context.connected.items() if proxy.assigned]
            )
            changes.all_pending = False
        urgent = changes.reductions_pending
        if not changes.pending or (context.now < self.next_at and not urgent):
            return
        part = URGENT_MESSAGES_PART if urgent else UPDATE_MESSAGES_PART
        waiting = self._draw_order(part)
        turns = TABLES_PER_BATCH if urgent else ceil(len(context.connected) / STAGES)
        changes.reductions_pending = urgent and len(waiting) > turns
        if changes.reductions_pending:
            context.commands.append(SetTimer(CONTINUE_TIMER, CONTINUE_DELAY))
        self._write(waiting, turns, part)
        self.next_at = context.now + context.rng.uniform(*STAGE_JITTER) * STAGE_INTERVAL

    def _draw_order(self, part: float) -> list[ProxyState]:
        """The pending proxies that may be written to, in random order."""
        pending = self.changes.pending
        waiting = [
            proxy
            for proxy in self.context.joined
            if proxy.number in pending and proxy.assigned and self.budget.may_update(proxy, part)
        ]
        self.context.rng.shuffle(waiting)
        return waiting

    def _write(self, waiting: list[ProxyState], turns: int, part: float) -> None:
        """Write to so many; a table without changes takes a turn only if messages are counted."""
        commands = self.context.commands
        counts_messages = self.context.settings["messages_most"] > 0
        for proxy in waiting:
            # The tables before it may have filled the queue.
            if turns > 0 and self.budget.may_update(proxy, part):
                before = len(commands)
                self.writer.write(proxy)
                turns -= counts_messages or len(commands) > before
