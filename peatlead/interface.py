"""Events that the planner receives, and commands that it returns.

This module holds types only, without logic. Times are float seconds on the controller's own
monotonic clock. `endpoint`, `proxy`, `zone`, `machine_type`, `cell`, `table` and `request_class`
are small non-negative integers that the controller assigns. `Endpoint.name` is the endpoint's
stable name, which is the same on every controller.

The string values of the enumerations appear in settings and stored lists.
"""

from enum import StrEnum
from typing import NamedTuple, Optional, Union

LoadReport = dict[str, float]  # by metric: "util" (0 to 1), "waiting", "holding" (requests), ...


class EndpointPhase(StrEnum):
    """The lifecycle phase of an endpoint according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(StrEnum):
    """Which part of the endpoint list an update covers."""

    CHANGES = "changes"  # endpoints that are not in the update are unchanged
    WHOLE = "whole"  # endpoints that are not in the update are gone
    REMEMBERED = "remembered"  # the complete list, as stored before a restart
    UNAVAILABLE = "unavailable"  # the source failed; the update holds no information


class HealthCheckOutcome(StrEnum):
    """The result of a health check."""

    OK = "ok"
    ERRORED = "errored"  # the endpoint answered with an error
    DENIED = "denied"  # not sent: the controller's own machine lacked a resource
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"  # the connection closed, or the answer was malformed


class RetryPolicy(StrEnum):
    """Which further attempts a proxy may make after the first attempt at a request."""

    NEVER = "never"
    UNSTARTED = "unstarted"  # only if the endpoint guarantees that it had not started the request
    ONCE = "once"
    TWICE = "twice"


# Events.


class Endpoint(NamedTuple):
    """An entry of the endpoint list.

    `phase` is an `EndpointPhase`. `weight` is relative to the weights of the other endpoints.
    `started_at` is the start time of the endpoint's process in seconds.
    """

    id: int
    name: bytes
    zone: int
    machine_type: int
    cell: int
    phase: str
    weight: float
    started_at: float


class EndpointUpdate(NamedTuple):
    """A complete endpoint list, or changes to the list. `scope` is a `ListScope`."""

    scope: str
    version: int
    endpoints: tuple[Endpoint, ...]


class ProxyConnected(NamedTuple):
    """A proxy has opened its stream.

    `request_rate` is in requests per second. `bootstrap_only` is true if the proxy does not hold a
    table of any controller yet.
    """

    proxy: int
    zone: int
    request_rate: float
    bootstrap_only: bool


class ProxyDisconnected(NamedTuple):
    """The stream of a proxy has closed."""

    proxy: int


class EndpointStats(NamedTuple):
    """Statistics of the attempts at one endpoint by the connected proxies of one zone.

    The attempts were made within `window` seconds and are reported with a delay, as in Envoy's load
    reporting service (LRS). `zone` is the zone of the proxies.
    """

    endpoint: int
    zone: int
    attempts: int
    errors: int
    window: float
    mean_latency: float  # seconds, of the successful attempts
    load_report: Optional[LoadReport]


class RequestStats(NamedTuple):
    """Counts of the requests of one class that a proxy received.

    The requests arrived within `window` seconds and are reported with a delay.
    """

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


class HealthCheckResult(NamedTuple):
    """A health check has ended after `duration` seconds.

    `outcome` is a `HealthCheckOutcome`.
    """

    endpoint: int
    outcome: str
    duration: float
    load_report: Optional[LoadReport]


class Acknowledged(NamedTuple):
    """A proxy has applied the message with the nonce.

    `duration` is the time in seconds from the planner's command to the acknowledgement.
    """

    proxy: int
    nonce: int
    duration: float


class TimerFired(NamedTuple):
    """A timer that the planner set has expired."""

    token: int


class GossipReceived(NamedTuple):
    """A gossip message from the planner of another controller has arrived."""

    sender: int
    payload: bytes


class KeyRangeAssigned(NamedTuple):
    """A table of a key range was assigned to this controller or taken from it.

    The planner does not use this event.
    """

    table: int
    assigned: bool


class KeyRangeEntry(NamedTuple):
    """A stored entry of a key range's table. The planner does not use this event."""

    table: int
    endpoint: int
    weight: float


class KeyRangeStats(NamedTuple):
    """Counts of the requests of one class for a key range within `window` seconds.

    The planner does not use this event.
    """

    table: int
    request_class: int
    requests: int
    unanswered: int
    window: float


Event = Union[
    EndpointUpdate,
    ProxyConnected,
    ProxyDisconnected,
    EndpointStats,
    RequestStats,
    HealthCheckResult,
    Acknowledged,
    TimerFired,
    GossipReceived,
    KeyRangeAssigned,
    KeyRangeEntry,
    KeyRangeStats,
]


# Commands.


class SetEntry(NamedTuple):
    """Set the weight of one endpoint in a table. Weight 0 removes the entry."""

    table: int
    endpoint: int
    weight: float


class ClearTable(NamedTuple):
    """Remove all entries of a table."""

    table: int


class AssignTable(NamedTuple):
    """Make a proxy use a table for its requests of these classes."""

    proxy: int
    table: int
    request_classes: tuple[int, ...]


class WithdrawEndpoint(NamedTuple):
    """Withdraw an endpoint from the tables that connected proxies hold, or restore it.

    The command also covers tables of other controllers. `notify` names those proxies without a
    table of this controller that must be notified. None means all of them. A channel that knows
    which proxies hold the endpoint ignores `notify`. Proxies with a table of this controller lose
    the endpoint's entry by a separate `SetEntry`.
    """

    endpoint: int
    withdrawn: bool
    notify: Optional[tuple[int, ...]] = None


class RestoreEndpoints(NamedTuple):
    """Make a proxy stop ejecting endpoints, whichever controller had it eject them."""

    proxy: int
    endpoints: tuple[int, ...]


class Admission(NamedTuple):
    """The admitted fraction of requests (0 to 1), and the retry policy of the admitted ones.

    `retry_policy` is the value of a `RetryPolicy`.
    """

    fraction: float
    retry_policy: str


class SetAdmission(NamedTuple):
    """Admit a fraction (0 to 1) of the requests of these classes.

    `retry_policy` is a `RetryPolicy`. If `table` is None, the command applies to every proxy.
    """

    table: Optional[int]
    request_classes: tuple[int, ...]
    fraction: float
    retry_policy: str


class RequestAcknowledgement(NamedTuple):
    """Ask the proxies that this batch writes to for an acknowledgement of the nonce.

    A proxy acknowledges the nonce when it has applied its message. If `all_proxies` is true, all
    proxies are asked.
    """

    nonce: int
    all_proxies: bool


class CheckHealth(NamedTuple):
    """Start a health check of an endpoint."""

    endpoint: int


class FetchEndpoints(NamedTuple):
    """Fetch the endpoint list from its source once."""


class WatchEndpoints(NamedTuple):
    """Start or stop watching the endpoint list."""

    enabled: bool


class SendGossip(NamedTuple):
    """Send a gossip message to the planner of another controller.

    If `peer` is None, the message is sent to all other controllers.
    """

    peer: Optional[int]
    payload: bytes


class SetTimer(NamedTuple):
    """Send `TimerFired(token)` after `delay` seconds."""

    token: int
    delay: float


class LogMessage(NamedTuple):
    """Write a line to the controller's log."""

    text: str


Command = Union[
    SetEntry,
    ClearTable,
    AssignTable,
    WithdrawEndpoint,
    RestoreEndpoints,
    SetAdmission,
    RequestAcknowledgement,
    CheckHealth,
    FetchEndpoints,
    WatchEndpoints,
    SendGossip,
    SetTimer,
    LogMessage,
]


class PlannerStatus(NamedTuple):
    """A snapshot of the planner's state for logs and metrics; no decision depends on it."""

    queued_entries: float  # estimated from the acknowledgements that are missing
    oldest_unacknowledged: float  # seconds since the oldest unacknowledged batch was written
    connected_proxies: int
    unassigned_proxies: int  # connected proxies without a table of this controller
    longest_wait: float  # seconds since the first unassigned proxy connected
    withdrawn_endpoints: int  # endpoints that are listed as draining or gone
    unrestored_proxies: int  # assigned proxies that may still eject endpoints of their tables
