"""Stand-in agents: proxies that follow published assignments, report loads, and send reqs by them.

An agent follows one stream. It counts only orders past the newest (epoch, serial) that it has seen; older
ones are recorded, never acted on. It goes on listening on streams that it has given up, so that what a
frozen controller sends when it wakes is seen to arrive, and seen not to act.
"""

import asyncio
from collections import defaultdict

import msgspec
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from h2.exceptions import ProtocolError

from ..fleet.ownership import Fence
from ..grpc.http2 import dial
from ..grpc.incremental import PART_BY_TYPE, decode_delta
from ..grpc.resources import (
    ENDPOINTS,
    ROUTES,
    ROUTES_NAME,
    WeightedEndpoint,
    decode_assignment,
    decode_routes,
    resource_name,
)
from ..grpc.server import DELTA, DISCOVERY, LOADS
from ..net.http import RequestFailedError, connect
from ..tables.replica import APPLIED, OLD, Replica
from ..tables.version import MILLION, SCALE, Version, parse_line_key, parse_version
from .dns_clients import Kind

JOIN_WAIT = 1.0  # seconds for a controller to take it in
AVOID_FOR = 5.0
DIALLED = 1 << 62  # past every serial of an epoch
LISTEN_ON = 90.0  # seconds that a given up stream is still listened to
CONNECT_WAIT = 0.7
TRY_PART = 0.6  # of the time left that a try gets, where another may follow


class Plan(msgspec.Struct):
    name: str
    zone: str
    local: str
    controllers: list[list]
    port: int
    rate: float
    kinds: list[Kind]
    pick: str = "lighter of two"
    fails_to_shun: int = 3
    shun_for: float = 3.0
    late_gain: float = 0.1
    incremental: bool = False


class Tally:
    __slots__ = ("good", "bad", "seconds", "util", "reports")

    def __init__(self):
        self.good = self.bad = self.reports = 0
        self.seconds = self.util = 0.0


class Agent:
    def __init__(self, plan, chance, record):
        self.plan, self.chance, self.record = plan, chance, record
        self.loop = asyncio.get_running_loop()
        self.lines, self.levels, self.retries = {}, {}, {}
        self.fence, self.hints, self.avoid, self.names = Fence(), [], {}, {}
        self.flying, self.fails, self.shunned = defaultdict(int), defaultdict(int), {}
        self.tallies, self.dropped = defaultdict(Tally), defaultdict(int)
        self.idle, self.stopped, self.tasks, self.sent, self.given_up = {}, False, set(), 0, []
        self.told_at = self.loop.time()
        self.holder = Replica()  # of the incremental variant: what it holds, checked on arrival

    # Its stream.

    def begin(self, at):
        self.keep(self.follow())
        first = at + self.chance.expovariate(self.plan.rate)
        self.loop.call_at(first, self.arrive, first)

    def keep(self, case):
        task = self.loop.create_task(case)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def follow(self):
        """Joins one controller after the other until stopped."""
        hops, wait, target = 0, 0.0, None
        while not self.stopped:
            await asyncio.sleep(wait)
            address = target or self.choose()
            verdict, told = await self.join(address, hops)
            wait, target = self.chance.uniform(0.03, 0.15), None
            if verdict == "sent on" and told.get("peatlead-owner"):
                host, _, port = told["peatlead-owner"].rpartition(":")
                hops, target, wait = hops + 1, (host, int(port)), 0.0
            elif verdict == "sent on":
                wait = float(told.get("peatlead-wait", "0") or 0) or wait
            elif verdict == "ended":
                hops = 0
            else:
                self.avoid[address] = self.loop.time() + AVOID_FOR
                hops = 0

    def choose(self):
        """The best that was hinted at and is not known to be out of reach; else any, drawn."""
        now = self.loop.time()
        self.avoid = {address: until for address, until in self.avoid.items() if now < until}
        everyone = [tuple(one) for one in self.plan.controllers]
        for address in self.hints:
            if address not in self.avoid:
                return address
        fit = [one for one in everyone if one not in self.avoid]
        return self.chance.choice(fit or everyone)

    async def join(self, address, hops):
        """("ended" | "sent on" | "failed", what the controller said)."""
        steward = address[0]
        try:
            connection = await dial(address, self.plan.local, JOIN_WAIT, ping_every=0.0)
        except (OSError, asyncio.TimeoutError):
            return "failed", {}
        taken, over = self.loop.create_future(), self.loop.create_future()
        call = connection.call(DELTA if self.plan.incremental else DISCOVERY, "peatlead")
        call.headers = lambda told: taken.done() or taken.set_result(dict(told))
        call.ended = lambda status, text: over.done() or over.set_result(dict(call.peer_metadata))
        take = self.take_delta if self.plan.incremental else self.take
        call.message = lambda data: take(call, steward, data)
        self.current, joined = call, False
        self.ask_first(call, hops)
        done, _ = await asyncio.wait(
            [taken, over], timeout=JOIN_WAIT, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            self.give_up(connection)
            return "failed", {}
        if "peatlead-controllers" in call.peer_metadata or not over.done():
            joined = True
            self.take_hints(call.peer_metadata)
            self.record.row("stream", self.loop.time(), self.plan.name, steward, "joined")
            self.keep(self.report(connection))
            await self.watch(connection, over)
            self.record.row("stream", self.loop.time(), self.plan.name, steward, "lost")
        told = over.result() if over.done() else {}
        if over.done():
            connection.close()
        else:
            self.give_up(connection)
            return "failed", {}
        if told.get("grpc-status") == "14" and (
            "peatlead-owner" in told or "peatlead-wait" in told
        ):
            return "sent on", told
        return ("ended" if joined else "failed"), told

    async def watch(self, connection, over):
        """Until the stream ends or the controller does not answer pings."""
        while not over.done() and not self.stopped:
            asked = self.loop.time()
            connection.talk.ping(b"anyone??")
            connection.flush()
            await asyncio.wait([over], timeout=1.0)
            if not over.done() and connection.last_received_at < asked:
                return

    def give_up(self, connection):
        """It may only be frozen: what it still sends must be seen not to act."""
        self.given_up.append(connection)
        self.loop.call_later(LISTEN_ON, connection.cut, "given up")

    def take_hints(self, told):
        found = []
        for one in filter(None, told.get("peatlead-controllers", "").split(",")):
            name, _, place = one.partition("=")
            host, _, port = place.rpartition(":")
            found.append((host, int(port)))
            self.names[found[-1]] = name
        self.hints = found

    def ask_first(self, call, hops):
        request = discovery_pb2.DiscoveryRequest(
            type_url=ENDPOINTS, resource_names=[k.name for k in self.plan.kinds]
        )
        request.node.id, request.node.locality.zone = self.plan.name, self.plan.zone
        # Each dial is a join of its own: whoever it dialled before may only be slow, and must not have the same
        # epoch to give. So what was dialled is fenced off, whether it ever answered or not.
        self.fence = Fence((self.fence.newest[0] + 1, DIALLED))
        if self.plan.incremental:
            self.ask_deltas(call, hops)
            return
        held = {
            kind: [f"{one.address}|{one.port}|{one.zone}|{one.weight}" for one in lines]
            for kind, lines in self.lines.items()
        }
        request.node.metadata.update(
            {
                "epoch": self.fence.newest[0],
                "rate": self.plan.rate,
                "hops": hops,
                "avoid": [self.names[address] for address in self.avoid if address in self.names],
                "held": held,
            }
        )
        call.send(request.SerializeToString(deterministic=True))
        call.send(
            discovery_pb2.DiscoveryRequest(
                type_url=ROUTES, resource_names=[ROUTES_NAME]
            ).SerializeToString()
        )

    def ask_deltas(self, call, hops):
        """The first requests of the incremental variant: what it holds goes as its resources' versions."""
        self.holder.raise_fence(Version(*self.fence.newest))
        for type_url, part in PART_BY_TYPE.items():
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, resource_names_subscribe=["*"]
            )
            request.node.id, request.node.locality.zone = self.plan.name, self.plan.zone
            request.node.metadata.update(
                {
                    "epoch": self.fence.newest[0],
                    "rate": self.plan.rate,
                    "hops": hops,
                    "avoid": [
                        self.names[address] for address in self.avoid if address in self.names
                    ],
                }
            )
            for key, value in self.holder.parts[part].items():
                request.initial_resource_versions[resource_name(key)] = str(value)
            call.send(request.SerializeToString(deterministic=True))

    def take_delta(self, call, steward, data):
        """All of a delta, or nothing of it and the reason back."""
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        answer = discovery_pb2.DeltaDiscoveryRequest(
            type_url=response.type_url, response_nonce=response.nonce
        )
        version = parse_version(response.nonce)
        if call is not self.current:
            self.note(steward, version, "old")
            return
        try:
            type_url, moved, stamp = decode_delta(response)
            version = stamp.version
            outcome = self.holder.take(PART_BY_TYPE[type_url], stamp, moved)
        except ValueError as problem:
            outcome = str(problem)
        if outcome == OLD:
            self.note(steward, version, "old")
            return
        if outcome == APPLIED:
            self.fence = self.fence.past(*version)
            self.show_held()
            self.note(steward, version, "applied")
            if (
                PART_BY_TYPE[type_url] == "line"
            ):  # a level that comes first says nothing of lines it brought along
                self.note_held(steward, version)
        else:
            answer.error_detail.code, answer.error_detail.message = 3, outcome
            self.note(steward, version, "refused")
        call.send(answer.SerializeToString())

    def show_held(self):
        """Its tables, of what it holds."""
        lines = {kind.name: [] for kind in self.plan.kinds}
        for key, value in self.holder.parts["line"].items():
            kind, zone, address, port = parse_line_key(key)
            lines.setdefault(kind, []).append(WeightedEndpoint(address, port, zone, value / SCALE))
        self.lines = lines
        for key, value in self.holder.parts["level"].items():
            self.levels[key.partition("/")[2]] = value / MILLION
        for key, value in self.holder.parts["retry"].items():
            self.retries[key.partition("/")[2]] = value
        self.close_unheld()

    def note_held(self, steward, version):
        """What it holds now, for the checker: by digest, and the hosts that are in it."""
        addresses = sorted({one.address for lines in self.lines.values() for one in lines})
        self.record.row(
            "held",
            self.loop.time(),
            self.plan.name,
            steward,
            *version,
            str(self.holder.digests["line"]),
            self.holder.sound("line"),
            addresses,
        )

    # Orders.

    def take(self, call, steward, data):
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        version = parse_version(response.version_info)
        if not self.fence.allows(*version) or call is not self.current:
            self.note(steward, version, "old")
            return
        answer = discovery_pb2.DiscoveryRequest(
            type_url=response.type_url,
            response_nonce=response.nonce,
            version_info=response.version_info,
            resource_names=[ROUTES_NAME]
            if response.type_url == ROUTES
            else [k.name for k in self.plan.kinds],
        )
        try:
            self.apply(response)
            self.fence = self.fence.past(*version)
            self.note(steward, version, "applied")
        except ValueError as problem:
            answer.error_detail.code, answer.error_detail.message = 3, str(problem)
            self.note(steward, version, "refused")
        call.send(answer.SerializeToString())

    def apply(self, response):
        """All of a response, or nothing of it."""
        if response.type_url == ROUTES:
            for one in response.resources:
                self.retries = decode_routes(one.value)
            return
        read = [decode_assignment(one.value) for one in response.resources]
        for kind, lines, level in read:
            self.lines[kind], self.levels[kind] = lines, level
        self.close_unheld()

    def close_unheld(self):
        held = {one.address for lines in self.lines.values() for one in lines}
        for address in [address for address in self.idle if address not in held]:
            for stream in self.idle.pop(address):
                stream.close()  # connections to hosts that have left its tables are closed

    def note(self, steward, version, done):
        least = min((len(self.lines.get(kind.name, ())) for kind in self.plan.kinds), default=0)
        self.record.row("order", self.loop.time(), self.plan.name, steward, *version, done, least)

    # Reports.

    async def report(self, connection):
        try:
            call = connection.call(LOADS, "peatlead")
        except ProtocolError:  # it is going away already
            return
        asked, every = self.loop.create_future(), [1.0]

        def take(data):
            every[0] = (
                lrs_pb2.LoadStatsResponse.FromString(data).load_reporting_interval.ToMilliseconds()
                / 1000
            )
            if not asked.done():
                asked.set_result(True)

        call.message = take
        first = lrs_pb2.LoadStatsRequest()
        first.node.id = self.plan.name
        call.send(first.SerializeToString())
        await asyncio.wait([asked], timeout=JOIN_WAIT)
        while (
            asked.done() and not call.over and not self.stopped and connection.transport is not None
        ):
            await asyncio.sleep(every[0])
            call.send(self.stats().SerializeToString(deterministic=True))

    def stats(self):
        now = self.loop.time()
        request, span = lrs_pb2.LoadStatsRequest(), now - self.told_at
        for kind in self.plan.kinds:
            cluster = request.cluster_stats.add(cluster_name=kind.name)
            cluster.load_report_interval.FromNanoseconds(int(span * 1e9))
            cluster.total_dropped_requests = self.dropped.pop(kind.name, 0)
            place = cluster.upstream_locality_stats.add()
            for (name, address), tally in self.tallies.items():
                if name == kind.name:
                    one = place.upstream_endpoint_stats.add()
                    one.address.socket_address.address = address
                    one.address.socket_address.port_value = self.plan.port
                    one.total_successful_requests, one.total_error_requests = tally.good, tally.bad
                    for metric, many, total in (
                        ("seconds", tally.good, tally.seconds),
                        ("util", tally.reports, tally.util),
                    ):
                        if many:
                            one.load_metric_stats.add(
                                metric_name=metric,
                                num_requests_finished_with_metric=many,
                                total_metric_value=total,
                            )
        self.tallies.clear()
        self.told_at = now
        return request

    # Reqs.

    def arrive(self, due):
        if self.stopped:
            return
        now = self.loop.time()
        while due <= now:
            self.sent += 1
            kind = self.chance.choices(self.plan.kinds, [k.share for k in self.plan.kinds])[0]
            self.keep(self.one(f"{self.plan.name}-{self.sent}", kind, due))
            due += self.chance.expovariate(self.plan.rate)
        self.loop.call_at(due, self.arrive, due)

    async def one(self, req, kind, due):
        deadline, tried, outcome = due + kind.client_timeout, [], "unresolved"
        if self.chance.random() >= self.levels.get(kind.name, 1.0):
            self.dropped[kind.name] += 1
            outcome = "shed"
        else:
            retry = self.retries.get(kind.name, "unstarted")
            most = {"never": 1, "unstarted": 2, "once": 2, "twice": 3}[retry]
            while len(tried) < most and self.loop.time() < deadline:
                line = self.choose_line(kind.name, tried)
                if line is None:
                    break
                tried.append(line.address)
                outcome, ran = await self.attempt(req, kind, line, deadline, len(tried), most)
                if outcome == "done" or retry == "unstarted" and ran:
                    break
        now = self.loop.time()
        late = now - due > kind.response_target
        gain = (
            0.0
            if outcome != "done" or now > deadline
            else kind.gain * (self.plan.late_gain if late else 1.0)
        )
        self.record.row(
            "req",
            now,
            req,
            kind.name,
            self.plan.name,
            "agent",
            self.plan.pick,
            "late" if outcome == "done" and late else outcome,
            due,
            len(tried),
            gain,
        )

    def choose_line(self, kind, tried):
        lines, now = (
            [one for one in self.lines.get(kind, ()) if one.address not in tried],
            self.loop.time(),
        )
        fit = [one for one in lines if self.shunned.get(one.address, 0.0) <= now] or lines
        if not fit:
            return None
        weights = [one.weight for one in fit]
        picks = self.chance.choices(fit, weights, k=2 if self.plan.pick == "lighter of two" else 1)
        return min(picks, key=lambda one: self.flying[one.address])

    async def attempt(self, req, kind, line, deadline, number, most):
        """(outcome, whether it may have run)."""
        start, tally, address = (
            self.loop.time(),
            self.tallies[kind.name, line.address],
            line.address,
        )
        self.flying[address] += 1
        outcome, sent, good = "unreachable", False, False
        try:
            stream = self.usable(address) or await connect(
                self.loop,
                (address, line.port),
                min(deadline, start + CONNECT_WAIT),
                self.plan.local,
            )
            sent = True
            self.record.row(
                "try",
                self.loop.time(),
                req,
                kind.name,
                self.plan.name,
                "agent",
                self.plan.pick,
                address,
                number,
                "sent",
                True,
            )
            part = TRY_PART if number < most else 1.0
            answer = await stream.ask(
                "POST",
                "/" + kind.name,
                [("host", "x"), ("req-id", req)],
                b"",
                start + (deadline - start) * part,
            )
            outcome = {200: "done", 429: "shed", 503: "denied"}.get(answer.status, "errored")
            sent, good = outcome not in ("denied", "shed"), outcome == "done"
            self.take_load(tally, answer)
            if stream.usable:
                self.idle.setdefault(address, []).append(stream)
        except RequestFailedError as problem:
            outcome = problem.outcome
        finally:
            self.flying[address] -= 1
        self.judge(tally, address, good, self.loop.time() - start)
        return outcome, sent

    @staticmethod
    def take_load(tally, answer):
        load = answer.headers.get("load-util")
        if load:
            tally.util += float(load)
            tally.reports += 1

    def judge(self, tally, address, good, seconds):
        if good:
            tally.good += 1
            tally.seconds += seconds
            self.fails[address] = 0
            return
        tally.bad += 1
        self.fails[address] += 1
        if self.plan.fails_to_shun and self.fails[address] >= self.plan.fails_to_shun:
            self.shunned[address] = self.loop.time() + self.plan.shun_for * self.chance.uniform(
                0.6, 1.4
            )
            self.fails[address] = 0

    def usable(self, address):
        kept = self.idle.get(address, [])
        while kept:
            stream = kept.pop()
            if stream.usable:
                return stream
        return None

    async def finish(self):
        self.stopped = True
        tasks = {task for task in self.tasks if task is not asyncio.current_task()}
        if tasks:
            await asyncio.wait(tasks, timeout=6.0)
        for connection in self.given_up:
            connection.cut("the day is over")


class Hall:
    """The agents of one process, told what to be by commands."""

    def __init__(self, chance, record):
        self.chance, self.record, self.agents = chance, record, {}

    async def command(self, said):
        if said["do"] == "agent":
            plan = msgspec.convert(said["plan"], Plan)
            self.agents[plan.name] = Agent(plan, self.chance, self.record)
        elif said["do"] == "begin":
            for agent in self.agents.values():
                agent.begin(said["at"])
        elif said["do"] == "finish":
            await asyncio.gather(*(agent.finish() for agent in self.agents.values()))
