"""Plans how the requests of each zone are divided among the zones.

The plan loads all zones to the same fraction of their capacity, with the least traffic across
zones. Shard sizes follow the plan (shuffle_sharding.py). Small changes of demand do not change the
plan, since every change costs entries.
"""

from math import fsum
from typing import NamedTuple

from .context import COVERAGE, PICK_LESS_LOADED, PlannerContext
from .endpoint_pools import EndpointPools
from .endpoint_state import EndpointState
from .request_demand import RequestDemand
from .table_changes import TableChanges

PLAN_INTERVAL = 2.0  # seconds
MIN_PLAN_CHANGE = 0.15  # relative to the highest density, change that causes a new plan
MIN_CROSSING_PRICE = 0.02  # of a request's gain; below it no plan is needed
MIN_PROXY_RATE = 0.1  # requests per second that each proxy is counted with at least
MIN_SPARE_FRACTION = 1e-6  # of a zone's capacity, prevents a division by zero
MIN_DIVISOR = 1e-9  # prevents a division by zero

# By zone of the endpoints: fraction of the requests per unit of endpoint weight.
ZoneDensities = dict[int, float]
Plan = dict[tuple[int, int], ZoneDensities]  # by (group, zone of proxies)


class GroupCapacity(NamedTuple):
    """The capacity that a group may use.

    Sorted by total capacity, the most restricted group comes first.
    """

    total: float  # weight
    group: int
    by_zone: dict[int, float]  # weight
    work_fraction: float  # of all work


def total_capacity(endpoints: list[EndpointState]) -> float:
    """Return the published weight of the endpoints."""
    return fsum([endpoint.weight * endpoint.weight_fraction for endpoint in endpoints])


class ZoneCapacity:
    """The zone plan, and when it is updated."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        pools: EndpointPools,
        demand: RequestDemand,
    ) -> None:
        self.context = context
        self.changes = changes
        self.pools = pools
        self.demand = demand
        self.plan: Plan = {}  # if empty, every zone is used according to its endpoints
        self.next_update_at = 0.0  # seconds

    def request_update(self) -> None:
        """Update the plan in this batch, since the proxies have changed."""
        self.next_update_at = self.context.now

    def update_if_due(self) -> None:
        """Replace the plan if the new one differs much."""
        context = self.context
        if context.now < self.next_update_at or not context.endpoints or not context.connected:
            return
        self.next_update_at = context.now + PLAN_INTERVAL
        if self._needs_no_plan():
            return
        plan = self.compute()
        if self._differs(plan):
            self.plan = plan
            self.changes.mark_all()

    def _needs_no_plan(self) -> bool:
        """Return whether shards need no zone plan.

        This is the case if crossing zones is cheap, or if the controller has too few proxies to
        load the zones evenly.
        """
        settings = self.context.settings
        if len(self.pools.groups) > 1 or settings.get("pick") == PICK_LESS_LOADED:
            return False
        crossing_is_cheap: bool = settings.get("price_of_crossing", 0.0) < MIN_CROSSING_PRICE
        return crossing_is_cheap or self.context.expected_proxies < COVERAGE

    def _differs(self, plan: Plan) -> bool:
        return plan.keys() != self.plan.keys() or any(
            abs(density - self.plan[key].get(zone, 0.0)) > MIN_PLAN_CHANGE * max(densities.values())
            for key, densities in plan.items()
            for zone, density in densities.items()
        )

    def compute(self) -> Plan:
        """Return the plan for the current state.

        The proxies of other controllers are assumed to be like those of this controller,
        distributed over the zones like the endpoints.
        """
        usable = [endpoint for endpoint in self.context.endpoints.values() if endpoint.usable]
        rates = self._rates_by_zone(usable)
        remaining = self._balanced_load(usable, rates)
        plan: Plan = {}
        for group in sorted(self._group_capacities(), key=lambda group: (group.total, group.group)):
            self._plan_group(plan, group, rates, remaining)
        return plan

    def _rates_by_zone(self, usable: list[EndpointState]) -> dict[int, float]:
        """Return the requests per second by zone of the proxies.

        The rates of other controllers' proxies are estimated.
        """
        context = self.context
        rates: dict[int, float] = {}
        for proxy in context.connected_proxies:
            rates[proxy.zone] = rates.get(proxy.zone, 0.0) + max(MIN_PROXY_RATE, proxy.request_rate)
        own = len(context.connected)
        unseen_zones = [
            endpoint.zone
            for endpoint in usable
            if endpoint.zone not in rates and context.settings.get("joins_own_zone")
        ]
        other_proxies = max(0, context.settings["proxies"] - own)
        rate_per_endpoint = fsum(rates.values()) / own * other_proxies / max(1, len(unseen_zones))
        for zone in unseen_zones:
            rates[zone] = rates.get(zone, 0.0) + rate_per_endpoint
        return rates

    def _balanced_load(
        self, usable: list[EndpointState], rates: dict[int, float]
    ) -> dict[int, float]:
        """Return by zone the requests per second that load all zones equally."""
        rate_per_weight = fsum(rates.values()) / max(MIN_DIVISOR, total_capacity(usable))
        load = {endpoint.zone: 0.0 for endpoint in self.context.endpoints.values()}
        for endpoint in usable:
            load[endpoint.zone] += endpoint.weight * endpoint.weight_fraction * rate_per_weight
        return load

    def _group_capacities(self) -> list[GroupCapacity]:
        """Return the capacities of groups that may cross zones and have usable endpoints."""
        work = self.demand.work()
        capacities = []
        for group_number, group in enumerate(self.pools.groups):
            by_zone = {
                zone: total_capacity([endpoint for endpoint in pool if endpoint.usable])
                for zone, pool in self.pools.open_endpoints(group_number, None).items()
            }
            total = fsum(by_zone.values())
            if total and not group.own_zone:
                fraction = fsum([work[number] for number in group.request_classes]) / fsum(work)
                capacities.append(GroupCapacity(total, group_number, by_zone, fraction))
        return capacities

    def _plan_group(
        self, plan: Plan, group: GroupCapacity, rates: dict[int, float], remaining: dict[int, float]
    ) -> None:
        """Plan one group and subtract its load from the remaining load of each zone."""
        zones, work_fraction = group.by_zone, group.work_fraction
        local = {
            zone: max(0.0, min(rates.get(zone, 0.0) * work_fraction, remaining[zone]))
            for zone in zones
        }
        spare = {
            zone: max(MIN_SPARE_FRACTION * zones[zone], remaining[zone] - local[zone])
            for zone in zones
        }
        total_spare = fsum(spare.values())
        crossing_ratio = (fsum(rates.values()) * work_fraction - fsum(local.values())) / total_spare
        for zone in zones:
            remaining[zone] -= local[zone] + spare[zone] * crossing_ratio
        for zone, rate in rates.items():
            local_fraction = local.get(zone, 0.0) / max(MIN_DIVISOR, rate * work_fraction)
            plan[group.group, zone] = {
                other: (
                    (1 - local_fraction) * spare[other] / total_spare
                    + local_fraction * (other == zone)
                )
                / max(MIN_DIVISOR, zones[other])
                for other in zones
            }
