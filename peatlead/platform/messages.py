"""What crosses the platform's sockets, as our words: lines, lists, load reports, the configuration. No I/O, no clock.

The platform's names and units (milliseconds, `endpoint`, `rtt`, `nonce`) stay in here. Whatever comes in is checked
whole before anything of it is used: `Unreadable` where it is no message at all, `Spoilt` where a message has a field
that is missing, of another type or out of range. Source: the platform's pages on its protocol and its deployment.
"""

from typing import Annotated, Literal, NamedTuple, Optional, Union

import msgspec
from msgspec import Meta, Struct, field, json

from ..sources.endpoint_list import HOSTS_MOST, EndpointList, ListedEndpoint
from ..wire import names

LINE_MOST = 1 << 20  # bytes of one line, either way
PARTS_MOST = 64  # lines that one message may come in
LINES_A_PART = 10_000  # of 100 bytes at most: one part stays within LINE_MOST
LEAST_WEIGHT = 1e-6  # what is less would be rounded to 0, which takes the line out
PHASES = {"active": "ready", "leaving": "draining", "left": "gone"}
RETRIES = {"never": 0, "unstarted": 1, "once": 2, "twice": 3}
# Load reports come under the settings' names for their fields, as on the simulator's wire; the pages' own examples
# use others.
REPORTS = {
    "inflight": "holding",
    "queue": "waiting",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "done_rate",
    "eps": "bad_rate",
    **names.REPORTS,
}

Count = Annotated[float, Meta(ge=0, le=1e7)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e7)]
Span = Annotated[float, Meta(gt=0, le=1e7)]
Number = Annotated[int, Meta(ge=0, le=1 << 31)]
Name = Annotated[str, Meta(min_length=1, max_length=255)]
Report = dict[str, Optional[Annotated[float, Meta(ge=0, le=1e9)]]]


class MalformedMessageError(ValueError):
    """No message: not a JSON object. What follows on that stream is lost too."""


class InvalidFieldError(ValueError):
    """A message with a field that can't be used, its kind among them; those around it are good."""


class ProxyHello(Struct, tag="hello", tag_field="msg"):
    """A proxy's stream begins. `rate`: its usual reqs a second; `standing_only`: it holds no ordered table."""

    proxy: Number = field(name="node")
    zone: Name = field(name="locality")
    rate: Annotated[float, Meta(ge=0, le=1e9)] = field(name="w", default=0.0)
    standing_only: bool = field(name="cold", default=True)


class CollectorHello(Struct, tag="agent", tag_field="msg"):
    """A collector's connection begins."""

    zone: Name = field(name="locality")


class EndpointOutcomes(Struct, tag="outcomes", tag_field="msg"):
    """What the proxies of a zone met at a host. `span`, `mean_time` of the good ones: seconds."""

    zone: Name = field(name="locality")
    host: Name = field(name="endpoint")
    tries: Count = field(name="total")
    bad: Count = field(name="errors")
    interval: Span
    rtt: Milliseconds = 0.0
    metrics: Optional[Report] = None

    @property
    def span(self):
        return self.interval / 1000

    @property
    def mean_time(self):
        return self.rtt / 1000

    @property
    def report(self):
        return our_report(self.metrics)


class RequestDemand(Struct, tag="demand", tag_field="msg"):
    """Reqs of one kind that came to a proxy, over `span` seconds."""

    proxy: Number = field(name="node")
    kind: Name = field(name="route")
    tries: Count = field(name="total")
    interval: Span
    bad: Count = field(name="errors", default=0.0)

    @property
    def span(self):
        return self.interval / 1000


class Acknowledgement(Struct, tag="ack", tag_field="msg"):
    """A proxy has applied all up to a mark, `took` seconds after the order."""

    proxy: Number = field(name="node")
    mark: Annotated[int, Meta(ge=0, le=1 << 32)] = field(name="nonce")
    latency: Milliseconds

    @property
    def took(self):
        return self.latency / 1000


class LivenessCheck(Struct, tag="probe", tag_field="msg"):
    """Anyone asks for a sign of life."""


InboundMessage = Union[
    ProxyHello, CollectorHello, EndpointOutcomes, RequestDemand, Acknowledgement, LivenessCheck
]
LINE = json.Decoder(InboundMessage)
ENCODER = json.Encoder()
ALIVE = b'{"msg":"alive"}\n'


def read_line(data):
    """One of `Heard`. Raises Unreadable or Spoilt, each with a sentence for the sender."""
    try:
        found = LINE.decode(data)
    except msgspec.ValidationError as problem:
        raise (InvalidFieldError if is_object(data) else MalformedMessageError)(
            str(problem)
        ) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedMessageError(str(problem)) from None
    if type(found) in (EndpointOutcomes, RequestDemand) and found.bad > found.tries:
        raise InvalidFieldError("expected at most as many errors as there were tries")
    return found


def is_object(data):
    """A form that is wrong is found before the rest is read: only all of it tells whether it is JSON."""
    try:
        return isinstance(json.decode(data), dict)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False


def write_error(why):
    return ENCODER.encode({"msg": "error", "why": why[:200]}) + b"\n"


def our_report(said):
    """{our name: number} of a load report, or None where it holds none."""
    return {
        REPORTS[name]: value
        for name, value in (said or {}).items()
        if name in REPORTS and value is not None
    } or None


def read_report(body):
    """The same of a probe's body; a body that is none is passed over: that it answered is news enough."""
    try:
        return our_report(json.decode(body, type=Report))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


# Orders.


class Table(NamedTuple):
    """A part of a message. `kinds`: names of request kinds, None for all; `lines`: [(host's name, weight)];
    `level`: (share, retry) or None."""

    kinds: Optional[tuple]
    whole: bool
    lines: list
    level: Optional[tuple]


def write_message(tables, shut, opened, mark):
    """The bytes of one message for one proxy: [Table], names of hosts to shut out and to let in, a mark or None.
    Empty where there is nothing to say."""
    parts = []
    for table in tables:
        for at in range(0, len(table.lines) or 1, LINES_A_PART):
            part = {"msg": "push"}
            if table.kinds is not None:
                part["routes"] = table.kinds
            if table.whole and not at:
                part["full"] = True
            if table.lines or table.whole:
                part["endpoints"] = [
                    (name, weight and max(LEAST_WEIGHT, round(weight, 6)))
                    for name, weight in table.lines[at : at + LINES_A_PART]
                ]
            if table.level is not None and not at:
                part["admit"], part["policy"] = table.level[0], RETRIES[table.level[1]]
            parts.append(part)
    last = {name: value for name, value in (("eject", shut), ("restore", opened)) if value}
    if mark is not None:
        last["nonce_out"] = mark
    if last:
        if parts:
            parts[-1].update(last)
        else:
            parts.append({"msg": "push", **last})
    if len(parts) > PARTS_MOST:
        raise ValueError(f"expected at most {PARTS_MOST} parts of a message, made {len(parts)}")
    for part in parts[:-1]:
        part["continued"] = True
    return b"".join(ENCODER.encode(part) + b"\n" for part in parts)


# Discovery.


class Instance(Struct):
    instanceId: Name
    hostPort: str
    zone: str
    lifecycle: Literal["active", "leaving", "left"]
    machineType: str = ""
    cell: int = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    startedAtMs: Annotated[float, Meta(ge=0)] = 0.0


class Named(Struct):
    instanceId: Name


class Instances(Struct):
    generation: int
    instances: list[msgspec.Raw]
    reset: bool = False


LIST, INSTANCE, NAMED = json.Decoder(Instances), json.Decoder(Instance), json.Decoder(Named)


def read_list(body, written):
    """A Listing of discovery's answer that came at `written`, Unix seconds. One bad entry does not cost the others;
    no list at all raises Unreadable."""
    try:
        said = LIST.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedMessageError(f"not a list: {problem}") from None
    if len(said.instances) > HOSTS_MOST:
        raise MalformedMessageError(
            f"expected at most {HOSTS_MOST} hosts, got {len(said.instances)}"
        )
    hosts, bad, unread = {}, [], []
    for at, raw in enumerate(said.instances):
        try:
            entry = entry_of(INSTANCE.decode(raw))
            hosts[entry.name] = entry
        except (msgspec.MsgspecError, ValueError) as problem:
            bad.append(f"host {at}: {problem}")
            unread.append(name_of(raw))
    return EndpointList(
        "whole" if said.reset else "changes",
        said.generation,
        written,
        tuple(hosts.values()),
        tuple(bad),
        tuple(unread),
    )


def name_of(raw):
    """An entry's name, or None where that can't be read either."""
    try:
        return NAMED.decode(raw).instanceId
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def entry_of(one):
    address, port = read_place(one.hostPort)
    return ListedEndpoint(
        name=one.instanceId,
        zone=one.zone,
        phase=PHASES[one.lifecycle],
        address=address,
        port=port,
        machine=one.machineType,
        pod=one.cell,
        weight=one.weight,
        started=one.startedAtMs / 1000,
    )


def read_place(text):
    """(address, port) of "10.0.0.4:8080"; ValueError."""
    address, _, port = text.rpartition(":")
    if not (address and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"expected ADDRESS:PORT, got {text!r}")
    return address, int(port)


# The configuration.


class Limits(Struct, frozen=True):
    sockets: Annotated[int, Meta(ge=32)] = 1024


class Document(Struct):
    name: str
    listen: str
    discovery: str
    settings: dict
    seed: str = "0"
    known: msgspec.Raw = msgspec.Raw()  # empty: none
    limits: Limits = Limits()


def read_document(data):
    """A Document. Raises Unreadable."""
    try:
        return json.decode(data, type=Document)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedMessageError(f"not a configuration: {problem}") from None
