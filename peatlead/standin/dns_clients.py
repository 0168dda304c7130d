"""Stand-in DNS clients, which resolve a name, choose an address and send requests to it.

Requests arrive at random times, independent of earlier responses (an open-loop load), and the
latency of a request counts from the time at which it was due. A client retries failed requests as
the repeat semantics of their class permit: replayable requests at the next address, uniqued
requests at the same address, whose pod drops repeats, and other requests only if the endpoint
certainly did not run them.

The names of the fields of the msgspec types are the JSON keys of the commands.
"""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple, Optional

import msgspec

from ..invariants.record import Recorder
from ..net.http import RequestFailedError, connect
from ..net.http.client import ClientConnection
from ..net.streams import with_timeout
from .request_outcome import OUTCOME_BY_STATUS, Outcome, RequestClass, request_result
from .resolvers import Resolver

LOOKUP_TIMEOUT = 1.5  # seconds
MIN_LOOKUP_TIMEOUT = 0.01  # seconds, if the request's deadline is near
CONNECT_TIMEOUT = 0.7  # seconds
FINISH_TIMEOUT = 10.0  # seconds for active requests to end
MAX_IDLE_CONNECTIONS = 4  # idle connections that one client keeps
FIRST_BACKOFF = (0.02, 0.06)  # seconds, random in this range; doubled by each retry
# Range of the random fraction of the remaining time that an attempt may take if a retry can follow.
ATTEMPT_TIME_FRACTION = (0.5, 1.0)


class Habit(StrEnum):
    """How a client orders the addresses of an answer.

    A plan may contain other habits, such as "first": these clients keep the order of the answer.
    """

    ANY = "any"  # in random order
    SORTED = "sorted"  # by address, like RFC 6724 rule 9
    SAME = "same"  # the address that last responded comes first
    HOLDS = "holds"  # like SAME, but without a lookup while a connection is open


class ClientSitePlan(msgspec.Struct):
    """The clients of one view.

    `name` is the DNS name that they resolve. `network` is the address of their /24 network, which
    queries contain as the client subnet (RFC 7871) if `tells_subnet` is true.
    """

    view: str
    network: str
    resolver: str
    name: str
    port: int
    rate: float  # requests per second
    clients: int
    habits: list[str]
    kinds: list[RequestClass]
    retries: int = 2
    late_gain: float = 0.1  # fraction of the gain that a request earns when it is done late
    tells_subnet: bool = False


class Client:
    """One client, with its habit and its idle connections by address."""

    __slots__ = ("habit", "local_address", "idle_connections", "last_address")

    def __init__(self, habit: str, local_address: str) -> None:
        self.habit = habit
        self.local_address = local_address
        self.idle_connections: dict[str, ClientConnection] = {}
        self.last_address: Optional[str] = None  # address of the endpoint that last responded

    def order_addresses(self, addresses: list[str], rng: Random) -> list[str]:
        """Return the addresses in the order in which the client tries them."""
        if self.habit == Habit.ANY:
            return rng.sample(addresses, len(addresses))
        if self.habit == Habit.SORTED:
            return sorted(addresses)
        if self.habit in (Habit.SAME, Habit.HOLDS) and self.last_address in addresses:
            return [self.last_address] + [
                address for address in addresses if address != self.last_address
            ]
        return addresses

    def take_idle_connection(self, address: str) -> Optional[ClientConnection]:
        """Remove and return the idle connection to an address, None without a usable one."""
        connection = self.idle_connections.pop(address, None)
        return connection if connection is not None and connection.usable else None

    def keep_idle_connection(self, address: str, connection: ClientConnection) -> None:
        """Keep a usable connection for later requests; close the oldest ones above the limit."""
        if not connection.usable:
            return
        while len(self.idle_connections) >= MAX_IDLE_CONNECTIONS:
            self.idle_connections.pop(next(iter(self.idle_connections))).close()
        previous = self.idle_connections.pop(address, None)
        if previous is not None and previous is not connection:
            previous.close()
        self.idle_connections[address] = connection


@dataclass(slots=True)
class Request:
    """An active request; times are on the event loop's clock."""

    id: str
    request_class: RequestClass
    client: Client
    due: float
    deadline: float


class AttemptResult(NamedTuple):
    """The outcome and address of an attempt, and whether the request may be retried."""

    outcome: str
    address: Optional[str]
    retry: bool


def may_retry(request_class: RequestClass, outcome: str, sent: bool) -> bool:
    """Whether a client retries a request; `sent` is True if the endpoint may have received it."""
    if outcome in (Outcome.DONE, Outcome.SHED):
        return False  # a retry of a shed request would only add load
    never_ran = not sent or outcome in (Outcome.DENIED, Outcome.UNREACHABLE)
    return never_ran or request_class.repeat in ("replayable", "uniqued")


class ClientSite:
    """The clients of one view; `rate` (requests per second) may change at any time."""

    def __init__(
        self,
        plan: ClientSitePlan,
        resolver: Resolver,
        rng: Random,
        recorder: Recorder,
        id_prefix: str,
    ) -> None:
        self.plan = plan
        self.resolver = resolver
        self.rng = rng
        self.recorder = recorder
        self.id_prefix = id_prefix  # prefix of the request ids
        self.loop = asyncio.get_running_loop()
        self.rate = plan.rate
        self.request_count = 0
        self.stopped = False
        self.tasks: set[asyncio.Task[None]] = set()
        prefix = plan.network.rpartition(".")[0]
        self.clients = [
            Client(plan.habits[index % len(plan.habits)], f"{prefix}.{index % 250 + 1}")
            for index in range(plan.clients)
        ]

    def begin(self, start: float) -> None:
        """Let requests arrive from the event loop time `start`, in seconds, on."""
        first_due = start + self.rng.expovariate(self.rate)
        self.loop.call_at(first_due, self._start_due_requests, first_due)

    def _start_due_requests(self, due: float) -> None:
        """Start the requests that are due, and schedule the next call."""
        if self.stopped:
            return
        now = self.loop.time()
        # After a pause of the process, all requests that became due start with their due times.
        while due <= now and not self.stopped:
            self._start_request(due)
            due += self.rng.expovariate(self.rate)
        self.loop.call_at(due, self._start_due_requests, due)

    def _start_request(self, due: float) -> None:
        self.request_count += 1
        classes = self.plan.kinds
        request_class = self.rng.choices(classes, [candidate.share for candidate in classes])[0]
        client = self.clients[self.rng.randrange(len(self.clients))]
        deadline = due + request_class.client_timeout
        request = Request(
            f"{self.id_prefix}-{self.request_count}", request_class, client, due, deadline
        )
        task = self.loop.create_task(self._run_request(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_request(self, request: Request) -> None:
        """Run a request with its retries, and record it."""
        attempts = 0
        outcome: str = Outcome.UNRESOLVED.value
        address = None
        backoff = 0.0
        while attempts <= self.plan.retries and self.loop.time() < request.deadline:
            result = await self._attempt(request, attempts, address)
            address = result.address
            if result.outcome != Outcome.UNRESOLVED or not attempts:
                outcome = result.outcome  # a retry that finds no address keeps the outcome
            attempts += 1
            if not result.retry:
                break
            backoff = backoff * 2 or self.rng.uniform(*FIRST_BACKOFF)
            await asyncio.sleep(backoff)
        self._record_request(request, outcome, attempts)

    def _record_request(self, request: Request, outcome: str, attempts: int) -> None:
        now = self.loop.time()
        result = request_result(request, outcome, now, self.plan.late_gain)
        self.recorder.write_row(
            "req",
            now,
            request.id,
            request.request_class.name,
            self.plan.view,
            self.resolver.kind,
            request.client.habit,
            result.outcome,
            request.due,
            attempts,
            result.gain,
        )

    async def _attempt(
        self, request: Request, number: int, previous_address: Optional[str]
    ) -> AttemptResult:
        """Choose an address, connect and send the request once."""
        client = request.client
        required_address = previous_address if request.request_class.repeat == "uniqued" else None
        address, connection = await self._choose_address(request, number, required_address)
        if address is None:
            return AttemptResult(Outcome.UNRESOLVED.value, previous_address, True)
        sent = False
        try:
            if connection is None:
                connection = await self._connect(request, address)
            sent = True
            self._record_attempt(request, address, number, Outcome.SENT.value, True)
            outcome = await self._send_request(request, connection, number)
            client.last_address = address
            client.keep_idle_connection(address, connection)
        except RequestFailedError as error:
            outcome = error.outcome
        self._record_attempt(request, address, number, outcome, sent)
        return AttemptResult(outcome, address, may_retry(request.request_class, outcome, sent))

    async def _connect(self, request: Request, address: str) -> ClientConnection:
        deadline = min(request.deadline, self.loop.time() + CONNECT_TIMEOUT)
        remote_address = (address, self.plan.port)
        return await connect(self.loop, remote_address, deadline, request.client.local_address)

    async def _send_request(
        self, request: Request, connection: ClientConnection, number: int
    ) -> str:
        """Send the request and return the outcome; raises RequestFailedError."""
        time_fraction = (
            self.rng.uniform(*ATTEMPT_TIME_FRACTION) if number < self.plan.retries else 1.0
        )
        now = self.loop.time()
        response = await connection.send_request(
            "POST",
            "/" + request.request_class.name,
            [("host", self.plan.name), ("req-id", request.id)],
            b"",
            now + (request.deadline - now) * time_fraction,
        )
        return OUTCOME_BY_STATUS.get(response.status, Outcome.ERRORED.value)

    async def _choose_address(
        self, request: Request, number: int, required_address: Optional[str]
    ) -> tuple[Optional[str], Optional[ClientConnection]]:
        """Return the address to try, or None, and an idle connection to it, or None."""
        client = request.client
        if required_address is not None:
            return required_address, client.take_idle_connection(required_address)
        if (
            client.habit == Habit.HOLDS
            and number == 0
            and client.last_address in client.idle_connections
        ):
            connection = client.take_idle_connection(client.last_address)
            if connection is not None:
                return client.last_address, connection
        addresses = await self._look_up(request.deadline)
        if not addresses:
            return None, None
        address = client.order_addresses(addresses, self.rng)[number % len(addresses)]
        return address, client.take_idle_connection(address)

    async def _look_up(self, deadline: float) -> Optional[list[str]]:
        network = self.plan.network + "/24" if self.plan.tells_subnet else ""
        time_left = max(MIN_LOOKUP_TIMEOUT, deadline - self.loop.time())
        lookup = self.resolver.lookup(self.plan.name, network, self.plan.view)
        try:
            return await with_timeout(min(LOOKUP_TIMEOUT, time_left), lookup)
        except TimeoutError:
            return None

    def _record_attempt(
        self, request: Request, address: str, number: int, outcome: str, sent: bool
    ) -> None:
        self.recorder.write_row(
            "try",
            self.loop.time(),
            request.id,
            request.request_class.name,
            self.plan.view,
            self.resolver.kind,
            request.client.habit,
            address,
            number,
            outcome,
            sent,
        )

    async def finish(self) -> None:
        """Stop arrivals and wait until active requests end, for at most FINISH_TIMEOUT."""
        self.stopped = True
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=FINISH_TIMEOUT)


class DnsClientGroup:
    """The clients and resolvers of one process, controlled by commands (`standin.process`)."""

    def __init__(self, rng: Random, recorder: Recorder) -> None:
        self.rng = rng
        self.recorder = recorder
        self.resolvers: dict[str, Resolver] = {}
        self.sites: list[ClientSite] = []

    async def execute(self, command: dict[str, Any], /) -> None:
        """Execute a command."""
        match command["do"]:
            case "resolver":
                await self._add_resolver(command)
            case "desk":
                self._add_site(command)
            case "begin":
                for site in self.sites:
                    site.begin(command["at"])
            case "rate":
                self._change_rate(command["views"], command["times"])
            case "finish":
                await asyncio.gather(*(site.finish() for site in self.sites))

    async def _add_resolver(self, command: dict[str, Any]) -> None:
        servers = [(host, port) for host, port in command["servers"]]
        resolver = Resolver(
            command["kind"],
            command["address"],
            servers,
            self.rng,
            self.recorder,
            command["rotates"],
        )
        self.resolvers[command["name"]] = resolver
        await resolver.open()

    def _add_site(self, command: dict[str, Any]) -> None:
        plan = msgspec.convert(command["plan"], ClientSitePlan)
        resolver = self.resolvers[plan.resolver]
        self.sites.append(ClientSite(plan, resolver, self.rng, self.recorder, str(command["desk"])))

    def _change_rate(self, views: list[str], factor: float) -> None:
        """Set the rate of these views (all if empty) to a multiple of the planned rate."""
        for site in self.sites:
            if not views or site.plan.view in views:
                site.rate = site.plan.rate * factor
