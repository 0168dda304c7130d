"""Restricts the past table of a pinned proxy to what is safe to publish now. No I/O.

`guard` applies these rules in order:

1. An endpoint is left out if it is withdrawn, not listed as ready, or in no table of the planner.
2. An endpoint that is still ramping gets its weight in the planner's table for this proxy, and at
   most the same fraction of the table's total weight as there. If the endpoint is not in that
   table, it is left out. The load of the endpoint from all proxies therefore stays as planned.
3. If less than KEPT_WEIGHT_FRACTION_MIN of the pinned weight is left, too few endpoints would take
   the proxy's load. The endpoints of the planner's table are added.
4. If no endpoint that has finished its ramp is left, the planner's table is used instead.
"""

from collections.abc import Collection, Mapping
from collections.abc import Set as AbstractSet
from enum import StrEnum
from math import fsum
from typing import NamedTuple, Optional

from ..interface import EndpointPhase

KEPT_WEIGHT_FRACTION_MIN = 0.5  # minimum kept fraction of the pinned table's total weight
# A ramp is finished if at least this fraction of the listed weight is published.
RAMPED_FRACTION = 0.999

Table = Mapping[int, float]  # endpoint -> weight


class RestrictionReason(StrEnum):
    """Why an endpoint does not get its pinned weight. The values are shown to operators."""

    DRAINING = "drains"
    GONE = "is gone"
    UNLISTED = "is not listed"
    WITHDRAWN = "is withdrawn"
    DROPPED = "is dropped: the planner names it nowhere"
    RAMPING_ELSEWHERE = "still ramps: the planner gives it no part here"
    RAMPING = "still ramps: held to the planner's part"


class GuardContext(NamedTuple):
    """The current state of all endpoints.

    `weight_fractions` has the endpoints that are in any table of the planner. An endpoint's
    fraction is its greatest weight in these tables, divided by its listed weight.
    """

    phases: Mapping[int, str]  # endpoint -> `EndpointPhase`, of listed endpoints
    withdrawn: AbstractSet[int]  # withdrawn endpoints
    weight_fractions: Mapping[int, float]  # endpoint -> fraction


class GuardedTable(NamedTuple):
    """A table to publish.

    `restricted` has the endpoints that do not get their pinned weight, with the reasons. `added`
    has the endpoints that were added from the planner's table.
    """

    weights: dict[int, float]
    restricted: dict[int, RestrictionReason]
    added: tuple[int, ...]


class _PermittedTable(NamedTuple):
    """The part of a pinned table that may be published."""

    weights: dict[int, float]
    restricted: dict[int, RestrictionReason]
    ramping: list[int]  # endpoints that get their weight from the planner's table


def guard(pinned: Table, planned: Table, context: GuardContext) -> GuardedTable:
    """Return the table to publish.

    `pinned` is the past table of the pin, `planned` the current table of the planner.
    """
    weights, restricted, ramping = _apply_restrictions(pinned, planned, context)
    added: tuple[int, ...] = ()
    if fsum(weights.values()) < KEPT_WEIGHT_FRACTION_MIN * fsum(pinned.values()):
        added = tuple(
            endpoint for endpoint in planned if endpoint not in weights and endpoint not in ramping
        )
        weights.update((endpoint, planned[endpoint]) for endpoint in added)
    ramped = {
        endpoint
        for endpoint in weights
        if context.weight_fractions.get(endpoint, 1.0) >= RAMPED_FRACTION
    }
    if not ramped:
        unpinned = tuple(endpoint for endpoint in planned if endpoint not in pinned)
        return GuardedTable(dict(planned), restricted, unpinned)
    ramping += [endpoint for endpoint in weights if endpoint not in ramped]
    _set_ramping_weights(weights, ramping, planned)
    return GuardedTable(weights, restricted, added)


def _apply_restrictions(pinned: Table, planned: Table, context: GuardContext) -> _PermittedTable:
    """Apply the rules 1 and 2 to the pinned table, without the weights of ramping endpoints."""
    permitted = _PermittedTable({}, {}, [])
    for endpoint, weight in pinned.items():
        reason = _restriction_reason(endpoint, planned, context)
        if reason is None:
            permitted.weights[endpoint] = weight
        else:
            permitted.restricted[endpoint] = reason
        if reason is RestrictionReason.RAMPING:
            permitted.ramping.append(endpoint)
    return permitted


def _restriction_reason(
    endpoint: int, planned: Table, context: GuardContext
) -> Optional[RestrictionReason]:
    """Return why an endpoint may not get its pinned weight, or None if it may."""
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
    elif endpoint not in context.weight_fractions:
        reason = RestrictionReason.DROPPED
    elif context.weight_fractions[endpoint] < RAMPED_FRACTION:
        is_planned = endpoint in planned
        reason = RestrictionReason.RAMPING if is_planned else RestrictionReason.RAMPING_ELSEWHERE
    return reason


def _set_ramping_weights(
    weights: dict[int, float], ramping: Collection[int], planned: Table
) -> None:
    """Set the weights of ramping endpoints, limited to their fraction of the planner's table."""
    ramped_weight = fsum(weight for endpoint, weight in weights.items() if endpoint not in ramping)
    planned_ramped_weight = fsum(
        weight for endpoint, weight in planned.items() if endpoint not in ramping
    )
    # The planned weights of ramping endpoints are scaled down by as much as the other weights are
    # smaller than planned, so that they keep their fraction of the table.
    scale = 1.0
    if planned_ramped_weight and ramped_weight < planned_ramped_weight:
        scale = ramped_weight / planned_ramped_weight
    for endpoint in ramping:
        weights[endpoint] = planned[endpoint] * scale
