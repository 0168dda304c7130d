"""Log events about proxies and about the channel between the controller and its proxies.

With the events of all controllers, an operator can follow one proxy through the fleet.

    telemetry = Telemetry(log)
    telemetry.proxy_joined(7, has_table=True)
    telemetry.message_written(7, operations)
    telemetry.end_batch(now, planner)

There are two kinds of events. `proxies` is logged for each batch in which proxies joined, left or
were sent a whole table, and contains the numbers of these proxies. `channel` contains the planner's
status and the counts since the previous `channel` event. It is logged at most once in
`STATUS_INTERVAL` seconds, and only if proxies wait for tables or for restorations, entries wait in
the channel or there are new counts. docs/on-call.md describes how to read the events.
"""

from typing import Protocol

from ..controller.message import ADMISSION, ASSIGNMENT, ENTRY, WITHDRAWN, Operations
from ..interface import PlannerStatus
from .shared_types import Log

STATUS_INTERVAL = 1.0  # minimum seconds between two `channel` events
DECIMAL_PLACES = 3  # of the numbers in a `channel` event


class StatusProvider(Protocol):
    """The part of a planner that telemetry uses."""

    def status(self, now: float) -> PlannerStatus:
        """Return the planner's status; `now` is in seconds on the loop's clock."""
        ...


class Telemetry:
    """Collects and logs the events of each batch; all times are seconds on the loop's clock."""

    def __init__(self, log: Log) -> None:
        self.log = log
        # Numbers of the proxies that joined, left or were sent a whole table since the last
        # `proxies` event.
        self.joined_proxies: list[int] = []
        self.left_proxies: dict[str, list[int]] = {}  # by reason
        self.proxies_sent_tables: list[int] = []
        self.counts: dict[str, float] = {}  # by name, since the last `channel` event
        self.next_status_at = 0.0

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a count of the next `channel` event."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def proxy_joined(self, proxy: int, has_table: bool) -> None:
        """Record the start of a proxy's stream."""
        self.joined_proxies.append(proxy)
        self.count("joined_with_table" if has_table else "joined_without_table")

    def proxy_left(self, proxy: int, reason: str) -> None:
        """Record the end of a proxy's stream."""
        self.left_proxies.setdefault(reason, []).append(proxy)
        self.count("left")

    def message_written(self, proxy: int, operations: Operations) -> None:
        """Record that a push message was written to a proxy."""
        operation_kinds = [key[0] for key in operations]
        items = operations.items()
        removed_count = sum(key[0] == ENTRY and not value for key, value in items)
        ejected_count = sum(key[0] == WITHDRAWN and bool(value) for key, value in items)
        restored_count = operation_kinds.count(WITHDRAWN) - ejected_count
        self.count("messages")
        self.count("lines", operation_kinds.count(ENTRY))
        self.count("removed_lines", removed_count)
        self.count("shut_out", ejected_count)
        self.count("restored", restored_count)
        self.count("levels", operation_kinds.count(ADMISSION))
        if ASSIGNMENT in operation_kinds:
            self.proxies_sent_tables.append(proxy)
            self.count("tables")

    def acknowledged(self, duration: float) -> None:
        """Record an acknowledgement that came `duration` seconds after the message was written."""
        self.count("answers")
        self.counts["slowest_answer"] = max(duration, self.counts.get("slowest_answer", 0.0))

    def end_batch(self, now: float, planner: StatusProvider) -> None:
        """Log the due events after all messages of a batch have been written."""
        if self.joined_proxies or self.left_proxies or self.proxies_sent_tables:
            self.log_proxies()
        if now >= self.next_status_at:
            self.next_status_at = now + STATUS_INTERVAL
            self.log_status(planner.status(now))

    def log_proxies(self) -> None:
        """Log the proxies that joined, left or were sent a whole table."""
        self.log(
            "proxies",
            joined=self.joined_proxies,
            left=self.left_proxies,
            tables=self.proxies_sent_tables,
        )
        self.joined_proxies = []
        self.left_proxies = {}
        self.proxies_sent_tables = []

    def log_status(self, status: PlannerStatus) -> None:
        """Log the planner's status and the counts, unless nothing waits and nothing was counted."""
        waiting_proxies = status.unassigned_proxies + status.unrestored_proxies
        if not (waiting_proxies or status.queued_entries or self.counts):
            return
        fields = {name: round(value, DECIMAL_PLACES) for name, value in status._asdict().items()}
        self.log("channel", **fields, since=self.counts)
        self.counts = {}
