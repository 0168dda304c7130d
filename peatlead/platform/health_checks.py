"""Health checks of endpoints: HTTP requests whose answers carry a load report."""

from collections.abc import Callable
from typing import Optional, Protocol

from ..health.prober import Prober
from ..interface import HealthCheckOutcome, LoadReport
from .messages import read_load_report
from .shared_types import Settings

CONCURRENT_CHECKS = 24
# Where file descriptors are few, connections of proxies come first: one check for so many.
DESCRIPTORS_PER_CHECK = 16
PENDING_CHECKS_LIMIT = 1000
CHECK_PATH = "/status/load"
DEFAULT_TIMEOUT = 0.25  # seconds for a whole check
OUTCOMES = {200: HealthCheckOutcome.OK, 503: HealthCheckOutcome.ERRORED}

# Takes the endpoint, outcome, duration in seconds, load report, and None.
OnResult = Callable[[int, str, float, Optional[LoadReport], None], None]


class HttpAnswer(Protocol):
    """What of an HTTP answer matters here."""

    @property
    def status(self) -> int:
        """The status code."""
        ...

    @property
    def body(self) -> bytes:
        """The whole body."""
        ...


def concurrent_checks(sockets: int) -> int:
    """Return how many checks may be out at a time with so many file descriptors."""
    return min(CONCURRENT_CHECKS, max(1, sockets // DESCRIPTORS_PER_CHECK))


def make_prober(settings: Settings, concurrency: int, on_result: OnResult) -> Prober:
    """Return a prober of the platform's endpoints."""
    return Prober(
        {
            "path": CHECK_PATH,
            "deadline": settings.get("connect_timeout", DEFAULT_TIMEOUT),
            "at_once": concurrency,
            "waiting_most": PENDING_CHECKS_LIMIT,
        },
        on_result,
        read_answer,
    )


def read_answer(answer: HttpAnswer) -> tuple[HealthCheckOutcome, Optional[LoadReport], None]:
    """Return the outcome and the load report; the platform's endpoints report nothing else."""
    outcome = OUTCOMES.get(answer.status, HealthCheckOutcome.ERRORED)
    return outcome, read_load_report(answer.body), None
