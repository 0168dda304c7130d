"""Data types of stand-in endpoints: their plan, the jobs in their queue, and their counts.

The names of the fields of `EndpointPlan` are JSON keys of the command that adds an endpoint.
`RequestCounts` and `CountReport` are the body of a response to a health check.
"""

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from .hosts import Connection


class EndpointPlan(msgspec.Struct):
    """The properties of an endpoint.

    `work` maps each request class to the mean work of a request in seconds of one core. `repeat`
    maps each request class to its repeat semantics.
    """

    name: str
    zone: str
    pod: int
    address: str
    port: int
    cores: int
    work: dict[str, float]
    repeat: dict[str, str]
    cold_share: float  # fraction of full speed at the start of the process
    warm_after: float  # seconds from start to full speed
    tip_multiple: float  # load that overloads a cold process, as a multiple of its capacity
    tip_span: float  # seconds over which the offered load is measured
    room: int = 60  # maximum number of jobs in the queue
    connections: int = 400  # maximum number
    window: float = 2.0  # seconds in which a repeated request is recognized
    deep: bool = True  # health checks pass through the queue
    cold: bool = False  # whether the first process starts cold


class PodRequestIds:
    """The ids of recent uniqued requests, which the endpoints of a pod share."""

    MAX_REQUESTS = 100_000  # stored ids per pod

    def __init__(self) -> None:
        self.received_at: dict[int, dict[str, float]] = {}  # pod -> request id -> time in seconds

    def is_repeat(self, pod: int, request_id: str, now: float, window: float) -> bool:
        """Whether the pod received a request in the last `window` seconds; if not, store its id."""
        received_at = self.received_at.setdefault(pod, {})
        for oldest in list(received_at)[:2]:
            if now - received_at[oldest] > window or len(received_at) > self.MAX_REQUESTS:
                del received_at[oldest]
        repeat = request_id in received_at and now - received_at[request_id] <= window
        if not repeat:
            received_at[request_id] = now
        return repeat


class Job:
    """A request or health check that waits in the queue or is being processed."""

    __slots__ = (
        "request_id",
        "request_class",
        "work",
        "connection",
        "network",
        "arrived",
        "abandoned",
        "is_health_check",
        "repeat",
    )

    def __init__(
        self,
        request_id: str,
        request_class: str,
        work: float,
        connection: "Connection",
        arrived: float,
        is_health_check: bool = False,
        repeat: bool = False,
    ) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.work = work  # seconds of one core at full speed
        self.connection = connection
        self.network = connection.network
        self.arrived = arrived
        self.abandoned = False  # the client closed the connection
        self.is_health_check = is_health_check
        self.repeat = repeat  # a repeat costs the same work but has no effect


class RequestCounts(msgspec.Struct, array_like=True):
    """Counts of requests of one class from one network since the process started."""

    arrived: int = 0
    done: int = 0
    errors: int = 0
    rejected: int = 0  # because the queue was full
    abandoned: int = 0
    shed: int = 0
    seconds: float = 0.0  # sum of the latencies of done requests


class CountReport(msgspec.Struct):
    """The body of a response to a health check."""

    boot: str  # identifies the process
    kinds: list[str]
    networks: dict[str, list[RequestCounts]]  # in the order of `kinds`


class HeavyRequests(NamedTuple):
    """A fault in which some requests of a class take more work than planned."""

    request_class: str
    fraction: float  # of the class's requests
    factor: float  # by which their work is multiplied
