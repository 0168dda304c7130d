"""Rule 1: no client network or proxy without an endpoint for longer than the limit."""

from typing import Optional

from .findings import Finding, Limits, RowsByKind, finding, in_order
from .record import Row

Subscriber = tuple[str, str]  # controller (or PROXIES), view or proxy
PROXIES = "agents"  # stands for the controller where proxies say themselves what they hold


class AvailabilityCheck:
    """Follows since when each subscriber has had no entry, and keeps the longest span.

    A view is judged by what the controller's messages left it with, and by runs of answers that
    named none. A killed controller's duty ends; a frozen one gives no answers.
    """

    def __init__(self, rows: RowsByKind) -> None:
        self.longest = 0.0  # seconds
        self.subscriber: Optional[Subscriber] = None  # the one that was without for longest
        self.without_entries: dict[Subscriber, float] = {}  # since when
        self.empty_answers: dict[Subscriber, float] = {}  # since when
        self.supplied_proxies: set[str] = set()
        self.proxies = {row.agent for row in rows["stream"]}
        for row in in_order(rows, ("answer", "message", "steward", "stream", "order")):
            self.take(row)
        last = max((row.at for row in rows["message"] + rows["answer"]), default=0.0)
        for subscriber, since in self.without_entries.items():
            self.note(last - since, subscriber)

    def note(self, span: float, subscriber: Subscriber) -> None:
        """A span without an entry has ended, or goes on."""
        if span > self.longest:
            self.longest = span
            self.subscriber = subscriber

    def take(self, row: Row) -> None:
        """Follow one row."""
        if row.kind == "steward":
            self.take_controller(row)
        elif row.kind == "stream":
            if row.what == "joined" and row.agent not in self.supplied_proxies:
                self.without_entries.setdefault((PROXIES, row.agent), row.at)
        elif row.kind == "order":
            self.take_assignment(row)
        elif row.kind == "message":
            self.take_message(row)
        elif row.rcode != "none":
            self.take_answer(row)

    def take_controller(self, row: Row) -> None:
        """A killed controller owes nothing any more."""
        if row.what == "killed":
            self.without_entries = {
                subscriber: since
                for subscriber, since in self.without_entries.items()
                if subscriber[0] != row.steward
            }
            self.empty_answers = {}

    def take_assignment(self, row: Row) -> None:
        """A proxy has applied an assignment; `least` counts the entries of its shortest table."""
        if row.done != "applied":
            return
        subscriber = PROXIES, row.agent
        if row.least:
            self.supplied_proxies.add(row.agent)
            self.note(row.at - self.without_entries.pop(subscriber, row.at), subscriber)
        else:
            self.supplied_proxies.discard(row.agent)
            self.without_entries.setdefault(subscriber, row.at)

    def take_message(self, row: Row) -> None:
        """A message for a view has left a channel; proxies say themselves what they hold."""
        if row.view in self.proxies:
            return
        subscriber = row.steward, row.view
        if min(row.held, default=0) > 0:
            self.note(row.at - self.without_entries.pop(subscriber, row.at), subscriber)
        else:
            self.without_entries.setdefault(subscriber, row.at)

    def take_answer(self, row: Row) -> None:
        """A controller has answered a view, with or without addresses."""
        subscriber = row.steward, row.view
        if row.addresses:
            self.empty_answers.pop(subscriber, None)
        else:
            self.note(row.at - self.empty_answers.setdefault(subscriber, row.at), subscriber)


def check_availability(rows: RowsByKind, limits: Limits) -> Finding:
    """The longest span in which a view or proxy had no endpoint."""
    check = AvailabilityCheck(rows)
    limit = limits["bare_most"]
    said = f"longest {check.longest:.2f} s of {limit} s"
    if check.subscriber:
        said += f" ({check.subscriber[1]} at {check.subscriber[0]})"
    return finding("1 a line to pick", check.longest / limit, said)
