"""Which endpoints each request class may go to, by zone, as pools in rendezvous order.

Request classes that are open to the same endpoints share a table: they form a group. A pool holds
the endpoints of one group and zone that are listed ready; ejected ones stay in it, so that an
ejection moves no other entry.
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

    zones: tuple[int, ...]  # that their requests may go to; empty for all
    machine_types: tuple[int, ...]  # likewise
    own_zone: bool  # whether they stay in their proxy's zone
    request_classes: list[int]

    def admits(self, endpoint: EndpointState) -> bool:
        """Whether the group's requests may go to an endpoint of that zone and machine type."""
        in_zone = not self.zones or endpoint.zone in self.zones
        return in_zone and (not self.machine_types or endpoint.machine_type in self.machine_types)


def group_request_classes(settings: PlannerSettings) -> list[RequestGroup]:
    """The groups, in the order of their first classes."""
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
    """Pools by group, built when they are first asked for after a change of the list."""

    def __init__(self, context: PlannerContext, paths: ZonePaths) -> None:
        self.context = context
        self.paths = paths
        self.groups = group_request_classes(context.settings)
        self.ready: dict[int, Pools] = {}  # by group
        self.ready_before: dict[int, Pools] = {}  # by the list before
        self.earlier: dict[int, Pools] = {}  # by group: as before the last changes, see there

    def reset(self) -> None:
        """The endpoint list has changed."""
        self.ready_before = self.ready or self.ready_before
        self.ready = {}
        self.earlier = {}

    def open_endpoints(self, group: int, zone: Optional[int]) -> Pools:
        """By zone, the endpoints listed ready that the group's requests may go to from a zone.

        Zones behind bad paths are left out, unless nothing else is left. With `zone` None all are
        in, but for groups that stay in their zone.
        """
        if group not in self.ready:
            self.ready[group] = self._build_ready(group)
        pools = self._in_reach(group, zone, self.ready[group])
        bad = self.paths.bad
        if not bad:
            return pools
        return {other: pool for other, pool in pools.items() if (zone, other) not in bad} or pools

    def earlier_endpoints(self, group: int, zone: int) -> Pools:
        """By zone, the endpoints that requests may have gone to before the last lists."""
        if group not in self.earlier:
            self.earlier[group] = self._build_earlier(group)
        return self._in_reach(group, zone, self.earlier[group])

    def _in_reach(self, group: int, zone: Optional[int], pools: Pools) -> Pools:
        own_zone = self.groups[group].own_zone
        return {other: pool for other, pool in pools.items() if not own_zone or other == zone}

    def _build_ready(self, group: int) -> Pools:
        """A pool that is the same as before stays, with what proxies have cached of it."""
        admits = self.groups[group].admits
        by_zone: dict[int, list[EndpointState]] = {}
        for endpoint in self.context.endpoints.values():
            if endpoint.phase == READY and admits(endpoint):
                by_zone.setdefault(endpoint.zone, []).append(endpoint)
        before = self.ready_before.get(group, {})
        pools: Pools = {}
        for zone in sorted(by_zone):
            endpoints = sort_by_name(by_zone[zone])
            old = before.get(zone)
            if old is not None and old.endpoints == endpoints:
                pools[zone] = old
            else:
                pools[zone] = RendezvousPool(endpoints)
        return pools

    def _build_earlier(self, group: int) -> Pools:
        admits = self.groups[group].admits
        by_zone: dict[int, list[EndpointState]] = {}
        for endpoint in self.context.endpoints.values():
            settled = endpoint.withdrawn or (
                endpoint.phase == READY and endpoint.cold_since is None
            )
            if settled and admits(endpoint):
                by_zone.setdefault(endpoint.zone, []).append(endpoint)
        return {zone: RendezvousPool(endpoints) for zone, endpoints in sorted(by_zone.items())}
