"""Decides whether a controller could know of a change in the endpoint list.

A controller could know of a change if it ran while a correct list showed the change.
"""

from collections import defaultdict

from .findings import MAX_LIST_READ_DELAY, RowsByKind
from .record import Row

Interval = tuple[float, float]  # start and end, seconds
ABSENCE_EVENTS = ("killed", "frozen")
RETURN_EVENTS = ("started", "woken")


class ControllerKnowledge:
    """The times at which the endpoint list was correct and at which each controller was absent.

    A controller that was frozen while a correct list showed a change, and that found an outdated
    list when it resumed, could not know of the change.
    """

    def __init__(self, rows: RowsByKind) -> None:
        lists = rows["list"]
        end_time = max(
            (row.at for kind in ("list", "held", "try", "steward") for row in rows[kind]),
            default=0.0,
        )
        list_ends = [row.at for row in lists[1:]] + [end_time]
        self.accurate_periods: list[Interval] = [
            (row.at, end) for row, end in zip(lists, list_ends) if row.told
        ]
        self.answering_controllers = sorted(
            {row.steward for row in rows["answer"] if row.rcode != "none"}
        )
        self.absences = find_absences(rows["steward"], end_time)

    def any_could_know(self, since: float, now: float) -> bool:
        """Whether a controller that runs `now` and answers could know of a change at `since`.

        True if no controller ever answered.
        """
        return not self.answering_controllers or any(
            self.could_know(controller, since, now)
            for controller in self.answering_controllers
            if not any(start <= now < end for start, end in self.absences[controller])
        )

    def could_know(self, controller: str, since: float, now: float) -> bool:
        """Whether the controller ran long enough to read a correct list between two times."""
        for list_start, list_end in self.accurate_periods:
            start = max(list_start, since)
            end = min(list_end, now)
            for absence_start, absence_end in self.absences[controller]:
                if absence_start <= start < absence_end:
                    start = absence_end
                elif start < absence_start < end:
                    end = absence_start
            if end - start >= MAX_LIST_READ_DELAY:
                return True
        return False


def find_absences(events: list[Row], end_time: float) -> defaultdict[str, list[Interval]]:
    """Return the intervals in which each controller was killed or frozen.

    An absence without an end lasts until `end_time`.
    """
    found: defaultdict[str, list[Interval]] = defaultdict(list)
    for row in events:
        intervals = found[row.steward]
        if row.what in ABSENCE_EVENTS:
            intervals.append((row.at, end_time))
        elif row.what in RETURN_EVENTS and intervals:
            intervals[-1] = intervals[-1][0], row.at
    return found
