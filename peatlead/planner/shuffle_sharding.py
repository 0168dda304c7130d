"""Which endpoints a proxy's table names: its shuffle shard of each zone, by rendezvous hashing.

Each proxy takes the first endpoints of its own random order (Thaler and Ravishankar, 1998). Two
proxies seldom share a whole shard, so one bad request or client can't break an endpoint for all
(AWS, "Workload isolation using shuffle-sharding"). The order has no memory: every controller gives
a proxy the same shard, and a new list moves few entries.

Endpoints that have just started ("cold") must not make up much of a table: their weights are small,
but a proxy spreads all of its requests over its table. Warm endpoints from outside the shard join
such a table.
"""

from math import ceil, fsum
from typing import NamedTuple

from .context import COVERAGE, PICK_LESS_LOADED, PlannerContext
from .endpoint_pools import EndpointPools, Pools
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .rendezvous import RendezvousPool
from .statistics import cold_and_warm_weight
from .zone_capacity import TINY, ZoneCapacity

LEAST_A_ZONE = 1  # endpoints of a shard in each zone
MAX_COLD_PART = 0.2  # of a table's weight, from which warm endpoints join it
MAX_WARM_JOINING = 24  # warm endpoints that may join a table, or as many as it has if that is more


class Shard(NamedTuple):
    """A proxy's endpoints for one group."""

    chosen: dict[int, list[EndpointState]]  # by zone, in the proxy's order
    zones: Pools  # what they were chosen from


def prefix_of_weight(endpoints: list[EndpointState], weight: float) -> list[EndpointState]:
    """The first of the endpoints that carry so much weight, one at least."""
    return [
        endpoint
        for position, endpoint in enumerate(endpoints)
        if position == 0
        or fsum([before.weight * before.weight_fraction for before in endpoints[:position]])
        < weight
    ]


def lacking_weight(members: list[EndpointState], in_shard: list[EndpointState]) -> float:
    """What a table with many cold endpoints lacks of its weight without cold ones."""
    cold, warm = cold_and_warm_weight(members)
    usual = fsum([endpoint.weight for endpoint in in_shard])
    return max(usual, cold / MAX_COLD_PART) - fsum((cold, warm))


class ShuffleSharding:
    """Computes shards and tables; writes nothing."""

    def __init__(
        self, context: PlannerContext, pools: EndpointPools, zone_capacity: ZoneCapacity
    ) -> None:
        self.context = context
        self.pools = pools
        self.zone_capacity = zone_capacity
        self.warm_pools: dict[int, Pools] = {}  # by group; of this batch

    def end_batch(self) -> None:
        """Forget what holds within a batch alone."""
        self.warm_pools = {}

    def shard(self, proxy: ProxyState, group: int) -> Shard:
        """The proxy's shard as it should be now, by the plan of zones."""
        zones = self.pools.open_endpoints(group, proxy.zone)
        parts = self.zone_capacity.plan.get((group, proxy.zone), {})
        unplanned = 0.0 if parts else 1.0
        targets = {zone: parts.get(zone, unplanned) * len(pool) for zone, pool in zones.items()}
        expected = self.context.proxies_expected
        limits = {zone: ceil(COVERAGE * len(pool) / expected) for zone, pool in zones.items()}
        total = max(TINY, fsum(targets.values()))
        densest = max([TINY, *[targets[zone] / len(zones[zone]) for zone in zones]])
        size = min(fsum(limits.values()), total / densest)
        # Proxies that pick the less loaded of two need no large part of their own zone.
        capped = self.context.settings.get("pick") == PICK_LESS_LOADED
        chosen = {}
        for zone, pool in zones.items():
            limit = limits[zone] if capped else len(pool)
            count = max(LEAST_A_ZONE, min(round(size * targets[zone] / total), limit))
            chosen[zone] = self._ranked(proxy, group, zone, pool, count)
        return Shard(chosen, zones)

    def _ranked(
        self,
        proxy: ProxyState,
        group: int,
        zone: int,
        pool: RendezvousPool[EndpointState],
        count: int,
    ) -> list[EndpointState]:
        """The first `count` of the proxy's order of a pool, which is cached."""
        cached = proxy.ranked.get((group, zone))
        if cached is not None and cached[0] is pool:
            known = cached[1]
            if len(known) >= min(count, len(pool)):
                return known[:count]
        known = pool.top(proxy.key, count)
        proxy.ranked[group, zone] = pool, known
        return known[:count]

    def table(self, proxy: ProxyState, group: int) -> dict[int, float]:
        """Endpoint id -> weight, as the proxy's table should stand now."""
        shard = self.shard(proxy, group)
        in_shard = [endpoint for chosen in shard.chosen.values() for endpoint in chosen]
        proxy.drawn_from.update([(endpoint.id, endpoint) for endpoint in in_shard])
        members = [endpoint for endpoint in in_shard if endpoint.usable]
        kept = [endpoint for endpoint in members if proxy.number not in endpoint.excluded_proxies]
        if len(kept) * 2 >= len(members):
            members = kept
        if self.is_cold_heavy(members):
            proxy.beyond_shards = True
            members = members + self._joining_warm(proxy, group, members, in_shard)
        if not members:  # no evidence may leave a proxy without an entry while endpoints run
            proxy.beyond_shards = True
            members = [endpoint for pool in shard.zones.values() for endpoint in pool]
        weights = {
            endpoint.id: endpoint.weight * endpoint.weight_fraction
            for endpoint in members
            if endpoint.weight_fraction
        }
        return weights or {endpoint.id: endpoint.weight for endpoint in members}

    def is_cold_heavy(self, members: list[EndpointState]) -> bool:
        """Whether cold endpoints, small as their weights are, would get much of the table."""
        cold, warm = cold_and_warm_weight(members)
        return bool(MAX_COLD_PART * (cold + warm) <= cold)

    def _joining_warm(
        self,
        proxy: ProxyState,
        group: int,
        members: list[EndpointState],
        in_shard: list[EndpointState],
    ) -> list[EndpointState]:
        """Warm endpoints to join a table with many cold ones, from the proxy's zone if it has any.

        They bring the table up to its weight without cold ones, and no further: more of them would
        starve the cold ones while others are overloaded.
        """
        present = {endpoint.id for endpoint in members}
        count = max(MAX_WARM_JOINING, len(members))
        lacking = lacking_weight(members, in_shard)
        warm = {}
        for zone, pool in self._warm_pools(group).items():
            first = pool.top(proxy.key, 2 * count)
            absent = [endpoint for endpoint in first if endpoint.id not in present]
            warm[zone] = prefix_of_weight(absent[:count], lacking)
        return warm.get(proxy.zone) or [
            endpoint for endpoints in warm.values() for endpoint in endpoints
        ]

    def _warm_pools(self, group: int) -> Pools:
        """By zone, also behind bad paths; built once a batch."""
        if group not in self.warm_pools:
            self.warm_pools[group] = {
                zone: RendezvousPool(
                    [
                        endpoint
                        for endpoint in pool
                        if endpoint.usable and endpoint.cold_since is None
                    ]
                )
                for zone, pool in self.pools.open_endpoints(group, None).items()
            }
        return self.warm_pools[group]
