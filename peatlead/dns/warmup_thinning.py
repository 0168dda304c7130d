"""Selects the endpoints in each view's answers while endpoints ramp up. No I/O, clock, randomness.

A table can give a ramping endpoint a small weight, but a DNS answer cannot: a resolver caches the
answer and sends all of its clients to the endpoints in it until the TTL ends. If one in ten answers
to a busy view contained a cold endpoint, that endpoint would get all requests of the view in one
TTL out of ten, and would be overloaded although its average rate is the planned one.

So the rate of a ramping endpoint is set by the number of views that use it. Selected views have the
endpoint in their answers at its full weight; the other views do not have it. Views with few
requests are selected first, until together they bring the rate that the planner assigned to the
endpoint. As its weight grows, more views are selected.

If all endpoints in a view's table are ramping, the answers contain all of them with a TTL of 0
(RFC 1035 section 3.2.1), so that resolvers do not cache the answer and each resolution draws again.

Caching also affects warm endpoints: a view with a tenth of all requests and two addresses in its
answer sends a twentieth of all requests to each address until the TTL ends. So answers to busy
views contain more addresses, and the TTL is 0 if a view has more requests than an endpoint's fair
share, because many clients use only the first address.
"""

from collections.abc import Collection, Iterable, Mapping
from math import ceil, fsum, sqrt
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

RAMPING_FRACTION = 0.999  # an endpoint below this fraction of its full weight is ramping
MIN_RATE = 0.05  # requests per second; also assumed for idle views, which may become active
UPPER_RATE_SIGMAS = 3.0  # standard deviations from the mean rate to the upper rate
MAX_UPPER_RATE = 2.5  # multiple of the planned rate
MAX_FAIR_SHARES_PER_ADDRESS = 0.25  # intended maximum load of each address of an answer
MAX_CACHEABLE_FAIR_SHARES = 1.0  # answers to views with a greater load get a TTL of 0
RATE_DECAY = 0.9  # fraction of a view's rate that remains after a round without requests
MIN_FAIR_RATE = 1e-9  # requests per second; avoids a division by zero


class SortableKey(Protocol):
    """The key of a view: hashable and sortable."""

    def __hash__(self) -> int: ...

    def __lt__(self, other: Any, /) -> bool: ...


ViewKey = TypeVar("ViewKey", bound=SortableKey)

Weights = dict[int, float]  # by endpoint


class AnswerPool(NamedTuple):
    """The endpoints that a view's answers are drawn from."""

    weights: Weights
    cacheable: bool  # whether answers may be cached
    min_addresses: int = 1  # in each answer, if the pool has as many


class Candidate(NamedTuple):
    """A view whose answers could contain a ramping endpoint. Candidates sort by rate."""

    rate: float  # requests per second of the view
    view: Any
    fraction: float  # fraction of the view's requests that the endpoint gets at full weight


class WarmupThinning(Generic[ViewKey]):
    """Selects the endpoints in each view's answers.

    An index of the views by endpoint limits the work of a change to the affected views. `rates`
    holds the initial requests per second of each view.
    """

    def __init__(self, rates: Mapping[ViewKey, float]) -> None:
        self.rates = dict(rates)
        self.tables: dict[ViewKey, Weights] = {}  # as planned
        self.views_by_endpoint: dict[int, set[ViewKey]] = {}  # views with the endpoint in a table
        self.pools: dict[ViewKey, AnswerPool] = {}  # as last returned
        self.ramping_endpoints: set[int] = set()  # endpoints below their full weight in some table
        self.full_weights: Mapping[int, float] = {}  # by endpoint
        self.fair_rate = 0.0  # requests per second of an endpoint's fair share

    def decide(
        self,
        changed_tables: Mapping[ViewKey, Mapping[int, float]],
        full_weights: Mapping[int, float],
        rates: Iterable[tuple[ViewKey, float]] = (),
    ) -> dict[ViewKey, AnswerPool]:
        """Return the new pool of each view whose pool has changed.

        `changed_tables` holds the complete new tables, `full_weights` each endpoint's weight after
        its ramp-up, and `rates` the views' requests per second in the last round.
        """
        self.full_weights = full_weights
        affected_views = set(changed_tables) | self.update_rates(rates)
        self.fair_rate = self.compute_fair_rate()
        for view, table in changed_tables.items():
            self.update_table(view, table)
        ramping_endpoints = self.find_ramping_endpoints(affected_views)
        views_by_ramping_endpoint = {
            endpoint: self.select_views(endpoint) for endpoint in sorted(ramping_endpoints)
        }
        for endpoint in ramping_endpoints | self.ramping_endpoints:
            affected_views |= self.views_by_endpoint.get(endpoint, set())
        self.ramping_endpoints = ramping_endpoints
        changed_pools = {}
        for view in sorted(affected_views):
            pool = self.make_pool(view, views_by_ramping_endpoint)
            if pool != self.pools.get(view):
                self.pools[view] = pool
                changed_pools[view] = pool
        return changed_pools

    def update_rates(self, rates: Iterable[tuple[ViewKey, float]]) -> set[ViewKey]:
        """Update the rates of views; return the updated views that have a table."""
        affected_views = set()
        for view, rate in rates:
            self.rates[view] = max(MIN_RATE, rate, self.rates.get(view, 0.0) * RATE_DECAY)
            if view in self.tables:
                affected_views.add(view)
        return affected_views

    def compute_fair_rate(self) -> float:
        """Return the requests per second of an endpoint's fair share of all requests."""
        endpoint_count = sum(1 for views in self.views_by_endpoint.values() if views)
        return fsum(self.rates.values()) / max(1, endpoint_count)

    def update_table(self, view: ViewKey, table: Mapping[int, float]) -> None:
        """Replace a view's table."""
        for endpoint in self.tables.get(view, {}).keys() - table.keys():
            self.views_by_endpoint[endpoint].discard(view)
        for endpoint in table:
            self.views_by_endpoint.setdefault(endpoint, set()).add(view)
        self.tables[view] = dict(table)

    def find_ramping_endpoints(self, affected_views: Iterable[ViewKey]) -> set[int]:
        """Return the endpoints below their full weight in some table.

        Only the endpoints in tables of affected views and the endpoints that were ramping before
        are checked.
        """
        candidates = self.ramping_endpoints.union(*(self.tables[view] for view in affected_views))
        return {endpoint for endpoint in candidates if self.is_ramping(endpoint)}

    def is_ramping(self, endpoint: int) -> bool:
        """Return whether the endpoint is below its full weight in some table."""
        min_warm_weight = RAMPING_FRACTION * self.full_weights.get(endpoint, 0.0)
        return any(
            self.tables[view][endpoint] < min_warm_weight
            for view in self.views_by_endpoint.get(endpoint, ())
        )

    def select_views(self, endpoint: int) -> set[ViewKey]:
        """Select the views whose answers contain a ramping endpoint.

        Views with few requests are selected first. Neither the rate of one selected view nor the
        mean rate that all selected views send to the endpoint exceeds the planned rate, which is
        the rate that the tables assign to the endpoint. The upper rate, which is
        `UPPER_RATE_SIGMAS` standard deviations above the mean rate, is at most `MAX_UPPER_RATE`
        times the planned rate. The planner keeps the planned rate below a third of the rate that
        overloads the endpoint.
        """
        planned_rate = 0.0
        candidates = []
        for view in self.views_by_endpoint[endpoint]:
            table = self.tables[view]
            rate = self.rates.get(view, 1.0)
            total_weight = fsum(table.values())
            planned_rate += rate * table[endpoint] / total_weight
            full_weight = self.full_weights.get(endpoint, table[endpoint])
            fraction = full_weight / (total_weight - table[endpoint] + full_weight)
            candidates.append(Candidate(rate, view, fraction))
        return select_within_rate(planned_rate, sorted(candidates))

    def make_pool(
        self, view: ViewKey, views_by_ramping_endpoint: Mapping[int, Collection[ViewKey]]
    ) -> AnswerPool:
        """Return the endpoints that a view's answers are drawn from.

        `views_by_ramping_endpoint` has the selected views of each ramping endpoint.
        """
        table = self.tables[view]
        fair_shares = self.rates.get(view, 1.0) / max(MIN_FAIR_RATE, self.fair_rate)
        min_addresses = min(len(table), ceil(fair_shares / MAX_FAIR_SHARES_PER_ADDRESS))
        if all(endpoint in views_by_ramping_endpoint for endpoint in table):
            return AnswerPool(dict(table), False, min_addresses)
        weights = {}
        for endpoint, weight in table.items():
            if endpoint not in views_by_ramping_endpoint:
                weights[endpoint] = weight
            elif view in views_by_ramping_endpoint[endpoint]:
                weights[endpoint] = self.full_weights.get(endpoint, weight)
        return AnswerPool(weights, fair_shares <= MAX_CACHEABLE_FAIR_SHARES, min_addresses)


def select_within_rate(planned_rate: float, candidates: Iterable[Candidate]) -> set[Any]:
    """Return the views of the candidates before the first candidate that exceeds a limit.

    `candidates` are sorted by rate. `WarmupThinning.select_views` explains the limits, which
    depend on the planned rate.
    """
    selected_views = set()
    mean_rate = 0.0
    variance = 0.0
    for rate, view, fraction in candidates:
        mean_rate += rate * fraction
        variance += rate * rate * fraction * (1 - fraction)
        upper_rate = mean_rate + UPPER_RATE_SIGMAS * sqrt(variance)
        if (
            rate > planned_rate
            or mean_rate > planned_rate
            or upper_rate > MAX_UPPER_RATE * planned_rate
        ):
            break
        selected_views.add(view)
    return selected_views
