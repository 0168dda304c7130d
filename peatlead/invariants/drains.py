"""Rule 3: no request is sent to an endpoint that left the list longer ago than the drain grace."""

from collections import defaultdict

from .controller_knowledge import ABSENCE_EVENTS, RETURN_EVENTS, ControllerKnowledge
from .findings import (
    DRAIN_BOUND_RESOLVERS,
    MAX_LISTED_BREACHES,
    Finding,
    Limits,
    RowsByKind,
    make_finding,
    readable_lists,
    rows_by_time,
)
from .record import Row

PROXY_RESOLVER = "agent"  # resolver kind in the rows of proxies


class ProxyConnections:
    """Follows the proxies' connections to controllers, and which controllers run."""

    def __init__(self) -> None:
        self.controllers: dict[str, str] = {}  # by proxy
        self.connected_at: dict[str, float] = {}  # by proxy
        self.absent_controllers: set[str] = set()  # killed or frozen

    def process_row(self, row: Row) -> None:
        """Apply a row about a stream or a controller."""
        if row.kind == "stream":
            self.process_stream(row)
        elif row.what in ABSENCE_EVENTS:
            self.absent_controllers.add(row.steward)
        elif row.what in RETURN_EVENTS:
            self.absent_controllers.discard(row.steward)
            for proxy, controller in self.controllers.items():
                if controller == row.steward:
                    self.connected_at[proxy] = row.at

    def process_stream(self, row: Row) -> None:
        """Apply the start or the end of a proxy's stream."""
        if row.what == "joined":
            self.controllers[row.agent] = row.steward
            self.connected_at[row.agent] = row.at
        elif self.controllers.get(row.agent) == row.steward:
            del self.controllers[row.agent]

    def connected_since(self, proxy: str, now: float) -> float:
        """Return when a proxy was connected to its running controller, or `now` if it has none."""
        controller = self.controllers.get(proxy)
        if controller is None or controller in self.absent_controllers:
            return now
        return self.connected_at[proxy]


class DrainCheck:
    """Compares the time of each attempt with the time at which its endpoint left the list."""

    def __init__(self, rows: RowsByKind, grace: float, knowledge: ControllerKnowledge) -> None:
        self.grace = grace  # seconds
        self.knowledge = knowledge
        self.connections = ProxyConnections()
        self.removed_at: dict[str, float] = {}  # start of the drain or removal, by address
        self.newest_version = 0
        self.max_grace_fraction = 0.0  # longest time from a removal to an attempt, / grace
        self.breaches: list[str] = []
        self.late_sends: defaultdict[str, dict[str, float]] = defaultdict(
            lambda: {"sends": 0, "after grace": 0, "worst": 0.0}
        )
        self.readable_list_ids = {id(row) for row in readable_lists(rows["list"])}
        for row in rows_by_time(rows, ("list", "try", "stream", "steward")):
            self.process_row(row)

    def process_row(self, row: Row) -> None:
        """Dispatch a row by its kind."""
        if row.kind in ("stream", "steward"):
            self.connections.process_row(row)
        elif row.kind == "list":
            self.process_list(row)
        elif row.outcome == "sent":
            self.process_attempt(row)

    def process_list(self, row: Row) -> None:
        """Update the removal times; lists older than the newest are ignored.

        An incorrect list does not start a drain, but an endpoint that it shows as ready is no
        longer removed.
        """
        if row.version < self.newest_version:
            return
        self.newest_version = row.version
        for address, phase, _ in row.hosts.values():
            if phase == "ready":
                self.removed_at.pop(address, None)
            elif id(row) in self.readable_list_ids:
                self.removed_at.setdefault(address, row.at)

    def process_attempt(self, row: Row) -> None:
        """Compare an attempt that was sent with the removal of its endpoint."""
        removed_at = self.removed_at.get(row.address, row.at)
        elapsed = row.at - removed_at
        counts = self.late_sends[row.resolver]
        counts["sends"] += 1
        counts["worst"] = max(counts["worst"], elapsed - self.grace if elapsed else 0.0)
        counts["after grace"] += elapsed > self.grace
        if row.resolver == PROXY_RESOLVER:  # the rule applies to a proxy only while it is connected
            elapsed = min(elapsed, row.at - self.connections.connected_since(row.view, row.at))
        elif elapsed > self.grace and not self.knowledge.any_could_know(removed_at, row.at):
            return  # no running controller could know of the drain
        if row.resolver in DRAIN_BOUND_RESOLVERS:
            self.max_grace_fraction = max(self.max_grace_fraction, elapsed / self.grace)
            if elapsed > self.grace:
                self.breaches.append(f"{row.address} {elapsed:.2f} s ({row.view}, {row.habit})")


def check_drains(
    rows: RowsByKind, limits: Limits, knowledge: ControllerKnowledge
) -> tuple[Finding, dict[str, dict[str, float]]]:
    """Return the finding for the drain rule, and counts of late sends by resolver kind."""
    grace = limits["drain_grace"]
    check = DrainCheck(rows, grace, knowledge)
    summary = f"latest send {check.max_grace_fraction * grace:.2f} s after a drain, grace {grace} s"
    if check.breaches:
        summary += ": " + ", ".join(check.breaches[:MAX_LISTED_BREACHES])
    drain_finding = make_finding(
        "3 drains kept", check.max_grace_fraction, summary, len(check.breaches)
    )
    return drain_finding, dict(check.late_sends)
