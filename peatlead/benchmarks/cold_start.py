"""Share of requests served while endpoints are cold, beside a policy that knows each capacity.

    python -m peatlead.benchmarks.cold_start [SEEDS]

For each course of events, prints the share that is served in the zone concerned and in another
zone, beside the best of the informed policies, and how far cold endpoints were overloaded.
"""

import json
import sys
from collections.abc import Callable, Sequence
from typing import Any

from ..interface import Admission
from .cold_endpoints import FleetPlan, FleetProxy, FleetResult
from .cold_fleet import START, TICK, ColdFleet

RATE_SPAN = 1.0  # seconds that the informed policy averages arrivals over
INFORMED_UTILIZATIONS = (0.6, 0.7, 0.8, 0.9)  # the best of them is compared with the planner
WARM_PERIOD = 8.0  # seconds before the first event, in which the planner gets reports
OUTAGE = 6.0  # seconds from the loss of endpoints to their start
LEAD = 4.0  # seconds for which an endpoint has run when the warm ones are lost
ZONE = 0  # the zone whose endpoints are lost
OTHER_ZONE = 1
SEEDS = 6
# Plans with another growth of capacity, and with clients that repeat refused requests.
PLANS: dict[str, dict[str, Any]] = {
    "even": {},
    "late": {"warm_up_exponent": 2.0},
    "repeats": {"repeats": 3},
}


class InformedFleet(ColdFleet):
    """A fleet whose tables and fractions follow the true capacity and demand without delay.

    `utilization` is the fraction of the capacity that the policy uses. Endpoints are used when the
    list tells of them, as the planner does.
    """

    def __init__(self, plan: FleetPlan, utilization: float, now: float = START) -> None:
        super().__init__(plan, now)
        self.utilization = utilization
        self.rates: dict[tuple[int, int], float] = {}  # arrivals per second, by (zone, class)

    def _arrive(self, proxy: FleetProxy, request_class: int, repeats: int) -> None:
        key = proxy.zone, request_class
        self.rates[key] = self.rates.get(key, self.zone_rate(*key)) + 1 / RATE_SPAN
        super()._arrive(proxy, request_class, repeats)

    def apply_policy(self) -> None:
        """Replace what the proxies hold."""
        for key in self.rates:
            self.rates[key] *= 1 - TICK / RATE_SPAN
        free = {
            endpoint.number: self.utilization * endpoint.capacity(self.now)
            for endpoint in self.endpoints
            if endpoint.up and not endpoint.silent and endpoint.listed_at <= self.now
        }
        zones = list(range(len(self.plan.endpoints_per_zone)))
        classes = self.plan.classes
        own_zone = [number for number, given in enumerate(classes) if given.own_zone]
        for zone in zones:
            local = {
                number: capacity
                for number, capacity in free.items()
                if self.endpoints[number].zone == zone
            }
            used = self._share([zone], own_zone, local)
            free.update({number: capacity * (1 - used) for number, capacity in local.items()})
        others = [number for number in range(len(classes)) if number not in own_zone]
        self._share(zones, others, free)

    def _share(self, zones: Sequence[int], classes: Sequence[int], free: dict[int, float]) -> float:
        """Divide requests by free capacity, and return the fraction of it that they use."""
        demand = sum(
            self.rates.get((zone, number), self.zone_rate(zone, number))
            * self.plan.classes[number].work
            for zone in zones
            for number in classes
        )
        capacity = sum(free.values())
        fraction = min(1.0, capacity / demand) if demand else 1.0
        weights = {number: weight for number, weight in free.items() if weight > 0}
        for proxy in self.proxies:
            for number in classes if proxy.zone in zones else ():
                proxy.view.tables["informed", str(number)] = weights
                proxy.view.assigned_tables[number] = "informed", str(number)
                proxy.view.admissions[number] = Admission(fraction, "")
        return demand * fraction / capacity if capacity else 0.0


def one_by_one(fleet: ColdFleet) -> None:
    """Lose a zone, and start its endpoints one after the other."""
    lost = fleet.zone_endpoints(ZONE)
    fleet.stop(lost)
    fleet.run(OUTAGE)
    fleet.measure()
    for endpoint in lost:
        fleet.restart([endpoint])
        fleet.run(fleet.plan.warm_after / 2)
    fleet.run(fleet.plan.warm_after / 2)


def all_at_once(fleet: ColdFleet) -> None:
    """Lose a zone, and start its endpoints together."""
    lost = fleet.zone_endpoints(ZONE)
    fleet.stop(lost)
    fleet.run(OUTAGE)
    fleet.measure()
    fleet.restart(lost)
    fleet.run(fleet.plan.warm_after)


def whole_fleet(fleet: ColdFleet) -> None:
    """Start the whole fleet."""
    fleet.stop(fleet.endpoints)
    fleet.run(OUTAGE)
    fleet.measure()
    fleet.restart(fleet.endpoints)
    fleet.run(fleet.plan.warm_after)


def warm_drained(fleet: ColdFleet) -> None:
    """Remove all warm endpoints of a zone while one of its endpoints is cold."""
    cold, *warm = fleet.zone_endpoints(ZONE)
    start_one(fleet, cold.number)
    fleet.measure()
    fleet.stop(warm)
    fleet.run(fleet.plan.warm_after - LEAD)


def warm_silent(fleet: ColdFleet) -> None:
    """Let all warm endpoints of a zone fall silent while one of its endpoints is cold."""
    cold, *warm = fleet.zone_endpoints(ZONE)
    start_one(fleet, cold.number)
    fleet.measure()
    for endpoint in warm:
        endpoint.silent = True
    fleet.run(fleet.plan.warm_after - LEAD)


def start_one(fleet: ColdFleet, number: int) -> None:
    """Lose one endpoint, and start it some seconds before the next event."""
    endpoint = fleet.endpoints[number]
    fleet.stop([endpoint])
    fleet.run(OUTAGE)
    fleet.restart([endpoint])
    fleet.run(LEAD)


COURSES: dict[str, Callable[[ColdFleet], None]] = {
    "one by one": one_by_one,
    "all at once": all_at_once,
    "whole fleet": whole_fleet,
    "warm drained": warm_drained,
    "warm silent": warm_silent,
}


def play(fleet: ColdFleet, course: Callable[[ColdFleet], None]) -> FleetResult:
    """Play a course after a warm period, and return what was measured."""
    fleet.connect()
    fleet.run(WARM_PERIOD)
    course(fleet)
    return fleet.result


def compare(course: Callable[[ColdFleet], None], seeds: int, **plan: Any) -> dict[str, Any]:
    """Return the means over seeds of a course's figures."""
    shares, other_shares, informed_shares = [], [], []
    max_overload, breaches = 0.0, 0
    for seed in range(seeds):
        given = FleetPlan(seed=seed, **plan)
        result = play(ColdFleet(given), course)
        shares.append(result.by_zone[ZONE].share)
        other_shares.append(result.by_zone[OTHER_ZONE].share)
        informed = [
            play(InformedFleet(given, utilization), course).by_zone[ZONE].share
            for utilization in INFORMED_UTILIZATIONS
        ]
        informed_shares.append(max(informed))
        max_overload = max(max_overload, result.max_overload)
        breaches += len(result.breaches)
    return {
        "served": round(sum(shares) / seeds, 2),
        "informed": round(sum(informed_shares) / seeds, 2),
        "other zone": round(sum(other_shares) / seeds, 2),
        "overload": round(max_overload, 2),
        "breaches": breaches,
    }


def main() -> None:
    """Print a line for each course and plan."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    for name, course in COURSES.items():
        for plan_name, plan in PLANS.items():
            figures = compare(course, seeds, **plan)
            print(json.dumps({"course": name, "warm-up": plan_name, **figures}), flush=True)


if __name__ == "__main__":
    main()
