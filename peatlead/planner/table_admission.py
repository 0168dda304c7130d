"""Limits the requests of tables whose cold endpoints would otherwise be overloaded.

A weight only divides a table's requests among its endpoints. If all endpoints of a table are cold,
their low weights limit nothing, and the endpoints get all requests of the proxy. Such a table is
therefore given its own admitted fraction: what its endpoints can serve in their present state,
which grows while they warm up. The cold endpoints are then weighted by their present capacity.

All tables of a scope, which are those of a group and, if its requests stay in the zone, of a zone,
have the same admitted fraction. It follows from the endpoints that these requests may go to and
from the requests of all proxies concerned. If warm endpoints are left:

- requests that stay in their zone share its warm and cold endpoints by capacity if the warm ones
  cannot carry them, and are limited only if all of them together cannot either;
- other requests go to the warm endpoints of all zones (shuffle_sharding.py), and are limited only
  if the cold endpoints would come close to being overloaded all the same.
"""

from collections.abc import Iterable
from math import fsum
from typing import NamedTuple, Optional

from ..interface import Admission, RetryPolicy
from .context import PlannerContext
from .endpoint_capacity import EndpointCapacity
from .endpoint_pools import EndpointPools, Scope
from .endpoint_state import DISTANT_PAST, MIN_COUNT, EndpointState
from .input_bounds import DEFAULT_WEIGHT
from .load_statistics import LoadStatistics
from .proxy_state import ProxyState
from .request_demand import RequestDemand
from .slow_start import (
    COLD_WEIGHT_FRACTIONS,
    EVEN_GROWTH,
    capacity_fraction,
    published_fraction,
)
from .table_changes import TableChanges
from .table_weights import is_cold_heavy, published_weights
from .zone_capacity import MIN_DIVISOR

FRACTION_INTERVAL = 0.2  # seconds between two computations without a change of endpoints
# Planned utilization of cold endpoints without warm ones beside them. More would queue the requests
# that arrive at random until they are late.
COLD_UTILIZATION = 0.8
# The same for the cold and warm endpoints of a zone that share its requests by capacity. They do
# if they would exceed the second utilization by their usual weights.
MIXED_UTILIZATION = 1.0
SCARCE_UTILIZATION = 0.85
# Otherwise cold endpoints beside warm ones get at most this fraction of what overloads them.
MIXED_LOAD_FRACTION = 0.5
# Exponent of the assumed growth of capacity, where nothing but it limits a cold endpoint's load.
WARM_UP_EXPONENT = 1.5
MIN_FRACTION = 0.001  # a fraction of 0 would also stop requests that are being processed
FRACTION_DIGITS = 4  # decimal places of a published fraction
# A fraction is published anew if it must decrease by more than the first factor, or may increase by
# the second one. Every change must be sent to proxies.
FRACTION_DECREASE = 1.1
FRACTION_INCREASE = 1.25
# Proxies probably avoid an endpoint that has failed as many consecutive checks, or any attempts,
# and has not answered an attempt for as many reporting cycles.
SILENT_CHECKS = 2
SILENT_CYCLES = 1.3
SILENT_WEIGHT_FRACTION = 0.01  # of the weight of such an endpoint beside cold ones


class ScopeLimit(NamedTuple):
    """What is published for the tables of a scope."""

    fraction: float  # admitted
    # By id: fractions of the listed weights, where these are not the usual ones.
    weight_fractions: dict[int, float]


NO_LIMIT = ScopeLimit(1.0, {})


class ScopeEndpoints(NamedTuple):
    """The endpoints that the tables of a scope name."""

    cold: list[EndpointState]
    warm: list[EndpointState]
    silent: list[EndpointState]  # warm ones that proxies avoid
    serving: list[EndpointState]  # the cold and warm ones, which answer
    # Whether the cold endpoints have a large part of the usual weight of those that answer.
    cold_heavy: bool


class ScopeLoad(NamedTuple):
    """How the requests of a scope are divided among its endpoints."""

    endpoints: ScopeEndpoints
    weight_fractions: dict[int, float]  # as in `ScopeLimit`
    weights: dict[int, float]  # published, by endpoint id
    requests_per_weight: float  # mean requests per second for a unit of published weight


class TableAdmission:
    """Computes the admitted fractions of scopes, and marks tables with other fractions."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        pools: EndpointPools,
        demand: RequestDemand,
        load_statistics: LoadStatistics,
        capacity: EndpointCapacity,
    ) -> None:
        self.context = context
        self.changes = changes
        self.pools = pools
        self.demand = demand
        self.load_statistics = load_statistics
        self.capacity = capacity
        self.limits: dict[Scope, ScopeLimit] = {}  # published
        self.retry_policy: str = RetryPolicy.UNSTARTED
        self.updated_at = DISTANT_PAST  # seconds
        # `TableChanges.global_change_count` at the last update.
        self.seen_global_change_count = 0

    def admission(self, proxy: ProxyState, group: int) -> Optional[Admission]:
        """Return the admission of a proxy's table, or None if it needs none of its own.

        A table that had its own admission keeps one, because its retry policy overrides that of the
        request classes.
        """
        fraction = self.fraction(proxy, group)
        if fraction < 1 or proxy.admissions[group] is not None:
            return Admission(fraction, self.retry_policy)
        return None

    def fraction(self, proxy: ProxyState, group: int) -> float:
        """Return the admitted fraction of a proxy's table."""
        return self._limit(proxy, group).fraction

    def weight_fractions(self, proxy: ProxyState, group: int) -> dict[int, float]:
        """Return the unusual fractions of listed weights in a proxy's table, by endpoint id."""
        return self._limit(proxy, group).weight_fractions

    def _limit(self, proxy: ProxyState, group: int) -> ScopeLimit:
        """Return the limit of a proxy's table."""
        if not self.limits:
            return NO_LIMIT
        return self.limits.get(self.pools.scope(group, proxy.zone), NO_LIMIT)

    def set_retry_policy(self, retry_policy: str) -> None:
        """Use the retry policy of the request classes for tables with their own admission."""
        if retry_policy != self.retry_policy:
            self.retry_policy = retry_policy
            self._mark(proxy for proxy in self.context.connected_proxies if any(proxy.admissions))

    def update_if_due(self) -> None:
        """Compute the limits if endpoints come or go, or if some time has passed."""
        if not self._is_due():
            return
        self.updated_at = self.context.now
        self.seen_global_change_count = self.changes.global_change_count
        has_cold = any(
            endpoint.cold_since is not None for endpoint in self.context.endpoints.values()
        )
        if has_cold or self.limits:
            self._publish(self._compute_limits())

    def _is_due(self) -> bool:
        """Return whether the limits may have to change in this batch."""
        return (
            self.changes.removals_pending
            or self.changes.global_change_count != self.seen_global_change_count
            or self.context.now - self.updated_at >= FRACTION_INTERVAL
        )

    def _publish(self, limits: dict[Scope, ScopeLimit]) -> None:
        """Replace the published limits, and mark the tables whose limit changes."""
        previous_limits, self.limits = self.limits, {}
        for scope in dict.fromkeys([*previous_limits, *limits]):
            previous = previous_limits.get(scope, NO_LIMIT)
            target, weight_fractions = limits.get(scope, NO_LIMIT)
            limit = ScopeLimit(_next_fraction(previous.fraction, target), weight_fractions)
            if limit != NO_LIMIT:
                self.limits[scope] = limit
            if limit != previous:
                self._apply(scope, previous, limit)

    def _apply(self, scope: Scope, previous: ScopeLimit, limit: ScopeLimit) -> None:
        """Cause the tables of a scope to be written with a new limit."""
        proxies = self._proxies(scope)
        if limit.weight_fractions != previous.weight_fractions:
            for proxy in proxies:
                proxy.invalidate_tables()
        self.changes.weight_decrease_pending |= limit.fraction < previous.fraction
        self._mark(proxies)
        if limit.fraction != previous.fraction:
            self.context.log(
                f"admitted fraction of tables for group {scope.group}, "
                f"{'all zones' if scope.zone is None else f'zone {scope.zone}'}: {limit.fraction}"
            )

    def _mark(self, proxies: Iterable[ProxyState]) -> None:
        """Cause the tables of proxies to be written, in stages unless a fraction decreases."""
        self.changes.pending_proxies.update([proxy.number for proxy in proxies if proxy.assigned])

    def _proxies(self, scope: Scope) -> list[ProxyState]:
        """Return the connected proxies of a scope."""
        return [
            proxy
            for proxy in self.context.connected_proxies
            if scope.zone is None or proxy.zone == scope.zone
        ]

    def _compute_limits(self) -> dict[Scope, ScopeLimit]:
        """Return the limits of the scopes that need one."""
        endpoints = {scope: self._endpoints(scope) for scope in self._scopes()}
        if not any(found.cold_heavy for found in endpoints.values()):
            return {}
        loads = {scope: self._load(scope, found) for scope, found in endpoints.items()}
        requests_per_weight: dict[int, float] = {}  # by zone of the endpoints, of all scopes
        for load in loads.values():
            for zone in {endpoint.zone: 0 for endpoint in load.endpoints.serving}:
                requests_per_weight[zone] = (
                    requests_per_weight.get(zone, 0.0) + load.requests_per_weight
                )
        return {
            scope: ScopeLimit(
                max(MIN_FRACTION, self._fraction(load, requests_per_weight)), load.weight_fractions
            )
            for scope, load in loads.items()
            if load.endpoints.cold_heavy
        }

    def _scopes(self) -> list[Scope]:
        """Return the scopes of the connected proxies."""
        zones = {proxy.zone: 0 for proxy in self.context.connected_proxies}
        scopes = [
            self.pools.scope(group, zone)
            for group in range(len(self.pools.groups))
            for zone in zones
        ]
        return list(dict.fromkeys(scopes))

    def _endpoints(self, scope: Scope) -> ScopeEndpoints:
        """Return the endpoints that the tables of a scope name.

        These are the usable ones, or all that are ready if none is usable. Proxies avoid silent
        endpoints, and send the requests that stay in a zone to the others in the zone. Other
        requests have the warm endpoints of all zones, which are not all silent.
        """
        pools = self.pools.allowed_pools(scope.group, scope.zone)
        listed = [endpoint for pool in pools.values() for endpoint in pool]
        cold: list[EndpointState] = []
        warm: list[EndpointState] = []
        silent: list[EndpointState] = []
        for endpoint in [endpoint for endpoint in listed if endpoint.usable] or listed:
            if endpoint.cold_since is not None:
                cold.append(endpoint)
            elif scope.zone is not None and self._is_silent(endpoint):
                silent.append(endpoint)
            else:
                warm.append(endpoint)
        serving = cold + warm
        return ScopeEndpoints(cold, warm, silent, serving, bool(cold) and is_cold_heavy(serving))

    def _load(self, scope: Scope, endpoints: ScopeEndpoints) -> ScopeLoad:
        """Return the published weights of a scope, and its requests per unit of weight."""
        requests = self._requests(scope)
        weight_fractions: dict[int, float] = {}
        weights = published_weights(endpoints.serving, weight_fractions)
        if endpoints.cold_heavy and (
            not endpoints.warm or self._is_scarce(scope, weights, requests)
        ):
            weight_fractions = self._weight_fractions(endpoints)
            weights = published_weights(endpoints.serving, weight_fractions)
        requests_per_weight = requests / max(MIN_DIVISOR, fsum(weights.values()))
        return ScopeLoad(endpoints, weight_fractions, weights, requests_per_weight)

    def _weight_fractions(self, endpoints: ScopeEndpoints) -> dict[int, float]:
        """Return the fractions of weights that divide requests by capacity.

        Silent endpoints keep a small weight, which shows when they answer again.
        """
        fractions = dict.fromkeys(
            [endpoint.id for endpoint in endpoints.silent], SILENT_WEIGHT_FRACTION
        )
        for endpoint in endpoints.cold:
            capacity = capacity_fraction(self.context, endpoint, WARM_UP_EXPONENT)
            fractions[endpoint.id] = published_fraction(capacity, COLD_WEIGHT_FRACTIONS[0])
        return fractions

    def _is_scarce(self, scope: Scope, weights: dict[int, float], requests: float) -> bool:
        """Return whether the endpoints of a zone lack capacity at their usual weights."""
        if scope.zone is None:
            return False
        capacity = self.capacity.per_weight(scope.zone) * fsum(weights.values())
        return requests > SCARCE_UTILIZATION * capacity

    def _is_silent(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint is ejected, or has failed without an answer for some time."""
        fails = endpoint.failed_checks >= SILENT_CHECKS or endpoint.errors >= MIN_COUNT
        silence = self.context.now - endpoint.last_success_at
        is_silent = silence > SILENT_CYCLES * self.load_statistics.reporting_cycle
        return endpoint.ejected_until is not None or (fails and is_silent)

    def _requests(self, scope: Scope) -> float:
        """Return the mean requests per second that the proxies of a scope send to its group."""
        classes = self.pools.groups[scope.group].request_classes
        return self.demand.rate(self._proxies(scope), classes)

    def _fraction(self, load: ScopeLoad, requests_per_weight: dict[int, float]) -> float:
        """Return the fraction of a scope's requests that its endpoints can serve.

        `requests_per_weight` tells by zone how many requests a unit of weight draws altogether. If
        the weights are the usual ones, the endpoint that is closest to overload decides, and only
        by the scope's own requests: those of other scopes have their own limit.
        """
        if load.weight_fractions:
            utilization = MIXED_UTILIZATION if load.endpoints.warm else COLD_UTILIZATION
            return utilization * self._serving_ratio(
                load.endpoints.serving, load, requests_per_weight, WARM_UP_EXPONENT
            )
        utilization = MIXED_LOAD_FRACTION * self.context.settings["tip_multiple"]
        own_requests = dict.fromkeys(requests_per_weight, load.requests_per_weight)
        return utilization * min(
            [
                self._serving_ratio([endpoint], load, own_requests, EVEN_GROWTH)
                for endpoint in load.endpoints.cold
            ]
        )

    def _serving_ratio(
        self,
        endpoints: list[EndpointState],
        load: ScopeLoad,
        requests_per_weight: dict[int, float],
        exponent: float,
    ) -> float:
        """Return the capacity of endpoints divided by the requests that they draw.

        `exponent` is that of the assumed growth of capacity.
        """
        capacity = fsum(
            [
                self.capacity.per_weight(endpoint.zone)
                * (endpoint.weight or DEFAULT_WEIGHT)
                * capacity_fraction(self.context, endpoint, exponent)
                for endpoint in endpoints
            ]
        )
        requests = fsum(
            [
                load.weights.get(endpoint.id, 0.0) * requests_per_weight[endpoint.zone]
                for endpoint in endpoints
            ]
        )
        return capacity / max(MIN_DIVISOR, requests)


def _next_fraction(previous: float, target: float) -> float:
    """Return the fraction to publish: the previous one while it is close enough."""
    if target * FRACTION_DECREASE >= previous and target < min(1.0, previous * FRACTION_INCREASE):
        return previous
    return min(1.0, round(target, FRACTION_DIGITS))
