"""A day on simulated time: `peatlead.scenario.runner` with its processes in a `World` in place of the system's.

Steward, fronts, membership and stand-ins run unchanged; so does the day's own driver. Only how a process is
started, killed and frozen differs, and the record is kept in memory.
"""

import asyncio
import gc
import signal
import tempfile
from contextlib import contextmanager
from pathlib import Path
from random import Random

from ..controller.controller import Controller
from ..invariants.checker import check
from ..invariants.record import ROWS, Read, Row
from ..planner.planner import Planner
from ..scenario.plain import PlainPlanner
from ..scenario.runner import Day
from ..settings.loader import load_settings
from ..standin.process import HALLS, Orders
from .canonical_form import canonical_form
from .policies import HomePlanner, OraclePlanner
from .simulation import Simulation, play

PORT = 20_000
SELDOM = 50_000, 20, 100  # objects, younger passes, older ones, until the collector looks again
PLANNERS = {"shards": Planner, "plain": PlainPlanner, "home": HomePlanner}
POLICIES = (*PLANNERS, "oracle")


class MemoryRecorder:
    """A recorder in memory, one for all processes, with the world's time."""

    def __init__(self):
        self.rows = []

    def row(self, kind, at, *fields):
        if len(fields) != len(ROWS[kind]):
            raise ValueError(f"a row {kind} has {len(ROWS[kind])} fields, got {len(fields)}")
        self.rows.append(Row(kind, at, dict(zip(ROWS[kind], fields))))

    def close(self):
        pass


class SimulatedProcess:
    """A simulated process, as the day's driver knows processes."""

    def __init__(self, loop):
        self.loop, self.args = loop, ["", "", "", loop.name]

    def poll(self):
        return 0 if self.loop.dead else None

    def kill(self):
        if not self.loop.dead:
            self.loop.kill()

    terminate = kill

    def wait(self, timeout=None):
        return 0

    def send_signal(self, number):
        if number == signal.SIGSTOP:
            self.loop.freeze(1e9)
        elif number == signal.SIGCONT and not self.loop.dead:
            self.loop.resume()


class SimulatedDay(Day):
    def __init__(self, world, day, folder, planner="shards", swap=None):
        super().__init__(day, folder, planner, port=PORT)
        self.world, self.rows, self.logs, self.swap, self.starts = (
            world,
            MemoryRecorder(),
            [],
            swap or {},
            0,
        )
        self.inside = []  # the stand-ins' own objects: the oracle looks into them

    def begin_record(self):
        return self.rows

    def place_addresses(self):
        """Where each address stands: hosts, desks and agents in their zones, stewards in theirs."""
        links, zones = self.world.links, self.fleet.zones
        for plan in self.fleet.hosts:
            links.places[plan["address"]] = plan["zone"]
        for at, (address, _) in enumerate(self.fleet.stewards):
            links.places[address] = zones[at % len(zones)]
        for agent in self.fleet.agents:
            links.places[agent["local"]] = agent["zone"]
        for at, one in enumerate(self.fleet.resolvers):
            links.places[one["address"]] = zones[at % len(zones)]

    async def add_host(self, plan):
        self.world.links.places[plan["address"]] = plan["zone"]
        await super().add_host(plan)

    def spawn(self, kind, at):
        address, loop = self.address_of(kind, at), self.world.process(f"{kind}{at}")
        chance = Random(self.seed_of(kind, at))

        async def serve():
            hall = HALLS[kind](chance, self.rows)
            self.inside.append(hall)
            await loop.create_datagram_endpoint(
                lambda: Orders(hall), local_addr=(address, self.fleet.port)
            )

        self.children.append(self.run_in(loop, serve))
        return address, self.fleet.port

    def start_steward(self, at):
        name = f"ns{at + 1}"
        loop, settings = self.world.process(name), load_settings("settings.star", self.script())
        settings["tables"]["sync_every"] = 1e9  # a simulated machine does not die
        self.starts += 1
        boot = self.starts.to_bytes(8, "big")

        def log(event, **fields):
            self.logs.append((self.world.now, name, event, fields))

        async def serve():
            made = self.swap.get("steward", Controller)(
                settings,
                name,
                log,
                PLANNERS.get(self.planner, self.oracle),
                str(self.folder / "state"),
                boot=boot,
                wall_clock=lambda: self.world.now,
            )
            await made.start()
            self.decisions(name, made)
            if await made.ended != "stopped":
                self.world.report_failure(
                    loop, RuntimeError(made.ended.result()), f"steward {name}"
                )

        self.stewards[at] = self.run_in(loop, serve)
        self.loop.create_task(self.feed(at, self.stewards[at]))

    def oracle(self, facts, seed):
        return OraclePlanner(facts, seed, self.truth)

    def truth(self):
        """{host name: cores that it has for reqs now}: none where it is silent, hung, tipped or going."""
        return {
            name: host.able(self.world.now)
            for hall in self.inside
            for name, host in getattr(hall, "hosts", {}).items()
            if host.server is not None
        }

    def decisions(self, name, steward):
        """Each decide's orders go into the digest, without the names of their types."""
        real = steward.planner.decide

        def decide(now, events):
            orders = real(now, events)
            self.world.record("decide", name, len(events), canonical_form(orders))
            return orders

        steward.planner.decide = decide

    def run_in(self, loop, serve):
        self.world.schedule(self.world.now, loop, self.begin_task, loop, serve)
        return SimulatedProcess(loop)

    def begin_task(self, loop, serve):
        task = loop.create_task(serve())
        task.add_done_callback(
            lambda done: done.cancelled()
            or done.exception() is None
            or self.world.report_failure(loop, done.exception(), f"process {loop.name}")
        )

    async def link_cut(self, trouble):
        one, other, links = trouble["one"], trouble["other"], self.world.links
        pairs = {(one, other)} | ({(other, one)} if trouble["both"] else set())
        links.cut |= pairs
        await asyncio.sleep(trouble["length"])
        links.cut -= pairs

    async def link_slow(self, trouble):
        way = trouble["one"], trouble["other"]
        self.world.links.extra_delay[way] = trouble["late"]
        await asyncio.sleep(trouble["length"])
        self.world.links.extra_delay.pop(way, None)

    async def datagrams_lost(self, trouble):
        self.world.links.loss = trouble["part"]
        await asyncio.sleep(trouble["length"])
        self.world.links.loss = 0.0

    def finish(self):
        settings = load_settings("settings.star", self.script())
        gain = {kind["name"]: kind["gain"] for kind in self.day["kinds"]}
        self.rows.rows.sort(key=lambda row: row.at)
        return check(Read(self.rows.rows, 0), settings["limits"], gain)


class DayResult:
    """What came of one day in the lab."""

    __slots__ = ("report", "digest", "events", "wrong", "logs", "rows", "seconds", "trace")

    def __init__(self, report, world, day):
        self.report, self.digest, self.events = report, world.digest.hexdigest(16), world.events
        self.wrong = [failure.describe() for failure in world.failures]
        self.logs, self.rows, self.seconds, self.trace = (
            day.logs,
            day.rows.rows,
            world.now,
            world.trace,
        )

    @property
    def problems(self):
        """Rules broken and exceptions, in words."""
        found = list(self.wrong)
        if self.report is not None:
            found += [
                f"rule {one.rule}: {one.said}" for one in self.report.findings if one.breaches
            ]
        return found


@contextmanager
def seldom_collected():
    """A day makes millions of short-lived objects, few of them in rings: looking for rings at every 700 takes a fifth
    of its time."""
    before = gc.get_threshold()
    gc.set_threshold(*SELDOM)
    try:
        yield
    finally:
        gc.set_threshold(*before)


def play_day(made, seed, planner="shards", swap=None, trace=False, timers=None):
    """Plays a day's map in a world of its own; the same arguments give the same digest."""
    made = {**made, "day": {**made["day"], "seed": seed}}
    world = Simulation(seed, timers, trace)
    with seldom_collected(), tempfile.TemporaryDirectory(prefix="peatlead-lab-") as folder:
        loop = world.process("day")
        day = SimulatedDay(world, made, Path(folder), planner, swap)
        day.place_addresses()
        report = None
        try:
            report = play(world, loop, day.play(), made["day"]["length"] + 120.0)
        except (RuntimeError, TimeoutError, asyncio.TimeoutError) as problem:
            if not world.failures:
                world.report_failure(loop, problem, "day")
    return DayResult(report, world, day)
