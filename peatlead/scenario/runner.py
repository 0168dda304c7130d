"""Plays a day: stand-ins in their own processes, real controllers, faults by the clock.

What the processes recorded is then checked against the rules. `peatlead.lab.day` plays the same day
on simulated time; it replaces how processes are started and how rows are kept.
"""

import asyncio
from pathlib import Path
from typing import Any

from ..invariants.checker import check
from ..invariants.findings import Report
from ..invariants.record import Recorder, read_folder
from ..settings.loader import load_settings
from . import processes
from .context import DayContext, Fault, Verb
from .controller_faults import ControllerFaults
from .controller_feeds import ControllerFeeds
from .controller_settings import settings_script
from .endpoint_faults import EndpointFaults
from .endpoint_list_file import EndpointListFile, RowRecorder
from .fleet import Fleet, Plan
from .free_ports import free_port
from .processes import STANDIN_NETWORKS, Address, ChildProcess, StandIn
from .standin_commands import StandInCommands
from .traffic_faults import TrafficFaults

__all__ = ["Day", "free_port"]

ENDPOINT_PROCESSES = 3
CLIENT_PROCESSES = 2
PROXY_PROCESSES = 2
SETTLE = 3.0  # seconds for controllers and stand-ins to be up before requests begin
START_DELAY = 0.2  # seconds from the command to begin until the first request
LONG_AGO = 10_000  # seconds since the first endpoints started: they are warm
STALE_FILES = ("*.rec", "*.log", "state/*")  # of an earlier day in the folder


class Day:
    """A day of a script; `await play()` returns the checker's report.

    The folder gets the settings, recordings and logs.
    """

    def __init__(
        self,
        day: dict[str, Any],
        folder: str | Path,
        planner: str = "shards",
        port: int | None = None,
    ) -> None:
        self.day = day
        self.folder = Path(folder)
        self.planner = planner
        self.fleet = Fleet(day, port or free_port())
        self.standins = StandInCommands()
        self.children: list[ChildProcess] = []  # the stand-in processes
        self.stewards: dict[int, ChildProcess] = {}  # the controllers' processes, by number
        self.loop: asyncio.AbstractEventLoop
        self.record: RowRecorder
        self.context: DayContext
        self.feeds: ControllerFeeds
        self.controller_faults: ControllerFaults
        self.verbs: dict[str, Verb] = {}  # by their builtin in day scripts
        self.start = 0.0  # when requests begin, by the event loop's clock

    async def play(self) -> Report:
        """Play the day from its processes' start to their end."""
        self.prepare()
        try:
            await self.set_up()
            await self.run()
        finally:
            self.tear_down()
        return self.finish()

    def prepare(self) -> None:
        """Open the recording and register the faults; within the event loop."""
        self.loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        self._remove_stale_files()
        self.record = self.begin_record()
        self.feeds = ControllerFeeds(self.record)
        endpoint_list = EndpointListFile(self._list_path(), self.loop.time, self.record)
        self.context = DayContext(self.fleet, self.loop, self.record, endpoint_list, self.standins)
        self.controller_faults = ControllerFaults(self.context, self.stewards, self.start_steward)
        self.verbs = {
            **EndpointFaults(self.context, self.add_host).verbs(),
            **TrafficFaults(self.context).verbs(),
            **self.controller_faults.verbs(),
            "link_cut": self.link_cut,
            "link_slow": self.link_slow,
            "datagrams_lost": self.datagrams_lost,
        }

    def _remove_stale_files(self) -> None:
        """Controllers would remember an earlier list, and take its endpoints for restarted."""
        for pattern in STALE_FILES:
            for path in list(self.folder.glob(pattern)):
                path.unlink()

    def _list_path(self) -> Path:
        return self.folder / "nodes.json"

    def begin_record(self) -> RowRecorder:
        """The recorder of this process's rows."""
        return Recorder(self.folder / "day.rec")

    def finish(self) -> Report:
        """The checker's report of all that was recorded."""
        settings = load_settings("settings.star", self.script())
        gains = {kind["name"]: kind["gain"] for kind in self.day["kinds"]}
        return check(read_folder(self.folder), settings["limits"], gains)

    def script(self) -> str:
        """The controllers' settings script."""
        return settings_script(self.fleet, self._list_path())

    async def set_up(self) -> None:
        """Start all processes and lay out the fleet in them."""
        (self.folder / "settings.star").write_text(self.script())
        await self.standins.open()
        self._start_standins()
        for plan in self.fleet.hosts:
            await self.add_host(plan)
            self.context.endpoint_list.put(plan, "ready", self.loop.time() - LONG_AGO)
        self.context.endpoint_list.write()
        for number in range(len(self.fleet.stewards)):
            self.start_steward(number)
        await self.standins.add_clients(self.fleet.resolvers, self.fleet.desks)
        await self.standins.add_proxies(self.fleet.agents)

    def _start_standins(self) -> None:
        self.standins.endpoint_processes = self._spawn_all(StandIn.ENDPOINTS, ENDPOINT_PROCESSES)
        if self.fleet.desks:
            self.standins.client_processes = self._spawn_all(StandIn.DNS_CLIENTS, CLIENT_PROCESSES)
        if self.fleet.agents:
            self.standins.proxy_processes = self._spawn_all(StandIn.PROXIES, PROXY_PROCESSES)

    def _spawn_all(self, kind: StandIn, count: int) -> list[Address]:
        return [self.spawn(kind, number) for number in range(count)]

    async def run(self) -> None:
        """Let requests and faults begin, and end with the day's length."""
        await asyncio.sleep(SETTLE)
        self._check_processes()
        start = self.loop.time() + START_DELAY
        await self.standins.begin_requests(start)
        self.start = start
        tasks = [self.loop.create_task(self._play_fault(fault)) for fault in self.day["troubles"]]
        await asyncio.sleep(start + self.day["day"]["length"] - self.loop.time())
        if self.standins.proxy_processes:
            await self.controller_faults.record_published_tables()
        await self.standins.finish_requests()
        await _end_tasks(tasks)

    def _check_processes(self) -> None:
        """Raise RuntimeError where a process has ended already."""
        for child in [*self.stewards.values(), *self.children]:
            if child.poll() is not None:
                raise RuntimeError(
                    f"a process ended before the day began: {' '.join(child.args[2:5])}; "
                    f"its log is in {self.folder}"
                )

    async def _play_fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self.start + fault["at"] - self.loop.time()))
        self.context.record_fault(fault, [])
        await self.verbs[fault["verb"]](fault)

    def tear_down(self) -> None:
        """End all processes and the recording."""
        self.feeds.close()
        self.standins.close()
        processes.stop_all(self.children, self.stewards.values())
        self.record.close()

    def spawn(self, kind: str, at: int) -> Address:
        """Start a stand-in process; returns its address for commands."""
        address = self.address_of(kind, at), self.fleet.port
        self.children.append(
            processes.start_standin(
                kind, address, self.seed_of(kind, at), self.folder, f"{kind}{at}"
            )
        )
        return address

    @staticmethod
    def address_of(kind: str, at: int) -> str:
        """The address of a stand-in process."""
        return f"127.2.{STANDIN_NETWORKS[kind]}.{at + 1}"

    def seed_of(self, kind: str, at: int) -> int:
        """The seed of a stand-in process."""
        seed: int = self.day["day"]["seed"]
        return seed * 100 + at + 30 * STANDIN_NETWORKS[kind]

    def start_steward(self, at: int) -> None:
        """Start a controller and follow its feed."""
        self.stewards[at] = processes.start_controller(self.folder, f"ns{at + 1}", self.planner)
        self.loop.create_task(self.feed(at, self.stewards[at]))

    async def feed(self, at: int, child: ChildProcess) -> None:
        """Record a controller's feed as long as that process lives."""
        address, port = self.fleet.stewards[at]
        await self.feeds.follow(at, child, (address, port + 1))

    async def add_host(self, plan: Plan) -> None:
        """Add an endpoint to its stand-in process."""
        await self.standins.add_endpoint(plan)

    async def link_cut(self, trouble: Fault) -> None:
        """No packets pass between two places: in the lab alone."""
        raise _lab_only(trouble)

    async def link_slow(self, trouble: Fault) -> None:
        """Packets between two places are late: in the lab alone."""
        raise _lab_only(trouble)

    async def datagrams_lost(self, trouble: Fault) -> None:
        """Some datagrams are lost: in the lab alone."""
        raise _lab_only(trouble)


def _lab_only(fault: Fault) -> RuntimeError:
    """The error of a fault that the loopback interface cannot have."""
    return RuntimeError(f"{fault['verb']}: expected a day in the lab (peatlead lab run)")


async def _end_tasks(tasks: "list[asyncio.Task[None]]") -> None:
    """Cancel what still runs. Raises the first exception of those that had ended."""
    for task in tasks:
        if not task.done():
            task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception) and not isinstance(outcome, asyncio.CancelledError):
            raise outcome
