"""Why a version was published, in operators' words. No I/O.

The planner's commands say what changes, not why. So the last event of each endpoint is stored:
from the endpoint list, from the planner's log messages and from its ramp. An entry that changes
bears its endpoint's last event as its cause.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple, Optional

from ..interface import EndpointPhase
from .guard import RAMPED_FRACTION

CAUSES_MAX = 6  # of one version; the rest is counted
ASSIGNED_CAUSE = "put on its table"
PHASE_EVENTS = {
    EndpointPhase.READY.value: "listed",
    EndpointPhase.DRAINING.value: "drains",
    EndpointPhase.GONE.value: "is gone",
}

Operation = tuple[Any, ...]  # its OperationKind, then what it changes
Operations = Mapping[Operation, Any]


class OperationKind(StrEnum):
    """The first component of an operation in a channel's message."""

    WITHDRAWN = "withdrawn"  # of an endpoint, for all tables
    LINE = "line"  # an endpoint's weight in a table
    LEVEL = "level"  # a request class's admitted fraction and retry policy
    BIND = "bind"  # a request class's table


class EndpointEvent(NamedTuple):
    """An event of one endpoint, in words."""

    endpoint: int
    text: str


class ChangeCauses:
    """The last event of each endpoint, and the causes of changes that follow from them.

    `name_of` returns an endpoint's name, `listed_of` its weight as listed.
    """

    def __init__(self, name_of: Callable[[int], str], listed_of: Callable[[int], float]) -> None:
        self._name_of = name_of
        self._listed_weight = listed_of
        self.last_events: dict[int, str] = {}  # endpoint -> its last event

    def note_phase_changes(
        self, members: Mapping[int, tuple[Optional[str], str]], version: object
    ) -> None:
        """Store changes of phase in a version of the endpoint list: {endpoint: (before, after)}."""
        for endpoint, (before, after) in members.items():
            previous = f" (was {before})" if before else ""
            self.last_events[endpoint] = f"{PHASE_EVENTS[after]}, list {version}{previous}"

    def note_planner_message(self, text: str) -> Optional[EndpointEvent]:
        """Store a log message of the planner, such as `host 3 dropped: sums`.

        Return the event, or None where the message is not about an endpoint.
        """
        subject, *rest = text.split(" ")
        if subject != "host" or len(rest) < 2 or not rest[0].isdigit():
            return None
        event = EndpointEvent(int(rest[0]), " ".join(rest[1:]))
        self.last_events[event.endpoint] = event.text
        return event

    def causes_of(self, ops: Operations) -> tuple[str, ...]:
        """Return the causes of a message's operations, the most frequent first."""
        if any(operation[0] == OperationKind.BIND for operation in ops):
            return (ASSIGNED_CAUSE,)  # a whole table: its entries are no changes of their own
        counts: dict[str, int] = {}
        for operation, value in ops.items():
            cause = self._cause_of(operation, value)
            if cause is not None:
                counts[cause] = counts.get(cause, 0) + 1
        ranked = sorted(counts, key=lambda cause: (-counts[cause], cause))
        surplus = len(ranked) - CAUSES_MAX
        if surplus > 0:
            return (*ranked[:CAUSES_MAX], f"and {surplus} more")
        return tuple(ranked)

    def _cause_of(self, operation: Operation, value: Any) -> Optional[str]:
        """Return the cause of one operation, or None where it is no change of its own."""
        kind = operation[0]
        if kind == OperationKind.WITHDRAWN:
            endpoint = operation[1]
            default = "withdrawn" if value else "let in again"
            return f"{self._name_of(endpoint)} {self.last_events.get(endpoint, default)}"
        if kind == OperationKind.LINE:
            return self._cause_of_weight(operation[2], value)
        if kind == OperationKind.LEVEL:
            admitted, retry_policy = value[0], value[1]
            return f"level {admitted:.2f}, second tries {retry_policy}"
        return None

    def _cause_of_weight(self, endpoint: int, weight: Optional[float]) -> str:
        name = self._name_of(endpoint)
        listed = self._listed_weight(endpoint)
        if weight and listed and weight < listed * RAMPED_FRACTION:
            return f"{name} ramps, {weight / listed:.2f} of its weight"
        event = self.last_events.get(endpoint) or ("in" if weight else "out")
        return f"{name} {event}"
