"""A whole steward and thousands of streams on loopback: `python -m peatlead.benchmarks.herd PROXIES HOSTS [REPORTS]`

Bare agents in processes of their own join one real steward, take what is published and answer for it. Measured:
until all are served, memory a proxy; then one host drains that all hold: milliseconds from the list's file to each
agent (median, 99th, last), bytes a proxy; beside it a bare loop that writes the same bytes to as many streams.
REPORTS: load reports a second of each agent meanwhile, to see whether withdrawals wait behind them; past what the
steward can take, what it shed is told. Below 0: of agents that do not slow down when they are told to.
"""

import asyncio
import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from ..controller.control_socket import ask_once
from ..grpc.http2 import dial
from ..grpc.resources import ENDPOINTS, ROUTES, decode_assignment
from ..grpc.server import DISCOVERY, LOADS
from ..net.http import Server
from ..net.streams import Stream
from ..scenario.runner import free_port

CLIENTS, ZONES, GO = 4, ("a", "b", "c"), 5.0
KINDS = ("look", "file")


def script(port, folder, proxies):
    return f"""
zone(name = "a")
zone(name = "b")
zone(name = "c")
dns(zone = "example.org", port = {port}, lifetime = 1, open_views = 0)
limits(drain_grace = 5, bare_most = 8, cold_share = 0.3, warm_after = 8, tip_multiple = 3, tip_span = 2,
       channel_rate = 1e6, queue_most = 1e6)
node_list(path = "{folder}/nodes.json", every = 0.02)
probes(port = {port + 3}, deadline = 1.0)
grpc(proxies = {proxies}, connections_most = 20000)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
request_kind(name = "file", response_target = 0.5, client_timeout = 1.5, gain = 6, repeat = "non-replayable")
service(label = "api", kinds = ["look", "file"])
steward(name = "ns1", zone = "a", listen = "127.1.0.1:{port}", control = "127.1.0.1:{port + 1}",
        grpc = "127.1.0.1:{port + 2}")
"""


class Answered(Server):
    def serve(self, method, path, headers, body):
        self.answer(200, [], b'{"boot":"b","kinds":["look"],"networks":{}}')


class Agent:
    """One stream: takes all, acknowledges all; `seen` holds when each of its answers came and whom it named."""

    def __init__(self, at, controller):
        self.at, self.controller, self.seen, self.size, self.hosts = at, controller, [], 0, set()
        self.named = {}

    async def begin(self):
        self.connection = await dial(
            self.controller, f"127.{60 + self.at // 250}.{self.at % 250}.1", 30.0, ping_every=0.0
        )
        self.call = self.connection.call(DISCOVERY, "peatlead")
        self.call.message = self.take
        for type_url in (ENDPOINTS, ROUTES):
            request = discovery_pb2.DiscoveryRequest(type_url=type_url)
            request.node.id, request.node.locality.zone = f"agent{self.at}", ZONES[self.at % 3]
            self.call.send(request.SerializeToString())

    def take(self, data):
        now = time.monotonic()
        response = discovery_pb2.DiscoveryResponse.FromString(data)
        answer = discovery_pb2.DiscoveryRequest(
            type_url=response.type_url,
            version_info=response.version_info,
            response_nonce=response.nonce,
        )
        self.call.send(answer.SerializeToString())
        self.size += len(data)
        if response.type_url == ENDPOINTS:
            for one in response.resources:
                kind, lines, _ = decode_assignment(one.value)
                self.named[kind] = {line.address for line in lines}
            self.hosts = set().union(*self.named.values())
            self.seen.append((now, frozenset(self.hosts)))

    async def report(self, every, follow):
        """Load reports of one try a host it holds, for each kind."""
        call, told = self.connection.call(LOADS, "peatlead"), [every]
        call.message = (
            lambda data: told.append(
                max(
                    every,
                    lrs_pb2.LoadStatsResponse.FromString(
                        data
                    ).load_reporting_interval.ToMilliseconds()
                    / 1000,
                )
            )
            if follow
            else None
        )
        await asyncio.sleep(every * (self.at % 97) / 97)
        while not call.over:
            request = lrs_pb2.LoadStatsRequest()
            request.node.id = f"agent{self.at}"
            for kind in KINDS:
                cluster = request.cluster_stats.add(cluster_name=kind)
                cluster.load_report_interval.FromMilliseconds(max(60, int(every * 1000)))
                place = cluster.upstream_locality_stats.add()
                for address in sorted(self.hosts):
                    one = place.upstream_endpoint_stats.add(total_successful_requests=1)
                    one.address.socket_address.address = address
                    one.address.socket_address.port_value = self.controller[1] - 2
            call.send(request.SerializeToString())
            await asyncio.sleep(told[-1] if len(told) > 1 else every)


async def agents(numbers, controller, rate, pipe):
    made = [Agent(at, controller) for at in numbers]
    loop = asyncio.get_running_loop()
    for at in range(0, len(made), 50):
        await asyncio.gather(*(one.begin() for one in made[at : at + 50]))
    while not all(one.seen for one in made):
        await asyncio.sleep(0.05)
    pipe.send(("joined", max(one.seen[0][0] for one in made)))
    if rate:
        for one in made:
            loop.create_task(one.report(1 / abs(rate), rate > 0))
    while True:
        if not await loop.run_in_executor(None, pipe.poll, 30.0):
            return
        what, value = pipe.recv()
        if what == "over":
            return
        if what == "sizes":
            pipe.send([one.size for one in made])
        elif what == "without":  # when each first was told tables without an address that it held
            found = []
            for one in made:
                held = [at for at, (_, hosts) in enumerate(one.seen) if value in hosts]
                gone = [when for when, hosts in one.seen[held[-1] + 1 :]] if held else []
                found.append(gone[0] if gone else (None if held else 0.0))
            pipe.send(found)


def client(numbers, controller, rate, pipe):
    asyncio.run(agents(numbers, controller, rate, pipe))


def probed(port):
    async def serve():
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: Answered(30.0), "0.0.0.0", port, backlog=1024)
        await asyncio.Event().wait()

    asyncio.run(serve())


def write_list(folder, version, hosts, draining=()):
    made = {
        "version": version,
        "written": 0.0,
        "hosts": [
            {
                "name": f"h{at}",
                "zone": ZONES[at % 3],
                "phase": "draining" if at in draining else "ready",
                "address": f"127.10.{at // 250}.{at % 250 + 1}",
            }
            for at in range(hosts)
        ],
    }
    Path(folder, "nodes.new").write_text(json.dumps(made))
    os.rename(f"{folder}/nodes.new", f"{folder}/nodes.json")
    return time.monotonic()


def memory(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def spread(values):
    values = sorted(values)
    return (
        {
            "median": round(values[len(values) // 2] * 1000, 1),
            "99th": round(values[int(len(values) * 0.99)] * 1000, 1),
            "last": round(values[-1] * 1000, 1),
        }
        if values
        else {}
    )


def ask(context, what, value=None):
    for pipe in context:
        pipe.send((what, value))
    return [one for pipe in context for one in pipe.recv()]


def run(proxies, hosts, rate):
    port, folder = free_port(), tempfile.mkdtemp(prefix="peatlead-herd-")
    Path(folder, "settings.star").write_text(script(port, folder, proxies))
    write_list(folder, 1, hosts)
    prober = multiprocessing.Process(target=probed, args=(port + 3,), daemon=True)
    prober.start()
    steward = subprocess.Popen(
        [sys.executable, "-m", "peatlead", "run", f"{folder}/settings.star"],
        stdout=open(f"{folder}/log", "w"),
        stderr=subprocess.STDOUT,
    )
    time.sleep(2.5)
    base, spent, begin, pipes, children = (
        memory(steward.pid),
        cpu(steward.pid),
        time.monotonic(),
        [],
        [],
    )
    for at in range(CLIENTS):
        here, there = multiprocessing.Pipe()
        children.append(
            multiprocessing.Process(
                target=client,
                args=(range(at, proxies, CLIENTS), ("127.1.0.1", port + 2), rate, there),
                daemon=True,
            )
        )
        children[-1].start()
        pipes.append(here)
    try:
        joined = max(pipe.recv()[1] for pipe in pipes) - begin
        told = {
            "proxies": proxies,
            "hosts": hosts,
            "reports a second": abs(rate) * proxies,
            "all served after s": round(joined, 2),
            "CPU s": round(cpu(steward.pid) - spent, 2),
            "KiB a proxy": round((memory(steward.pid) - base) * 1024 / proxies, 1),
        }
        time.sleep(GO)
        spent, sizes = cpu(steward.pid), ask(pipes, "sizes")
        time.sleep(GO)
        told["CPU before"] = round((cpu(steward.pid) - spent) / GO, 3)
        spent, at = cpu(steward.pid), write_list(folder, 2, hosts, (0,))
        time.sleep(3 * GO)
        found = ask(pipes, "without", "127.10.0.1")
        late = [one - at for one in found if one]
        more = [new - old for new, old in zip(ask(pipes, "sizes"), sizes)]
        told.update(
            {
                "held it": len([one for one in found if one != 0.0]),
                "told ms": spread(late),
                "never told": sum(one is None for one in found),
                "bytes a proxy": sum(more) // proxies,
                "CPU of it": round(cpu(steward.pid) - spent, 2),
            }
        )
        status = asyncio.run(ask_once(("127.1.0.1", port + 1), {"ask": "status"}))
        told["status"] = {
            name: status[name] for name in ("slowest_decide", "channel", "burden") if name in status
        }
        told["bare loop ms"] = bare(proxies, max(1, sum(more) // proxies))
        print(json.dumps(told), flush=True)
    finally:
        for pipe in pipes:
            try:
                pipe.send(("over", None))
            except OSError:
                pass
        steward.send_signal(signal.SIGTERM)
        try:
            steward.wait(10)
        except subprocess.TimeoutExpired:
            steward.kill()
        for child in [prober, *children]:
            child.terminate()


class Ear(Stream):
    def received(self, data):
        self.at = time.monotonic()


def bare(proxies, size):
    """The same bytes from one loop to as many streams, all of them in this process: what the sockets alone cost."""

    async def whole():
        loop, heard, ends = asyncio.get_running_loop(), [], []

        class Taken(Stream):
            def opened(self):
                ends.append(self)

        server = await loop.create_server(Taken, "127.1.0.9", 0, backlog=1024)
        address = server.sockets[0].getsockname()
        for at in range(proxies):
            heard.append(
                (
                    await loop.create_connection(
                        Ear, *address, local_addr=(f"127.{60 + at // 250}.{at % 250}.2", 0)
                    )
                )[1]
            )
        await asyncio.sleep(0.2)
        begin, data = time.monotonic(), b"x" * size
        for one in ends:
            one.send(data)
        wrote = time.monotonic() - begin
        await asyncio.sleep(1.0)
        found = spread([one.at - begin for one in heard])
        server.close()
        for one in [*heard, *ends]:
            one.cut("over")
        return {**found, "to write": round(wrote * 1000, 1)}

    return asyncio.run(whole())


if __name__ == "__main__":
    run(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]) if len(sys.argv) > 3 else 0.0)
