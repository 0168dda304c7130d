"""Log events of proxies and of the channel.

They allow to follow a proxy through all controllers.

    telemetry = Telemetry(log)
    telemetry.proxy_joined(7, has_table=True)
    telemetry.message_written(7, operations)
    telemetry.end_batch(now, planner)

Two events are written. `proxies`: one for each batch in which proxies joined, left or were sent a
whole table, with their numbers. `channel`: once every `STATUS_INTERVAL` seconds while proxies wait
for tables or entries wait in the channel, with the planner's status and the counts since the
previous such event. docs/on-call.md describes how to read them.
"""

from typing import Protocol

from ..controller.message import ADMISSION, ASSIGNMENT, ENTRY, WITHDRAWN, Operations
from ..interface import PlannerStatus
from .shared_types import Log

STATUS_INTERVAL = 1.0  # seconds between two `channel` events
DIGITS = 3  # decimal places of the numbers in an event


class HasStatus(Protocol):
    """A planner, as far as telemetry needs it."""

    def status(self, now: float) -> PlannerStatus:
        """Return the planner's state at a time of the loop's clock."""
        ...


class Telemetry:
    """Collects what happens in a batch and logs it; all times are seconds on the loop's clock."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.joined: list[int] = []  # proxies, since the last `proxies` event, as the next two
        self.left: dict[str, list[int]] = {}  # by reason
        self.tables: list[int] = []  # proxies that were sent a whole table
        self.counts: dict[str, float] = {}  # since the last `channel` event
        self.next_status_at = 0.0

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a count of the next `channel` event."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def proxy_joined(self, proxy: int, has_table: bool) -> None:
        """Record that a proxy's stream has begun."""
        self.joined.append(proxy)
        self.count("joined_with_table" if has_table else "joined_without_table")

    def proxy_left(self, proxy: int, reason: str) -> None:
        """Record that a proxy's stream has ended."""
        self.left.setdefault(reason, []).append(proxy)
        self.count("left")

    def message_written(self, proxy: int, operations: Operations) -> None:
        """Record a push message."""
        kinds = [key[0] for key in operations]
        items = operations.items()
        removed = sum(key[0] == ENTRY and not value for key, value in items)
        ejected = sum(key[0] == WITHDRAWN and bool(value) for key, value in items)
        self.count("messages")
        self.count("lines", kinds.count(ENTRY))
        self.count("removed_lines", removed)
        self.count("shut_out", ejected)
        self.count("levels", kinds.count(ADMISSION))
        if ASSIGNMENT in kinds:
            self.tables.append(proxy)
            self.count("tables")

    def acknowledged(self, duration: float) -> None:
        """Record that a proxy acknowledged a nonce `duration` seconds after it was written."""
        self.count("answers")
        self.counts["slowest_answer"] = max(duration, self.counts.get("slowest_answer", 0.0))

    def end_batch(self, now: float, planner: HasStatus) -> None:
        """Log what is due once all messages of a batch have been written."""
        if self.joined or self.left or self.tables:
            self.log_proxies()
        if now >= self.next_status_at:
            self.next_status_at = now + STATUS_INTERVAL
            self.log_status(planner.status(now))

    def log_proxies(self) -> None:
        """Log the proxies that joined, left or were sent a whole table."""
        self.log("proxies", joined=self.joined, left=self.left, tables=self.tables)
        self.joined = []
        self.left = {}
        self.tables = []

    def log_status(self, status: PlannerStatus) -> None:
        """Log the planner's status, except while nothing happens."""
        if not (status.unassigned_proxies or status.queued_entries or self.counts):
            return
        fields = {name: round(value, DIGITS) for name, value in status._asdict().items()}
        self.log("channel", **fields, since=self.counts)
        self.counts = {}
