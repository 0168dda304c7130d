"""Which endpoints time alone changes: at the next tick, or at a due time.

A tick that looked at every endpoint would cost a large fleet most of the planner's time. Endpoints
that ramp, are ejected or relieved are looked at with every tick; of the others only the next health
check is due by time.
"""

from .context import PlannerContext
from .deadline_queue import DeadlineQueue
from .endpoint_state import EndpointState


class EndpointSchedule:
    """The endpoints to be looked at, and when."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        self.active: dict[int, EndpointState] = {}  # by id: those of every tick
        self.deadlines = DeadlineQueue()  # ids by the next health check's time

    def activate(self, endpoint: EndpointState) -> None:
        """Look at it with every tick."""
        self.active[endpoint.id] = endpoint

    def deactivate(self, endpoint: EndpointState) -> None:
        """Look at it only when a deadline comes."""
        self.active.pop(endpoint.id, None)

    def at(self, time: float, endpoint: EndpointState) -> None:
        """Look at it at a time, in seconds."""
        self.deadlines.push(time, endpoint.id)

    def take_due(self) -> list[EndpointState]:
        """The endpoints to look at now, each once: those of every tick, then by deadline."""
        endpoints = self.context.endpoints
        due = {**self.active, **dict.fromkeys(self.deadlines.take(self.context.now))}
        return [endpoints[number] for number in due if number in endpoints]
