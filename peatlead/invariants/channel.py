"""Rule 5: the channel's queue and each subscriber's messages stay under their limits."""

from collections import defaultdict, deque

from .findings import Finding, Limits, RowsByKind, finding

PACE_WINDOW = 1.0  # seconds over which the channel's pace is measured


def check_channel(rows: RowsByKind, limits: Limits) -> Finding:
    """The deepest queue, the most messages to one subscriber in a span, the channel's pace."""
    messages = rows["message"]
    deepest = 0.0  # part of the limit
    most_messages = 0
    pace = 0.0  # part of the rate that the channel is set to
    recent_messages: defaultdict[tuple[str, str], deque[float]] = defaultdict(deque)
    recent_entries: defaultdict[str, deque[tuple[float, float]]] = defaultdict(deque)
    for row in messages:
        deepest = max(deepest, row.waiting / row.most)
        times = recent_messages[row.steward, row.view]
        times.append(row.at)
        while row.at - times[0] > limits["messages_span"]:
            times.popleft()
        most_messages = max(most_messages, len(times))
        entries = recent_entries[row.steward]
        entries.append((row.at, row.lines + limits["message_head"]))
        while row.at - entries[0][0] > PACE_WINDOW:
            entries.popleft()
        pace = max(pace, sum(count for _, count in entries) / limits["channel_rate"])
    limit = limits["messages_most"]
    part = most_messages / limit if limit else 0.0
    said = (
        f"deepest {deepest:.2f} of the limit, {most_messages} messages to one view in "
        f"{limits['messages_span']:.0f} s, pace {pace:.2f} of what was told, "
        f"{len(messages)} messages"
    )
    return finding("5 the queue stays short", max(deepest, part), said)
