"""The order in which answers name endpoints. No I/O, no clock; randomness is passed in.

The first addresses follow the weights within every short run of answers, not only on average:
smooth weighted round robin keeps each endpoint's count within one of its share of the answers so
far, while independent draws deviate by the square root of their number. Caches make that matter:
few answers leave a controller in a lifetime, and each one carries all of a resolver's clients.
"""

from collections.abc import Mapping
from math import fsum

MAX_SRV_WEIGHT = 1000  # of the heaviest endpoint; SRV weights have 16 bits


class AnswerRotation:
    """Smooth weighted round robin: an endless order of picks over weighted endpoints.

    `weights` maps endpoints to weights above 0. `start` (0 to 1, random) sets the initial credits,
    so that views with the same table do not all begin with the same endpoint.
    """

    def __init__(self, weights: Mapping[int, float], start: float) -> None:
        self.endpoints = sorted(weights)
        self.weights = [weights[endpoint] for endpoint in self.endpoints]
        self.total = fsum(self.weights)
        self.credits = self.initial_credits(start * self.total)

    def initial_credits(self, offset: float) -> list[float]:
        """Return credits as if the endpoints had last been picked one after the other."""
        initial = []
        before = 0.0  # weights of the endpoints before this one
        for weight in self.weights:
            position = (before + weight / 2 + offset) % self.total
            initial.append(position / self.total * weight)
            before += weight
        return initial

    def pick(self) -> int:
        """Return the endpoint that has waited longest for its share."""
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

    The first endpoint is the rotation's next pick, followed by the picks after it, so that clients
    that go on to their second address are spread by weight as well.
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
    """Return the different endpoints among the picks from `first` on, `size` of them.

    Endpoints too light to be among the picks fill up what is missing.
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
    """Return 16-bit SRV weights (RFC 2782), in proportion to the weights.

    None is 0: clients hardly ever choose a target of weight 0 at all.
    """
    top = max(weights.values(), default=0.0)
    if not top:
        return {}
    return {
        endpoint: max(1, round(weight / top * MAX_SRV_WEIGHT))
        for endpoint, weight in weights.items()
    }
