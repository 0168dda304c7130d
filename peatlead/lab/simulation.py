"""Simulated time, processes and network under asyncio's own interface.

A `World` holds the time, the timers and the network; each process has a `ProcessLoop`, an asyncio event
loop to all that runs in it. Processes are killed (what they had is gone, peers see resets), frozen (the
kernel goes on taking in what comes, nothing runs) and slowed. All chance is the world's one seeded Random.

What each delivery and callback did goes into a digest (blake3): the same seed gives the same one.
"""

import asyncio
import struct
import time as real_time
from collections import deque
from random import Random

from blake3 import blake3

from .timer_wheel import HeapTimers

PACK = struct.Struct(">d").pack
set_running_loop = asyncio._set_running_loop
EPHEMERAL = 40_000
STUCK = 20.0  # seconds of CPU that one callback may take: past that it never yields, however busy the machine
CHUNK = 65_536
KERNEL = 4 << 20  # bytes that a receiver's kernel holds for a process that does not read
GONE_AFTER = 30.0  # seconds until a connection over a cut link is given up by the kernel


class SimulationStuckError(Exception):
    """A callback that never yields, by name."""


class Simulation:
    """`links`: Links; `run(seconds)` plays until then or until nothing is left to do."""

    def __init__(self, seed, timers=None, trace=False):
        self.chance, self.now, self.timers = Random(seed), 0.0, timers or HeapTimers()
        self.processes, self.links, self.wrong = {}, Links(self.chance), []
        self.listening, self.datagrams, self.port = {}, {}, EPHEMERAL
        self.digest, self.events, self.trace = blake3(), 0, [] if trace else None
        self.graveyard = []  # of killed processes: nothing of theirs may run again, not even on collection
        self.ready = (
            deque()
        )  # what is due now, in order of insertion: most of all callbacks never wait
        self.cpu = real_time.process_time()  # at the end of the last callback
        self.inside = None  # the process whose callback ran last

    def process(self, name):
        made = self.processes[name] = ProcessLoop(self, name)
        return made

    def note(self, what, *fields):
        """Into the digest, and the trace where one is kept."""
        self.events += 1
        self.digest.update(
            b"".join(
                [
                    PACK(self.now),
                    what.encode(),
                    *[one if type(one) is bytes else str(one).encode() for one in fields],
                ]
            )
        )
        if self.trace is not None:
            self.trace.append((self.now, what, *fields))

    def at(self, when, loop, call, *values):
        """`call` in a process (None: the network itself) at a time."""
        if when <= self.now:
            self.ready.append((loop, call, values))
        else:
            self.timers.push(when, (loop, call, values))

    def run(self, until):
        self.cpu = real_time.process_time()
        while not self.wrong and self.step(until):
            pass
        self.enter(None)

    def enter(self, loop):
        """What runs next runs in this process, to asyncio."""
        if loop is not self.inside:
            self.inside = loop
            set_running_loop(loop)

    def step(self, until):
        """One callback. Timers that are due stand before all that became due at this moment: they were set
        earlier, so the order is that of one queue by (time, insertion)."""
        due = self.timers.peek()
        if self.ready and (due is None or due > self.now):
            loop, call, values = self.ready.popleft()
        elif due is None or due > until:
            self.now = max(self.now, until)
            return False
        else:
            self.now, (loop, call, values) = self.timers.pop()
        if loop is None:
            call(*values)
        else:
            loop.enter(call, values)
        return True

    def free_port(self):
        self.port += 1
        return self.port

    def report(self, loop, problem, where):
        self.wrong.append((self.now, loop.name if loop else "network", where, problem))


class Links:
    """Delay, jitter, loss and cuts between addresses, by their place: `place(address)` gives a name.

    `cut` holds (from, to) pairs of places or of addresses, one way each; `slow` extra seconds for such a pair.
    """

    def __init__(self, chance):
        self.chance, self.places, self.cut, self.slow = chance, {}, set(), {}
        self.near, self.far, self.jitter, self.loss, self.swap = 0.0001, 0.001, 0.3, 0.0, 0.0

    def place(self, address):
        return self.places.get(address, address)

    def delay(self, source, target):
        """Seconds, or None over a cut link."""
        one, other = self.place(source), self.place(target)
        if self.cut and ((one, other) in self.cut or (source, target) in self.cut):
            return None
        base = self.near if one == other else self.far
        return base * (1 + self.jitter * self.chance.random()) + (
            self.slow.get((one, other), 0.0) or self.slow.get((source, target), 0.0)
        )

    def lost(self):
        return self.loss and self.chance.random() < self.loss


class Call:
    """A callback and its handle, as asyncio's own are, without their bookkeeping for debugging."""

    __slots__ = ("callback", "args", "context", "at", "__weakref__")

    def __init__(self, callback, args, context, at):
        self.callback, self.args, self.context, self.at = callback, args, context, at

    def __call__(self):
        if self.context is None:
            self.callback(*self.args)
        else:
            self.context.run(self.callback, *self.args)

    def __repr__(self):
        return f"<call of {getattr(self.callback, '__qualname__', self.callback)!r}>"

    def cancel(self):
        self.callback = self.args = self.context = None

    def cancelled(self):
        return self.callback is None

    def when(self):
        return self.at


class ProcessLoop(asyncio.AbstractEventLoop):
    """What a process has for an event loop."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.dead, self.frozen_until, self.held, self.slowness = False, 0.0, deque(), 0.0
        self.handler, self.sockets, self.servers, self.tasks = None, {}, [], []
        self.signals = {}

    # Time and calls.

    def time(self):
        return self.world.now

    def call_soon(self, callback, *args, context=None):
        handle = Call(callback, args, context, self.world.now + self.slowness)
        self.world.at(handle.at, self, handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_at(self, when, callback, *args, context=None):
        handle = Call(callback, args, context, when)
        self.world.at(when, self, handle)
        return handle

    def call_later(self, delay, callback, *args, context=None):
        return self.call_at(self.world.now + delay, callback, *args, context=context)

    def enter(self, call, values):
        """A callback, now: kept for later where the process is frozen, dropped where it is dead."""
        if self.dead:
            return
        if self.world.now < self.frozen_until:
            self.held.append((call, values))
            return
        if type(call) is Call and call.callback is None:
            return  # cancelled
        if self.world.inside is not self:
            self.world.enter(self)
        try:
            call(*values)
        except (KeyboardInterrupt, SimulationStuckError):
            raise
        except Exception as problem:
            self.world.report(self, problem, getattr(call, "__qualname__", repr(call)))
        now = real_time.process_time()
        if now - self.world.cpu > STUCK:
            self.world.report(self, SimulationStuckError(f"{call!r} did not yield"), repr(call))
        self.world.cpu = now

    # Tasks and futures.

    def create_future(self):
        return asyncio.Future(loop=self)

    def create_task(self, case, *, name=None, context=None):
        task = asyncio.Task(case, loop=self, name=name, context=context)
        self.tasks.append(task)
        if len(self.tasks) > 4096:
            self.find_lost()
            self.tasks = [one for one in self.tasks if not one.done()]
        return task

    def find_lost(self):
        """Tasks whose exception nobody took: asyncio tells of them only when they are collected."""
        for task in self.tasks:
            if not self.dead and task.done() and not task.cancelled() and task._log_traceback:
                self.world.report(self, task.exception(), f"task {task.get_name()}")

    def get_debug(self):
        return False

    def is_running(self):
        return True

    def is_closed(self):
        return self.dead

    def set_exception_handler(self, handler):
        self.handler = handler

    def call_exception_handler(self, context):
        """Found and named, never swallowed: an experiment with one of these is a find."""
        if not self.dead:
            where = f"{context.get('message')} {context.get('handle') or context.get('future')!r}"
            self.world.report(self, context.get("exception") or context.get("message"), where)

    default_exception_handler = call_exception_handler

    def add_signal_handler(self, number, callback, *args):
        self.signals[number] = callback, args

    # Befallen by.

    def kill(self):
        """Nothing of it runs again; its peers' kernels see resets, its listeners are gone."""
        self.dead = True
        for socket in list(self.sockets):
            socket.die()
        for key in [key for key, server in self.world.listening.items() if server.loop is self]:
            del self.world.listening[key]
        for task in self.tasks:
            task._log_destroy_pending = False
        self.world.graveyard.append((self.tasks, self.held, self.sockets))
        self.world.note("killed", self.name)

    def freeze(self, seconds):
        self.frozen_until = self.world.now + seconds
        self.world.note("frozen", self.name)
        self.world.at(self.frozen_until, None, self.thaw)

    def thaw(self):
        if self.dead or self.world.now < self.frozen_until:
            return
        held, self.held = self.held, deque()
        for call, values in held:
            self.world.at(self.world.now, self, call, *values)

    # The network.

    async def create_server(self, factory, host=None, port=None, backlog=100, **_):
        key = host, port or self.world.free_port()
        if key in self.world.listening:
            raise OSError(98, "Address already in use")
        made = self.world.listening[key] = Server(self, factory, key, backlog)
        return made

    async def create_connection(self, factory, host=None, port=None, local_addr=None, **_):
        local = (local_addr[0] if local_addr else "127.0.0.1"), self.world.free_port()
        answer = self.create_future()
        Dial(self, local, (host, port), answer)
        far = await answer
        protocol = factory()
        here = Socket(self, local, (host, port), protocol)
        here.join(far)
        far.open_on_accept(here)
        here.opened = True
        protocol.connection_made(here)
        here.deliver()
        return here, protocol

    async def create_datagram_endpoint(self, factory, local_addr=None, **_):
        key = local_addr[0], local_addr[1] or self.world.free_port()
        if key in self.world.datagrams:
            raise OSError(98, "Address already in use")
        protocol = factory()
        made = self.world.datagrams[key] = Datagrams(self, key, protocol)
        self.sockets[made] = True
        protocol.connection_made(made)
        return made, protocol

    async def run_in_executor(self, executor, call, *args):
        raise RuntimeError("no threads on simulated time")


class Server:
    """A listener; `sockets` for those that ask where it listens."""

    def __init__(self, loop, factory, key, backlog):
        self.loop, self.factory, self.key, self.backlog, self.waiting = (
            loop,
            factory,
            key,
            backlog,
            0,
        )
        self.sockets = [self]

    def getsockname(self):
        return self.key

    def close(self):
        self.loop.world.listening.pop(self.key, None)


class Dial:
    """A connection on its way: a round trip, then the listener's kernel takes it or refuses."""

    def __init__(self, loop, local, target, answer):
        self.loop, self.local, self.target, self.answer, self.world = (
            loop,
            local,
            target,
            answer,
            loop.world,
        )
        delay = self.world.links.delay(local[0], target[0])
        if delay is None:
            self.world.at(
                self.world.now + GONE_AFTER, loop, self.refuse, TimeoutError(110, "timed out")
            )
        else:
            self.world.at(self.world.now + delay, None, self.arrive)

    def arrive(self):
        server, world = self.world.listening.get(self.target), self.world
        back = world.links.delay(self.target[0], self.local[0])
        if back is None or server is not None and server.waiting >= server.backlog:
            # A full queue drops the first packet: the caller hears nothing and would try again.
            world.at(world.now + GONE_AFTER, self.loop, self.refuse, TimeoutError(110, "timed out"))
        elif server is None:
            world.at(
                world.now + back,
                self.loop,
                self.refuse,
                ConnectionRefusedError(111, "Connection refused"),
            )
        else:
            server.waiting += 1
            far = Socket(server.loop, self.target, self.local, None)
            far.server = server
            world.at(world.now + back, self.loop, self.take, far)

    def refuse(self, problem):
        if not self.answer.done():
            self.answer.set_exception(problem)

    def take(self, far):
        if self.answer.done():
            far.server.waiting -= 1
            far.die()
        else:
            self.answer.set_result(far)


class Socket(asyncio.Transport):
    """One end of a stream. Bytes go to the peer's kernel after the link's delay, in order; from there to the
    protocol as its process runs."""

    def __init__(self, loop, local, peer, protocol):
        super().__init__()
        self.loop, self.world, self.local, self.peer, self.protocol = (
            loop,
            loop.world,
            local,
            peer,
            protocol,
        )
        self.other, self.server, self.opened, self.closing, self.over = (
            None,
            None,
            False,
            False,
            False,
        )
        self.kernel, self.size, self.way, self.free_at, self.scheduled = deque(), 0, 0, 0.0, False
        self.out, self.waits, self.label = deque(), 0, f"{local}{peer}".encode()
        loop.sockets[self] = True

    def join(self, other):
        self.other, other.other = other, self

    def open_on_accept(self, here):
        self.world.at(self.world.now, self.loop, self.accept)

    def accept(self):
        self.server.waiting -= 1
        if self.over:
            return
        self.protocol, self.opened = self.server.factory(), True
        self.protocol.connection_made(self)
        self.deliver()

    # The transport's side.

    def get_extra_info(self, name, default=None):
        return {"peername": self.peer, "sockname": self.local}.get(name, default)

    def is_closing(self):
        return self.closing or self.over

    def get_write_buffer_size(self):
        return self.waits

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def write(self, data):
        if self.closing or self.over or self.loop.dead or not data:
            return
        self.out.append(bytes(data))
        self.waits += len(data)
        self.push()

    def push(self):
        """As much as the peer's kernel has room for."""
        while self.out and self.other is not None and self.other.size + self.way < KERNEL:
            data = self.out.popleft()
            self.waits -= len(data)
            self.way += len(data)
            self.send_kernel(("data", data))
        if not self.out and self.closing and not self.over:
            self.send_kernel(("eof", b""))
            self.end(None)

    def send_kernel(self, what):
        delay = self.world.links.delay(self.local[0], self.peer[0])
        if delay is None:  # the kernel tries again until it gives up
            self.world.at(self.world.now + 0.2, None, self.retry, what, self.world.now + GONE_AFTER)
            return
        self.free_at = max(self.world.now + delay, self.free_at)  # in order, whatever the jitter
        self.world.at(self.free_at, None, self.other.arrive, what)

    def retry(self, what, until):
        if (
            self.world.links.delay(self.local[0], self.peer[0]) is not None
            or self.world.now >= until
        ):
            self.send_kernel(what) if self.world.now < until else self.world.at(
                self.world.now, self.loop, self.lose, TimeoutError(110, "timed out")
            )
        else:
            self.world.at(self.world.now + 0.2, None, self.retry, what, until)

    def close(self):
        if not self.closing and not self.over:
            self.closing = True
            self.push()

    def abort(self):
        if not self.over:
            self.closing = True
            self.out.clear()
            self.waits = 0
            if self.other is not None:
                self.send_kernel(("reset", b""))
            self.end(None)

    def die(self):
        """Its process is gone: the kernel resets what it had."""
        if not self.over:
            self.over = True
            if self.other is not None:
                self.send_kernel(("reset", b""))

    def end(self, problem):
        if not self.over:
            self.over = True
            self.world.at(self.world.now, self.loop, self.lost, problem)

    def lose(self, problem):
        self.end(problem)

    def lost(self, problem):
        self.loop.sockets.pop(self, None)
        if self.protocol is not None and self.opened:
            self.protocol.connection_lost(problem)

    # The kernel's side.

    def arrive(self, what):
        if self.over:
            if what[0] == "data" and self.other is not None and not self.other.over:
                self.other.way -= len(what[1])
                self.send_kernel(("reset", b""))
            return
        if what[0] == "data":
            self.other.way -= len(what[1])
            self.size += len(what[1])
        self.kernel.append(what)
        if not self.scheduled and self.opened:
            self.scheduled = True
            self.loop.enter(self.deliver, ())

    def deliver(self):
        self.scheduled = False
        while self.kernel and not self.over and self.opened:
            kind, data = self.kernel.popleft()
            if kind == "data":
                self.size -= len(data)
                self.world.note("stream", self.label, data)
                self.feed(data)
                if self.other is not None and self.other.out:
                    self.other.push()
            elif kind == "eof":
                if not self.protocol.eof_received():
                    self.close()
            else:
                self.end(ConnectionResetError(104, "reset by peer"))

    def feed(self, data):
        room = self.protocol.get_buffer(-1)
        if len(data) <= min(len(room), CHUNK):
            room[: len(data)] = data
            self.protocol.buffer_updated(len(data))
            return
        view = memoryview(data)
        while len(view) and not self.over:
            room = self.protocol.get_buffer(-1)
            some = min(len(room), len(view), CHUNK)
            room[:some] = view[:some]
            view = view[some:]
            self.protocol.buffer_updated(some)


class Datagrams(asyncio.DatagramTransport):
    def __init__(self, loop, key, protocol):
        super().__init__()
        self.loop, self.world, self.key, self.protocol, self.over = (
            loop,
            loop.world,
            key,
            protocol,
            False,
        )

    def get_extra_info(self, name, default=None):
        return self.key if name == "sockname" else default

    def is_closing(self):
        return self.over

    def sendto(self, data, address=None):
        if self.over or self.loop.dead:
            return
        links = self.world.links
        delay = links.delay(self.key[0], address[0])
        if delay is None or links.lost():
            return
        if links.swap and self.world.chance.random() < links.swap:
            delay *= 1 + 10 * self.world.chance.random()
        self.world.at(self.world.now + delay, None, self.arrive, bytes(data), address)

    def arrive(self, data, address):
        target = self.world.datagrams.get(address)
        if target is not None and not target.over:
            target.loop.enter(target.take, (data, self.key))

    def take(self, data, source):
        if not self.over:
            self.world.note("datagram", source, self.key, data)
            self.protocol.datagram_received(data, source)

    def close(self):
        self.die()
        self.world.at(self.world.now, self.loop, self.protocol.connection_lost, None)

    abort = close

    def die(self):
        self.over = True
        self.world.datagrams.pop(self.key, None)


def play(world, loop, case, until):
    """Runs a coroutine in a process until it is done. Raises what it raised, or what went wrong meanwhile."""
    world.cpu = real_time.process_time()
    world.enter(loop)
    try:
        task = loop.create_task(case)
        while not task.done() and not world.wrong and world.step(until):
            pass
    finally:
        world.enter(None)
    for process in world.processes.values():
        process.find_lost()
    if world.wrong:
        now, name, where, problem = world.wrong[0]
        raise RuntimeError(f"at {now:.3f} s in {name}: {problem!r} ({where})") from (
            problem if isinstance(problem, BaseException) else None
        )
    if not task.done():
        raise TimeoutError(f"not done after {until} simulated seconds")
    return task.result()
