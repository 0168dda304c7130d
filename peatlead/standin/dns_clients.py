"""Stand-in clients that resolve a name and connect, each with a habit of choosing addresses.

Arrivals never wait for responses: requests are due at random times, and one that begins late is
late by the clock of its due time. A client retries on its own as far as the request's class
permits: replayable requests at the next address after any failure, uniqued ones at the same
address, whose pod drops the repeat, and others only where the first certainly never ran.

The fields of the msgspec types are those of the commands in which they are sent.
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
from .resolvers import Resolver

LOOKUP_TIMEOUT = 1.5  # seconds
MIN_LOOKUP_TIMEOUT = 0.01  # seconds, where the request's deadline is near
CONNECT_TIMEOUT = 0.7  # seconds
FINISH_TIMEOUT = 10.0  # seconds for the requests under way at the end
MAX_IDLE_CONNECTIONS = 4  # of one client
FIRST_BACKOFF = (0.02, 0.06)  # seconds, drawn from this range; doubled by each retry
ATTEMPT_SHARE = (0.5, 1.0)  # of the time left, drawn for an attempt that may be retried


class Outcome(StrEnum):
    """How a request or an attempt at it ended, beside net.http's RequestOutcome; as recorded."""

    DONE = "done"
    LATE = "late"
    SHED = "shed"
    DENIED = "denied"  # refused before it ran
    ERRORED = "errored"
    UNRESOLVED = "unresolved"
    UNREACHABLE = "unreachable"
    SENT = "sent"  # of an attempt that has begun


class Habit(StrEnum):
    """How a client orders the addresses of an answer; any other text: as they come."""

    ANY = "any"  # in random order
    SORTED = "sorted"  # by address, as RFC 6724 rule 9 and the like have it
    SAME = "same"  # the last that served it first
    HOLDS = "holds"  # as SAME, and without a lookup while its connection lives


OUTCOME_BY_STATUS = {
    200: Outcome.DONE.value,
    429: Outcome.SHED.value,
    503: Outcome.DENIED.value,
}


class Kind(msgspec.Struct):
    """A request class; times in seconds, `repeat` its repeat semantics."""

    name: str
    share: float  # of all requests, relative to the other classes'
    response_target: float
    client_timeout: float
    gain: float  # value of a request that is done in time
    repeat: str


class Plan(msgspec.Struct):
    """The clients of one view.

    `name` is what they resolve; `network` is the client subnet that is sent with `tells_subnet`.
    """

    view: str
    network: str
    resolver: str
    name: str
    port: int
    rate: float  # requests per second
    clients: int
    habits: list[str]
    kinds: list[Kind]
    retries: int = 2
    late_gain: float = 0.1  # part of the gain of a request that is late
    tells_subnet: bool = False


class Client:
    """One client program: its habit, and the idle connections that it keeps by address."""

    __slots__ = ("habit", "local", "idle", "last")

    def __init__(self, habit: str, local: str) -> None:
        self.habit = habit
        self.local = local  # its own address
        self.idle: dict[str, ClientConnection] = {}
        self.last: Optional[str] = None  # the address that last responded

    def choose(self, addresses: list[str], rng: Random) -> list[str]:
        """Return the order in which it would try the addresses."""
        if self.habit == Habit.ANY:
            return rng.sample(addresses, len(addresses))
        if self.habit == Habit.SORTED:
            return sorted(addresses)
        if self.habit in (Habit.SAME, Habit.HOLDS) and self.last in addresses:
            return [self.last] + [address for address in addresses if address != self.last]
        return addresses

    def take_idle(self, address: str) -> Optional[ClientConnection]:
        """Take the idle connection to an address, None where there is no usable one."""
        stream = self.idle.pop(address, None)
        return stream if stream is not None and stream.usable else None

    def keep_idle(self, address: str, stream: ClientConnection) -> None:
        """Keep a usable connection for later requests, closing others past the limit."""
        if not stream.usable:
            return
        while len(self.idle) >= MAX_IDLE_CONNECTIONS:
            self.idle.pop(next(iter(self.idle))).close()
        former = self.idle.pop(address, None)
        if former is not None and former is not stream:
            former.close()
        self.idle[address] = stream


@dataclass(slots=True)
class Request:
    """A request under way; times are of the event loop's clock."""

    id: str
    request_class: Kind
    client: Client
    due: float
    deadline: float


class AttemptResult(NamedTuple):
    """How an attempt ended, where, and whether the request may be tried again."""

    outcome: str
    address: Optional[str]
    retry: bool


def may_retry(request_class: Kind, outcome: str, sent: bool) -> bool:
    """Whether a client tries again after an attempt; `sent`: some of it may have arrived."""
    if outcome in (Outcome.DONE, Outcome.SHED):
        return False  # a client that is shed would come again in vain
    never_ran = not sent or outcome in (Outcome.DENIED, Outcome.UNREACHABLE)
    return never_ran or request_class.repeat in ("replayable", "uniqued")


class ClientSite:
    """The clients of one view; `rate` may change while it runs."""

    def __init__(
        self, plan: Plan, resolver: Resolver, rng: Random, record: Recorder, number: str
    ) -> None:
        self.plan = plan
        self.resolver = resolver
        self.rng = rng
        self.record = record
        self.number = number  # begins the ids of its requests
        self.loop = asyncio.get_running_loop()
        self.rate = plan.rate
        self.sent = 0
        self.stopped = False
        self.tasks: set[asyncio.Task[None]] = set()
        prefix = plan.network.rpartition(".")[0]
        self.clients = [
            Client(plan.habits[index % len(plan.habits)], f"{prefix}.{index % 250 + 1}")
            for index in range(plan.clients)
        ]

    def begin(self, start: float) -> None:
        """Let requests arrive from a time on."""
        first = start + self.rng.expovariate(self.rate)
        self.loop.call_at(first, self._arrive, first)

    def _arrive(self, due: float) -> None:
        if self.stopped:
            return
        now = self.loop.time()
        # After a pause of the process all that came due meanwhile starts, each with its due time.
        while due <= now and not self.stopped:
            self._start_request(due)
            due += self.rng.expovariate(self.rate)
        self.loop.call_at(due, self._arrive, due)

    def _start_request(self, due: float) -> None:
        self.sent += 1
        classes = self.plan.kinds
        request_class = self.rng.choices(classes, [one.share for one in classes])[0]
        client = self.clients[self.rng.randrange(len(self.clients))]
        deadline = due + request_class.client_timeout
        request = Request(f"{self.number}-{self.sent}", request_class, client, due, deadline)
        task = self.loop.create_task(self._run(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, request: Request) -> None:
        """Try a request until it ends, and record it."""
        attempts = 0
        outcome: str = Outcome.UNRESOLVED.value
        address = None
        backoff = 0.0
        while attempts <= self.plan.retries and self.loop.time() < request.deadline:
            result = await self._attempt(request, attempts, address)
            address = result.address
            if result.outcome != Outcome.UNRESOLVED or not attempts:
                outcome = result.outcome  # a retry that had no time left says nothing of the first
            attempts += 1
            if not result.retry:
                break
            backoff = backoff * 2 or self.rng.uniform(*FIRST_BACKOFF)
            await asyncio.sleep(backoff)
        self._record_request(request, outcome, attempts)

    def _record_request(self, request: Request, outcome: str, attempts: int) -> None:
        now = self.loop.time()
        request_class = request.request_class
        late = now - request.due > request_class.response_target
        gain = 0.0
        if outcome == Outcome.DONE and now <= request.deadline:
            gain = request_class.gain * (self.plan.late_gain if late else 1.0)
        if outcome == Outcome.DONE and late:
            outcome = Outcome.LATE.value
        self.record.row(
            "req",
            now,
            request.id,
            request_class.name,
            self.plan.view,
            self.resolver.kind,
            request.client.habit,
            outcome,
            request.due,
            attempts,
            gain,
        )

    async def _attempt(
        self, request: Request, number: int, former_address: Optional[str]
    ) -> AttemptResult:
        """Choose an address, connect and send the request once."""
        client = request.client
        repeats_at = former_address if request.request_class.repeat == "uniqued" else None
        address, stream = await self._choose(request, number, repeats_at)
        if address is None:
            return AttemptResult(Outcome.UNRESOLVED.value, former_address, True)
        sent = False
        try:
            if stream is None:
                stream = await self._connect(request, address)
            sent = True
            self._record_attempt(request, address, number, Outcome.SENT.value, True)
            outcome = await self._send(request, stream, number)
            client.last = address
            client.keep_idle(address, stream)
        except RequestFailedError as problem:
            outcome = problem.outcome
        self._record_attempt(request, address, number, outcome, sent)
        return AttemptResult(outcome, address, may_retry(request.request_class, outcome, sent))

    async def _connect(self, request: Request, address: str) -> ClientConnection:
        deadline = min(request.deadline, self.loop.time() + CONNECT_TIMEOUT)
        place = (address, self.plan.port)
        return await connect(self.loop, place, deadline, request.client.local)

    async def _send(self, request: Request, stream: ClientConnection, number: int) -> str:
        """Send the request and return the outcome; raises RequestFailedError."""
        share = self.rng.uniform(*ATTEMPT_SHARE) if number < self.plan.retries else 1.0
        now = self.loop.time()
        response = await stream.send_request(
            "POST",
            "/" + request.request_class.name,
            [("host", self.plan.name), ("req-id", request.id)],
            b"",
            now + (request.deadline - now) * share,
        )
        return OUTCOME_BY_STATUS.get(response.status, Outcome.ERRORED.value)

    async def _choose(
        self, request: Request, number: int, repeats_at: Optional[str]
    ) -> tuple[Optional[str], Optional[ClientConnection]]:
        """Return the address to try, None where none is known, and an idle connection to it."""
        client = request.client
        if repeats_at is not None:
            return repeats_at, client.take_idle(repeats_at)
        if client.habit == Habit.HOLDS and number == 0 and client.last in client.idle:
            stream = client.take_idle(client.last)
            if stream is not None:
                return client.last, stream
        addresses = await self._look_up(request.deadline)
        if not addresses:
            return None, None
        address = client.choose(addresses, self.rng)[number % len(addresses)]
        return address, client.take_idle(address)

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
        self.record.row(
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
        """Stop arrivals and wait for requests under way, which their own deadlines bound."""
        self.stopped = True
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=FINISH_TIMEOUT)


class DnsClientGroup:
    """The clients and resolvers of one process, controlled by commands (standin/process.py)."""

    def __init__(self, rng: Random, record: Recorder) -> None:
        self.rng = rng
        self.record = record
        self.resolvers: dict[str, Resolver] = {}
        self.sites: list[ClientSite] = []

    async def command(self, command: dict[str, Any], /) -> None:
        """Carry out a command."""
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
            self.record,
            command["rotates"],
        )
        self.resolvers[command["name"]] = resolver
        await resolver.begin()

    def _add_site(self, command: dict[str, Any]) -> None:
        plan = msgspec.convert(command["plan"], Plan)
        resolver = self.resolvers[plan.resolver]
        self.sites.append(ClientSite(plan, resolver, self.rng, self.record, str(command["desk"])))

    def _change_rate(self, views: list[str], factor: float) -> None:
        """Multiply the planned rate of some views, or of all where none is named."""
        for site in self.sites:
            if not views or site.plan.view in views:
                site.rate = site.plan.rate * factor
