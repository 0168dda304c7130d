"""Simulated proxies that connect to a real controller, in processes of their own."""

import asyncio
import time
from collections.abc import Iterable
from enum import StrEnum
from multiprocessing.connection import Connection as Pipe
from typing import Any, NamedTuple, Optional

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from ..grpc.call import Call
from ..grpc.http2 import Connection, dial
from ..grpc.resources import ASSIGNMENT_TYPE_URL, ROUTE_TYPE_URL, decode_assignment
from ..grpc.server import DISCOVERY_PATH, LOAD_REPORTING_PATH

AUTHORITY = "peatlead"
DIAL_TIMEOUT = 30.0  # seconds
DIALS_AT_ONCE = 50
REQUEST_CLASSES = ("look", "file")
ZONES = ("a", "b", "c")
REPORT_PHASES = 97  # over which the agents' first reports are spread
MIN_REPORT_INTERVAL = 60  # milliseconds
IDLE_TIMEOUT = 30.0  # seconds without a command after which a process of agents ends

Address = tuple[str, int]


class AgentCommand(StrEnum):
    """What the measuring process asks of a process of agents."""

    END = "over"
    SIZES = "sizes"  # bytes that each agent has received
    WITHDRAWN = "without"  # when each agent first held tables without an address


class Observation(NamedTuple):
    """The addresses that an agent's tables named from some time on (monotonic seconds)."""

    at: float
    addresses: frozenset[str]


class SimulatedProxy:
    """A proxy with one discovery stream: it takes and acknowledges everything."""

    def __init__(self, number: int, controller: Address) -> None:
        self.number = number
        self.controller = controller
        self.observations: list[Observation] = []  # after each assignment
        self.received_bytes = 0  # bytes of all responses
        self.addresses: set[str] = set()  # addresses in the tables that it holds
        self.addresses_by_class: dict[str, set[str]] = {}  # the same by request class
        self.connection: Connection
        self.call: Call

    async def connect(self) -> None:
        """Connect and subscribe to assignments and routes."""
        local = f"127.{60 + self.number // 250}.{self.number % 250}.1"
        self.connection = await dial(self.controller, local, DIAL_TIMEOUT, ping_interval=0.0)
        self.call = self.connection.call(DISCOVERY_PATH, AUTHORITY)
        self.call.on_message = self.take
        for type_url in (ASSIGNMENT_TYPE_URL, ROUTE_TYPE_URL):
            request = discovery_pb2.DiscoveryRequest(type_url=type_url)
            request.node.id = f"agent{self.number}"
            request.node.locality.zone = ZONES[self.number % len(ZONES)]
            self.call.send(request.SerializeToString())

    def take(self, data: bytes) -> None:
        """Acknowledge a response and record what it names."""
        now = time.monotonic()
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        acknowledgement = discovery_pb2.DiscoveryRequest(
            type_url=response.type_url,
            version_info=response.version_info,
            response_nonce=response.nonce,
        )
        self.call.send(acknowledgement.SerializeToString())
        self.received_bytes += len(data)
        if response.type_url == ASSIGNMENT_TYPE_URL:
            for assignment in response.resources:
                request_class, entries, _ = decode_assignment(assignment.value)
                self.addresses_by_class[request_class] = {entry.address for entry in entries}
            self.addresses = set().union(*self.addresses_by_class.values())
            self.observations.append(Observation(now, frozenset(self.addresses)))

    async def report(self, interval: float, obey: bool) -> None:
        """Send load reports until the stream ends.

        `interval` is in seconds; where `obey` is set, a longer one that the controller asks for is
        kept to.
        """
        call = self.connection.call(LOAD_REPORTING_PATH, AUTHORITY)
        asked = interval

        def take(data: bytes) -> None:
            nonlocal asked
            if obey:
                response = lrs_pb2.LoadStatsResponse.FromString(data)
                seconds = response.load_reporting_interval.ToMilliseconds() / 1000
                asked = max(interval, seconds)

        call.on_message = take
        await asyncio.sleep(interval * (self.number % REPORT_PHASES) / REPORT_PHASES)
        while not call.is_closed:
            call.send(self.load_report(interval))
            await asyncio.sleep(asked)

    def load_report(self, interval: float) -> bytes:
        """Return a report of one request to each endpoint that it holds, for each class."""
        request = lrs_pb2.LoadStatsRequest()
        request.node.id = f"agent{self.number}"
        for request_class in REQUEST_CLASSES:
            cluster = request.cluster_stats.add(cluster_name=request_class)
            milliseconds = max(MIN_REPORT_INTERVAL, int(interval * 1000))
            cluster.load_report_interval.FromMilliseconds(milliseconds)
            locality = cluster.upstream_locality_stats.add()
            for address in sorted(self.addresses):
                endpoint = locality.upstream_endpoint_stats.add(total_successful_requests=1)
                endpoint.address.socket_address.address = address
                endpoint.address.socket_address.port_value = self.controller[1] - 2
        serialized: bytes = request.SerializeToString()
        return serialized

    def withdrawn_at(self, address: str) -> Optional[float]:
        """Return when the tables first lacked an address that they had named before.

        0.0 where they never named it, None where they still do.
        """
        naming = [
            index
            for index, observation in enumerate(self.observations)
            if address in observation.addresses
        ]
        if not naming:
            return 0.0
        later = self.observations[naming[-1] + 1 :]
        return later[0].at if later else None


async def connect_agents(agents: list[SimulatedProxy]) -> float:
    """Connect all agents; returns when the last was served first."""
    for start in range(0, len(agents), DIALS_AT_ONCE):
        await asyncio.gather(*(agent.connect() for agent in agents[start : start + DIALS_AT_ONCE]))
    while not all(agent.observations for agent in agents):
        await asyncio.sleep(0.05)
    return max(agent.observations[0].at for agent in agents)


async def serve_agents(
    numbers: Iterable[int], controller: Address, rate: float, pipe: "Pipe[Any, Any]"
) -> None:
    """Connect agents, let them report, and answer commands until the end."""
    agents = [SimulatedProxy(number, controller) for number in numbers]
    pipe.send(("joined", await connect_agents(agents)))
    reports = []
    if rate:
        reports = [asyncio.create_task(agent.report(1 / abs(rate), rate > 0)) for agent in agents]
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, pipe.poll, IDLE_TIMEOUT):
        command, value = pipe.recv()
        if command == AgentCommand.END:
            break
        if command == AgentCommand.SIZES:
            pipe.send([agent.received_bytes for agent in agents])
        elif command == AgentCommand.WITHDRAWN:
            pipe.send([agent.withdrawn_at(value) for agent in agents])
    for report in reports:
        report.cancel()


def run_agents(
    numbers: Iterable[int], controller: Address, rate: float, pipe: "Pipe[Any, Any]"
) -> None:
    """Run a process of agents; `rate` is in load reports a second, below 0 unthrottled."""
    asyncio.run(serve_agents(numbers, controller, rate, pipe))
