"""Rule 2, no effect twice; and rule 6, no assignment applied twice or after a newer one."""

from collections import Counter

from .findings import NAMED_BREACHES, Finding, RowsByKind, finding, in_order
from .record import Row

Version = tuple[int, int]  # epoch, serial
NO_VERSION: Version = (0, 0)


def check_effects(rows: RowsByKind) -> Finding:
    """Requests that may not run twice and did; replayable ones may."""
    seen = Counter((row.req, row.repeat) for row in rows["effect"] if row.repeat != "replayable")
    doubled = [(request, repeat, many) for (request, repeat), many in seen.items() if many > 1]
    said = f"{len(seen)} effects, none twice"
    if doubled:
        named = doubled[:NAMED_BREACHES]
        said = ", ".join(f"{request} ({repeat}) {many} times" for request, repeat, many in named)
    return finding("2 no effect twice", float(len(doubled)), said, len(doubled))


class AssignmentCheck:
    """Counts what proxies did with the assignments of several controllers."""

    def __init__(self, assignments: list[Row]) -> None:
        self.newest: dict[str, Version] = {}  # by proxy: applied
        self.owners: dict[tuple[str, int], str] = {}  # by proxy and epoch: controller
        self.applied_twice = 0
        self.applied_late = 0
        self.ignored = 0  # older than what the proxy had
        self.refused = 0
        self.shared_epochs = 0  # of an epoch that another controller had used
        for row in assignments:
            self.take(row)

    def take(self, row: Row) -> None:
        """One assignment has reached a proxy."""
        owner = self.owners.setdefault((row.agent, row.epoch), row.steward)
        self.shared_epochs += owner != row.steward
        if row.done == "applied":
            version = row.epoch, row.serial
            newest = self.newest.get(row.agent, NO_VERSION)
            self.applied_twice += version == self.newest.get(row.agent)
            self.applied_late += version < newest
            self.newest[row.agent] = max(version, newest)
        self.ignored += row.done == "old"
        self.refused += row.done == "refused"


def check_assignments(rows: RowsByKind) -> Finding:
    """Whether none was applied twice or late, and each epoch of a proxy had one controller."""
    check = AssignmentCheck(in_order(rows, ["order"]))
    breaches = check.applied_twice + check.applied_late + check.shared_epochs
    said = (
        f"{len(rows['order'])} orders: {check.applied_twice} applied twice, "
        f"{check.applied_late} old ones applied of "
        f"{check.ignored + check.applied_late} that arrived, "
        f"{check.refused} refused, {check.shared_epochs} of an epoch that two owners gave"
    )
    return finding("6 no order twice, none old", float(breaches), said, breaches)
