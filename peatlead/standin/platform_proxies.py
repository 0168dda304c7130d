"""Stand-ins for the platform's proxies and for the channel that paces what a steward writes to them.

Written from the platform's protocol page. `ProxyState` is what one proxy holds, across its streams; `PacedChannel` is
one steward's channel: messages enter it when their last byte has arrived and leave one after the other. Neither does
any I/O; times are seconds on whatever clock the caller gives.
"""

from collections import deque
from typing import NamedTuple


class ProxyState:
    """Tables by request kind, the hosts that it must shut out, and the steward that it is joined to."""

    def __init__(self, number, zone, kinds):
        self.number, self.zone, self.kinds = number, zone, tuple(kinds)
        self.tables = {kind: {} for kind in self.kinds}
        self.shut_out = set()
        self.ordered = False  # whether it ever held a table that a steward ordered
        self.joined_at = None

    def apply(self, parts):
        """One message, as the list of its decoded parts."""
        for part in parts:
            for kind in part.get("routes", self.kinds):
                table = self.tables[kind]
                if part.get("full"):
                    table.clear()
                    self.ordered = True
                for host, weight in part.get("endpoints", ()):
                    if weight:
                        table[host] = weight
                    else:
                        table.pop(host, None)
            self.shut_out.update(part.get("eject", ()))
            self.shut_out.difference_update(part.get("restore", ()))

    def reachable(self):
        """Names of the hosts that it may send to."""
        return set().union(*self.tables.values()) - self.shut_out


def lines_of(parts):
    """What a message counts in the channel, without its head."""
    return sum(
        bool(part.get("full"))
        + len(part.get("endpoints", ()))
        + len(part.get("eject", ()))
        + len(part.get("restore", ()))
        + ("admit" in part)
        + ("nonce_out" in part)
        for part in parts
    )


class Queued(NamedTuple):
    """A message in the channel; `size` in lines, its head included."""

    stream: object
    parts: list
    size: float
    entered_at: float


class PacedChannel:
    """Messages leave in order, each taking its size / `lines_per_s` seconds; `head` is what each counts beside its
    lines. `most_waiting` is the largest number of lines that ever waited."""

    def __init__(self, lines_per_s, head):
        self.lines_per_s, self.head = lines_per_s, head
        self.queue, self.free_at = deque(), 0.0
        self.waiting, self.most_waiting = 0.0, 0.0

    def put(self, now, stream, parts):
        message = Queued(stream, parts, self.head + lines_of(parts), now)
        self.queue.append(message)
        self.waiting += message.size
        self.most_waiting = max(self.most_waiting, self.waiting)

    def take(self, now):
        """[Queued] that have left by now."""
        left = []
        while self.queue:
            message = self.queue[0]
            leaves_at = max(self.free_at, message.entered_at) + message.size / self.lines_per_s
            if leaves_at > now:
                break
            self.free_at = leaves_at
            self.waiting -= message.size
            left.append(self.queue.popleft())
        return left
