"""A rate-limited queue of messages to subscribers, without I/O.

Messages leave one after the other, and each occupies the channel for (overhead + operations) / rate
seconds. The queue holds at most one message for each subscriber: further operations are merged into
that message, and a newer operation replaces an older operation with the same key. The number of
distinct operations therefore bounds the queue, and no subscriber receives an older state after a
newer state.

Messages that remove an endpoint are urgent and leave first, because requests to that endpoint fail
until the message is applied. After `MAX_URGENT_RUN` urgent messages a normal message leaves, so
that a proxy without a table doesn't wait for the withdrawals of a whole zone.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Optional

from .message import Message, Operations, removed_endpoints, set_operation

MAX_CAUSES = 8  # no further causes are added to a message that has this many
MAX_URGENT_RUN = 3  # urgent messages in a row while normal messages wait
UNLIMITED = 1 << 30  # number of messages

Lane = OrderedDict[int, bool]  # subscribers in the order of sending; used as an ordered set


class Channel:
    """A queue of messages: `enqueue` adds operations, `take_due` removes messages that may leave.

    `rate` is in operations per second. `overhead` is the cost of a message beside its operations,
    in operations. `max_size` is the number of queued operations that the planner must not exceed;
    the channel only counts violations and refuses nothing.
    """

    def __init__(self, rate: float, overhead: float, max_size: float) -> None:
        self.rate = rate  # operations per second
        self.overhead = overhead  # operations per message
        self.max_size = max_size
        self.queue: dict[int, Message] = {}  # queued messages by subscriber
        self.urgent_lane: Lane = OrderedDict()  # subscribers whose message removes an endpoint
        self.normal_lane: Lane = OrderedDict()  # all other subscribers with a queued message
        self.urgent_run = 0  # urgent messages sent in a row
        self.free_at = 0.0  # when the next message may leave, in seconds on the loop's clock
        self.size = 0.0  # queued operations, with the overhead of each message
        self.peak_size = 0.0  # the largest `size` so far
        self.overflow_count = 0  # calls of `enqueue` after which `size` exceeded `max_size`

    def enqueue(
        self,
        now: float,
        subscriber: int,
        operations: Operations,
        nonces: Iterable[int] = (),
        causes: Iterable[str] = (),
    ) -> None:
        """Queue operations for a subscriber, with nonces to acknowledge and the causes."""
        message = self.queue.get(subscriber)
        if message is None:
            message = self.queue[subscriber] = Message(now)
            self.size += self.overhead
        count_before = len(message.operations)
        for key, value in operations.items():
            set_operation(message.operations, key, value)
        self.choose_lane(subscriber, message)
        # The newest nonce acknowledges all earlier nonces.
        message.nonces = list(nonces) or message.nonces
        if len(message.causes) < MAX_CAUSES:
            message.causes.update(dict.fromkeys(causes))
        self.size += len(message.operations) - count_before
        self.peak_size = max(self.peak_size, self.size)
        self.overflow_count += self.size > self.max_size

    def choose_lane(self, subscriber: int, message: Message) -> None:
        """Move a subscriber to the end of its message's lane, unless it is already in that lane."""
        urgent = bool(removed_endpoints(message.operations))
        lane, other_lane = (
            (self.urgent_lane, self.normal_lane) if urgent else (self.normal_lane, self.urgent_lane)
        )
        other_lane.pop(subscriber, None)
        lane.setdefault(subscriber, True)

    def forget_subscriber(self, subscriber: int) -> None:
        """Drop the queued message of a subscriber that has left."""
        message = self.queue.pop(subscriber, None)
        self.urgent_lane.pop(subscriber, None)
        self.normal_lane.pop(subscriber, None)
        if message is not None:
            self.size -= self.overhead + len(message.operations)

    @property
    def next_due_at(self) -> Optional[float]:
        """When the next message may leave, or None if the queue is empty."""
        return self.free_at if self.queue else None

    def next_subscriber(self) -> int:
        """Remove the next subscriber from its lane and return it; the queue must not be empty."""
        if self.urgent_lane and (self.urgent_run < MAX_URGENT_RUN or not self.normal_lane):
            self.urgent_run += 1
            return self.urgent_lane.popitem(last=False)[0]
        self.urgent_run = 0
        return self.normal_lane.popitem(last=False)[0]

    def take_due(self, now: float, limit: int = UNLIMITED) -> list[tuple[int, Message]]:
        """Dequeue up to `limit` messages that may leave now; return (subscriber, message) pairs."""
        due: list[tuple[int, Message]] = []
        while self.queue and self.free_at <= now and len(due) < limit:
            subscriber = self.next_subscriber()
            message = self.queue.pop(subscriber)
            message_size = self.overhead + len(message.operations)
            self.size -= message_size
            # An idle channel accumulates no credit for a burst.
            self.free_at = max(self.free_at, message.enqueued_at) + message_size / self.rate
            due.append((subscriber, message))
        if not self.queue:
            self.size = 0.0  # removes accumulated rounding errors
        return due
