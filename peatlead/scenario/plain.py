"""The baseline planner: all ready endpoints in every answer, without health checks or shards."""

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

TABLE = 0  # number of the only table
TICK_TIMER = 0  # timer number
TICK_INTERVAL = 0.1  # seconds


class PlainPlanner:
    """Assigns all ready endpoints to all proxies, with their listed weights and without delay."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        self.request_classes = tuple(range(len(settings["req_kinds"])))
        self.weights: dict[int, float] = {}  # in the table, by endpoint
        self.timer_started = False

    def decide(self, now: float, events: Iterable[Event]) -> list[Command]:
        """Return the commands that follow from a batch of events."""
        commands: list[Command] = []
        for event in events:
            if type(event) is EndpointUpdate and event.scope != "unavailable":
                commands += self._update_table(event)
            elif type(event) is ProxyConnected:
                commands.append(AssignTable(event.proxy, TABLE, self.request_classes))
            elif type(event) is TimerFired:
                commands.append(SetTimer(TICK_TIMER, TICK_INTERVAL))
        if not self.timer_started:
            self.timer_started = True
            commands.append(SetTimer(TICK_TIMER, TICK_INTERVAL))
        return commands

    def _update_table(self, update: EndpointUpdate) -> list[Command]:
        """Return commands that make the table equal to the endpoint list."""
        ready_weights = {
            endpoint.id: endpoint.weight
            for endpoint in update.endpoints
            if endpoint.phase == "ready"
        }
        changes: list[Command] = [
            SetEntry(TABLE, endpoint, ready_weights.get(endpoint, 0.0))
            for endpoint in sorted(self.weights.keys() | ready_weights.keys())
            if ready_weights.get(endpoint) != self.weights.get(endpoint)
        ]
        self.weights = ready_weights
        return changes
