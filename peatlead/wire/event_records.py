"""Event records that the simulator sends, with their fields in wire order.

Classes have the record names of the wire protocol; fields have the names that the rest of peatlead
uses. Fields that end in `_us` are in microseconds.
"""

from typing import Any, NamedTuple, Union


class Attach(NamedTuple):
    """A planner instance starts, with its settings and its random seed."""

    instance: int
    seed: int
    environment: dict[str, Any]


class Shutdown(NamedTuple):
    """The planner instance with this number ends."""

    instance: int


class TopologyEntry(NamedTuple):
    """One endpoint of a `Topology`."""

    address: bytes
    zone: int
    machine_type: int
    cell: int
    phase: int
    weight: float
    started_us: int


class Topology(NamedTuple):
    """The endpoint list or a part of the list, according to `scope`."""

    instance: int
    scope: int
    version: int
    entries: list[TopologyEntry]


class Tally(NamedTuple):
    """Attempts, errors and mean latency that the proxies of one zone observed at an endpoint."""

    instance: int
    address: bytes
    errors: int
    window_us: int
    mean_latency_us: int
    attempts: int
    zone: int
    load_report: tuple[float, ...]


class Intake(NamedTuple):
    """Requests of one class that a proxy received."""

    instance: int
    requests: int
    proxy: int
    request_class: int
    window_us: int
    unanswered: int


class CheckResult(NamedTuple):
    """A health check has ended."""

    instance: int
    outcome: int
    address: bytes
    duration_us: int
    load_report: tuple[float, ...]


class CheckedIn(NamedTuple):
    """A proxy has connected."""

    instance: int
    proxy: int
    zone: int
    request_rate: float
    bootstrap_only: int


class Left(NamedTuple):
    """A proxy has disconnected."""

    instance: int
    proxy: int


class CaughtUp(NamedTuple):
    """A proxy has acknowledged a nonce."""

    instance: int
    nonce: int
    duration_us: int
    proxy: int


class Wake(NamedTuple):
    """A timer has fired."""

    instance: int
    token: int


class Inbox(NamedTuple):
    """A gossip message from another instance."""

    instance: int
    sender: int
    payload: bytes


class Given(NamedTuple):
    """A key range's table was assigned to the instance or withdrawn from it."""

    instance: int
    table: int
    assigned: int


class InStore(NamedTuple):
    """A stored entry of a key range's table."""

    instance: int
    table: int
    address: bytes
    weight: float


class WeightSeen(NamedTuple):
    """Requests of one class for a key range."""

    instance: int
    request_class: int
    table: int
    requests: int
    window_us: int
    unanswered: int


EventRecord = Union[
    Attach,
    Shutdown,
    Topology,
    Tally,
    Intake,
    CheckResult,
    CheckedIn,
    Left,
    CaughtUp,
    Wake,
    Inbox,
    Given,
    InStore,
    WeightSeen,
]
