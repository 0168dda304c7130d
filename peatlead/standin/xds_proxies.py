"""Stand-in proxies, which apply assignments from a controller, send requests and report loads.

A proxy follows one discovery stream. It applies only assignments that are newer than its fence, a
pair (epoch, serial); older ones are recorded and ignored. It still reads abandoned streams, so that
late messages of a frozen controller are recorded; they have no effect.
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
AVOID_DURATION = 5.0  # seconds for which a controller is avoided after it failed to respond
PAST_ALL_SERIALS = 1 << 62  # greater than any serial of a controller
ABANDONED_READ_TIME = 90.0  # seconds for which an abandoned stream is still read
REJOIN_DELAY = (0.03, 0.15)  # seconds, random in this range
PING_INTERVAL = 1.0  # seconds
PING_DATA = b"anyone??"  # HTTP/2 pings carry eight bytes
DEFAULT_REPORT_INTERVAL = 1.0  # seconds, until the controller asks for another
FINISH_TIMEOUT = 6.0  # seconds for active tasks to end
AUTHORITY = "peatlead"
INVALID_ARGUMENT = 3  # gRPC status code of a rejected response
UNAVAILABLE = "14"  # gRPC status code of a controller that refuses a proxy

Address = tuple[str, int]
Result = TypeVar("Result")


class JoinOutcome(StrEnum):
    """How a stream to a controller ended."""

    ENDED = "ended"
    REDIRECTED = "redirected"  # to another controller, or to a later time
    FAILED = "failed"


class JoinResult(NamedTuple):
    """How a stream ended, and the metadata that the controller sent."""

    outcome: JoinOutcome
    metadata: dict[str, str]


class AssignmentOutcome(StrEnum):
    """The recorded result of an assignment."""

    APPLIED = "applied"
    OLD = "old"
    REFUSED = "refused"


FAILED_JOIN = JoinResult(JoinOutcome.FAILED, {})


def parse_address(text: str) -> Address:
    """Parse HOST:PORT."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def set_once(future: asyncio.Future[Result], result: Result) -> None:
    """Set a future's result if it is not done."""
    if not future.done():
        future.set_result(result)


class StandInProxy:
    """One proxy, with its discovery stream, its tables and its requests."""

    def __init__(self, plan: ProxyPlan, rng: Random, recorder: Recorder) -> None:
        self.plan = plan
        self.rng = rng
        self.recorder = recorder
        self.loop = asyncio.get_running_loop()
        self.tables = ProxyTables()
        self.request_sender = RequestSender(plan, self.tables, rng, recorder)
        self.replica = Replica()  # verified state of the incremental variant
        self.fence = Fence()
        self.current_call: Optional[Call] = None  # the discovery stream
        self.preferred_controllers: list[Address] = []  # best first, from the last controller
        self.controller_names: dict[Address, str] = {}
        self.avoided_until: dict[Address, float] = {}
        self.abandoned_connections: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0
        self.stopped = False

    @property
    def entries(self) -> dict[str, list[WeightedEndpoint]]:
        """The entries of the proxy's tables, by request class."""
        return self.tables.entries

    def begin(self, start: float) -> None:
        """Connect to a controller, and let requests arrive from the event loop time `start` on."""
        self._start_task(self._follow_controllers())
        first_due = start + self.rng.expovariate(self.plan.rate)
        self.loop.call_at(first_due, self._start_due_requests, first_due)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _start_due_requests(self, due: float) -> None:
        """Start all requests that are due, and schedule the next one."""
        if self.stopped:
            return
        now = self.loop.time()
        classes = self.plan.kinds
        while due <= now:
            self.request_count += 1
            request_class = self.rng.choices(classes, [candidate.share for candidate in classes])[0]
            request_id = f"{self.plan.name}-{self.request_count}"
            self._start_task(self.request_sender.run(request_id, request_class, due))
            due += self.rng.expovariate(self.plan.rate)
        self.loop.call_at(due, self._start_due_requests, due)

    # Streams.

    async def _follow_controllers(self) -> None:
        """Follow one controller after another until the proxy is stopped."""
        redirections = 0  # consecutive
        wait = 0.0
        target: Optional[Address] = None
        while not self.stopped:
            await asyncio.sleep(wait)
            address = target or self._choose_controller()
            outcome, metadata = await self._join_controller(address, redirections)
            wait = self.rng.uniform(*REJOIN_DELAY)
            target = None
            if outcome is JoinOutcome.REDIRECTED and metadata.get("peatlead-owner"):
                target = parse_address(metadata["peatlead-owner"])
                redirections += 1
                wait = 0.0
            elif outcome is JoinOutcome.REDIRECTED:
                wait = float(metadata.get("peatlead-wait", "0") or 0) or wait
            else:
                redirections = 0
            if outcome is JoinOutcome.FAILED:
                self.avoided_until[address] = self.loop.time() + AVOID_DURATION

    def _choose_controller(self) -> Address:
        """Return the first preferred controller that is not avoided, else a random controller."""
        now = self.loop.time()
        self.avoided_until = {
            address: end_time for address, end_time in self.avoided_until.items() if now < end_time
        }
        for address in self.preferred_controllers:
            if address not in self.avoided_until:
                return address
        controllers: list[Address] = [(host, port) for host, port in self.plan.controllers]
        available = [address for address in controllers if address not in self.avoided_until]
        return self.rng.choice(available or controllers)

    async def _join_controller(self, address: Address, redirections: int) -> JoinResult:
        """Connect to a controller, and follow its stream until the end."""
        controller = address[0]
        try:
            connection = await dial(address, self.plan.local, JOIN_TIMEOUT, ping_interval=0.0)
        except (OSError, TimeoutError):
            return FAILED_JOIN
        responded: asyncio.Future[dict[str, str]] = self.loop.create_future()
        ended: asyncio.Future[dict[str, str]] = self.loop.create_future()
        call = self._open_call(connection, controller, responded, ended)
        self._send_first_requests(call, redirections)
        await asyncio.wait(
            [responded, ended], timeout=JOIN_TIMEOUT, return_when=asyncio.FIRST_COMPLETED
        )
        if not responded.done() and not ended.done():
            self._abandon(connection)
            return FAILED_JOIN
        joined = "peatlead-controllers" in call.peer_metadata or not ended.done()
        if joined:
            await self._stay_joined(connection, call, controller, ended)
        if not ended.done():
            self._abandon(connection)
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
        """Start a discovery stream; sets the futures at its first response and at its end."""
        call = connection.call(
            DELTA_DISCOVERY_PATH if self.plan.incremental else DISCOVERY_PATH, AUTHORITY
        )
        call.on_headers = lambda metadata: set_once(responded, dict(metadata))
        call.on_end = lambda *_: set_once(ended, dict(call.peer_metadata))
        receive = self.receive_delta if self.plan.incremental else self.receive_response
        call.on_message = lambda data: receive(call, controller, data)
        self.current_call = call
        return call

    async def _stay_joined(
        self,
        connection: Connection,
        call: Call,
        controller: str,
        ended: asyncio.Future[dict[str, str]],
    ) -> None:
        """Record the stream, and report loads until it ends or the controller stops responding."""
        self._store_preferred_controllers(call.peer_metadata)
        self.recorder.write_row("stream", self.loop.time(), self.plan.name, controller, "joined")
        self._start_task(self._report_loads(connection))
        await self._wait_for_end(connection, ended)
        self.recorder.write_row("stream", self.loop.time(), self.plan.name, controller, "lost")

    async def _wait_for_end(
        self, connection: Connection, ended: asyncio.Future[dict[str, str]]
    ) -> None:
        """Wait until the stream ends or the controller does not answer a ping in time."""
        while not ended.done() and not self.stopped:
            pinged_at = self.loop.time()
            connection.h2_connection.ping(PING_DATA)
            connection.flush()
            await asyncio.wait([ended], timeout=PING_INTERVAL)
            if not ended.done() and connection.last_received_at < pinged_at:
                return

    def _abandon(self, connection: Connection) -> None:
        """Stop following a connection, but read it for ABANDONED_READ_TIME more."""
        self.abandoned_connections.append(connection)
        self.loop.call_later(ABANDONED_READ_TIME, connection.abort, "stream abandoned")

    def _store_preferred_controllers(self, metadata: dict[str, str]) -> None:
        """Store the controllers from the metadata `peatlead-controllers`: "NAME=HOST:PORT,..."."""
        self.preferred_controllers = []
        for item in filter(None, metadata.get("peatlead-controllers", "").split(",")):
            name, _, address_text = item.partition("=")
            address = parse_address(address_text)
            self.preferred_controllers.append(address)
            self.controller_names[address] = name

    # Requests on the discovery stream.

    def _send_first_requests(self, call: Call, redirections: int) -> None:
        # Each connection attempt advances the fence to a new epoch: the previous controller may
        # only be slow, and could still send assignments with the previous epoch.
        self.fence = Fence((self.fence.newest_version[0] + 1, PAST_ALL_SERIALS))
        if self.plan.incremental:
            self._send_first_deltas(call, redirections)
            return
        request = discovery_pb2.DiscoveryRequest(
            type_url=ASSIGNMENT_TYPE_URL, resource_names=self._class_names()
        )
        self._describe_node(request, redirections)
        held = {
            name: [
                f"{endpoint.address}|{endpoint.port}|{endpoint.zone}|{endpoint.weight}"
                for endpoint in entries
            ]
            for name, entries in self.entries.items()
        }
        request.node.metadata.update({"held": held})
        call.send(request.SerializeToString(deterministic=True))
        route_request = discovery_pb2.DiscoveryRequest(
            type_url=ROUTE_TYPE_URL, resource_names=[ROUTE_CONFIGURATION_NAME]
        )
        call.send(route_request.SerializeToString())

    def _send_first_deltas(self, call: Call, redirections: int) -> None:
        """Subscribe to all parts of the tables, and send the versions of the held items."""
        self.replica.reject_up_to(Version(*self.fence.newest_version))
        for type_url, part in PART_BY_TYPE.items():
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, resource_names_subscribe=["*"]
            )
            self._describe_node(request, redirections)
            for key, value in self.replica.parts[part].items():
                request.initial_resource_versions[resource_name(key)] = str(value)
            call.send(request.SerializeToString(deterministic=True))

    def _describe_node(self, request: Any, redirections: int) -> None:
        request.node.id = self.plan.name
        request.node.locality.zone = self.plan.zone
        request.node.metadata.update(
            {
                "epoch": self.fence.newest_version[0],
                "rate": self.plan.rate,
                "hops": redirections,
                "avoid": [
                    self.controller_names[address]
                    for address in self.avoided_until
                    if address in self.controller_names
                ],
            }
        )

    def _class_names(self) -> list[str]:
        return [request_class.name for request_class in self.plan.kinds]

    # Assignments.

    def receive_response(self, call: Call, controller: str, data: bytes) -> None:
        """Apply a DiscoveryResponse completely, or reject it with the reason."""
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        version = parse_version(response.version_info)
        if not self.fence.allows(*version) or call is not self.current_call:
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
            self._apply_response(response)
            self.fence = self.fence.after_update(*version)
            outcome = AssignmentOutcome.APPLIED
        except ValueError as error:
            answer.error_detail.code = INVALID_ARGUMENT
            answer.error_detail.message = str(error)
            outcome = AssignmentOutcome.REFUSED
        self._record_assignment(controller, version, outcome)
        call.send(answer.SerializeToString())

    def _apply_response(self, response: Any) -> None:
        """Apply a response completely. Raises ValueError, and changes nothing, if it is invalid."""
        if response.type_url == ROUTE_TYPE_URL:
            for resource in response.resources:
                self.tables.retry_policies = decode_routes(resource.value)
            return
        assignments = [decode_assignment(resource.value) for resource in response.resources]
        for request_class, entries, admission in assignments:
            self.tables.entries[request_class] = entries
            self.tables.admissions[request_class] = admission
        self.request_sender.close_unassigned()

    def receive_delta(self, call: Call, controller: str, data: bytes) -> None:
        """Apply a DeltaDiscoveryResponse completely, or reject it with the reason."""
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        version = parse_version(response.nonce)
        if call is not self.current_call:
            self._record_assignment(controller, version, AssignmentOutcome.OLD)
            return
        try:
            type_url, changes, stamp = decode_delta(response)
            version = stamp.version
            part = PART_BY_TYPE[type_url]
            outcome = str(self.replica.apply_delta(part, stamp, changes))
        except ValueError as error:
            outcome = str(error)
        if outcome == OLD_VERSION:
            self._record_assignment(controller, version, AssignmentOutcome.OLD)
            return
        answer = discovery_pb2.DeltaDiscoveryRequest(
            type_url=response.type_url, response_nonce=response.nonce
        )
        if outcome == APPLIED:
            self._use_applied_delta(controller, version, part)
        else:
            answer.error_detail.code = INVALID_ARGUMENT
            answer.error_detail.message = outcome
            self._record_assignment(controller, version, AssignmentOutcome.REFUSED)
        call.send(answer.SerializeToString())

    def _use_applied_delta(self, controller: str, version: Version, part: str) -> None:
        """Use the new state of the replica for requests, and record it."""
        self.fence = self.fence.after_update(*version)
        self._rebuild_tables()
        self._record_assignment(controller, version, AssignmentOutcome.APPLIED)
        # Only deltas with entries change the recorded digest; admissions and policies do not.
        if part == "line":
            self._record_held(controller, version)

    def _rebuild_tables(self) -> None:
        """Build the tables from the items of the replica."""
        entries: dict[str, list[WeightedEndpoint]] = {name: [] for name in self._class_names()}
        for key, weight in self.replica.parts["line"].items():
            request_class, zone, address, port = parse_line_key(key)
            entry = WeightedEndpoint(address, port, zone, cast(int, weight) / WEIGHT_SCALE)
            entries.setdefault(request_class, []).append(entry)
        self.tables.entries = entries
        for key, fraction in self.replica.parts["level"].items():
            self.tables.admissions[key.partition("/")[2]] = cast(int, fraction) / MILLION
        for key, policy in self.replica.parts["retry"].items():
            self.tables.retry_policies[key.partition("/")[2]] = cast(str, policy)
        self.request_sender.close_unassigned()

    def _record_assignment(
        self, controller: str, version: Version, outcome: AssignmentOutcome
    ) -> None:
        min_entries = min(
            (len(self.entries.get(name, ())) for name in self._class_names()), default=0
        )
        now = self.loop.time()
        self.recorder.write_row(
            "order", now, self.plan.name, controller, *version, outcome.value, min_entries
        )

    def _record_held(self, controller: str, version: Version) -> None:
        """Record the digest of the held entries, its consistency, and the addresses."""
        self.recorder.write_row(
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

    async def _report_loads(self, connection: Connection) -> None:
        """Report loads at the interval that the controller requests."""
        try:
            call = connection.call(LOAD_REPORTING_PATH, AUTHORITY)
        except ProtocolError:  # the connection is closing
            return
        first_response: asyncio.Future[None] = self.loop.create_future()
        interval = DEFAULT_REPORT_INTERVAL

        def receive(data: bytes) -> None:
            nonlocal interval
            response = lrs_pb2.LoadStatsResponse.FromString(data)
            interval = response.load_reporting_interval.ToMilliseconds() / 1000
            set_once(first_response, None)

        call.on_message = receive
        first_request = lrs_pb2.LoadStatsRequest()
        first_request.node.id = self.plan.name
        call.send(first_request.SerializeToString())
        await asyncio.wait([first_response], timeout=JOIN_TIMEOUT)
        while (
            first_response.done()
            and not call.is_closed
            and not self.stopped
            and connection.transport is not None
        ):
            await asyncio.sleep(interval)
            report = self.request_sender.stats.take_report(self.loop.time())
            call.send(report.SerializeToString(deterministic=True))

    async def finish(self) -> None:
        """Stop arrivals, wait until active tasks end, and abort abandoned connections."""
        self.stopped = True
        tasks = {task for task in self.tasks if task is not asyncio.current_task()}
        if tasks:
            await asyncio.wait(tasks, timeout=FINISH_TIMEOUT)
        for connection in self.abandoned_connections:
            connection.abort("proxy finished")


class ProxyGroup:
    """The proxies of one process, controlled by commands (`standin.process`)."""

    def __init__(self, rng: Random, recorder: Recorder) -> None:
        self.rng = rng
        self.recorder = recorder
        self.proxies: dict[str, StandInProxy] = {}

    async def execute(self, command: dict[str, Any], /) -> None:
        """Execute a command."""
        match command["do"]:
            case "agent":
                plan = msgspec.convert(command["plan"], ProxyPlan)
                self.proxies[plan.name] = StandInProxy(plan, self.rng, self.recorder)
            case "begin":
                for proxy in self.proxies.values():
                    proxy.begin(command["at"])
            case "finish":
                await asyncio.gather(*(proxy.finish() for proxy in self.proxies.values()))
