"""Rule 5: the channel's queue and the messages to each subscriber stay below their limits."""

from collections import defaultdict, deque

from .findings import Finding, Limits, RowsByKind, make_finding

RATE_WINDOW = 1.0  # seconds over which the channel's rate is measured


def check_channel(rows: RowsByKind, limits: Limits) -> Finding:
    """Return how near the queue and the messages to one subscriber came to their limits.

    The summary also contains the channel's maximum rate, for which there is no rule.
    """
    messages = rows["message"]
    max_queue_fraction = 0.0  # longest queue / the queue's limit
    max_messages = 0
    max_rate_fraction = 0.0  # highest rate / the configured rate
    recent_messages: defaultdict[tuple[str, str], deque[float]] = defaultdict(deque)
    recent_entries: defaultdict[str, deque[tuple[float, float]]] = defaultdict(deque)
    for row in messages:
        max_queue_fraction = max(max_queue_fraction, row.waiting / row.most)
        message_times = recent_messages[row.steward, row.view]
        message_times.append(row.at)
        while row.at - message_times[0] > limits["messages_span"]:
            message_times.popleft()
        max_messages = max(max_messages, len(message_times))
        sent_entries = recent_entries[row.steward]
        sent_entries.append((row.at, row.lines + limits["message_head"]))
        while row.at - sent_entries[0][0] > RATE_WINDOW:
            sent_entries.popleft()
        max_rate_fraction = max(
            max_rate_fraction, sum(count for _, count in sent_entries) / limits["channel_rate"]
        )
    limit = limits["messages_most"]
    max_messages_fraction = max_messages / limit if limit else 0.0
    summary = (
        f"longest queue {max_queue_fraction:.2f} of its limit, "
        f"{max_messages} messages to one view in {limits['messages_span']:.0f} s, "
        f"rate up to {max_rate_fraction:.2f} of the configured rate, {len(messages)} messages"
    )
    return make_finding(
        "5 the queue stays short", max(max_queue_fraction, max_messages_fraction), summary
    )
