"""How long the proxies of a failed or draining controller were without a controller."""

from typing import NamedTuple

from .findings import RowsByKind, Takeover, rows_by_time
from .record import Row

FAILURE_EVENTS = ("killed", "frozen", "draining")
RETURN_EVENTS = ("started", "woken")
MIN_UNRESOLVED_WAIT = 5.0  # seconds; shorter waits at the end of the recording are ignored


class PendingTakeover(NamedTuple):
    """Why and since when (in seconds) a proxy is without a controller, and its last controller."""

    cause: str
    since: float
    controller: str


class TakeoverCheck:
    """Follows the connections of proxies and measures takeovers by other controllers."""

    def __init__(self, rows: RowsByKind) -> None:
        self.controllers: dict[str, str] = {}  # by proxy
        self.pending: dict[str, PendingTakeover] = {}  # by proxy
        self.takeovers: list[Takeover] = []
        for row in rows_by_time(rows, ("stream", "steward")):
            if row.kind == "steward":
                self.process_controller_event(row)
            else:
                self.process_stream(row)

    def process_controller_event(self, row: Row) -> None:
        """Apply the failure, the drain or the return of a controller."""
        if row.what in FAILURE_EVENTS:
            for proxy, controller in self.controllers.items():
                if controller == row.steward:
                    self.pending.setdefault(proxy, PendingTakeover(row.what, row.at, row.steward))
        elif row.what in RETURN_EVENTS:
            # These proxies stayed connected, because the controller was frozen only briefly.
            still_connected = [
                proxy
                for proxy, pending in self.pending.items()
                if pending.controller == row.steward == self.controllers.get(proxy)
            ]
            for proxy in still_connected:
                pending = self.pending.pop(proxy)
                self.takeovers.append(Takeover(f"{pending.cause}, stayed", row.at - pending.since))

    def process_stream(self, row: Row) -> None:
        """Apply the start or the end of a proxy's stream."""
        if row.what == "joined":
            self.controllers[row.agent] = row.steward
            if row.agent in self.pending:
                pending = self.pending.pop(row.agent)
                self.takeovers.append(Takeover(pending.cause, row.at - pending.since))
        elif self.controllers.get(row.agent) == row.steward and row.agent not in self.pending:
            self.pending[row.agent] = PendingTakeover("lost", row.at, row.steward)


def find_takeovers(rows: RowsByKind) -> list[Takeover]:
    """Return the takeovers of all proxies; proxies that still wait at the end come last."""
    check = TakeoverCheck(rows)
    end_time = max((row.at for row in rows["stream"]), default=0.0)
    unresolved = [
        Takeover(f"{pending.cause}, never", end_time - pending.since)
        for pending in check.pending.values()
        if end_time - pending.since > MIN_UNRESOLVED_WAIT
    ]
    return check.takeovers + unresolved
