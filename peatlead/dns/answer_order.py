"""The order of the endpoints in DNS answers. No I/O, no clock; randomness is passed in.

Smooth weighted round robin selects the first endpoint of each answer, so that the first endpoints
match the weights in every short run of answers. The count of each endpoint stays within one of its
share of the answers, while the deviation of independent random draws grows with the square root of
their number. The difference matters because resolvers cache answers: a controller gives few answers
per TTL, and each answer determines where all clients of a resolver send their requests.
"""

from collections.abc import Mapping
from math import fsum

MAX_SRV_WEIGHT = 1000  # of the endpoint with the largest weight; SRV weights have 16 bits


class AnswerRotation:
    """Selects endpoints by smooth weighted round robin.

    `weights` maps endpoints to weights above 0. `start`, a random number from 0 to 1, sets the
    initial credits, so that views with the same table start with different endpoints.
    """

    def __init__(self, weights: Mapping[int, float], start: float) -> None:
        self.endpoints = sorted(weights)
        self.weights = [weights[endpoint] for endpoint in self.endpoints]
        self.total = fsum(self.weights)
        self.credits = self.initial_credits(start * self.total)

    def initial_credits(self, offset: float) -> list[float]:
        """Return initial credits from 0 to each endpoint's weight, staggered over the endpoints."""
        initial = []
        preceding = 0.0  # sum of the weights of the preceding endpoints
        for weight in self.weights:
            position = (preceding + weight / 2 + offset) % self.total
            initial.append(position / self.total * weight)
            preceding += weight
        return initial

    def pick(self) -> int:
        """Return the endpoint with the most credit, and charge it for this pick."""
        credits = self.credits
        best = 0
        for index, weight in enumerate(self.weights):
            credits[index] += weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= self.total
        return self.endpoints[best]


def draw_orders(
    weights: Mapping[int, float], max_endpoints: int, length: int, start: float
) -> list[tuple[int, ...]]:
    """Return `length` answers, each a tuple of up to `max_endpoints` different endpoints.

    The first endpoint of an answer is the rotation's next pick, and the following picks come after
    it. So clients that fall back to the second address are distributed by weight too.
    """
    if not weights:
        return []
    rotation = AnswerRotation(weights, start)
    size = min(max_endpoints, len(weights))
    picks = [rotation.pick() for _ in range(length)]
    return [draw_order(rotation, picks, first, size) for first in range(length)]


def draw_order(
    rotation: AnswerRotation, picks: list[int], first: int, size: int
) -> tuple[int, ...]:
    """Return the first `size` different endpoints among the picks, starting at index `first`.

    If there are fewer among the picks, other endpoints of the rotation are appended.
    """
    length = len(picks)
    chosen = [picks[first]]
    index = first + 1
    while len(chosen) < size and index < first + length:
        endpoint = picks[index % length]
        if endpoint not in chosen:
            chosen.append(endpoint)
        index += 1
    for endpoint in rotation.endpoints if len(chosen) < size else ():
        if endpoint not in chosen and len(chosen) < size:
            chosen.append(endpoint)
    return tuple(chosen)


def srv_weights(weights: Mapping[int, float]) -> dict[int, int]:
    """Return 16-bit SRV weights (RFC 2782) in proportion to the weights.

    The smallest SRV weight is 1, because clients hardly ever choose a target of weight 0.
    """
    max_weight = max(weights.values(), default=0.0)
    if not max_weight:
        return {}
    return {
        endpoint: max(1, round(weight / max_weight * MAX_SRV_WEIGHT))
        for endpoint, weight in weights.items()
    }
