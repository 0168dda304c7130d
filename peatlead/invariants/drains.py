"""Rule 3: nothing is sent to an endpoint past the grace after it was listed as draining or gone."""

from collections import defaultdict

from .controller_knowledge import AWAY, BACK, ControllerKnowledge
from .findings import (
    NAMED_BREACHES,
    STALE_RESOLVERS,
    Finding,
    Limits,
    RowsByKind,
    finding,
    in_order,
    readable_lists,
)
from .record import Row

PROXY = "agent"  # the kind of receiver that stands for a proxy's table


class ProxyConnections:
    """Since when each proxy has been connected to a controller that runs."""

    def __init__(self) -> None:
        self.controllers: dict[str, str] = {}  # by proxy
        self.connected_at: dict[str, float] = {}  # by proxy
        self.away: set[str] = set()  # controllers

    def take(self, row: Row) -> None:
        """Follow a row on a stream or a controller."""
        if row.kind == "stream":
            self.take_stream(row)
        elif row.what in AWAY:
            self.away.add(row.steward)
        elif row.what in BACK:
            self.away.discard(row.steward)
            for proxy, controller in self.controllers.items():
                if controller == row.steward:
                    self.connected_at[proxy] = row.at

    def take_stream(self, row: Row) -> None:
        """A proxy's stream began or ended."""
        if row.what == "joined":
            self.controllers[row.agent] = row.steward
            self.connected_at[row.agent] = row.at
        elif self.controllers.get(row.agent) == row.steward:
            del self.controllers[row.agent]

    def since(self, proxy: str, now: float) -> float:
        """Since when it has been connected; `now` where no running controller has it."""
        controller = self.controllers.get(proxy)
        if controller is None or controller in self.away:
            return now
        return self.connected_at[proxy]


class DrainCheck:
    """Measures every attempt against the moment at which the list took its endpoint out."""

    def __init__(self, rows: RowsByKind, grace: float, knowledge: ControllerKnowledge) -> None:
        self.grace = grace  # seconds
        self.knowledge = knowledge
        self.connections = ProxyConnections()
        self.removed_at: dict[str, float] = {}  # by address
        self.newest_list = 0
        self.worst = 0.0  # part of the grace
        self.breaches: list[str] = []
        self.late_sends: defaultdict[str, dict[str, float]] = defaultdict(
            lambda: {"sends": 0, "after grace": 0, "worst": 0.0}
        )
        self.readable = {id(row) for row in readable_lists(rows["list"])}
        for row in in_order(rows, ("list", "try", "stream", "steward")):
            self.take(row)

    def take(self, row: Row) -> None:
        """Follow one row."""
        if row.kind in ("stream", "steward"):
            self.connections.take(row)
        elif row.kind == "list":
            self.take_list(row)
        elif row.outcome == "sent":
            self.take_attempt(row)

    def take_list(self, row: Row) -> None:
        """An older list than the newest is not taken; a wrong one still restores endpoints."""
        if row.version < self.newest_list:
            return
        self.newest_list = row.version
        for address, phase, _ in row.hosts.values():
            if phase == "ready":
                self.removed_at.pop(address, None)
            elif id(row) in self.readable:
                self.removed_at.setdefault(address, row.at)

    def take_attempt(self, row: Row) -> None:
        """A request was sent to an endpoint."""
        removed_at = self.removed_at.get(row.address, row.at)
        past = row.at - removed_at
        counts = self.late_sends[row.resolver]
        counts["sends"] += 1
        counts["worst"] = max(counts["worst"], past - self.grace if past else 0.0)
        counts["after grace"] += past > self.grace
        if row.resolver == PROXY:  # the rule binds proxies while they are connected
            past = min(past, row.at - self.connections.since(row.view, row.at))
        elif past > self.grace and not self.knowledge.any_knew(removed_at, row.at):
            return  # lab seeds 41001, 50050: frozen through the drain, then shown a wrong list
        if row.resolver in STALE_RESOLVERS:
            self.worst = max(self.worst, past / self.grace)
            if past > self.grace:
                self.breaches.append(f"{row.address} {past:.2f} s ({row.view}, {row.habit})")


def check_drains(
    rows: RowsByKind, limits: Limits, knowledge: ControllerKnowledge
) -> tuple[Finding, dict[str, dict[str, float]]]:
    """The latest send after a drain, and by kind of resolver the sends past the grace."""
    grace = limits["drain_grace"]
    check = DrainCheck(rows, grace, knowledge)
    said = f"last send {check.worst * grace:.2f} s of {grace} s"
    if check.breaches:
        said += ": " + ", ".join(check.breaches[:NAMED_BREACHES])
    found = finding("3 drains kept", check.worst, said, len(check.breaches))
    return found, dict(check.late_sends)
