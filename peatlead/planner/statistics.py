"""Medians and weight sums for comparisons between endpoints."""

from collections.abc import Iterable, Sequence
from math import fsum
from typing import Optional, Protocol


class WeightedEndpoint(Protocol):
    """The attributes of an endpoint that `cold_and_warm_weight` reads."""

    weight: float
    weight_fraction: float  # published fraction of the weight, 0 to 1
    cold_since: Optional[float]  # seconds; None if the endpoint is warm


def median(values: Sequence[float]) -> float:
    """Return the upper median, or 0 if there are no values.

    Unlike a mean, a median is not affected by a few failing endpoints.
    """
    return sorted(values)[len(values) // 2] if values else 0.0


def weighted_median(values_and_counts: Sequence[tuple[float, int]]) -> float:
    """Return the upper median of (value, count) pairs.

    The result equals the upper median of all values, each repeated `count` times, or 0 if there are
    none.
    """
    remaining = sum(count for _, count in values_and_counts) // 2
    for value, count in sorted(values_and_counts):
        remaining -= count
        if remaining < 0:
            return value
    return 0.0


def cold_and_warm_weight(endpoints: Iterable[WeightedEndpoint]) -> tuple[float, float]:
    """Return the total published weights of the cold and of the warm endpoints.

    The sums are computed by `fsum` because the rounding of `sum` differs between Python versions,
    and all controllers must obtain the same value.
    """
    cold: list[float] = []
    warm: list[float] = []
    for endpoint in endpoints:
        weights = warm if endpoint.cold_since is None else cold
        weights.append(endpoint.weight * endpoint.weight_fraction)
    return fsum(cold), fsum(warm)
