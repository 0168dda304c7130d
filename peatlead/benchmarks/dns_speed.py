"""Measures the DNS server's rate of prepared answers over UDP, compared with an echo server.

`python -m peatlead.benchmarks.dns_speed`. The clients run in processes of their own and keep a
window of queries in flight on each socket. All servers run on one event loop, and their rounds
alternate so that other load of the machine affects them alike. Tables change during the rounds.
Also measured: a server that parses and serializes each message with dnspython, and the memory of
each view.
"""

import asyncio
import gc
import json
import multiprocessing
import random
import resource
import selectors
import socket
import time
import tracemalloc
from collections.abc import Mapping
from multiprocessing.queues import Queue
from typing import Any, NamedTuple, cast

import dns.message
import dns.rrset

from ..dns.answers import Answers
from ..dns.server import DnsServer
from ..dns.views import Views
from ..dns.warmup_thinning import AnswerPool
from ..settings import load_settings

SERVER = "127.1.0.1"
QUERIED_NAME = "api.example.org"
CLIENTS = 3  # processes
SOCKETS_PER_CLIENT = 8
TABLE_ENTRIES = 12
CODEC_ROUNDS = 2  # fewer rounds than for the other servers, since the codec is far slower
ANSWERS_PER_VIEW = 20  # sent before memory is measured
CHANGE_INTERVAL = 0.1  # seconds between changes of tables

SCRIPT = """
zones = ["a", "b", "c"]
[zone(name = z) for z in zones]
dns(zone = "example.org", port = 8080, lifetime = 1)
limits(drain_grace = 3, bare_most = 4, cold_share = 0.25, warm_after = 12, tip_multiple = 3, tip_span = 1.5)
node_list(path = "/nowhere")
probes(port = 8080)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, repeat = "replayable")
service(label = "api", kinds = ["look"])
steward(name = "ns1", zone = "a", listen = "127.1.0.1:53", control = "127.1.0.1:54")
[view(name = "d%d" % i, zone = zones[i % 3], networks = ["127.{}.{}.0/24".format(100 + i // 250, i % 250)])
 for i in range(VIEWS)]
"""  # noqa: E501 - a settings script

Peer = tuple[str, int]
Rates = dict[str, list[float]]  # answers per second of each round, by server


class EchoServer(asyncio.DatagramProtocol):
    """A server that returns each datagram, to measure the event loop and the sockets alone."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, peer: Peer) -> None:
        """Send a datagram back."""
        self.transport.sendto(data, peer)


class CodecServer(EchoServer):
    """A server that parses every query and serializes every answer with dnspython."""

    def datagram_received(self, data: bytes, peer: Peer) -> None:
        """Answer a query with two addresses."""
        query = dns.message.from_wire(data)
        answer = dns.message.make_response(query)
        name = query.question[0].name
        answer.answer.append(dns.rrset.from_text(name, 1, "IN", "A", "127.10.0.1", "127.10.0.2"))
        self.transport.sendto(answer.to_wire(), peer)


class ClientLoad(NamedTuple):
    """The load of one round."""

    seconds: float
    window: int  # queries in flight on each socket
    views: int  # whose addresses the clients use


class Fixture(NamedTuple):
    """Answers with a table for each view, and the random generator that drew the tables."""

    settings: Any
    answers: Answers
    tables: list[dict[int, float]]  # weights of endpoints, by view
    rng: random.Random


def view_network(view: int) -> str:
    """Return the first three bytes of a view's network, dotted."""
    return f"127.{100 + view // 250}.{view % 250}"


def connect(port: int, views: int, rng: random.Random) -> socket.socket:
    """Return a UDP socket connected to the server from an address of a random view."""
    view = rng.randrange(views)
    connected = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    connected.bind((f"{view_network(view)}.{rng.randrange(1, 250)}", 0))
    connected.connect((SERVER, port))
    connected.setblocking(False)
    return connected


def run_client(port: int, seed: int, load: ClientLoad, results: "Queue[float]") -> None:
    """Send queries for `load.seconds`, and put the rate of answers per second into `results`."""
    rng = random.Random(seed)
    query = dns.message.make_query(QUERIED_NAME, "A").to_wire()
    sockets = [connect(port, load.views, rng) for _ in range(SOCKETS_PER_CLIENT)]
    selector = selectors.DefaultSelector()
    for connected in sockets:
        selector.register(connected, selectors.EVENT_READ)
        for _ in range(load.window):
            connected.send(query)
    answered = 0
    end = time.monotonic() + load.seconds
    while time.monotonic() < end:
        ready = [cast(socket.socket, key.fileobj) for key, _ in selector.select(0.1)]
        for connected in ready or sockets:
            answered += receive_answers(connected, query)
            if not ready:
                connected.send(query)  # a datagram was lost: refill the window
    results.put(answered / load.seconds)


def receive_answers(connected: socket.socket, query: bytes) -> int:
    """Read the answers that have arrived and send a query for each; returns their number."""
    answered = 0
    try:
        while True:
            connected.recv(2048)
            answered += 1
            connected.send(query)
    except BlockingIOError:
        return answered


async def run_clients(port: int, seed: int, load: ClientLoad) -> float:
    """Run all clients; returns the sum of their answers per second."""
    results: Queue[float] = multiprocessing.Queue()
    clients = [
        multiprocessing.Process(target=run_client, args=(port, seed + index, load, results))
        for index in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    while any(client.is_alive() for client in clients):
        await asyncio.sleep(0.05)
    return sum(results.get() for _ in clients)


def build_fixture(views: int, endpoints: int, seed: int = 1) -> Fixture:
    """Return answers with a random table for each view."""
    settings = load_settings("speed.star", SCRIPT.replace("VIEWS", str(views)))
    rng = random.Random(seed)
    answers = Answers(settings, Views(settings), rng.uniform)
    for endpoint in range(endpoints):
        address = f"127.10.{endpoint // 250}.{endpoint % 250 + 1}"
        answers.set_endpoint(endpoint, f"h{endpoint}", address, "")
    tables = [
        dict.fromkeys(rng.sample(range(endpoints), TABLE_ENTRIES), 1.0) for _ in answers.views.views
    ]
    for view, table in enumerate(tables):
        answers.set_pool(view, 0, AnswerPool(table, True, 2), table)
    return Fixture(settings, answers, tables, rng)


async def change_tables(
    fixture: Fixture, endpoints: int, rate: int, changed_views: list[int]
) -> None:
    """Replace an entry in `rate` tables per second; their views are added to `changed_views`."""
    _, answers, tables, rng = fixture
    while True:
        for _ in range(max(1, int(rate * CHANGE_INTERVAL))):
            view = rng.randrange(len(tables))
            table = tables[view]
            table.pop(rng.choice(sorted(table)))
            table[rng.randrange(endpoints)] = 1.0
            answers.set_pool(view, 0, AnswerPool(dict(table), True, 2), table)
            changed_views.append(view)
        await asyncio.sleep(CHANGE_INTERVAL)


async def open_servers(fixture: Fixture) -> dict[str, int]:
    """Open the DNS server and the two servers that it is compared with; returns their ports."""
    loop = asyncio.get_running_loop()
    server = DnsServer(fixture.settings["dns"], fixture.answers)
    server.fresh_until = float("inf")
    await server.open((SERVER, 0))
    udp: Any = server.listeners[0]
    ports = {"server": udp.get_extra_info("sockname")[1]}
    for name, protocol in (("echo", EchoServer), ("codec", CodecServer)):
        transport, _ = await loop.create_datagram_endpoint(protocol, local_addr=(SERVER, 0))
        ports[name] = transport.get_extra_info("sockname")[1]
    return ports


async def measure_rates(ports: Mapping[str, int], rounds: int, load: ClientLoad) -> Rates:
    """Return the answers per second of each server, measured in alternating rounds."""
    rates: Rates = {name: [] for name in ports}
    for number in range(rounds):
        for name in ("echo", "server", "codec"):
            if name != "codec" or number < CODEC_ROUNDS:
                rates[name].append(await run_clients(ports[name], number * 10, load))
    return rates


def compare(rates: Rates) -> dict[str, Any]:
    """Return the rates and their ratios to the rate of the echo server."""
    ratios = sorted(server / echo for server, echo in zip(rates["server"], rates["echo"]))
    mean = {name: sum(values) / len(values) for name, values in rates.items()}
    return {
        "echo answers per second": [round(rate) for rate in rates["echo"]],
        "server answers per second": [round(rate) for rate in rates["server"]],
        "codec answers per second": [round(rate) for rate in rates["codec"]],
        "server / echo": {
            "min": round(ratios[0], 3),
            "median": round(ratios[len(ratios) // 2], 3),
            "max": round(ratios[-1], 3),
        },
        "codec / echo": round(mean["codec"] / mean["echo"], 3),
    }


async def measure(
    views: int = 3000,
    endpoints: int = 300,
    rounds: int = 7,
    seconds: float = 2.0,
    window: int = 16,
    rate: int = 300,
) -> dict[str, Any]:
    """Measure rates while `rate` tables per second change, and memory afterwards."""
    fixture = build_fixture(views, endpoints)
    ports = await open_servers(fixture)
    changed_views: list[int] = []
    change_task = asyncio.create_task(change_tables(fixture, endpoints, rate, changed_views))
    rates = await measure_rates(ports, rounds, ClientLoad(seconds, window, views))
    change_task.cancel()
    return {
        "views": views,
        "hosts": endpoints,
        "rounds": rounds,
        "tables changed": len(changed_views),
        **compare(rates),
        "bytes per view": measure_memory(views, endpoints),
        "peak resident MB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def measure_memory(views: int, endpoints: int) -> dict[str, int]:
    """Return the memory of one view in bytes, before and after its first answers.

    Answers add the drawn orders of endpoints and the prepared answers of one query.
    """
    gc.collect()
    tracemalloc.start()
    answers = build_fixture(views, endpoints).answers
    query = dns.message.make_query(QUERIED_NAME, "A").to_wire()
    bytes_before_answers = tracemalloc.get_traced_memory()[0]
    for view in range(views):
        for _ in range(ANSWERS_PER_VIEW):
            answers.respond(query, f"{view_network(view)}.9")
    bytes_after_answers = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "settings, view and table": bytes_before_answers // views,
        "orders and prepared answers": (bytes_after_answers - bytes_before_answers) // views,
    }


def main() -> None:
    """Measure and print the result as JSON."""
    print(json.dumps(asyncio.run(measure()), indent=1))


if __name__ == "__main__":
    main()
