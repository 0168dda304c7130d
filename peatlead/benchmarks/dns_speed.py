"""How fast prepared answers go out over UDP, beside a bare echo on the same loop, in one run.

Clients are raw sockets in processes of their own, `window` queries in flight each. Rounds of echo and
front take turns, so that the machine's moods strike both; tables change all the while. Also bytes held a
view, and a plain server on the general codec.
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

import dns.message
import dns.rrset

from ..dns.answers import Answers
from ..dns.server import DnsServer
from ..dns.views import Views
from ..dns.warmup_thinning import AnswerPool
from ..settings import load_settings

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
"""


class Echo(asyncio.DatagramProtocol):
    def connection_made(self, transport):
        self.sendto = transport.sendto

    def datagram_received(self, data, peer):
        self.sendto(data, peer)


class Codec(Echo):
    """The plain way: every query read and every answer made by the general codec."""

    def datagram_received(self, data, peer):
        query = dns.message.from_wire(data)
        answer = dns.message.make_response(query)
        answer.answer.append(
            dns.rrset.from_text(query.question[0].name, 1, "IN", "A", "127.10.0.1", "127.10.0.2")
        )
        self.sendto(answer.to_wire(), peer)


def client(port, seed, seconds, window, views, results):
    """Keeps `window` queries in flight on each of 8 sockets, from views drawn anew for each round."""
    draw, wire = random.Random(seed), dns.message.make_query("api.example.org", "A").to_wire()
    picker, sockets = selectors.DefaultSelector(), []
    for _ in range(8):
        view = draw.randrange(views)
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.bind((f"127.{100 + view // 250}.{view % 250}.{draw.randrange(1, 250)}", 0))
        one.connect(("127.1.0.1", port))
        one.setblocking(False)
        picker.register(one, selectors.EVENT_READ)
        sockets.append(one)
    for one in sockets:
        for _ in range(window):
            one.send(wire)
    done, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        ready = picker.select(0.1)
        for key, _ in ready or [(picker.get_key(one), 0) for one in sockets]:
            try:
                while True:
                    key.fileobj.recv(2048)
                    done += 1
                    key.fileobj.send(wire)
            except BlockingIOError:
                if not ready:
                    key.fileobj.send(wire)  # a datagram was lost: the window goes on
    results.put(done / seconds)


async def load(port, seconds, window, views, seed, clients=3):
    """Answers a second that the clients had."""
    results = multiprocessing.Queue()
    running = [
        multiprocessing.Process(
            target=client, args=(port, seed + at, seconds, window, views, results)
        )
        for at in range(clients)
    ]
    for one in running:
        one.start()
    while any(one.is_alive() for one in running):
        await asyncio.sleep(0.05)
    return sum(results.get() for _ in running)


def build(views, hosts, seed=1):
    settings = load_settings("speed.star", SCRIPT.replace("VIEWS", str(views)))
    draw = random.Random(seed)
    answers = Answers(settings, Views(settings), draw.uniform)
    for host in range(hosts):
        answers.know(host, f"h{host}", f"127.10.{host // 250}.{host % 250 + 1}", "")
    tables = [dict.fromkeys(draw.sample(range(hosts), 12), 1.0) for _ in answers.views.views]
    for view, table in enumerate(tables):
        answers.place(view, 0, AnswerPool(table, True, 2), table)
    return settings, answers, tables, draw


async def change(answers, tables, draw, hosts, rate, counted):
    """`rate` views a second lose a line and get another, a tenth of a second's worth at a time."""
    while True:
        for _ in range(max(1, int(rate / 10))):
            view = draw.randrange(len(tables))
            tables[view].pop(draw.choice(sorted(tables[view])))
            tables[view][draw.randrange(hosts)] = 1.0
            answers.place(view, 0, AnswerPool(dict(tables[view]), True, 2), tables[view])
            counted[0] += 1
        await asyncio.sleep(0.1)


async def measure(views=3000, hosts=300, rounds=7, seconds=2.0, window=16, rate=300):
    loop = asyncio.get_running_loop()
    settings, answers, tables, draw = build(views, hosts)
    front = DnsServer(settings["dns"], answers)
    front.fresh_until = float("inf")
    await front.open(("127.1.0.1", 0))
    ports = {"front": front.closers[0].get_extra_info("sockname")[1]}
    for name, protocol in (("echo", Echo), ("codec", Codec)):
        transport, _ = await loop.create_datagram_endpoint(protocol, local_addr=("127.1.0.1", 0))
        ports[name] = transport.get_extra_info("sockname")[1]
    counted = [0]
    changing = loop.create_task(change(answers, tables, draw, hosts, rate, counted))
    found = {name: [] for name in ports}
    for at in range(rounds):
        for name in ("echo", "front") + (("codec",) if at < 2 else ()):
            found[name].append(await load(ports[name], seconds, window, views, at * 10))
    changing.cancel()
    ratios = sorted(front_rate / echo for front_rate, echo in zip(found["front"], found["echo"]))
    return {
        "views": views,
        "hosts": hosts,
        "rounds": rounds,
        "tables changed": counted[0],
        "echo a second": [round(x) for x in found["echo"]],
        "front a second": [round(x) for x in found["front"]],
        "codec a second": [round(x) for x in found["codec"]],
        "front / echo": {
            "least": round(ratios[0], 3),
            "median": round(ratios[len(ratios) // 2], 3),
            "most": round(ratios[-1], 3),
        },
        "codec / echo": round(
            sum(found["codec"]) / len(found["codec"]) / (sum(found["echo"]) / len(found["echo"])), 3
        ),
        "bytes held a view": held(views, hosts),
        "peak resident MB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def held(views, hosts):
    """Bytes that a view's tables, orders and one prepared query take, all answered once."""
    gc.collect()
    tracemalloc.start()
    _, answers, _, _ = build(views, hosts)
    wire = dns.message.make_query("api.example.org", "A").to_wire()
    tables = tracemalloc.get_traced_memory()[0]
    for view in range(views):
        for _ in range(20):
            answers.respond(wire, f"127.{100 + view // 250}.{view % 250}.9")
    whole = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "settings, view and table": tables // views,
        "orders and prepared answers": (whole - tables) // views,
    }


def main():
    print(json.dumps(asyncio.run(measure()), indent=1))


if __name__ == "__main__":
    main()
