"""Plans how the requests of each zone are divided among the zones.

The plan loads all zones to the same fraction of their capacity, with as little traffic across zones
as possible. Shards are divided among the zones by the plan (shuffle_sharding.py). Small changes of
demand do not change the plan, since every change of the plan must be sent to proxies.
"""

from math import fsum
from typing import NamedTuple

from .context import COVERAGE, PICK_LESS_LOADED, PlannerContext
from .endpoint_pools import EndpointPools
from .endpoint_state import EndpointState
from .request_demand import RequestDemand, total_rate
from .table_changes import TableChanges

PLAN_INTERVAL = 2.0  # seconds between two computations of the plan
# A new plan is used if a density changes by more than this fraction of the highest density.
MIN_PLAN_CHANGE = 0.15
MIN_CROSSING_PRICE = 0.02  # fraction of a request's gain; no plan is needed below this price
MIN_SPARE_FRACTION = 1e-6  # of a zone's capacity, prevents a division by zero
MIN_DIVISOR = 1e-9  # prevents a division by zero

# By zone of the endpoints: fraction of the requests per unit of endpoint weight.
ZoneDensities = dict[int, float]
Plan = dict[tuple[int, int], ZoneDensities]  # by (group, zone of proxies)


class GroupCapacity(NamedTuple):
    """The capacity that a group may use, as published weight of usable endpoints."""

    total_weight: float
    group: int
    weight_by_zone: dict[int, float]
    work_fraction: float  # of the work of all groups


def total_capacity(endpoints: list[EndpointState]) -> float:
    """Return the capacity of the endpoints, measured as the sum of their published weights."""
    return fsum([endpoint.weight * endpoint.weight_fraction for endpoint in endpoints])


class ZoneCapacity:
    """Computes the zone plan and updates it at intervals."""

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
        self.plan: Plan = {}  # if empty, zones are used in proportion to their endpoints
        self.next_update_at = 0.0  # seconds

    def request_update(self) -> None:
        """Update the plan in this batch instead of at the next interval."""
        self.next_update_at = self.context.now

    def update_if_due(self) -> None:
        """Compute a new plan if this is due, and use the new plan if it differs much."""
        context = self.context
        if context.now < self.next_update_at or not context.endpoints or not context.connected:
            return
        self.next_update_at = context.now + PLAN_INTERVAL
        if self._needs_no_plan():
            return
        plan = self.compute_plan()
        if self._differs_much(plan):
            self.plan = plan
            self.changes.mark_all_changed()

    def _needs_no_plan(self) -> bool:
        """Return whether shards need no zone plan.

        With a single group and no choice of the less loaded endpoint, this is the case if crossing
        zones is cheap, or if the controller has too few proxies to load the zones evenly.
        """
        settings = self.context.settings
        if len(self.pools.groups) > 1 or settings.get("pick") == PICK_LESS_LOADED:
            return False
        crossing_is_cheap: bool = settings.get("price_of_crossing", 0.0) < MIN_CROSSING_PRICE
        return crossing_is_cheap or self.context.expected_proxies < COVERAGE

    def _differs_much(self, plan: Plan) -> bool:
        """Return whether a density differs from the current plan by more than MIN_PLAN_CHANGE."""
        return plan.keys() != self.plan.keys() or any(
            abs(density - self.plan[key].get(zone, 0.0)) > MIN_PLAN_CHANGE * max(densities.values())
            for key, densities in plan.items()
            for zone, density in densities.items()
        )

    def compute_plan(self) -> Plan:
        """Return the plan for the current endpoints, proxies and demand.

        The group with the least capacity is planned first.
        """
        usable = [endpoint for endpoint in self.context.endpoints.values() if endpoint.usable]
        rates = self._rates_by_zone(usable)
        remaining_load = self._balanced_load(usable, rates)
        plan: Plan = {}
        for capacity in sorted(
            self._group_capacities(), key=lambda capacity: (capacity.total_weight, capacity.group)
        ):
            self._plan_group(plan, capacity, rates, remaining_load)
        return plan

    def _rates_by_zone(self, usable: list[EndpointState]) -> dict[int, float]:
        """Return the requests per second by zone of the proxies.

        If proxies connect to controllers of their own zone, this controller has no proxies in some
        zones. The rates of these zones are estimated: the proxies of other controllers are assumed
        to have the same rates as those of this controller, and to be distributed like the
        endpoints.
        """
        context = self.context
        rates: dict[int, float] = {}
        max_announced_rate = self.demand.max_announced_rate()
        for proxy in context.connected_proxies:
            rate = total_rate(proxy, max_announced_rate)
            rates[proxy.zone] = rates.get(proxy.zone, 0.0) + rate
        own_count = len(context.connected)
        unseen_endpoint_zones = [
            endpoint.zone
            for endpoint in usable
            if endpoint.zone not in rates and context.settings.get("joins_own_zone")
        ]
        other_count = max(0, context.settings["proxies"] - own_count)
        rate_per_endpoint = (
            fsum(rates.values()) / own_count * other_count / max(1, len(unseen_endpoint_zones))
        )
        for zone in unseen_endpoint_zones:
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
            weight_by_zone = {
                zone: total_capacity([endpoint for endpoint in pool if endpoint.usable])
                for zone, pool in self.pools.allowed_pools(group_number, None).items()
            }
            total_weight = fsum(weight_by_zone.values())
            if total_weight and not group.own_zone:
                work_fraction = fsum([work[number] for number in group.request_classes]) / fsum(
                    work
                )
                capacities.append(
                    GroupCapacity(total_weight, group_number, weight_by_zone, work_fraction)
                )
        return capacities

    def _plan_group(
        self,
        plan: Plan,
        capacity: GroupCapacity,
        rates: dict[int, float],
        remaining_load: dict[int, float],
    ) -> None:
        """Add one group to the plan and subtract its load from the remaining load of each zone.

        Each zone serves its own requests up to its remaining load. The excess of all zones is
        divided among the zones in proportion to the load that remains after that.
        """
        zone_weights, work_fraction = capacity.weight_by_zone, capacity.work_fraction
        local_load = {
            zone: max(0.0, min(rates.get(zone, 0.0) * work_fraction, remaining_load[zone]))
            for zone in zone_weights
        }
        spare_load = {
            zone: max(
                MIN_SPARE_FRACTION * zone_weights[zone], remaining_load[zone] - local_load[zone]
            )
            for zone in zone_weights
        }
        total_spare = fsum(spare_load.values())
        crossing_ratio = (
            fsum(rates.values()) * work_fraction - fsum(local_load.values())
        ) / total_spare
        for zone in zone_weights:
            remaining_load[zone] -= local_load[zone] + spare_load[zone] * crossing_ratio
        for zone, rate in rates.items():
            local_fraction = local_load.get(zone, 0.0) / max(MIN_DIVISOR, rate * work_fraction)
            plan[capacity.group, zone] = {
                endpoint_zone: (
                    (1 - local_fraction) * spare_load[endpoint_zone] / total_spare
                    + local_fraction * (endpoint_zone == zone)
                )
                / max(MIN_DIVISOR, zone_weights[endpoint_zone])
                for endpoint_zone in zone_weights
            }
