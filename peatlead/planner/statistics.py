"""Medians and weights that endpoints are compared by."""

from collections.abc import Iterable, Sequence
from math import fsum
from typing import Optional, Protocol


class WeightedEndpoint(Protocol):
    """What `cold_and_warm_weight` reads of an endpoint."""

    weight: float
    weight_fraction: float  # of the weight, 0 to 1, that a warming endpoint gets
    cold_since: Optional[float]  # seconds; None once it is warm


def median(values: Sequence[float]) -> float:
    """The upper median; 0 where there are no values.

    Unlike a mean, it isn't moved by a few failing endpoints.
    """
    return sorted(values)[len(values) // 2] if values else 0.0


def weighted_median(counted: Sequence[tuple[float, int]]) -> float:
    """The upper median of (value, count) pairs: that of all values, each repeated `count` times."""
    left = sum(count for _, count in counted) // 2
    for value, count in sorted(counted):
        left -= count
        if left < 0:
            return value
    return 0.0


def cold_and_warm_weight(endpoints: Iterable[WeightedEndpoint]) -> tuple[float, float]:
    """The published weight of the endpoints that still warm up, and that of the warm ones.

    `fsum` rather than `sum`: the rounding of a plain sum differs between Python versions, and all
    controllers must come to the same figure.
    """
    cold: list[float] = []
    warm: list[float] = []
    for endpoint in endpoints:
        side = warm if endpoint.cold_since is None else cold
        side.append(endpoint.weight * endpoint.weight_fraction)
    return fsum(cold), fsum(warm)
