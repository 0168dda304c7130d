"""Rule 4: no cold endpoint is overloaded."""

from collections import defaultdict
from typing import NamedTuple, Optional

from .controller_knowledge import ControllerKnowledge
from .findings import MAX_LISTED_BREACHES, Finding, Limits, RowsByKind, make_finding, readable_lists
from .record import Row

START_TOLERANCE = 0.2  # seconds by which a listed start may precede the start of the process


class ListedStart(NamedTuple):
    """A listed start of an endpoint, and the time from which the rule applies to it."""

    started_at: float
    listed_at: float
    applies_at: float


def listed_starts(lists: list[Row], grace: float) -> defaultdict[str, list[ListedStart]]:
    """Return the starts that readable lists showed, by endpoint.

    For an endpoint's first listed start the rule applies at once: only controllers that know the
    endpoint have it in a table. For a restart it applies after the drain grace: the endpoint is
    still in all tables and can be overloaded before a controller can know that it is cold.
    """
    starts_by_endpoint: defaultdict[str, list[ListedStart]] = defaultdict(list)
    for row in readable_lists(lists):
        for name, (_, phase, started) in row.hosts.items():
            starts = starts_by_endpoint[name]
            if phase == "ready" and (not starts or starts[-1].started_at != started):
                starts.append(ListedStart(started, row.at, row.at + (grace if starts else 0.0)))
    return starts_by_endpoint


def check_slow_start(rows: RowsByKind, limits: Limits, knowledge: ControllerKnowledge) -> Finding:
    """Return the largest load offered to a cold endpoint, as a fraction of the overload limit."""
    starts = listed_starts(rows["list"], limits["drain_grace"])
    max_load_fraction = 0.0
    most_loaded_endpoint: Optional[str] = None
    overloaded: set[str] = set()
    overloaded_before_known: set[str] = set()  # no controller could know of their start
    for row in rows["cold"] + rows["tipped"]:
        known = start_was_known(row, starts[row.host], knowledge)
        if row.kind == "tipped":
            (overloaded if known else overloaded_before_known).add(row.host)
        elif known and row.part > max_load_fraction:
            max_load_fraction = row.part
            most_loaded_endpoint = row.host
    summary = "no endpoint was known to be cold"
    if overloaded:
        summary = f"overloaded: {', '.join(sorted(overloaded)[:MAX_LISTED_BREACHES])}"
        max_load_fraction = max(1.0, max_load_fraction)
    elif most_loaded_endpoint:
        summary = f"nearest to the limit: {most_loaded_endpoint}"
    if overloaded_before_known:
        summary += f"; {len(overloaded_before_known)} overloaded before their start could be known"
    return make_finding("4 no cold host pushed over", max_load_fraction, summary, len(overloaded))


def start_was_known(row: Row, starts: list[ListedStart], knowledge: ControllerKnowledge) -> bool:
    """Whether the rule applied at a row: the start was listed and a controller could know of it."""
    known_starts = [start for start in starts if start.started_at >= row.since - START_TOLERANCE]
    return (
        bool(known_starts)
        and row.at > known_starts[0].applies_at
        and knowledge.any_could_know(known_starts[0].listed_at, row.at)
    )
