"""Request classes, and the recorded outcomes of requests and attempts of stand-in clients."""

from enum import StrEnum
from typing import NamedTuple, Protocol

import msgspec


class Outcome(StrEnum):
    """Recorded outcomes of requests and attempts, in addition to net.http's RequestOutcome."""

    DONE = "done"
    LATE = "late"
    SHED = "shed"
    DENIED = "denied"  # refused before it ran
    ERRORED = "errored"
    UNRESOLVED = "unresolved"
    UNREACHABLE = "unreachable"
    SENT = "sent"  # the attempt has started


OUTCOME_BY_STATUS = {
    200: Outcome.DONE.value,
    429: Outcome.SHED.value,
    503: Outcome.DENIED.value,
}


class RequestClass(msgspec.Struct):
    """A request class; times are in seconds, and `repeat` is its repeat semantics."""

    name: str
    share: float  # weight of the class when the class of a request is drawn
    response_target: float
    client_timeout: float
    gain: float  # value of a request that is done in time
    repeat: str


class TimedRequest(Protocol):
    """The attributes of a request that `request_result` reads; times are in seconds."""

    request_class: RequestClass
    due: float
    deadline: float


class RequestResult(NamedTuple):
    """What is recorded of a request that has ended."""

    outcome: str
    gain: float


def request_result(
    request: TimedRequest, outcome: str, now: float, late_gain: float
) -> RequestResult:
    """Return the result of a request that ends at `now` with the outcome of its last attempt.

    A request that is done after its response target is late, and earns `late_gain` of its gain
    until its deadline.
    """
    if outcome != Outcome.DONE:
        return RequestResult(outcome, 0.0)
    late = now - request.due > request.request_class.response_target
    gain = request.request_class.gain * (late_gain if late else 1.0)
    if now > request.deadline:
        gain = 0.0
    return RequestResult(Outcome.LATE.value if late else outcome, gain)
