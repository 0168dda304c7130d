"""Simulated time, processes and network under asyncio's own interface.

A `Simulation` holds the time, the timers and the network. Each simulated process has a
`ProcessLoop`, which is the asyncio event loop of the code that runs in it. All random numbers of
the simulation come from one seeded generator.

Deliveries, decisions and faults are added to a digest (BLAKE3). Runs with the same seed have the
same digest.
"""

import asyncio
import struct
import time
from collections import deque
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, NamedTuple, TypeVar

from blake3 import blake3

from .datagrams import DatagramTransport
from .errors import ProcessFailedError, SimulationError, SimulationStuckError
from .links import Links
from .process_loop import ProcessLoop
from .streams import Address, Listener, StreamTransport
from .timer_wheel import HeapTimers, TimerQueue

__all__ = [
    "DatagramTransport",
    "Failure",
    "Links",
    "Listener",
    "ProcessFailedError",
    "ProcessLoop",
    "Simulation",
    "SimulationError",
    "SimulationStuckError",
    "StreamTransport",
    "play",
]

FIRST_EPHEMERAL_PORT = 40_001

pack_time = struct.Struct(">d").pack
set_running_loop = asyncio._set_running_loop

Result = TypeVar("Result")
# The process of a callback (None for the network), the callback, and its arguments.
PendingCall = tuple[ProcessLoop | None, Callable[..., object], tuple[Any, ...]]


class Failure(NamedTuple):
    """An unhandled exception, or a message to asyncio's exception handler."""

    time: float  # simulated seconds
    process: str
    where: str
    problem: object  # the exception, or the message

    def describe(self) -> str:
        """Return a description in one line."""
        return f"at {self.time:.3f} s in {self.process}: {self.problem!r} ({self.where})"


class Simulation:
    """The time, timers, processes and network of a simulated system.

    With `trace`, the events of the digest are also stored as tuples, for comparing two runs.
    """

    def __init__(
        self, seed: int, timers: TimerQueue[PendingCall] | None = None, trace: bool = False
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0  # simulated seconds
        self.timers = timers or HeapTimers[PendingCall]()
        # Callbacks that are due now, in order of insertion; most callbacks are due at once.
        self.ready: deque[PendingCall] = deque()
        self.links = Links(self.rng)
        self.processes: dict[str, ProcessLoop] = {}
        self.running: ProcessLoop | None = None  # the process whose callback ran last
        self.listeners: dict[Address, Listener] = {}
        self.datagram_endpoints: dict[Address, DatagramTransport] = {}
        self.next_port = FIRST_EPHEMERAL_PORT
        self.failures: list[Failure] = []
        self.digest = blake3()
        self.event_count = 0  # number of events in the digest
        self.trace: list[tuple[Any, ...]] | None = [] if trace else None
        # Keeps objects of killed processes alive, so that their deletion runs no code.
        self.killed_state: list[tuple[Any, ...]] = []
        # CPU seconds of this program at the end of the last callback.
        self.cpu_time = time.process_time()

    def add_process(self, name: str) -> ProcessLoop:
        """Add a process and return its event loop."""
        process = ProcessLoop(self, name)  # type: ignore[abstract]  # no threads, pipes etc.
        self.processes[name] = process
        return process

    def record(self, event: str, *fields: object) -> None:
        """Add an event to the digest, and to the trace if there is one."""
        self.event_count += 1
        parts = [pack_time(self.now), event.encode()]
        parts += [field if type(field) is bytes else str(field).encode() for field in fields]
        self.digest.update(b"".join(parts))
        if self.trace is not None:
            self.trace.append((self.now, event, *fields))

    def schedule(
        self, when: float, loop: ProcessLoop | None, call: Callable[..., object], *arguments: Any
    ) -> None:
        """Schedule a callback of a process (None for the network) at a simulated time."""
        if when <= self.now:
            self.ready.append((loop, call, arguments))
        else:
            self.timers.push(when, (loop, call, arguments))

    at = schedule  # another name, which tests/compatibility uses

    def switch_to(self, loop: ProcessLoop | None) -> None:
        """Make a process's loop the running event loop of asyncio."""
        if loop is not self.running:
            self.running = loop
            set_running_loop(loop)

    def step(self, end_time: float) -> bool:
        """Run one callback. Returns False if no callback is due until `end_time`.

        Timers that are due run before the callbacks in `ready`, because they were inserted earlier.
        The order is therefore that of a single queue ordered by (time, insertion).
        """
        next_due = self.timers.peek()
        if self.ready and (next_due is None or next_due > self.now):
            loop, call, arguments = self.ready.popleft()
        elif next_due is None or next_due > end_time:
            self.now = max(self.now, end_time)
            return False
        else:
            earliest = self.timers.pop()
            assert earliest is not None  # peek() returned a time
            self.now, (loop, call, arguments) = earliest
        if loop is None:
            call(*arguments)
        else:
            loop.run_callback(call, arguments)
        return True

    def free_port(self) -> int:
        """Return a port that no process has used."""
        port = self.next_port
        self.next_port += 1
        return port

    def report_failure(self, loop: ProcessLoop | None, problem: object, where: str) -> None:
        """Store a failure of a process. The simulation ends after the first failure."""
        process = loop.name if loop else "network"
        self.failures.append(Failure(self.now, process, where, problem))


def play(
    simulation: Simulation, loop: ProcessLoop, main: Coroutine[Any, Any, Result], end_time: float
) -> Result:
    """Run a coroutine in a process until it is done, and return its result.

    Raises the coroutine's own exception, ProcessFailedError if any process failed, or TimeoutError
    if the coroutine is not done at the simulated time `end_time`.
    """
    simulation.cpu_time = time.process_time()
    simulation.switch_to(loop)
    try:
        task = loop.create_task(main)
        while not task.done() and not simulation.failures and simulation.step(end_time):
            pass
    finally:
        simulation.switch_to(None)
    for process in simulation.processes.values():
        process.report_unretrieved_exceptions()
    if simulation.failures:
        failure = simulation.failures[0]
        cause = failure.problem if isinstance(failure.problem, BaseException) else None
        raise ProcessFailedError(failure.describe()) from cause
    if not task.done():
        raise TimeoutError(f"not done after {end_time} simulated seconds")
    return task.result()
