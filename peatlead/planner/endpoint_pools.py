"""The endpoints that each request class may use, as rendezvous pools by zone.

Request classes that may use the same endpoints share a table and form a group. A pool holds the
endpoints of one group and zone that are listed as ready. Ejected endpoints stay in their pool, so
that an ejection moves no other entry.
"""

from typing import NamedTuple, Optional

from .context import PlannerContext
from .endpoint_state import READY, EndpointState
from .rendezvous import RendezvousPool, sort_by_name
from .settings import PlannerSettings
from .zone_paths import ZonePaths

Pools = dict[int, RendezvousPool[EndpointState]]  # by zone


class RequestGroup(NamedTuple):
    """Request classes that share a table."""

    zones: tuple[int, ...]  # zones that the requests may go to; empty for all
    machine_types: tuple[int, ...]  # machine types that the requests may go to; empty for all
    own_zone: bool  # whether requests stay in the zone of their proxy
    request_classes: list[int]  # numbers of the classes

    def admits(self, endpoint: EndpointState) -> bool:
        """Return whether the group's requests may go to the endpoint, apart from `own_zone`."""
        in_zone = not self.zones or endpoint.zone in self.zones
        return in_zone and (not self.machine_types or endpoint.machine_type in self.machine_types)


class Scope(NamedTuple):
    """The tables of a group that may name the same endpoints."""

    group: int
    zone: Optional[int]  # the zone of the proxies and endpoints; None for all zones


def group_request_classes(settings: PlannerSettings) -> list[RequestGroup]:
    """Return the groups, ordered by their first classes."""
    groups: dict[tuple[tuple[int, ...], tuple[int, ...], bool], RequestGroup] = {}
    for number, request_class in enumerate(settings["req_kinds"]):
        zones = tuple(request_class.get("only_zones", ()))
        machine_types = tuple(request_class.get("only_machines", ()))
        own_zone = request_class["own_zone"]
        key = (zones, machine_types, own_zone)
        group = groups.setdefault(key, RequestGroup(zones, machine_types, own_zone, []))
        group.request_classes.append(number)
    return list(groups.values())


class EndpointPools:
    """The pools of each group, which are built on first use after a change of the endpoint list."""

    def __init__(self, context: PlannerContext, zone_paths: ZonePaths) -> None:
        self.context = context
        self.zone_paths = zone_paths
        self.groups = group_request_classes(context.settings)
        self.group_of_class = {
            request_class: number
            for number, group in enumerate(self.groups)
            for request_class in group.request_classes
        }
        self.ready_pools: dict[int, Pools] = {}  # by group
        self.previous_ready_pools: dict[int, Pools] = {}  # by group, of the list before
        self.earlier_pools: dict[int, Pools] = {}  # by group: see `previously_allowed_pools`
        self.withdrawn: dict[Scope, frozenset[int]] = {}  # ids: see `withdrawn_endpoints`
        self.withdrawn_counts: dict[RendezvousPool[EndpointState], int] = {}

    def reset(self) -> None:
        """Discard the pools after a change of the endpoint list."""
        self.previous_ready_pools = self.ready_pools or self.previous_ready_pools
        self.ready_pools = {}
        self.earlier_pools = {}
        self.withdrawn = {}
        self.withdrawn_counts = {}

    def allowed_pools(self, group: int, zone: Optional[int]) -> Pools:
        """Return the pools of ready endpoints that a group's requests from `zone` may go to.

        Zones behind bad paths are left out unless no other zone remains. If `zone` is None, the
        result has all zones, or none for a group that stays in the zone of its proxies.
        """
        if group not in self.ready_pools:
            self.ready_pools[group] = self._build_ready_pools(group)
        pools = self._in_allowed_zones(group, zone, self.ready_pools[group])
        bad_paths = self.zone_paths.bad_paths
        if not bad_paths:
            return pools
        return {
            endpoint_zone: pool
            for endpoint_zone, pool in pools.items()
            if (zone, endpoint_zone) not in bad_paths
        } or pools

    def scope(self, group: int, zone: int) -> Scope:
        """Return the scope of a group's tables for the proxies of a zone."""
        return Scope(group, zone if self.groups[group].own_zone else None)

    def previously_allowed_pools(self, group: int, zone: int) -> Pools:
        """Return the pools of endpoints that tables computed from earlier lists may name.

        These are the warm ready endpoints and the withdrawn endpoints.
        """
        if group not in self.earlier_pools:
            self.earlier_pools[group] = self._build_earlier_pools(group)
        return self._in_allowed_zones(group, zone, self.earlier_pools[group])

    def withdrawn_endpoints(self, group: int, zone: int) -> frozenset[int]:
        """Return the ids of the withdrawn endpoints that a group's requests from `zone` may use."""
        scope = self.scope(group, zone)
        if scope not in self.withdrawn:
            self.withdrawn[scope] = frozenset(
                endpoint.id
                for pool in self.previously_allowed_pools(group, zone).values()
                for endpoint in pool
                if endpoint.withdrawn
            )
        return self.withdrawn[scope]

    def withdrawn_count(self, pool: RendezvousPool[EndpointState]) -> int:
        """Return how many endpoints of a pool of `previously_allowed_pools` are withdrawn."""
        if pool not in self.withdrawn_counts:
            self.withdrawn_counts[pool] = sum(endpoint.withdrawn for endpoint in pool)
        return self.withdrawn_counts[pool]

    def _in_allowed_zones(self, group: int, zone: Optional[int], pools: Pools) -> Pools:
        """Return the pools of the zones that a group's requests from `zone` may go to."""
        own_zone = self.groups[group].own_zone
        return {
            endpoint_zone: pool
            for endpoint_zone, pool in pools.items()
            if not own_zone or endpoint_zone == zone
        }

    def _build_ready_pools(self, group: int) -> Pools:
        """Build the pools, reusing unchanged ones because proxies cache their ranking of a pool."""
        admits = self.groups[group].admits
        by_zone: dict[int, list[EndpointState]] = {}
        for endpoint in self.context.endpoints.values():
            if endpoint.phase == READY and admits(endpoint):
                by_zone.setdefault(endpoint.zone, []).append(endpoint)
        previous_pools = self.previous_ready_pools.get(group, {})
        pools: Pools = {}
        for zone in sorted(by_zone):
            endpoints = sort_by_name(by_zone[zone])
            previous_pool = previous_pools.get(zone)
            if previous_pool is not None and previous_pool.endpoints == endpoints:
                pools[zone] = previous_pool
            else:
                pools[zone] = RendezvousPool(endpoints)
        return pools

    def _build_earlier_pools(self, group: int) -> Pools:
        """Build the pools of `previously_allowed_pools`, for all zones."""
        admits = self.groups[group].admits
        by_zone: dict[int, list[EndpointState]] = {}
        for endpoint in self.context.endpoints.values():
            may_be_named = endpoint.withdrawn or (
                endpoint.phase == READY and endpoint.cold_since is None
            )
            if may_be_named and admits(endpoint):
                by_zone.setdefault(endpoint.zone, []).append(endpoint)
        return {zone: RendezvousPool(endpoints) for zone, endpoints in sorted(by_zone.items())}
