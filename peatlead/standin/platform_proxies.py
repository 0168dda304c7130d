"""Stand-ins for the platform's proxies and for the rate-limited channel from a controller.

`ProxyState` is the state that a proxy keeps across its streams. `RateLimitedChannel` is the channel
of one controller: a message enters the queue when its last byte has arrived, and messages leave in
order. Neither does any I/O; times are in seconds on the caller's clock.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Any, Generic, NamedTuple, Optional, TypeVar

MessagePart = dict[str, Any]  # one decoded JSON line of a push message
StreamT = TypeVar("StreamT")


class ProxyState:
    """The tables and admissions of one proxy, and the endpoints ejected from all tables."""

    def __init__(self, number: int, zone: str, request_classes: Iterable[str]) -> None:
        self.number = number
        self.zone = zone
        self.request_classes = tuple(request_classes)
        self.tables: dict[str, dict[str, float]] = {name: {} for name in self.request_classes}
        # The admitted fraction and the code of the retry policy, by request class.
        self.admissions: dict[str, tuple[float, int]] = {}
        self.ejected: set[str] = set()
        self.received_full_table = False
        self.joined_at: Optional[float] = None  # start of the current stream

    def apply(self, parts: Iterable[MessagePart]) -> None:
        """Apply the decoded parts of one message."""
        for part in parts:
            for request_class in part.get("routes", self.request_classes):
                if part.get("full"):
                    self.admissions.pop(request_class, None)
                if "admit" in part:
                    self.admissions[request_class] = (part["admit"], part["policy"])
                self._update_table(self.tables[request_class], part)
            self.ejected.update(part.get("eject", ()))
            self.ejected.difference_update(part.get("restore", ()))

    def _update_table(self, table: dict[str, float], part: MessagePart) -> None:
        if part.get("full"):
            table.clear()
            self.received_full_table = True
        for endpoint, weight in part.get("endpoints", ()):
            if weight:
                table[endpoint] = weight
            else:
                table.pop(endpoint, None)

    def reachable_endpoints(self) -> set[str]:
        """Return the names of the endpoints to which the proxy can send requests."""
        in_tables: set[str] = set().union(*self.tables.values())
        return in_tables - self.ejected


def count_entries(parts: Iterable[MessagePart]) -> int:
    """Return the number of entries of a message, without the fixed cost per message."""
    return sum(
        bool(part.get("full"))
        + len(part.get("endpoints", ()))
        + len(part.get("eject", ()))
        + len(part.get("restore", ()))
        + ("admit" in part)
        + ("nonce_out" in part)
        for part in parts
    )


class QueuedMessage(NamedTuple, Generic[StreamT]):
    """A message in the channel's queue."""

    stream: StreamT
    parts: Sequence[MessagePart]
    size: float  # in entries, including the fixed cost per message
    entered_at: float


class RateLimitedChannel(Generic[StreamT]):
    """A channel whose messages leave in order, each after size / `entries_per_s` seconds.

    `message_cost` is the fixed cost per message, in entries.
    """

    def __init__(self, entries_per_s: float, message_cost: float) -> None:
        self.entries_per_s = entries_per_s
        self.message_cost = message_cost
        self.queue: deque[QueuedMessage[StreamT]] = deque()
        self.last_departure_at = 0.0
        self.waiting = 0.0  # entries in the queue
        self.max_waiting = 0.0  # maximum of `waiting` so far

    def enqueue(self, now: float, stream: StreamT, parts: Sequence[MessagePart]) -> None:
        """Add a message whose last byte has arrived now."""
        message = QueuedMessage(stream, parts, self.message_cost + count_entries(parts), now)
        self.queue.append(message)
        self.waiting += message.size
        self.max_waiting = max(self.max_waiting, self.waiting)

    def take_due(self, now: float) -> list[QueuedMessage[StreamT]]:
        """Remove and return the messages that have left by now."""
        departed = []
        while self.queue:
            message = self.queue[0]
            departs_at = (
                max(self.last_departure_at, message.entered_at) + message.size / self.entries_per_s
            )
            if departs_at > now:
                break
            self.last_departure_at = departs_at
            self.waiting -= message.size
            departed.append(self.queue.popleft())
        return departed

    def clear(self) -> None:
        """Drop all queued messages, as at the end of the controller."""
        self.queue.clear()
        self.waiting = 0.0
