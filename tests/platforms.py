"""Fixtures for tests of the platform's controller: fake discovery, fake peers and a controller."""

import asyncio
import json

from peatlead.net.http import ServerConnection
from peatlead.net.streams import LineStream
from peatlead.platform.configuration import Configuration
from peatlead.platform.controller import PlatformController
from peatlead.platform.messages import Address, read_endpoint_list
from peatlead.scenario.runner import free_port
from peatlead.standin.platform_proxies import ProxyState

from .helpers import SETTINGS
from .standin_fleet import run, until

CONTROLLER_HOST = "127.3.0.1"
DISCOVERY_HOST = "127.3.0.9"
UNIX_TIME = 2e9  # seconds
# A valid report from a collector.
OUTCOMES = {
    "msg": "outcomes",
    "locality": "z0",
    "endpoint": "s-1",
    "total": 12,
    "errors": 3,
    "rtt": 41.5,
    "interval": 1000.0,
    "metrics": {"busy": 0.5, "rif": 3.0, "lat_ms": 31.0},
}


def instance(number, zone="z0", lifecycle="active", started=0.0):
    """Return one endpoint in the JSON form of discovery; `started` is in Unix milliseconds."""
    return {
        "instanceId": f"s-{number}",
        "hostPort": f"127.3.1.{number + 1}:9",
        "zone": zone,
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def endpoint_list(version, *instances, whole=False):
    """Return a parsed endpoint list."""
    body = {"generation": version, "reset": whole, "instances": instances}
    return read_endpoint_list(json.dumps(body).encode(), UNIX_TIME)


class DiscoveryConnection(ServerConnection):
    """A connection of a client to a FakeDiscovery."""

    def __init__(self, discovery):
        super().__init__(0.0)
        self.discovery = discovery

    def opened(self):
        self.discovery.connections.append(self)

    def serve(self, method, path, headers, body):
        self.discovery.request_paths.append(path)
        if self.discovery.silent:
            return
        self.discovery.held_requests.append((self, path))
        self.discovery.answer_requests()


class FakeDiscovery:
    """A discovery service that holds long polls until there is a change."""

    def __init__(self, instances):
        self.version = 1
        self.instances = instances  # entries of the whole list
        self.changes = []  # entries that changed since the previous version
        self.silent = False  # whether requests get no answer
        self.request_paths = []
        self.held_requests = []  # (connection, path) of each unanswered request
        self.connections = []
        self.servers = []

    async def open(self, port):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: DiscoveryConnection(self), DISCOVERY_HOST, port)
        self.servers.append(server)

    def publish(self, *changes):
        self.version += 1
        self.changes = list(changes)
        self.answer_requests()

    def answer_requests(self):
        for request in list(self.held_requests):
            connection, path = request
            answer = self.answer(path)
            if answer is not None:
                self.held_requests.remove(request)
                connection.respond(200, [], json.dumps(answer).encode())

    def answer(self, path):
        """Return the answer to a request, or None while the request has to wait."""
        if "after=" not in path:
            return {"generation": self.version, "reset": True, "instances": self.instances}
        if f"after={self.version}&wait_ms=0" in path:
            return {"generation": self.version, "reset": False, "instances": []}
        if f"after={self.version}&" in path:
            return None
        return {"generation": self.version, "reset": False, "instances": self.changes}


class FakePeer(LineStream):
    """A proxy, collector or other peer that records what the controller sends."""

    def __init__(self):
        super().__init__()
        self.messages = []  # received from the controller, decoded
        self.end_reason = None

    def line_received(self, data):
        self.messages.append(json.loads(data))

    def ended(self, reason):
        self.end_reason = reason

    def send_message(self, **fields):
        self.send(json.dumps(fields).encode() + b"\n")


class PlatformFixture:
    """A controller with a fake discovery and fake peers; `settings` override helpers.SETTINGS.

    `sockets` is the maximum number of open file descriptors. With `silent`, discovery never answers.
    """

    def __init__(self, endpoints=4, sockets=256, remembered_list=None, silent=False, **settings):
        self.port = free_port()
        self.log = []  # (event, fields)
        self.peers = []
        instances = [instance(number, f"z{number % 2}") for number in range(endpoints)]
        self.discovery = FakeDiscovery(instances)
        self.discovery.silent = silent
        self.configuration = Configuration(
            name="n0",
            listen=Address(CONTROLLER_HOST, self.port),
            discovery=Address(DISCOVERY_HOST, self.port),
            seed=7,
            sockets=sockets,
            settings={**SETTINGS, "probing": False, "connect_timeout": 0.2, **settings},
            remembered_list=remembered_list,
        )

    async def start(self, unix_time=lambda: UNIX_TIME):
        await self.discovery.open(self.port)
        self.controller = PlatformController(
            self.configuration,
            lambda: self.configuration,
            lambda event, **fields: self.log.append((event, fields)),
            unix_time,
        )
        await self.controller.start()
        return self

    def stop(self):
        self.controller.stop()
        for server in self.discovery.servers:
            server.close()
        for stream in [*self.peers, *self.discovery.connections]:
            stream.abort("over")

    def change_discovery_port(self, port_offset):
        """Reload a configuration in which discovery's port is changed by `port_offset`."""
        address = Address(DISCOVERY_HOST, self.port + port_offset)
        self.configuration = self.configuration._replace(discovery=address)
        self.controller.reload()

    async def connect(self):
        loop = asyncio.get_running_loop()
        _, peer = await loop.create_connection(FakePeer, CONTROLLER_HOST, self.port)
        self.peers.append(peer)
        return peer

    async def connect_proxy(self, number=0, zone="z0", bootstrap_only=True):
        peer = await self.connect()
        peer.send_message(msg="hello", node=number, locality=zone, w=5.0, cold=bootstrap_only)
        return peer

    async def connect_collector(self, zone="z0"):
        peer = await self.connect()
        peer.send_message(msg="agent", locality=zone)
        return peer

    async def connect_proxy_with_table(self, number=0, **options):
        """Connect a proxy, wait until it has received a whole table, and return it."""
        proxy = await self.connect_proxy(number, **options)
        await until(lambda: whole_tables(proxy))
        return proxy


def whole_tables(peer):
    """Return how many whole tables a peer has received."""
    return sum(message.get("full", False) for message in peer.messages)


def removed_endpoints(peer):
    """Return the endpoints that the peer's messages made reachable and later removed."""
    names = [request_class["name"] for request_class in SETTINGS["req_kinds"]]
    state = ProxyState(0, "z0", names)
    reachable_before = set()
    for message in peer.messages:
        state.apply([message])
        reachable_before |= state.reachable_endpoints()
    return reachable_before - state.reachable_endpoints()


def run_with_platform(case, **options):
    """Run `case(platform)` with a started fixture on a new event loop."""

    async def run_case():
        platform = await PlatformFixture(**options).start()
        try:
            return await case(platform)
        finally:
            platform.stop()
            await asyncio.sleep(0.02)

    return run(run_case())
