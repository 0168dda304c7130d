"""Computes and publishes the admitted fraction and the retry policy of each request class.

The admitted fraction of all work is computed in load_shedding.py. While it is below 1, the class
with the lowest value per unit of work is cut first, provided that its value per unit of work is
below that of all classes together. Otherwise all classes are cut equally.
"""

from math import fsum
from typing import Optional

from ..interface import Admission, RequestStats, RetryPolicy, SetAdmission
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .fleet_load import FleetLoad
from .input_bounds import request_stats_are_usable
from .load_shedding import LoadShedding
from .proxy_state import ProxyState
from .request_demand import RequestDemand
from .table_admission import TableAdmission
from .zone_capacity import MIN_DIVISOR

MIN_CLASS_FRACTION = 0.05  # minimum admitted fraction of a class


class ClassAdmission:
    """Computes the admissions of all request classes, and publishes those that have changed."""

    def __init__(
        self,
        context: PlannerContext,
        demand: RequestDemand,
        fleet_load: FleetLoad,
        load_shedding: LoadShedding,
        table_admission: TableAdmission,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.demand = demand
        self.fleet_load = fleet_load
        self.load_shedding = load_shedding
        self.table_admission = table_admission
        self.budget = budget
        # The published admission of each class; None before the first batch.
        self.admissions: Optional[list[Admission]] = None

    def on_request_stats(self, event: RequestStats) -> None:
        """Count the requests of one class that arrived at a proxy."""
        proxy = self.context.proxies.get(event.proxy)
        if not request_stats_are_usable(event, self.context.settings["sums_every"]):
            return
        if proxy and event.request_class < len(self.demand.requests):
            self.demand.add(proxy, event, self._admitted_fraction(proxy, event.request_class))

    def _admitted_fraction(self, proxy: ProxyState, request_class: int) -> float:
        """Return the fraction of a class that a proxy admits: the lower one of class and table."""
        assert self.admissions is not None, "admissions are published before the first event"
        group = self.table_admission.pools.group_of_class[request_class]
        return min(
            self.admissions[request_class].fraction, self.table_admission.fraction(proxy, group)
        )

    def publish(self) -> None:
        """Emit the admissions that have changed."""
        previous, admissions = self.admissions, self._compute_admissions()
        if admissions == previous:
            return
        self.context.log(
            "admitted fractions by request class: "
            f"{[admission.fraction for admission in admissions]}"
        )
        self.context.commands += [
            SetAdmission(None, (request_class,), *admission)
            for request_class, admission in enumerate(admissions)
            if not previous or admission != previous[request_class]
        ]
        self.admissions = admissions
        self.table_admission.set_retry_policy(admissions[0].retry_policy)
        for proxy in self.context.connected_proxies:
            self.budget.spend(proxy, len(admissions))

    def _compute_admissions(self) -> list[Admission]:
        """Return the admissions by class.

        Retries are allowed only while the fleet is not saturated: in an overload they add load.
        """
        policy = RetryPolicy.NEVER if self.fleet_load.saturated else RetryPolicy.UNSTARTED
        return [
            Admission(round(max(MIN_CLASS_FRACTION, fraction), 2), policy.value)
            for fraction in self._compute_fractions()
        ]

    def _compute_fractions(self) -> list[float]:
        """Return the admitted fractions by class, cutting the least valuable class first."""
        work = self.demand.work()
        total_work = fsum(work)
        relative_values = self._relative_values(work)
        lowest_class = relative_values.index(min(relative_values))
        if relative_values[lowest_class] >= 1:
            return [self.load_shedding.admitted_fraction] * len(work)
        excess_work = total_work * (1 - self.load_shedding.admitted_fraction)
        removed_work = min(excess_work, work[lowest_class] * (1 - MIN_CLASS_FRACTION))
        other_fraction = 1 - (excess_work - removed_work) / max(
            MIN_DIVISOR, total_work - work[lowest_class]
        )
        fractions = [other_fraction] * len(work)
        fractions[lowest_class] = 1 - removed_work / work[lowest_class]
        return fractions

    def _relative_values(self, work: list[float]) -> list[float]:
        """Return the value per unit of work of each class, relative to that of all classes.

        Classes without any value count as equally valuable.
        """
        settings = self.context.settings
        worst_class_value = settings.get("value_of_worst_kind", 0.0)
        gains = [
            requests * request_class["gain"]
            for requests, request_class in zip(self.demand.requests, settings["req_kinds"])
        ]
        total_gain, total_work = fsum(gains), fsum(work)
        if not total_gain:
            return [1.0] * len(work)
        return [
            ((1 - worst_class_value) * gain / total_gain + worst_class_value)
            * total_work
            / class_work
            for gain, class_work in zip(gains, work)
        ]
