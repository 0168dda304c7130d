"""Messages that proxies, collectors and other peers send, one JSON object a line.

The classes' fields are renamed; `field(name=...)` gives the name on the wire.
"""

from typing import Annotated, Optional, Union

import msgspec
from msgspec import Meta, Struct, field, json

from ...interface import LoadReport
from .errors import InvalidFieldError, MalformedMessageError
from .load_reports import Metrics, to_load_report

MILLISECONDS = 1000  # in a second

RequestCount = Annotated[float, Meta(ge=0, le=1e7)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e7)]
Interval = Annotated[float, Meta(gt=0, le=1e7)]  # milliseconds
RequestRate = Annotated[float, Meta(ge=0, le=1e9)]  # requests a second
ProxyNumber = Annotated[int, Meta(ge=0, le=1 << 31)]
Nonce = Annotated[int, Meta(ge=0, le=1 << 32)]
Name = Annotated[str, Meta(min_length=1, max_length=255)]


class ProxyHello(Struct, tag="hello", tag_field="msg"):
    """The first message of a proxy's stream; with `bootstrap_only`, it holds no table yet."""

    proxy: ProxyNumber = field(name="node")
    zone: Name = field(name="locality")
    request_rate: RequestRate = field(name="w", default=0.0)
    bootstrap_only: bool = field(name="cold", default=True)


class CollectorHello(Struct, tag="agent", tag_field="msg"):
    """The first message of a collector, which reports for all proxies of a zone."""

    zone: Name = field(name="locality")


class EndpointOutcomes(Struct, tag="outcomes", tag_field="msg"):
    """The outcomes of a zone's attempts at one endpoint; `rtt` is of those that succeeded."""

    zone: Name = field(name="locality")
    endpoint: Name
    attempts: RequestCount = field(name="total")
    errors: RequestCount
    interval: Interval
    rtt: Milliseconds = 0.0
    metrics: Optional[Metrics] = None

    @property
    def window(self) -> float:
        """Seconds that the counts cover."""
        return self.interval / MILLISECONDS

    @property
    def mean_latency(self) -> float:
        """Seconds, of the attempts that succeeded."""
        return self.rtt / MILLISECONDS

    @property
    def load_report(self) -> Optional[LoadReport]:
        """The endpoint's load under the planner's names of metrics."""
        return to_load_report(self.metrics)


class RequestDemand(Struct, tag="demand", tag_field="msg"):
    """Requests of one class that reached a proxy."""

    proxy: ProxyNumber = field(name="node")
    request_class: Name = field(name="route")
    requests: RequestCount = field(name="total")
    interval: Interval
    unanswered: RequestCount = field(name="errors", default=0.0)

    @property
    def window(self) -> float:
        """Seconds that the counts cover."""
        return self.interval / MILLISECONDS


class Acknowledgement(Struct, tag="ack", tag_field="msg"):
    """A proxy has applied all messages up to the one that carried the nonce."""

    proxy: ProxyNumber = field(name="node")
    nonce: Nonce
    latency: Milliseconds

    @property
    def duration(self) -> float:
        """Seconds since the message was written."""
        return self.latency / MILLISECONDS


class LivenessCheck(Struct, tag="probe", tag_field="msg"):
    """A peer asks whether the controller serves."""


InboundMessage = Union[
    ProxyHello, CollectorHello, EndpointOutcomes, RequestDemand, Acknowledgement, LivenessCheck
]
MESSAGE_DECODER = json.Decoder(InboundMessage)


def read_message(line: bytes) -> InboundMessage:
    """Parse one line.

    Raises MalformedMessageError or InvalidFieldError with a sentence for the sender.
    """
    try:
        message = MESSAGE_DECODER.decode(line)
    except msgspec.ValidationError as problem:
        if is_json_object(line):
            raise InvalidFieldError(str(problem)) from None
        raise MalformedMessageError(str(problem)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedMessageError(str(problem)) from None
    if type(message) is EndpointOutcomes:  # isinstance() takes longer; most are acknowledgements
        consistent = message.errors <= message.attempts
    elif type(message) is RequestDemand:
        consistent = message.unanswered <= message.requests
    else:
        consistent = True
    if not consistent:
        raise InvalidFieldError("expected at most as many errors as there were tries")
    return message


def is_json_object(line: bytes) -> bool:
    """Whether all of the line is one JSON object.

    The decoder reports a field of the wrong type before it has read the rest, which may be no JSON.
    """
    try:
        return isinstance(json.decode(line), dict)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False
