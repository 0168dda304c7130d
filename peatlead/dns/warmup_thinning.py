"""Selects the endpoints in each view's answers while endpoints ramp up. No I/O, clock, randomness.

A table can give a ramping endpoint a small weight, but a DNS answer cannot: a resolver caches the
answer and sends all of its clients to the endpoints in it until the TTL ends. If one in ten answers
to a busy view contained a cold endpoint, that endpoint would get all requests of the view in one
TTL out of ten, and would be overloaded although its average is right.

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
MAX_UPPER_RATE = 2.5  # as a multiple of the planned rate
MAX_FAIR_SHARES_PER_ADDRESS = 0.25  # an address of an answer should carry at most this many
MAX_CACHEABLE_FAIR_SHARES = 1.0  # answers to views with more requests get a TTL of 0
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
    fraction: float  # of the view's requests that the endpoint gets at its full weight


class WarmupThinning(Generic[ViewKey]):
    """Selects the endpoints in each view's answers.

    An index of the views by endpoint limits the work of a change to the affected views. `rates`
    holds the initial requests per second of each view.
    """

    def __init__(self, rates: Mapping[ViewKey, float]) -> None:
        self.rates = dict(rates)
        self.tables: dict[ViewKey, Weights] = {}  # as planned
        self.views_by_endpoint: dict[int, set[ViewKey]] = {}  # by tables
        self.pools: dict[ViewKey, AnswerPool] = {}  # as last returned
        self.ramping: set[int] = set()  # endpoints below their full weight in some table
        self.full_weights: Mapping[int, float] = {}  # by endpoint
        self.fair_rate = 0.0  # requests per second of an endpoint's fair share

    def decide(
        self,
        changed: Mapping[ViewKey, Mapping[int, float]],
        full_weights: Mapping[int, float],
        rates: Iterable[tuple[ViewKey, float]] = (),
    ) -> dict[ViewKey, AnswerPool]:
        """Return the new pool of each view whose pool has changed.

        `changed` holds the complete new tables, `full_weights` each endpoint's weight after its
        ramp-up, and `rates` the views' requests per second in the last round.
        """
        self.full_weights = full_weights
        affected_views = set(changed) | self.update_rates(rates)
        self.fair_rate = self.compute_fair_rate()
        for view, table in changed.items():
            self.update_table(view, table)
        ramping = self.find_ramping(affected_views)
        selected_views = {endpoint: self.select_views(endpoint) for endpoint in sorted(ramping)}
        for endpoint in ramping | self.ramping:
            affected_views |= self.views_by_endpoint.get(endpoint, set())
        self.ramping = ramping
        updates = {}
        for view in sorted(affected_views):
            pool = self.make_pool(view, selected_views)
            if pool != self.pools.get(view):
                self.pools[view] = pool
                updates[view] = pool
        return updates

    def update_rates(self, rates: Iterable[tuple[ViewKey, float]]) -> set[ViewKey]:
        """Update the views' rates; return those of the views that have a table."""
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

    def find_ramping(self, affected_views: Iterable[ViewKey]) -> set[int]:
        """Return the endpoints below their full weight in some table.

        Only the endpoints that were ramping before and those of affected views are checked.
        """
        candidates = self.ramping.union(*(self.tables[view] for view in affected_views))
        return {endpoint for endpoint in candidates if self.is_ramping(endpoint)}

    def is_ramping(self, endpoint: int) -> bool:
        """Return whether the endpoint is below its full weight in some table."""
        ramping_below = RAMPING_FRACTION * self.full_weights.get(endpoint, 0.0)
        return any(
            self.tables[view][endpoint] < ramping_below
            for view in self.views_by_endpoint.get(endpoint, ())
        )

    def select_views(self, endpoint: int) -> set[ViewKey]:
        """Return the views whose answers contain a ramping endpoint.

        Views with few requests are chosen first. Neither the rate of one chosen view nor the mean
        rate that all chosen views send to the endpoint exceeds the planned rate, and the upper rate
        stays below `MAX_UPPER_RATE` times the planned rate. The planner keeps the planned rate
        below a third of the rate that overloads the endpoint.
        """
        planned_rate = 0.0
        candidates = []
        for view in self.views_by_endpoint[endpoint]:
            table = self.tables[view]
            rate = self.rates.get(view, 1.0)
            total = fsum(table.values())
            planned_rate += rate * table[endpoint] / total
            full_weight = self.full_weights.get(endpoint, table[endpoint])
            fraction = full_weight / (total - table[endpoint] + full_weight)
            candidates.append(Candidate(rate, view, fraction))
        return select_within_rate(planned_rate, sorted(candidates))

    def make_pool(
        self, view: ViewKey, selected_views: Mapping[int, Collection[ViewKey]]
    ) -> AnswerPool:
        """Return the endpoints that a view's answers are drawn from."""
        table = self.tables[view]
        fair_shares = self.rates.get(view, 1.0) / max(MIN_FAIR_RATE, self.fair_rate)
        min_addresses = min(len(table), ceil(fair_shares / MAX_FAIR_SHARES_PER_ADDRESS))
        if all(endpoint in selected_views for endpoint in table):
            return AnswerPool(dict(table), False, min_addresses)
        weights = {}
        for endpoint, weight in table.items():
            if endpoint not in selected_views:
                weights[endpoint] = weight
            elif view in selected_views[endpoint]:
                weights[endpoint] = self.full_weights.get(endpoint, weight)
        return AnswerPool(weights, fair_shares <= MAX_CACHEABLE_FAIR_SHARES, min_addresses)


def select_within_rate(planned_rate: float, candidates: Iterable[Candidate]) -> set[Any]:
    """Return the first candidates' views that stay within the limits of a planned rate.

    `candidates` are sorted by rate. See `WarmupThinning.select_views` for the limits.
    """
    chosen = set()
    mean = 0.0
    variance = 0.0
    for rate, view, fraction in candidates:
        mean += rate * fraction
        variance += rate * rate * fraction * (1 - fraction)
        upper_rate = mean + UPPER_RATE_SIGMAS * sqrt(variance)
        if rate > planned_rate or mean > planned_rate or upper_rate > MAX_UPPER_RATE * planned_rate:
            break
        chosen.add(view)
    return chosen
