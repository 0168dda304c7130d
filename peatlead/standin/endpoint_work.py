"""What a stand-in endpoint is, the requests it works on, and what it counts.

The fields of `Plan` are those of the command in which it is sent; `RequestCounts` is the form in
which counts are reported to health checks.
"""

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from .hosts import Connection


class EndpointPlan(msgspec.Struct):
    """What an endpoint is.

    `work` is the mean seconds of one core and `repeat` the repeat semantics, both by request class.
    """

    name: str
    zone: str
    pod: int
    address: str
    port: int
    cores: int
    work: dict[str, float]
    repeat: dict[str, str]
    cold_share: float  # of its speed that a process has when it starts
    warm_after: float  # seconds from start to full speed
    tip_multiple: float  # of its present speed that overloads a cold process
    tip_span: float  # seconds over which the work offered is compared with that
    room: int = 60  # requests in the queue
    connections: int = 400
    window: float = 2.0  # seconds in which a repeat is recognized
    deep: bool = True  # health checks pass through the queue
    cold: bool = False  # at its first start


class Pods:
    """What the endpoints of one pod share: the uniqued requests that took effect lately."""

    MAX_REQUESTS = 100_000  # of a pod

    def __init__(self) -> None:
        self.seen: dict[int, dict[str, float]] = {}  # pod -> request id -> time

    def is_repeat(self, pod: int, request_id: str, now: float, window: float) -> bool:
        """Whether a request came to the pod within the window before; if not, remember it."""
        seen = self.seen.setdefault(pod, {})
        for oldest in list(seen)[:2]:
            if now - seen[oldest] > window or len(seen) > self.MAX_REQUESTS:
                del seen[oldest]
        repeat = request_id in seen and now - seen[request_id] <= window
        if not repeat:
            seen[request_id] = now
        return repeat


class Job:
    """A request or health check in the queue or in work."""

    __slots__ = (
        "request_id",
        "request_class",
        "work",
        "connection",
        "network",
        "arrived",
        "abandoned",
        "is_check",
        "repeat",
    )

    def __init__(
        self,
        request_id: str,
        request_class: str,
        work: float,
        connection: "Connection",
        arrived: float,
        is_check: bool = False,
        repeat: bool = False,
    ) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.work = work  # seconds of one core at full speed
        self.connection = connection
        self.network = connection.network
        self.arrived = arrived
        self.abandoned = False  # the client has gone
        self.is_check = is_check
        self.repeat = repeat  # worked on like the first, without effect


class RequestCounts(msgspec.Struct, array_like=True):
    """Requests of one class from one network since the process started."""

    arrived: int = 0
    done: int = 0
    errors: int = 0
    rejected: int = 0  # the queue was full
    abandoned: int = 0
    shed: int = 0
    seconds: float = 0.0  # from arrival to response, of all that are done


class CountReport(msgspec.Struct):
    """The body of a response to a health check."""

    boot: str  # identifies the process
    kinds: list[str]
    networks: dict[str, list[RequestCounts]]  # in the order of `kinds`


class HeavyRequests(NamedTuple):
    """A fault: requests of a class that take more work than they should."""

    request_class: str
    share: float  # of the class's requests
    factor: float  # of their work
