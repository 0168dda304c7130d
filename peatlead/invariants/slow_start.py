"""Rule 4: no cold endpoint is overloaded."""

from collections import defaultdict
from typing import NamedTuple, Optional

from .controller_knowledge import ControllerKnowledge
from .findings import NAMED_BREACHES, Finding, Limits, RowsByKind, finding, readable_lists
from .record import Row

SAME_START = 0.2  # seconds between a start as the endpoint and as the list has it


class ListedStart(NamedTuple):
    """A start that a list showed, when it was listed, and from when the rule binds."""

    started_at: float
    listed_at: float
    binds_at: float


def listed_starts(lists: list[Row], grace: float) -> defaultdict[str, list[ListedStart]]:
    """By endpoint, each start that readable lists showed.

    The rule binds from the drain grace after the list: an endpoint that dies and is back at once,
    still in every table, may be overloaded before anybody can know that it is cold. One that is new
    on the list is in no table but by controllers that knew of it.
    """
    found: defaultdict[str, list[ListedStart]] = defaultdict(list)
    for row in readable_lists(lists):
        for name, (_, phase, started) in row.hosts.items():
            starts = found[name]
            if phase == "ready" and (not starts or starts[-1].started_at != started):
                starts.append(ListedStart(started, row.at, row.at + (grace if starts else 0.0)))
    return found


def check_slow_start(rows: RowsByKind, limits: Limits, knowledge: ControllerKnowledge) -> Finding:
    """The largest load offered to a cold endpoint, as a part of what overloads it."""
    starts = listed_starts(rows["list"], limits["drain_grace"])
    nearest = 0.0
    nearest_endpoint: Optional[str] = None
    overloaded: set[str] = set()
    too_early: set[str] = set()  # before their start could be known
    for row in rows["cold"] + rows["tipped"]:
        known = start_was_known(row, starts[row.host], knowledge)
        if row.kind == "tipped":
            (overloaded if known else too_early).add(row.host)
        elif known and row.part > nearest:
            nearest = row.part
            nearest_endpoint = row.host
    said = "no host was known to be cold"
    if overloaded:
        said = f"tipped: {', '.join(sorted(overloaded)[:NAMED_BREACHES])}"
        nearest = max(1.0, nearest)
    elif nearest_endpoint:
        said = f"nearest {nearest_endpoint}"
    if too_early:
        said += f"; {len(too_early)} tipped before their start could be known"
    return finding("4 no cold host pushed over", nearest, said, len(overloaded))


def start_was_known(row: Row, starts: list[ListedStart], knowledge: ControllerKnowledge) -> bool:
    """Whether the rule bound at a row.

    Lab seed 40374 (dns): the only controller was frozen through the start, and woke to a shrunk
    list.
    """
    shown = [start for start in starts if start.started_at >= row.since - SAME_START]
    return (
        bool(shown)
        and row.at > shown[0].binds_at
        and knowledge.any_knew(shown[0].listed_at, row.at)
    )
