"""Stand-in proxies: they follow published assignments, report loads and send requests by them.

A proxy follows one stream. It applies only assignments newer than the newest (epoch, serial) that
it has seen; older ones are recorded and ignored. It goes on reading streams that it has given up,
so that what a frozen controller sends when it wakes is seen to arrive, and seen to have no effect.
"""

import asyncio
from collections.abc import Coroutine
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple, Optional, TypeVar, cast

import msgspec
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from h2.exceptions import ProtocolError

from ..fleet.ownership import Fence
from ..grpc.call import Call
from ..grpc.http2 import Connection, dial
from ..grpc.incremental import PART_BY_TYPE, decode_delta
from ..grpc.resources import (
    ASSIGNMENT_TYPE_URL,
    ROUTE_CONFIGURATION_NAME,
    ROUTE_TYPE_URL,
    WeightedEndpoint,
    decode_assignment,
    decode_routes,
    resource_name,
)
from ..grpc.server import DELTA_DISCOVERY_PATH, DISCOVERY_PATH, LOAD_REPORTING_PATH
from ..invariants.record import Recorder
from ..tables.replica import APPLIED, OLD_VERSION, Replica
from ..tables.version import MILLION, WEIGHT_SCALE, Version, parse_line_key, parse_version
from .proxy_plan import ProxyPlan
from .proxy_requests import ProxyTables, RequestSender

__all__ = ["ProxyGroup", "ProxyPlan", "StandInProxy"]

JOIN_TIMEOUT = 1.0  # seconds for a controller to respond
AVOID_FOR = 5.0  # seconds that a controller that did not respond is avoided
DIALLED = 1 << 62  # past every serial of an epoch
ABANDONED_FOR = 90.0  # seconds that a stream that was given up is still read
REJOIN_DELAY = (0.03, 0.15)  # seconds, drawn from this range
PING_INTERVAL = 1.0  # seconds
PING_DATA = b"anyone??"  # HTTP/2 pings carry eight bytes
DEFAULT_REPORT_INTERVAL = 1.0  # seconds, until the controller asks for another
FINISH_TIMEOUT = 6.0  # seconds for the tasks under way at the end
AUTHORITY = "peatlead"
INVALID_ARGUMENT = 3  # gRPC status code of a rejected response
UNAVAILABLE = "14"  # gRPC status code of a controller that refuses a proxy

Address = tuple[str, int]
Result = TypeVar("Result")


class JoinOutcome(StrEnum):
    """How a stream to a controller ended."""

    ENDED = "ended"
    REDIRECTED = "redirected"  # to another controller, or to come again later
    FAILED = "failed"


class JoinResult(NamedTuple):
    """How a stream ended, and the metadata that the controller sent."""

    outcome: JoinOutcome
    metadata: dict[str, str]


class AssignmentOutcome(StrEnum):
    """What became of an assignment; as recorded."""

    APPLIED = "applied"
    OLD = "old"
    REFUSED = "refused"


FAILED_JOIN = JoinResult(JoinOutcome.FAILED, {})


def parse_address(text: str) -> Address:
    """Parse HOST:PORT."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def set_once(future: asyncio.Future[Result], result: Result) -> None:
    """Set a future's result unless it is done."""
    if not future.done():
        future.set_result(result)


class StandInProxy:
    """One proxy."""

    def __init__(self, plan: ProxyPlan, rng: Random, recorder: Recorder) -> None:
        self.plan = plan
        self.rng = rng
        self.recorder = recorder
        self.loop = asyncio.get_running_loop()
        self.tables = ProxyTables()
        self.requests = RequestSender(plan, self.tables, rng, recorder)
        self.replica = Replica()  # of the incremental variant: its state, verified on arrival
        self.fence = Fence()
        self.current: Optional[Call] = None  # the discovery stream that it follows
        self.hints: list[Address] = []  # controllers, best first, as the last one named them
        self.names: dict[Address, str] = {}  # of controllers
        self.avoid: dict[Address, float] = {}  # controller -> until when
        self.given_up: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent = 0  # requests
        self.stopped = False

    @property
    def entries(self) -> dict[str, list[WeightedEndpoint]]:
        """The endpoints that it holds, by request class."""
        return self.tables.entries

    def begin(self, start: float) -> None:
        """Join a controller, and let requests arrive from a time on."""
        self._spawn(self._follow())
        first = start + self.rng.expovariate(self.plan.rate)
        self.loop.call_at(first, self._arrive, first)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _arrive(self, due: float) -> None:
        """Start the requests that are due."""
        if self.stopped:
            return
        now = self.loop.time()
        classes = self.plan.kinds
        while due <= now:
            self.sent += 1
            request_class = self.rng.choices(classes, [one.share for one in classes])[0]
            request_id = f"{self.plan.name}-{self.sent}"
            self._spawn(self.requests.run(request_id, request_class, due))
            due += self.rng.expovariate(self.plan.rate)
        self.loop.call_at(due, self._arrive, due)

    # Streams.

    async def _follow(self) -> None:
        """Join one controller after the other until stopped."""
        hops = 0  # redirections in a row
        wait = 0.0
        target: Optional[Address] = None
        while not self.stopped:
            await asyncio.sleep(wait)
            address = target or self._choose_controller()
            outcome, metadata = await self._join(address, hops)
            wait = self.rng.uniform(*REJOIN_DELAY)
            target = None
            if outcome is JoinOutcome.REDIRECTED and metadata.get("peatlead-owner"):
                target = parse_address(metadata["peatlead-owner"])
                hops += 1
                wait = 0.0
            elif outcome is JoinOutcome.REDIRECTED:
                wait = float(metadata.get("peatlead-wait", "0") or 0) or wait
            else:
                hops = 0
            if outcome is JoinOutcome.FAILED:
                self.avoid[address] = self.loop.time() + AVOID_FOR

    def _choose_controller(self) -> Address:
        """Return the best of the hints that is not avoided, else a controller drawn at random."""
        now = self.loop.time()
        self.avoid = {address: until for address, until in self.avoid.items() if now < until}
        for address in self.hints:
            if address not in self.avoid:
                return address
        controllers: list[Address] = [(host, port) for host, port in self.plan.controllers]
        fit = [address for address in controllers if address not in self.avoid]
        return self.rng.choice(fit or controllers)

    async def _join(self, address: Address, hops: int) -> JoinResult:
        """Follow a controller's stream to its end."""
        controller = address[0]
        try:
            connection = await dial(address, self.plan.local, JOIN_TIMEOUT, ping_interval=0.0)
        except (OSError, TimeoutError):
            return FAILED_JOIN
        responded: asyncio.Future[dict[str, str]] = self.loop.create_future()
        ended: asyncio.Future[dict[str, str]] = self.loop.create_future()
        call = self._open_call(connection, controller, responded, ended)
        self._send_first_requests(call, hops)
        await asyncio.wait(
            [responded, ended], timeout=JOIN_TIMEOUT, return_when=asyncio.FIRST_COMPLETED
        )
        if not responded.done() and not ended.done():
            self._give_up(connection)
            return FAILED_JOIN
        joined = "peatlead-controllers" in call.peer_metadata or not ended.done()
        if joined:
            await self._stay_joined(connection, call, controller, ended)
        if not ended.done():
            self._give_up(connection)
            return FAILED_JOIN
        connection.close()
        return self._join_result(ended.result(), joined)

    @staticmethod
    def _join_result(metadata: dict[str, str], joined: bool) -> JoinResult:
        redirected = "peatlead-owner" in metadata or "peatlead-wait" in metadata
        if metadata.get("grpc-status") == UNAVAILABLE and redirected:
            return JoinResult(JoinOutcome.REDIRECTED, metadata)
        return JoinResult(JoinOutcome.ENDED if joined else JoinOutcome.FAILED, metadata)

    def _open_call(
        self,
        connection: Connection,
        controller: str,
        responded: asyncio.Future[dict[str, str]],
        ended: asyncio.Future[dict[str, str]],
    ) -> Call:
        """Start a discovery stream; the futures are done at its first response and its end."""
        call = connection.call(
            DELTA_DISCOVERY_PATH if self.plan.incremental else DISCOVERY_PATH, AUTHORITY
        )
        call.on_headers = lambda metadata: set_once(responded, dict(metadata))
        call.on_end = lambda *_: set_once(ended, dict(call.peer_metadata))
        receive = self.receive_delta if self.plan.incremental else self.receive_response
        call.on_message = lambda data: receive(call, controller, data)
        self.current = call
        return call

    async def _stay_joined(
        self,
        connection: Connection,
        call: Call,
        controller: str,
        ended: asyncio.Future[dict[str, str]],
    ) -> None:
        """Report loads, and wait until the stream ends or the controller does not answer."""
        self._read_hints(call.peer_metadata)
        self.recorder.row("stream", self.loop.time(), self.plan.name, controller, "joined")
        self._spawn(self._report(connection))
        await self._watch(connection, ended)
        self.recorder.row("stream", self.loop.time(), self.plan.name, controller, "lost")

    async def _watch(self, connection: Connection, ended: asyncio.Future[dict[str, str]]) -> None:
        """Wait until the stream ends or the controller does not answer pings."""
        while not ended.done() and not self.stopped:
            pinged_at = self.loop.time()
            connection.h2_connection.ping(PING_DATA)
            connection.flush()
            await asyncio.wait([ended], timeout=PING_INTERVAL)
            if not ended.done() and connection.last_received_at < pinged_at:
                return

    def _give_up(self, connection: Connection) -> None:
        """Leave a controller that may only be frozen, and go on reading what it sends."""
        self.given_up.append(connection)
        self.loop.call_later(ABANDONED_FOR, connection.abort, "given up")

    def _read_hints(self, metadata: dict[str, str]) -> None:
        """Store the controllers that were named, as "NAME=HOST:PORT,..."."""
        self.hints = []
        for hint in filter(None, metadata.get("peatlead-controllers", "").split(",")):
            name, _, text = hint.partition("=")
            address = parse_address(text)
            self.hints.append(address)
            self.names[address] = name

    # Requests on the discovery stream.

    def _send_first_requests(self, call: Call, hops: int) -> None:
        # Each dial is a join of its own: a controller dialled before may only be slow, and must
        # not have the same epoch to give. So what was dialled is fenced off, answered or not.
        self.fence = Fence((self.fence.newest_version[0] + 1, DIALLED))
        if self.plan.incremental:
            self._send_first_deltas(call, hops)
            return
        request = discovery_pb2.DiscoveryRequest(
            type_url=ASSIGNMENT_TYPE_URL, resource_names=self._class_names()
        )
        self._describe_node(request, hops)
        held = {
            name: [f"{one.address}|{one.port}|{one.zone}|{one.weight}" for one in entries]
            for name, entries in self.entries.items()
        }
        request.node.metadata.update({"held": held})
        call.send(request.SerializeToString(deterministic=True))
        routes = discovery_pb2.DiscoveryRequest(
            type_url=ROUTE_TYPE_URL, resource_names=[ROUTE_CONFIGURATION_NAME]
        )
        call.send(routes.SerializeToString())

    def _send_first_deltas(self, call: Call, hops: int) -> None:
        """Subscribe to all parts of the tables, naming the versions of what it holds."""
        self.replica.reject_up_to(Version(*self.fence.newest_version))
        for type_url, part in PART_BY_TYPE.items():
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, resource_names_subscribe=["*"]
            )
            self._describe_node(request, hops)
            for key, value in self.replica.parts[part].items():
                request.initial_resource_versions[resource_name(key)] = str(value)
            call.send(request.SerializeToString(deterministic=True))

    def _describe_node(self, request: Any, hops: int) -> None:
        request.node.id = self.plan.name
        request.node.locality.zone = self.plan.zone
        request.node.metadata.update(
            {
                "epoch": self.fence.newest_version[0],
                "rate": self.plan.rate,
                "hops": hops,
                "avoid": [self.names[address] for address in self.avoid if address in self.names],
            }
        )

    def _class_names(self) -> list[str]:
        return [request_class.name for request_class in self.plan.kinds]

    # Assignments.

    def receive_response(self, call: Call, controller: str, data: bytes) -> None:
        """Apply a DiscoveryResponse completely, or reject it with the reason."""
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        version = parse_version(response.version_info)
        if not self.fence.allows(*version) or call is not self.current:
            self._record_assignment(controller, version, AssignmentOutcome.OLD)
            return
        is_routes = response.type_url == ROUTE_TYPE_URL
        answer = discovery_pb2.DiscoveryRequest(
            type_url=response.type_url,
            response_nonce=response.nonce,
            version_info=response.version_info,
            resource_names=[ROUTE_CONFIGURATION_NAME] if is_routes else self._class_names(),
        )
        try:
            self._apply(response)
            self.fence = self.fence.after_update(*version)
            outcome = AssignmentOutcome.APPLIED
        except ValueError as problem:
            answer.error_detail.code = INVALID_ARGUMENT
            answer.error_detail.message = str(problem)
            outcome = AssignmentOutcome.REFUSED
        self._record_assignment(controller, version, outcome)
        call.send(answer.SerializeToString())

    def _apply(self, response: Any) -> None:
        """Apply all of a response, or nothing of it; raises ValueError."""
        if response.type_url == ROUTE_TYPE_URL:
            for resource in response.resources:
                self.tables.retries = decode_routes(resource.value)
            return
        assignments = [decode_assignment(resource.value) for resource in response.resources]
        for request_class, entries, admission in assignments:
            self.tables.entries[request_class] = entries
            self.tables.admissions[request_class] = admission
        self.requests.close_unassigned()

    def receive_delta(self, call: Call, controller: str, data: bytes) -> None:
        """Apply a DeltaDiscoveryResponse completely, or reject it with the reason."""
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        version = parse_version(response.nonce)
        if call is not self.current:
            self._record_assignment(controller, version, AssignmentOutcome.OLD)
            return
        try:
            type_url, changes, stamp = decode_delta(response)
            version = stamp.version
            part = PART_BY_TYPE[type_url]
            outcome = str(self.replica.apply_delta(part, stamp, changes))
        except ValueError as problem:
            outcome = str(problem)
        if outcome == OLD_VERSION:
            self._record_assignment(controller, version, AssignmentOutcome.OLD)
            return
        answer = discovery_pb2.DeltaDiscoveryRequest(
            type_url=response.type_url, response_nonce=response.nonce
        )
        if outcome == APPLIED:
            self._show_applied(controller, version, part)
        else:
            answer.error_detail.code = INVALID_ARGUMENT
            answer.error_detail.message = outcome
            self._record_assignment(controller, version, AssignmentOutcome.REFUSED)
        call.send(answer.SerializeToString())

    def _show_applied(self, controller: str, version: Version, part: str) -> None:
        """Send by the new state from now on, and record it."""
        self.fence = self.fence.after_update(*version)
        self._rebuild_tables()
        self._record_assignment(controller, version, AssignmentOutcome.APPLIED)
        # An admission that comes first says nothing of the entries brought along.
        if part == "line":
            self._record_held(controller, version)

    def _rebuild_tables(self) -> None:
        """Build the tables of the replica's items."""
        entries: dict[str, list[WeightedEndpoint]] = {name: [] for name in self._class_names()}
        for key, weight in self.replica.parts["line"].items():
            request_class, zone, address, port = parse_line_key(key)
            entry = WeightedEndpoint(address, port, zone, cast(int, weight) / WEIGHT_SCALE)
            entries.setdefault(request_class, []).append(entry)
        self.tables.entries = entries
        for key, fraction in self.replica.parts["level"].items():
            self.tables.admissions[key.partition("/")[2]] = cast(int, fraction) / MILLION
        for key, policy in self.replica.parts["retry"].items():
            self.tables.retries[key.partition("/")[2]] = cast(str, policy)
        self.requests.close_unassigned()

    def _record_assignment(
        self, controller: str, version: Version, outcome: AssignmentOutcome
    ) -> None:
        fewest = min((len(self.entries.get(name, ())) for name in self._class_names()), default=0)
        now = self.loop.time()
        self.recorder.row("order", now, self.plan.name, controller, *version, outcome.value, fewest)

    def _record_held(self, controller: str, version: Version) -> None:
        """Record the digest of what it holds, and the addresses that are in it."""
        self.recorder.row(
            "held",
            self.loop.time(),
            self.plan.name,
            controller,
            *version,
            str(self.replica.digests["line"]),
            self.replica.is_consistent("line"),
            sorted(self.tables.addresses()),
        )

    # Load reports.

    async def _report(self, connection: Connection) -> None:
        """Report loads at the interval that the controller asks for."""
        try:
            call = connection.call(LOAD_REPORTING_PATH, AUTHORITY)
        except ProtocolError:  # the connection is going away already
            return
        asked: asyncio.Future[None] = self.loop.create_future()
        interval = DEFAULT_REPORT_INTERVAL

        def receive(data: bytes) -> None:
            nonlocal interval
            response = lrs_pb2.LoadStatsResponse.FromString(data)
            interval = response.load_reporting_interval.ToMilliseconds() / 1000
            set_once(asked, None)

        call.on_message = receive
        first = lrs_pb2.LoadStatsRequest()
        first.node.id = self.plan.name
        call.send(first.SerializeToString())
        await asyncio.wait([asked], timeout=JOIN_TIMEOUT)
        while (
            asked.done()
            and not call.is_closed
            and not self.stopped
            and connection.transport is not None
        ):
            await asyncio.sleep(interval)
            report = self.requests.stats.take_report(self.loop.time())
            call.send(report.SerializeToString(deterministic=True))

    async def finish(self) -> None:
        """Stop arrivals, wait for requests under way and cut what was given up."""
        self.stopped = True
        tasks = {task for task in self.tasks if task is not asyncio.current_task()}
        if tasks:
            await asyncio.wait(tasks, timeout=FINISH_TIMEOUT)
        for connection in self.given_up:
            connection.abort("the day is over")


class ProxyGroup:
    """The proxies of one process, controlled by commands (standin/process.py)."""

    def __init__(self, rng: Random, recorder: Recorder) -> None:
        self.rng = rng
        self.recorder = recorder
        self.proxies: dict[str, StandInProxy] = {}

    async def command(self, command: dict[str, Any], /) -> None:
        """Carry out a command."""
        match command["do"]:
            case "agent":
                plan = msgspec.convert(command["plan"], ProxyPlan)
                self.proxies[plan.name] = StandInProxy(plan, self.rng, self.recorder)
            case "begin":
                for proxy in self.proxies.values():
                    proxy.begin(command["at"])
            case "finish":
                await asyncio.gather(*(proxy.finish() for proxy in self.proxies.values()))
