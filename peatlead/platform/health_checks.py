"""Health checks of endpoints: HTTP requests whose responses contain a load report."""

from collections.abc import Callable
from typing import Optional, Protocol

from ..health.prober import Prober
from ..interface import HealthCheckOutcome, LoadReport
from .messages import read_load_report
from .shared_types import Settings

MAX_CONCURRENT_CHECKS = 24
# File descriptors for each concurrent check; the connections of proxies need most descriptors.
DESCRIPTORS_PER_CHECK = 16
MAX_QUEUED_CHECKS = 1000
CHECK_PATH = "/status/load"
DEFAULT_TIMEOUT = 0.25  # seconds, for the whole check
OUTCOME_BY_STATUS = {200: HealthCheckOutcome.OK, 503: HealthCheckOutcome.ERRORED}

# Arguments: the endpoint's number, the outcome, the duration in seconds, the load report, and None,
# because these checks report no request counts.
OnResult = Callable[[int, str, float, Optional[LoadReport], None], None]


class HttpResponse(Protocol):
    """The part of an HTTP response that health checks use."""

    @property
    def status(self) -> int:
        """The HTTP status code."""
        ...

    @property
    def body(self) -> bytes:
        """The response's body."""
        ...


def max_concurrent_checks(sockets: int) -> int:
    """Return the maximum number of concurrent checks for a number of file descriptors."""
    return min(MAX_CONCURRENT_CHECKS, max(1, sockets // DESCRIPTORS_PER_CHECK))


def make_prober(settings: Settings, max_checks: int, on_result: OnResult) -> Prober:
    """Return a prober for the platform's endpoints."""
    return Prober(
        {
            "path": CHECK_PATH,
            "deadline": settings.get("connect_timeout", DEFAULT_TIMEOUT),
            "at_once": max_checks,
            "waiting_most": MAX_QUEUED_CHECKS,
        },
        on_result,
        read_response,
    )


def read_response(response: HttpResponse) -> tuple[HealthCheckOutcome, Optional[LoadReport], None]:
    """Return the outcome, the load report, and None in place of request counts."""
    outcome = OUTCOME_BY_STATUS.get(response.status, HealthCheckOutcome.ERRORED)
    return outcome, read_load_report(response.body), None
