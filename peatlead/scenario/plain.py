"""The baseline planner: every listed endpoint in every answer, without health checks or shards."""

from collections.abc import Iterable
from typing import Any

from ..interface import (
    AssignTable,
    Command,
    EndpointUpdate,
    Event,
    ProxyConnected,
    SetEntry,
    SetTimer,
    TimerFired,
)

TABLE = 0  # the only one
TICK_TIMER = 0
TICK = 0.1  # seconds


class PlainPlanner:
    """A planner that gives all ready endpoints to all proxies, at their listed weights, at once."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        self.request_classes = tuple(range(len(settings["req_kinds"])))
        self.weights: dict[int, float] = {}  # by endpoint, as the table has them
        self.started = False  # whether the first batch has set the timer

    def decide(self, now: float, events: Iterable[Event]) -> list[Command]:
        """The commands that follow from a batch of events."""
        commands: list[Command] = []
        for event in events:
            if type(event) is EndpointUpdate and event.scope != "unavailable":
                commands += self._update_table(event)
            elif type(event) is ProxyConnected:
                commands.append(AssignTable(event.proxy, TABLE, self.request_classes))
            elif type(event) is TimerFired:
                commands.append(SetTimer(TICK_TIMER, TICK))
        if not self.started:
            self.started = True
            commands.append(SetTimer(TICK_TIMER, TICK))
        return commands

    def _update_table(self, update: EndpointUpdate) -> list[Command]:
        """The entries that differ between the table and the endpoint list."""
        listed = {
            endpoint.id: endpoint.weight
            for endpoint in update.endpoints
            if endpoint.phase == "ready"
        }
        changes: list[Command] = [
            SetEntry(TABLE, endpoint, listed.get(endpoint, 0.0))
            for endpoint in sorted(self.weights.keys() | listed.keys())
            if listed.get(endpoint) != self.weights.get(endpoint)
        ]
        self.weights = listed
        return changes
