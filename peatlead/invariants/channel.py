"""Rule 5: the channel's queue and the messages to each subscriber stay below their limits."""

from collections import defaultdict, deque

from .findings import Finding, Limits, RowsByKind, make_finding

RATE_WINDOW = 1.0  # seconds over which the channel's rate is measured


def check_channel(rows: RowsByKind, limits: Limits) -> Finding:
    """Return the longest queue, the most messages to one subscriber, and the channel's rate."""
    messages = rows["message"]
    max_queue_fraction = 0.0  # of the queue's limit
    most_messages = 0
    max_rate_fraction = 0.0  # of the configured rate
    recent_messages: defaultdict[tuple[str, str], deque[float]] = defaultdict(deque)
    recent_entries: defaultdict[str, deque[tuple[float, float]]] = defaultdict(deque)
    for row in messages:
        max_queue_fraction = max(max_queue_fraction, row.waiting / row.most)
        message_times = recent_messages[row.steward, row.view]
        message_times.append(row.at)
        while row.at - message_times[0] > limits["messages_span"]:
            message_times.popleft()
        most_messages = max(most_messages, len(message_times))
        sent_entries = recent_entries[row.steward]
        sent_entries.append((row.at, row.lines + limits["message_head"]))
        while row.at - sent_entries[0][0] > RATE_WINDOW:
            sent_entries.popleft()
        max_rate_fraction = max(
            max_rate_fraction, sum(count for _, count in sent_entries) / limits["channel_rate"]
        )
    limit = limits["messages_most"]
    message_fraction = most_messages / limit if limit else 0.0
    summary = (
        f"deepest {max_queue_fraction:.2f} of the limit, {most_messages} messages to one view in "
        f"{limits['messages_span']:.0f} s, pace {max_rate_fraction:.2f} of what was told, "
        f"{len(messages)} messages"
    )
    return make_finding(
        "5 the queue stays short", max(max_queue_fraction, message_fraction), summary
    )
