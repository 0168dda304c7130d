"""Estimates how many requests the endpoints of a zone can serve.

An endpoint that serves a number of requests while a fraction of its cores is in use could serve
that number divided by the fraction. Reports cover the proxies of this controller only, whereas the
utilization is caused by the proxies of all controllers. The result is therefore this controller's
part of the capacity, which is what its own proxies may use.
"""

from math import fsum

from ..interface import EndpointStats
from .context import PlannerContext
from .endpoint_state import READY, Counts, EndpointState
from .input_bounds import rate_window
from .load_statistics import LoadStatistics
from .request_demand import RequestDemand, total_rate
from .statistics import median

SUCCESS_RATE_WINDOW = 3  # reports that the rate of successful attempts is averaged over
CAPACITY_WINDOW = 5  # rounds that a zone's capacity is averaged over
MAX_RATE_AGE = 2  # reporting cycles after which a rate is outdated
# Assumed utilization of the fleet if endpoints do not report theirs.
NOMINAL_UTILIZATION = 0.7
MIN_REPORTED_UTILIZATION = (
    0.05  # lower bound, since a capacity computed from an idle endpoint is inexact
)
MIN_SUCCESS_RATE = 0.5  # of the attempts in a report; other reports tell nothing about capacity


class EndpointCapacity:
    """The capacity per unit of weight of warm endpoints, in requests per second by zone."""

    def __init__(
        self, context: PlannerContext, demand: RequestDemand, load_statistics: LoadStatistics
    ) -> None:
        self.context = context
        self.demand = demand
        self.load_statistics = load_statistics
        # By zone of the endpoints; kept while a zone has no warm endpoints.
        self.by_zone: dict[int, float] = {}

    def on_endpoint_stats(self, event: EndpointStats, counts: Counts) -> None:
        """Update the rate of successful attempts from the counts that the statistics used."""
        endpoint = self.context.endpoints[event.endpoint]
        if not _shows_capacity(event, endpoint):
            return
        window = rate_window(event.window, self.context.settings["sums_every"])
        rate = (counts.attempts - counts.errors) / window
        average = endpoint.success_rates.get(event.zone, rate)
        endpoint.success_rates[event.zone] = average + (rate - average) / SUCCESS_RATE_WINDOW

    def end_round(self) -> None:
        """Update the capacity of each zone from the median of its warm endpoints.

        With the median, the reports on one endpoint do not decide the capacity of a zone alone.
        """
        capacities: dict[int, list[float]] = {}
        for endpoint in self.context.endpoints.values():
            capacity = self._capacity_per_weight(endpoint)
            if capacity:
                capacities.setdefault(endpoint.zone, []).append(capacity)
        for zone, values in capacities.items():
            current = median(values)
            average = self.by_zone.get(zone, current)
            self.by_zone[zone] = average + (current - average) / CAPACITY_WINDOW

    def per_weight(self, zone: int) -> float:
        """Return the requests per second that a warm endpoint of weight 1 in the zone can serve.

        A zone without reports is like the median zone. Without any report, the requests that
        proxies have announced are assumed to use `NOMINAL_UTILIZATION` of the listed endpoints.
        """
        known = self.by_zone.get(zone) or median(list(self.by_zone.values()))
        return known or self._announced_capacity()

    def _capacity_per_weight(self, endpoint: EndpointState) -> float:
        """Return the capacity that recent reports on the endpoint show, or 0 if there are none."""
        oldest = self.context.now - MAX_RATE_AGE * self.load_statistics.reporting_cycle
        rates = [
            rate
            for zone, rate in endpoint.success_rates.items()
            if endpoint.counts_by_zone[zone].updated_at >= oldest
        ]
        if endpoint.cold_since is not None or not endpoint.usable or not endpoint.weight:
            return 0.0
        if "util" in self.context.settings["report_fields"]:
            utilization = max(MIN_REPORTED_UTILIZATION, endpoint.utilization)
        else:
            utilization = NOMINAL_UTILIZATION
        return fsum(rates) / utilization / endpoint.weight

    def _announced_capacity(self) -> float:
        """Return the capacity per unit of weight that the announced rates imply."""
        max_rate = self.demand.max_announced_rate()
        rate = fsum([total_rate(proxy, max_rate) for proxy in self.context.connected_proxies])
        weight = fsum(
            [
                endpoint.weight
                for endpoint in self.context.endpoints.values()
                if endpoint.phase == READY
            ]
        )
        return rate / weight / NOMINAL_UTILIZATION if weight else 0.0


def _shows_capacity(event: EndpointStats, endpoint: EndpointState) -> bool:
    """Return whether the report tells how much a warm endpoint serves."""
    return (
        endpoint.cold_since is None
        and event.attempts - event.errors >= MIN_SUCCESS_RATE * event.attempts
    )
