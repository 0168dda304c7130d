"""The schedule by which endpoints are processed: in every tick, or at a later time.

Processing every endpoint in every tick would take most of the planner's time in a large fleet.
Endpoints that ramp, are ejected or are relieved are processed in every tick. Any other endpoint is
processed only when its next health check is due.
"""

from .context import PlannerContext
from .deadline_queue import DeadlineQueue
from .endpoint_state import EndpointState


class EndpointSchedule:
    """The endpoints to process in every tick, and the times at which to process the others."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        self.active: dict[int, EndpointState] = {}  # by id: endpoints to process in every tick
        self.deadlines = DeadlineQueue()  # endpoint ids by the time of the next health check

    def activate(self, endpoint: EndpointState) -> None:
        """Process the endpoint in every tick."""
        self.active[endpoint.id] = endpoint

    def deactivate(self, endpoint: EndpointState) -> None:
        """Process the endpoint only when one of its deadlines is due."""
        self.active.pop(endpoint.id, None)

    def add_deadline(self, time: float, endpoint: EndpointState) -> None:
        """Process the endpoint at `time`, in seconds."""
        self.deadlines.push(time, endpoint.id)

    def take_due(self) -> list[EndpointState]:
        """Return the endpoints to process now, each once.

        Active endpoints come first, then endpoints with due deadlines.
        """
        endpoints = self.context.endpoints
        due = {**self.active, **dict.fromkeys(self.deadlines.pop_due(self.context.now))}
        return [endpoints[number] for number in due if number in endpoints]
