"""Load, latency and errors of the whole fleet, as medians over attempts.

The median is taken over attempts rather than endpoints, because cold endpoints that receive few
requests say little about the remaining capacity.
"""

from math import ceil, fsum
from typing import NamedTuple

from .context import PlannerContext
from .endpoint_state import READY, EndpointState
from .request_demand import RequestDemand
from .statistics import median, weighted_median

HIGH_ERROR_RATE = 0.1  # median error rate over attempts, 0 to 1
# Median latency over attempts, divided by the mean response target.
HIGH_LATENCY_RATIO = 0.42
BUSY_UTILIZATION = 0.7  # above it the fleet has little spare capacity
SATURATED_UTILIZATION = 0.9  # above it the fleet has no spare capacity
SATURATION_HYSTERESIS = 0.2  # relative decrease after which a saturated fleet counts as recovered
MIN_REPORTED_ATTEMPTS = 0.5  # decayed; endpoints with fewer are not in the fleet's medians
MIN_PEER_ATTEMPTS = 2  # decayed; endpoints with fewer are not in the peers' medians


class PeerMedians(NamedTuple):
    """Medians over the endpoints that each endpoint is compared with."""

    error_rate: float
    utilization: float
    latency: float  # seconds
    target: float  # seconds, the mean response target


class FleetLoad:
    """The state of the fleet as of the last round."""

    def __init__(self, context: PlannerContext, demand: RequestDemand) -> None:
        self.context = context
        self.demand = demand
        self.error_rate = 0.0  # median over attempts, 0 to 1
        self.utilization = 0.0  # median over attempts, 0 to 1
        self.latency_ratio = 0.0  # median latency relative to the mean response target
        self.reporting_endpoints = 0  # number of usable endpoints with attempts
        self.saturated = False  # whether the fleet has no spare capacity
        self.mean_weight_fraction = 1.0  # see `_mean_weight_fraction`

    def ready_endpoints(self) -> list[EndpointState]:
        """Return the endpoints that are listed as ready and confirmed, including ejected ones."""
        return [
            endpoint
            for endpoint in self.context.endpoints.values()
            if endpoint.phase == READY and endpoint.confirmed
        ]

    def measure(self, ready: list[EndpointState], admitted_fraction: float) -> PeerMedians:
        """Update the fleet's load from the round's reports and return the peers' medians.

        `admitted_fraction` is the fraction of all work that is admitted.
        """
        reporting = [
            endpoint
            for endpoint in ready
            if endpoint.usable and endpoint.attempts >= MIN_REPORTED_ATTEMPTS
        ]
        target = self.demand.mean_target()
        self._update_attempt_medians(reporting, target)
        relative_latency, relative_errors = (
            self.latency_ratio / HIGH_LATENCY_RATIO,
            self.error_rate / HIGH_ERROR_RATE,
        )
        severity = max(self.utilization / SATURATED_UTILIZATION, relative_latency, relative_errors)
        threshold = 1 - SATURATION_HYSTERESIS * self.saturated
        self.saturated = severity > threshold and self.utilization > BUSY_UTILIZATION
        self.mean_weight_fraction = self._mean_weight_fraction(ready, admitted_fraction)
        peers = [endpoint for endpoint in reporting if endpoint.attempts >= MIN_PEER_ATTEMPTS]
        return PeerMedians(
            median([endpoint.error_rate for endpoint in peers]),
            median([endpoint.utilization for endpoint in peers]),
            median([endpoint.mean_latency for endpoint in peers]),
            target,
        )

    def _update_attempt_medians(self, reporting: list[EndpointState], target: float) -> None:
        """Update the medians over attempts.

        Endpoints with few attempts are included too: while little is admitted, their reports are
        the only signs of recovery.
        """
        counts = [ceil(endpoint.own_attempts) for endpoint in reporting]
        error_rates = [endpoint.error_rate for endpoint in reporting]
        utilizations = [endpoint.utilization for endpoint in reporting]
        latencies = [endpoint.mean_latency for endpoint in reporting]
        self.error_rate = weighted_median(list(zip(error_rates, counts)))
        self.utilization = weighted_median(list(zip(utilizations, counts)))
        self.latency_ratio = weighted_median(list(zip(latencies, counts))) / target
        self.reporting_endpoints = len(reporting)

    def _mean_weight_fraction(self, ready: list[EndpointState], admitted_fraction: float) -> float:
        """Return the mean published fraction of the ready endpoints' weights.

        The result is 1 unless proxies avoid failing endpoints and the fleet is busy or sheds load.
        In that case the other endpoints must carry the load that ramping endpoints do not take.
        """
        avoids_failing = self.context.settings.get("fails_to_shun")
        if avoids_failing and (admitted_fraction < 1 or self.utilization > BUSY_UTILIZATION):
            fractions = [endpoint.weight_fraction for endpoint in ready if endpoint.usable]
            return fsum(fractions) / max(1, len(ready))
        return 1.0
