"""Rule 1: no view or proxy is without an endpoint for longer than the limit."""

from typing import Optional

from .findings import Finding, Limits, RowsByKind, make_finding, rows_by_time
from .record import Row

Subscriber = tuple[str, str]  # (controller or PROXY_REPORTS, view or proxy)
PROXY_REPORTS = "agents"  # in the Subscriber of a proxy, in place of a controller


class AvailabilityCheck:
    """Measures the longest time that a subscriber had no entry.

    A view has no entry after a message that leaves one of its services empty, and during a run of
    answers without addresses. A proxy has no entry while one of its tables is empty. Views of a
    killed controller no longer count.
    """

    def __init__(self, rows: RowsByKind) -> None:
        self.longest_gap = 0.0  # seconds
        self.longest_gap_subscriber: Optional[Subscriber] = None
        self.empty_since: dict[Subscriber, float] = {}  # start time in seconds
        self.empty_answers_since: dict[Subscriber, float] = {}  # start time in seconds
        self.supplied_proxies: set[str] = set()  # with an entry in each table
        self.proxies = {row.agent for row in rows["stream"]}
        for row in rows_by_time(rows, ("answer", "message", "steward", "stream", "order")):
            self.process_row(row)
        end_time = max((row.at for row in rows["message"] + rows["answer"]), default=0.0)
        for subscriber, since in self.empty_since.items():
            self.record_gap(end_time - since, subscriber)

    def record_gap(self, gap: float, subscriber: Subscriber) -> None:
        """Store a gap without entries, in seconds, if it is the longest."""
        if gap > self.longest_gap:
            self.longest_gap = gap
            self.longest_gap_subscriber = subscriber

    def process_row(self, row: Row) -> None:
        """Dispatch a row by its kind."""
        if row.kind == "steward":
            self.process_controller_event(row)
        elif row.kind == "stream":
            if row.what == "joined" and row.agent not in self.supplied_proxies:
                self.empty_since.setdefault((PROXY_REPORTS, row.agent), row.at)
        elif row.kind == "order":
            self.process_assignment(row)
        elif row.kind == "message":
            self.process_message(row)
        elif row.rcode != "none":
            self.process_answer(row)

    def process_controller_event(self, row: Row) -> None:
        """Stop measuring the views of a killed controller, and all runs of empty answers."""
        if row.what == "killed":
            self.empty_since = {
                subscriber: since
                for subscriber, since in self.empty_since.items()
                if subscriber[0] != row.steward
            }
            self.empty_answers_since = {}

    def process_assignment(self, row: Row) -> None:
        """Start or end a proxy's gap at an assignment.

        The field `least` is the number of entries in the proxy's shortest table.
        """
        if row.done != "applied":
            return
        subscriber = PROXY_REPORTS, row.agent
        if row.least:
            self.supplied_proxies.add(row.agent)
            self.record_gap(row.at - self.empty_since.pop(subscriber, row.at), subscriber)
        else:
            self.supplied_proxies.discard(row.agent)
            self.empty_since.setdefault(subscriber, row.at)

    def process_message(self, row: Row) -> None:
        """Start or end a view's gap at a message that left the channel.

        Messages to proxies are ignored: proxies record the size of their tables themselves.
        """
        if row.view in self.proxies:
            return
        subscriber = row.steward, row.view
        if min(row.held, default=0) > 0:
            self.record_gap(row.at - self.empty_since.pop(subscriber, row.at), subscriber)
        else:
            self.empty_since.setdefault(subscriber, row.at)

    def process_answer(self, row: Row) -> None:
        """Start, extend or end a view's run of answers without addresses."""
        subscriber = row.steward, row.view
        if row.addresses:
            self.empty_answers_since.pop(subscriber, None)
        else:
            self.record_gap(
                row.at - self.empty_answers_since.setdefault(subscriber, row.at), subscriber
            )


def check_availability(rows: RowsByKind, limits: Limits) -> Finding:
    """Return the longest time that a view or proxy had no endpoint."""
    check = AvailabilityCheck(rows)
    limit = limits["bare_most"]
    summary = f"longest gap {check.longest_gap:.2f} s, limit {limit} s"
    if check.longest_gap_subscriber:
        summary += f" ({check.longest_gap_subscriber[1]} at {check.longest_gap_subscriber[0]})"
    return make_finding("1 a line to pick", check.longest_gap / limit, summary)
