"""Messages from proxies, collectors and other peers: one JSON object per line.

Where a field's name differs from its name on the wire, `field(name=...)` gives the latter.
"""

from typing import Annotated, Optional, Union

import msgspec
from msgspec import Meta, Struct, field, json

from ...interface import LoadReport
from ...planner.input_bounds import MAX_LATENCY, MAX_REPORTED_COUNT, MAX_WINDOW
from .errors import InvalidFieldError, MalformedMessageError
from .load_reports import Metrics, to_load_report

MILLISECONDS_PER_SECOND = 1000
MIN_INTERVAL = 1.0  # milliseconds, the unit of the protocol's times

RequestCount = Annotated[float, Meta(ge=0, le=MAX_REPORTED_COUNT)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_LATENCY * MILLISECONDS_PER_SECOND)]
Interval = Annotated[float, Meta(ge=MIN_INTERVAL, le=MAX_WINDOW * MILLISECONDS_PER_SECOND)]
RequestRate = Annotated[float, Meta(ge=0, le=1e9)]  # requests per second
ProxyNumber = Annotated[int, Meta(ge=0, le=1 << 31)]
Nonce = Annotated[int, Meta(ge=0, le=1 << 32)]
Name = Annotated[str, Meta(min_length=1, max_length=255)]


class ProxyHello(Struct, tag="hello", tag_field="msg"):
    """The first message of a proxy's stream.

    `bootstrap_only` means that the proxy has not received a table from any controller yet.
    """

    proxy: ProxyNumber = field(name="node")
    zone: Name = field(name="locality")
    request_rate: RequestRate = field(name="w", default=0.0)
    bootstrap_only: bool = field(name="cold", default=True)


class CollectorHello(Struct, tag="agent", tag_field="msg"):
    """The first message of a collector, which sends the reports of all proxies of a zone."""

    zone: Name = field(name="locality")


class EndpointOutcomes(Struct, tag="outcomes", tag_field="msg"):
    """The outcomes of the attempts of a zone's proxies at one endpoint.

    `interval` is in milliseconds; `rtt` is the mean, in milliseconds, of the successful attempts.
    """

    zone: Name = field(name="locality")
    endpoint: Name
    attempts: RequestCount = field(name="total")
    errors: RequestCount
    interval: Interval
    rtt: Milliseconds = 0.0
    metrics: Optional[Metrics] = None

    @property
    def window(self) -> float:
        """Length of the period that the counts cover, in seconds."""
        return self.interval / MILLISECONDS_PER_SECOND

    @property
    def mean_latency(self) -> float:
        """Mean latency of the successful attempts, in seconds."""
        return self.rtt / MILLISECONDS_PER_SECOND

    @property
    def load_report(self) -> Optional[LoadReport]:
        """The endpoint's load report with the planner's metric names."""
        return to_load_report(self.metrics)


class RequestDemand(Struct, tag="demand", tag_field="msg"):
    """Counts of the requests of one class that a proxy received."""

    proxy: ProxyNumber = field(name="node")
    request_class: Name = field(name="route")
    requests: RequestCount = field(name="total")
    interval: Interval
    unanswered: RequestCount = field(name="errors", default=0.0)

    @property
    def window(self) -> float:
        """Length of the period that the counts cover, in seconds."""
        return self.interval / MILLISECONDS_PER_SECOND


class Acknowledgement(Struct, tag="ack", tag_field="msg"):
    """A proxy has applied every message up to and including the one with this nonce."""

    proxy: ProxyNumber = field(name="node")
    nonce: Nonce
    latency: Milliseconds

    @property
    def duration(self) -> float:
        """Seconds from the sending of the message to its application."""
        return self.latency / MILLISECONDS_PER_SECOND


class LivenessCheck(Struct, tag="probe", tag_field="msg"):
    """A peer asks whether the controller is ready to serve."""


InboundMessage = Union[
    ProxyHello, CollectorHello, EndpointOutcomes, RequestDemand, Acknowledgement, LivenessCheck
]
MESSAGE_DECODER = json.Decoder(InboundMessage)


def read_message(line: bytes) -> InboundMessage:
    """Parse one line. Raises MalformedMessageError or InvalidFieldError."""
    try:
        message = MESSAGE_DECODER.decode(line)
    except msgspec.ValidationError as error:
        if is_json_object(line):
            raise InvalidFieldError(str(error)) from None
        raise MalformedMessageError(str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from None
    if type(message) is EndpointOutcomes:  # faster than isinstance() on this hot path
        check_counts(message.attempts, message.errors)
    elif type(message) is RequestDemand:
        check_counts(message.requests, message.unanswered)
    return message


def check_counts(count: float, errors: float) -> None:
    """Raise InvalidFieldError for counts that can't belong together."""
    if errors > count:
        raise InvalidFieldError("expected at most as many errors as there were tries")


def is_json_object(line: bytes) -> bool:
    """Return whether the whole line is one JSON object.

    The decoder reports a field of the wrong type before it has read the rest of the line, which may
    not be valid JSON.
    """
    try:
        return isinstance(json.decode(line), dict)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False
