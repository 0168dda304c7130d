"""The processes of a day: stand-ins and controllers, each with a log file of its own."""

import signal
import subprocess
import sys
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any, Protocol

STOP_DEADLINE = 5.0  # seconds until a process that was asked to end is killed

Address = tuple[str, int]


class StandIn(StrEnum):
    """Kinds of stand-in process, as `peatlead.standin.process` calls them."""

    ENDPOINTS = "hosts"
    DNS_CLIENTS = "desks"
    PROXIES = "agents"


STANDIN_NETWORKS: dict[str, int] = {  # third part of 127.2.x.y; seeds differ by it too
    StandIn.ENDPOINTS: 1,
    StandIn.DNS_CLIENTS: 2,
    StandIn.PROXIES: 3,
}


class ChildProcess(Protocol):
    """What a day needs of `subprocess.Popen`."""

    @property
    def args(self) -> Any:
        """The command line."""

    def poll(self) -> int | None:
        """The exit code of a process that has ended."""

    def wait(self, timeout: float | None = None) -> int:
        """Wait for the end. Raises subprocess.TimeoutExpired."""

    def send_signal(self, sig: int, /) -> None:
        """Send a signal."""

    def terminate(self) -> None:
        """Ask the process to end."""

    def kill(self) -> None:
        """End the process."""


def start_standin(
    kind: str, address: Address, seed: int, folder: Path, name: str
) -> "subprocess.Popen[bytes]":
    """Start a stand-in that takes commands at an address; its recording goes into the folder."""
    command = [
        sys.executable,
        "-m",
        "peatlead.standin.process",
        kind,
        address[0],
        str(address[1]),
        str(seed),
        str(folder / f"{name}.rec"),
    ]
    with open(folder / f"{name}.log", "wb") as log:
        return subprocess.Popen(command, stdout=log, stderr=log)


def start_controller(folder: Path, name: str, planner: str) -> "subprocess.Popen[bytes]":
    """Start a controller with the settings and the state in the folder."""
    command = [
        sys.executable,
        "-m",
        "peatlead",
        "run",
        str(folder / "settings.star"),
        "--name",
        name,
        "--state",
        str(folder / "state"),
        "--planner",
        planner,
    ]
    with open(folder / f"{name}.log", "ab") as log:
        return subprocess.Popen(command, stdout=log, stderr=log)


def stop_all(children: Iterable[ChildProcess], controllers: Iterable[ChildProcess]) -> None:
    """End all processes; a controller may be frozen."""
    controllers = list(controllers)
    for controller in controllers:
        controller.send_signal(signal.SIGCONT)
    processes = [*children, *controllers]
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            process.wait(STOP_DEADLINE)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
