"""What a pinned proxy may be given now. No I/O: facts in, a table out.

A table of the past is applied only as far as the present allows. In order:

1. An endpoint that is withdrawn, not listed as ready, or named in no table of the planner is not
   revived.
2. An endpoint that is still ramping gets what the planner's own table for this proxy gives it, and
   never a greater fraction of the table than there: the sum over all proxies is then no more than
   planned.
3. Where less than KEPT_WEIGHT_MIN of the pinned weight is left, too few endpoints would carry a
   proxy's load: the endpoints of the planner's table are added.
4. Where no endpoint that has finished its ramp is left, the planner's table applies as a whole.

`guard` is the only entry point.
"""

from collections.abc import Collection, Mapping
from collections.abc import Set as AbstractSet
from enum import StrEnum
from math import fsum
from typing import NamedTuple, Optional

from ..interface import EndpointPhase

KEPT_WEIGHT_MIN = 0.5  # of the pinned table's weight
RAMPED_FRACTION = 0.999  # of the listed weight: an endpoint with this has finished its ramp

Table = Mapping[int, float]  # endpoint -> weight


class RestrictionReason(StrEnum):
    """Why an endpoint is not as pinned. The values are shown to operators."""

    DRAINING = "drains"
    GONE = "is gone"
    UNLISTED = "is not listed"
    WITHDRAWN = "is withdrawn"
    DROPPED = "is dropped: the planner names it nowhere"
    RAMPING_ELSEWHERE = "still ramps: the planner gives it no part here"
    RAMPING = "still ramps: held to the planner's part"


class GuardContext(NamedTuple):
    """The facts about the present.

    `phases` holds each listed endpoint's phase and `withdrawn` the endpoints that are withdrawn.
    `parts` holds, for endpoints that the planner names at all, the greatest fraction of the listed
    weight that any table gives them.
    """

    phases: Mapping[int, str]
    withdrawn: AbstractSet[int]
    fractions: Mapping[int, float]


class GuardedTable(NamedTuple):
    """A table to publish: its lines, what is not as pinned and why, and what was added."""

    weights: dict[int, float]
    restricted: dict[int, RestrictionReason]
    added: tuple[int, ...]


class _Restored(NamedTuple):
    """What of a pinned table may come back."""

    weights: dict[int, float]
    restricted: dict[int, RestrictionReason]
    ramping: list[int]  # endpoints whose weight the planner's table decides


def guard(pinned: Table, planned: Table, context: GuardContext) -> GuardedTable:
    """Return the table to publish, given the pinned table and what the planner wants now."""
    weights, restricted, ramping = _restore(pinned, planned, context)
    filled: tuple[int, ...] = ()
    if fsum(weights.values()) < KEPT_WEIGHT_MIN * fsum(pinned.values()):
        filled = tuple(
            endpoint for endpoint in planned if endpoint not in weights and endpoint not in ramping
        )
        weights.update((endpoint, planned[endpoint]) for endpoint in filled)
    ramped = {
        endpoint for endpoint in weights if context.fractions.get(endpoint, 1.0) >= RAMPED_FRACTION
    }
    if not ramped:
        added = tuple(endpoint for endpoint in planned if endpoint not in pinned)
        return GuardedTable(dict(planned), restricted, added)
    ramping += [endpoint for endpoint in weights if endpoint not in ramped]
    _limit_ramping(weights, ramping, planned)
    return GuardedTable(weights, restricted, filled)


def _restore(pinned: Table, planned: Table, context: GuardContext) -> _Restored:
    """Split a pinned table into what comes back as it was, what does not, and what still ramps."""
    restored = _Restored({}, {}, [])
    for endpoint, weight in pinned.items():
        reason = _removal_reason(endpoint, planned, context)
        if reason is None:
            restored.weights[endpoint] = weight
        else:
            restored.restricted[endpoint] = reason
        if reason is RestrictionReason.RAMPING:
            restored.ramping.append(endpoint)
    return restored


def _removal_reason(
    endpoint: int, planned: Table, context: GuardContext
) -> Optional[RestrictionReason]:
    """Return why an endpoint may not come back with its pinned weight, or None."""
    phase = context.phases.get(endpoint)
    reason: Optional[RestrictionReason] = None
    if phase == EndpointPhase.DRAINING:
        reason = RestrictionReason.DRAINING
    elif phase == EndpointPhase.GONE:
        reason = RestrictionReason.GONE
    elif phase != EndpointPhase.READY:
        reason = RestrictionReason.UNLISTED
    elif endpoint in context.withdrawn:
        reason = RestrictionReason.WITHDRAWN
    elif endpoint not in context.fractions:
        reason = RestrictionReason.DROPPED
    elif context.fractions[endpoint] < RAMPED_FRACTION:
        here = endpoint in planned
        reason = RestrictionReason.RAMPING if here else RestrictionReason.RAMPING_ELSEWHERE
    return reason


def _limit_ramping(weights: dict[int, float], ramping: Collection[int], planned: Table) -> None:
    """Give ramping endpoints no greater fraction than the planner's table gives them."""
    ramped_now = fsum(weight for endpoint, weight in weights.items() if endpoint not in ramping)
    ramped_planned = fsum(weight for endpoint, weight in planned.items() if endpoint not in ramping)
    # Ramping weights count in the whole too: scaled like the others' sum they keep their fraction.
    scale = 1.0
    if ramped_planned and ramped_now < ramped_planned:
        scale = ramped_now / ramped_planned
    for endpoint in ramping:
        weights[endpoint] = planned[endpoint] * scale
