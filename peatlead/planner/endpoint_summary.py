"""What operators are shown of one endpoint: a copy that no decision depends on."""

from typing import NamedTuple, Optional

from .endpoint_state import EndpointState


class EndpointSummary(NamedTuple):
    """The planner's state of one endpoint at one time."""

    phase: str
    usable: bool  # whether tables may name it
    share: float  # part of its weight that is published
    reach: float  # part of its subscribers' requests that may come
    cold_for: Optional[float]  # seconds since its present cold start began; None once it is warm
    ejected_for: Optional[float]  # seconds until it returns; None unless it is ejected
    attempts: float  # faded, of the last round, as are the errors
    errors: float
    utilization: float  # fading: part of its cores in use
    failed_checks: int  # in a row
    subscribers: int  # proxies whose tables name it


def summarize(endpoint: EndpointState, subscribers: int, now: float) -> EndpointSummary:
    """The summary of an endpoint at `now`, in seconds of the planner's clock."""
    cold_from, ejected_until = endpoint.cold_from, endpoint.ejected_until
    return EndpointSummary(
        phase=endpoint.phase,
        usable=endpoint.usable,
        share=endpoint.share,
        reach=endpoint.reach,
        cold_for=None if cold_from is None else now - cold_from,
        ejected_for=None if ejected_until is None else ejected_until - now,
        attempts=endpoint.attempts,
        errors=endpoint.errors,
        utilization=endpoint.utilization,
        failed_checks=endpoint.failed_checks,
        subscribers=subscribers,
    )
