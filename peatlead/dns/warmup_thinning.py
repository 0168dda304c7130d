"""Which endpoints a view's answers may name while endpoints ramp up. No I/O, clock or randomness.

A small weight in a table means a small part of a view's requests. A DNS answer cannot express
that: whoever caches it sends all requests of a resolver to the endpoints that it names, for a
lifetime. A cold endpoint at a tenth of its weight, in a tenth of a busy view's answers, gets all
of that view in one lifetime out of ten, and is overloaded although the average is right. So the
small part is made of views instead of answers: a ramping endpoint is named, at its full weight,
by as many small views as bring on average what the planner meant it to have; none of them alone
brings more than that. The other views do not name it. As its weight grows, more views name it.

A view that has only ramping endpoints names them all: it must name some. Its answers get a
lifetime of 0 (RFC 1035 section 3.2.1: for this transaction only), so that each resolution is a
new draw.

The same coarseness affects warm endpoints: a view that brings a tenth of all requests gives its
two addresses a twentieth each for a lifetime. So a busy view's answers name more endpoints, and
those of a view that brings more than an endpoint's fair part get no lifetime either, because many
clients only use the first address.
"""

from collections.abc import Collection, Iterable, Mapping
from math import ceil, fsum, sqrt
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

RAMPING_FRACTION = 0.999  # of the listed weight: below, the planner holds an endpoint back
MIN_RATE = 0.05  # requests per second that any view counts with, however silent: it may wake up
MAX_SIGMAS = 3.0  # a draw this many standard deviations above the mean ...
MAX_SURGE = 2.5  # ... must stay below this multiple of the planned rate
MAX_FAIR_SHARES_PER_ADDRESS = 0.25  # an address of an answer should carry at most this many
MAX_CACHEABLE_FAIR_SHARES = 1.0  # answers to views with more requests get a TTL of 0
RATE_DECAY = 0.9  # a rate falls to this part of itself at most per round, but rises at once
MIN_FAIR_RATE = 1e-9  # requests per second; avoids a division by 0


class SortableKey(Protocol):
    """A view's key: it is hashable and sorts."""

    def __hash__(self) -> int: ...

    def __lt__(self, other: Any, /) -> bool: ...


ViewKey = TypeVar("ViewKey", bound=SortableKey)

Weights = dict[int, float]  # by endpoint


class AnswerPool(NamedTuple):
    """The endpoints that a view's answers are drawn from."""

    weights: Weights
    cacheable: bool  # whether answers may be cached
    min_addresses: int = 1  # that an answer should have


class Candidate(NamedTuple):
    """A view that could name a ramping endpoint. Candidates sort by rate."""

    rate: float  # requests per second of the view
    view: Any
    fraction: float  # of the view's requests that the endpoint would get at its full weight


class WarmupThinning(Generic[ViewKey]):
    """Decides which endpoints each view's answers name.

    It remembers which views hold which endpoint, so that a change costs only the views affected.
    `rates` holds the requests per second that each view is counted with.
    """

    def __init__(self, rates: Mapping[ViewKey, float]) -> None:
        self.rates = dict(rates)
        self.tables: dict[ViewKey, Weights] = {}  # as the planner ordered them
        self.views_by_endpoint: dict[int, set[ViewKey]] = {}  # views whose table holds an endpoint
        self.pools: dict[ViewKey, AnswerPool] = {}  # as last returned
        self.ramping: set[int] = set()  # endpoints that a table holds below their listed weight
        self.full_weights: Mapping[int, float] = {}  # full weights of endpoints
        self.fair_rate = 0.0  # requests per second of an endpoint's fair part

    def decide(
        self,
        changed: Mapping[ViewKey, Mapping[int, float]],
        full_weights: Mapping[int, float],
        rates: Iterable[tuple[ViewKey, float]] = (),
    ) -> dict[ViewKey, AnswerPool]:
        """Return the new pools of all views whose pool has changed.

        `changed` holds the complete new tables, `full_weights` each endpoint's weight after its
        ramp-up, and `rates` the views' requests per second in the last round.
        """
        self.full_weights = full_weights
        affected_views = set(changed) | self.update_rates(rates)
        self.fair_rate = self.compute_fair_rate()
        for view, table in changed.items():
            self.update_table(view, table)
        ramping = self.find_ramping(affected_views)
        naming_views = {
            endpoint: self.choose_naming_views(endpoint) for endpoint in sorted(ramping)
        }
        for endpoint in ramping | self.ramping:
            affected_views |= self.views_by_endpoint.get(endpoint, set())
        self.ramping = ramping
        updates = {}
        for view in sorted(affected_views):
            pool = self.make_pool(view, naming_views)
            if pool != self.pools.get(view):
                self.pools[view] = pool
                updates[view] = pool
        return updates

    def update_rates(self, rates: Iterable[tuple[ViewKey, float]]) -> set[ViewKey]:
        """Set the views' rates; return the views among them that have a table."""
        affected_views = set()
        for view, rate in rates:
            self.rates[view] = max(MIN_RATE, rate, self.rates.get(view, 0.0) * RATE_DECAY)
            if view in self.tables:
                affected_views.add(view)
        return affected_views

    def compute_fair_rate(self) -> float:
        """Return an endpoint's fair part of all requests, per second."""
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
        """Return the endpoints that some table holds below their listed weight."""
        doubtful = self.ramping.union(*(self.tables[view] for view in affected_views))
        return {endpoint for endpoint in doubtful if self.is_ramping(endpoint)}

    def is_ramping(self, endpoint: int) -> bool:
        """Return whether some table holds the endpoint below its listed weight."""
        full_weight = RAMPING_FRACTION * self.full_weights.get(endpoint, 0.0)
        return any(
            self.tables[view][endpoint] < full_weight
            for view in self.views_by_endpoint.get(endpoint, ())
        )

    def choose_naming_views(self, endpoint: int) -> set[ViewKey]:
        """Return the views that name a ramping endpoint, the smallest first.

        No one of them brings more than the endpoint was meant to have; on average all of them
        together bring that; and a bad draw stays well below what overloads it. The planner keeps
        that at over three times what it means the endpoint to have.
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
        self, view: ViewKey, naming_views: Mapping[int, Collection[ViewKey]]
    ) -> AnswerPool:
        """Return the endpoints that a view's answers are drawn from."""
        table = self.tables[view]
        fair_shares = self.rates.get(view, 1.0) / max(MIN_FAIR_RATE, self.fair_rate)
        min_addresses = min(len(table), ceil(fair_shares / MAX_FAIR_SHARES_PER_ADDRESS))
        if all(endpoint in naming_views for endpoint in table):
            return AnswerPool(dict(table), False, min_addresses)
        weights = {}
        for endpoint, weight in table.items():
            if endpoint not in naming_views:
                weights[endpoint] = weight
            elif view in naming_views[endpoint]:
                weights[endpoint] = self.full_weights.get(endpoint, weight)
        return AnswerPool(weights, fair_shares <= MAX_CACHEABLE_FAIR_SHARES, min_addresses)


def select_within_rate(planned_rate: float, candidates: Iterable[Candidate]) -> set[Any]:
    """Return the first candidates' views whose requests stay within the planned rate."""
    chosen = set()
    mean = 0.0
    variance = 0.0
    for rate, view, fraction in candidates:
        mean += rate * fraction
        variance += rate * rate * fraction * (1 - fraction)
        bad_draw = mean + MAX_SIGMAS * sqrt(variance)
        if rate > planned_rate or mean > planned_rate or bad_draw > MAX_SURGE * planned_rate:
            break
        chosen.add(view)
    return chosen
