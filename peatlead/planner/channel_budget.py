"""How much may be written now: the channel's queue and each proxy's message count.

The channel to the proxies has a pace, a longest queue, and a most of messages to each proxy within
a span. What can't be put off (removals, withdrawals) must always find room, so everything else
stops at a lower mark.
"""

from .channel_backlog import ChannelBacklog
from .context import PlannerContext
from .proxy_state import ProxyState

SLOWEST_CHANNEL = 16  # times slower than its configured pace that a channel may be
UPDATE_QUEUE_PART = 0.25  # of the queue, for updates that can be put off
TABLE_QUEUE_PART = 0.4  # of the queue, for whole tables
UPDATE_MESSAGES_PART = 0.5  # of a proxy's messages, for updates that can be put off
FEW_WITHDRAWALS_PART = 0.02  # of the queue: so many withdrawals for waiting proxies are always sent
WITHDRAWALS_QUEUE_PART = 0.5  # of the queue, past which no more of them are


class ChannelBudget:
    """Counts what is written in the batch and what may still wait from earlier ones."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        settings = context.settings
        rate = settings.get("channel_rate", 1.0)
        longest = SLOWEST_CHANNEL * settings.get("queue_most", 0.0) / rate  # seconds
        self.backlog = ChannelBacklog(settings.get("message_head", 0.0), longest)

    def may_update(self, proxy: ProxyState, part: float = UPDATE_MESSAGES_PART) -> bool:
        """Whether an update of the proxy's tables that can be put off may go out now.

        `part` is that of the proxy's messages within the span.
        """
        settings, sent = self.context.settings, proxy.message_times
        limit = settings["messages_most"]
        while sent and self.context.now - sent[0] > settings["messages_span"]:
            sent.popleft()
        return self.has_room(UPDATE_QUEUE_PART) and (not limit or len(sent) < limit * part)

    def has_room(self, part: float = TABLE_QUEUE_PART) -> bool:
        """Whether less than a part of the longest queue waits."""
        return bool(self.backlog.entries < part * self.context.settings["queue_most"])

    def has_room_for_withdrawals(self, total: float, entries: float) -> bool:
        """Whether `entries` more may go to proxies that wait for their tables.

        A few always may; so many that they would fill the queue would only hold up the tables that
        those proxies wait for. `total` counts those of this batch, with the next ones.
        """
        limit = self.context.settings["queue_most"]
        return bool(
            total < FEW_WITHDRAWALS_PART * limit
            or self.backlog.entries + entries < WITHDRAWALS_QUEUE_PART * limit
        )

    def spend(self, proxy: ProxyState, entries: float) -> None:
        """Count entries for a proxy.

        One batch makes one message a proxy, so its overhead counts once.
        """
        sent, now = proxy.message_times, self.context.now
        new_message = not sent or sent[-1] < now
        if new_message:
            sent.append(now)
        self.backlog.add(proxy.number, entries, new_message)
