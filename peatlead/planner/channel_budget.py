"""Limits on what may be written now: the channel's queue and the messages to each proxy.

The channel has a rate, a maximum queue length, and a maximum number of messages to each proxy
within a time span. Removals and withdrawals cannot be postponed and must always fit. Therefore all
other writes stop at a lower queue length.
"""

from math import inf

from .channel_backlog import ChannelBacklog
from .context import PlannerContext
from .proxy_state import ProxyState
from .settings import max_safe_wait

MAX_CHANNEL_SLOWDOWN = 16  # factor by which the channel may be slower than its configured rate
UPDATE_QUEUE_FRACTION = 0.25  # of the maximum queue, for updates that can be postponed
TABLE_QUEUE_FRACTION = 0.4  # of the maximum queue, for whole tables
URGENT_TABLE_QUEUE_FRACTION = 0.6  # of the maximum queue, for tables of proxies that have none
# Of the maximum queue, for restorations that can still wait safely.
RESTORATION_QUEUE_FRACTION = 0.05
UPDATE_MESSAGES_FRACTION = 0.5  # of a proxy's message limit, for updates that can be postponed
# Of a proxy's message limit, for updates that should not wait for long.
URGENT_MESSAGES_FRACTION = 0.8
# Withdrawals up to this fraction of the maximum queue are always sent to unassigned proxies, this
# many times within the drain grace.
MIN_WITHDRAWAL_QUEUE_FRACTION = 0.02
ALLOWANCES_PER_GRACE = 4
# Above this fraction of the maximum queue, no more withdrawals are sent to unassigned proxies.
MAX_WITHDRAWAL_QUEUE_FRACTION = 0.5
MAX_ENTRIES_FRACTION = 0.75  # of the maximum queue, for entries that many proxies are sent at once


class ChannelBudget:
    """Counts the entries of the current batch and those still queued from earlier batches."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        settings = context.settings
        rate = settings.get("channel_rate", 1.0)
        expiry = MAX_CHANNEL_SLOWDOWN * settings.get("queue_most", 0.0) / rate  # seconds
        self.backlog = ChannelBacklog(settings.get("message_head", 0.0), expiry)
        # Entries that may still be sent to unassigned proxies although the queue is long.
        self.allowance = 0.0
        self.allowance_since = -inf  # seconds

    def may_update(self, proxy: ProxyState, fraction: float = UPDATE_MESSAGES_FRACTION) -> bool:
        """Return whether an update of the proxy's tables that can be postponed may be sent now.

        `fraction` is the fraction of the proxy's message limit that such updates may use.
        """
        return self.has_room_for_updates() and self._may_send_message(proxy, fraction)

    def _may_send_message(self, proxy: ProxyState, fraction: float) -> bool:
        """Return whether a proxy's messages are below a fraction of their limit."""
        settings, message_times = self.context.settings, proxy.message_times
        limit = settings["messages_most"]
        while message_times and self.context.now - message_times[0] > settings["messages_span"]:
            message_times.popleft()
        return not limit or len(message_times) < limit * fraction

    def may_write(self, proxy: ProxyState) -> bool:
        """Return whether entries that should not wait for long fit in the proxy's messages.

        They always fit if this batch sends the proxy a message anyway.
        """
        return self._has_message(proxy) or self._may_send_message(proxy, URGENT_MESSAGES_FRACTION)

    def _has_message(self, proxy: ProxyState) -> bool:
        """Return whether this batch sends the proxy a message."""
        message_times = proxy.message_times
        return bool(message_times) and message_times[-1] >= self.context.now

    def has_room_for_updates(self) -> bool:
        """Return whether the queue has room for updates that can be postponed."""
        return self.has_room(UPDATE_QUEUE_FRACTION)

    def has_room_for_restorations(self, waited: float) -> bool:
        """Return whether the queue has room for restorations that have waited for some seconds.

        At first they are sent only while the channel is nearly idle, so that they do not delay
        tables and removals. After the maximum safe wait they share the room for updates, which may
        keep a slow channel from being idle: a proxy may eject all endpoints of its tables.
        """
        if waited > max_safe_wait(self.context.settings):
            return self.has_room_for_updates()
        return self.has_room(RESTORATION_QUEUE_FRACTION)

    def has_room(self, fraction: float = TABLE_QUEUE_FRACTION) -> bool:
        """Return whether less than a fraction of the maximum queue is in use."""
        return self.has_room_for_entries(0.0, fraction)

    def has_room_for_table(self, urgent: bool) -> bool:
        """Return whether the queue has room for a whole table.

        Tables that a proxy cannot do without are `urgent`, and take precedence over withdrawals.
        """
        return self.has_room(URGENT_TABLE_QUEUE_FRACTION if urgent else TABLE_QUEUE_FRACTION)

    def message_cost(self, entries: float) -> float:
        """Return the cost of a message with its overhead and its nonce, in entries."""
        return entries + self.context.settings["message_head"] + 1

    def has_room_for_entries(self, entries: float, fraction: float = MAX_ENTRIES_FRACTION) -> bool:
        """Return whether more entries leave the queue below a fraction of its maximum."""
        limit = fraction * self.context.settings["queue_most"]
        return bool(self.backlog.queued_entries + entries < limit)

    def has_room_for_withdrawals(self, entries: float) -> bool:
        """Return whether a message of withdrawals or restorations may be sent to a waiting proxy.

        A few of them may always be sent. Filling the queue with them would delay the tables that
        those proxies wait for. `entries` includes the overhead of the message.
        """
        if self.has_room_for_entries(entries, MAX_WITHDRAWAL_QUEUE_FRACTION):
            return True
        settings, now = self.context.settings, self.context.now
        if now >= self.allowance_since + settings["drain_grace"] / ALLOWANCES_PER_GRACE:
            self.allowance_since = now
            self.allowance = MIN_WITHDRAWAL_QUEUE_FRACTION * settings["queue_most"]
        self.allowance -= entries
        return self.allowance > 0

    def spend(self, proxy: ProxyState, entries: float) -> None:
        """Count entries that are written for a proxy.

        A batch sends one message to each proxy, so the overhead of the message is counted once.
        """
        new_message = not self._has_message(proxy)
        if new_message:
            proxy.message_times.append(self.context.now)
        self.backlog.add_entries(proxy.number, entries, new_message)
