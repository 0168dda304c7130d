"""A fleet on the platform's protocol: real controller processes and stand-ins, on loopback.

    fleet = Fleet(settings, FleetPlan(...), folder)
    await fleet.start()
    fleet.update_endpoints([...]); fleet.kill("n0"); fleet.restart("n0")
    fleet.drain_report()

The fleet checks the drain rule on the tables of the proxies: a proxy must not be able to reach an
endpoint for longer than the drain grace after it started to drain or left the list. The time is
counted from the list update or from the proxy's connection to its controller, the later of both.
"""

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Coroutine, Iterable
from functools import partial
from random import Random
from typing import Any, NamedTuple

from ..net.streams import LineStream
from .platform_discovery import ACTIVE, DiscoveryAgent, Endpoint, EndpointList
from .platform_proxies import MessagePart, ProxyState, QueuedMessage, RateLimitedChannel

CHECK_INTERVAL = 0.05  # seconds between checks of the channels and the tables
ACKNOWLEDGE_DELAY = 0.05  # seconds from a message's arrival to its acknowledgement
READY_TIMEOUT = 30.0  # seconds for a controller to answer its first probe
REDIAL_INTERVAL = 0.01  # seconds from a failed connection attempt to the next
MAX_SOCKETS = 1024  # maximum open sockets of one controller
DISCOVERY_ADDRESS = "127.4.2.1"


class FleetPlan(NamedTuple):
    """The size of a fleet and the timing of its proxies."""

    controllers: int
    proxies: int
    endpoints: int
    port: int  # port on which all controllers and the discovery agent listen
    # The channel's rate as a fraction of the configured `channelRate`.
    channel_rate_fraction: float = 1.0
    # Range of the seconds from a stream's end to the next connection.
    redial_delay: tuple[float, float] = (0.3, 0.4)
    return_delay: float = 0.0  # seconds until a proxy returns to its own controller; 0: never
    seed: int = 1


class LateWithdrawal(NamedTuple):
    """A proxy that could reach an endpoint for longer than the drain grace."""

    proxy: int
    endpoint: str
    seconds: float


class DrainReport(NamedTuple):
    """How long proxies could reach endpoints that drain or have left."""

    longest: float  # seconds from the list update or the proxy's connection
    late_withdrawals: list[LateWithdrawal]  # one per proxy and endpoint, longer than the grace
    max_waiting: float  # longest queue of any channel, in entries


class ProxyStream(LineStream):
    """A proxy's stream to one controller."""

    def __init__(self, fleet: "Fleet", proxy: ProxyState, controller: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.proxy = proxy
        self.controller = controller
        self.parts: list[MessagePart] = []  # received parts of a message that is still incomplete

    def opened(self) -> None:
        """Send the proxy's hello message."""
        proxy = self.proxy
        proxy.joined_at = self.loop.time()
        self._send_message(
            msg="hello",
            node=proxy.number,
            locality=proxy.zone,
            w=2.0,
            cold=not proxy.received_full_table,
        )

    def line_received(self, data: bytes) -> None:
        """Collect the parts of a message and queue a complete one in the controller's channel."""
        part = json.loads(data)
        if part["msg"] != "push":
            return
        self.parts.append(part)
        if not part.get("continued"):
            self.fleet.channels[self.controller].enqueue(self.loop.time(), self, self.parts)
            self.parts = []

    def ended(self, reason: str) -> None:
        """Schedule the next connection of the proxy."""
        self.fleet.stream_ended(self)

    def acknowledge(self, nonce: Any, latency: float) -> None:
        """Acknowledge a message that arrived `latency` milliseconds ago."""
        self._send_message(msg="ack", node=self.proxy.number, nonce=nonce, latency=latency)

    def _send_message(self, **fields: Any) -> None:
        self.send(json.dumps(fields).encode() + b"\n")


class Fleet:
    """Controllers, proxies and the discovery agent.

    `settings` are the platform's settings; they are the same for all controllers except for the
    rank and the zone.
    """

    server: asyncio.Server

    def __init__(self, settings: dict[str, Any], plan: FleetPlan, folder: str) -> None:
        self.settings = settings
        self.plan = plan
        self.folder = folder  # for configurations and logs of the controllers
        self.rng = Random(plan.seed)
        self.controller_names = [f"n{rank}" for rank in range(plan.controllers)]
        self.zones: list[str] = settings["zones"]
        self.proxies = self._build_proxies()
        self.streams: dict[ProxyState, ProxyStream] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.channels = self._build_channels()
        self.reachable_seconds: dict[tuple[int, str], float] = {}  # by proxy and endpoint
        self.stopped = False
        self.endpoint_list = EndpointList()
        self.update_endpoints([self.endpoint_entry(number) for number in range(plan.endpoints)])

    def _build_proxies(self) -> list[ProxyState]:
        request_classes = [request_class["name"] for request_class in self.settings["classes"]]
        return [
            ProxyState(number, self.zones[number % len(self.zones)], request_classes)
            for number in range(self.plan.proxies)
        ]

    def _build_channels(self) -> dict[str, RateLimitedChannel[ProxyStream]]:
        family = self.settings["familyInfo"]
        rate = family["channelRate"] * self.plan.channel_rate_fraction
        return {
            name: RateLimitedChannel(rate, family["perMessage"]) for name in self.controller_names
        }

    # The endpoint list.

    def endpoint_entry(self, number: int, lifecycle: str = ACTIVE) -> Endpoint:
        """Return an endpoint's entry in the list."""
        return {
            "instanceId": f"s-{number}",
            "hostPort": f"127.4.1.{number % 250 + 1}:9",
            "zone": self.zones[number % len(self.zones)],
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0.0,
        }

    def update_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Update the endpoint list, which is sent at once to all controllers that watch it."""
        self.endpoint_list.update(endpoints)

    # Controllers.

    def controller_address(self, name: str) -> str:
        """Return a controller's address."""
        return f"127.4.0.{self.controller_names.index(name) + 1}"

    async def start(self) -> None:
        """Start the controllers, wait until each answers, and connect the proxies."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: DiscoveryAgent(self.endpoint_list), DISCOVERY_ADDRESS, self.plan.port
        )
        for name in self.controller_names:
            self.restart(name)
        for name in self.controller_names:
            await self.wait_until_ready(name)
        self._start_task(self._run_checks())
        for proxy in self.proxies:
            self._start_task(self._connect(proxy, self._own_controller(proxy)))

    def restart(self, name: str) -> None:
        """Start a controller's process."""
        path = f"{self.folder}/{name}.json"
        with open(path, "w") as file:
            json.dump(self._configuration(name), file)
        with open(f"{self.folder}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "peatlead.platform"],
                env={**os.environ, "NODE_CONFIG": path},
                stderr=log,
            )

    def _configuration(self, name: str) -> dict[str, Any]:
        """Return a controller's configuration, with the endpoint list at the fleet's start."""
        rank = self.controller_names.index(name)
        initial_list = {
            "generation": 0,
            "reset": True,
            "instances": [self.endpoint_entry(number) for number in range(self.plan.endpoints)],
        }
        return {
            "name": name,
            "listen": f"{self.controller_address(name)}:{self.plan.port}",
            "discovery": f"{DISCOVERY_ADDRESS}:{self.plan.port}",
            "seed": f"{self.plan.seed + rank:x}",
            "limits": {"sockets": MAX_SOCKETS},
            "known": initial_list,
            "settings": {**self.settings, "rank": rank, "locality": rank % len(self.zones)},
        }

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a controller answers a probe; raises TimeoutError."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self.controller_address(name), self.plan.port
                )
                writer.write(b'{"msg":"probe"}\n')
                answer = await asyncio.wait_for(reader.readline(), READY_TIMEOUT)
                writer.close()
                if answer:
                    return
            except OSError:
                pass
            if loop.time() > deadline:
                raise TimeoutError(f"{name}: no answer to a probe within {READY_TIMEOUT} s")
            await asyncio.sleep(CHECK_INTERVAL)

    def kill(self, name: str) -> None:
        """Kill a controller (SIGKILL); its streams are reset and its channel's queue is lost."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.channels[name].clear()

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return a controller's log records."""
        with open(f"{self.folder}/{name}.log") as file:
            return [json.loads(line) for line in file]

    # Proxies.

    def _own_controller(self, proxy: ProxyState) -> str:
        """Return the name of the controller that a proxy prefers."""
        return self.controller_names[proxy.number % len(self.controller_names)]

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, proxy: ProxyState, first_controller: str) -> None:
        """Connect a proxy to a controller, or to the next one that accepts the connection."""
        rank = self.controller_names.index(first_controller)
        while not self.stopped:
            name = self.controller_names[rank % len(self.controller_names)]
            try:
                _, stream = await asyncio.get_running_loop().create_connection(
                    partial(ProxyStream, self, proxy, name),
                    self.controller_address(name),
                    self.plan.port,
                )
            except OSError:
                rank += 1
                await asyncio.sleep(REDIAL_INTERVAL)
                continue
            self._set_stream(proxy, stream)
            return

    def _set_stream(self, proxy: ProxyState, stream: ProxyStream) -> None:
        """Replace the proxy's stream, and schedule its return to its own controller."""
        previous = self.streams.get(proxy)
        self.streams[proxy] = stream
        if previous is not None:
            previous.abort("moved")
        if self.plan.return_delay and stream.controller != self._own_controller(proxy):
            delay = self.rng.uniform(0.5, 1.0) * self.plan.return_delay
            asyncio.get_running_loop().call_later(
                delay, self._return_to_own_controller, proxy, stream
            )

    def _return_to_own_controller(self, proxy: ProxyState, stream: ProxyStream) -> None:
        if self.streams.get(proxy) is stream and not self.stopped:
            self._start_task(self._connect(proxy, self._own_controller(proxy)))

    def stream_ended(self, stream: ProxyStream) -> None:
        """Schedule a new connection of the proxy if the stream was its current one."""
        proxy = stream.proxy
        if self.streams.get(proxy) is stream and not self.stopped:
            del self.streams[proxy]
            proxy.joined_at = None
            delay = self.rng.uniform(*self.plan.redial_delay)
            asyncio.get_running_loop().call_later(
                delay, lambda: self._start_task(self._connect(proxy, stream.controller))
            )

    # Checks.

    async def _run_checks(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.stopped:
            for channel in self.channels.values():
                for message in channel.take_due(loop.time()):
                    self._deliver_message(loop, message)
            self._check_drains(loop.time())
            await asyncio.sleep(CHECK_INTERVAL)

    def _deliver_message(
        self, loop: asyncio.AbstractEventLoop, message: QueuedMessage[ProxyStream]
    ) -> None:
        stream = message.stream
        if self.streams.get(stream.proxy) is not stream:
            return
        stream.proxy.apply(message.parts)
        for part in message.parts:
            if "nonce_out" in part:
                latency = 1000 * (loop.time() - message.entered_at)
                loop.call_later(ACKNOWLEDGE_DELAY, stream.acknowledge, part["nonce_out"], latency)

    def _check_drains(self, now: float) -> None:
        drained_at = self.endpoint_list.drained_at
        for proxy in self.streams:
            for endpoint in proxy.reachable_endpoints() & drained_at.keys():
                seconds = now - max(drained_at[endpoint], proxy.joined_at or now)
                key = (proxy.number, endpoint)
                self.reachable_seconds[key] = max(seconds, self.reachable_seconds.get(key, 0.0))

    def drain_report(self, grace: float) -> DrainReport:
        """Return the results of the drain checks for a drain grace of `grace` seconds."""
        late_withdrawals = [
            LateWithdrawal(proxy, endpoint, round(seconds, 3))
            for (proxy, endpoint), seconds in self.reachable_seconds.items()
            if seconds > grace
        ]
        return DrainReport(
            max(self.reachable_seconds.values(), default=0.0),
            sorted(late_withdrawals),
            max(channel.max_waiting for channel in self.channels.values()),
        )

    def count_proxies_with_drained(self) -> int:
        """Count the proxies that can reach an endpoint that drains or has left."""
        drained = self.endpoint_list.drained_at.keys()
        return sum(bool(proxy.reachable_endpoints() & drained) for proxy in self.streams)

    def stop(self) -> None:
        """Stop the fleet: abort its connections and kill its processes."""
        self.stopped = True
        self.server.close()
        for stream in [*self.streams.values(), *self.endpoint_list.watches]:
            stream.abort("over")
        for process in self.processes.values():
            process.kill()
            process.wait()
