"""Rule 7: proxies hold the tables that were published, and removed endpoints do not come back."""

from typing import Optional

from .controller_knowledge import ControllerKnowledge
from .findings import (
    MAX_LISTED_BREACHES,
    Finding,
    Limits,
    RowsByKind,
    make_finding,
    readable_lists,
    rows_by_time,
)
from .record import Row

MAX_DELIVERY_TIME = 1.5  # seconds from the publication of a version until the proxy holds it
GONE_CONFIRMATION_TIME = 5.0  # seconds that a gone endpoint may be kept while it answers


class ListedRemovals:
    """The times at which endpoint lists removed endpoints."""

    def __init__(self, rows: RowsByKind, grace: float, knowledge: ControllerKnowledge) -> None:
        self.grace = grace  # seconds
        self.knowledge = knowledge
        self.draining_at: dict[str, float] = {}  # by address
        self.gone_at: dict[str, float] = {}  # by address
        self.newest_version = 0
        self.readable_list_ids = {id(row) for row in readable_lists(rows["list"])}

    def process_list(self, row: Row) -> None:
        """Update the removal times.

        A list that no controller could read does not start a drain and does not make older
        versions outdated.
        """
        if row.version < self.newest_version:
            return
        readable = id(row) in self.readable_list_ids
        if readable:
            self.newest_version = row.version
        for address, phase, _ in row.hosts.values():
            if phase == "ready":
                self.draining_at.pop(address, None)
                self.gone_at.pop(address, None)
            elif readable:
                removals = self.draining_at if phase == "draining" else self.gone_at
                removals.setdefault(address, row.at)

    def seconds_past_grace(self, controller: str, address: str, now: float) -> float:
        """Return by how many seconds the time since an endpoint's removal exceeds the grace, or 0.

        Only removals that the controller could know of count. An endpoint that was listed as gone
        but not as draining has GONE_CONFIRMATION_TIME seconds more.
        """
        draining_at = self.draining_at.get(address)
        gone_at = self.gone_at.get(address, now)
        if (
            draining_at is not None
            and now - draining_at > self.grace
            and self.knowledge.could_know(controller, draining_at, gone_at)
        ):
            return now - draining_at - self.grace
        if (
            address in self.gone_at
            and now - gone_at > self.grace + GONE_CONFIRMATION_TIME
            and self.knowledge.could_know(controller, gone_at, now - GONE_CONFIRMATION_TIME)
        ):
            return now - gone_at - self.grace
        return 0.0


class PublishedTablesCheck:
    """Checks the tables that proxies hold, and compares the last one with the last published."""

    def __init__(self, rows: RowsByKind, grace: float, knowledge: ControllerKnowledge) -> None:
        self.removals = ListedRemovals(rows, grace, knowledge)
        self.held: dict[str, Row] = {}  # last "held" row, by proxy
        self.controllers: dict[str, Optional[str]] = {}  # by proxy
        self.violations: list[str] = []
        self.revived_endpoints = 0
        self.matching_final_tables = 0
        for row in rows_by_time(rows, ("list", "held", "stream")):
            self.process_row(row)
        self.controllers = {}
        for row in rows_by_time(rows, ("stream", "published")):
            if row.kind == "stream":
                self.process_stream(row)
            else:
                self.compare_final_table(row)

    def process_row(self, row: Row) -> None:
        """Dispatch a row by its kind."""
        if row.kind == "stream":
            self.process_stream(row)
        elif row.kind == "held":
            self.process_held_table(row)
        else:
            self.removals.process_list(row)

    def process_stream(self, row: Row) -> None:
        """Apply the start or the end of a proxy's stream."""
        self.controllers[row.agent] = row.steward if row.what == "joined" else None

    def process_held_table(self, row: Row) -> None:
        """Check the table that a proxy holds after it has applied a delta."""
        self.held[row.agent] = row
        if not row.sound:
            self.violations.append(
                f"{row.agent}'s table does not match the digest of {row.epoch}.{row.serial}"
            )
        # An abandoned stream delivers its delayed messages at once, and a later one may remove what
        # an earlier one contains.
        if self.controllers.get(row.agent, row.steward) != row.steward:
            return
        seconds_past_grace = {
            address: self.removals.seconds_past_grace(row.steward, address, row.at)
            for address in row.addresses
        }
        self.revived_endpoints += sum(seconds > 0 for seconds in seconds_past_grace.values())
        self.violations += [
            f"{row.agent} received {address} {seconds:.2f} s after the end of its drain grace"
            for address, seconds in seconds_past_grace.items()
            if seconds
        ]

    def compare_final_table(self, row: Row) -> None:
        """Compare the last table that a controller published with the one that its proxy holds.

        Proxies that are no longer connected to the controller are ignored.
        """
        held = self.held.get(row.agent)
        if held is None or self.controllers.get(row.agent) != row.steward:
            return
        if held.digest == row.digest:
            self.matching_final_tables += 1
            return
        newer = (held.epoch, held.serial) > (row.epoch, row.serial)
        if not newer and row.age >= MAX_DELIVERY_TIME:
            self.violations.append(
                f"{row.agent} holds {held.epoch}.{held.serial}, "
                f"not what {row.steward} published as "
                f"{row.epoch}.{row.serial} {row.age:.1f} s before"
            )


def check_published_tables(
    rows: RowsByKind, limits: Limits, knowledge: ControllerKnowledge
) -> Finding:
    """Check that proxies end with the published tables and hold no drained endpoint."""
    check = PublishedTablesCheck(rows, limits["drain_grace"], knowledge)
    summary = (
        f"{len(rows['held'])} deltas applied, {check.matching_final_tables} proxies end with "
        f"the last published table, {check.revived_endpoints} removed endpoints came back, "
        f"{len(rows['pin'])} pins"
    )
    summary += "".join(f"; {violation}" for violation in check.violations[:MAX_LISTED_BREACHES])
    return make_finding(
        "7 tables as published", float(len(check.violations)), summary, len(check.violations)
    )
