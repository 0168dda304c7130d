"""A simulated process: an asyncio event loop on simulated time.

Processes are killed (what they had is gone, peers see resets) and frozen (the kernel still
receives, nothing runs).
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import TYPE_CHECKING, Any, TypeVar

from .datagrams import DatagramTransport
from .errors import SimulationStuckError
from .streams import ConnectionAttempt, Listener, StreamTransport

if TYPE_CHECKING:
    from .simulation import Simulation

MAX_CALLBACK_CPU = (
    20.0  # seconds of CPU; a callback above that never yields, however busy the machine
)
MAX_TASKS = 4096  # tasks kept until those that are done are dropped
LOOPBACK = "127.0.0.1"

Result = TypeVar("Result")
Callback = Callable[..., object]


class ScheduledCall:
    """A callback and its handle, like asyncio's handles without their debugging state."""

    __slots__ = ("callback", "args", "context", "at", "__weakref__")

    def __init__(
        self,
        callback: Callback | None,
        args: tuple[Any, ...] | None,
        context: Context | None,
        at: float,
    ) -> None:
        self.callback = callback  # None once cancelled
        self.args = args
        self.context = context
        self.at = at  # simulated seconds

    def __call__(self) -> None:
        """Run the callback, which was not cancelled."""
        assert self.callback is not None and self.args is not None
        if self.context is None:
            self.callback(*self.args)
        else:
            self.context.run(self.callback, *self.args)

    def __repr__(self) -> str:
        return f"<call of {getattr(self.callback, '__qualname__', self.callback)!r}>"

    def cancel(self) -> None:
        """Never run the callback, and let go of what it holds."""
        self.callback = None
        self.args = None
        self.context = None

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self.callback is None

    def when(self) -> float:
        """The loop time at which it is due."""
        return self.at


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one simulated process."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.dead = False
        self.frozen_until = 0.0  # simulated seconds
        self.held_calls: deque[tuple[Callback, tuple[Any, ...]]] = deque()  # while frozen
        self.slowness = 0.0  # seconds by which each callback is late
        # Ordered, as the order of their resets is that of a killed process's connections.
        self.transports: dict[StreamTransport | DatagramTransport, bool] = {}
        self.tasks: list[asyncio.Task[Any]] = []

    # Time and callbacks. The handles aren't subclasses of asyncio's, which are slower to create.

    def time(self) -> float:
        """Simulated seconds."""
        return self.simulation.now

    def call_soon(  # type: ignore[override]
        self, callback: Callback, *args: Any, context: Context | None = None
    ) -> ScheduledCall:
        """See asyncio."""
        handle = ScheduledCall(callback, args, context, self.simulation.now + self.slowness)
        self.simulation.schedule(handle.at, self, handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callback, *args: Any, context: Context | None = None
    ) -> ScheduledCall:
        """See asyncio."""
        handle = ScheduledCall(callback, args, context, when)
        self.simulation.schedule(when, self, handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callback, *args: Any, context: Context | None = None
    ) -> ScheduledCall:
        """See asyncio."""
        return self.call_at(self.simulation.now + delay, callback, *args, context=context)

    def run_callback(self, call: Callback, values: tuple[Any, ...]) -> None:
        """Run a callback now; hold it back while the process is frozen, drop it if it is dead."""
        simulation = self.simulation
        if self.dead:
            return
        if simulation.now < self.frozen_until:
            self.held_calls.append((call, values))
            return
        if type(call) is ScheduledCall and call.callback is None:
            return  # cancelled
        if simulation.running is not self:
            simulation.switch_to(self)
        try:
            call(*values)
        except Exception as error:
            simulation.report_failure(self, error, getattr(call, "__qualname__", repr(call)))
        cpu_time = time.process_time()
        if cpu_time - simulation.cpu_time > MAX_CALLBACK_CPU:
            stuck = SimulationStuckError(f"{call!r} did not yield")
            simulation.report_failure(self, stuck, repr(call))
        simulation.cpu_time = cpu_time

    # Tasks and futures.

    def create_future(self) -> asyncio.Future[Any]:
        """See asyncio."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self,
        coro: Coroutine[Any, Any, Result],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Result]:
        """See asyncio."""
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        self.tasks.append(task)
        if len(self.tasks) > MAX_TASKS:
            self.report_unretrieved_exceptions()
            self.tasks = [task for task in self.tasks if not task.done()]
        return task

    def report_unretrieved_exceptions(self) -> None:
        """Report the tasks whose exception nobody retrieved.

        asyncio reports them only when they are collected.
        """
        for task in self.tasks:
            if not self.dead and task.done() and not task.cancelled() and task._log_traceback:
                self.simulation.report_failure(self, task.exception(), f"task {task.get_name()}")

    # What asyncio and libraries ask of a loop.

    def get_debug(self) -> bool:
        """False: no debug mode."""
        return False

    def is_running(self) -> bool:
        """Always true: the simulation runs it."""
        return True

    def is_closed(self) -> bool:
        """Whether the process was killed."""
        return self.dead

    def set_exception_handler(self, handler: Any) -> None:
        """Ignored: unhandled exceptions are failures of the simulation."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Report an exception that nothing handled as a failure; it is never only logged."""
        if not self.dead:
            where = f"{context.get('message')} {context.get('handle') or context.get('future')!r}"
            problem = context.get("exception") or context.get("message")
            self.simulation.report_failure(self, problem, where)

    default_exception_handler = call_exception_handler

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callback, *args: Any
    ) -> None:
        """Ignored: simulated processes get no signals."""

    # Faults.

    def kill(self) -> None:
        """End the process at once: its peers see resets, its listeners are gone."""
        simulation = self.simulation
        self.dead = True
        for transport in list(self.transports):
            transport.kill()
        for address, listener in list(simulation.listeners.items()):
            if listener.loop is self:
                del simulation.listeners[address]
        for task in self.tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        simulation.killed_state.append((self.tasks, self.held_calls, self.transports))
        simulation.record("killed", self.name)

    def freeze(self, seconds: float) -> None:
        """Run nothing for some seconds; what comes meanwhile runs after that."""
        self.frozen_until = self.simulation.now + seconds
        self.simulation.record("frozen", self.name)
        self.simulation.schedule(self.frozen_until, None, self._thaw)

    def resume(self) -> None:
        """End a freeze now."""
        self.frozen_until = self.simulation.now
        self._thaw()

    def _thaw(self) -> None:
        if self.dead or self.simulation.now < self.frozen_until:
            return
        calls = self.held_calls
        self.held_calls = deque()
        for call, values in calls:
            self.simulation.schedule(self.simulation.now, self, call, *values)

    # The network. Options that have no meaning here are ignored.

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str,
        port: int | None = None,
        backlog: int = 100,
        **_: Any,
    ) -> Listener:
        """See asyncio."""
        address = host, port or self.simulation.free_port()
        if address in self.simulation.listeners:
            raise OSError(98, "Address already in use")
        listener = Listener(self, protocol_factory, address, backlog)
        self.simulation.listeners[address] = listener
        return listener

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str,
        port: int,
        local_addr: tuple[str, int] | None = None,
        **_: Any,
    ) -> tuple[StreamTransport, Any]:
        """See asyncio."""
        local = (local_addr[0] if local_addr else LOOPBACK), self.simulation.free_port()
        connected: asyncio.Future[StreamTransport] = self.create_future()
        ConnectionAttempt(self, local, (host, port), connected)
        remote_end = await connected
        protocol = protocol_factory()
        transport = StreamTransport(self, local, (host, port))
        transport.open_with(protocol, remote_end)
        return transport, protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: tuple[str, int], **_: Any
    ) -> tuple[DatagramTransport, Any]:
        """See asyncio."""
        address = local_addr[0], local_addr[1] or self.simulation.free_port()
        if address in self.simulation.datagram_endpoints:
            raise OSError(98, "Address already in use")
        protocol = protocol_factory()
        transport = DatagramTransport(self, address, protocol)
        self.simulation.datagram_endpoints[address] = transport
        self.transports[transport] = True
        protocol.connection_made(transport)
        return transport, protocol

    async def run_in_executor(self, executor: Any, func: Callback, *args: Any) -> Any:  # type: ignore[override]
        """Raise RuntimeError: threads would not be reproducible."""
        raise RuntimeError("no threads on simulated time")
