"""Days on simulated time.

`SimulatedDay` is the day of `peatlead.scenario.runner` with processes of a `Simulation` in place of
operating system processes. Controllers, stand-ins and the day's driver run unchanged. Only the
start, the end and the freezing of processes differ, and the recording is kept in memory.
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
from ..invariants.record import ROWS, Recording, Row
from ..planner.planner import Planner
from ..scenario.plain import PlainPlanner
from ..scenario.runner import Day
from ..settings.loader import load_settings
from ..standin.process import STANDIN_GROUPS, CommandServer
from .canonical_form import canonical_form
from .policies import HomePlanner, OraclePlanner
from .simulation import Simulation, play

PORT = 20_000
# Collections are rare: a day creates millions of short-lived objects and few cycles.
GC_THRESHOLDS = 50_000, 20, 100  # see gc.set_threshold()
PLANNERS = {"shards": Planner, "plain": PlainPlanner, "home": HomePlanner}
POLICIES = (*PLANNERS, "oracle")


class MemoryRecorder:
    """An in-memory recorder that all processes of a simulation share."""

    def __init__(self):
        self.rows = []

    def write_row(self, kind, at, *fields):
        """Store a row. Raises ValueError if the number of fields is wrong."""
        if len(fields) != len(ROWS[kind]):
            raise ValueError(
                f"expected {len(ROWS[kind])} fields in a row of kind {kind!r}, got {len(fields)}"
            )
        self.rows.append(Row(kind, at, dict(zip(ROWS[kind], fields))))

    def close(self):
        """Do nothing: the rows stay available in memory."""
        pass


class SimulatedProcess:
    """A process of the simulation; has the methods of `subprocess.Popen` that a day calls."""

    def __init__(self, loop):
        self.loop, self.args = loop, ["", "", "", loop.name]

    def poll(self):
        """Return 0 if the process was killed, else None."""
        return 0 if self.loop.dead else None

    def kill(self):
        """End the process at once."""
        if not self.loop.dead:
            self.loop.kill()

    terminate = kill

    def wait(self, timeout=None):
        """Return 0: a killed process has already ended."""
        return 0

    def send_signal(self, number):
        """Freeze the process on SIGSTOP and resume it on SIGCONT; ignore other signals."""
        if number == signal.SIGSTOP:
            self.loop.freeze(1e9)
        elif number == signal.SIGCONT and not self.loop.dead:
            self.loop.resume()


class SimulatedDay(Day):
    """A day whose processes run in a simulation.

    `replacements` may map "steward" to a class that is used in place of `Controller`.
    """

    def __init__(self, simulation, scenario, folder, planner="shards", replacements=None):
        super().__init__(scenario, folder, planner, port=PORT)
        self.simulation, self.recorder, self.logs, self.replacements, self.controller_starts = (
            simulation,
            MemoryRecorder(),
            [],  # (simulated time, controller, event, fields)
            replacements or {},
            0,
        )
        self.standin_groups = []  # the stand-ins of each process, which the oracle policy reads

    def open_recorder(self):
        """Return the in-memory recorder."""
        return self.recorder

    def place_addresses(self):
        """Assign a zone to the address of each endpoint, controller, proxy and resolver."""
        links, zones = self.simulation.links, self.fleet.zones
        for plan in self.fleet.endpoints:
            links.places[plan["address"]] = plan["zone"]
        for number, (address, _) in enumerate(self.fleet.controller_addresses):
            links.places[address] = zones[number % len(zones)]
        for proxy in self.fleet.proxies:
            links.places[proxy["local"]] = proxy["zone"]
        for number, resolver in enumerate(self.fleet.resolvers):
            links.places[resolver["address"]] = zones[number % len(zones)]

    async def add_endpoint(self, plan):
        """Assign the endpoint's address to its zone, then add the endpoint to its process."""
        self.simulation.links.places[plan["address"]] = plan["zone"]
        await super().add_endpoint(plan)

    def start_standin(self, kind, number):
        """Start a simulated stand-in process; returns its address for commands."""
        address, loop = (
            self.standin_address(kind, number),
            self.simulation.add_process(f"{kind}{number}"),
        )
        rng = Random(self.standin_seed(kind, number))

        async def serve():
            group = STANDIN_GROUPS[kind](rng, self.recorder)
            self.standin_groups.append(group)
            await loop.create_datagram_endpoint(
                lambda: CommandServer(group), local_addr=(address, self.fleet.port)
            )

        self.children.append(self.start_process(loop, serve))
        return address, self.fleet.port

    def start_controller(self, number):
        """Start a simulated controller process and record its feed."""
        name = f"ns{number + 1}"
        loop, settings = (
            self.simulation.add_process(name),
            load_settings("settings.star", self.settings_text()),
        )
        settings["tables"]["sync_every"] = 1e9  # seconds: simulated machines never lose power
        self.controller_starts += 1
        boot = self.controller_starts.to_bytes(8, "big")

        def log(event, **fields):
            self.logs.append((self.simulation.now, name, event, fields))

        async def serve():
            controller = self.replacements.get("steward", Controller)(
                settings,
                name,
                log,
                PLANNERS.get(self.planner, self.create_oracle),
                str(self.folder / "state"),
                boot=boot,
                wall_clock=lambda: self.simulation.now,
            )
            await controller.start()
            self.record_decisions(name, controller)
            if await controller.ended != "stopped":
                self.simulation.report_failure(
                    loop, RuntimeError(controller.ended.result()), f"controller {name}"
                )

        self.controllers[number] = self.start_process(loop, serve)
        self.loop.create_task(self.follow_feed(number, self.controllers[number]))

    def create_oracle(self, settings, seed):
        """Create the planner of the policy "oracle", which is not in PLANNERS."""
        return OraclePlanner(settings, seed, self.endpoint_capacities)

    def endpoint_capacities(self):
        """Return the cores that each running endpoint has for requests now, by endpoint name.

        An endpoint that is silent, hung, overloaded or draining has 0.
        """
        return {
            name: endpoint.available_cores(self.simulation.now)
            for group in self.standin_groups
            for name, endpoint in getattr(group, "endpoints", {}).items()
            if endpoint.server is not None
        }

    def record_decisions(self, name, controller):
        """Add the commands of each planner decision to the digest, in canonical form."""
        original_decide = controller.planner.decide

        def decide(now, events):
            commands = original_decide(now, events)
            self.simulation.record("decide", name, len(events), canonical_form(commands))
            return commands

        controller.planner.decide = decide

    def start_process(self, loop, serve):
        """Run a coroutine function in a simulated process from the current time on."""
        self.simulation.schedule(self.simulation.now, loop, self.create_process_task, loop, serve)
        return SimulatedProcess(loop)

    def create_process_task(self, loop, serve):
        """Create the task of a process; its exception is a failure of the simulation."""
        task = loop.create_task(serve())
        task.add_done_callback(
            lambda done: done.cancelled()
            or done.exception() is None
            or self.simulation.report_failure(loop, done.exception(), f"process {loop.name}")
        )

    async def link_cut(self, fault):
        """Drop all packets between two zones or addresses, or in one direction only."""
        source, target, links = fault["one"], fault["other"], self.simulation.links
        cut_links = {(source, target)} | ({(target, source)} if fault["both"] else set())
        links.cut |= cut_links
        await asyncio.sleep(fault["length"])
        links.cut -= cut_links

    async def link_slow(self, fault):
        """Delay packets from one zone or address to another."""
        link = fault["one"], fault["other"]
        self.simulation.links.extra_delay[link] = fault["late"]
        await asyncio.sleep(fault["length"])
        self.simulation.links.extra_delay.pop(link, None)

    async def datagrams_lost(self, fault):
        """Lose a random fraction of all datagrams."""
        self.simulation.links.loss = fault["part"]
        await asyncio.sleep(fault["length"])
        self.simulation.links.loss = 0.0

    def check_recording(self):
        """Return the checker's report of the recorded rows."""
        settings = load_settings("settings.star", self.settings_text())
        gains = {kind["name"]: kind["gain"] for kind in self.scenario["kinds"]}
        self.recorder.rows.sort(key=lambda row: row.at)
        return check(Recording(self.recorder.rows, 0), settings["limits"], gains)


class DayResult:
    """The result of one simulated day.

    `report` is the checker's report, None if the day did not complete; `failures` are the
    descriptions of unhandled exceptions; `event_count` is the number of events in `digest`;
    `end_time` is in simulated seconds; `trace` holds the events themselves if they were kept.
    """

    __slots__ = ("report", "digest", "event_count", "failures", "logs", "rows", "end_time", "trace")

    def __init__(self, report, simulation, day):
        self.report, self.digest, self.event_count = (
            report,
            simulation.digest.hexdigest(16),
            simulation.event_count,
        )
        self.failures = [failure.describe() for failure in simulation.failures]
        self.logs, self.rows, self.end_time, self.trace = (
            day.logs,
            day.recorder.rows,
            simulation.now,
            simulation.trace,
        )

    @property
    def problems(self):
        """Descriptions of all failures and broken rules."""
        descriptions = list(self.failures)
        if self.report is not None:
            descriptions += [
                f"rule {finding.rule}: {finding.summary}"
                for finding in self.report.findings
                if finding.breaches
            ]
        return descriptions


@contextmanager
def infrequent_garbage_collection():
    """Run the cyclic garbage collector rarely in this process."""
    thresholds = gc.get_threshold()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def play_day(scenario, seed, planner="shards", replacements=None, trace=False, timers=None):
    """Play a scenario in a simulation of its own and return a `DayResult`.

    `seed` replaces the scenario's own seed, `timers` is the simulation's timer queue, and with `trace`
    the events of the digest are kept. The same arguments give the same digest.
    """
    scenario = {**scenario, "day": {**scenario["day"], "seed": seed}}
    simulation = Simulation(seed, timers, trace)
    with (
        infrequent_garbage_collection(),
        tempfile.TemporaryDirectory(prefix="peatlead-lab-") as folder,
    ):
        loop = simulation.add_process("day")
        day = SimulatedDay(simulation, scenario, Path(folder), planner, replacements)
        day.place_addresses()
        report = None
        try:
            report = play(simulation, loop, day.play(), scenario["day"]["length"] + 120.0)
        except (RuntimeError, TimeoutError, asyncio.TimeoutError) as error:
            if not simulation.failures:
                simulation.report_failure(loop, error, "day")
    return DayResult(report, simulation, day)
