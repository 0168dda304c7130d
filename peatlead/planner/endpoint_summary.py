"""A summary of one endpoint for operators; no decision depends on it."""

from typing import NamedTuple, Optional

from .endpoint_state import EndpointState


class EndpointSummary(NamedTuple):
    """The planner's state of one endpoint at one time."""

    phase: str
    usable: bool  # whether tables may name the endpoint
    weight_fraction: float  # published fraction of the listed weight, 0 to 1
    # Fraction of the subscribers' requests to send to the endpoint, 0 to 1.
    traffic_fraction: float
    cold_for: Optional[float]  # seconds since the start of the cold start; None if warm
    ejected_for: Optional[float]  # seconds until the ejection ends; None if not ejected
    attempts: float  # decayed count as of the last round
    errors: float  # decayed count as of the last round
    utilization: float  # moving average, 0 to 1
    failed_checks: int  # consecutive
    subscribers: int  # number of proxies whose tables name the endpoint


def summarize(endpoint: EndpointState, subscribers: int, now: float) -> EndpointSummary:
    """Return the summary of an endpoint at `now`, in seconds of the planner's clock."""
    cold_since, ejected_until = endpoint.cold_since, endpoint.ejected_until
    return EndpointSummary(
        phase=endpoint.phase,
        usable=endpoint.usable,
        weight_fraction=endpoint.weight_fraction,
        traffic_fraction=endpoint.traffic_fraction,
        cold_for=None if cold_since is None else now - cold_since,
        ejected_for=None if ejected_until is None else ejected_until - now,
        attempts=endpoint.attempts,
        errors=endpoint.errors,
        utilization=endpoint.utilization,
        failed_checks=endpoint.failed_checks,
        subscribers=subscribers,
    )
