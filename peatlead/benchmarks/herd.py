"""A whole controller and thousands of streams on loopback.

`python -m peatlead.benchmarks.herd PROXIES HOSTS [REPORTS]`: simulated proxies in processes of
their own connect to one real controller, take what is published and acknowledge it. Measured: the
time until all are served, and memory a proxy; then one endpoint that all hold drains: milliseconds
from the list's file to each proxy (median, 99th percentile, last) and bytes a proxy, beside a bare
loop that writes the same bytes to as many streams.

REPORTS: load reports a second of each proxy meanwhile, to see whether withdrawals wait behind them;
what the controller sheds is printed. Below 0: of proxies that do not slow down when asked to.
"""

import asyncio
import contextlib
import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Collection
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any, Optional

from ..controller.control_socket import ask_once
from ..net.http import ServerConnection
from ..scenario.runner import free_port
from .herd_agents import ZONES, AgentCommand, SimulatedProxy, run_agents
from .herd_baseline import measure_baseline, spread

__all__ = ["SimulatedProxy", "main"]

CLIENTS = 4  # processes of simulated proxies
LISTEN = "127.1.0.1"
START_TIME = 2.5  # seconds for the controller to start
PERIOD = 5.0  # seconds: before the withdrawal; three of them after it
STOP_TIMEOUT = 10.0  # seconds for the controller to end
DRAINED_ADDRESS = "127.10.0.1"  # of endpoint 0
STATUS_FIELDS = ("slowest_decide", "channel", "burden")


def settings_text(port: int, folder: str, proxies: int) -> str:
    """Return the controller's settings; it uses four ports from `port` on."""
    return f"""
zone(name = "a")
zone(name = "b")
zone(name = "c")
dns(zone = "example.org", port = {port}, lifetime = 1, open_views = 0)
limits(drain_grace = 5, bare_most = 8, cold_share = 0.3, warm_after = 8, tip_multiple = 3, tip_span = 2,
       channel_rate = 1e6, queue_most = 1e6)
node_list(path = "{folder}/nodes.json", every = 0.02)
probes(port = {port + 3}, deadline = 1.0)
grpc(proxies = {proxies}, connections_most = 20000)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
request_kind(name = "file", response_target = 0.5, client_timeout = 1.5, gain = 6, repeat = "non-replayable")
service(label = "api", kinds = ["look", "file"])
steward(name = "ns1", zone = "a", listen = "{LISTEN}:{port}", control = "{LISTEN}:{port + 1}",
        grpc = "{LISTEN}:{port + 2}")
"""  # noqa: E501 - settings as an operator writes them


class HealthyEndpoint(ServerConnection):
    """Answers every health check."""

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Answer as a ready endpoint."""
        self.respond(200, [], b'{"boot":"b","kinds":["look"],"networks":{}}')


def answer_health_checks(port: int) -> None:
    """Answer the health checks of all endpoints, in a process of its own."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: HealthyEndpoint(30.0), "0.0.0.0", port, backlog=1024)
        await asyncio.Event().wait()

    asyncio.run(serve())


def write_list(folder: str, version: int, endpoints: int, draining: Collection[int] = ()) -> float:
    """Replace the list of endpoints; returns when (monotonic seconds)."""
    listed = {
        "version": version,
        "written": 0.0,
        "hosts": [
            {
                "name": f"h{number}",
                "zone": ZONES[number % len(ZONES)],
                "phase": "draining" if number in draining else "ready",
                "address": f"127.10.{number // 250}.{number % 250 + 1}",
            }
            for number in range(endpoints)
        ],
    }
    Path(folder, "nodes.new").write_text(json.dumps(listed))
    os.rename(f"{folder}/nodes.new", f"{folder}/nodes.json")
    return time.monotonic()


def memory(pid: int) -> float:
    """Return the resident size of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Herd:
    """A controller, its simulated proxies and the responder to its health checks."""

    def __init__(self, proxies: int, endpoints: int, rate: float) -> None:
        self.proxies = proxies
        self.endpoints = endpoints
        self.rate = rate  # load reports a second and proxy
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="peatlead-herd-")
        self.pipes: list[Pipe[Any, Any]] = []
        self.processes: list[multiprocessing.Process] = []
        self.sizes: list[int] = []  # bytes received by each proxy before the withdrawal
        Path(self.folder, "settings.star").write_text(
            settings_text(self.port, self.folder, proxies)
        )
        write_list(self.folder, 1, endpoints)
        self.start_process(answer_health_checks, (self.port + 3,))
        self.controller = self.start_controller()
        time.sleep(START_TIME)

    def start_process(self, target: Any, arguments: tuple[Any, ...]) -> None:
        """Start a process that `stop` ends."""
        process = multiprocessing.Process(target=target, args=arguments, daemon=True)
        process.start()
        self.processes.append(process)

    def start_controller(self) -> "subprocess.Popen[bytes]":
        """Start the controller; its log goes to a file of the folder."""
        command = [sys.executable, "-m", "peatlead", "run", f"{self.folder}/settings.star"]
        with open(f"{self.folder}/log", "w") as log:
            return subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)

    def start_agents(self) -> None:
        """Start the processes of simulated proxies."""
        controller = (LISTEN, self.port + 2)
        for first in range(CLIENTS):
            here, there = multiprocessing.Pipe()
            numbers = range(first, self.proxies, CLIENTS)
            self.start_process(run_agents, (numbers, controller, self.rate, there))
            self.pipes.append(here)

    def ask(self, command: AgentCommand, value: Optional[str] = None) -> list[Any]:
        """Ask all processes of proxies; returns one answer a proxy."""
        for pipe in self.pipes:
            pipe.send((command, value))
        return [answer for pipe in self.pipes for answer in pipe.recv()]

    def cpu(self) -> float:
        """Return the controller's CPU seconds so far."""
        return cpu_seconds(self.controller.pid)

    def measure_join(self) -> dict[str, Any]:
        """Connect all proxies; returns what it cost."""
        memory_before = memory(self.controller.pid)
        cpu_before = self.cpu()
        start = time.monotonic()
        self.start_agents()
        served = max(pipe.recv()[1] for pipe in self.pipes) - start
        grown = memory(self.controller.pid) - memory_before
        return {
            "proxies": self.proxies,
            "hosts": self.endpoints,
            "reports a second": abs(self.rate) * self.proxies,
            "all served after s": round(served, 2),
            "CPU s": round(self.cpu() - cpu_before, 2),
            "KiB a proxy": round(grown * 1024 / self.proxies, 1),
        }

    def measure_idle(self) -> dict[str, Any]:
        """Return the controller's load while nothing changes."""
        time.sleep(PERIOD)
        cpu_before = self.cpu()
        self.sizes = self.ask(AgentCommand.SIZES)
        time.sleep(PERIOD)
        return {"CPU before": round((self.cpu() - cpu_before) / PERIOD, 3)}

    def measure_withdrawal(self) -> dict[str, Any]:
        """Drain endpoint 0; returns when the proxies were without it."""
        cpu_before = self.cpu()
        drained = write_list(self.folder, 2, self.endpoints, (0,))
        time.sleep(3 * PERIOD)
        withdrawn = self.ask(AgentCommand.WITHDRAWN, DRAINED_ADDRESS)
        received = sum(self.ask(AgentCommand.SIZES)) - sum(self.sizes)
        return {
            "held it": len([at for at in withdrawn if at != 0.0]),
            "told ms": spread([at - drained for at in withdrawn if at]),
            "never told": sum(at is None for at in withdrawn),
            "bytes a proxy": received // self.proxies,
            "CPU of it": round(self.cpu() - cpu_before, 2),
        }

    def status(self) -> dict[str, Any]:
        """Return what the controller itself says of its load."""
        answer: Any = asyncio.run(ask_once((LISTEN, self.port + 1), {"ask": "status"}))
        return {name: answer[name] for name in STATUS_FIELDS if name in answer}

    def stop(self) -> None:
        """End all processes."""
        for pipe in self.pipes:
            with contextlib.suppress(OSError):
                pipe.send((AgentCommand.END, None))
        self.controller.send_signal(signal.SIGTERM)
        try:
            self.controller.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.controller.kill()
        for process in self.processes:
            process.terminate()


def run(proxies: int, endpoints: int, rate: float) -> None:
    """Measure one herd and print the figures."""
    herd = Herd(proxies, endpoints, rate)
    try:
        figures = herd.measure_join()
        figures.update(herd.measure_idle())
        figures.update(herd.measure_withdrawal())
        figures["status"] = herd.status()
        size = max(1, figures["bytes a proxy"])
        figures["bare loop ms"] = measure_baseline(proxies, size)
        print(json.dumps(figures), flush=True)
    finally:
        herd.stop()


def main() -> None:
    """Measure as the command line says."""
    rate = float(sys.argv[3]) if len(sys.argv) > 3 else 0.0
    run(int(sys.argv[1]), int(sys.argv[2]), rate)


if __name__ == "__main__":
    main()
