"""Reply records, with their fields in wire order.

Classes have the record names of the wire protocol; fields have the names that the rest of peatlead
uses. `request_classes` is a bit mask. Fields that end in `_us` are in microseconds.
"""

from typing import NamedTuple, Union


class Upsert(NamedTuple):
    """Set an endpoint's weight in a table; weight 0 removes the entry."""

    instance: int
    table: int
    address: bytes
    weight: float


class Blank(NamedTuple):
    """Remove all entries of a table."""

    instance: int
    table: int


class AttachTable(NamedTuple):
    """Make a proxy use a table for some request classes."""

    instance: int
    request_classes: int
    proxy: int
    table: int


class Cordon(NamedTuple):
    """Withdraw an endpoint from the tables that proxies hold, or restore it."""

    instance: int
    address: bytes
    withdrawn: int


class GateClass(NamedTuple):
    """Admit a fraction of the requests of some classes, and set their retry policy."""

    instance: int
    request_classes: int
    table: int
    fraction: float
    retry_policy: int


class Nonce(NamedTuple):
    """Ask the proxies that this reply changes, or all proxies, to acknowledge a nonce."""

    instance: int
    nonce: int
    all_proxies: int


class Test(NamedTuple):
    """Start a health check of an endpoint."""

    instance: int
    address: bytes


class GetList(NamedTuple):
    """Request the endpoint list once."""

    instance: int


class Observe(NamedTuple):
    """Start or stop watching the endpoint list."""

    instance: int
    enabled: int


class WritePeer(NamedTuple):
    """Send a gossip message to one instance or to all."""

    instance: int
    peer: int
    payload: bytes


class WakeMe(NamedTuple):
    """Set a timer."""

    instance: int
    token: int
    delay_us: int


class JournalLine(NamedTuple):
    """Write a line to the log; `text` is UTF-8."""

    instance: int
    text: bytes


class Broken(NamedTuple):
    """The instance's planner raised an exception; `text` is UTF-8."""

    instance: int
    text: bytes


ReplyRecord = Union[
    Upsert,
    Blank,
    AttachTable,
    Cordon,
    GateClass,
    Nonce,
    Test,
    GetList,
    Observe,
    WritePeer,
    WakeMe,
    JournalLine,
    Broken,
]
