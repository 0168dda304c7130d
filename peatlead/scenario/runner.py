"""Plays a day with real controllers, stand-ins in processes of their own, and scheduled faults.

The recordings of all processes are then checked against the rules. `peatlead.lab.day` plays the
same day on simulated time: it replaces how processes are started and how rows are recorded.
"""

import asyncio
from pathlib import Path
from typing import Any

from ..invariants.checker import check
from ..invariants.findings import Report
from ..invariants.record import Recorder, read_folder
from ..settings.loader import load_settings
from . import processes
from .context import DayContext, Fault, FaultPlayer
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
STARTUP_DELAY = 3.0  # seconds from the start of the processes until they are checked
REQUEST_DELAY = 0.2  # seconds from the command to begin requests until the first request
INITIAL_AGE = 10_000  # seconds since the listed start of the first endpoints, which are warm
STALE_FILES = ("*.rec", "*.log", "state/*")  # glob patterns of the files of an earlier day


class Day:
    """Plays the day of a script and checks its recording.

    The settings, recordings and logs are written to the folder.
    """

    def __init__(
        self,
        scenario: dict[str, Any],
        folder: str | Path,
        planner: str = "shards",
        port: int | None = None,
    ) -> None:
        self.scenario = scenario
        self.folder = Path(folder)
        self.planner = planner
        self.fleet = Fleet(scenario, port or free_port())
        self.standins = StandInCommands()
        self.children: list[ChildProcess] = []  # stand-in processes
        self.controllers: dict[int, ChildProcess] = {}  # processes by controller number
        self.loop: asyncio.AbstractEventLoop
        self.row_recorder: RowRecorder
        self.context: DayContext
        self.feeds: ControllerFeeds
        self.controller_faults: ControllerFaults
        self.fault_players: dict[str, FaultPlayer] = {}  # by builtin in day scripts
        self.start = 0.0  # event loop time in seconds at which requests begin

    async def play(self) -> Report:
        """Run the whole day and return the checker's report."""
        self.prepare()
        try:
            await self.set_up()
            await self.run()
        finally:
            self.tear_down()
        return self.check_recording()

    def prepare(self) -> None:
        """Open the recording and register the faults. Must run in the event loop."""
        self.loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        self._remove_stale_files()
        self.row_recorder = self.open_recorder()
        self.feeds = ControllerFeeds(self.row_recorder)
        endpoint_list = EndpointListFile(self._list_path(), self.loop.time, self.row_recorder)
        self.context = DayContext(
            self.fleet, self.loop, self.row_recorder, endpoint_list, self.standins
        )
        self.controller_faults = ControllerFaults(
            self.context, self.controllers, self.start_controller
        )
        self.fault_players = {
            **EndpointFaults(self.context, self.add_endpoint).players(),
            **TrafficFaults(self.context).players(),
            **self.controller_faults.players(),
            "link_cut": self.link_cut,
            "link_slow": self.link_slow,
            "datagrams_lost": self.datagrams_lost,
        }

    def _remove_stale_files(self) -> None:
        """Remove files of an earlier day from the folder.

        Otherwise controllers would restore that day's list and treat its endpoints as restarted.
        """
        for pattern in STALE_FILES:
            for path in list(self.folder.glob(pattern)):
                path.unlink()

    def _list_path(self) -> Path:
        return self.folder / "nodes.json"

    def open_recorder(self) -> RowRecorder:
        """Return a recorder for the rows of this process."""
        return Recorder(self.folder / "day.rec")

    def check_recording(self) -> Report:
        """Return the checker's report of all recordings."""
        settings = load_settings("settings.star", self.settings_text())
        gains = {kind["name"]: kind["gain"] for kind in self.scenario["kinds"]}
        return check(read_folder(self.folder), settings["limits"], gains)

    def settings_text(self) -> str:
        """Return the controllers' settings script."""
        return settings_script(self.fleet, self._list_path())

    async def set_up(self) -> None:
        """Start all processes and add the endpoints, clients and proxies to them."""
        (self.folder / "settings.star").write_text(self.settings_text())
        await self.standins.open()
        self._start_standins()
        for plan in self.fleet.endpoints:
            await self.add_endpoint(plan)
            self.context.endpoint_list.set_entry(plan, "ready", self.loop.time() - INITIAL_AGE)
        self.context.endpoint_list.write()
        for number in range(len(self.fleet.controller_addresses)):
            self.start_controller(number)
        await self.standins.add_clients(self.fleet.resolvers, self.fleet.client_networks)
        await self.standins.add_proxies(self.fleet.proxies)

    def _start_standins(self) -> None:
        self.standins.endpoint_processes = self._start_processes(
            StandIn.ENDPOINTS, ENDPOINT_PROCESSES
        )
        if self.fleet.client_networks:
            self.standins.client_processes = self._start_processes(
                StandIn.DNS_CLIENTS, CLIENT_PROCESSES
            )
        if self.fleet.proxies:
            self.standins.proxy_processes = self._start_processes(StandIn.PROXIES, PROXY_PROCESSES)

    def _start_processes(self, kind: StandIn, count: int) -> list[Address]:
        return [self.start_standin(kind, number) for number in range(count)]

    async def run(self) -> None:
        """Start requests and faults, and stop them after the day's length."""
        await asyncio.sleep(STARTUP_DELAY)
        self._check_processes()
        start = self.loop.time() + REQUEST_DELAY
        await self.standins.begin_requests(start)
        self.start = start
        tasks = [
            self.loop.create_task(self._play_fault(fault)) for fault in self.scenario["troubles"]
        ]
        await asyncio.sleep(start + self.scenario["day"]["length"] - self.loop.time())
        if self.standins.proxy_processes:
            await self.controller_faults.record_published_tables()
        await self.standins.finish_requests()
        await _end_tasks(tasks)

    def _check_processes(self) -> None:
        """Raise RuntimeError if a process has ended already."""
        for child in [*self.controllers.values(), *self.children]:
            if child.poll() is not None:
                raise RuntimeError(
                    f"process ended before the day began: {' '.join(child.args[2:5])}; "
                    f"see its log in {self.folder}"
                )

    async def _play_fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self.start + fault["at"] - self.loop.time()))
        self.context.record_fault(fault, [])
        await self.fault_players[fault["verb"]](fault)

    def tear_down(self) -> None:
        """End all processes and close the recording."""
        self.feeds.close()
        self.standins.close()
        processes.stop_all(self.children, self.controllers.values())
        self.row_recorder.close()

    def start_standin(self, kind: str, number: int) -> Address:
        """Start a stand-in process and return its address for commands."""
        address = self.standin_address(kind, number), self.fleet.port
        self.children.append(
            processes.start_standin(
                kind, address, self.standin_seed(kind, number), self.folder, f"{kind}{number}"
            )
        )
        return address

    @staticmethod
    def standin_address(kind: str, number: int) -> str:
        """Return the address of a stand-in process."""
        return f"127.2.{STANDIN_NETWORKS[kind]}.{number + 1}"

    def standin_seed(self, kind: str, number: int) -> int:
        """Return the random seed of a stand-in process."""
        seed: int = self.scenario["day"]["seed"]
        return seed * 100 + number + 30 * STANDIN_NETWORKS[kind]

    def start_controller(self, number: int) -> None:
        """Start a controller and record its feed."""
        self.controllers[number] = processes.start_controller(
            self.folder, f"ns{number + 1}", self.planner
        )
        self.loop.create_task(self.follow_feed(number, self.controllers[number]))

    async def follow_feed(self, number: int, child: ChildProcess) -> None:
        """Record a controller's feed until its process ends."""
        address, port = self.fleet.controller_addresses[number]
        await self.feeds.follow(number, child, (address, port + 1))

    async def add_endpoint(self, plan: Plan) -> None:
        """Add an endpoint to its stand-in process."""
        await self.standins.add_endpoint(plan)

    async def link_cut(self, fault: Fault) -> None:
        """Drop all packets between two places; only on simulated time."""
        raise _simulation_only(fault)

    async def link_slow(self, fault: Fault) -> None:
        """Delay packets between two places; only on simulated time."""
        raise _simulation_only(fault)

    async def datagrams_lost(self, fault: Fault) -> None:
        """Lose some datagrams; only on simulated time."""
        raise _simulation_only(fault)


def _simulation_only(fault: Fault) -> RuntimeError:
    """Return the error of a fault that only a simulated network can have."""
    return RuntimeError(f"{fault['verb']}: this fault needs a simulated network (peatlead lab run)")


async def _end_tasks(tasks: "list[asyncio.Task[None]]") -> None:
    """Cancel the tasks that still run, and raise the first exception of the others."""
    for task in tasks:
        if not task.done():
            task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception) and not isinstance(result, asyncio.CancelledError):
            raise result
