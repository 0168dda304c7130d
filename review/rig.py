"""Stand-ins for the platform around one steward, on loopback and the real clock.

The steward is the program that `run` in deploy/balancer.toml starts. Everything around it is a
stand-in that follows the protocol page: discovery, the hosts with their probes, the proxies with
their tables, the collectors and the channel. A request is handed from a proxy to a host inside this
process; everything that the steward sees or writes passes through sockets. The standard library
suffices.

Times are seconds on the clock of `Day.now`, which starts at 0; `startedAtMs` is Unix time.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
SLACK = 0.3  # seconds by which the protocol page extends the time limits
GRACE_AFTER_START = 1.0  # the limits start no earlier than this after the steward's first answer
MICROSECONDS = 1e6
READY_TIMEOUT = 30.0  # seconds that a steward may take until its first answer
PROBE_TIMEOUT = 2.0  # seconds that an answer to a probe is waited for
CHECK_INTERVAL = 0.05  # seconds between two looks at the proxies' tables
STOP_TIMEOUT = 2.0  # seconds from SIGTERM to SIGKILL; the page allows 0.7 and more

Message = dict[str, Any]


def settings(classes: list[Message], **changes: Any) -> Message:
    """Return the settings of a small deployment, in the form of the simulator's first message.

    The figures are those of the example on the wire page; `changes` replaces keys of any section.
    """
    home_only = [request_class.pop("homeOnly", False) for request_class in classes]
    document: Message = {
        "balancers": 1,
        "classes": classes,
        "countedBy": "request",
        "family": "control",
        "familyInfo": {
            "channelRate": 6100.0,
            "choice": "rotate",
            "costPerLine": 0.02,
            "countedOverUs": 10000000,
            "dataPlaneSize": 12,
            "emptyForUs": 3000000,
            "exclusive": False,
            "failsToEject": 3,
            "hearsPerS": 60.0,
            "homeOnly": home_only,
            "lateMostUs": 1130000,
            "leaseUs": 2500000,
            "localFirst": True,
            "messagesMost": 0,
            "movePrice": 0.01,
            "mutating": [False for _ in classes],
            "parkUs": 300000,
            "pendingMax": 9200.0,
            "perMessage": 6.0,
            "pushDelayUs": 452000,
            "ranges": 0,
            "reportEveryUs": 1000000,
            "settleUs": 1220000,
            "smallestConnTable": 230.0,
            "standing": 6,
            "throttleBy": "fraction",
            "tryFactor": 1.2,
            "usualHow": 1,
            "warmKeys": False,
        },
        "kinds": ["std-3core"],
        "limits": {
            "connIdleUs": 15000000,
            "connectTimeoutUs": 250000,
            "cpuUsPerS": 400000,
            "peers": False,
            "probing": True,
            "streamsPerConn": 32,
        },
        "locality": 0,
        "obligations": {
            "askWithinUs": 10000000,
            "coldFrom": 0.17,
            "drainGraceUs": 2900000,
            "fallUs": 2000000,
            "tipMultiple": 4.0,
            "warmAfterUs": 16000000,
        },
        "prices": {
            "connection": 0.02,
            "crossZone": 0.01,
            "handshake": 0.02,
            "lateFail": 0.08,
            "moves": 0.0,
            "peer": 0.0,
            "probe": 0.02,
            "registryMode": 0.0,
            "waste": 0.08,
        },
        "rank": 0,
        "registryMode": "pushed",
        "roundUs": 5000,
        "scoringMix": {
            "whole": 0.5,
            "worstClass": 0.1,
            "worstTenant": 0.0,
            "worstWindow": 0.4,
        },
        "stats": {"fields": ["busy", "rif", "lat_ms"], "how": "inline"},
        "weightSource": "off",
        "zones": ["bangna", "silom"],
    }
    for section in (document, *[value for value in document.values() if isinstance(value, dict)]):
        section.update({name: value for name, value in changes.items() if name in section})
    return document


def request_class(
    name: str, worth: float, home_only: bool, aim: float = 0.8, deadline: float = 2.5
) -> Message:
    """Return the settings of a request class that may be repeated; times are in seconds."""
    return {
        "deadlineUs": round(deadline * MICROSECONDS),
        "group": "all",
        "homeOnly": home_only,
        "lateWorth": 0.1,
        "name": name,
        "repeat": "repeatable",
        "targetUs": round(aim * MICROSECONDS),
        "windowUs": 5000000,
        "worth": worth,
    }


class Record:
    """The file `record.txt`: one line for each thing sent, answered or run."""

    def __init__(self, path: Path, now: Callable[[], float]) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.now = now

    def write(self, text: str) -> None:
        """Write a line with the time of the day."""
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class Host:
    """A host with its probes; requests reach it through `Day.send_request`.

    While it is silent, it accepts connections and answers nothing.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.port = 0
        self.up = False
        self.silent = False
        self.started_at_ms = 0.0
        self.utilization = 0.3
        self.held = 0  # requests that the host holds
        self.server: Optional[asyncio.Server] = None

    async def start(self) -> None:
        """Listen for probes, at the same address after a restart."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up, self.silent = True, False

    def stop(self) -> None:
        """Refuse connections from now on."""
        if self.server is not None:
            self.server.close()
        self.up = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the probes of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not self.silent:
                await reader.readuntil(b"\r\n\r\n")
                load = {"busy": self.utilization, "rif": self.held, "lat_ms": 200.0}
                if not self.silent:
                    await write_response(writer, load)
            await reader.read()  # silent: until the peer gives up
        writer.close()

    def entry(self, lifecycle: str) -> Message:
        """Return the host's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "std-3core",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }


async def write_response(writer: asyncio.StreamWriter, body: Message) -> None:
    """Write an HTTP response with a JSON body."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(head.encode() + data)
    await writer.drain()


class Discovery:
    """Discovery's agent on the steward's machine: the list of hosts, and watches on it.

    `told` holds the entries as they were last written to the steward.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.generation = 1
        self.entries: dict[str, Message] = {}
        self.changed_at: dict[str, int] = {}
        self.told: dict[str, Message] = {}
        self.told_at: dict[tuple[str, float], float] = {}  # by host and start: first told as ready
        self.changed = asyncio.Event()
        self.port = 0
        self.server: Optional[asyncio.Server] = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def update(self, *entries: Message) -> None:
        """Change the list; the watches are answered at once."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed_at[entry["instanceId"]] = self.generation
            self.record.write(f"list {self.generation}: {entry['instanceId']} {entry['lifecycle']}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole_list(self) -> Message:
        """Return the whole list, without the hosts that have left."""
        instances = [entry for entry in self.entries.values() if entry["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": True, "instances": instances}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
                answer = await self.answer(query)
                await write_response(writer, answer)
                self.note_told(answer)
        writer.close()

    async def answer(self, query: dict[str, list[str]]) -> Message:
        """Return the whole list, or the changes as soon as there are some."""
        if "after" not in query:
            return self.whole_list()
        after, wait = int(query["after"][0]), float(query.get("wait_ms", ["0"])[0]) / 1000
        if self.generation <= after and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait)
        instances = [self.entries[name] for name, at in self.changed_at.items() if at > after]
        return {"generation": self.generation, "reset": False, "instances": instances}

    def note_told(self, answer: Message) -> None:
        """Note what the steward was told."""
        if answer["reset"]:
            self.told = {}
        for entry in answer["instances"]:
            if self.told.get(entry["instanceId"]) != entry:
                text = f"told {answer['generation']}: {entry['instanceId']} {entry['lifecycle']}"
                self.record.write(text)
            self.told[entry["instanceId"]] = entry
            if entry["lifecycle"] == "active":
                key = (entry["instanceId"], entry["startedAtMs"])
                self.told_at.setdefault(key, self.record.now())


class Steward:
    """The steward's process, started by the command `run` of the deploy file."""

    def __init__(
        self,
        day: "Day",
        discovery: Optional[Discovery] = None,
        name: str = "n0",
        own_settings: Optional[Message] = None,
    ) -> None:
        self.day = day
        self.discovery = discovery or day.discovery
        self.name = name
        self.settings = own_settings or day.settings
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = tomllib.load(file)["run"]
        self.port = free_port()
        self.process: Optional[subprocess.Popen[bytes]] = None
        self.first_answer_at = 0.0
        self.starts = 0

    async def start(self) -> None:
        """Start the process and wait for its first answer; raises TimeoutError."""
        known = {**self.discovery.whole_list()}
        self.starts += 1
        listen = f"127.0.0.1:{self.port}"
        discovery = f"127.0.0.1:{self.discovery.port}"
        configuration = {
            "name": self.name,
            "listen": listen,
            "discovery": discovery,
            "seed": f"{self.day.seed + self.starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.day.sockets},
            "known": known,
            "settings": self.settings,
        }
        self.discovery.told = {entry["instanceId"]: entry for entry in known["instances"]}
        folder = Path(self.day.folder)
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(configuration), encoding="utf-8")
        temporary = Path(tempfile.mkdtemp(dir=folder))
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        with (folder / "steward.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.day.record.write(f"steward {self.name} started, pid {self.process.pid}")
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait for the first `alive`."""
        deadline = self.day.now() + READY_TIMEOUT
        while self.day.now() < deadline:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(b'{"msg":"probe"}\n')
                    answer = await asyncio.wait_for(reader.readline(), PROBE_TIMEOUT)
                finally:
                    writer.close()
                if answer:
                    self.first_answer_at = self.day.now()
                    self.day.record.write(f"steward {self.name} answers")
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError("no answer from the steward")

    async def stop(self) -> None:
        """End the process by SIGTERM; by SIGKILL if it does not end in time."""
        process = self.process
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGTERM)
        self.day.record.write(f"steward {self.name}: SIGTERM")
        deadline = self.day.now() + STOP_TIMEOUT
        while process.poll() is None and self.day.now() < deadline:
            await asyncio.sleep(0.02)
        self.kill()

    def kill(self) -> None:
        """End the process by SIGKILL, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
            self.day.record.write(f"steward {self.name} ended with {self.process.returncode}")

    def exit_code(self) -> Optional[int]:
        """Return the exit code, or None while the process runs."""
        return None if self.process is None else self.process.poll()


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass(eq=False)
class QueuedPush:
    """A message that waits in the steward's channel."""

    proxy: "Proxy"
    stream: int
    parts: list[Message]
    lines: float
    entered_at: float
    told: dict[str, Message]  # what the steward had been told when the message had arrived


class Channel:
    """The steward's channel: messages leave one after another at the configured rate."""

    def __init__(self, day: "Day") -> None:
        self.day = day
        family = day.settings["familyInfo"]
        self.rate: float = family["channelRate"]
        self.head: float = family["perMessage"]
        self.mean_delay: float = family["pushDelayUs"] / MICROSECONDS
        self.max_delay: float = family["lateMostUs"] / MICROSECONDS
        self.free_at = 0.0
        self.last_arrival: dict[int, float] = {}

    def enter(self, push: QueuedPush) -> None:
        """Add a message whose last byte has arrived now."""
        leaves_at = max(self.free_at, push.entered_at) + push.lines / self.rate
        self.free_at = leaves_at
        delay = min(self.max_delay, self.day.random.uniform(0.5, 1.5) * self.mean_delay)
        arrives_at = max(leaves_at + delay, self.last_arrival.get(push.proxy.number, 0.0))
        self.last_arrival[push.proxy.number] = arrives_at
        push.proxy.on_the_way.append(push)  # timers of the same moment may fire in any order
        self.day.loop.call_later(arrives_at - self.day.now(), push.proxy.arrived, push)

    def clear(self) -> None:
        """Forget the queue of a steward that has ended."""
        self.free_at = 0.0


def count_lines(parts: Iterable[Message]) -> int:
    """Return the lines of a message, without the fixed cost per message."""
    return sum(
        bool(part.get("full"))
        + len(part.get("endpoints", ()))
        + len(part.get("eject", ()))
        + len(part.get("restore", ()))
        + ("admit" in part)
        + ("nonce_out" in part)
        for part in parts
    )


@dataclass
class Table:
    """A proxy's table of one class: its lines, its level, and the state of the even choice."""

    lines: dict[str, float] = field(default_factory=dict)
    level: float = 1.0
    credit: dict[str, float] = field(default_factory=dict)


class Proxy:
    """One proxy: its stream, its tables, and the hosts that it shuts out.

    Tables and shut-out hosts outlive the stream. A host at which three tries in a row failed is
    avoided for some seconds while there is another.
    """

    def __init__(self, day: "Day", number: int, zone: str) -> None:
        self.day = day
        self.number = number
        self.zone = zone
        self.tables = {name: Table() for name in day.class_names}
        self.ejected: set[str] = set()
        self.has_table = False  # whether it holds the table of a steward
        self.joined_at: Optional[float] = None
        self.stream = 0  # number of the current stream
        self.writer: Optional[asyncio.StreamWriter] = None
        self.on_the_way: deque[QueuedPush] = deque()  # messages that have not arrived
        self.last_told: dict[str, Message] = {}  # what the last message's author had been told
        self.fails: dict[str, int] = {}
        self.avoided_until: dict[str, float] = {}
        self.counts = {name: [0, 0] for name in day.class_names}  # came, got no answer
        self.empty_since: dict[str, float] = {}

    # The stream.

    async def run(self) -> None:
        """Keep a stream to the steward: dial, join, read, and dial again after a break."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.day.steward.port)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self.serve_stream(reader, writer)
            await asyncio.sleep(self.day.random.uniform(*self.day.redial))

    async def serve_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join and read messages until the stream ends."""
        self.stream += 1
        self.writer = writer
        self.on_the_way.clear()
        self.send(msg="hello", node=self.number, locality=self.zone, w=5.0, cold=not self.has_table)
        self.joined_at = self.day.now()
        self.day.record.write(f"proxy {self.number} joined, has a table: {self.has_table}")
        parts: list[Message] = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                part = json.loads(await reader.readuntil(b"\n"))
                if part["msg"] == "push":
                    parts.append(part)
                if parts and not part.get("continued"):
                    self.received(parts)
                    parts = []
        self.joined_at, self.writer = None, None
        self.empty_since.clear()
        self.day.record.write(f"proxy {self.number} left")
        writer.close()

    def send(self, **fields: Any) -> None:
        """Send a message, if there is a stream."""
        if self.writer is not None:
            self.writer.write(json.dumps(fields).encode() + b"\n")

    def received(self, parts: list[Message]) -> None:
        """Put a complete message into the channel."""
        channel = self.day.channel_of(self)
        lines = channel.head + count_lines(parts)
        text = "; ".join(json.dumps(part)[1:-1] for part in parts)
        self.day.record.write(f"steward to proxy {self.number}: {text}")
        self.day.count_message(self)
        told = self.day.told_to(self)
        channel.enter(QueuedPush(self, self.stream, parts, lines, self.day.now(), told))

    def arrived(self, push: QueuedPush) -> None:
        """Apply a message, after those of its stream that entered the channel before it."""
        while push in self.on_the_way:
            self.apply(self.on_the_way.popleft())

    def apply(self, push: QueuedPush) -> None:
        """Apply a message that has left the channel, unless its stream has ended."""
        if push.stream != self.stream or self.writer is None:
            return
        self.last_told = push.told
        for part in push.parts:
            self.apply_part(part)
            if "nonce_out" in part:
                latency = 1000 * (self.day.now() - push.entered_at)
                self.send(msg="ack", node=self.number, nonce=part["nonce_out"], latency=latency)

    def apply_part(self, part: Message) -> None:
        """Apply one part of a message."""
        for name in part.get("routes", self.tables):
            table = self.tables[name]
            if part.get("full"):
                self.has_table = True
                table.lines, table.level = {}, 1.0
            for host, weight in part.get("endpoints", ()):
                table.lines.pop(host, None)
                if weight:
                    table.lines[host] = weight
            table.level = part.get("admit", table.level)
        self.ejected.update(part.get("eject", ()))
        self.ejected.difference_update(part.get("restore", ()))

    # Requests.

    def lines_to_pick(self, class_name: str) -> dict[str, float]:
        """Return the lines of a class that are not shut out."""
        lines = self.tables[class_name].lines
        return {host: weight for host, weight in lines.items() if host not in self.ejected}

    def pick(self, class_name: str) -> Optional[str]:
        """Return the next host by weight, evenly or by chance, or None without a line to pick."""
        lines = self.lines_to_pick(class_name)
        now = self.day.now()
        usual = {
            host: weight
            for host, weight in lines.items()
            if self.avoided_until.get(host, 0.0) <= now
        }
        lines = usual or lines
        if not lines:
            return None
        if self.day.settings["familyInfo"]["choice"] == "random":
            return self.day.random.choices(list(lines), list(lines.values()))[0]
        credit = self.tables[class_name].credit
        total = sum(lines.values())
        for host, weight in lines.items():
            credit[host] = credit.get(host, 0.0) + weight / total
        choice = max(lines, key=lambda host: (credit[host], host))
        credit[choice] -= 1.0
        return choice

    def note_result(self, host: str, good: bool) -> None:
        """Avoid a host for some seconds after three failed tries in a row."""
        self.fails[host] = 0 if good else self.fails.get(host, 0) + 1
        if self.fails[host] >= self.day.settings["familyInfo"]["failsToEject"]:
            self.fails[host] = 0
            self.avoided_until[host] = self.day.now() + self.day.random.uniform(2.0, 7.4)


@dataclass
class Outcomes:
    """What the proxies of a zone met at a host since the last report."""

    tries: int = 0
    errors: int = 0
    latency: float = 0.0  # seconds, summed over the good answers


class Day:
    """One steward with everything around it.

    A case builds the fleet, starts the day with `run`, and overrides `serve_request`, which hands a
    request to a host, and `check`, which runs every 50 ms.
    """

    redial = (0.89, 2.2)  # seconds after a break until a proxy dials again
    ends_with_breach = False  # whether the day ends with the first breach
    sockets = 1024  # descriptors that the steward may hold

    def __init__(self, folder: Path, day_settings: Message, seed: int = 1) -> None:
        self.started_at = time.monotonic()
        self.case_folder = folder
        self.settings = day_settings
        self.seed = seed
        self.random = random.Random(seed)
        self.class_names: list[str] = [entry["name"] for entry in day_settings["classes"]]
        self.home_only: list[bool] = day_settings["familyInfo"]["homeOnly"]
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt", self.now)
        self.hosts: dict[str, Host] = {}
        self.proxies: list[Proxy] = []
        self.outcomes: dict[tuple[str, str], Outcomes] = {}
        self.breaches: list[str] = []
        self.errors: list[str] = []  # why the day says nothing about the rule
        self.answered = self.refused = self.failed = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the seconds since the start of the day."""
        return time.monotonic() - self.started_at

    def channel_of(self, proxy: Proxy) -> Channel:
        """Return the channel of the proxy's steward."""
        return self.channel

    def told_to(self, proxy: Proxy) -> dict[str, Message]:
        """Return the entries that the proxy's steward has been told."""
        return dict(self.discovery.told)

    # The course of a day.

    def play(self, script: Callable[[], Any], length: float) -> int:
        """Play the day and return the exit code."""
        with tempfile.TemporaryDirectory() as self.folder:
            try:
                return asyncio.run(self.play_in_loop(script, length))
            except (Exception, asyncio.CancelledError) as error:  # never the code of a breach
                self.errors.append(repr(error))
                return self.verdict()
            finally:
                log = Path(self.folder) / "steward.log"
                if log.exists():
                    self.record.file.write("\nThe steward's log:\n" + log.read_text("utf-8"))
                self.record.close()

    async def play_in_loop(self, script: Callable[[], Any], length: float) -> int:
        """Start everything, run the script, and end everything."""
        await self.start_platform()
        self.steward = Steward(self)
        self.channel = Channel(self)
        try:
            await self.steward.start()
            for proxy in self.proxies:
                self.spawn(proxy.run())
            for zone in self.settings["zones"]:
                self.spawn(self.run_collector(zone))
            self.spawn(self.run_checks())
            script_task = self.loop.create_task(script())
            while self.now() < length and not (self.ends_with_breach and self.breaches):
                await asyncio.sleep(0.1)
                if script_task.done():
                    script_task.result()  # raises the script's exception, if there was one
            script_task.cancel()
            if self.steward.exit_code() is not None:
                self.errors.append(f"the steward has ended with {self.steward.exit_code()}")
        finally:
            self.steward.kill()
            self.loop.set_exception_handler(lambda *_: None)  # streams that end with the day
            for task in self.tasks:
                task.cancel()
        return self.verdict()

    def handle_signals(self) -> None:
        """End the day, and with it its processes, when the case is ended from outside."""
        task = asyncio.current_task()
        if task is not None:
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                self.loop.add_signal_handler(number, task.cancel)

    async def start_platform(self) -> None:
        """Start discovery and the hosts, and handle signals."""
        self.loop = asyncio.get_running_loop()
        self.handle_signals()
        self.discovery = Discovery(self.record)
        await self.discovery.start()
        for host in self.hosts.values():
            await host.start()
        for host in self.hosts.values():
            self.discovery.update(host.entry("active"))

    def verdict(self) -> int:
        """Print and record the result, and return the exit code.

        A day on which something else went wrong shows a breach, but not that the rule held.
        """
        if not self.answered:
            self.errors.append("no request was answered")
        result = "it held"
        if self.breaches:
            result = f"the rule was broken: {len(self.breaches)} times"
        elif self.errors:
            result = f"could not run: {self.errors[0]}"
        lines = [
            f"requests: {self.answered} answered, {self.refused} refused for lack of a line, "
            f"{self.failed} without an answer",
            *self.breaches[:20],
            result,
        ]
        for line in lines:
            print(line)
            self.record.write(line)
        if self.breaches:
            return EXIT_BROKEN
        return EXIT_NOT_RUN if self.errors else EXIT_HELD

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine until the end of the day."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.note_end)

    def note_end(self, task: asyncio.Task[None]) -> None:
        """Note the exception of a task: from then on the day is not what it should be."""
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(repr(task.exception()))

    async def run_checks(self) -> None:
        """Run `check` at a short interval."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL)

    def check(self) -> None:
        """Look for breaches."""

    def count_message(self, proxy: Proxy) -> None:
        """Count a message that the steward has written to a proxy."""

    def limits_run(self) -> bool:
        """Return whether the time limits run: some time after the steward's first answer."""
        steward = self.steward
        return (
            steward.exit_code() is None and self.now() > steward.first_answer_at + GRACE_AFTER_START
        )

    # Requests.

    async def run_clients(self, proxy: Proxy, class_name: str, interval: float) -> None:
        """Send requests of one class to a proxy at an even pace."""
        due = self.now() + self.random.uniform(0.0, interval)
        while True:
            await asyncio.sleep(max(0.0, due - self.now()))
            due += interval
            self.send_request(proxy, class_name)

    def send_request(self, proxy: Proxy, class_name: str) -> None:
        """Let a request come to a proxy, which forwards it or refuses it."""
        proxy.counts[class_name][0] += 1
        if self.random.random() >= proxy.tables[class_name].level:
            return
        host = proxy.pick(class_name)
        if host is None:
            self.refused += 1
            self.record.write(f"request {class_name} at proxy {proxy.number}: refused, no line")
            return
        self.serve_request(proxy, class_name, self.hosts[host])

    def serve_request(self, proxy: Proxy, class_name: str, host: Host) -> None:
        """Answer a request at once if its host is up."""
        self.finish_request(proxy, class_name, host, 0.2 if host.up and not host.silent else None)

    def finish_request(
        self, proxy: Proxy, class_name: str, host: Host, latency: Optional[float]
    ) -> None:
        """Count the answer of a request, or its failure if `latency` is None."""
        outcomes = self.outcomes.setdefault((proxy.zone, host.name), Outcomes())
        outcomes.tries += 1
        proxy.note_result(host.name, latency is not None)
        result = "no answer" if latency is None else f"run and answered after {latency:.3f} s"
        self.record.write(
            f"request {class_name} from proxy {proxy.number} to {host.name}: {result}"
        )
        if latency is None:
            self.failed += 1
            outcomes.errors += 1
            proxy.counts[class_name][1] += 1
        else:
            self.answered += 1
            outcomes.latency += latency

    # Reports.

    async def run_collector(self, zone: str) -> None:
        """Send the reports of a zone's proxies, each second, some 0.6 s late."""
        writer: Optional[asyncio.StreamWriter] = None
        while True:
            await asyncio.sleep(1.0)
            lines = self.take_outcomes(zone)
            demand = [(proxy, self.take_demand(proxy)) for proxy in self.proxies]
            await asyncio.sleep(0.6)
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection("127.0.0.1", self.steward.port)
                    writer.write(json.dumps({"msg": "agent", "locality": zone}).encode() + b"\n")
                writer.write(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
                await writer.drain()
            except OSError:
                writer = None
            for proxy, messages in demand:
                for message in messages:
                    proxy.send(**message)

    def take_outcomes(self, zone: str) -> list[Message]:
        """Return the reports of a zone since the last call."""
        lines = []
        for key in [key for key in self.outcomes if key[0] == zone]:
            outcomes = self.outcomes.pop(key)
            host = self.hosts[key[1]]
            good = outcomes.tries - outcomes.errors
            message = {
                "msg": "outcomes",
                "locality": zone,
                "endpoint": host.name,
                "total": outcomes.tries,
                "errors": outcomes.errors,
                "rtt": 1000 * outcomes.latency / good if good else 0.0,
                "interval": 1600.0,
            }
            if good:
                message["metrics"] = {"busy": host.utilization, "rif": host.held}
            lines.append(message)
        return lines

    def take_demand(self, proxy: Proxy) -> list[Message]:
        """Return a proxy's reports on its requests since the last call."""
        messages = []
        for name, (came, unanswered) in proxy.counts.items():
            if came:
                messages.append(
                    {
                        "msg": "demand",
                        "node": proxy.number,
                        "route": name,
                        "total": came,
                        "errors": min(came, unanswered),
                        "interval": 1600.0,
                    }
                )
            proxy.counts[name] = [0, 0]
        return messages
