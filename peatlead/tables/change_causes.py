"""Causes of published versions, in words for operators. No I/O.

The planner's commands contain what changes, but not why. Therefore the last event of each endpoint
is stored, from the endpoint list or from the planner's log messages. If the weight of an entry is
below the listed weight, the cause of its change is the endpoint's ramp. Otherwise the cause is the
last event of the endpoint.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple, Optional

from ..interface import EndpointPhase
from .guard import RAMPED_FRACTION

CAUSES_MAX = 6  # causes per version; further causes are only counted
ASSIGNED_CAUSE = "put on its table"
PHASE_EVENTS = {
    EndpointPhase.READY.value: "listed",
    EndpointPhase.DRAINING.value: "drains",
    EndpointPhase.GONE.value: "is gone",
}

Operation = tuple[Any, ...]  # an `OperationKind`, then the numbers of the changed objects
Operations = Mapping[Operation, Any]  # operation -> new value


class OperationKind(StrEnum):
    """The kind of an operation in a message to a proxy: the first component of the operation."""

    WITHDRAWAL = "withdrawn"  # ejects an endpoint from all tables, or restores it
    WEIGHT = "line"  # sets the weight of an endpoint in a table
    ADMISSION = "level"  # sets the admitted fraction and retry policy of a request class
    ASSIGNMENT = "bind"  # assigns a table to a request class


class EndpointEvent(NamedTuple):
    """An event of one endpoint, in words."""

    endpoint: int
    text: str


class ChangeCauses:
    """Stores the last event of each endpoint, and returns the causes of changes.

    `endpoint_name` returns an endpoint's name, and `listed_weight` its weight in the endpoint list.
    """

    def __init__(
        self, endpoint_name: Callable[[int], str], listed_weight: Callable[[int], float]
    ) -> None:
        self._endpoint_name = endpoint_name
        self._listed_weight = listed_weight
        self.last_events: dict[int, str] = {}  # by endpoint

    def note_phase_changes(
        self, changes: Mapping[int, tuple[Optional[str], str]], version: object
    ) -> None:
        """Store the phase changes of a list version: endpoint -> (phase before, phase after)."""
        for endpoint, (before, after) in changes.items():
            previous = f" (was {before})" if before else ""
            self.last_events[endpoint] = f"{PHASE_EVENTS[after]}, list {version}{previous}"

    def note_planner_message(self, text: str) -> Optional[EndpointEvent]:
        """Store a log message of the planner, such as `endpoint 3 ejected: high error rate`.

        Return the event (here `ejected: high error rate`), or None if the message is not about an
        endpoint.
        """
        subject, *rest = text.split(" ")
        if subject != "endpoint" or len(rest) < 2 or not rest[0].isdecimal():
            return None
        event = EndpointEvent(int(rest[0]), " ".join(rest[1:]))
        self.last_events[event.endpoint] = event.text
        return event

    def causes_of(self, operations: Operations) -> tuple[str, ...]:
        """Return the causes of a message's operations, the most frequent first."""
        if any(operation[0] == OperationKind.ASSIGNMENT for operation in operations):
            return (ASSIGNED_CAUSE,)  # the entries of a newly assigned table have no other cause
        counts: dict[str, int] = {}
        for operation, value in operations.items():
            cause = self._cause_of(operation, value)
            if cause is not None:
                counts[cause] = counts.get(cause, 0) + 1
        ranked = sorted(counts, key=lambda cause: (-counts[cause], cause))
        surplus = len(ranked) - CAUSES_MAX
        if surplus > 0:
            return (*ranked[:CAUSES_MAX], f"and {surplus} more")
        return tuple(ranked)

    def _cause_of(self, operation: Operation, value: Any) -> Optional[str]:
        """Return the cause of one operation, or None if the operation has no cause of its own."""
        kind = operation[0]
        if kind == OperationKind.WITHDRAWAL:
            endpoint = operation[1]
            default = "withdrawn" if value else "restored"
            return f"{self._endpoint_name(endpoint)} {self.last_events.get(endpoint, default)}"
        if kind == OperationKind.WEIGHT:
            return self._cause_of_weight(operation[2], value)
        if kind == OperationKind.ADMISSION:
            admitted_fraction, retry_policy = value[0], value[1]
            return f"admitted fraction {admitted_fraction:.2f}, retry policy {retry_policy}"
        return None

    def _cause_of_weight(self, endpoint: int, weight: Optional[float]) -> str:
        """Return the cause of a changed weight; None or 0 removes the entry."""
        name = self._endpoint_name(endpoint)
        listed_weight = self._listed_weight(endpoint)
        if weight and listed_weight and weight < listed_weight * RAMPED_FRACTION:
            return f"{name} ramps, {weight / listed_weight:.2f} of its weight"
        event = self.last_events.get(endpoint) or ("added" if weight else "removed")
        return f"{name} {event}"
