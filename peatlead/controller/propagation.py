"""Traces how the removal of an endpoint propagates to its holders, and keeps recent events.

A `Withdrawal` begins when commands take an endpoint away from a holder (a DNS view or proxy). The
stage of each holder is followed: the message has left the channel (`left`), a version that contains
it was sent (`sent`), and that version is in force (`applied`). A DNS view is without the endpoint
as soon as its message has left. Everything is bounded, and the oldest is dropped first.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple, Optional, Union

from ..tables.version import Version

EVENTS_EACH = 20  # events kept of one endpoint
ENDPOINTS_MOST = 20_000  # endpoints of which events or finished withdrawals are kept
WITHDRAWALS_MOST = 500  # withdrawals under way
PAST_EACH = 3  # finished withdrawals kept of one endpoint


class Stage(Enum):
    """How far a holder is that no version has been sent to."""

    COMMANDED = "commanded"  # its message waits in the channel
    DEQUEUED = "dequeued"  # its message has left the channel; the next version contains it


Progress = Union[Stage, Version]  # a holder's stage, or the version that was sent to it


class Event(NamedTuple):
    """Something that happened to an endpoint."""

    at: float
    text: str


class Withdrawal:
    """The removal of one endpoint from all of its holders."""

    __slots__ = ("at", "waiting", "applied", "disconnected", "delays")

    def __init__(self, at: float) -> None:
        self.at = at  # when it began, in seconds on the loop's clock
        self.waiting: dict[int, Progress] = {}  # by holder
        self.applied = 0  # holders that are without the endpoint
        self.disconnected = 0  # holders that left before
        self.delays: list[float] = []  # seconds until each holder was without it

    def summary(self, now: float) -> dict[str, Optional[float]]:
        """Return the counts and delays that operators see."""
        delays = sorted(self.delays)
        return {
            "seconds ago": round(now - self.at, 3),
            "holders": self.applied + self.disconnected + len(self.waiting),
            "without it": self.applied,
            "left before": self.disconnected,
            "still to go": len(self.waiting),
            "median s": round(delays[len(delays) // 2], 4) if delays else None,
            "last s": round(delays[-1], 4) if delays else None,
        }


class PropagationTrace:
    """Follows withdrawals; endpoints and holders are the numbers that the planner knows."""

    def __init__(self) -> None:
        self.notes: OrderedDict[int, deque[Event]] = OrderedDict()  # by endpoint
        self.open: OrderedDict[int, Withdrawal] = OrderedDict()  # under way, by endpoint
        self.past: dict[int, deque[Withdrawal]] = {}  # finished, by endpoint
        self.holding: dict[int, dict[int, bool]] = {}  # holder -> endpoints it still has to lose
        self.forgotten = 0  # withdrawals dropped before they were finished

    def note(self, now: float, endpoint: int, text: str) -> None:
        """Record an event of an endpoint."""
        events = self.notes.get(endpoint)
        if events is None:
            if len(self.notes) >= ENDPOINTS_MOST:
                self.notes.popitem(last=False)
            events = self.notes[endpoint] = deque(maxlen=EVENTS_EACH)
        events.append(Event(now, text))

    def begin_withdrawal(self, now: float, endpoint: int, holder: int) -> None:
        """Begin to follow a holder that an endpoint is taken away from."""
        withdrawal = self.open.get(endpoint)
        if withdrawal is None:
            if len(self.open) >= WITHDRAWALS_MOST:
                self.forget(next(iter(self.open)))
            withdrawal = self.open[endpoint] = Withdrawal(now)
        if holder not in withdrawal.waiting:
            withdrawal.waiting[holder] = Stage.COMMANDED
            self.holding.setdefault(holder, {})[endpoint] = True

    def left(self, holder: int) -> None:
        """Record that a message has left the channel."""
        for _, withdrawal in self.waiting_on(holder):
            if withdrawal.waiting[holder] is Stage.COMMANDED:
                withdrawal.waiting[holder] = Stage.DEQUEUED

    def sent(self, holder: int, version: Version) -> None:
        """Record that a version was sent; it contains all messages that have left the channel."""
        for _, withdrawal in self.waiting_on(holder):
            if withdrawal.waiting[holder] is Stage.DEQUEUED:
                withdrawal.waiting[holder] = version

    def applied(self, now: float, holder: int, version: Optional[Version] = None) -> None:
        """Record that a version is in force, or (None: DNS views) all that has left the channel."""
        for endpoint, withdrawal in list(self.waiting_on(holder)):
            if is_in_force(withdrawal.waiting[holder], version):
                withdrawal.applied += 1
                withdrawal.delays.append(now - withdrawal.at)
                self.end(endpoint, holder)

    def ended(self, now: float, holder: int) -> None:
        """Record that a holder has left; nothing more is expected of it."""
        for endpoint, withdrawal in list(self.waiting_on(holder)):
            withdrawal.disconnected += 1
            self.end(endpoint, holder)

    def status(self, now: float, endpoint: int) -> dict[str, list[object]]:
        """Return the recent events and withdrawals of an endpoint as operators see them."""
        withdrawals = list(self.past.get(endpoint, ()))
        if endpoint in self.open:
            withdrawals.append(self.open[endpoint])
        return {
            "notes": [
                [round(now - event.at, 3), event.text] for event in self.notes.get(endpoint, ())
            ],
            "losses": [withdrawal.summary(now) for withdrawal in withdrawals],
        }

    def waiting_on(self, holder: int) -> Iterator[tuple[int, Withdrawal]]:
        """Yield the endpoints that a holder still has to lose, with their withdrawals."""
        for endpoint in self.holding.get(holder, ()):
            yield endpoint, self.open[endpoint]

    def end(self, endpoint: int, holder: int) -> None:
        """Stop to follow one holder, and finish the withdrawal with the last one."""
        withdrawal = self.open[endpoint]
        del withdrawal.waiting[holder]
        self.drop(endpoint, holder)
        if not withdrawal.waiting:
            del self.open[endpoint]
            if len(self.past) >= ENDPOINTS_MOST and endpoint not in self.past:
                self.past.pop(next(iter(self.past)))
            self.past.setdefault(endpoint, deque(maxlen=PAST_EACH)).append(withdrawal)

    def forget(self, endpoint: int) -> None:
        """Drop a withdrawal that is under way."""
        self.forgotten += 1
        for holder in self.open.pop(endpoint).waiting:
            self.drop(endpoint, holder)

    def drop(self, endpoint: int, holder: int) -> None:
        """Remove an endpoint from those that a holder still has to lose."""
        endpoints = self.holding[holder]
        del endpoints[endpoint]
        if not endpoints:
            del self.holding[holder]


def is_in_force(progress: Progress, version: Optional[Version]) -> bool:
    """Return whether a holder is without the endpoint once `version` is in force.

    With None, all that has left the channel is in force.
    """
    if progress is Stage.COMMANDED:
        return False
    if version is None:
        return True
    return not isinstance(progress, Stage) and progress <= version
