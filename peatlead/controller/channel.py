"""A paced, bounded queue of messages to subscribers, without I/O.

Messages leave one after the other, each taking (overhead + operations) / rate seconds. A message
for a subscriber that has one waiting is merged into it, and a newer operation replaces an older one
of the same key: so the queue is bounded by the number of distinct operations, and no subscriber
gets an older state after a newer one.

Messages that take an endpoint away leave before others, since requests sent to it meanwhile fail.
After `URGENT_RUN` of them one of the others leaves: a proxy without a table must not wait for the
loss of a whole zone.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Optional

from .message import Message, Operations, removed_endpoints, set_operation

CAUSES_MOST = 8  # causes kept of a message that was merged many times
URGENT_RUN = 3  # messages that take endpoints away, between two that do not
UNLIMITED = 1 << 30  # messages

Lane = OrderedDict[int, bool]  # subscribers in the order of sending


class Channel:
    """A queue of messages: `offer` adds to it, `due` returns what may leave from `next_due_at` on.

    `rate` is in operations a second, `head` the operations that a message counts for beside its
    own, and `most` the number of queued operations that the planner keeps to. The channel itself
    refuses nothing.
    """

    def __init__(self, rate: float, head: float, most: float) -> None:
        self.rate = rate
        self.overhead = head
        self.max_size = most
        self.queue: dict[int, Message] = {}  # waiting messages by subscriber
        self.urgent: Lane = OrderedDict()  # subscribers whose message takes an endpoint away
        self.normal: Lane = OrderedDict()  # the other subscribers of the queue
        self.urgent_run = 0  # urgent messages sent in a row
        self.free_at = 0.0  # when the last message has left, in seconds on the loop's clock
        self.size = 0.0  # size of the queue in operations, overheads included
        self.peak_size = 0.0  # largest size of the queue so far
        self.overflow_count = 0  # offers so far after which the queue was larger than `most`

    def enqueue(
        self,
        now: float,
        subscriber: int,
        ops: Operations,
        marks: Iterable[int] = (),
        causes: Iterable[str] = (),
    ) -> None:
        """Queue operations for a subscriber, with nonces to acknowledge and causes to record."""
        message = self.queue.get(subscriber)
        if message is None:
            message = self.queue[subscriber] = Message(now)
            self.size += self.overhead
        before = len(message.operations)
        for key, value in ops.items():
            set_operation(message.operations, key, value)
        self.choose_lane(subscriber, message)
        # The newest nonce acknowledges all before it.
        message.nonces = list(marks) or message.nonces
        if len(message.causes) < CAUSES_MOST:
            message.causes.update(dict.fromkeys(causes))
        self.size += len(message.operations) - before
        self.peak_size = max(self.peak_size, self.size)
        self.overflow_count += self.size > self.max_size

    def choose_lane(self, subscriber: int, message: Message) -> None:
        """Put a subscriber into its message's lane; one that is there already keeps its place."""
        urgent = bool(removed_endpoints(message.operations))
        lane, other = (self.urgent, self.normal) if urgent else (self.normal, self.urgent)
        other.pop(subscriber, None)
        lane.setdefault(subscriber, True)

    def forget(self, subscriber: int) -> None:
        """Drop what waits for a subscriber that has left."""
        message = self.queue.pop(subscriber, None)
        self.urgent.pop(subscriber, None)
        self.normal.pop(subscriber, None)
        if message is not None:
            self.size -= self.overhead + len(message.operations)

    @property
    def next_due_at(self) -> Optional[float]:
        """When the next message may leave, None where none waits."""
        return self.free_at if self.queue else None

    def next_subscriber(self) -> int:
        """Take the next subscriber off its lane; at least one must wait."""
        if self.urgent and (self.urgent_run < URGENT_RUN or not self.normal):
            self.urgent_run += 1
            return self.urgent.popitem(last=False)[0]
        self.urgent_run = 0
        return self.normal.popitem(last=False)[0]

    def take_due(self, now: float, most: int = UNLIMITED) -> list[tuple[int, Message]]:
        """Dequeue the messages that may leave by now, at most `most`, with their subscribers."""
        leaving: list[tuple[int, Message]] = []
        while self.queue and self.free_at <= now and len(leaving) < most:
            subscriber = self.next_subscriber()
            message = self.queue.pop(subscriber)
            size = self.overhead + len(message.operations)
            self.size -= size
            # An idle channel accumulates no credit for a burst.
            self.free_at = max(self.free_at, message.enqueued_at) + size / self.rate
            leaving.append((subscriber, message))
        if not self.queue:
            self.size = 0.0  # no rounding errors accumulate
        return leaving
