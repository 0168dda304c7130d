"""Rule 4: no cold endpoint is overloaded."""

from collections import defaultdict
from typing import NamedTuple, Optional

from .controller_knowledge import ControllerKnowledge
from .findings import MAX_LISTED_BREACHES, Finding, Limits, RowsByKind, make_finding, readable_lists
from .record import Row

START_TOLERANCE = 0.2  # seconds between the listed start and the endpoint's own


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
    max_fraction = 0.0
    max_endpoint: Optional[str] = None
    overloaded: set[str] = set()
    unknown_starts: set[str] = set()  # endpoints overloaded before their start could be known
    for row in rows["cold"] + rows["tipped"]:
        known = start_was_known(row, starts[row.host], knowledge)
        if row.kind == "tipped":
            (overloaded if known else unknown_starts).add(row.host)
        elif known and row.part > max_fraction:
            max_fraction = row.part
            max_endpoint = row.host
    summary = "no host was known to be cold"
    if overloaded:
        summary = f"tipped: {', '.join(sorted(overloaded)[:MAX_LISTED_BREACHES])}"
        max_fraction = max(1.0, max_fraction)
    elif max_endpoint:
        summary = f"nearest {max_endpoint}"
    if unknown_starts:
        summary += f"; {len(unknown_starts)} tipped before their start could be known"
    return make_finding("4 no cold host pushed over", max_fraction, summary, len(overloaded))


def start_was_known(row: Row, starts: list[ListedStart], knowledge: ControllerKnowledge) -> bool:
    """Whether the rule applied at a row: the start was listed and a controller could know of it."""
    shown = [start for start in starts if start.started_at >= row.since - START_TOLERANCE]
    return (
        bool(shown)
        and row.at > shown[0].applies_at
        and knowledge.any_could_know(shown[0].listed_at, row.at)
    )
