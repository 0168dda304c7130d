"""The load and errors of the whole fleet, as the median attempt had them.

The median attempt, not the median endpoint: cold endpoints that get little say nothing of the
capacity that is left.
"""

from math import ceil, fsum
from typing import NamedTuple

from .context import PlannerContext
from .endpoint_state import READY, EndpointState
from .request_demand import RequestDemand
from .statistics import median, weighted_median

HIGH_ERROR_RATE = 0.1  # of the median attempt's endpoint
HIGH_LATENESS = 0.42  # of the response target
BUSY = 0.7  # utilization, from which the fleet has little capacity left
SATURATED = 0.9  # utilization that counts as none left
SATURATION_HYSTERESIS = 0.2  # below it, until a saturated fleet counts as recovered
LEAST_REPORTED_ATTEMPTS = 0.5  # faded, of an endpoint that speaks for the fleet
PEER_ATTEMPTS = 2  # faded, of an endpoint that others are compared with


class PeerMedians(NamedTuple):
    """The medians that one endpoint is compared with."""

    error_rate: float
    utilization: float
    latency: float  # seconds
    target: float  # seconds, the mean response target


class FleetLoad:
    """The fleet's state as of the last round."""

    def __init__(self, context: PlannerContext, demand: RequestDemand) -> None:
        self.context = context
        self.demand = demand
        self.error_rate = 0.0
        self.utilization = 0.0
        self.lateness = 0.0  # mean latency by the mean response target
        self.reporting = 0  # usable endpoints with attempts
        self.saturated = False  # no capacity is left
        self.mean_share = 1.0  # of the ready endpoints, where little capacity is left; else 1

    def ready_endpoints(self) -> list[EndpointState]:
        """Those that are listed ready and known to exist, ejected ones among them."""
        return [
            endpoint
            for endpoint in self.context.endpoints.values()
            if endpoint.phase == READY and endpoint.confirmed
        ]

    def measure(self, ready: list[EndpointState], admitted: float) -> PeerMedians:
        """Take the round's figures in; `admitted` is the fraction of all work that is admitted."""
        reporting = [
            endpoint
            for endpoint in ready
            if endpoint.usable and endpoint.attempts >= LEAST_REPORTED_ATTEMPTS
        ]
        target = self.demand.mean_target()
        self._measure_attempts(reporting, target)
        lateness, errors = self.lateness / HIGH_LATENESS, self.error_rate / HIGH_ERROR_RATE
        worst = max(self.utilization / SATURATED, lateness, errors)
        recovered = 1 - SATURATION_HYSTERESIS * self.saturated
        self.saturated = worst > recovered and self.utilization > BUSY
        self.mean_share = self._mean_share(ready, admitted)
        peers = [endpoint for endpoint in reporting if endpoint.attempts >= PEER_ATTEMPTS]
        return PeerMedians(
            median([endpoint.error_rate for endpoint in peers]),
            median([endpoint.utilization for endpoint in peers]),
            median([endpoint.mean_latency for endpoint in peers]),
            target,
        )

    def _measure_attempts(self, reporting: list[EndpointState], target: float) -> None:
        """Take the medians over attempts.

        A few attempts an endpoint are enough: where little is admitted nothing else would show
        recovery.
        """
        counts = [ceil(endpoint.own_attempts) for endpoint in reporting]
        error_rates = [endpoint.error_rate for endpoint in reporting]
        utilizations = [endpoint.utilization for endpoint in reporting]
        latencies = [endpoint.mean_latency for endpoint in reporting]
        self.error_rate = weighted_median(list(zip(error_rates, counts)))
        self.utilization = weighted_median(list(zip(utilizations, counts)))
        self.lateness = weighted_median(list(zip(latencies, counts))) / target
        self.reporting = len(reporting)

    def _mean_share(self, ready: list[EndpointState], admitted: float) -> float:
        """Where proxies avoid what fails them, what ramping endpoints lack weighs on the others."""
        avoids = self.context.settings.get("fails_to_shun")
        if avoids and (admitted < 1 or self.utilization > BUSY):
            shares = [endpoint.weight_fraction for endpoint in ready if endpoint.usable]
            return fsum(shares) / max(1, len(ready))
        return 1.0
