"""Stand-ins for the platform of one small deployment: discovery, hosts, proxies and collectors.

They follow `PROTOCOL.md` and `DEPLOY.md`, use the standard library alone and speak on loopback
addresses. Controllers are started by the `run` line of `deploy/balancer.toml`, each as a process of
its own. Everything that was sent, answered and run is written to `record.txt`.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections import deque
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Optional

ROOT = Path(__file__).resolve().parents[2]
Entry = dict[str, Any]  # one entry of discovery's list
READY_TIMEOUT = 30.0  # seconds, as the pages allow a controller
ACTIVE = "active"
BROKEN = 10  # exit code of a case that saw the rule broken; errors of the interpreter give 1
STEP = 0.1  # seconds between two rounds of requests
SLACK = 0.3  # seconds that the pages add to the time limits of the rules


def free_port(hosts: list[str]) -> int:
    """Return a port that is free on all of the addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port: int = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as other:
                    other.bind((host, port))
        except OSError:
            continue
        return port


class Record:
    """The file in which a case writes what happened, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w")

    def __call__(self, what: str, **fields: Any) -> None:
        """Write one line."""
        at = time.monotonic() - self.started
        self.file.write(f"{at:8.3f} {what} {json.dumps(fields)}\n")
        self.file.flush()


class Discovery:
    """The agent on one controller's machine: answers watches at once with what it was sent."""

    def __init__(self, record: Record, controller: str) -> None:
        self.record = record
        self.controller = controller
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed: dict[str, int] = {}
        self.told: dict[tuple[str, str], float] = {}  # by host and lifecycle: first told, monotonic
        self.had: dict[str, Entry] = {}  # entries as last told
        self.gone_at: dict[str, float] = {}  # hosts told to drain or to have left: when, monotonic
        self.news = asyncio.Event()
        self.closed = False
        self.server: Optional[asyncio.Server] = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self.serve, host, port)

    def update(self, entries: list[Entry]) -> None:
        """Change entries of the list in one new version."""
        self.version += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed[entry["instanceId"]] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> Entry:
        """Return the whole list in discovery's form; hosts that left are not in it."""
        listed = [e for e in self.entries.values() if e["lifecycle"] != "left"]
        return {"generation": self.version, "reset": True, "instances": listed}

    def last_told(self) -> Entry:
        """Return the list as the controller last had it: all that it was told."""
        listed = [entry for entry in self.had.values() if entry["lifecycle"] != "left"]
        return {"generation": self.version, "reset": True, "instances": listed}

    async def answer(self, target: str) -> Entry:
        """Return the answer to a call, which may have to wait."""
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if "after" not in query:
            return self.whole()
        after, wait = int(query["after"]), int(query.get("wait_ms", 0)) / 1000
        deadline = time.monotonic() + min(60.0, wait)
        while self.version <= after and time.monotonic() < deadline and not self.closed:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await self.news.wait()
            except TimeoutError:
                break
        changed = [e for name, e in self.entries.items() if self.changed[name] > after]
        return {"generation": self.version, "reset": False, "instances": changed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection."""
        self.writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                answer = await self.answer(target)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.note(target, answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def note(self, target: str, answer: Entry) -> None:
        """Record what a controller has been told."""
        now = time.monotonic()
        if answer["reset"]:
            absent = self.had.keys() - {entry["instanceId"] for entry in answer["instances"]}
            for name in absent:
                self.gone_at.setdefault(name, now)
            self.had = {}
        for entry in answer["instances"]:
            self.had[entry["instanceId"]] = entry
            if entry["lifecycle"] == ACTIVE:
                self.gone_at.pop(entry["instanceId"], None)
            else:
                self.gone_at.setdefault(entry["instanceId"], now)
        told = {entry["instanceId"]: entry["lifecycle"] for entry in answer["instances"]}
        for name, lifecycle in told.items():
            self.told.setdefault((name, lifecycle), now)
        if told:
            self.record("told", to=self.controller, call=target, whole=answer["reset"], hosts=told)

    def close(self) -> None:
        """Stop listening, and end all calls."""
        self.closed = True
        self.news.set()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Hosts:
    """The hosts' health checks; a host that is down refuses connections."""

    def __init__(self, prefix: str, port: int) -> None:
        self.prefix = prefix
        self.port = port
        self.servers: dict[str, asyncio.Server] = {}
        self.addresses: dict[str, str] = {}
        self.report: dict[str, float] = {}

    def address(self, name: str) -> str:
        """Return the address of a host as discovery lists it."""
        if name not in self.addresses:
            self.addresses[name] = f"{self.prefix}.{len(self.addresses) + 1}"
        return f"{self.addresses[name]}:{self.port}"

    async def start(self, name: str) -> None:
        """Start a host."""
        host = self.address(name).partition(":")[0]
        self.servers[name] = await asyncio.start_server(self.serve, host, self.port)

    def stop(self, name: str) -> None:
        """End a host."""
        self.servers.pop(name).close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one health check."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.report).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body)
                + body
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def count_lines(parts: list[Entry]) -> int:
    """Return the lines of a message, without what each message costs beside them."""
    return sum(
        bool(part.get("full"))
        + len(part.get("endpoints", ()))
        + len(part.get("eject", ()))
        + len(part.get("restore", ()))
        + ("admit" in part)
        + ("nonce_out" in part)
        for part in parts
    )


class Channel:
    """One controller's channel: messages leave one after another at the configured rate."""

    def __init__(self, rate: float, per_message: float) -> None:
        self.rate = rate
        self.per_message = per_message
        self.queue: deque[tuple[Any, list[Entry], float]] = deque()
        self.free_at = 0.0
        self.most = 0.0  # lines that waited at once

    def enter(self, stream: Any, parts: list[Entry]) -> None:
        """Add a message whose last byte has arrived."""
        if not self.queue:
            self.free_at = time.monotonic()
        self.queue.append((stream, parts, self.per_message + count_lines(parts)))
        self.most = max(self.most, sum(message[2] for message in self.queue))

    def leave(self, now: float) -> list[tuple[Any, list[Entry]]]:
        """Return the messages that have left."""
        left = []
        while self.queue and self.free_at + self.queue[0][2] / self.rate <= now:
            stream, parts, size = self.queue.popleft()
            self.free_at += size / self.rate
            left.append((stream, parts))
        return left


class Proxy:
    """A proxy: its tables, what it shut out, its level, and the messages that it was written."""

    def __init__(self, number: int, zone: str, rate: float, classes: list[str]) -> None:
        self.number = number
        self.zone = zone
        self.rate = rate
        self.tables: dict[str, dict[str, float]] = {name: {} for name in classes}
        self.levels: dict[str, float] = dict.fromkeys(classes, 1.0)
        self.ejected: set[str] = set()
        self.cold = True
        self.home = 0
        self.stream: Optional[Stream] = None
        self.joined_at = 0.0
        self.joined_to = 0
        # Since when a controller that ends or declines its streams is answerable for it.
        self.held_since: Optional[float] = None
        self.written: list[tuple[float, int]] = []  # arrival of messages since joining, lines
        self.busy_until = 0.0  # when its last message is applied

    def apply(self, parts: list[Entry]) -> None:
        """Apply one message."""
        for part in parts:
            routes = part.get("routes", list(self.tables))
            for name in routes:
                if part.get("full"):
                    self.tables[name] = {}
                    self.levels[name] = 1.0
                    self.cold = False
                for host, weight in part.get("endpoints", ()):
                    self.tables[name].pop(host, None)
                    if weight:
                        self.tables[name][host] = weight
                if "admit" in part:
                    self.levels[name] = part["admit"]
            self.ejected.update(part.get("eject", ()))
            self.ejected.difference_update(part.get("restore", ()))

    def pickable(self, name: str) -> dict[str, float]:
        """Return the lines that the proxy can pick for a class."""
        table = self.tables[name]
        return {host: weight for host, weight in table.items() if host not in self.ejected}


class Stream:
    """A proxy's stream to one controller."""

    def __init__(self, proxy: Proxy, writer: asyncio.StreamWriter) -> None:
        self.proxy = proxy
        self.writer = writer
        self.open = True

    def send(self, **fields: Any) -> None:
        """Write one message to the controller."""
        if self.open and not self.writer.is_closing():
            self.writer.write(json.dumps(fields).encode() + b"\n")


class Deployment:
    """Controllers as processes and everything around them."""

    def __init__(self, folder: Path, settings: Entry, seed: int, net: int) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.settings = settings
        self.rng = random.Random(seed)
        self.seed = seed
        self.zones: list[str] = settings["zones"]
        self.classes = [entry["name"] for entry in settings["classes"]]
        self.family = settings["familyInfo"]
        count = settings["balancers"]
        self.listen = [f"127.{net}.0.{rank + 1}" for rank in range(count)]
        self.agents_at = [f"127.{net}.2.{rank + 1}" for rank in range(count)]
        self.port = free_port([*self.listen, *self.agents_at])
        self.hosts = Hosts(f"127.{net}.1", free_port([f"127.{net}.1.1"]))
        self.agents = [Discovery(self.record, f"n{rank}") for rank in range(count)]
        self.processes: list[Optional[subprocess.Popen[bytes]]] = [None] * count
        self.starts = [0] * count
        self.planned_ends = [0] * count  # by SIGTERM
        self.channels = [
            Channel(self.family["channelRate"], self.family["perMessage"]) for _ in range(count)
        ]
        self.sockets = 512  # descriptors that a controller may hold
        self.proxies: list[Proxy] = []
        # By controller, zone and host: tries and failures of the proxies that are joined.
        self.met: dict[tuple[int, str, str], list[int]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.down: set[str] = set()  # hosts that answer nothing
        self.longest_send = 0.0  # seconds, from told or joined to a request to a host that is gone
        self.late_sends: list[tuple[int, str, float]] = []  # proxy, host, the same seconds
        self.ended: list[str] = []  # ends of controllers that nobody asked for
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command: str = tomllib.load(file)["run"]

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def entry(self, name: str, zone: str, lifecycle: str = ACTIVE, started: float = 0.0) -> Entry:
        """Return a host's entry in discovery's list; `started` is in Unix seconds."""
        return {
            "instanceId": name,
            "hostPort": self.hosts.address(name),
            "zone": zone,
            "machineType": self.settings["kinds"][0],
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": round(1000 * started),
        }

    def tell(self, entries: list[Entry]) -> None:
        """Change the list at every agent."""
        self.record(
            "list changes", hosts={entry["instanceId"]: entry["lifecycle"] for entry in entries}
        )
        for agent in self.agents:
            agent.update(entries)

    # Controllers.

    def start_controller(self, rank: int, known: Entry) -> None:
        """Start a controller with the list that it last had."""
        name = f"n{rank}"
        self.starts[rank] += 1
        listen = f"{self.listen[rank]}:{self.port}"
        discovery = f"{self.agents_at[rank]}:{self.port}"
        path = self.folder / f"{name}.json"
        document = {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": f"{self.seed * 1000 + 10 * rank + self.starts[rank]:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": known,
            "settings": {**self.settings, "rank": rank, "locality": rank % len(self.zones)},
        }
        path.write_text(json.dumps(document))
        temporary = self.folder / f"tmp-{name}-{self.starts[rank]}"
        temporary.mkdir()
        variables = {
            "NODE_NAME": name,
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[rank] = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env={**os.environ, **variables},
                stdout=log,
                stderr=log,
            )
        known_names = [entry["instanceId"] for entry in known["instances"]]
        self.record("controller started", name=name, known=known_names)

    async def end_controller(self, rank: int, signal_number: int) -> None:
        """End a controller by a signal, and kill it if it needs longer than the pages allow."""
        process = self.processes[rank]
        self.processes[rank] = None
        if process is None:
            return
        self.planned_ends[rank] += signal_number == signal.SIGTERM
        process.send_signal(signal_number)
        deadline = time.monotonic() + 1.0
        while process.poll() is None:
            if time.monotonic() > deadline:
                process.kill()
            await asyncio.sleep(0.01)
        self.channels[rank].queue.clear()
        self.record(
            "controller ended", name=f"n{rank}", signal=signal_number, code=process.returncode
        )

    async def ready(self, rank: int) -> float:
        """Wait until a controller answers a probe, and return the time."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(self.listen[rank], self.port)
                    writer.write(b'{"msg":"probe"}\n')
                    answer = await reader.readline()
                    writer.close()
                    if answer:
                        self.record("controller ready", name=f"n{rank}")
                        return time.monotonic()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"n{rank} is not ready")

    # Proxies and collectors.

    async def run_proxy(
        self,
        proxy: Proxy,
        redial: tuple[float, float],
        rehome: Optional[tuple[float, float]] = None,
    ) -> None:
        """Keep a proxy joined: to its home, or to another controller if need be.

        It moves elsewhere from a controller that gets SIGTERM. With `rehome`, it goes back after
        some seconds with another controller.
        """
        rank = proxy.home
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.listen[rank], self.port)
            except OSError:
                rank = (rank + 1) % len(self.listen)
                await asyncio.sleep(0.1)
                continue
            planned_ends = self.planned_ends[rank]
            away = rehome if rank != proxy.home else None
            goes_home = False
            try:
                async with asyncio.timeout(self.rng.uniform(*away) if away else None):
                    await self.use_stream(proxy, rank, reader, writer)
            except TimeoutError:
                goes_home = True
            except (OSError, asyncio.IncompleteReadError):
                pass
            process = self.processes[rank]
            declined = not goes_home and process is not None and process.poll() is None
            proxy.held_since = proxy.joined_at if declined else None
            if proxy.stream is not None:
                proxy.stream.open = False
            proxy.stream = None
            self.record("proxy left", proxy=proxy.number, controller=f"n{rank}")
            writer.close()
            moves = self.planned_ends[rank] != planned_ends
            rank = (rank + 1) % len(self.listen) if moves else proxy.home
            await asyncio.sleep(self.rng.uniform(*redial))

    async def use_stream(
        self, proxy: Proxy, rank: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join on a stream and take its messages until it ends."""
        stream = Stream(proxy, writer)
        stream.send(
            msg="hello", node=proxy.number, locality=proxy.zone, w=proxy.rate, cold=proxy.cold
        )
        same = proxy.joined_to == rank and proxy.held_since is not None
        if not same or proxy.held_since is None:
            proxy.held_since = time.monotonic()
        proxy.joined_at, proxy.written = proxy.held_since, []
        proxy.stream, proxy.joined_to = stream, rank
        proxy.busy_until = 0.0
        self.record(
            "proxy joined",
            proxy=proxy.number,
            controller=f"n{rank}",
            cold=proxy.cold,
            shut_out=sorted(proxy.ejected),
        )
        parts: list[Entry] = []
        while line := await reader.readline():
            part = json.loads(line)
            if part["msg"] != "push":
                continue
            parts.append(part)
            if not part.get("continued"):
                proxy.written.append((time.monotonic(), count_lines(parts)))
                self.record("written", proxy=proxy.number, controller=f"n{rank}", parts=parts)
                self.channels[rank].enter(stream, parts)
                parts = []

    async def run_channels(self) -> None:
        """Deliver what leaves the channels, late as the settings tell."""
        loop = asyncio.get_running_loop()
        delay = self.family["pushDelayUs"] / 1e6
        while True:
            for channel in self.channels:
                for stream, parts in channel.leave(time.monotonic()):
                    due = loop.time() + self.rng.uniform(0.5, 1.5) * delay
                    proxy = stream.proxy
                    proxy.busy_until = max(due, proxy.busy_until + 0.001)
                    loop.call_at(proxy.busy_until, self.deliver, stream, parts, loop.time())
            await asyncio.sleep(0.005)

    def deliver(self, stream: Stream, parts: list[Entry], left_at: float) -> None:
        """Apply a message at its proxy, which answers its mark."""
        if not stream.open:
            return
        stream.proxy.apply(parts)
        for part in parts:
            if "nonce_out" in part:
                latency = 1000 * (asyncio.get_running_loop().time() - left_at)
                stream.send(
                    msg="ack",
                    node=stream.proxy.number,
                    nonce=part["nonce_out"],
                    latency=round(latency, 1),
                )

    async def run_traffic(self, interval: float) -> None:
        """Send requests by the tables, and report them: demand by proxies, outcomes by zones."""
        demand: dict[tuple[int, str], list[int]] = {}
        due = time.monotonic() + interval
        while True:
            await asyncio.sleep(STEP)
            for proxy in self.proxies:
                for name in self.classes:
                    total = int(STEP * proxy.rate / len(self.classes) + self.rng.random())
                    counts = demand.setdefault((proxy.number, name), [0, 0])
                    counts[0] += total
                    counts[1] += total - self.send(proxy, name, total)
            if time.monotonic() >= due:
                due += interval
                for (number, name), (total, unanswered) in demand.items():
                    stream = self.proxies[number].stream
                    if stream is not None:
                        stream.send(
                            msg="demand",
                            node=number,
                            route=name,
                            total=total,
                            errors=unanswered,
                            interval=1000 * interval,
                        )
                demand = {}

    def send(self, proxy: Proxy, name: str, total: int) -> int:
        """Send a proxy's requests of a class, and return how many found a host to go to."""
        lines = proxy.pickable(name)
        if not lines or not total:
            return 0
        for host in self.rng.choices(list(lines), list(lines.values()), k=total):
            if proxy.stream is not None:
                counts = self.met.setdefault((proxy.joined_to, proxy.zone, host), [0, 0])
                counts[0] += 1
                counts[1] += host in self.down
            if proxy.held_since is not None:
                self.note_send(proxy, host)
        return total

    def note_send(self, proxy: Proxy, host: str) -> None:
        """Note a request to a host that drains or has left, if the grace was over."""
        agent = self.agents[proxy.joined_to]
        if agent.had.get(host, {}).get("lifecycle") == ACTIVE:
            return
        told = agent.gone_at.get(host)
        if told is not None:
            late = time.monotonic() - max(told, proxy.joined_at)
            self.longest_send = max(self.longest_send, late)
            if late > self.settings["obligations"]["drainGraceUs"] / 1e6 + SLACK:
                self.late_sends.append((proxy.number, host, round(late, 2)))
                self.record("late request", proxy=proxy.number, host=host, seconds=round(late, 2))

    async def run_collector(self, rank: int, zone: str, interval: float) -> None:
        """Connect a zone's collector to a controller and forward the zone's reports."""
        while True:
            try:
                _, writer = await asyncio.open_connection(self.listen[rank], self.port)
                writer.write(json.dumps({"msg": "agent", "locality": zone}).encode() + b"\n")
                while not writer.is_closing():
                    await asyncio.sleep(interval)
                    for key in [key for key in self.met if key[:2] == (rank, zone)]:
                        total, errors = self.met.pop(key)
                        self.write_outcomes(writer, zone, key[2], (total, errors), interval)
                    await writer.drain()
            except OSError:
                await asyncio.sleep(0.5)

    def write_outcomes(
        self,
        writer: asyncio.StreamWriter,
        zone: str,
        host: str,
        counts: tuple[int, int],
        interval: float,
    ) -> None:
        """Write what the proxies of a zone met at one host."""
        report = {
            "msg": "outcomes",
            "locality": zone,
            "endpoint": host,
            "total": counts[0],
            "errors": counts[1],
            "rtt": 120.0 if counts[0] > counts[1] else 0.0,
            "interval": 1000 * interval,
            "metrics": self.hosts.report,
        }
        writer.write(json.dumps(report).encode() + b"\n")

    # Checks of the rules.

    def eligible(self, proxy: Proxy, own_zone: bool) -> bool:
        """Return whether the proxy's controller was told of a warm ready host open to a class."""
        agent = self.agents[proxy.joined_to]
        warm_before = 1000 * (time.time() - self.settings["obligations"]["warmAfterUs"] / 1e6)
        return any(
            entry["lifecycle"] == ACTIVE
            and (name, ACTIVE) in agent.told
            and entry["startedAtMs"] <= warm_before
            and (not own_zone or entry["zone"] == proxy.zone)
            for name, entry in agent.entries.items()
        )

    async def watch_lines(self, longest: dict[tuple[int, str], float]) -> None:
        """Measure how long joined proxies have no line for a class although a host is ready.

        `longest` gets the longest time without a break, by proxy and class, in seconds.
        """
        since: dict[tuple[int, str], float] = {}
        while True:
            now = time.monotonic()
            for proxy in self.proxies:
                for index, name in enumerate(self.classes):
                    key = (proxy.number, name)
                    own_zone = bool(self.family["homeOnly"][index])
                    bare = proxy.stream is not None and not proxy.pickable(name)
                    if bare and self.eligible(proxy, own_zone):
                        since[key] = max(since.get(key, now), proxy.joined_at)
                        longest[key] = max(longest.get(key, 0.0), now - since[key])
                    else:
                        since.pop(key, None)
            await asyncio.sleep(0.05)

    # The case.

    def note_crashes(self) -> None:
        """Note the controllers that ended by themselves."""
        for rank, process in enumerate(self.processes):
            if process is not None and process.poll() is not None:
                self.ended.append(f"n{rank} ended with {process.returncode}")
                self.processes[rank] = None

    async def close(self) -> None:
        """End all processes, tasks and listeners."""
        for rank in range(len(self.processes)):
            await self.end_controller(rank, signal.SIGKILL)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for agent in self.agents:
            agent.close()
        for name in list(self.hosts.servers):
            self.hosts.stop(name)
        await asyncio.sleep(0.2)
        for rank in range(len(self.processes)):
            path = self.folder / f"n{rank}.log"
            if path.exists():
                self.record.file.write(f"--- log of n{rank}\n{path.read_text()}")
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case and return its exit code.

    `main` returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The code
    is `BROKEN`, 0 or 2; it is 2 also for an exception and if the case is ended from outside.
    """

    async def run() -> int:
        task = asyncio.current_task()
        if task is not None:
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await main()

    try:
        verdict = asyncio.run(run())
        return BROKEN if verdict == 1 else verdict
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
