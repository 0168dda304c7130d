"""Rule 2: no effect happens twice. Rule 6: no assignment is applied twice or after a newer one."""

from collections import Counter

from .findings import MAX_LISTED_BREACHES, Finding, RowsByKind, make_finding, rows_by_time
from .record import Row

Version = tuple[int, int]  # epoch, serial
NO_VERSION: Version = (0, 0)


def check_effects(rows: RowsByKind) -> Finding:
    """Find requests that took effect more than once, except replayable requests."""
    effect_counts = Counter(
        (row.req, row.repeat) for row in rows["effect"] if row.repeat != "replayable"
    )
    repeated = [
        (request, repeat, count) for (request, repeat), count in effect_counts.items() if count > 1
    ]
    summary = f"{len(effect_counts)} effects, none twice"
    if repeated:
        listed = repeated[:MAX_LISTED_BREACHES]
        summary = ", ".join(
            f"{request} ({repeat}) {count} times" for request, repeat, count in listed
        )
    return make_finding("2 no effect twice", float(len(repeated)), summary, len(repeated))


class AssignmentCheck:
    """Counts how proxies handled assignments, and epochs that several controllers used."""

    def __init__(self, assignments: list[Row]) -> None:
        self.newest_applied: dict[str, Version] = {}  # by proxy
        self.epoch_owners: dict[tuple[str, int], str] = {}  # controller by proxy and epoch
        self.applied_twice = 0
        self.applied_late = 0
        self.ignored = 0  # older than the proxy's newest assignment
        self.refused = 0
        self.shared_epochs = 0  # assignments with an epoch that another controller had used
        for row in assignments:
            self.process_row(row)

    def process_row(self, row: Row) -> None:
        """Count an assignment that reached a proxy."""
        owner = self.epoch_owners.setdefault((row.agent, row.epoch), row.steward)
        self.shared_epochs += owner != row.steward
        if row.done == "applied":
            version = row.epoch, row.serial
            newest_applied = self.newest_applied.get(row.agent, NO_VERSION)
            self.applied_twice += version == self.newest_applied.get(row.agent)
            self.applied_late += version < newest_applied
            self.newest_applied[row.agent] = max(version, newest_applied)
        self.ignored += row.done == "old"
        self.refused += row.done == "refused"


def check_assignments(rows: RowsByKind) -> Finding:
    """Check that proxies apply assignments once and in order, with one controller per epoch."""
    check = AssignmentCheck(rows_by_time(rows, ["order"]))
    breaches = check.applied_twice + check.applied_late + check.shared_epochs
    summary = (
        f"{len(rows['order'])} assignments: {check.applied_twice} applied twice, "
        f"{check.applied_late} old ones applied of "
        f"{check.ignored + check.applied_late} that arrived, "
        f"{check.refused} refused, {check.shared_epochs} with an epoch of another controller"
    )
    return make_finding("6 no order twice, none old", float(breaches), summary, breaches)
