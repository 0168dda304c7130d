"""Endpoints that warm up after a start, and proxies, of a simulated fleet.

An endpoint works requests off in order. One that is sent more than the overload threshold while it
is cold falls and stays down, as in the obligations of the platform.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ..controller.view_state import ViewState

CORES = 3.0  # work in seconds that a warm endpoint does in a second


class RequestClass(NamedTuple):
    """A request class of the fleet; times are in seconds."""

    name: str
    work: float  # of an endpoint's core
    work_fraction: float  # of the work of all classes
    own_zone: bool
    target: float
    timeout: float


CLASSES = (
    RequestClass("quote", 0.36, 0.73, True, 2.0, 6.0),
    RequestClass("update", 0.24, 0.15, True, 1.2, 4.0),
    RequestClass("book", 0.24, 0.12, False, 1.2, 4.0),
)


class FleetPlan(NamedTuple):
    """The size, load and warm-up of a fleet."""

    classes: tuple[RequestClass, ...] = CLASSES
    endpoints_per_zone: tuple[int, ...] = (3, 9, 9)
    proxies_per_zone: int = 4
    load: float = 0.75  # work that arrives, as a fraction of the capacity of all endpoints
    cold_share: float = 0.15  # fraction of its capacity that an endpoint starts with
    warm_after: float = 16.0  # seconds
    # Exponent of the growth: 1 is even, above it most of the capacity comes late.
    warm_up_exponent: float = 1.0
    tip_multiple: float = 2.5
    tip_span: float = 2.0  # seconds
    failures_to_avoid: int = 8  # consecutive; 0 for never
    repeats: int = 0  # times that a client repeats a request that was refused
    seed: int = 1


class Request(NamedTuple):
    """A request in an endpoint's queue."""

    request_class: int
    proxy: int
    arrived_at: float  # seconds
    measured: bool


@dataclass
class Totals:
    """Requests that came, and those that were served, weighted by the gain of a late answer."""

    requests: float = 0.0
    served: float = 0.0

    @property
    def share(self) -> float:
        """The share of the requests that was served."""
        return self.served / max(1.0, self.requests)


class SentWork(NamedTuple):
    """The work of a request that was sent to an endpoint."""

    sent_at: float  # seconds
    work: float  # seconds
    informed: bool  # whether the sender counts for the obligation


class FleetEndpoint:
    """An endpoint that works requests off in order."""

    def __init__(self, number: int, zone: int, plan: FleetPlan) -> None:
        self.number = number
        self.zone = zone
        self.plan = plan
        self.up = True
        self.silent = False
        self.started_at = 0.0  # seconds
        self.listed_at = 0.0  # seconds, when the list told of the latest start
        self.queue: deque[Request] = deque()
        self.remaining_work = 0.0  # of the first request, in seconds
        self.sent: deque[SentWork] = deque()  # within the span
        self.used_work = 0.0  # since the last report, in seconds

    def capacity(self, now: float) -> float:
        """Return the work in seconds that the endpoint does in a second."""
        age = min(1.0, (now - self.started_at) / self.plan.warm_after)
        grown: float = max(0.0, age) ** self.plan.warm_up_exponent
        return CORES * (self.plan.cold_share + (1 - self.plan.cold_share) * grown)

    def overload(self, now: float) -> float:
        """Return the work sent within the span as a fraction of what makes the endpoint fall."""
        plan = self.plan
        while self.sent and self.sent[0].sent_at < now - plan.tip_span:
            self.sent.popleft()
        age = now - self.started_at
        if not self.up or not plan.tip_span <= age < plan.warm_after:
            return 0.0
        mean_capacity = (self.capacity(now) + self.capacity(now - plan.tip_span)) / 2
        bears = plan.tip_multiple * plan.tip_span * mean_capacity
        return float(sum(sent.work for sent in self.sent) / bears)

    def informed_fraction(self) -> float:
        """Return the fraction of the work sent within the span that counts for the obligation."""
        work = sum(sent.work for sent in self.sent)
        return sum(sent.work for sent in self.sent if sent.informed) / max(work, 1e-9)


class FleetProxy:
    """A proxy: what it was sent, and which endpoints it avoids."""

    def __init__(self, number: int, zone: int) -> None:
        self.number = number
        self.zone = zone
        self.view = ViewState()
        self.failures: dict[int, int] = {}  # consecutive, by endpoint
        self.avoided_until: dict[int, float] = {}  # seconds, by endpoint
        self.requests: dict[int, int] = {}  # since the last report, by class
        self.last_message_sent_at = 0.0  # seconds

    def admitted_fraction(self, request_class: int) -> float:
        """Return the fraction of a class's requests that the proxy forwards."""
        return self.view.admissions.get(request_class, (1.0, ""))[0]

    def weights(self, request_class: int, now: float) -> dict[int, float]:
        """Return the weights among which the proxy picks."""
        weights = self.view.weights(request_class)
        return {
            endpoint: weight
            for endpoint, weight in weights.items()
            if self.avoided_until.get(endpoint, 0.0) <= now
        } or weights


@dataclass
class ReportCounts:
    """What the proxies of one zone met at one endpoint since the last report."""

    attempts: int = 0
    errors: int = 0
    latency: float = 0.0  # seconds, of the successes


@dataclass
class FleetResult:
    """What a run shows."""

    by_zone: dict[int, Totals] = field(default_factory=dict)  # of the measured requests
    max_overload: float = 0.0  # of what makes a cold endpoint fall
    fallen: list[int] = field(default_factory=list)  # numbers of endpoints
    # Those of them for whose fall the planner is responsible.
    breaches: list[int] = field(default_factory=list)
    min_fractions: dict[int, float] = field(default_factory=dict)  # admitted, by zone of proxies
