"""How long proxies of a struck controller were without one."""

from typing import NamedTuple

from .findings import RowsByKind, Takeover, in_order
from .record import Row

STRUCK = ("killed", "frozen", "draining")
BACK = ("started", "woken")
NEVER_AFTER = 5.0  # seconds from which a proxy that waits at the end counts as never taken over


class Waiting(NamedTuple):
    """A proxy without a controller: what happened to which controller, and when."""

    cause: str
    since: float
    controller: str


class TakeoverCheck:
    """Follows which controller each proxy is connected to."""

    def __init__(self, rows: RowsByKind) -> None:
        self.controllers: dict[str, str] = {}  # by proxy
        self.waiting: dict[str, Waiting] = {}  # by proxy
        self.takeovers: list[Takeover] = []
        for row in in_order(rows, ("stream", "steward")):
            if row.kind == "steward":
                self.take_controller(row)
            else:
                self.take_stream(row)

    def take_controller(self, row: Row) -> None:
        """A controller was struck, or is back."""
        if row.what in STRUCK:
            for proxy, controller in self.controllers.items():
                if controller == row.steward:
                    self.waiting.setdefault(proxy, Waiting(row.what, row.at, row.steward))
        elif row.what in BACK:
            # Frozen for so short a time that its proxies never left: no takeover took place.
            stayed = [
                proxy
                for proxy, waiting in self.waiting.items()
                if waiting.controller == row.steward == self.controllers.get(proxy)
            ]
            for proxy in stayed:
                waiting = self.waiting.pop(proxy)
                self.takeovers.append(Takeover(f"{waiting.cause}, stayed", row.at - waiting.since))

    def take_stream(self, row: Row) -> None:
        """A proxy's stream began or ended."""
        if row.what == "joined":
            self.controllers[row.agent] = row.steward
            if row.agent in self.waiting:
                waiting = self.waiting.pop(row.agent)
                self.takeovers.append(Takeover(waiting.cause, row.at - waiting.since))
        elif self.controllers.get(row.agent) == row.steward and row.agent not in self.waiting:
            self.waiting[row.agent] = Waiting("lost", row.at, row.steward)


def find_takeovers(rows: RowsByKind) -> list[Takeover]:
    """One for each proxy of a struck controller; those that still wait at the end come last."""
    check = TakeoverCheck(rows)
    last = max((row.at for row in rows["stream"]), default=0.0)
    never = [
        Takeover(f"{waiting.cause}, never", last - waiting.since)
        for waiting in check.waiting.values()
        if last - waiting.since > NEVER_AFTER
    ]
    return check.takeovers + never
