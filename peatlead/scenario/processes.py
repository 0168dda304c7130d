"""Starts and stops the processes of a day: stand-ins and controllers, each with a log file."""

import signal
import subprocess
import sys
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any, Protocol

STOP_TIMEOUT = 5.0  # seconds from SIGTERM until SIGKILL

Address = tuple[str, int]


class StandIn(StrEnum):
    """Kinds of stand-in process; the values are arguments of `peatlead.standin.process`."""

    ENDPOINTS = "hosts"
    DNS_CLIENTS = "desks"
    PROXIES = "agents"


STANDIN_NETWORKS: dict[str, int] = {  # third byte of the address, also used in the seed
    StandIn.ENDPOINTS: 1,
    StandIn.DNS_CLIENTS: 2,
    StandIn.PROXIES: 3,
}


class ChildProcess(Protocol):
    """The part of the interface of `subprocess.Popen` that a day uses."""

    @property
    def args(self) -> Any:
        """Return the command line."""

    def poll(self) -> int | None:
        """Return the exit code, None while the process runs."""

    def wait(self, timeout: float | None = None) -> int:
        """Wait for the end of the process. Raises subprocess.TimeoutExpired."""

    def send_signal(self, sig: int, /) -> None:
        """Send a signal."""

    def terminate(self) -> None:
        """Send SIGTERM."""

    def kill(self) -> None:
        """Send SIGKILL."""


def start_standin(
    kind: str, address: Address, seed: int, folder: Path, name: str
) -> "subprocess.Popen[bytes]":
    """Start a stand-in that receives commands at an address and records into the folder."""
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
    """Start a controller whose settings and state are in the folder."""
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
    """End all processes, after resuming controllers, which may be frozen."""
    controllers = list(controllers)
    for controller in controllers:
        controller.send_signal(signal.SIGCONT)
    processes = [*children, *controllers]
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
