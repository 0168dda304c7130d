"""What the planner hears (events) and what it may order. Types only: no logic, no tuning, and one default.

Times are float seconds on the steward's own clock. `host`, `proxy`, `zone`, `machine`, `cell` and `kind`
are small whole numbers; `Member.name` is the host's stable name, the same at every steward.
"""

from typing import NamedTuple, Optional


class Member(NamedTuple):
    """One host as the roster lists it; phase is "ready", "draining" or "gone"."""

    host: int
    name: bytes
    zone: int
    machine: int
    cell: int
    phase: str
    weight: float
    started_at: float


class Roster(NamedTuple):
    """News of the host list; scope is "changes", "whole", "remembered" or "unavailable"."""

    scope: str
    version: int
    members: tuple[Member, ...]


class ProxyJoined(NamedTuple):
    proxy: int
    zone: int
    rate: float
    standing_only: bool


class ProxyLeft(NamedTuple):
    proxy: int


class HostSums(NamedTuple):
    """What the joined proxies of one zone met at a host over `span` seconds, told late."""

    host: int
    zone: int
    tries: int
    bad: int
    span: float
    mean_time: float
    report: Optional[dict[str, float]]


class ReqSums(NamedTuple):
    """Reqs of one request kind that reached a proxy over `span` seconds, told late."""

    proxy: int
    kind: int
    reqs: int
    unanswered: int
    span: float


class ProbeResult(NamedTuple):
    """outcome is "ok", "errored", "denied", "timed out", "unreachable" or "broken"."""

    host: int
    outcome: str
    took: float
    report: Optional[dict[str, float]]


class Applied(NamedTuple):
    """A proxy has applied the message that carried the mark, `took` seconds after the order."""

    proxy: int
    mark: int
    took: float


class TimerFired(NamedTuple):
    token: int


class PeerNote(NamedTuple):
    sender: int
    payload: bytes


class PlannerStatus(NamedTuple):
    """For logs and metrics; no decision goes by it. `queued_lines`: what the planner takes to wait in the channel,
    since no answered mark covers it, and `oldest_unanswered`, seconds since the oldest of it was ordered;
    `unbound_proxies`: joined ones without a table of this steward, and `longest_wait`, seconds since the first of
    them joined; `withdrawn_hosts`: hosts listed as draining or gone."""

    queued_lines: float
    oldest_unanswered: float
    joined_proxies: int
    unbound_proxies: int
    longest_wait: float
    withdrawn_hosts: int


class SliceGiven(NamedTuple):
    table: int
    held: bool


class SliceLine(NamedTuple):
    table: int
    host: int
    weight: float


class SliceSums(NamedTuple):
    table: int
    kind: int
    reqs: int
    unanswered: int
    span: float


class SetLine(NamedTuple):
    """Order: one line of a table; weight 0 takes the line out."""

    table: int
    host: int
    weight: float


class ClearTable(NamedTuple):
    table: int


class BindTable(NamedTuple):
    """Order: put a proxy on a table for these request kinds."""

    proxy: int
    table: int
    kinds: tuple[int, ...]


class Withdraw(NamedTuple):
    """Order: shut a host out of (or let it back into) the tables that joined proxies hold, whoever wrote them.
    `waiting`: which of the proxies that are on no table of this steward yet must be told, None for all of them; a
    channel that knows itself who holds the host needs no such list. Proxies on this steward's tables lose the host's
    line by an order of their own."""

    host: int
    on: bool
    waiting: Optional[tuple[int, ...]] = None


class Admit(NamedTuple):
    """Order: share let in, and retry: "never", "unstarted", "once" or "twice"; table None is every proxy."""

    table: Optional[int]
    kinds: tuple[int, ...]
    level: float
    retry: str


class Mark(NamedTuple):
    number: int
    everyone: bool


class Probe(NamedTuple):
    host: int


class FetchRoster(NamedTuple):
    pass


class WatchRoster(NamedTuple):
    on: bool


class SendPeer(NamedTuple):
    peer: Optional[int]
    payload: bytes


class SetTimer(NamedTuple):
    token: int
    delay: float


class LogLine(NamedTuple):
    text: str
