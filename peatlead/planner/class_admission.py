"""Which request classes are cut when less is admitted, and what is published to proxies.

The class that earns least for the work it saves is cut first, if that beats cutting all alike; the
fraction of all work is decided in load_shedding.py.
"""

from math import fsum
from typing import NamedTuple, Optional

from ..interface import RequestStats, RetryPolicy, SetAdmission
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .fleet_load import FleetLoad
from .load_shedding import LoadShedding
from .request_demand import RequestDemand
from .zone_capacity import TINY

LEAST_ADMITTED_CLASS = 0.05  # of one class


class Admission(NamedTuple):
    """What is published to proxies for one class."""

    fraction: float
    retry_policy: str


class ClassAdmission:
    """The admitted fraction and the retry policy of each request class."""

    def __init__(
        self,
        context: PlannerContext,
        demand: RequestDemand,
        fleet_load: FleetLoad,
        shedding: LoadShedding,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.demand = demand
        self.fleet_load = fleet_load
        self.shedding = shedding
        self.budget = budget
        self.admissions: Optional[list[Admission]] = None  # by class, as published

    def on_request_stats(self, event: RequestStats) -> None:
        """Count requests that came to a proxy."""
        proxy = self.context.proxies.get(event.proxy)
        if proxy and event.window and event.request_class < len(self.demand.requests):
            assert self.admissions is not None, "published before the first event"
            self.demand.add(proxy, event, self.admissions[event.request_class].fraction)

    def publish(self) -> None:
        """Emit the admissions that have changed."""
        before, admissions = self.admissions, self._admissions()
        if admissions == before:
            return
        self.context.log(f"levels {[admission.fraction for admission in admissions]}")
        self.context.commands += [
            SetAdmission(None, (request_class,), *admission)
            for request_class, admission in enumerate(admissions)
            if not before or admission != before[request_class]
        ]
        self.admissions = admissions
        for proxy in self.context.joined:
            self.budget.spend(proxy, len(admissions))

    def _admissions(self) -> list[Admission]:
        """By class.

        A retry finds an endpoint with capacity while there is one; in an overload it adds to it.
        """
        policy = RetryPolicy.NEVER if self.fleet_load.saturated else RetryPolicy.UNSTARTED
        return [
            Admission(round(max(LEAST_ADMITTED_CLASS, fraction), 2), policy.value)
            for fraction in self._fractions()
        ]

    def _fractions(self) -> list[float]:
        """By class: the one that earns least for its work is cut first, if that is worth it."""
        work = self.demand.work()
        all_work = fsum(work)
        costs = self._costs(work)
        cheapest = costs.index(min(costs))
        if costs[cheapest] >= 1:
            return [self.shedding.admitted] * len(work)
        excess = all_work * (1 - self.shedding.admitted)
        taken = min(excess, work[cheapest] * (1 - LEAST_ADMITTED_CLASS))
        others = 1 - (excess - taken) / max(TINY, all_work - work[cheapest])
        fractions = [others] * len(work)
        fractions[cheapest] = 1 - taken / work[cheapest]
        return fractions

    def _costs(self, work: list[float]) -> list[float]:
        """By class: what a unit of its work earns, by what a unit of all work does."""
        settings = self.context.settings
        worst = settings.get("value_of_worst_kind", 0.0)
        gains = [
            requests * request_class["gain"]
            for requests, request_class in zip(self.demand.requests, settings["req_kinds"])
        ]
        all_gain, all_work = fsum(gains), fsum(work)
        return [
            ((1 - worst) * gain / all_gain + worst) * all_work / class_work
            for gain, class_work in zip(gains, work)
        ]
