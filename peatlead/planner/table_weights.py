"""Weights of a table's endpoints, and the balance of cold and warm weight in a table."""

from collections.abc import Iterable, Mapping
from math import fsum

from .endpoint_state import EndpointState
from .input_bounds import DEFAULT_WEIGHT
from .statistics import cold_and_warm_weight

# Warm endpoints are added to a table if at least this fraction of the table's weight is cold.
MAX_COLD_FRACTION = 0.2


def prefix_of_weight(endpoints: list[EndpointState], weight: float) -> list[EndpointState]:
    """Return the shortest non-empty prefix with this published weight, or all endpoints."""
    return [
        endpoint
        for position, endpoint in enumerate(endpoints)
        if position == 0
        or fsum([previous.weight * previous.weight_fraction for previous in endpoints[:position]])
        < weight
    ]


def is_cold_heavy(endpoints: Iterable[EndpointState]) -> bool:
    """Return whether at least `MAX_COLD_FRACTION` of the published weight is cold."""
    cold, warm = cold_and_warm_weight(endpoints)
    return MAX_COLD_FRACTION * (cold + warm) <= cold


def missing_weight(members: list[EndpointState], shard_endpoints: list[EndpointState]) -> float:
    """Return the weight of warm endpoints to add to a table with too much cold weight.

    With the added weight, the table has at least the weight of the whole shard, and its cold
    endpoints have at most `MAX_COLD_FRACTION` of the table's weight.
    """
    cold, warm = cold_and_warm_weight(members)
    shard_weight = fsum([endpoint.weight for endpoint in shard_endpoints])
    return max(shard_weight, cold / MAX_COLD_FRACTION) - fsum((cold, warm))


def published_weights(
    members: Iterable[EndpointState], fractions: Mapping[int, float]
) -> dict[int, float]:
    """Return the weight of each member with a weight above 0, by endpoint id.

    `fractions` has the published fraction of the listed weight for those members, by id, that do
    not have their own. An entry with weight 0 would be a removal, so the table is not left without
    entries: if all published weights are 0, the listed weights are used, and equal weights if these
    are 0 too.
    """
    members = list(members)
    published = {
        endpoint.id: endpoint.weight * fractions.get(endpoint.id, endpoint.weight_fraction)
        for endpoint in members
    }
    published = {endpoint: weight for endpoint, weight in published.items() if weight}
    if published:
        return published
    listed = {endpoint.id: endpoint.weight for endpoint in members if endpoint.weight}
    return listed or {endpoint.id: DEFAULT_WEIGHT for endpoint in members}
