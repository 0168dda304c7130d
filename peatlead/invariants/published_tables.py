"""Rule 7: proxies that check deltas hold what was published, and no endpoint is revived."""

from typing import Optional

from .controller_knowledge import ControllerKnowledge
from .findings import NAMED_BREACHES, Finding, Limits, RowsByKind, finding, in_order, readable_lists
from .record import Row

IN_FLIGHT = 1.5  # seconds in which a published version may not have arrived yet
DOUBT = (
    5.0  # seconds that an endpoint which the list calls gone may be kept while it seems to answer
)


class ListedRemovals:
    """When lists took endpoints out, and how late a proxy is then given one."""

    def __init__(self, rows: RowsByKind, grace: float, knowledge: ControllerKnowledge) -> None:
        self.grace = grace  # seconds
        self.knowledge = knowledge
        self.draining_at: dict[str, float] = {}  # by address
        self.gone_at: dict[str, float] = {}  # by address
        self.newest_list = 0
        self.readable = {id(row) for row in readable_lists(rows["list"])}

    def take(self, row: Row) -> None:
        """A list; a torn one was read by nobody and sets no version (lab seed 81155)."""
        if row.version < self.newest_list:
            return
        readable = id(row) in self.readable
        if readable:
            self.newest_list = row.version
        for address, phase, _ in row.hosts.values():
            if phase == "ready":
                self.draining_at.pop(address, None)
                self.gone_at.pop(address, None)
            elif readable:
                removals = self.draining_at if phase == "draining" else self.gone_at
                removals.setdefault(address, row.at)

    def late(self, controller: str, address: str, now: float) -> float:
        """Seconds past the grace, by what the controller can have known.

        That one is gone may be advice alone: it is in doubt for DOUBT seconds where no list said
        that it drains.
        """
        draining_at = self.draining_at.get(address)
        gone_at = self.gone_at.get(address, now)
        if (
            draining_at is not None
            and now - draining_at > self.grace
            and self.knowledge.knew(controller, draining_at, gone_at)
        ):
            return now - draining_at - self.grace
        if (
            address in self.gone_at
            and now - gone_at > self.grace + DOUBT
            and self.knowledge.knew(controller, gone_at, now - DOUBT)
        ):
            return now - gone_at - self.grace
        return 0.0


class PublishedTablesCheck:
    """Follows what each proxy holds, and compares its end with what was last published to it."""

    def __init__(self, rows: RowsByKind, grace: float, knowledge: ControllerKnowledge) -> None:
        self.removals = ListedRemovals(rows, grace, knowledge)
        self.held: dict[str, Row] = {}  # by proxy: the last row on what it holds
        self.controllers: dict[str, Optional[str]] = {}  # by proxy
        self.wrong: list[str] = []
        self.revived = 0
        self.matching_ends = 0
        for row in in_order(rows, ("list", "held", "stream")):
            self.take(row)
        self.controllers = {}
        for row in in_order(rows, ("stream", "published")):
            if row.kind == "stream":
                self.take_stream(row)
            else:
                self.compare_end(row)

    def take(self, row: Row) -> None:
        """Follow one row."""
        if row.kind == "stream":
            self.take_stream(row)
        elif row.kind == "held":
            self.take_held(row)
        else:
            self.removals.take(row)

    def take_stream(self, row: Row) -> None:
        """A proxy's stream began or ended."""
        self.controllers[row.agent] = row.steward if row.what == "joined" else None

    def take_held(self, row: Row) -> None:
        """A proxy has applied a delta."""
        self.held[row.agent] = row
        if not row.sound:
            self.wrong.append(f"{row.agent}'s memory does not fit {row.epoch}.{row.serial}")
        # On a stream that it gave up, what a cut link held up comes all at once, the removal last.
        if self.controllers.get(row.agent, row.steward) != row.steward:
            return
        late = {
            address: self.removals.late(row.steward, address, row.at) for address in row.addresses
        }
        self.revived += sum(past > 0 for past in late.values())
        self.wrong += [
            f"{row.agent} was given {address} {past:.2f} s past the grace"
            for address, past in late.items()
            if past
        ]

    def compare_end(self, row: Row) -> None:
        """Judge what a controller published last to a proxy that is still its own."""
        held = self.held.get(row.agent)
        if held is None or self.controllers.get(row.agent) != row.steward:
            return
        if held.digest == row.digest:
            self.matching_ends += 1
            return
        newer = (held.epoch, held.serial) > (row.epoch, row.serial)
        if not newer and row.age >= IN_FLIGHT:
            self.wrong.append(
                f"{row.agent} holds {held.epoch}.{held.serial}, "
                f"not what {row.steward} published as "
                f"{row.epoch}.{row.serial} {row.age:.1f} s before"
            )


def check_published_tables(
    rows: RowsByKind, limits: Limits, knowledge: ControllerKnowledge
) -> Finding:
    """Whether proxies end on what was published and hold no drained endpoint."""
    check = PublishedTablesCheck(rows, limits["drain_grace"], knowledge)
    said = (
        f"{len(rows['held'])} deltas applied, {check.matching_ends} agents end on what was last "
        f"published, {check.revived} hosts revived, {len(rows['pin'])} pins"
    )
    said += "".join(f"; {breach}" for breach in check.wrong[:NAMED_BREACHES])
    return finding("7 tables as published", float(len(check.wrong)), said, len(check.wrong))
