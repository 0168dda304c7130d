"""The gRPC front: proxies join over an aggregated discovery stream, and report loads.

A proxy's stream is its membership: it joins with its first request (node id, zone, what it holds) and
leaves when the stream ends. `core` is the steward's side:

    admit(node) -> (epoch, refusal): a refusal is None or (status, text, trailing metadata)
    hints(node) -> metadata for a proxy that is taken in: where to dial when this controller ends
    joined(session), left(session), refused(session, Refused), applied(session, type, version)
    takes_report(session, now), reported(session, started), gathered: of load reports
    report_every(session or None) -> seconds between them
    published(session, version, parts): a version of these parts of its tables has been sent
    lines_of(session, kind) -> {host: weight} that it is to hold now
    host_of((address, port)) -> index or None
"""

import asyncio
from typing import NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from ..net.streams import ConnectionSet
from ..tables.version import MILLION, PARTS, SCALE, line_key, read_version, whole_weight
from .discovery import Discovery
from .framing import StatusCode
from .http2 import Connection
from .incremental import Incremental
from .load_reports import read_report
from .resources import (
    ENDPOINTS,
    LINES,
    ROUTES,
    ROUTES_NAME,
    Line,
    encode_routes,
    parse_resource_name,
    read_line_key,
    write_lines,
)

DISCOVERY = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
DELTA = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
LOADS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
HELD_MOST = 2000  # lines that a proxy may say it holds
NAME_MOST = 200


class ProxyNode(NamedTuple):
    """What a proxy says of itself: `epoch` the newest that it has seen, `held` {kind: [Line]}, `hops` how
    often it was sent on, `avoid` controllers that it could not reach. One that says nothing of hops knows
    nothing of being sent on: it is taken in by whoever it dials."""

    name: str
    zone: str
    epoch: int
    held: dict
    rate: float
    hops: int
    avoid: tuple


def read_node(request):
    """A Node of a stream's first request. Raises ValueError with what was expected."""
    node = request.node
    if not node.id or len(node.id) > NAME_MOST:
        raise ValueError("expected a node id")
    said = node.metadata.fields
    epoch, rate, held = read_version(getattr(request, "version_info", "")).epoch, 1.0, {}
    if "epoch" in said:
        epoch = max(epoch, int(said["epoch"].number_value))
    if "rate" in said:
        rate = min(1e6, max(0.01, said["rate"].number_value))
    if "held" in said:
        for kind, lines in said["held"].struct_value.fields.items():
            held[kind] = [
                read_line(one.string_value) for one in lines.list_value.values[:HELD_MOST]
            ]
    if request.type_url == LINES:
        read_held_lines(request, held)
    hops = int(said["hops"].number_value) if "hops" in said else 100
    avoid = (
        tuple(one.string_value for one in said["avoid"].list_value.values[:100])
        if "avoid" in said
        else ()
    )
    return ProxyNode(
        node.id, node.locality.zone, min(max(0, epoch), 2**53), held, rate, hops, avoid
    )


def read_line(text):
    """`ADDRESS|PORT|ZONE|WEIGHT`, as proxies tell what they hold."""
    address, port, zone, weight = (text.split("|") + [""] * 4)[:4]
    try:
        return Line(address, int(port), zone, float(weight))
    except ValueError:
        raise ValueError(f"expected ADDRESS|PORT|ZONE|WEIGHT, got {text!r}") from None


def read_held_lines(request, held):
    """A proxy of the incremental variant says what it holds by its resources' versions, which are weights."""
    for name, version in list(request.initial_resource_versions.items())[:HELD_MOST]:
        try:
            kind, zone, address, port = read_line_key(parse_resource_name(LINES, name))
            held.setdefault(kind, []).append(Line(address, port, zone, int(version) / SCALE))
        except ValueError:
            continue  # of another control service


class Session:
    """One joined proxy: its stream, what it is to hold, and what it has said."""

    REQUEST = discovery_pb2.DiscoveryRequest
    TYPES = {ENDPOINTS: {"line", "level"}, ROUTES: {"retry"}}  # what each resource type says

    def __init__(self, front, call):
        self.front, self.call, self.node, self.discovery = front, call, None, None
        self.number, self.state, self.zone, self.since = None, None, 0, 0.0
        self.levels, self.retries, self.ready, self.stale = {}, {}, False, set()
        self.report_at, self.reports = None, 0  # when its last load report was read; how many came
        call.message, call.ended, call.writable = self.message, self.ended, self.push

    def message(self, data):
        try:
            request = self.REQUEST.FromString(data)
            if self.node is None:
                self.join(read_node(request))
        except DecodeError:
            self.call.finish(
                StatusCode.INVALID_ARGUMENT, f"expected a {self.REQUEST.DESCRIPTOR.name}"
            )
            return
        except ValueError as problem:
            self.call.finish(StatusCode.INVALID_ARGUMENT, str(problem))
            return
        if self.discovery is not None:
            self.send(self.discovery.take(request))
            self.tell_news()

    def join(self, node):
        self.node, core = node, self.front.core
        epoch, refusal = core.admit(node)
        if refusal is not None:
            status, text, more = refusal
            self.call.finish(status, text, **more)
            return
        self.epoch, self.discovery = epoch, self.begin(epoch)
        self.since = asyncio.get_running_loop().time()
        self.call.connection.accept(self.call, **core.hints(node))
        self.call.connection.flush()
        core.joined(self)

    def begin(self, epoch):
        return Discovery(
            epoch,
            self.resources,
            self.front.identity,
            lambda version, type_url: self.front.core.published(
                self, version, sorted(self.TYPES[type_url])
            ),
        )

    def tell_news(self):
        core, found = self.front.core, self.discovery
        for refusal in found.refusals:
            core.refused(self, refusal)
        for type_url, version in found.applied:
            core.applied(self, type_url, version)
        found.refusals, found.applied = [], []

    def resources(self, type_url, names):
        """As they stand; None while there is nothing to say: what a proxy brought stands until then."""
        if not self.ready:
            return None
        if type_url == ENDPOINTS:
            known = [name for name in self.front.kinds if name in names or not names]
            return {
                name: write_lines(name, self.lines(name), self.levels.get(name, 1.0))
                for name in known
            }
        if type_url == ROUTES:
            kinds = {name: self.retries.get(name, "unstarted") for name in self.front.kinds}
            return {ROUTES_NAME: encode_routes(kinds)}
        return {}

    def lines(self, kind):
        return [
            Line(*self.front.core.place_of(host), weight)
            for host, weight in self.front.core.lines_of(self, self.front.kinds[kind]).items()
        ]

    def items(self, part):
        """{key: value} as they stand; None while there is nothing to say."""
        if not self.ready:
            return None
        if part == "line":
            return {
                line_key(kind, line.zone, line.address, line.port): whole_weight(line.weight)
                for kind in self.front.kinds
                for line in self.lines(kind)
            }
        if part == "level":
            return {
                f"level/{kind}": round(self.levels.get(kind, 1.0) * MILLION)
                for kind in self.front.kinds
            }
        return {f"retry/{kind}": self.retries.get(kind, "unstarted") for kind in self.front.kinds}

    def changed(self, parts=PARTS):
        """Something that it is to hold has changed, of these parts. A proxy that reads slowly gets only the
        newest."""
        if not self.ready:
            self.ready, parts = True, PARTS
        self.stale.update(url for url, covers in self.TYPES.items() if covers & set(parts))
        self.push()

    def push(self):
        for type_url in self.TYPES:
            if type_url in self.stale and self.call.idle and self.discovery is not None:
                self.stale.discard(type_url)
                self.send(self.discovery.changed(type_url))

    def send(self, responses):
        for response in responses:
            self.call.send(response.SerializeToString(deterministic=True))

    def ended(self, status, text):
        if self.discovery is not None:
            self.discovery = None
            self.front.core.left(self)

    def move(self, text, **more):
        """Sends it to another controller; what it holds it keeps."""
        self.call.finish(StatusCode.UNAVAILABLE, text, **more)


class DeltaSession(Session):
    """One that follows the incremental variant: lines one by one, deltas that it checks on arrival."""

    REQUEST = discovery_pb2.DeltaDiscoveryRequest
    TYPES = {LINES: {"line"}, ENDPOINTS: {"level"}, ROUTES: {"retry"}}

    def begin(self, epoch):
        return Incremental(
            epoch,
            self.items,
            self.front.identity,
            lambda version, parts: self.front.core.published(self, version, parts),
            self.front.zones,
        )


class Loads:
    """One proxy's load reports."""

    def __init__(self, front, call):
        self.front, self.call, self.node, self.told = front, call, None, None
        call.message = self.message

    def message(self, data):
        core, start = self.front.core, asyncio.get_running_loop().time()
        session = self.front.sessions.get(self.node)
        # Shed before it is read: reading is most of what a report costs.
        if session is not None and not core.takes_report(session, start):
            self.tell_interval(session)
            return
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            self.call.finish(StatusCode.INVALID_ARGUMENT, "expected a LoadStatsRequest")
            return
        if self.node is None:
            self.node = request.node.id
            session = self.front.sessions.get(self.node)
        self.tell_interval(session)
        if session is None:
            if request.cluster_stats:  # one that has not joined here is another controller's
                self.call.finish(StatusCode.NOT_FOUND, "expected a proxy that has joined")
            return
        if request.cluster_stats:
            core.gathered.report(start)
            read_report(
                request, self.front.kinds, core.host_of, session.number, session.zone, core.gathered
            )
            core.reported(session, start)

    def tell_interval(self, session):
        """With its own next report, so that a new interval never goes to thousands at once."""
        every = self.front.core.report_every(session)
        if self.told != every:
            self.told = every
            answer = lrs_pb2.LoadStatsResponse(
                send_all_clusters=True, report_endpoint_granularity=True
            )
            answer.load_reporting_interval.FromMilliseconds(int(every * 1000))
            self.call.send(answer.SerializeToString())


class GrpcFront:
    """One steward's gRPC listener. `most` connections; the idlest is cut."""

    def __init__(self, core, identity, kinds, most=10_000, zones=()):
        self.core, self.identity, self.zones = core, identity, zones
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.sessions, self.held, self.server = {}, ConnectionSet(most), None

    async def open(self, address):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.connect, *address, backlog=1024)

    def connect(self):
        made = Connection(False, self.serve)
        made.ended_all, made.crowd = (
            lambda reason: self.held.drop(made),
            lambda: len(self.held.streams),
        )
        self.held.add(made)
        return made

    def serve(self, call):
        if call.path == DISCOVERY:
            Session(self, call)
        elif call.path == DELTA:
            DeltaSession(self, call)
        elif call.path == LOADS:
            Loads(self, call)
        else:
            call.finish(StatusCode.UNIMPLEMENTED, f"expected {DISCOVERY}, {DELTA} or {LOADS}")

    def add(self, session):
        """The newest stream of a proxy counts: an older one is that of a half-open connection."""
        old = self.sessions.get(session.node.name)
        self.sessions[session.node.name] = session
        if old is not None:
            old.call.finish(StatusCode.UNAVAILABLE, "replaced by a newer stream")

    def drop(self, session):
        if self.sessions.get(session.node.name) is session:
            del self.sessions[session.node.name]
            return True
        return False

    def close(self):
        if self.server is not None:
            self.server.close()
        for connection in list(self.held.streams):
            connection.go_away()
            connection.close()
