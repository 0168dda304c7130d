"""A whole fleet on the platform's protocol, on loopback: real steward processes, and stand-ins for all around them.

    fleet = Fleet(settings, FleetPlan(...), folder)
    await fleet.start()
    fleet.list_hosts([...]); fleet.kill("n0"); fleet.restart("n0")
    fleet.drain_report()

The rule on drains is checked from what the proxies hold: a host that drains or went must be reachable for no proxy
longer than the grace after its steward was told, or after the proxy joined it, whichever came later.
"""

import asyncio
import json
import os
import subprocess
import sys
from random import Random
from typing import NamedTuple

from ..net.http import Server
from ..net.streams import Lines
from .platform_proxies import PacedChannel, ProxyState

LOOK_EVERY = 0.05  # seconds between two looks at channels and at what proxies hold
ANSWER_AFTER = 0.05  # seconds that a proxy takes to apply a message and answer its mark
READY_WITHIN = 30.0  # seconds that a steward may take to give its first sign of life


class FleetPlan(NamedTuple):
    """`channel_part`: the real pace of each channel as a part of the told one; `redial`: seconds until a proxy whose
    stream broke dials again; `rehome`: seconds after which it goes back to its own steward, 0 for never."""

    stewards: int
    proxies: int
    hosts: int
    port: int
    channel_part: float = 1.0
    redial: tuple = (0.3, 0.4)
    rehome: float = 0.0
    seed: int = 1


class DrainReport(NamedTuple):
    """`longest`: the longest time in seconds that a proxy could still reach a host after its steward was told, or it
    joined; `late`: [(proxy, host, seconds)] past the grace, one for each pair; `most_waiting`: the longest queue of
    any channel, in lines."""

    longest: float
    late: list
    most_waiting: float


class DiscoveryAgent(Server):
    """One connection of one steward to its discovery agent."""

    def __init__(self, fleet):
        super().__init__(0.0)
        self.fleet = fleet

    def serve(self, method, path, headers, body):
        self.path = path
        self.fleet.watches.append(self)
        self.fleet.answer_watches()


class ProxyStream(Lines):
    """A proxy's stream to one steward."""

    def __init__(self, fleet, proxy, steward):
        super().__init__()
        self.fleet, self.proxy, self.steward, self.parts = fleet, proxy, steward, []

    def opened(self):
        state = self.proxy
        state.joined_at = self.loop.time()
        self.say(msg="hello", node=state.number, locality=state.zone, w=2.0, cold=not state.ordered)

    def line(self, data):
        part = json.loads(data)
        if part["msg"] != "push":
            return
        self.parts.append(part)
        if not part.get("continued"):
            self.fleet.channels[self.steward].put(self.loop.time(), self, self.parts)
            self.parts = []

    def ended(self, reason):
        self.fleet.stream_ended(self)

    def answer_mark(self, mark, latency):
        self.say(msg="ack", node=self.proxy.number, nonce=mark, latency=latency)

    def say(self, **fields):
        self.send(json.dumps(fields).encode() + b"\n")


class Fleet:
    """`settings`: the platform's settings, shared by all stewards but for each one's zone and rank."""

    def __init__(self, settings, plan, folder):
        self.settings, self.plan, self.folder = settings, plan, folder
        self.random = Random(plan.seed)
        self.kinds = [kind["name"] for kind in settings["classes"]]
        self.names = [f"n{at}" for at in range(plan.stewards)]
        self.zones = settings["zones"]
        self.proxies = [
            ProxyState(number, self.zones[number % len(self.zones)], self.kinds)
            for number in range(plan.proxies)
        ]
        self.version, self.hosts, self.changed_at = 1, {}, {}
        self.watches, self.streams, self.processes, self.tasks = [], {}, {}, set()
        family = settings["familyInfo"]
        self.channels = {
            name: PacedChannel(family["channelRate"] * plan.channel_part, family["perMessage"])
            for name in self.names
        }
        self.drained_at, self.lateness, self.stopped = {}, {}, False
        self.list_hosts([self.host(at) for at in range(plan.hosts)])

    # The list.

    def host(self, at, lifecycle="active"):
        zone = self.zones[at % len(self.zones)]
        return {
            "instanceId": f"s-{at}",
            "hostPort": f"127.4.1.{at % 250 + 1}:9",
            "zone": zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0.0,
        }

    def list_hosts(self, hosts):
        """News of the list, told at once to all who watch."""
        self.version += 1
        for one in hosts:
            name = one["instanceId"]
            self.hosts[name], self.changed_at[name] = one, self.version
            if one["lifecycle"] == "active":
                self.drained_at.pop(name, None)
            else:
                self.drained_at.setdefault(name, asyncio.get_running_loop().time())
        self.answer_watches()

    def answer_watches(self):
        waiting, self.watches = self.watches, []
        for watch in waiting:
            query = dict(
                pair.split("=") for pair in watch.path.partition("?")[2].split("&") if pair
            )
            after = int(query.get("after", -1))
            changed = [one for name, one in self.hosts.items() if self.changed_at[name] > after]
            if after >= 0 and not changed and query.get("wait_ms") != "0":
                self.watches.append(watch)
                continue
            answer = {"generation": self.version, "reset": after < 0, "instances": changed}
            watch.answer(200, [], json.dumps(answer).encode())

    # Stewards.

    def address(self, name):
        return f"127.4.0.{self.names.index(name) + 1}"

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: DiscoveryAgent(self), "127.4.2.1", self.plan.port
        )
        for name in self.names:
            self.restart(name)
        for name in self.names:
            await self.ready(name)
        self.spawn(self.look())
        for state in self.proxies:
            self.spawn(self.dial(state, self.home(state)))

    def restart(self, name):
        """Starts a steward; the list in its configuration is the one of the fleet's first moment."""
        at = self.names.index(name)
        known = {
            "generation": 0,
            "reset": True,
            "instances": [self.host(host) for host in range(self.plan.hosts)],
        }
        configuration = {
            "name": name,
            "listen": f"{self.address(name)}:{self.plan.port}",
            "discovery": f"127.4.2.1:{self.plan.port}",
            "seed": f"{self.plan.seed + at:x}",
            "limits": {"sockets": 1024},
            "known": known,
            "settings": {**self.settings, "rank": at, "locality": at % len(self.zones)},
        }
        path = f"{self.folder}/{name}.json"
        with open(path, "w") as file:
            json.dump(configuration, file)
        with open(f"{self.folder}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "peatlead.platform"],
                env={**os.environ, "NODE_CONFIG": path},
                stderr=log,
            )

    async def ready(self, name):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_WITHIN
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.address(name), self.plan.port)
                writer.write(b'{"msg":"probe"}\n')
                answer = await asyncio.wait_for(reader.readline(), READY_WITHIN)
                writer.close()
                if answer:
                    return
            except OSError:
                pass
            if loop.time() > deadline:
                raise TimeoutError(f"{name}: no sign of life within {READY_WITHIN} s")
            await asyncio.sleep(LOOK_EVERY)

    def kill(self, name):
        """As SIGKILL does: its connections are reset, what waits in its channel is lost."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.channels[name].clear()

    def log_of(self, name):
        with open(f"{self.folder}/{name}.log") as file:
            return [json.loads(line) for line in file]

    # Proxies.

    def home(self, state):
        return self.names[state.number % len(self.names)]

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, state, first):
        """To `first`, else to the next that answers, until one does."""
        loop, at = asyncio.get_running_loop(), self.names.index(first)
        while not self.stopped:
            name = self.names[at % len(self.names)]
            try:
                _, stream = await loop.create_connection(
                    lambda to=name: ProxyStream(self, state, to), self.address(name), self.plan.port
                )
            except OSError:
                at += 1
                await asyncio.sleep(0.01)
                continue
            old, self.streams[state] = self.streams.get(state), stream
            if old is not None:
                old.cut("moved")
            if self.plan.rehome and name != self.home(state):
                loop.call_later(
                    self.random.uniform(0.5, 1.0) * self.plan.rehome, self.go_home, state, stream
                )
            return

    def go_home(self, state, stream):
        if self.streams.get(state) is stream and not self.stopped:
            self.spawn(self.dial(state, self.home(state)))

    def stream_ended(self, stream):
        state = stream.proxy
        if self.streams.get(state) is stream and not self.stopped:
            del self.streams[state]
            state.joined_at = None
            wait = self.random.uniform(*self.plan.redial)
            asyncio.get_running_loop().call_later(
                wait, lambda: self.spawn(self.dial(state, stream.steward))
            )

    # What is looked at.

    async def look(self):
        loop = asyncio.get_running_loop()
        while not self.stopped:
            for channel in self.channels.values():
                for message in channel.take(loop.time()):
                    self.deliver(loop, message)
            self.check_drains(loop.time())
            await asyncio.sleep(LOOK_EVERY)

    def deliver(self, loop, message):
        stream = message.stream
        if self.streams.get(stream.proxy) is not stream:
            return
        stream.proxy.apply(message.parts)
        for part in message.parts:
            if "nonce_out" in part:
                latency = 1000 * (loop.time() - message.entered_at)
                loop.call_later(ANSWER_AFTER, stream.answer_mark, part["nonce_out"], latency)

    def check_drains(self, now):
        for state in self.streams:
            for host in state.reachable() & self.drained_at.keys():
                held = now - max(self.drained_at[host], state.joined_at or now)
                pair = state.number, host
                self.lateness[pair] = max(held, self.lateness.get(pair, 0.0))

    def drain_report(self, grace):
        late = [
            (proxy, host, round(held, 3))
            for (proxy, host), held in self.lateness.items()
            if held > grace
        ]
        return DrainReport(
            max(self.lateness.values(), default=0.0),
            sorted(late),
            max(channel.most_waiting for channel in self.channels.values()),
        )

    def still_held(self):
        """How many proxies can reach a host that drains or went."""
        return sum(bool(state.reachable() & self.drained_at.keys()) for state in self.streams)

    def stop(self):
        self.stopped = True
        self.server.close()
        for stream in [*self.streams.values(), *self.watches]:
            stream.cut("over")
        for process in self.processes.values():
            process.kill()
            process.wait()
