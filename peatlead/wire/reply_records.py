"""The records of a reply, in the order of their fields on the wire.

Classes bear the wire's names for the records, so that they are found in its documentation; fields
bear the names that the rest of this program uses. `request_classes` is a bit
mask; times that end in `_us` are microseconds.
"""

from typing import NamedTuple, Union


class Upsert(NamedTuple):
    """Set one endpoint's weight in a table."""

    instance: int
    table: int
    address: bytes
    weight: float


class Blank(NamedTuple):
    """Remove all entries of a table."""

    instance: int
    table: int


class AttachTable(NamedTuple):
    """Route request classes of a proxy by a table."""

    instance: int
    request_classes: int
    proxy: int
    table: int


class Cordon(NamedTuple):
    """Withdraw an endpoint, or restore it."""

    instance: int
    address: bytes
    withdrawn: int


class GateClass(NamedTuple):
    """Admit a fraction of the requests of some classes."""

    instance: int
    request_classes: int
    table: int
    fraction: float
    retry_policy: int


class Nonce(NamedTuple):
    """Ask proxies to acknowledge a nonce."""

    instance: int
    nonce: int
    all_proxies: int


class Test(NamedTuple):
    """Start a health check."""

    instance: int
    address: bytes


class GetList(NamedTuple):
    """Ask for the endpoint list once."""

    instance: int


class Observe(NamedTuple):
    """Start or stop to watch the endpoint list."""

    instance: int
    enabled: int


class WritePeer(NamedTuple):
    """Send a note to another instance."""

    instance: int
    peer: int
    payload: bytes


class WakeMe(NamedTuple):
    """Set a timer."""

    instance: int
    token: int
    delay_us: int


class JournalLine(NamedTuple):
    """Write a line to the log; the text is UTF-8."""

    instance: int
    text: bytes


class Broken(NamedTuple):
    """The instance's planner raised an error; the text is UTF-8."""

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
