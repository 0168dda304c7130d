"""How each zone's requests are divided among the zones: all alike full, none crossing that needn't.

The plan fills every zone to the same part of its capacity, with the least traffic across zones.
Shard sizes follow it (shuffle_sharding.py). Small changes of demand don't move it: every move costs
entries.
"""

from math import fsum
from typing import NamedTuple

from .context import COVERAGE, PICK_LESS_LOADED, PlannerContext
from .endpoint_pools import EndpointPools
from .endpoint_state import EndpointState
from .request_demand import RequestDemand
from .table_changes import TableChanges

PLAN_INTERVAL = 2.0  # seconds
PLAN_SLACK = 0.15  # the part of a zone's plan that must change to move it
CROSSING_PRICE = 0.02  # of a request's gain, from which a crossing is worth a plan
LEAST_RATE = 0.1  # requests a second that a proxy counts for at least
LEAST_SPARE = 1e-6  # of a zone's capacity that counts as left at least: no division by zero
TINY = 1e-9  # keeps divisors from zero

Parts = dict[int, float]  # by zone of endpoints: requests by endpoint weight
Plan = dict[tuple[int, int], Parts]  # by (group, zone of proxies)


class GroupCapacity(NamedTuple):
    """What a group may use; sorted by the whole capacity, the most restricted group comes first."""

    total: float  # weight
    group: int
    by_zone: dict[int, float]  # weight
    part: float  # of all work


def capacity(endpoints: list[EndpointState]) -> float:
    """The weight that the endpoints have by their shares."""
    return fsum([endpoint.weight * endpoint.weight_fraction for endpoint in endpoints])


class ZoneCapacity:
    """The plan, and when it is looked at again."""

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
        self.plan: Plan = {}  # empty: every zone by its endpoints
        self.next_at = 0.0  # seconds, when the plan is looked at again

    def request_update(self) -> None:
        """Look at the plan in this batch: the proxies have changed."""
        self.next_at = self.context.now

    def update_if_due(self) -> None:
        """Take a new plan if it differs much from the present one."""
        context = self.context
        if context.now < self.next_at or not context.endpoints or not context.connected:
            return
        self.next_at = context.now + PLAN_INTERVAL
        if self._leaves_zones_whole():
            return
        plan = self.compute()
        if self._differs(plan):
            self.plan = plan
            self.changes.mark_all()

    def _leaves_zones_whole(self) -> bool:
        """Whether there is no plan: crossing is cheap, or few proxies would load zones unevenly."""
        settings = self.context.settings
        if len(self.pools.groups) > 1 or settings.get("pick") == PICK_LESS_LOADED:
            return False
        cheap: bool = settings.get("price_of_crossing", 0.0) < CROSSING_PRICE
        return cheap or self.context.proxies_expected < COVERAGE

    def _differs(self, plan: Plan) -> bool:
        return plan.keys() != self.plan.keys() or any(
            abs(part - self.plan[key].get(zone, 0.0)) > PLAN_SLACK * max(parts.values())
            for key, parts in plan.items()
            for zone, part in parts.items()
        )

    def compute(self) -> Plan:
        """The plan as it should be now.

        Other controllers' proxies are taken to be like this one's, spread as endpoints are.
        """
        usable = [endpoint for endpoint in self.context.endpoints.values() if endpoint.usable]
        rates = self._rates_by_zone(usable)
        left = self._even_load(usable, rates)
        plan: Plan = {}
        for group in sorted(self._group_capacities(), key=lambda group: (group.total, group.group)):
            self._plan_group(plan, group, rates, left)
        return plan

    def _rates_by_zone(self, usable: list[EndpointState]) -> dict[int, float]:
        """Requests a second by zone of the proxies, those of other controllers estimated."""
        context = self.context
        rates: dict[int, float] = {}
        for proxy in context.joined:
            rates[proxy.zone] = rates.get(proxy.zone, 0.0) + max(LEAST_RATE, proxy.request_rate)
        own = len(context.connected)
        unseen = [
            endpoint.zone
            for endpoint in usable
            if endpoint.zone not in rates and context.settings.get("joins_own_zone")
        ]
        others = max(0, context.settings["proxies"] - own)
        by_endpoint = fsum(rates.values()) / own * others / max(1, len(unseen))
        for zone in unseen:
            rates[zone] = rates.get(zone, 0.0) + by_endpoint
        return rates

    def _even_load(self, usable: list[EndpointState], rates: dict[int, float]) -> dict[int, float]:
        """Requests a second that each zone should take, so that all are alike full."""
        by_weight = fsum(rates.values()) / max(TINY, capacity(usable))
        load = {endpoint.zone: 0.0 for endpoint in self.context.endpoints.values()}
        for endpoint in usable:
            load[endpoint.zone] += endpoint.weight * endpoint.weight_fraction * by_weight
        return load

    def _group_capacities(self) -> list[GroupCapacity]:
        """Those of the groups that may cross zones and have usable endpoints."""
        work = self.demand.work()
        capacities = []
        for group_number, group in enumerate(self.pools.groups):
            by_zone = {
                zone: capacity([endpoint for endpoint in pool if endpoint.usable])
                for zone, pool in self.pools.open_endpoints(group_number, None).items()
            }
            total = fsum(by_zone.values())
            if total and not group.own_zone:
                part = fsum([work[number] for number in group.request_classes]) / fsum(work)
                capacities.append(GroupCapacity(total, group_number, by_zone, part))
        return capacities

    def _plan_group(
        self, plan: Plan, group: GroupCapacity, rates: dict[int, float], left: dict[int, float]
    ) -> None:
        """Plan one group, and take what it uses off what is left of each zone."""
        zones, part = group.by_zone, group.part
        home = {zone: max(0.0, min(rates.get(zone, 0.0) * part, left[zone])) for zone in zones}
        spare = {zone: max(LEAST_SPARE * zones[zone], left[zone] - home[zone]) for zone in zones}
        all_spare = fsum(spare.values())
        crossing = (fsum(rates.values()) * part - fsum(home.values())) / all_spare
        for zone in zones:
            left[zone] -= home[zone] + spare[zone] * crossing
        for zone, rate in rates.items():
            stays = home.get(zone, 0.0) / max(TINY, rate * part)
            plan[group.group, zone] = {
                other: ((1 - stays) * spare[other] / all_spare + stays * (other == zone))
                / max(TINY, zones[other])
                for other in zones
            }
