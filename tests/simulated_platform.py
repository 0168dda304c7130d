"""Controllers of the platform on simulated time, with proxies that keep their ejections.

The controllers and their sessions are the real ones; only the listener's sockets and the watch of
the endpoint list are replaced. Everything else runs in the process `world`.
"""

import asyncio
import json
import math
from functools import partial

from peatlead.lab.simulation import Simulation, play
from peatlead.net.streams import LineStream
from peatlead.platform.configuration import Configuration
from peatlead.platform.controller import PlatformController
from peatlead.platform.messages import RETRY_POLICY_CODES, Address, read_endpoint_list
from peatlead.platform.sessions import Session
from peatlead.standin.platform_proxies import ProxyState, RateLimitedChannel

from .helpers import SETTINGS
from .platforms import UNIX_TIME

PORT = 20_000
CHECK_INTERVAL = 0.05  # seconds
READY_DELAY = 0.25  # seconds from the start of a process until it accepts connections
REDIAL_DELAY = (0.3, 2.0)  # seconds
RETURN_DELAY = (0.5, 15.0)  # seconds until a proxy returns to its own controller
SETTLING_TIME = 25.0  # seconds after the last proxy has returned to its own controller
TOLERANCE = 0.3  # seconds that the platform adds to the limits of the rules
FLEET_SETTINGS = {
    **SETTINGS,
    "probing": False,
    "channel_rate": 7300.0,
    "message_head": 4.0,
    "queue_most": 13_600.0,
    "push_delay_most": 1.1,
    "bare_most": 3.1,
}


class SimulatedStream(LineStream):
    """A proxy's stream to a controller."""

    def __init__(self, fleet, proxy, controller):
        super().__init__()
        self.fleet, self.proxy, self.controller = fleet, proxy, controller
        self.parts = []

    def opened(self):
        self.proxy.joined_at = self.loop.time()
        self.send_message(
            msg="hello",
            locality=self.proxy.zone,
            w=10.0,
            cold=not self.proxy.received_full_table,
        )

    def send_message(self, **fields):
        self.send(json.dumps({**fields, "node": self.proxy.number}).encode() + b"\n")

    def line_received(self, data):
        self.parts.append(json.loads(data))
        if not self.parts[-1].get("continued"):
            self.fleet.channels[self.controller].enqueue(self.loop.time(), self, self.parts)
            self.parts = []

    def ended(self, reason):
        self.fleet.stream_ended(self)


class SimulatedPlatform:
    """Controllers, proxies and the endpoint list.

    `settings` override FLEET_SETTINGS. Requests of the classes `own_zone_classes` stay in the zone
    of their proxy. The channels have the configured rate divided by `channel_slowdown`, and a message
    reaches its proxy after a time drawn from `delivery_delay`, in seconds.
    """

    def __init__(
        self,
        seed,
        controllers=2,
        proxies=60,
        endpoints=18,
        zones=3,
        return_delay=RETURN_DELAY,
        redial_delay=REDIAL_DELAY,
        delivery_delay=(0.0, 0.0),
        channel_slowdown=1.0,
        own_zone_classes=("pay",),
        **settings,
    ):
        self.simulation = Simulation(seed)
        self.world = self.simulation.add_process("world")
        self.rng = self.simulation.rng
        self.zones = [f"z{number}" for number in range(zones)]
        self.return_delay = return_delay
        self.redial_delay = redial_delay
        self.delivery_delay = delivery_delay
        self.settings = {
            **FLEET_SETTINGS,
            **settings,
            "zones": self.zones,
            "stewards": controllers,
            "proxies": proxies,
            "req_kinds": [
                {**request_class, "own_zone": request_class["name"] in own_zone_classes}
                for request_class in SETTINGS["req_kinds"]
            ],
        }
        self.entries = {}  # of the endpoint list, by name
        self.names = [f"s-{number}" for number in range(endpoints)]
        for name in self.names:
            self.entries[name] = self.entry(name)
        self.version = 1
        self.told = {}  # entries that each controller was last told of
        self.controllers = {}
        self.processes = {}
        self.starts = 0
        rate = self.settings["channel_rate"] / channel_slowdown
        self.channels = {
            rank: RateLimitedChannel(rate, self.settings["message_head"])
            for rank in range(controllers)
        }
        classes = [request_class["name"] for request_class in SETTINGS["req_kinds"]]
        self.proxies = [
            ProxyState(number, self.zones[number % zones], classes) for number in range(proxies)
        ]
        self.streams = {}
        self.empty_since = {}
        self.longest_empty = 0.0  # seconds that a joined proxy had no line of its zone's class
        self.last_arrivals = {}  # by proxy, in seconds
        self.drained_at = {}
        self.longest_drain = 0.0

    # The endpoint list.

    def entry(self, name, lifecycle="active", started=0.0):
        return {
            "instanceId": name,
            "hostPort": "127.3.1.1:9",
            "zone": self.zones[int(name[2:]) % len(self.zones)],
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 1000 * started,
        }

    def unix_time(self):
        return UNIX_TIME + self.simulation.now

    def names_in(self, zone):
        return [name for name in self.names if self.entry(name)["zone"] == self.zones[zone]]

    def tell(self, names, lifecycle, whole=False, restarted=True):
        """Change the entries of endpoints, at all controllers.

        Endpoints that become active have just started, unless `restarted` is false. With `whole`,
        controllers receive the whole list instead of the changes.
        """
        started = self.unix_time() if lifecycle == "active" and restarted else 0.0
        changes = [self.entry(name, lifecycle, started) for name in names]
        self.version += 1
        for change in changes:
            self.entries[change["instanceId"]] = change
            if lifecycle == "active":
                self.drained_at.pop(change["instanceId"], None)
            else:
                self.drained_at.setdefault(change["instanceId"], self.simulation.now)
        for rank in self.controllers:
            self.send_list(rank, self.listed() if whole else changes, whole)

    def listed(self):
        return [entry for entry in self.entries.values() if entry["lifecycle"] != "left"]

    def parse_list(self, entries, whole):
        document = {"generation": self.version, "reset": whole, "instances": list(entries)}
        return read_endpoint_list(json.dumps(document).encode(), self.unix_time())

    def send_list(self, rank, entries, whole):
        if whole:
            self.told[rank] = {}
        self.told[rank].update({entry["instanceId"]: entry for entry in entries})
        self.processes[rank].call_soon(
            self.controllers[rank].on_endpoint_list, self.parse_list(entries, whole)
        )

    # Controllers.

    def start(self, rank, known=None):
        """Start a controller, which remembers the list `known`."""
        self.starts += 1
        self.processes[rank] = self.simulation.add_process(f"n{rank}-{self.starts}")
        self.processes[rank].create_task(self.run_controller(rank, known))

    async def run_controller(self, rank, known):
        loop = asyncio.get_running_loop()
        settings = {**self.settings, "rank": rank, "zone": rank % len(self.zones)}
        address = Address(f"127.3.0.{rank + 1}", PORT)
        configuration = Configuration(
            f"n{rank}", address, address, 7 + self.starts, 1024, settings, None
        )
        controller = PlatformController(
            configuration, lambda: configuration, lambda *_, **__: None, self.unix_time
        )
        if known is not None:
            remembered = self.parse_list(known, True)._replace(scope="remembered")
            controller.on_endpoint_list(remembered)
        self.controllers[rank] = controller
        self.told[rank] = {}
        self.send_list(rank, self.listed(), whole=True)
        await asyncio.sleep(READY_DELAY)
        await loop.create_server(lambda: Session(controller.listener), address.host, address.port)

    def kill(self, rank):
        """End a controller at once and return the list that it was last told of."""
        self.controllers.pop(rank, None)
        self.channels[rank].clear()
        self.processes[rank].kill()
        told = self.told.get(rank, {}).values()
        return [entry for entry in told if entry["lifecycle"] != "left"]

    async def restart(self, rank, gracefully=True, pause=0.3):
        """Restart a controller; `gracefully`, it decides on the events in its inbox first."""
        if gracefully and rank in self.controllers:
            self.processes[rank].call_soon(self.controllers[rank].run_batch)
            await asyncio.sleep(0.05)
        known = self.kill(rank)
        await asyncio.sleep(pause)
        self.start(rank, known)
        await asyncio.sleep(READY_DELAY)

    # Proxies.

    async def connect(self, proxy, rank):
        """Connect a proxy to a controller, or to the next one that accepts."""
        while True:
            try:
                _, stream = await asyncio.get_running_loop().create_connection(
                    partial(SimulatedStream, self, proxy, rank), f"127.3.0.{rank + 1}", PORT
                )
                break
            except OSError:
                rank = (rank + 1) % len(self.channels)
                await asyncio.sleep(self.rng.uniform(0.05, 0.2))
        previous = self.streams.get(proxy)
        self.streams[proxy] = stream
        if previous is not None:
            previous.abort("moved")
        home = proxy.number // len(self.zones) % len(self.channels)
        if rank != home:
            self.world.call_later(
                self.rng.uniform(*self.return_delay), self.return_home, stream, home
            )

    def return_home(self, stream, home):
        if self.streams.get(stream.proxy) is stream and home in self.controllers:
            self.world.create_task(self.connect(stream.proxy, home))

    def stream_ended(self, stream):
        if self.streams.get(stream.proxy) is not stream:
            return
        del self.streams[stream.proxy]
        self.world.call_later(
            self.rng.uniform(*self.redial_delay),
            lambda: self.world.create_task(
                self.connect(stream.proxy, (stream.controller + 1) % len(self.channels))
            ),
        )

    async def run_checks(self):
        while True:
            for channel in self.channels.values():
                for message in channel.take_due(self.simulation.now):
                    self.deliver_later(message)
            self.check_rules(self.simulation.now)
            await asyncio.sleep(CHECK_INTERVAL)

    def deliver_later(self, message):
        """Deliver a message after its delay, and after those that left the channel before it."""
        if not any(self.delivery_delay):
            self.deliver(message)
            return
        proxy, now = message.stream.proxy, self.simulation.now
        arrives_at = max(
            now + self.rng.uniform(*self.delivery_delay), self.last_arrivals.get(proxy, 0.0)
        )
        self.last_arrivals[proxy] = arrives_at
        self.world.call_later(arrives_at - now, self.deliver, message)

    def deliver(self, message):
        stream = message.stream
        if self.streams.get(stream.proxy) is not stream:
            return
        stream.proxy.apply(message.parts)
        for part in message.parts:
            if "nonce_out" in part:
                stream.send_message(msg="ack", nonce=part["nonce_out"], latency=300.0)

    def check_rules(self, now):
        """Update how long proxies had no line although a warm endpoint of their zone is listed."""
        warm_until = 1000 * (self.unix_time() - self.settings["warm_after"])
        warm_zones = {
            entry["zone"]
            for entry in self.listed()
            if entry["lifecycle"] == "active" and entry["startedAtMs"] <= warm_until
        }
        for proxy in self.proxies:
            stream = self.streams.get(proxy)
            is_empty = not proxy.tables["pay"].keys() - proxy.ejected
            if stream is not None and is_empty and proxy.zone in warm_zones:
                since = max(self.empty_since.setdefault(proxy, now), proxy.joined_at)
                self.longest_empty = max(self.longest_empty, now - since)
            else:
                self.empty_since.pop(proxy, None)
            for name in proxy.reachable_endpoints() & self.drained_at.keys():
                if stream is not None:
                    since = max(self.drained_at[name], proxy.joined_at)
                    self.longest_drain = max(self.longest_drain, now - since)

    def ejected_entries(self):
        """Return the pairs of a proxy and a ready listed endpoint in its tables that it ejects."""
        ready = {entry["instanceId"] for entry in self.listed() if entry["lifecycle"] == "active"}
        return [
            (proxy.number, name)
            for proxy in self.proxies
            for name in sorted(set().union(*proxy.tables.values()) & proxy.ejected & ready)
        ]

    def outdated_state(self):
        """Return the tables and admissions of proxies that differ from what their controllers hold."""
        outdated = []
        for proxy in self.proxies:
            controller = self.controllers[self.streams[proxy].controller]
            publisher, name = controller.publisher, controller.endpoint_tracker.endpoint_name
            for number, request_class in enumerate(proxy.request_classes):
                entries = publisher.tables[publisher.assigned_tables[proxy.number][number]]
                table = {name(endpoint): round(entries[endpoint], 3) for endpoint in entries}
                admission = publisher.admission(proxy.number, number)
                policy = RETRY_POLICY_CODES[admission.retry_policy]
                if table != proxy.tables[request_class]:
                    outdated.append((proxy.number, table, proxy.tables[request_class]))
                if (round(admission.fraction, 3), policy) != proxy.admissions[request_class]:
                    outdated.append((proxy.number, admission, proxy.admissions[request_class]))
        return outdated

    # Courses.

    def play(self, course):
        """Start the fleet, run `course(fleet)`, and let the fleet settle until all have returned."""

        async def run():
            for rank in self.channels:
                self.start(rank)
            await asyncio.sleep(2 * READY_DELAY)
            self.world.create_task(self.run_checks())
            for proxy in self.proxies:
                home = proxy.number // len(self.zones) % len(self.channels)
                self.world.create_task(self.connect(proxy, home))
            await asyncio.sleep(5.0)
            await course(self)
            await asyncio.sleep(self.return_delay[1] + SETTLING_TIME)

        play(self.simulation, self.world, run(), math.inf)
        return self
