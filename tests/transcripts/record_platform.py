"""Runs the platform's program against a scripted scenario in simulated time, and prints its output.

    python -m tests.transcripts.record_platform usual > tests/data/platform/transcript_usual.jsonl    # regenerate
    python -m tests.transcripts.record_platform usual | diff - tests/data/platform/transcript_usual.jsonl

The scripts are listed in `SCRIPTS` at the end of this module.

Regenerate a transcript only for an intended change of behaviour, and say so in the commit. The program runs in this
process as `python -m` would run it, on an event loop with a simulated clock and network. The output therefore depends
neither on the wall clock nor on other processes nor on the order of sets. The scripts use no internal name of the
program except the name of its module.

Each line of the output is a JSON list [seconds, connection, action, text]; the text is omitted if it is empty. Actions
are "connect" (the program opens a connection), "write", "end" (the program ends its sending direction), "close" and
"abort"; the last line contains the exit code. Messages to the program and its log are not recorded. Consecutive writes
to a connection at the same time are merged into one line.
"""

import asyncio
import builtins
import heapq
import json
import os
import runpy
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

PROGRAM_MODULE = (
    "peatlead.platform"  # as in `python -m`; the only name of the program that is used here
)

DATA_DIRECTORY = Path(__file__).parent.parent / "data" / "platform"
NETWORK_DELAY = 0.001  # seconds, one way
LOOP_START, UNIX_START = 100.0, 1_800_000_000.0  # seconds on both clocks at the start
CONTROLLER_ADDRESS, FIRST_DISCOVERY_ADDRESS, SECOND_DISCOVERY_ADDRESS = (
    ("10.0.0.1", 6000),
    ("10.0.9.1", 7000),
    ("10.0.9.2", 7000),
)


class Transcript:
    def __init__(self, loop):
        self.loop, self.rows = loop, []

    def add(self, connection, action, text=""):
        seconds = round(self.loop.time() - LOOP_START, 6)
        if action == "write" and self.rows and self.rows[-1][:3] == [seconds, connection, action]:
            self.rows[-1][3] += text
        else:
            self.rows.append(
                [seconds, connection, action, text] if text else [seconds, connection, action]
            )


class SimulatedTransport(asyncio.Transport):
    """The program's end of a simulated connection; `peer` is the script's end."""

    def __init__(self, loop, name, peer, address):
        super().__init__()
        self.loop, self.name, self.peer, self.address = loop, name, peer, address
        self.protocol, self.closing, self.lost_reported = None, False, False
        peer.transport = self

    def connect_protocol(self, protocol):
        self.protocol = protocol
        protocol.connection_made(self)
        self.loop.call_later(NETWORK_DELAY, self.peer.opened)

    def get_extra_info(self, name, default=None):
        return {"peername": self.address}.get(name, default)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        if not self.closing and data:
            self.loop.transcript.add(self.name, "write", bytes(data).decode())
            self.loop.call_later(NETWORK_DELAY, self.peer.received, bytes(data))

    def write_eof(self):
        self.loop.transcript.add(self.name, "end")
        self.loop.call_later(NETWORK_DELAY, self.peer.ended)

    def close(self):
        self.end_connection("close")

    def abort(self):
        self.end_connection("abort")

    def end_connection(self, action):
        if not self.closing:
            self.closing = True
            self.loop.transcript.add(self.name, action)
            self.loop.call_soon(self.lose_connection, None)
            self.loop.call_later(NETWORK_DELAY, self.peer.ended)

    def lose_connection(self, error):
        if not self.lost_reported:
            self.lost_reported = self.closing = True
            if self.protocol is not None:
                self.protocol.connection_lost(error)

    # Called for actions of the script's end.

    def receive(self, data):
        while data and not self.closing:
            buffer = self.protocol.get_buffer(-1)
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            data = data[size:]
            self.protocol.buffer_updated(size)

    def receive_eof(self):
        if not self.closing and not self.protocol.eof_received():
            self.close()


class Peer:
    """The script's end of a connection."""

    transport = None

    def opened(self):
        pass

    def received(self, data):
        pass

    def ended(self):
        pass

    def send(self, data):
        loop = self.transport.loop
        loop.call_later(NETWORK_DELAY, self.transport.receive, data)

    def send_eof(self):
        self.transport.loop.call_later(NETWORK_DELAY, self.transport.receive_eof)

    def reset(self):
        self.transport.loop.call_later(
            NETWORK_DELAY,
            self.transport.lose_connection,
            ConnectionResetError(104, "reset by peer"),
        )


class ListeningSocket:
    """Replaces socket.socket, which the program uses only for its listener."""

    loop, failing_binds = None, 0  # `failing_binds`: number of further bind() calls that fail

    def __init__(self, *_):
        self.pending_transports = []
        self.loop.listener = self

    def setsockopt(self, *_):
        pass

    setblocking = listen = setsockopt

    def bind(self, address):
        self.loop.transcript.add("listener", "listen", "%s:%d" % tuple(address))
        if ListeningSocket.failing_binds:
            ListeningSocket.failing_binds -= 1
            raise OSError(98, "Address already in use")

    def accept(self):
        if not self.pending_transports:
            raise BlockingIOError
        return AcceptedSocket(self.pending_transports.pop(0)), ("10.0.5.1", 1)

    def close(self):
        self.loop.transcript.add("listener", "close")


class AcceptedSocket:
    def __init__(self, transport):
        self.transport = transport

    def setblocking(self, _):
        pass

    def close(self):
        self.transport.abort()


class SimulatedSelector:
    """Advances the simulated clock instead of waiting."""

    def __init__(self, loop):
        self.loop = loop

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the event loop has no timer to wait for")
        self.loop.now += timeout
        return []

    def close(self):
        pass


class OrderedTimer(asyncio.TimerHandle):
    """A timer; timers that are due at the same time run in the order of their creation."""

    def __lt__(self, other):
        return (self._when, self.number) < (other._when, other.number)


class SimulatedLoop(asyncio.BaseEventLoop):
    """An event loop with a simulated clock and network.

    `step` is the number of seconds by which the wall clock was stepped.
    """

    def __init__(self):
        super().__init__()
        self.now, self._selector, self._clock_resolution = LOOP_START, SimulatedSelector(self), 1e-9
        self.transcript, self.listener, self.accept, self.servers = Transcript(self), None, None, {}
        self.signals, self.connection_counts, self.step, self.timer_count = {}, {}, 0.0, 0

    def time(self):
        return self.now

    def call_at(self, when, callback, *args, context=None):
        timer = OrderedTimer(when, callback, args, self, context)
        timer.number = self.timer_count = self.timer_count + 1
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def _process_events(self, _):
        pass

    def _write_to_self(self):
        pass

    def add_signal_handler(self, number, callback, *args):
        self.signals[number] = lambda: callback(*args)

    def add_reader(self, listener, callback, *args):
        assert listener is self.listener
        self.accept = callback

    def remove_reader(self, _):
        self.accept = None

    async def connect_accepted_socket(self, protocol_factory, accepted):
        accepted.transport.connect_protocol(protocol := protocol_factory())
        return accepted.transport, protocol

    def connect_peer(self, name, peer):
        """Open a connection from the script's `peer` to the program."""
        self.listener.pending_transports.append(
            SimulatedTransport(self, name, peer, ("10.0.5.1", 1))
        )
        self.call_later(NETWORK_DELAY, lambda: self.accept and self.accept())
        return peer

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        number = self.connection_counts[host, port] = (
            self.connection_counts.get((host, port), 0) + 1
        )
        name = f"{host}:{port}#{number}"
        self.transcript.add(name, "connect")
        await asyncio.sleep(2 * NETWORK_DELAY)
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(111, "Connection refused")
        if server == "silent":
            await self.create_future()
        transport = SimulatedTransport(self, name, server(), (host, port))
        transport.connect_protocol(protocol := protocol_factory())
        return transport, protocol


# Peers of the program.


class HttpPeer(Peer):
    """An HTTP server's end of a connection; `serve(path)` is called for each request."""

    buffered = b""

    def received(self, data):
        self.buffered += data
        while b"\r\n\r\n" in self.buffered:
            head, self.buffered = self.buffered.split(b"\r\n\r\n", 1)
            self.serve(head.split()[1].decode())

    def answer(self, body, status=200):
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send(b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (status, len(body)) + body)


class Discovery:
    """A discovery service. `changes` contains (version, instances).

    `fault(connection)` replaces the answer to the next request.
    """

    def __init__(self, loop, version):
        (
            self.loop,
            self.version,
            self.instances_by_id,
            self.changes,
            self.held_requests,
            self.fault,
        ) = (
            loop,
            version,
            {},
            [],
            [],
            None,
        )
        self.connections = []

    def connection(self):
        discovery = self

        class Connection(HttpPeer):
            def opened(self):
                discovery.connections.append(self)

            def serve(self, path):
                discovery.handle_request(self, path)

            def ended(self):
                discovery.held_requests = [
                    request for request in discovery.held_requests if request[0] is not self
                ]

        return Connection()

    def handle_request(self, connection, path):
        if self.fault is not None:
            fault, self.fault = self.fault, None
            fault(connection)
        elif "after=" not in path:
            connection.answer(
                {
                    "generation": self.version,
                    "reset": True,
                    "instances": list(self.instances_by_id.values()),
                }
            )
        else:
            after, wait = path.split("after=")[1].split("&wait_ms=")
            request = (connection, int(after))
            self.held_requests.append(request)
            self.loop.call_later(int(wait) / 1000, self.answer_held_request, request, True)
            self.answer_held_request(request)

    def answer_held_request(self, request, due=False):
        connection, after = request
        if request in self.held_requests and (due or after < self.version):
            self.held_requests.remove(request)
            changed = [
                entry
                for version, instances in self.changes
                if version > after
                for entry in instances
            ]
            connection.answer({"generation": self.version, "reset": False, "instances": changed})

    def publish(self, *instances):
        self.version += 1
        self.changes.append((self.version, instances))
        for entry in instances:
            self.instances_by_id[entry["instanceId"]] = entry
            if entry["lifecycle"] == "left":
                del self.instances_by_id[entry["instanceId"]]
        for request in list(self.held_requests):
            self.answer_held_request(request)


def endpoint_server(body, status=200):
    class EndpointPeer(HttpPeer):
        def serve(self, path):
            self.answer(body, status)

    return EndpointPeer


class ClientPeer(Peer):
    """A proxy, collector or other client.

    It acknowledges messages after `latency` milliseconds, or not at all without a latency. With
    `ends_after_program`, it ends its sending direction after the program has ended the other one.
    """

    def __init__(self, first_data=b"", node=None, latency=None, ends_after_program=True):
        self.first_data, self.node, self.latency, self.buffered, self.has_ended = (
            first_data,
            node,
            latency,
            b"",
            False,
        )
        self.ends_after_program = ends_after_program

    def opened(self):
        if self.first_data:
            self.send(self.first_data)

    def send_message(self, **fields):
        if not self.has_ended:
            self.send(json.dumps(fields).encode() + b"\n")

    def received(self, data):
        *lines, self.buffered = (self.buffered + data).split(b"\n")
        for nonce in (json.loads(line).get("nonce_out") for line in lines):
            if nonce is not None and self.latency is not None:
                self.transport.loop.call_later(self.latency / 1000, self.acknowledge, nonce)

    def acknowledge(self, nonce):
        self.send_message(msg="ack", node=self.node, nonce=nonce, latency=self.latency)

    def ended(self):
        if not self.has_ended:
            self.has_ended = True
            if self.ends_after_program:
                self.send_eof()


def instance(index, lifecycle="active", **overrides):
    return {
        "instanceId": f"h-{index}",
        "hostPort": f"10.0.1.{index + 1}:8080",
        "zone": f"z{index % 2}",
        "machineType": "big" if index % 3 == 0 else "m",
        "cell": index // 4,
        "lifecycle": lifecycle,
        "weight": 1.0 + 0.1 * index,
        "startedAtMs": (UNIX_START - 4000) * 1000,
        **overrides,
    }


def json_line(**fields):
    return json.dumps(fields).encode() + b"\n"


def hello(node, zone, rate=5.0, cold=True):
    return json_line(msg="hello", node=node, locality=zone, w=rate, cold=cold)


# The scripts.


class UsualTraffic:
    """Usual traffic, invalid messages and failures of peers; times are seconds since the start."""

    def __init__(self, loop, path):
        self.loop, self.path = loop, path
        self.first_discovery, self.second_discovery, self.peers = (
            Discovery(loop, 10),
            Discovery(loop, 10),
            {},
        )
        loop.servers[FIRST_DISCOVERY_ADDRESS] = self.first_discovery.connection
        for index in range(8):
            load = {
                "inflight": index + 1,
                "queue": index % 3,
                "util": 0.1 * (index + 1),
                "latency_ms": 20.0 + index,
            }
            loop.servers[f"10.0.1.{index + 1}", 8080] = endpoint_server(load)
        loop.servers["10.0.1.5", 8080] = endpoint_server(b"no JSON")
        loop.servers["10.0.1.6", 8080] = endpoint_server({"rif": 3, "busy": 0.5, "lat_ms": 31.0})
        self.write_configuration("10.0.9.1:7000")
        self.schedule_events()

    def write_configuration(self, discovery_address, truncated=False, **overrides):
        document = json.loads((DATA_DIRECTORY / "configuration.json").read_text())
        text = json.dumps({**document, "discovery": discovery_address, **overrides})
        Path(self.path).write_text(text[:40] if truncated else text)

    def schedule(self, seconds, callback, *args):
        self.loop.call_at(LOOP_START + seconds, callback, *args)

    def schedule_connection(
        self, seconds, name, first_data=b"", node=None, latency=None, ends_after_program=True
    ):
        def connect_peer():
            self.peers[name] = self.loop.connect_peer(
                name, ClientPeer(first_data, node, latency, ends_after_program)
            )

        self.schedule(seconds, connect_peer)

    def schedule_message(self, seconds, name, **fields):
        self.schedule(seconds, lambda: self.peers[name].send_message(**fields))

    def schedule_bytes(self, seconds, name, data):
        self.schedule(seconds, lambda: self.peers[name].send(data))

    def schedule_signal(self, seconds, number):
        self.schedule(seconds, lambda: self.loop.signals[number]())

    def schedule_endpoint_server(self, seconds, index, server):
        self.schedule(seconds, self.loop.servers.update, {(f"10.0.1.{index + 1}", 8080): server})

    def publish_to_both(self, seconds, *instances):
        """Publish changes at the first discovery service, and slightly later at the second."""
        self.schedule(seconds, self.first_discovery.publish, *instances)
        self.schedule(seconds + 0.01, self.second_discovery.publish, *instances)

    def schedule_events(self):
        for discovery in (self.first_discovery, self.second_discovery):
            for index in range(6):
                discovery.instances_by_id[f"h-{index}"] = instance(index)
        # The first poll of discovery fails, and liveness checks arrive before the first list.
        self.first_discovery.fault = lambda connection: connection.answer(b"", 503)
        self.schedule_connection(0.002, "early", json_line(msg="probe") + json_line(msg="probe"))
        self.schedule_connection(0.5, "proxy-0", hello(0, "z0"), 0, 35.0)
        self.schedule_connection(0.6, "proxy-1", hello(1, "z1", cold=False), 1, 50.0)
        self.schedule_connection(0.61, "proxy-2", hello(2, "z1", 12.5), 2)  # never acknowledges
        self.schedule_connection(0.7, "collector-z0", json_line(msg="agent", locality="z0"))
        self.schedule_connection(0.75, "collector-z1", json_line(msg="agent", locality="z1"))
        self.schedule_connection(1.5, "probe", json_line(msg="probe"))
        self.schedule_bytes(1.6, "probe", json_line(msg="probe")[:7])
        self.schedule_bytes(1.7, "probe", json_line(msg="probe")[7:])
        for second in range(2, 31):
            self.schedule_reports(second)
        self.schedule_invalid_peers(3.2)
        self.publish_to_both(5.0, instance(2, "leaving"))
        self.publish_to_both(
            7.0, instance(2, "left"), instance(6, startedAtMs=(UNIX_START + 6.9) * 1000)
        )
        self.publish_to_both(8.0, {**instance(7), "hostPort": "nowhere"}, instance(1, weight=2.0))
        self.publish_to_both(9.0, instance(2, startedAtMs=(UNIX_START + 8.5) * 1000))
        # Health checks fail in several ways.
        self.schedule_endpoint_server(10.0, 3, endpoint_server(b"", 503))
        self.schedule_endpoint_server(12.0, 4, "silent")
        self.schedule_endpoint_server(13.0, 5, None)
        for index, body in ((3, {"util": 0.4}), (4, {"util": 0.3}), (5, {"util": 0.2})):
            self.schedule_endpoint_server(17.0, index, endpoint_server(body))
        # One proxy joins again while its previous stream is open, another after its stream has ended.
        self.schedule_connection(14.0, "proxy-0 again", hello(0, "z0", cold=False), 0, 20.0)
        self.schedule(15.0, lambda: self.peers["proxy-1"].send_eof())
        self.schedule_connection(15.5, "proxy-1 again", hello(1, "z1", cold=False), 1, 60.0)
        self.schedule(16.0, lambda: self.peers["proxy-2"].reset())
        self.schedule_connection(16.5, "proxy-3", hello(3, "z0") + hello(3, "z0"), 3, 25.0)
        # Faults of discovery: no valid list, an older version, a closed connection, no answer.
        faults = (
            lambda connection: connection.answer(b"[]"),
            lambda connection: connection.answer(
                {"generation": 3, "reset": False, "instances": []}
            ),
            lambda connection: connection.send_eof(),
            lambda connection: None,
        )
        for number, fault in enumerate(faults):
            self.schedule(18.0 + number, setattr, self.first_discovery, "fault", fault)
            self.publish_to_both(18.5 + number, instance(number, weight=1.5))
        self.schedule(21.9, setattr, self.first_discovery, "fault", None)
        # Discovery's address changes; the configuration is truncated at first, and the new address
        # refuses connections for a while.
        self.schedule(25.0, self.write_configuration, "10.0.9.2:7000", True)
        self.schedule_signal(25.1, signal.SIGHUP)
        self.schedule(25.25, self.write_configuration, "10.0.9.2:7000")
        self.publish_to_both(25.6, instance(5, "leaving"))
        self.schedule(
            26.0,
            self.loop.servers.update,
            {SECOND_DISCOVERY_ADDRESS: self.second_discovery.connection},
        )
        self.publish_to_both(28.0, instance(5, "left"), instance(0, "leaving"))
        self.schedule_signal(29.0, signal.SIGHUP)  # the address is unchanged
        self.publish_to_both(
            29.5, instance(0, startedAtMs=(UNIX_START + 29.2) * 1000), instance(4, zone="nowhere")
        )
        self.schedule_connection(30.0, "proxy-4", hello(4, "z1"), 4, 40.0)
        self.publish_to_both(30.485, instance(1, "leaving"))
        self.schedule_signal(30.5, signal.SIGTERM)
        self.schedule_bytes(
            30.5, "proxy-4", json_line(msg="probe")
        )  # not read, since the program is stopping

    def schedule_reports(self, second):
        for zone in (0, 1):
            for index in range(7):
                failing = index == 3 and 10 <= second < 17
                total = 20 + (3 * index + second) % 7
                self.schedule_message(
                    second + 0.1 + 0.01 * index,
                    f"collector-z{zone}",
                    msg="outcomes",
                    locality=f"z{zone}",
                    endpoint=f"h-{index}",
                    total=total,
                    errors=total - 4 if failing else (index + second) % 2,
                    rtt=30.0 + index + 4.5 * (zone != index % 2),
                    interval=1000.0,
                    metrics={"busy": 0.3 + 0.05 * index, "rif": 2.0 + index, "lat_ms": 25.0},
                )
        for proxy in range(4):
            burst = 12 if 20 <= second < 24 else 1
            self.schedule_message(
                second + 0.3,
                "collector-z0",
                msg="demand",
                node=proxy,
                route="read",
                total=burst * (40 + proxy),
                errors=burst * second % 3,
                interval=1000.0,
            )
            self.schedule_message(
                second + 0.31,
                "collector-z1",
                msg="demand",
                node=proxy,
                route="pay",
                total=6 + proxy,
                interval=1000.0,
            )

    def schedule_invalid_peers(self, start):
        """Schedule peers that send malformed, invalid or unexpected messages."""
        for number, data in enumerate(
            (
                b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
                b"\xff\xfe\n",
                b"[1]\n",
                b"x" * 5000,
                json_line(msg="orders"),
                hello(99, "z0"),
                hello(0, "nowhere"),
                json_line(msg="hello", node=-1, locality="z0"),
                json_line(msg="agent", locality="nowhere"),
                json_line(msg="agent"),
                json_line(msg="demand", node=0, route="read", total=1, interval=1000),
                b"\n \n",
                b'{"msg":"hel',
                json_line(msg="outcomes", locality="z0", endpoint="h-0", total="1", interval=1000),
                hello(5, "z0") + json_line(msg="agent", locality="z0"),
                json_line(msg="agent", locality="z0") + hello(5, "z0"),
            )
        ):
            self.schedule_connection(start + 0.02 * number, f"stranger-{number}", data)
        valid_report = {
            "msg": "outcomes",
            "locality": "z0",
            "endpoint": "h-0",
            "total": 5,
            "interval": 1000,
        }
        for number, change in enumerate(
            (
                {"total": -1},
                {"errors": 9},
                {"endpoint": "h-99"},
                {"locality": "zz"},
                {"metrics": {"busy": -1}},
                {"interval": 0},
                {"msg": "push"},
            )
        ):
            self.schedule_message(
                start + 1.0 + 0.01 * number, "collector-z0", **{**valid_report, **change}
            )
        self.schedule_message(start + 1.2, "proxy-0", msg="ack", node=1, nonce=1, latency=10)
        self.schedule_message(
            start + 1.21, "proxy-0", msg="demand", node=1, route="read", total=500, interval=1000
        )
        self.schedule_message(
            start + 1.22, "proxy-0", msg="demand", node=0, route="nothing", total=5, interval=1000
        )
        self.schedule_message(start + 1.23, "proxy-0", msg="probe")


class Overload(UsualTraffic):
    """26 proxies join over a slow channel while discovery refuses connections and the controller uses its remembered
    list. Then endpoints drain, all endpoints are overloaded, and connections that never join reach the limit."""

    def write_configuration(self, discovery_address, truncated=False, **overrides):
        document = json.loads((DATA_DIRECTORY / "configuration.json").read_text())
        settings = document["settings"]
        settings["familyInfo"].update(
            dataPlaneSize=26, channelRate=65.0, pendingMax=104.0, homeOnly=[]
        )
        settings["limits"]["probing"] = False
        known = {
            "generation": 9,
            "reset": True,
            "instances": [instance(index) for index in range(12)],
        }
        super().write_configuration(
            discovery_address,
            truncated,
            settings=settings,
            known=known,
            limits={"sockets": 80},
            seed="c0ffee",
        )

    def schedule_events(self):
        del self.loop.servers[FIRST_DISCOVERY_ADDRESS]
        for index in range(12):
            self.first_discovery.instances_by_id[f"h-{index}"] = instance(index)
        self.schedule(
            0.6,
            self.loop.servers.update,
            {FIRST_DISCOVERY_ADDRESS: self.first_discovery.connection},
        )
        for proxy in range(26):
            # Every second proxy holds a table of another controller. Some proxies acknowledge late, and one never
            # ends its connection.
            self.schedule_connection(
                0.3 + 0.005 * proxy,
                f"proxy-{proxy}",
                hello(proxy, f"z{proxy % 2}", 4.0 + proxy % 5, proxy % 2 == 0),
                proxy,
                400.0 if proxy % 9 == 4 else 30.0 + proxy,
                proxy != 8,
            )
        self.schedule_connection(0.6, "collector-z0", json_line(msg="agent", locality="z0"))
        self.schedule_connection(0.6, "collector-z1", json_line(msg="agent", locality="z1"))
        self.schedule(
            1.2, self.first_discovery.publish, instance(1, "leaving"), instance(6, "leaving")
        )
        self.schedule(4.0, self.first_discovery.publish, instance(1, "left"), instance(6, "left"))
        self.schedule(
            5.0, self.first_discovery.publish, instance(1, startedAtMs=(UNIX_START + 4.5) * 1000)
        )
        for second in range(1, 18):
            self.schedule_reports(second)
        for number in range(45):
            self.schedule_connection(
                9.0 + 0.001 * number, f"herd-{number}", b"" if number % 3 else b'{"msg"'
            )
        self.schedule(12.0, self.first_discovery.publish, instance(3, "left"))
        self.schedule_signal(17.6, signal.SIGTERM)

    def schedule_reports(self, second):
        overloaded = 8 <= second < 15
        for zone in (0, 1):
            for index in range(12):
                total = 60 + (5 * index + second) % 11
                self.schedule_message(
                    second + 0.1 + 0.01 * index,
                    f"collector-z{zone}",
                    msg="outcomes",
                    locality=f"z{zone}",
                    endpoint=f"h-{index}",
                    total=total,
                    errors=total // 2 if overloaded else second % 2,
                    rtt=700.0 + index if overloaded else 40.0 + index,
                    interval=1000.0,
                    metrics={
                        "busy": 0.99 if overloaded else 0.4,
                        "rif": 30.0 if overloaded else 2.0,
                    },
                )
        for proxy in range(0, 26, 2):
            for request_class, total in (("read", 60 + proxy), ("pay", 9)):
                self.schedule_message(
                    second + 0.3,
                    f"collector-z{proxy % 2}",
                    msg="demand",
                    node=proxy,
                    route=request_class,
                    total=total,
                    errors=0,
                    interval=1000.0,
                )


class InvalidConfiguration(UsualTraffic):
    """The configuration is invalid: the program exits before it opens a socket."""

    def write_configuration(self, discovery_address, truncated=False, **overrides):
        super().write_configuration(discovery_address, settings={"zones": ["z0"], "classes": []})

    def schedule_events(self):
        pass


class EnvironmentFailures(UsualTraffic):
    """Failures of the environment: transient errors when reading the configuration and when listening, discovery
    addresses that never answer or refuse connections, a step of the wall clock, an idle collector, and endpoints that
    were removed long ago."""

    def write_configuration(self, discovery_address, truncated=False, **overrides):
        document = json.loads((DATA_DIRECTORY / "configuration.json").read_text())
        settings = {
            **document["settings"],
            "limits": {"probing": False, "connectTimeoutUs": 200000},
        }
        super().write_configuration(discovery_address, truncated, settings=settings, **overrides)

    def schedule_events(self):
        read_errors, original_open = [5, 5], builtins.open  # errno EIO

        def fails_at_first(path, *args, **options):
            if path == self.path and read_errors:
                raise OSError(read_errors.pop(), "Input/output error")
            return original_open(path, *args, **options)

        builtins.open = fails_at_first
        ListeningSocket.failing_binds = 3
        for index in range(4):
            self.first_discovery.instances_by_id[f"h-{index}"] = instance(index)
        third_discovery = Discovery(self.loop, 10)
        third_discovery.instances_by_id, third_discovery.changes = (
            self.first_discovery.instances_by_id,
            self.first_discovery.changes,
        )
        self.loop.servers.update(
            {
                FIRST_DISCOVERY_ADDRESS: "silent",
                SECOND_DISCOVERY_ADDRESS: self.first_discovery.connection,
            }
        )
        # Changes of discovery's address. The first replaces an address that never answered; the file is truncated at
        # both signals. The second, in a file with further differences, is to an address that refuses connections at
        # first; the previous address answers meanwhile and then fails.
        self.schedule(2.5, self.write_configuration, "10.0.9.2:7000", True)
        self.schedule_signal(2.6, signal.SIGHUP)
        self.schedule_signal(2.7, signal.SIGHUP)
        self.schedule(3.0, self.write_configuration, "10.0.9.2:7000")
        self.schedule(
            30.0,
            lambda: self.write_configuration("10.0.9.3:7000", name="other", listen="10.0.0.1:6009"),
        )
        self.schedule_signal(30.1, signal.SIGHUP)
        self.schedule(
            33.0, lambda: [connection.send_eof() for connection in self.first_discovery.connections]
        )
        self.schedule(34.0, setattr, third_discovery, "version", 12)
        self.schedule(
            34.0, self.loop.servers.update, {("10.0.9.3", 7000): third_discovery.connection}
        )
        self.schedule_connection(
            2.0, "early", json_line(msg="probe")
        )  # answered before there is a list
        self.schedule_connection(2.1, "proxy-0", hello(0, "z0"), 0, 35.0)
        self.schedule_connection(5.0, "proxy-1", hello(1, "z1", cold=False), 1, 35.0)
        self.schedule_connection(5.1, "collector", json_line(msg="agent", locality="z0"))
        self.schedule_connection(12.0, "other collector", json_line(msg="agent", locality="z0"))
        self.schedule_connection(21.0, "third collector", json_line(msg="agent", locality="z0"))
        self.schedule_message(
            20.0,
            "other collector",
            msg="outcomes",
            locality="z0",
            endpoint="h-0",
            total=9,
            interval=1000,
        )
        self.schedule(8.0, self.first_discovery.publish, instance(3, "left"))
        self.schedule(18.0, setattr, self.loop, "step", 7.0)
        self.schedule(
            21.0,
            self.first_discovery.publish,
            instance(2, startedAtMs=(UNIX_START + 7.0 + 19.0) * 1000),
        )
        self.schedule(70.0, third_discovery.publish, instance(1, weight=1.5))
        self.schedule(
            72.5, third_discovery.publish, instance(3, startedAtMs=(UNIX_START + 72.0) * 1000)
        )
        for name in ("proxy-0", "proxy-1", "other collector", "third collector"):
            self.schedule(74.0, lambda name=name: self.peers[name].send_eof())
        self.schedule_signal(75.0, signal.SIGTERM)


SCRIPTS = {
    "usual": UsualTraffic,
    "pressed": Overload,
    "unconfigured": InvalidConfiguration,
    "troubled": EnvironmentFailures,
}


def record(name):
    """Run a script and return the rows of its transcript.

    Parts of the standard library are replaced: call this function only once in a process.
    """
    asyncio.set_event_loop(loop := SimulatedLoop())
    ListeningSocket.loop, socket.socket, asyncio.run = (
        loop,
        ListeningSocket,
        loop.run_until_complete,
    )
    time.time = lambda: UNIX_START + loop.now - LOOP_START + loop.step
    time.monotonic = loop.time
    with tempfile.TemporaryDirectory() as folder:
        os.environ["NODE_CONFIG"] = f"{folder}/configuration.json"
        SCRIPTS[name](loop, os.environ["NODE_CONFIG"])
        try:
            runpy.run_module(PROGRAM_MODULE, run_name="__main__", alter_sys=True)
        except SystemExit as ended:
            loop.transcript.add("command", "exit", str(ended.code))
    return loop.transcript.rows


if __name__ == "__main__":
    sys.stdout.write(
        "".join(json.dumps(row, separators=(",", ":")) + "\n" for row in record(sys.argv[1]))
    )
    sys.stdout.flush()
    os._exit(0)  # suppresses warnings about unfinished tasks of the program
