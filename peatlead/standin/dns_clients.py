"""Stand-in desks: clients that resolve a name and connect, each with its habits.

Arrivals never wait for answers: reqs are due at drawn moments, and a req that begins late is late by the
clock of its due time. A client tries again by itself, only as its own req kind bears: replayable ones at
the next address after any failure; uniqued ones at the same address, whose pod drops the repeat;
non-replayable ones only on proof that the first never ran.
"""

import asyncio

import msgspec

from ..net.http import RequestFailedError, connect
from ..net.streams import within
from .resolvers import Resolver

LOOKUP_WAIT = 1.5
CONNECT_WAIT = 0.7
IDLE_MOST = 4  # connections that a client keeps


class Kind(msgspec.Struct):
    name: str
    share: float
    response_target: float
    client_timeout: float
    gain: float
    repeat: str


class Plan(msgspec.Struct):
    """One desk. `name` is what it resolves; `network` tells the resolver's client subnet where it sends one."""

    view: str
    network: str
    resolver: str
    name: str
    port: int
    rate: float
    clients: int
    habits: list[str]
    kinds: list[Kind]
    retries: int = 2
    late_gain: float = 0.1
    tells_subnet: bool = False


class Client:
    """One program at a desk: its habit, and the connections it keeps."""

    __slots__ = ("habit", "local", "idle", "last", "shun")

    def __init__(self, habit, local):
        self.habit, self.local, self.idle, self.last = habit, local, {}, None

    def choose(self, addresses, chance):
        """The order in which it would try them."""
        if self.habit == "any":
            addresses = chance.sample(addresses, len(addresses))
        elif (
            self.habit == "sorted"
        ):  # RFC 6724 rule 9 and its like: by address, whatever the answer's order
            addresses = sorted(addresses)
        elif self.habit in ("same", "holds") and self.last in addresses:
            addresses = [self.last] + [one for one in addresses if one != self.last]
        return addresses

    def usable(self, address):
        stream = self.idle.pop(address, None)
        return stream if stream is not None and stream.usable else None

    def keep(self, address, stream):
        if stream.usable:
            while len(self.idle) >= IDLE_MOST:
                self.idle.pop(next(iter(self.idle))).close()
            old = self.idle.pop(address, None)
            if old is not None and old is not stream:
                old.close()
            self.idle[address] = stream


class Desk:
    """`begin(at)` starts its arrivals; `rate` may be changed while it runs."""

    def __init__(self, plan, resolver, chance, record, number):
        self.plan, self.resolver, self.chance, self.record = plan, resolver, chance, record
        self.loop, self.rate, self.sent, self.stopped = (
            asyncio.get_running_loop(),
            plan.rate,
            0,
            False,
        )
        base = plan.network.rpartition(".")[0]
        self.clients = [
            Client(plan.habits[at % len(plan.habits)], f"{base}.{at % 250 + 1}")
            for at in range(plan.clients)
        ]
        self.tasks, self.number, self.in_work = set(), number, 0

    def begin(self, at):
        first = at + self.chance.expovariate(self.rate)
        self.loop.call_at(first, self.arrive, first)

    def arrive(self, due):
        if self.stopped:
            return
        now = self.loop.time()
        # A desk that stood still has all that came due meanwhile, each with the time that it was due.
        while due <= now and not self.stopped:
            self.start(due)
            due += self.chance.expovariate(self.rate)
        self.loop.call_at(due, self.arrive, due)

    def start(self, due):
        self.sent += 1
        req = f"{self.number}-{self.sent}"
        kind = self.chance.choices(self.plan.kinds, [k.share for k in self.plan.kinds])[0]
        client = self.clients[self.chance.randrange(len(self.clients))]
        task = self.loop.create_task(self.one(req, kind, client, due))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def one(self, req, kind, client, due):
        tries, outcome, address, deadline = 0, "unresolved", None, due + kind.client_timeout
        waits = 0.0
        while tries <= self.plan.retries and self.loop.time() < deadline:
            met, address, again = await self.attempt(req, kind, client, deadline, tries, address)
            if met != "unresolved" or not tries:
                outcome = met  # a second try for which no time was left tells nothing of the first
            tries += 1
            if not again:
                break
            waits = waits * 2 or self.chance.uniform(0.02, 0.06)
            await asyncio.sleep(waits)
        now = self.loop.time()
        late = now - due > kind.response_target
        gain = (
            0.0
            if outcome != "done" or now > deadline
            else kind.gain * (self.plan.late_gain if late else 1.0)
        )
        outcome = "late" if outcome == "done" and late else outcome
        self.record.row(
            "req",
            now,
            req,
            kind.name,
            self.plan.view,
            self.resolver.kind,
            client.habit,
            outcome,
            due,
            tries,
            gain,
        )

    async def attempt(self, req, kind, client, deadline, number, before):
        """(outcome, address, whether this kind may be tried again after it)."""
        address, stream = await self.way(
            client, deadline, number, before if kind.repeat == "uniqued" else None
        )
        if address is None:
            return "unresolved", before, True
        sent = False
        try:
            if stream is None:
                stream = await connect(
                    self.loop,
                    (address, self.plan.port),
                    min(deadline, self.loop.time() + CONNECT_WAIT),
                    client.local,
                )
            sent = True
            self.note(req, kind, client, address, number, "sent", True)
            share = self.chance.uniform(0.5, 1.0) if number < self.plan.retries else 1.0
            give_up = self.loop.time() + (deadline - self.loop.time()) * share
            answer = await stream.ask(
                "POST", "/" + kind.name, [("host", self.plan.name), ("req-id", req)], b"", give_up
            )
            outcome = {200: "done", 429: "shed", 503: "denied"}.get(answer.status, "errored")
            client.last = address
            client.keep(address, stream)
        except RequestFailedError as problem:
            outcome = problem.outcome
        self.note(req, kind, client, address, number, outcome, sent)
        return outcome, address, self.may_repeat(kind, outcome, sent)

    def may_repeat(self, kind, outcome, sent):
        if outcome in ("done", "shed"):
            return False  # a client that is shed comes again for nothing
        never_ran = not sent or outcome in ("denied", "unreachable")
        return never_ran or kind.repeat in ("replayable", "uniqued")

    async def way(self, client, deadline, number, same):
        """(address, kept connection or None)."""
        if same is not None:
            return same, client.usable(same)
        if client.habit == "holds" and number == 0 and client.last in client.idle:
            stream = client.usable(client.last)  # it looks nothing up while its connection lives
            if stream is not None:
                return client.last, stream
        try:
            network = self.plan.network + "/24" if self.plan.tells_subnet else ""
            wait = min(LOOKUP_WAIT, max(0.01, deadline - self.loop.time()))
            found = await within(
                wait, self.resolver.lookup(self.plan.name, network, self.plan.view)
            )
        except asyncio.TimeoutError:
            return None, None
        if not found:
            return None, None
        address = client.choose(found, self.chance)[number % len(found)]
        return address, client.usable(address)

    def note(self, req, kind, client, address, number, outcome, sent):
        self.record.row(
            "try",
            self.loop.time(),
            req,
            kind.name,
            self.plan.view,
            self.resolver.kind,
            client.habit,
            address,
            number,
            outcome,
            sent,
        )

    async def finish(self):
        """No more arrivals; waits for those under way, whose own deadlines bound it."""
        self.stopped = True
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=10.0)


class Hall:
    """The desks and resolvers of one process, told what to be by commands."""

    def __init__(self, chance, record):
        self.chance, self.record, self.resolvers, self.desks = chance, record, {}, []

    async def command(self, said):
        if said["do"] == "resolver":
            servers = [tuple(server) for server in said["servers"]]
            made = self.resolvers[said["name"]] = Resolver(
                said["kind"], said["address"], servers, self.chance, self.record, said["rotates"]
            )
            await made.begin()
        elif said["do"] == "desk":
            plan = msgspec.convert(said["plan"], Plan)
            self.desks.append(
                Desk(
                    plan, self.resolvers[plan.resolver], self.chance, self.record, str(said["desk"])
                )
            )
        elif said["do"] == "begin":
            for desk in self.desks:
                desk.begin(said["at"])
        elif said["do"] == "rate":
            for desk in self.desks:
                if not said["views"] or desk.plan.view in said["views"]:
                    desk.rate = desk.plan.rate * said["times"]
        elif said["do"] == "finish":
            await asyncio.gather(*(desk.finish() for desk in self.desks))
