"""The order of the endpoints in DNS answers. No I/O, no clock; randomness is passed in.

Smooth weighted round robin selects the first endpoint of each answer, so that the first endpoints
match the weights in every short run of answers. The number of answers that start with an endpoint
deviates by less than two from the endpoint's share of the answers, while the deviation of
independent random draws grows with the square root of the number of answers. The difference matters
because resolvers cache answers: a controller gives few answers per TTL, and each answer determines
where all clients of a resolver send their requests.
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
        self.total_weight = fsum(self.weights)
        self.credits = self.initial_credits(start * self.total_weight)

    def initial_credits(self, offset: float) -> list[float]:
        """Return initial credits from 0 to each endpoint's weight, staggered over the endpoints."""
        initial = []
        preceding_weight = 0.0  # of all preceding endpoints together
        for weight in self.weights:
            position = (preceding_weight + weight / 2 + offset) % self.total_weight
            initial.append(position / self.total_weight * weight)
            preceding_weight += weight
        return initial

    def pick(self) -> int:
        """Return the endpoint with the most credit, and charge it for this pick."""
        credits = self.credits
        best_index = 0
        for index, weight in enumerate(self.weights):
            credits[index] += weight
            if credits[index] > credits[best_index]:
                best_index = index
        credits[best_index] -= self.total_weight
        return self.endpoints[best_index]


def draw_orders(
    weights: Mapping[int, float], max_endpoints: int, order_count: int, start: float
) -> list[tuple[int, ...]]:
    """Return `order_count` orders, each a tuple of up to `max_endpoints` different endpoints.

    The first endpoint of an order is the rotation's next pick, and the endpoints of the following
    picks come after it. So clients that fall back to the second address are distributed by weight
    too. `start` is that of `AnswerRotation`.
    """
    if not weights:
        return []
    rotation = AnswerRotation(weights, start)
    endpoint_count = min(max_endpoints, len(weights))
    picks = [rotation.pick() for _ in range(order_count)]
    return [
        draw_order(rotation, picks, start_index, endpoint_count)
        for start_index in range(order_count)
    ]


def draw_order(
    rotation: AnswerRotation, picks: list[int], start_index: int, endpoint_count: int
) -> tuple[int, ...]:
    """Return the first `endpoint_count` different endpoints among the picks from `start_index` on.

    The picks are cyclic. If they have fewer different endpoints, other endpoints of the rotation
    are appended.
    """
    pick_count = len(picks)
    order = [picks[start_index]]
    index = start_index + 1
    while len(order) < endpoint_count and index < start_index + pick_count:
        endpoint = picks[index % pick_count]
        if endpoint not in order:
            order.append(endpoint)
        index += 1
    for endpoint in rotation.endpoints if len(order) < endpoint_count else ():
        if endpoint not in order and len(order) < endpoint_count:
            order.append(endpoint)
    return tuple(order)


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
