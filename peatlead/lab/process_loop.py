"""A simulated process: an asyncio event loop on simulated time.

A process can be killed: its sockets are closed and its peers see connection resets. A process can
also be frozen: it runs no callbacks, but its sockets still receive.
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

MAX_CALLBACK_CPU = 20.0  # CPU seconds, above which a callback is considered an endless loop
MAX_TASKS = 4096  # stored tasks, above which finished ones are removed
LOOPBACK = "127.0.0.1"

Result = TypeVar("Result")
Callback = Callable[..., object]


class ScheduledCall:
    """A callback and its handle: asyncio.TimerHandle without support for debugging."""

    __slots__ = ("callback", "args", "context", "at", "__weakref__")

    def __init__(
        self,
        callback: Callback | None,
        args: tuple[Any, ...] | None,
        context: Context | None,
        at: float,
    ) -> None:
        self.callback = callback  # None after cancel()
        self.args = args
        self.context = context
        self.at = at  # simulated seconds

    def __call__(self) -> None:
        """Run the callback, which must not be cancelled."""
        assert self.callback is not None and self.args is not None
        if self.context is None:
            self.callback(*self.args)
        else:
            self.context.run(self.callback, *self.args)

    def __repr__(self) -> str:
        return f"<call of {getattr(self.callback, '__qualname__', self.callback)!r}>"

    def cancel(self) -> None:
        """Cancel the call and release the callback and its arguments."""
        self.callback = None
        self.args = None
        self.context = None

    def cancelled(self) -> bool:
        """Return whether the call was cancelled."""
        return self.callback is None

    def when(self) -> float:
        """Return the loop time at which the call is due."""
        return self.at


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one simulated process."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.dead = False
        self.frozen_until = 0.0  # simulated seconds
        # Callbacks that became due while the process was frozen.
        self.held_calls: deque[tuple[Callback, tuple[Any, ...]]] = deque()
        self.call_soon_delay = 0.0  # seconds
        # A dict keeps the order of creation, in which kill() resets the connections.
        self.transports: dict[StreamTransport | DatagramTransport, bool] = {}
        self.tasks: list[asyncio.Task[Any]] = []

    # Time and callbacks. Handles are not subclasses of asyncio's, which are slower to create.

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.simulation.now

    def call_soon(  # type: ignore[override]
        self, callback: Callback, *args: Any, context: Context | None = None
    ) -> ScheduledCall:
        """See asyncio."""
        handle = ScheduledCall(callback, args, context, self.simulation.now + self.call_soon_delay)
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

    def run_callback(self, call: Callback, arguments: tuple[Any, ...]) -> None:
        """Run a callback now, or hold it while the process is frozen; drop it if it is dead."""
        simulation = self.simulation
        if self.dead:
            return
        if simulation.now < self.frozen_until:
            self.held_calls.append((call, arguments))
            return
        if type(call) is ScheduledCall and call.callback is None:
            return  # cancelled
        if simulation.running is not self:
            simulation.switch_to(self)
        try:
            call(*arguments)
        except Exception as error:
            simulation.report_failure(self, error, getattr(call, "__qualname__", repr(call)))
        cpu_time = time.process_time()
        if cpu_time - simulation.cpu_time > MAX_CALLBACK_CPU:
            stuck = SimulationStuckError(
                f"{call!r} did not yield within {MAX_CALLBACK_CPU:g} CPU seconds"
            )
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
        """Report tasks whose exceptions were not retrieved as failures of the simulation.

        asyncio reports such a task only when the garbage collector deletes it.
        """
        for task in self.tasks:
            if not self.dead and task.done() and not task.cancelled() and task._log_traceback:
                self.simulation.report_failure(self, task.exception(), f"task {task.get_name()}")

    # Methods of event loops that asyncio and libraries call.

    def get_debug(self) -> bool:
        """Return False: there is no debug mode."""
        return False

    def is_running(self) -> bool:
        """Return True: the simulation always runs the loop."""
        return True

    def is_closed(self) -> bool:
        """Return whether the process was killed."""
        return self.dead

    def set_exception_handler(self, handler: Any) -> None:
        """Do nothing: unhandled exceptions are failures of the simulation."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Report an unhandled exception as a failure of the simulation."""
        if not self.dead:
            where = f"{context.get('message')} {context.get('handle') or context.get('future')!r}"
            problem = context.get("exception") or context.get("message")
            self.simulation.report_failure(self, problem, where)

    default_exception_handler = call_exception_handler

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callback, *args: Any
    ) -> None:
        """Do nothing: simulated processes receive no signals."""

    # Faults.

    def kill(self) -> None:
        """End the process at once: reset its connections and close its listeners."""
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
        """Run no callbacks for some seconds; callbacks that become due run afterwards."""
        self.frozen_until = self.simulation.now + seconds
        self.simulation.record("frozen", self.name)
        self.simulation.schedule(self.frozen_until, None, self._run_held_calls)

    def resume(self) -> None:
        """End a freeze at once."""
        self.frozen_until = self.simulation.now
        self._run_held_calls()

    def _run_held_calls(self) -> None:
        """Schedule the callbacks that became due during a freeze, unless it was prolonged."""
        if self.dead or self.simulation.now < self.frozen_until:
            return
        calls = self.held_calls
        self.held_calls = deque()
        for call, arguments in calls:
            self.simulation.schedule(self.simulation.now, self, call, *arguments)

    # The network. Options that the simulation does not support are ignored.

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
        """Raise RuntimeError: the execution of threads is not reproducible."""
        raise RuntimeError("threads are not available on simulated time")
