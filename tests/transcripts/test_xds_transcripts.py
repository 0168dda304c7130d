"""Discovery and load reports of proxies, byte for byte as recorded in tests/data/wire/xds.json.

Requests are made with the public protobuf classes, as a proxy would. A change of the wire format that is meant is
recorded anew by `python -m tests.transcripts.test_xds_transcripts`; a renaming must pass on the old record.
"""

import random
import unittest

import h2.config
import h2.connection
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.struct_pb2 import Struct

from peatlead.grpc import discovery as whole
from peatlead.grpc import (
    framing,
    http2,
    incremental,
    load_aggregation,
    load_reports,
    proxy_node,
    resources,
    server,
)
from peatlead.tables import replica as holders

from . import recorded

# Adapter: all internal names that these tests use.

PATHS = [server.DISCOVERY_PATH, server.DELTA_DISCOVERY_PATH, server.LOAD_REPORTING_PATH]
encode_routes, encode_value = resources.encode_routes, resources.encode_item
encode_name, decode_name = resources.resource_name, resources.parse_resource_name
frame, percent, decode_timeout = framing.frame, framing.percent_encode, framing.parse_timeout


def encode_lines(kind, lines, level):
    return resources.encode_assignment(
        kind, [resources.WeightedEndpoint(*one) for one in lines], level
    )


def decode_lines(data):
    kind, lines, level = resources.decode_assignment(data)
    return [kind, [list(one) for one in lines], level]


def decode_routes(data):
    return resources.decode_routes(data)


def decode_value(key, data):
    return resources.decode_item(key, data)


def unframe(pieces):
    """[message] as hex, or [status] of a refusal at the end."""
    unframer, found = framing.MessageDeframer(), []
    try:
        for piece in pieces:
            found += [one.hex() for one in unframer.feed(piece)]
    except framing.FramingError as problem:
        found.append(problem.status)
    return found


class WholeStream:
    """State of the world. `state`: {type: {name: bytes}}."""

    def __init__(self, epoch, state):
        self.machine = whole.Discovery(
            epoch,
            lambda url, names: {
                name: data for name, data in state[url].items() if not names or name in names
            },
            "ns1",
        )

    def take(self, data):
        return encode_all(
            self.machine.handle_request(discovery_pb2.DiscoveryRequest.FromString(data))
        )

    def changed(self, url):
        return encode_all(self.machine.resources_changed(url))

    def outcome(self):
        return {
            "refused": [list(one) for one in self.machine.nacks],
            "applied": [[url, str(version)] for url, version in self.machine.acks],
        }


class DeltaStream:
    """Incremental. `state`: {part of the items: {key: value}}."""

    def __init__(self, epoch, state):
        self.machine = incremental.IncrementalDiscovery(
            epoch,
            lambda part: dict(state[part]),
            "ns1",
            lambda version, parts: None,
            ("north", "south"),
        )

    def take(self, data):
        return encode_all(
            self.machine.handle_request(discovery_pb2.DeltaDiscoveryRequest.FromString(data))
        )

    def changed(self, url):
        return encode_all(self.machine.resources_changed(url))

    def outcome(self):
        return {
            "refused": [list(one) for one in self.machine.nacks],
            "applied": [[url, str(version)] for url, version in self.machine.acks],
            "counts": [self.machine.resources_sent, self.machine.full_resyncs],
        }


class Proxy:
    """Reads incremental responses, and keeps what it holds."""

    def __init__(self):
        self.holder = holders.Replica()

    def take(self, data):
        """The outcome, and the items as they then are."""
        url, moved, stamp = incremental.decode_delta(
            discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        )
        part = incremental.PART_BY_TYPE[url]
        outcome = self.holder.apply_delta(part, stamp, moved)
        return [outcome, sorted(self.holder.parts[part].items())]


def decode_report(data, kinds, hosts, proxy, zone):
    """Sums of a load report, as plain lists: of requests, then of hosts."""
    gathered = load_aggregation.LoadAggregator()
    gathered.on_report(0.0)
    load_reports.read_report(
        lrs_pb2.LoadStatsRequest.FromString(data), kinds, hosts.get, proxy, zone, gathered
    )
    return [list(one) for one in gathered.take_due(0.0)]


def decode_node(data, delta):
    """A proxy's first request, as plain values."""
    kind = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
    name, zone, epoch, held, rate, hops, avoid = proxy_node.read_node(kind.FromString(data))
    return [
        name,
        zone,
        epoch,
        {kind: [list(one) for one in lines] for kind, lines in sorted(held.items())},
        rate,
        hops,
        list(avoid),
    ]


class Client:
    """The client's side of one HTTP/2 connection: the bytes of its calls."""

    def __init__(self):
        self.out, self.connection = bytearray(), http2.Connection(True, ping_interval=0.0)
        self.connection.loop, self.connection.transport = self, self
        self.connection.opened()

    def call(self, path, headers, message):
        self.connection.call(path, "127.0.0.1", headers).send(message)

    def ping(self):
        self.connection.ping()

    def leave(self):
        self.connection.go_away()

    def time(self):
        return 100.0

    def call_later(self, *_):
        pass

    def write(self, data):
        self.out += data

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0


class Server:
    """The server's side of one HTTP/2 connection on a made-up transport and clock; answers echo what came."""

    def __init__(self):
        self.out, self.calls = bytearray(), []
        self.connection = http2.Connection(False, self.serve, ping_interval=0.0)
        self.connection.loop = self
        self.connection.transport = self
        self.connection.opened()

    def serve(self, call):
        self.calls.append(call.path)
        call.on_message = lambda data: (
            call.send(data[::-1]),
            call.finish(5, "no märk", tried="2") if data == b"end" else None,
        )

    def take(self, data):
        """What goes back."""
        self.connection.received(data)
        found, self.out = bytes(self.out), bytearray()
        return found

    # What a transport and a loop have.

    def time(self):
        return 0.0

    def call_later(self, *_):
        return self

    def cancel(self):
        pass

    def write(self, data):
        self.out += data

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def close(self):
        pass

    abort = close


# End of the adapter.


def encode_all(messages):
    return [one.SerializeToString(deterministic=True) for one in messages]


KIND = "type.googleapis.com/envoy.config."
TABLES, ROUTES, LINES = (
    KIND + "endpoint.v3.ClusterLoadAssignment",
    KIND + "route.v3.RouteConfiguration",
    KIND + "endpoint.v3.LbEndpoint",
)
POINTS = [
    ("127.10.9.1", 80, "north", 1.0),
    ("127.10.9.2", 80, "south", 0.25),
    ("2001:db8::1", 8080, "", 3999.9994),
    ("127.10.9.3", 65535, "north", 0.0001),
]
RETRIES = {"look": "never", "file": "unstarted", "put": "once", "get": "twice"}
LINE = "xdstp://peatlead/envoy.config.endpoint.v3.LbEndpoint/"


def resource_cases():
    """[what, input, bytes, what is read back]."""
    found = []
    for level in (1.0, 0.85, 0.000001, 0.0):
        for points in (POINTS, POINTS[:1], []):
            data = encode_lines("look", points, level)
            found.append(["table", [points, level], data.hex(), decode_lines(data)])
    for retries in (RETRIES, {}):
        data = encode_routes(retries)
        found.append(["routes", retries, data.hex(), decode_routes(data)])
    for url, key, value, zones in (
        (LINES, "line/look/north/127.10.9.1:80", 1000, ()),
        (LINES, "line/a/b/c/2001:db8::1:65535", 1, ()),
        (TABLES, "level/look", 1_000_000, ("north", "south")),
        (TABLES, "level/look", 850_000, ("north",)),
        (TABLES, "level/file", 0, ()),
        (ROUTES, "retry/file", "twice", ()),
    ):
        data, name = encode_value(key, value, zones), encode_name(key)
        found.append(
            [name, [key, value], data.hex(), [decode_name(url, name), decode_value(key, data)]]
        )
    return found


def request(**fields):
    return discovery_pb2.DiscoveryRequest(**fields).SerializeToString(deterministic=True)


def delta_request(**fields):
    return discovery_pb2.DeltaDiscoveryRequest(**fields).SerializeToString(deterministic=True)


def whole_stream():
    """[bytes in or type that changed, [bytes out]] of a state-of-the-world stream."""
    state = {
        TABLES: {
            "look": encode_lines("look", POINTS, 0.9),
            "file": encode_lines("file", POINTS[:2], 1.0),
        },
        ROUTES: {"peatlead": encode_routes(RETRIES)},
        LINES: {},
    }
    stream, found = WholeStream(7, state), []

    def take(**fields):
        data = request(**fields)
        found.append([data.hex(), [recorded.to_base64(one) for one in stream.take(data)]])

    def changed(url):
        found.append([url, [recorded.to_base64(one) for one in stream.changed(url)]])

    take(
        type_url=TABLES,
        resource_names=["look", "file"],
        node={"id": "p0", "locality": {"zone": "north"}},
    )
    take(type_url=ROUTES)
    state[TABLES]["look"] = encode_lines("look", POINTS[1:], 0.5)
    changed(TABLES)
    take(type_url=TABLES, resource_names=["look", "file"], response_nonce="7.1", version_info="7.1")
    take(type_url=ROUTES, response_nonce="7.2", error_detail={"code": 3, "message": "not for me"})
    changed(ROUTES)
    state[ROUTES]["peatlead"] = encode_routes({"look": "once"})
    changed(ROUTES)
    take(type_url=TABLES, resource_names=["look"], response_nonce="7.3", version_info="7.3")
    take(type_url=TABLES, resource_names=["look"], response_nonce="7.1", version_info="7.1")
    return found, stream.outcome()


def delta_stream():
    """[bytes in or type that changed, [bytes out], what a proxy makes of them] of an incremental stream."""
    chance, found, proxy, nonces = random.Random(6), [], Proxy(), {}
    state = {
        "line": {f"line/look/north/127.10.9.{at}:80": 1000 + at for at in range(6)},
        "level": {"level/look": 900_000, "level/file": 1_000_000},
        "retry": {"retry/look": "once", "retry/file": "never"},
    }
    stream = DeltaStream(3, state)

    def note(what, sent):
        for data in sent:
            told = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
            nonces[told.type_url] = told.nonce
        found.append(
            [what, [recorded.to_base64(one) for one in sent], [proxy.take(one) for one in sent]]
        )

    def take(**fields):
        data = delta_request(**fields)
        note(data.hex(), stream.take(data))

    take(type_url=TABLES, resource_names_subscribe=["look", "file"], node={"id": "p0"})
    take(type_url=ROUTES)
    take(type_url=LINES, resource_names_subscribe=[LINE + "look/north/*", LINE + "look/south/*"])
    take(type_url="type.googleapis.com/other")
    for step in range(6):
        lines = state["line"]
        lines.pop(chance.choice(sorted(lines)))
        lines[chance.choice(sorted(lines))] += 7
        lines[f"line/look/south/127.10.8.{step}:80"] = 500
        lines[f"line/file/south/127.10.8.{step}:80"] = 500
        note(LINES, stream.changed(LINES))
        if step == 2:
            take(
                type_url=LINES,
                response_nonce=nonces[LINES],
                error_detail={"message": "base differs"},
            )
        elif step == 3:
            take(
                type_url=LINES,
                response_nonce=nonces[LINES],
                error_detail={"message": "out of memory"},
            )
            take(type_url=LINES, resource_names_unsubscribe=[LINE + "look/north/*"])
        else:
            take(type_url=LINES, response_nonce=nonces[LINES])
    state["level"]["level/look"] = 10
    state["retry"].pop("retry/file")
    for url in (TABLES, ROUTES):
        take(type_url=url, response_nonce=nonces[url])
        note(url, stream.changed(url))
    return found, stream.outcome()


def held_stream():
    """A proxy that says what it holds gets what differs."""
    state = {
        "line": {"line/look/a/127.0.0.1:80": 5, "line/look/a/127.0.0.2:80": 6},
        "level": {},
        "retry": {},
    }
    data = delta_request(
        type_url=LINES,
        initial_resource_versions={
            LINE + "look/a/127.0.0.1:80": "5",
            LINE + "look/a/127.0.0.9:80": "8",
            "foreign": "1",
            LINE + "odd": "2",
        },
    )
    return [len(data), [recorded.to_base64(one) for one in DeltaStream(4, state).take(data)]]


def load_report():
    """[bytes in, sums]."""
    made = lrs_pb2.LoadStatsRequest()
    made.node.id = "p0"
    for name, span, good, bad in (
        ("look", 1.0, 8, 2),
        ("other", 1.0, 5, 0),
        ("file", 1e6, 5, 0),
        ("file", 0.5, 0, 3),
    ):
        cluster = made.cluster_stats.add(cluster_name=name, total_dropped_requests=3)
        cluster.load_report_interval.FromNanoseconds(int(span * 1e9))
        for at, address in enumerate(("127.10.9.1", "127.10.9.2", "203.0.113.9")):
            one = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add()
            one.address.socket_address.address, one.address.socket_address.port_value = address, 80
            one.total_successful_requests, one.total_error_requests = good + at, bad
            one.load_metric_stats.add(
                metric_name="seconds",
                num_requests_finished_with_metric=8,
                total_metric_value=2.0 + at,
            )
            one.load_metric_stats.add(
                metric_name="util", num_requests_finished_with_metric=4, total_metric_value=2.5
            )
            one.load_metric_stats.add(
                metric_name="else", num_requests_finished_with_metric=4, total_metric_value=9.0
            )
    data = made.SerializeToString(deterministic=True)
    return [
        data.hex(),
        decode_report(
            data, {"look": 0, "file": 1}, {("127.10.9.1", 80): 5, ("127.10.9.2", 80): 2}, 70, 1
        ),
    ]


def first_requests():
    """[bytes in, delta or not, what they say]."""
    said = Struct()
    said.update(
        {
            "epoch": 9,
            "rate": 12.5,
            "hops": 2,
            "avoid": ["ns2"],
            "held": {"look": ["127.0.0.1|80|north|0.25", "127.0.0.2|81|south|1.0"], "file": []},
        }
    )
    node = {"id": "p0", "locality": {"zone": "north"}, "metadata": said}
    found = []
    for delta, data in (
        (False, request(type_url=TABLES, node=node, version_info="11.4")),
        (False, request(type_url=TABLES, node={"id": "bare"})),
        (
            True,
            delta_request(
                type_url=LINES,
                node=node,
                initial_resource_versions={LINE + "look/south/127.0.0.1:80": "250"},
            ),
        ),
    ):
        found.append([data.hex(), delta, decode_node(data, delta)])
    return found


def framing_transcript():
    data = b"".join(map(frame, (b"", b"a", b"bc" * 200)))
    return {
        "framed": data.hex(),
        "whole": unframe([data]),
        "bytewise": unframe([bytes([one]) for one in data]),
        "compressed": unframe([frame(b"x") + b"\x01\0\0\0\0"]),
        "overlong": unframe([b"\0\xff\xff\xff\xff"]),
        "text": percent("naïve 100%\n" + "x" * 3),
        "long": len(percent("é" * 999)),
        "timeouts": [
            decode_timeout(one) for one in ("3S", "250m", "1H", "2M", "7u", "9n", "x", "1", "")
        ],
    }


def connection():
    """[bytes in, bytes out] of the server's side of one connection."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    server, found = Server(), []

    def carry():
        data = client.data_to_send()
        back = server.take(data)
        found.append([data.hex(), back.hex()])
        client.receive_data(back)

    def call(number, *more, method="POST", path=PATHS[0]):
        client.send_headers(
            number,
            [
                (":method", method),
                (":scheme", "http"),
                (":path", path),
                (":authority", "x"),
                ("content-type", "application/grpc"),
                *more,
            ],
        )

    client.initiate_connection()
    carry()
    call(1)
    client.send_data(1, frame(b"hello") + frame(b"there")[:4])
    carry()
    client.send_data(1, frame(b"there")[4:], end_stream=True)
    carry()
    call(3, ("grpc-timeout", "3S"), path=PATHS[2])
    client.send_data(3, frame(b"end"))
    carry()
    call(5, method="GET")
    carry()
    call(7, path=PATHS[1])
    client.send_data(7, b"\x01\0\0\0\0")
    carry()
    client.ping(b"12345678")
    carry()
    return {"bytes": found, "paths": server.calls}


def client_connection():
    """The bytes that the client's side sends, after each step."""
    client, found = Client(), []
    for step in (
        lambda: client.call(PATHS[0], [], b"hello"),
        lambda: client.call(PATHS[1], [("grpc-timeout", "2S")], b"x" * 300),
        client.ping,
        client.leave,
    ):
        step()
        found.append(bytes(client.out).hex())
        client.out.clear()
    return found


def transcript():
    stream, outcome = whole_stream()
    delta, delta_outcome = delta_stream()
    return {
        "resources": resource_cases(),
        "whole": stream,
        "whole outcome": outcome,
        "incremental": delta,
        "incremental outcome": delta_outcome,
        "held": held_stream(),
        "report": load_report(),
        "first requests": first_requests(),
        "framing": framing_transcript(),
        "paths": PATHS,
        "connection": connection(),
        "client": client_connection(),
    }


class Transcripts(unittest.TestCase):
    def test_resources_streams_reports_and_frames_are_as_recorded(self):
        recorded.compare(self, "xds", transcript())

    def test_the_record_holds_responses_refusals_and_removals(self):
        kept = recorded.read("xds")
        self.assertGreaterEqual(sum(len(one[1]) for one in kept["whole"]), 4)
        self.assertGreaterEqual(sum(len(one[1]) for one in kept["incremental"]), 8)
        self.assertTrue(kept["whole outcome"]["refused"] and kept["incremental outcome"]["refused"])
        self.assertIn("applied", {two[0] for one in kept["incremental"] for two in one[2]})
        self.assertTrue(kept["report"][1])
        self.assertTrue(all(one[1] for one in kept["connection"]["bytes"]))


if __name__ == "__main__":
    recorded.write("xds", transcript())
