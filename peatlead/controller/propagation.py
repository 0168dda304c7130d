"""Traces how removals of endpoints propagate to their holders, and stores recent events.

A `Withdrawal` begins when commands remove an endpoint from a holder (a DNS view or proxy). Each
holder passes through these stages: the message with the removal has left the channel
(`message_dequeued`), a version that contains the removal was sent (`version_sent`), and the holder
has applied that version (`version_applied`). A DNS view has lost the endpoint as soon as the
message has left the channel. All state is bounded, and the oldest entries are dropped first.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple, Optional, Union

from ..tables.version import Version

MAX_EVENTS_PER_ENDPOINT = 20
# Maximum number of endpoints with stored events, and of endpoints with finished withdrawals.
MAX_ENDPOINTS = 20_000
MAX_ACTIVE_WITHDRAWALS = 500
MAX_FINISHED_PER_ENDPOINT = 3  # finished withdrawals


class Stage(Enum):
    """The stage of a holder before a version with the removal was sent to it."""

    COMMANDED = "commanded"  # the message is queued in the channel
    # The message has left the channel. The next version sent to the holder contains the removal.
    DEQUEUED = "dequeued"


Progress = Union[Stage, Version]  # a holder's stage, or the sent version with the removal


class EndpointEvent(NamedTuple):
    """A text about an endpoint, and when the event occurred, in seconds on the loop's clock."""

    occurred_at: float
    text: str


class Withdrawal:
    """The removal of one endpoint from all of its holders."""

    __slots__ = ("started_at", "progress", "applied_count", "disconnected_count", "delays")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at  # seconds on the loop's clock
        self.progress: dict[int, Progress] = {}  # by holder that still has the endpoint
        self.applied_count = 0  # number of holders that no longer have the endpoint
        self.disconnected_count = 0  # holders that disconnected before they lost the endpoint
        self.delays: list[float] = []  # seconds until each holder lost the endpoint

    def summary(self, now: float) -> dict[str, Optional[float]]:
        """Return the counts and delays (in seconds) that operators see."""
        delays = sorted(self.delays)
        return {
            "seconds ago": round(now - self.started_at, 3),
            "holders": self.applied_count + self.disconnected_count + len(self.progress),
            "without it": self.applied_count,
            "left before": self.disconnected_count,
            "still to go": len(self.progress),
            "median s": round(delays[len(delays) // 2], 4) if delays else None,
            "last s": round(delays[-1], 4) if delays else None,
        }


class PropagationTrace:
    """Traces withdrawals. Endpoints and holders are identified by the planner's numbers."""

    def __init__(self) -> None:
        self.events: OrderedDict[int, deque[EndpointEvent]] = OrderedDict()  # by endpoint
        self.active_withdrawals: OrderedDict[int, Withdrawal] = OrderedDict()  # by endpoint
        self.finished_withdrawals: dict[int, deque[Withdrawal]] = {}  # by endpoint
        # By holder, the endpoints whose removal the holder has not applied yet, as an ordered set.
        self.pending_endpoints: dict[int, dict[int, bool]] = {}
        self.dropped_count = 0  # withdrawals dropped before they were finished

    def record_event(self, now: float, endpoint: int, text: str) -> None:
        """Store an event of an endpoint."""
        events = self.events.get(endpoint)
        if events is None:
            if len(self.events) >= MAX_ENDPOINTS:
                self.events.popitem(last=False)
            events = self.events[endpoint] = deque(maxlen=MAX_EVENTS_PER_ENDPOINT)
        events.append(EndpointEvent(now, text))

    def begin_withdrawal(self, now: float, endpoint: int, holder: int) -> None:
        """Start to trace the removal of an endpoint from a holder."""
        withdrawal = self.active_withdrawals.get(endpoint)
        if withdrawal is None:
            if len(self.active_withdrawals) >= MAX_ACTIVE_WITHDRAWALS:
                self.drop_withdrawal(next(iter(self.active_withdrawals)))
            withdrawal = self.active_withdrawals[endpoint] = Withdrawal(now)
        if holder not in withdrawal.progress:
            withdrawal.progress[holder] = Stage.COMMANDED
            self.pending_endpoints.setdefault(holder, {})[endpoint] = True

    def message_dequeued(self, holder: int) -> None:
        """Record that the message to a holder (a DNS view or proxy) has left the channel."""
        for _, withdrawal in self.pending_withdrawals(holder):
            if withdrawal.progress[holder] is Stage.COMMANDED:
                withdrawal.progress[holder] = Stage.DEQUEUED

    def version_sent(self, holder: int, version: Version) -> None:
        """Record that a holder was sent a version with all messages that have left the channel."""
        for _, withdrawal in self.pending_withdrawals(holder):
            if withdrawal.progress[holder] is Stage.DEQUEUED:
                withdrawal.progress[holder] = version

    def version_applied(self, now: float, holder: int, version: Optional[Version] = None) -> None:
        """Record that a holder has applied a version.

        For a DNS view `version` is None: the view has applied all messages that have left the
        channel.
        """
        for endpoint, withdrawal in list(self.pending_withdrawals(holder)):
            if is_applied(withdrawal.progress[holder], version):
                withdrawal.applied_count += 1
                withdrawal.delays.append(now - withdrawal.started_at)
                self.finish_holder(endpoint, holder)

    def holder_left(self, now: float, holder: int) -> None:
        """Record that a holder has disconnected, and remove it from all withdrawals."""
        for endpoint, withdrawal in list(self.pending_withdrawals(holder)):
            withdrawal.disconnected_count += 1
            self.finish_holder(endpoint, holder)

    def status(self, now: float, endpoint: int) -> dict[str, list[object]]:
        """Return the recent events and withdrawals of an endpoint as operators see them."""
        withdrawals = list(self.finished_withdrawals.get(endpoint, ()))
        if endpoint in self.active_withdrawals:
            withdrawals.append(self.active_withdrawals[endpoint])
        return {
            "notes": [
                [round(now - event.occurred_at, 3), event.text]
                for event in self.events.get(endpoint, ())
            ],
            "losses": [withdrawal.summary(now) for withdrawal in withdrawals],
        }

    def pending_withdrawals(self, holder: int) -> Iterator[tuple[int, Withdrawal]]:
        """Yield the endpoints that a holder still has to lose, with their withdrawals."""
        for endpoint in self.pending_endpoints.get(holder, ()):
            yield endpoint, self.active_withdrawals[endpoint]

    def finish_holder(self, endpoint: int, holder: int) -> None:
        """Remove a holder from a withdrawal; a withdrawal without holders is finished."""
        withdrawal = self.active_withdrawals[endpoint]
        del withdrawal.progress[holder]
        self.remove_pending_endpoint(endpoint, holder)
        if not withdrawal.progress:
            del self.active_withdrawals[endpoint]
            if (
                len(self.finished_withdrawals) >= MAX_ENDPOINTS
                and endpoint not in self.finished_withdrawals
            ):
                self.finished_withdrawals.pop(next(iter(self.finished_withdrawals)))
            self.finished_withdrawals.setdefault(
                endpoint, deque(maxlen=MAX_FINISHED_PER_ENDPOINT)
            ).append(withdrawal)

    def drop_withdrawal(self, endpoint: int) -> None:
        """Drop an active withdrawal before it is finished."""
        self.dropped_count += 1
        for holder in self.active_withdrawals.pop(endpoint).progress:
            self.remove_pending_endpoint(endpoint, holder)

    def remove_pending_endpoint(self, endpoint: int, holder: int) -> None:
        """Remove an endpoint from the pending endpoints of a holder."""
        endpoints = self.pending_endpoints[holder]
        del endpoints[endpoint]
        if not endpoints:
            del self.pending_endpoints[holder]


def is_applied(progress: Progress, version: Optional[Version]) -> bool:
    """Return whether a holder that has applied `version` has lost the endpoint.

    None means that the holder has applied all messages that have left the channel.
    """
    if progress is Stage.COMMANDED:
        return False
    if version is None:
        return True
    return not isinstance(progress, Stage) and progress <= version
