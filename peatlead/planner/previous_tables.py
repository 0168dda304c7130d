"""Which withdrawn endpoints a proxy's previous table may name.

A proxy that connects brings the table of its previous controller, and no message tells what that
table names. All controllers rank endpoints in the same order, so the first endpoints of that order
are likely to be named. Tables of other controllers may still differ: they may have been computed
with another zone plan, or while endpoints were cold.
"""

from math import ceil

from .context import PlannerContext
from .endpoint_pools import EndpointPools
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .rendezvous import RendezvousPool
from .shuffle_sharding import MIN_ENDPOINTS_PER_ZONE, ShuffleSharding

# Factor for the size of a shard: how many of the first endpoints in a proxy's order its previous
# table may have named.
PREVIOUS_TABLE_FACTOR = 1.25
# The same for the endpoints that it named at least: some may have been removed from it since.
MIN_PREVIOUS_TABLE_FACTOR = 0.75


class PreviousTables:
    """Finds the withdrawn endpoints that a waiting proxy may still use."""

    def __init__(
        self, context: PlannerContext, pools: EndpointPools, sharding: ShuffleSharding
    ) -> None:
        self.context = context
        self.pools = pools
        self.sharding = sharding

    def possible(self, proxy: ProxyState) -> set[int]:
        """Return the ids of all withdrawn endpoints that the proxy's requests may go to."""
        endpoint_ids = self._in_last_tables(proxy)
        for group in range(len(self.pools.groups)):
            endpoint_ids |= self.pools.withdrawn_endpoints(group, proxy.zone)
        return endpoint_ids

    def likely(self, proxy: ProxyState) -> set[int]:
        """Return the ids of the withdrawn endpoints that come early in the proxy's order."""
        endpoint_ids = self._in_last_tables(proxy)
        for group in range(len(self.pools.groups)):
            for pool, size in self._previous_shard(proxy, group):
                candidates = pool.top(proxy.key, ceil(PREVIOUS_TABLE_FACTOR * size))
                endpoint_ids.update([endpoint.id for endpoint in candidates if endpoint.withdrawn])
        return endpoint_ids

    def may_be_unusable(self, proxy: ProxyState) -> bool:
        """Return whether all endpoints of one of the proxy's tables are likely to be withdrawn."""
        for group in range(len(self.pools.groups)):
            first_endpoints = [
                (pool, max(MIN_ENDPOINTS_PER_ZONE, int(MIN_PREVIOUS_TABLE_FACTOR * size)))
                for pool, size in self._previous_shard(proxy, group)
            ]
            enough_withdrawn = all(
                self.pools.withdrawn_count(pool) >= count for pool, count in first_endpoints
            )
            if enough_withdrawn and all(
                endpoint.withdrawn
                for pool, count in first_endpoints
                for endpoint in pool.top(proxy.key, count)
            ):
                return True
        return False

    def _previous_shard(
        self, proxy: ProxyState, group: int
    ) -> list[tuple[RendezvousPool[EndpointState], float]]:
        """Return the pools of a group's previous shard, and how many endpoints it had of each."""
        current_pools = self.pools.allowed_pools(group, proxy.zone)
        current_sizes = self.sharding.shard_sizes(group, proxy.zone)
        shard = []
        for zone, pool in self.pools.previously_allowed_pools(group, proxy.zone).items():
            # Without endpoints that are ready, nothing tells the size of the previous shard.
            size: float = len(pool)
            if current_pools.get(zone):
                size = current_sizes[zone] * len(pool) / len(current_pools[zone])
            shard.append((pool, max(MIN_ENDPOINTS_PER_ZONE, size)))
        return shard

    def _in_last_tables(self, proxy: ProxyState) -> set[int]:
        """Return the withdrawn endpoints in the tables that this controller last sent the proxy."""
        endpoints = self.context.endpoints
        return {
            endpoint
            for entries in proxy.entries
            for endpoint in entries
            if endpoints[endpoint].withdrawn
        }
