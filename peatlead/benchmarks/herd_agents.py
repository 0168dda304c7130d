"""Simulated proxies that connect to a controller, in processes of their own."""

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
CONCURRENT_DIALS = 50
REQUEST_CLASSES = ("look", "file")
ZONES = ("a", "b", "c")
REPORT_PHASES = 97  # number of different start times of reports within an interval
MIN_REPORT_INTERVAL = 60  # milliseconds
IDLE_TIMEOUT = 30.0  # seconds without a command after which a process of proxies ends

Address = tuple[str, int]


class ProxyCommand(StrEnum):
    """A command of the measuring process to a process of proxies."""

    END = "over"  # end the process
    SIZES = "sizes"  # return the bytes that each proxy has received
    WITHDRAWN = "without"  # return when the tables of each proxy first lacked an address


class Observation(NamedTuple):
    """The addresses in the tables of a proxy, and since when (monotonic seconds)."""

    at: float
    addresses: frozenset[str]


class SimulatedProxy:
    """A proxy with one discovery stream, which acknowledges every response."""

    def __init__(self, number: int, controller: Address) -> None:
        self.number = number
        self.controller = controller
        self.observations: list[Observation] = []  # one after each assignment
        self.received_bytes = 0  # total size of all received responses
        self.addresses: set[str] = set()  # endpoint addresses in the current tables
        self.addresses_by_class: dict[str, set[str]] = {}  # in the current tables, by request class
        self.connection: Connection
        self.call: Call

    async def connect(self) -> None:
        """Connect and subscribe to assignments and routes."""
        local = f"127.{60 + self.number // 250}.{self.number % 250}.1"
        self.connection = await dial(self.controller, local, DIAL_TIMEOUT, ping_interval=0.0)
        self.call = self.connection.call(DISCOVERY_PATH, AUTHORITY)
        self.call.on_message = self.handle_response
        for type_url in (ASSIGNMENT_TYPE_URL, ROUTE_TYPE_URL):
            request = discovery_pb2.DiscoveryRequest(type_url=type_url)
            request.node.id = f"agent{self.number}"
            request.node.locality.zone = ZONES[self.number % len(ZONES)]
            self.call.send(request.SerializeToString())

    def handle_response(self, data: bytes) -> None:
        """Acknowledge a response and record the addresses in its assignments."""
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

    async def send_load_reports(self, interval: float, follow_requested_interval: bool) -> None:
        """Send load reports until the stream ends.

        `interval` is in seconds. With `follow_requested_interval`, a longer interval that the
        controller asks for is used instead.
        """
        call = self.connection.call(LOAD_REPORTING_PATH, AUTHORITY)
        current_interval = interval

        def handle_load_response(data: bytes) -> None:
            nonlocal current_interval
            if follow_requested_interval:
                response = lrs_pb2.LoadStatsResponse.FromString(data)
                seconds = response.load_reporting_interval.ToMilliseconds() / 1000
                current_interval = max(interval, seconds)

        call.on_message = handle_load_response
        await asyncio.sleep(interval * (self.number % REPORT_PHASES) / REPORT_PHASES)
        while not call.is_closed:
            call.send(self.load_report(interval))
            await asyncio.sleep(current_interval)

    def load_report(self, interval: float) -> bytes:
        """Return a report of one request per request class to each endpoint in the tables."""
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
        """Return when the tables first lacked an address that they had contained before.

        Returns 0.0 if they never contained the address, None if they still do.
        """
        indexes_with_address = [
            index
            for index, observation in enumerate(self.observations)
            if address in observation.addresses
        ]
        if not indexes_with_address:
            return 0.0
        later = self.observations[indexes_with_address[-1] + 1 :]
        return later[0].at if later else None


async def connect_proxies(proxies: list[SimulatedProxy]) -> float:
    """Connect all proxies; returns when the last of them got its first assignment."""
    for start in range(0, len(proxies), CONCURRENT_DIALS):
        await asyncio.gather(
            *(proxy.connect() for proxy in proxies[start : start + CONCURRENT_DIALS])
        )
    while not all(proxy.observations for proxy in proxies):
        await asyncio.sleep(0.05)
    return max(proxy.observations[0].at for proxy in proxies)


async def serve_proxies(
    numbers: Iterable[int], controller: Address, rate: float, pipe: "Pipe[Any, Any]"
) -> None:
    """Connect proxies, let them report, and answer commands until `ProxyCommand.END`."""
    proxies = [SimulatedProxy(number, controller) for number in numbers]
    pipe.send(("joined", await connect_proxies(proxies)))
    report_tasks = []
    if rate:
        report_tasks = [
            asyncio.create_task(proxy.send_load_reports(1 / abs(rate), rate > 0))
            for proxy in proxies
        ]
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, pipe.poll, IDLE_TIMEOUT):
        command, value = pipe.recv()
        if command == ProxyCommand.END:
            break
        if command == ProxyCommand.SIZES:
            pipe.send([proxy.received_bytes for proxy in proxies])
        elif command == ProxyCommand.WITHDRAWN:
            pipe.send([proxy.withdrawn_at(value) for proxy in proxies])
    for task in report_tasks:
        task.cancel()


def run_proxies(
    numbers: Iterable[int], controller: Address, rate: float, pipe: "Pipe[Any, Any]"
) -> None:
    """Run a process of proxies.

    `rate` is the number of load reports per second that each proxy sends; 0 disables them. If
    `rate` is negative, its absolute value applies, and the proxies ignore a longer report interval
    that the controller requests.
    """
    asyncio.run(serve_proxies(numbers, controller, rate, pipe))
