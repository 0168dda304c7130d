"""What operators are shown of one endpoint: a copy that no decision depends on."""

from typing import NamedTuple, Optional

from .endpoint_state import EndpointState


class EndpointSummary(NamedTuple):
    """The planner's state of one endpoint at one time."""

    phase: str
    usable: bool  # whether tables may name it
    weight_fraction: float  # part of its weight that is published
    traffic_fraction: float  # part of its subscribers' requests that may come
    cold_for: Optional[float]  # seconds since its present cold start began; None once it is warm
    ejected_for: Optional[float]  # seconds until it returns; None unless it is ejected
    attempts: float  # faded, of the last round, as are the errors
    errors: float
    utilization: float  # fading: part of its cores in use
    failed_checks: int  # in a row
    subscribers: int  # proxies whose tables name it


def summarize(endpoint: EndpointState, subscribers: int, now: float) -> EndpointSummary:
    """The summary of an endpoint at `now`, in seconds of the planner's clock."""
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
