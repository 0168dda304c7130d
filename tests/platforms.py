"""Stand-ins for the platform that tests play against: discovery, a proxy's stream, a steward between them."""

import asyncio
import json

from peatlead.net.http import Server
from peatlead.net.streams import Lines
from peatlead.platform.configuration import Configuration
from peatlead.platform.controller import PlatformController
from peatlead.platform.messages import Address, read_endpoint_list
from peatlead.scenario.runner import free_port

from .helpers import FACTS

STEWARD = "127.3.0.1"


def instance(at, zone="z0", lifecycle="active", started=0.0):
    return {
        "instanceId": f"s-{at}",
        "hostPort": f"127.3.1.{at + 1}:9",
        "zone": zone,
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


class Discovery(Server):
    """One connection to the list's agent. `desk` is shared by all; a call that may wait is held until news come."""

    def __init__(self, desk):
        super().__init__(0.0)
        self.desk = desk

    def opened(self):
        self.desk.conns.append(self)

    def serve(self, method, path, headers, body):
        self.desk.paths.append(path)
        if self.desk.silent:
            return
        self.desk.held.append((self, path))
        self.desk.tell()


class Desk:
    def __init__(self, hosts):
        self.version, self.hosts, self.news = 1, hosts, []
        self.paths, self.held, self.conns, self.servers, self.silent = [], [], [], [], False

    async def open(self, port):
        loop = asyncio.get_running_loop()
        self.servers.append(await loop.create_server(lambda: Discovery(self), "127.3.0.9", port))

    def change(self, *instances):
        self.version, self.news = self.version + 1, list(instances)
        self.tell()

    def tell(self):
        for one in list(self.held):
            conn, path = one
            if "after=" not in path:
                answer = {"generation": self.version, "reset": True, "instances": self.hosts}
            elif f"after={self.version}&wait_ms=0" in path:
                answer = {"generation": self.version, "reset": False, "instances": []}
            elif f"after={self.version}&" in path:
                continue
            else:
                answer = {"generation": self.version, "reset": False, "instances": self.news}
            self.held.remove(one)
            conn.answer(200, [], json.dumps(answer).encode())


class Peer(Lines):
    """A proxy, a collector or anybody else at the steward's address."""

    def __init__(self):
        super().__init__()
        self.got, self.over = [], None

    def line(self, data):
        self.got.append(json.loads(data))

    def ended(self, reason):
        self.over = reason

    def say(self, **fields):
        self.send(json.dumps(fields).encode() + b"\n")


def listing(version, *instances, whole=False):
    """As the steward reads what discovery writes."""
    body = {"generation": version, "reset": whole, "instances": instances}
    return read_endpoint_list(json.dumps(body).encode(), 2e9)


class Place:
    """A steward, its desk, and whoever dials it."""

    def __init__(self, hosts=4, sockets=256, known=None, silent=False, **facts):
        self.port, self.log, self.peers = free_port(), [], []
        self.desk = Desk([instance(at, f"z{at % 2}") for at in range(hosts)])
        self.told = Configuration(
            "n0",
            Address(STEWARD, self.port),
            Address("127.3.0.9", self.port),
            7,
            sockets,
            {**FACTS, "probing": False, "connect_timeout": 0.2, **facts},
            known,
        )
        self.desk.silent = silent

    async def begin(self, wall=lambda: 2e9):
        await self.desk.open(self.port)
        self.node = PlatformController(
            self.told, lambda: self.told, lambda event, **more: self.log.append((event, more)), wall
        )
        await self.node.start()
        return self

    def moved(self, step):
        """The configuration names discovery's address that lies `step` ports on."""
        self.told = self.told._replace(discovery=Address("127.3.0.9", self.port + step))
        self.node.reload()

    async def collector(self, zone="z0"):
        peer = await self.dial()
        peer.say(msg="agent", locality=zone)
        return peer

    async def dial(self):
        _, peer = await asyncio.get_running_loop().create_connection(Peer, STEWARD, self.port)
        self.peers.append(peer)
        return peer

    async def proxy(self, node=0, zone="z0", cold=True):
        peer = await self.dial()
        peer.say(msg="hello", node=node, locality=zone, w=5.0, cold=cold)
        return peer

    def end(self):
        self.node.stop()
        for server in self.desk.servers:
            server.close()
        for one in [*self.peers, *self.desk.conns]:
            one.cut("over")


def play(case, **more):
    """`case(place)` on a loop of its own."""
    from .places import run

    async def whole():
        place = await Place(**more).begin()
        try:
            return await case(place)
        finally:
            place.end()
            await asyncio.sleep(0.02)

    return run(whole())
