"""Whether a controller can have known of a change: it ran while a true list showed it."""

from collections import defaultdict

from .findings import READ_WITHIN, RowsByKind
from .record import Row

Span = tuple[float, float]  # start and end, seconds
AWAY = ("killed", "frozen")
BACK = ("started", "woken")


class ControllerKnowledge:
    """When lists were true, and when each controller ran.

    A controller that was frozen all the while, and woke to a list that was old by then, has nothing
    to know a change by.
    """

    def __init__(self, rows: RowsByKind) -> None:
        lists = rows["list"]
        last = max(
            (row.at for kind in ("list", "held", "try", "steward") for row in rows[kind]),
            default=0.0,
        )
        ends = [row.at for row in lists[1:]] + [last]
        self.true_lists: list[Span] = [(row.at, end) for row, end in zip(lists, ends) if row.told]
        self.answering = sorted({row.steward for row in rows["answer"] if row.rcode != "none"})
        self.absences = absences(rows["steward"], last)

    def any_knew(self, since: float, now: float) -> bool:
        """Whether one that answers, and runs now, can have known; True where none ever answered."""
        return not self.answering or any(
            self.knew(controller, since, now)
            for controller in self.answering
            if not any(start <= now < end for start, end in self.absences[controller])
        )

    def knew(self, controller: str, since: float, now: float) -> bool:
        """Whether it ran for long enough beside a true list between two moments."""
        for list_start, list_end in self.true_lists:
            start = max(list_start, since)
            end = min(list_end, now)
            for away, back in self.absences[controller]:
                if away <= start < back:
                    start = back
                elif start < away < end:
                    end = away
            if end - start >= READ_WITHIN:
                return True
        return False


def absences(events: list[Row], last: float) -> defaultdict[str, list[Span]]:
    """By controller: the spans in which it was killed or frozen."""
    found: defaultdict[str, list[Span]] = defaultdict(list)
    for row in events:
        spans = found[row.steward]
        if row.what in AWAY:
            spans.append((row.at, last))
        elif row.what in BACK and spans:
            spans[-1] = spans[-1][0], row.at
    return found
