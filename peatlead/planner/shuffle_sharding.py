"""Computes tables: a proxy's shuffle shard of each zone, by rendezvous hashing.

Each proxy uses the first endpoints of its own pseudo-random order (Thaler and Ravishankar, 1998).
Two proxies rarely have the same shard, so one harmful request or client cannot break an endpoint
for all proxies (AWS, "Workload isolation using shuffle-sharding"). The order needs no stored state:
every controller computes the same shard for a proxy, and a new endpoint list changes few tables.

Endpoints that have just started ("cold") must not make up a large part of a table: their weights
are small, but a proxy distributes all of its requests over its table. Therefore warm endpoints from
outside the shard are added to a table with too much cold weight.
"""

from math import ceil, fsum
from typing import NamedTuple

from .context import COVERAGE, PICK_LESS_LOADED, PlannerContext
from .endpoint_pools import EndpointPools, Pools, Scope
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .rendezvous import RendezvousPool
from .table_admission import TableAdmission
from .table_weights import is_cold_heavy, missing_weight, prefix_of_weight, published_weights
from .zone_capacity import MIN_DIVISOR, ZoneCapacity

# A shard has at least this many endpoints of each zone with endpoints that the shard may use.
MIN_ENDPOINTS_PER_ZONE = 1
# Maximum number of warm endpoints added to a table, or the table's size if that is larger.
MAX_ADDED_WARM_ENDPOINTS = 24


class Shard(NamedTuple):
    """The endpoints that a proxy uses for the requests of one group."""

    endpoints_by_zone: dict[int, list[EndpointState]]  # in the proxy's order
    pools: Pools  # by zone: the pools that the endpoints were chosen from


class ShuffleSharding:
    """Computes shards and tables; writes nothing."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        zone_capacity: ZoneCapacity,
        table_admission: TableAdmission,
    ) -> None:
        self.context = context
        self.pools = pools
        self.zone_capacity = zone_capacity
        self.table_admission = table_admission
        self.warm_pools: dict[Scope, Pools] = {}  # for the current batch

    def end_batch(self) -> None:
        """Discard the pools that are valid for one batch only."""
        self.warm_pools = {}

    def shard(self, proxy: ProxyState, group: int) -> Shard:
        """Return the current shard of a proxy for a group."""
        pools = self.pools.allowed_pools(group, proxy.zone)
        counts = self._sizes(group, proxy.zone, pools)
        endpoints_by_zone = {
            zone: self._ranked(proxy, group, zone, pool, counts[zone])
            for zone, pool in pools.items()
        }
        return Shard(endpoints_by_zone, pools)

    def shard_sizes(self, group: int, proxy_zone: int) -> dict[int, int]:
        """Return the sizes, by zone, of the shards of a zone's proxies for a group."""
        return self._sizes(group, proxy_zone, self.pools.allowed_pools(group, proxy_zone))

    def _sizes(self, group: int, proxy_zone: int, pools: Pools) -> dict[int, int]:
        """Return the sizes of the shards from the pools that a zone's proxies may use.

        The zone plan determines how a shard is divided among the zones. The shard is so large that
        about `COVERAGE` proxies use each endpoint, but requires no more endpoints of a zone than
        its pool has.
        """
        densities = self.zone_capacity.plan.get((group, proxy_zone), {})
        default_density = 0.0 if densities else 1.0
        zone_targets = {
            zone: densities.get(zone, default_density) * len(pool) for zone, pool in pools.items()
        }
        expected_proxies = self.context.expected_proxies
        coverage_counts = {
            zone: ceil(COVERAGE * len(pool) / expected_proxies) for zone, pool in pools.items()
        }
        total_target = max(MIN_DIVISOR, fsum(zone_targets.values()))
        max_density = max([MIN_DIVISOR, *[zone_targets[zone] / len(pools[zone]) for zone in pools]])
        shard_size = min(fsum(coverage_counts.values()), total_target / max_density)
        # Proxies that pick the less loaded of two endpoints need fewer endpoints of their own zone.
        zones_are_capped = self.context.settings.get("pick") == PICK_LESS_LOADED
        counts = {}
        for zone, pool in pools.items():
            max_count = coverage_counts[zone] if zones_are_capped else len(pool)
            zone_count = round(shard_size * zone_targets[zone] / total_target)
            counts[zone] = max(MIN_ENDPOINTS_PER_ZONE, min(zone_count, max_count))
        return counts

    def _ranked(
        self,
        proxy: ProxyState,
        group: int,
        zone: int,
        pool: RendezvousPool[EndpointState],
        count: int,
    ) -> list[EndpointState]:
        """Return the first `count` endpoints in the proxy's order of a pool, using a cache."""
        cached = proxy.ranked_pools.get((group, zone))
        if cached is not None and cached[0] is pool:
            ranked_endpoints = cached[1]
            if len(ranked_endpoints) >= min(count, len(pool)):
                return ranked_endpoints[:count]
        ranked_endpoints = pool.top(proxy.key, count)
        proxy.ranked_pools[group, zone] = pool, ranked_endpoints
        return ranked_endpoints[:count]

    def table(self, proxy: ProxyState, group: int) -> dict[int, float]:
        """Return the current table of a proxy for a group: endpoint id -> weight."""
        shard = self.shard(proxy, group)
        shard_endpoints = [
            endpoint for chosen in shard.endpoints_by_zone.values() for endpoint in chosen
        ]
        proxy.source_endpoints.update([(endpoint.id, endpoint) for endpoint in shard_endpoints])
        members = [endpoint for endpoint in shard_endpoints if endpoint.usable]
        not_excluding = [
            endpoint for endpoint in members if proxy.number not in endpoint.excluded_proxies
        ]
        if len(not_excluding) * 2 >= len(members):
            members = not_excluding
        if is_cold_heavy(members):
            proxy.has_endpoints_outside_shards = True
            members = members + self._warm_endpoints_to_add(proxy, group, members, shard_endpoints)
        if not members:
            # A table must not be empty while any endpoint of its pools is listed as ready.
            proxy.has_endpoints_outside_shards = True
            members = [endpoint for pool in shard.pools.values() for endpoint in pool]
        return published_weights(members, self.table_admission.weight_fractions(proxy, group))

    def _warm_endpoints_to_add(
        self,
        proxy: ProxyState,
        group: int,
        members: list[EndpointState],
        shard_endpoints: list[EndpointState],
    ) -> list[EndpointState]:
        """Return warm endpoints for a table with too much cold weight, the proxy's zone first.

        The added endpoints give the table the weight that it would have without cold endpoints. A
        higher weight would leave too few requests for the cold endpoints.
        """
        member_ids = {endpoint.id for endpoint in members}
        max_count = max(MAX_ADDED_WARM_ENDPOINTS, len(members))
        missing = missing_weight(members, shard_endpoints)
        warm_by_zone = {}
        for zone, pool in self._warm_pools(proxy, group).items():
            ranked_endpoints = pool.top(proxy.key, 2 * max_count)
            candidates = [
                endpoint for endpoint in ranked_endpoints if endpoint.id not in member_ids
            ]
            warm_by_zone[zone] = prefix_of_weight(candidates[:max_count], missing)
        return warm_by_zone.get(proxy.zone) or [
            endpoint for endpoints in warm_by_zone.values() for endpoint in endpoints
        ]

    def _warm_pools(self, proxy: ProxyState, group: int) -> Pools:
        """Return the usable warm endpoints for a proxy's requests of a group, cached for the batch.

        They are those of the proxy's zone for a group that stays in its zone, otherwise those of
        all zones. Zones behind bad paths are included.
        """
        scope = self.pools.scope(group, proxy.zone)
        if scope not in self.warm_pools:
            self.warm_pools[scope] = {
                zone: RendezvousPool(
                    [
                        endpoint
                        for endpoint in pool
                        if endpoint.usable and endpoint.cold_since is None
                    ]
                )
                for zone, pool in self.pools.allowed_pools(scope.group, scope.zone).items()
            }
        return self.warm_pools[scope]
