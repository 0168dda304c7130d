"""Simulated time, processes and network under asyncio's own interface.

A `Simulation` holds the time, the timers and the network; each process has a `ProcessLoop`, an
asyncio event loop to all that runs in it. All randomness is the simulation's one seeded generator.

What each delivery and decision did goes into a digest (BLAKE3): one seed gives one digest.
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
# The process of a callback (None: the network itself), the callback, and its arguments.
PendingCall = tuple[ProcessLoop | None, Callable[..., object], tuple[Any, ...]]


class Failure(NamedTuple):
    """An exception that nothing handled, or a report of asyncio's exception handler."""

    time: float  # simulated seconds
    process: str
    where: str
    problem: object  # the exception, or asyncio's text

    def describe(self) -> str:
        """One line with all of it."""
        return f"at {self.time:.3f} s in {self.process}: {self.problem!r} ({self.where})"


class Simulation:
    """The time, the timers, the processes and the network of one simulated system.

    `trace` keeps what goes into the digest as tuples, for searching a difference.
    """

    def __init__(
        self, seed: int, timers: TimerQueue[PendingCall] | None = None, trace: bool = False
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0  # simulated seconds
        self.timers = timers or HeapTimers[PendingCall]()
        # What is due now, in order of insertion: most callbacks never wait.
        self.ready: deque[PendingCall] = deque()
        self.links = Links(self.rng)
        self.processes: dict[str, ProcessLoop] = {}
        self.running: ProcessLoop | None = None  # the process whose callback ran last
        self.listeners: dict[Address, Listener] = {}
        self.datagram_endpoints: dict[Address, DatagramTransport] = {}
        self.next_port = FIRST_EPHEMERAL_PORT
        self.failures: list[Failure] = []
        self.digest = blake3()
        self.events = 0  # that went into the digest
        self.trace: list[tuple[Any, ...]] | None = [] if trace else None
        # State of killed processes: nothing of theirs may run again, not even on collection.
        self.killed_state: list[tuple[Any, ...]] = []
        self.cpu_time = time.process_time()  # at the end of the last callback

    def process(self, name: str) -> ProcessLoop:
        """Add a process."""
        process = ProcessLoop(self, name)  # type: ignore[abstract]  # threads, pipes etc. have no use here
        self.processes[name] = process
        return process

    def record(self, event: str, *fields: object) -> None:
        """Add an event to the digest, and to the trace where one is kept."""
        self.events += 1
        parts = [pack_time(self.now), event.encode()]
        parts += [field if type(field) is bytes else str(field).encode() for field in fields]
        self.digest.update(b"".join(parts))
        if self.trace is not None:
            self.trace.append((self.now, event, *fields))

    def schedule(
        self, when: float, loop: ProcessLoop | None, call: Callable[..., object], *values: Any
    ) -> None:
        """Run a callback in a process (None: in the network itself) at a simulated time."""
        if when <= self.now:
            self.ready.append((loop, call, values))
        else:
            self.timers.push(when, (loop, call, values))

    at = schedule  # former name, which tests/compatibility uses

    def switch_to(self, loop: ProcessLoop | None) -> None:
        """Make a process's loop the running one to asyncio."""
        if loop is not self.running:
            self.running = loop
            set_running_loop(loop)

    def step(self, until: float) -> bool:
        """Run one callback; return False where none is due by `until`.

        Timers that are due run before all that became due at this moment: they were set earlier, so
        the order is that of one queue by (time, insertion).
        """
        due = self.timers.peek()
        if self.ready and (due is None or due > self.now):
            loop, call, values = self.ready.popleft()
        elif due is None or due > until:
            self.now = max(self.now, until)
            return False
        else:
            earliest = self.timers.pop()
            assert earliest is not None  # peek() has found one
            self.now, (loop, call, values) = earliest
        if loop is None:
            call(*values)
        else:
            loop.run_callback(call, values)
        return True

    def free_port(self) -> int:
        """A port that no process has been given yet."""
        port = self.next_port
        self.next_port += 1
        return port

    def report_failure(self, loop: ProcessLoop | None, problem: object, where: str) -> None:
        """Record a failure of a process; the simulation ends with the first one."""
        process = loop.name if loop else "network"
        self.failures.append(Failure(self.now, process, where, problem))


def play(
    simulation: Simulation, loop: ProcessLoop, main: Coroutine[Any, Any, Result], until: float
) -> Result:
    """Run a coroutine in a process until it is done, and return its result.

    Raises what it raised, ProcessFailedError where any process failed meanwhile, or TimeoutError
    where it isn't done at the simulated time `until`.
    """
    simulation.cpu_time = time.process_time()
    simulation.switch_to(loop)
    try:
        task = loop.create_task(main)
        while not task.done() and not simulation.failures and simulation.step(until):
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
        raise TimeoutError(f"not done after {until} simulated seconds")
    return task.result()
