"""Events that the planner takes and commands that it returns: types only, no logic and no tuning.

Times are float seconds on the controller's own monotonic clock. `endpoint`, `proxy`, `zone`,
`machine_type`, `cell`, `table` and `request_class` are small non-negative integers that the
controller assigns; `Endpoint.name` is the endpoint's stable name, the same at every controller.

The enumerations are `StrEnum`s: their values are what settings and stored lists call them.
"""

from enum import StrEnum
from typing import NamedTuple, Optional, Union

LoadReport = dict[str, float]  # by metric: "util" (0 to 1), "waiting", "holding" (requests), ...


class EndpointPhase(StrEnum):
    """Where an endpoint stands in its life, as the endpoint list has it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(StrEnum):
    """What an endpoint update covers."""

    CHANGES = "changes"  # endpoints that are not named stay as they were
    WHOLE = "whole"  # endpoints that are not named are gone
    REMEMBERED = "remembered"  # the list as it was stored before a restart
    UNAVAILABLE = "unavailable"  # the source failed; nothing is known anew


class HealthCheckOutcome(StrEnum):
    """How a health check ended."""

    OK = "ok"
    ERRORED = "errored"  # answered, with a failure
    DENIED = "denied"  # not sent: the controller's own machine ran out of something
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"  # the connection ended, or the answer was malformed


class RetryPolicy(StrEnum):
    """Which attempts a proxy may make after the first one."""

    NEVER = "never"
    UNSTARTED = "unstarted"  # only where the endpoint promises that it had not begun
    ONCE = "once"
    TWICE = "twice"


# Events.


class Endpoint(NamedTuple):
    """One endpoint as the list has it.

    `weight` is relative to the other endpoints'; `started_at` is its process's start; `phase` is an
    `EndpointPhase`.
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
    """The endpoint list, or a part of it, has arrived; `scope` is a `ListScope`."""

    scope: str
    version: int
    endpoints: tuple[Endpoint, ...]


class ProxyConnected(NamedTuple):
    """A proxy has opened its stream.

    `request_rate` is in requests a second. `bootstrap_only` is true where the proxy holds no table
    of any controller yet.
    """

    proxy: int
    zone: int
    request_rate: float
    bootstrap_only: bool


class ProxyDisconnected(NamedTuple):
    """A proxy's stream has ended."""

    proxy: int


class EndpointStats(NamedTuple):
    """What the connected proxies of one zone met at an endpoint over `window` seconds.

    It is reported late, as in Envoy's load reporting service (LRS).
    """

    endpoint: int
    zone: int
    attempts: int
    errors: int
    window: float
    mean_latency: float  # seconds, of the attempts that succeeded
    load_report: Optional[LoadReport]


class RequestStats(NamedTuple):
    """Requests of one class that reached a proxy over `window` seconds, reported late."""

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


class HealthCheckResult(NamedTuple):
    """A health check has ended after `duration` seconds; `outcome` is a `HealthCheckOutcome`."""

    endpoint: int
    outcome: str
    duration: float
    load_report: Optional[LoadReport]


class Acknowledged(NamedTuple):
    """A proxy has applied the message with the nonce, `duration` seconds after the command."""

    proxy: int
    nonce: int
    duration: float


class TimerFired(NamedTuple):
    """A timer that the planner set is due."""

    token: int


class GossipReceived(NamedTuple):
    """A note from another controller's planner."""

    sender: int
    payload: bytes


class KeyRangeAssigned(NamedTuple):
    """A table of a key range was given to this controller or taken from it.

    Not used by the planner.
    """

    table: int
    assigned: bool


class KeyRangeEntry(NamedTuple):
    """One stored entry of a key range's table. Not used by the planner."""

    table: int
    endpoint: int
    weight: float


class KeyRangeStats(NamedTuple):
    """Requests of one class to a key range over `window` seconds. Not used by the planner."""

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
    """Set the weight of one endpoint in a table; weight 0 removes the entry."""

    table: int
    endpoint: int
    weight: float


class ClearTable(NamedTuple):
    """Remove all entries of a table."""

    table: int


class AssignTable(NamedTuple):
    """Route these request classes of a proxy by a table."""

    proxy: int
    table: int
    request_classes: tuple[int, ...]


class WithdrawEndpoint(NamedTuple):
    """Eject an endpoint from the tables that connected proxies hold, or restore it.

    This covers tables of other controllers too. `notify` names the proxies on no table of this
    controller that must be notified, None for all of them; a channel that knows itself who holds
    the endpoint needs no such list. Proxies on this controller's tables lose the endpoint's entry
    by a `SetEntry` of their own.
    """

    endpoint: int
    withdrawn: bool
    notify: Optional[tuple[int, ...]] = None


class SetAdmission(NamedTuple):
    """Admit a fraction (0 to 1) of the requests of these classes.

    `retry_policy` is a `RetryPolicy`. Table None means every proxy.
    """

    table: Optional[int]
    request_classes: tuple[int, ...]
    fraction: float
    retry_policy: str


class RequestAcknowledgement(NamedTuple):
    """Ask the proxies that this batch writes to, or all of them, for an acknowledgement.

    They send it, with the nonce, once they have applied their messages.
    """

    nonce: int
    all_proxies: bool


class CheckHealth(NamedTuple):
    """Start a health check of an endpoint."""

    endpoint: int


class FetchEndpoints(NamedTuple):
    """Ask the source for the endpoint list once."""


class WatchEndpoints(NamedTuple):
    """Start or stop to watch the endpoint list."""

    enabled: bool


class SendGossip(NamedTuple):
    """Send a note to another controller's planner, or to all where `peer` is None."""

    peer: Optional[int]
    payload: bytes


class SetTimer(NamedTuple):
    """Send `TimerFired(token)` after `delay` seconds."""

    token: int
    delay: float


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


Command = Union[
    SetEntry,
    ClearTable,
    AssignTable,
    WithdrawEndpoint,
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
    """The planner's state for logs and metrics; no decision depends on it."""

    queued_entries: float  # taken to wait in the channel, since no acknowledged nonce covers them
    oldest_unacknowledged: float  # seconds since the oldest of those was written
    connected_proxies: int
    unassigned_proxies: int  # connected ones without a table of this controller
    longest_wait: float  # seconds since the first of those connected
    withdrawn_endpoints: int  # listed as draining or gone
