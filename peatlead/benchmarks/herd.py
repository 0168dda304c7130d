"""Measures a controller that serves thousands of proxies over loopback.

`python -m peatlead.benchmarks.herd PROXIES ENDPOINTS [REPORTS]`: simulated proxies in processes of
their own connect to one controller and acknowledge what it publishes. Measured are the time until
all proxies are served and the memory per proxy. Then an endpoint that all proxies hold drains, and
the time from the change of the endpoint list to each proxy's update is measured (median, 99th
percentile and last), with the bytes per proxy. As a baseline, a bare event loop writes the same
bytes to as many streams.

REPORTS is the rate of load reports per second that each proxy sends meanwhile, which shows whether
withdrawals wait behind reports. Below 0, proxies ignore a longer interval that the controller asks
for. The controller's status, which includes what it sheds, is printed too.
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
from .herd_agents import ZONES, ProxyCommand, SimulatedProxy, run_proxies
from .herd_baseline import delay_percentiles, measure_baseline

__all__ = ["SimulatedProxy", "main"]

CLIENT_PROCESSES = 4
LISTEN = "127.1.0.1"
START_DELAY = 2.5  # seconds from the controller's start until proxies connect
IDLE_PERIOD = 5.0  # seconds of each idle measurement; the withdrawal is measured for 3 periods
STOP_TIMEOUT = 10.0  # seconds for the controller to end
DRAINED_ADDRESS = "127.10.0.1"  # address of endpoint 0
STATUS_FIELDS = ("slowest_decide", "channel", "burden")


def settings_text(port: int, folder: str, proxies: int) -> str:
    """Return the controller's settings, which use four ports from `port` on."""
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
"""  # noqa: E501 - a settings script


class HealthyEndpoint(ServerConnection):
    """A server that answers every health check as a ready endpoint."""

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Respond to a request."""
        self.respond(200, [], b'{"boot":"b","kinds":["look"],"networks":{}}')


def answer_health_checks(port: int) -> None:
    """Answer the health checks of all endpoints; runs in a process of its own."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: HealthyEndpoint(30.0), "0.0.0.0", port, backlog=1024)
        await asyncio.Event().wait()

    asyncio.run(serve())


def write_list(folder: str, version: int, endpoints: int, draining: Collection[int] = ()) -> float:
    """Replace the endpoint list; returns the time of the change (monotonic seconds)."""
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


def resident_size(pid: int) -> float:
    """Return the resident size of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class LoopbackFleet:
    """A controller, simulated proxies, and a process that answers health checks."""

    def __init__(self, proxies: int, endpoints: int, rate: float) -> None:
        self.proxies = proxies
        self.endpoints = endpoints
        self.report_rate = rate  # load reports per second that each proxy sends
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="peatlead-herd-")
        self.pipes: list[Pipe[Any, Any]] = []
        self.processes: list[multiprocessing.Process] = []
        self.bytes_before_withdrawal: list[int] = []  # received by each proxy
        Path(self.folder, "settings.star").write_text(
            settings_text(self.port, self.folder, proxies)
        )
        write_list(self.folder, 1, endpoints)
        self.start_process(answer_health_checks, (self.port + 3,))
        self.controller = self.start_controller()
        time.sleep(START_DELAY)

    def start_process(self, target: Any, arguments: tuple[Any, ...]) -> None:
        """Start a child process, which `stop` terminates."""
        process = multiprocessing.Process(target=target, args=arguments, daemon=True)
        process.start()
        self.processes.append(process)

    def start_controller(self) -> "subprocess.Popen[bytes]":
        """Start the controller; its log is written to the file `log` in the folder."""
        command = [sys.executable, "-m", "peatlead", "run", f"{self.folder}/settings.star"]
        with open(f"{self.folder}/log", "w") as log:
            return subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)

    def start_proxies(self) -> None:
        """Start the processes of simulated proxies."""
        controller = (LISTEN, self.port + 2)
        for first in range(CLIENT_PROCESSES):
            parent_end, child_end = multiprocessing.Pipe()
            numbers = range(first, self.proxies, CLIENT_PROCESSES)
            self.start_process(run_proxies, (numbers, controller, self.report_rate, child_end))
            self.pipes.append(parent_end)

    def ask(self, command: ProxyCommand, value: Optional[str] = None) -> list[Any]:
        """Send a command to all processes of proxies; returns one answer per proxy."""
        for pipe in self.pipes:
            pipe.send((command, value))
        return [answer for pipe in self.pipes for answer in pipe.recv()]

    def controller_cpu(self) -> float:
        """Return the CPU time that the controller has used, in seconds."""
        return cpu_seconds(self.controller.pid)

    def measure_join(self) -> dict[str, Any]:
        """Connect all proxies; returns the time, the CPU time and the memory that this took."""
        memory_before = resident_size(self.controller.pid)
        cpu_before = self.controller_cpu()
        start = time.monotonic()
        self.start_proxies()
        seconds_until_served = max(pipe.recv()[1] for pipe in self.pipes) - start
        memory_growth = resident_size(self.controller.pid) - memory_before
        return {
            "proxies": self.proxies,
            "hosts": self.endpoints,
            "reports per second": abs(self.report_rate) * self.proxies,
            "s until all are served": round(seconds_until_served, 2),
            "CPU s": round(self.controller_cpu() - cpu_before, 2),
            "KiB per proxy": round(memory_growth * 1024 / self.proxies, 1),
        }

    def measure_idle(self) -> dict[str, Any]:
        """Return the controller's CPU utilization while nothing changes."""
        time.sleep(IDLE_PERIOD)
        cpu_before = self.controller_cpu()
        self.bytes_before_withdrawal = self.ask(ProxyCommand.SIZES)
        time.sleep(IDLE_PERIOD)
        return {
            "CPU utilization when idle": round(
                (self.controller_cpu() - cpu_before) / IDLE_PERIOD, 3
            )
        }

    def measure_withdrawal(self) -> dict[str, Any]:
        """Drain endpoint 0; returns how many proxies it was withdrawn from, and the delays."""
        cpu_before = self.controller_cpu()
        drained_at = write_list(self.folder, 2, self.endpoints, (0,))
        time.sleep(3 * IDLE_PERIOD)
        withdrawal_times = self.ask(ProxyCommand.WITHDRAWN, DRAINED_ADDRESS)
        received = sum(self.ask(ProxyCommand.SIZES)) - sum(self.bytes_before_withdrawal)
        return {
            "proxies that held the endpoint": len(
                [withdrawn_at for withdrawn_at in withdrawal_times if withdrawn_at != 0.0]
            ),
            "withdrawal delay ms": delay_percentiles(
                [withdrawn_at - drained_at for withdrawn_at in withdrawal_times if withdrawn_at]
            ),
            "proxies that still hold it": sum(
                withdrawn_at is None for withdrawn_at in withdrawal_times
            ),
            "bytes per proxy": received // self.proxies,
            "CPU s of the withdrawal": round(self.controller_cpu() - cpu_before, 2),
        }

    def status(self) -> dict[str, Any]:
        """Return the load that the controller reports in its status."""
        answer: Any = asyncio.run(ask_once((LISTEN, self.port + 1), {"ask": "status"}))
        return {name: answer[name] for name in STATUS_FIELDS if name in answer}

    def stop(self) -> None:
        """End all processes."""
        for pipe in self.pipes:
            with contextlib.suppress(OSError):
                pipe.send((ProxyCommand.END, None))
        self.controller.send_signal(signal.SIGTERM)
        try:
            self.controller.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.controller.kill()
        for process in self.processes:
            process.terminate()


def measure_fleet(proxies: int, endpoints: int, rate: float) -> None:
    """Measure a fleet and print the figures as JSON."""
    fleet = LoopbackFleet(proxies, endpoints, rate)
    try:
        figures = fleet.measure_join()
        figures.update(fleet.measure_idle())
        figures.update(fleet.measure_withdrawal())
        figures["status"] = fleet.status()
        size = max(1, figures["bytes per proxy"])
        figures["baseline ms"] = measure_baseline(proxies, size)
        print(json.dumps(figures), flush=True)
    finally:
        fleet.stop()


def main() -> None:
    """Measure with the arguments of the command line."""
    rate = float(sys.argv[3]) if len(sys.argv) > 3 else 0.0
    measure_fleet(int(sys.argv[1]), int(sys.argv[2]), rate)


if __name__ == "__main__":
    main()
