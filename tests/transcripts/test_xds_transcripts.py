"""Compares discovery and load reporting streams byte by byte with tests/data/wire/xds.json.

Requests are made with the public protobuf classes. After an intended change of the wire format,
record the file again with `python -m tests.transcripts.test_xds_transcripts`. Renamed code must
match the existing file.
"""

import random
import unittest

import h2.config
import h2.connection
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.struct_pb2 import Struct

from peatlead.grpc import (
    discovery,
    framing,
    http2,
    incremental,
    load_aggregation,
    load_reports,
    proxy_node,
    resources,
    server,
)
from peatlead.tables import replica

from . import recorded

# Adapter: the only code here that uses names of the package.

PATHS = [server.DISCOVERY_PATH, server.DELTA_DISCOVERY_PATH, server.LOAD_REPORTING_PATH]
encode_routes, encode_item = resources.encode_routes, resources.encode_item
encode_resource_name, decode_resource_name = resources.resource_name, resources.parse_resource_name
frame, percent_encode, parse_timeout = framing.frame, framing.percent_encode, framing.parse_timeout


def encode_assignment(request_class, endpoints, admitted_fraction):
    return resources.encode_assignment(
        request_class,
        [resources.WeightedEndpoint(*endpoint) for endpoint in endpoints],
        admitted_fraction,
    )


def decode_assignment(data):
    request_class, endpoints, admitted_fraction = resources.decode_assignment(data)
    return [request_class, [list(endpoint) for endpoint in endpoints], admitted_fraction]


def decode_routes(data):
    return resources.decode_routes(data)


def decode_item(key, data):
    return resources.decode_item(key, data)


def deframe(chunks):
    """Returns the messages as hex; after an invalid message the last element is the status code."""
    deframer, results = framing.MessageDeframer(), []
    try:
        for chunk in chunks:
            results += [message.hex() for message in deframer.feed(chunk)]
    except framing.FramingError as error:
        results.append(error.status)
    return results


class StateOfTheWorldStream:
    """A state-of-the-world stream. `resources_by_type`: {type URL: {name: bytes}}."""

    def __init__(self, epoch, resources_by_type):
        self.discovery = discovery.Discovery(
            epoch,
            lambda type_url, names: {
                name: data
                for name, data in resources_by_type[type_url].items()
                if not names or name in names
            },
            "ns1",
        )

    def handle_request(self, data):
        return encode_all(
            self.discovery.handle_request(discovery_pb2.DiscoveryRequest.FromString(data))
        )

    def resources_changed(self, type_url):
        return encode_all(self.discovery.resources_changed(type_url))

    def outcome(self):
        return {
            "refused": [list(nack) for nack in self.discovery.nacks],
            "applied": [[type_url, str(version)] for type_url, version in self.discovery.acks],
        }


class IncrementalStream:
    """An incremental stream. `items`: {part of the tables: {key: value}}."""

    def __init__(self, epoch, items):
        self.discovery = incremental.IncrementalDiscovery(
            epoch,
            lambda part: dict(items[part]),
            "ns1",
            lambda version, parts: None,
            ("north", "south"),
        )

    def handle_request(self, data):
        return encode_all(
            self.discovery.handle_request(discovery_pb2.DeltaDiscoveryRequest.FromString(data))
        )

    def resources_changed(self, type_url):
        return encode_all(self.discovery.resources_changed(type_url))

    def outcome(self):
        return {
            "refused": [list(nack) for nack in self.discovery.nacks],
            "applied": [[type_url, str(version)] for type_url, version in self.discovery.acks],
            "counts": [self.discovery.resources_sent, self.discovery.full_resyncs],
        }


class Proxy:
    """A proxy of the incremental variant, which applies responses to a replica of the tables."""

    def __init__(self):
        self.replica = replica.Replica()

    def apply(self, data):
        """Applies a response; returns the outcome and the items afterwards."""
        type_url, changed_items, stamp = incremental.decode_delta(
            discovery_pb2.DeltaDiscoveryResponse.FromString(data)
        )
        part = incremental.PART_BY_TYPE[type_url]
        outcome = self.replica.apply_delta(part, stamp, changed_items)
        return [outcome, sorted(self.replica.parts[part].items())]


def decode_report(data, request_classes, endpoints, proxy, zone):
    """Returns the totals of a load report as plain lists: of requests, then of endpoints."""
    aggregator = load_aggregation.LoadAggregator()
    aggregator.on_report(0.0)
    load_reports.read_report(
        lrs_pb2.LoadStatsRequest.FromString(data),
        request_classes,
        endpoints.get,
        proxy,
        zone,
        aggregator,
    )
    return [list(event) for event in aggregator.take_due(0.0)]


def decode_node(data, delta):
    """Returns the contents of a proxy's first request as plain values."""
    request_type = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
    name, zone, epoch, held, rate, hops, unreachable_controllers = proxy_node.read_node(
        request_type.FromString(data)
    )
    return [
        name,
        zone,
        epoch,
        {
            request_class: [list(endpoint) for endpoint in endpoints]
            for request_class, endpoints in sorted(held.items())
        },
        rate,
        hops,
        list(unreachable_controllers),
    ]


class Client:
    """The client's side of one HTTP/2 connection; also its own event loop and transport."""

    def __init__(self):
        self.out, self.connection = bytearray(), http2.Connection(True, ping_interval=0.0)
        self.connection.loop, self.connection.transport = self, self
        self.connection.opened()

    def call(self, path, headers, message):
        self.connection.call(path, "127.0.0.1", headers).send(message)

    def ping(self):
        self.connection.ping()

    def go_away(self):
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
    """The server's side of one HTTP/2 connection; also its own event loop and transport.

    The server answers each message with the reversed message.
    """

    def __init__(self):
        self.out, self.calls = bytearray(), []
        self.connection = http2.Connection(False, self.on_call, ping_interval=0.0)
        self.connection.loop = self
        self.connection.transport = self
        self.connection.opened()

    def on_call(self, call):
        self.calls.append(call.path)
        call.on_message = lambda data: (
            call.send(data[::-1]),
            call.finish(5, "no märk", tried="2") if data == b"end" else None,
        )

    def receive(self, data):
        """Handles data of the client; returns the data that the server sends."""
        self.connection.received(data)
        sent, self.out = bytes(self.out), bytearray()
        return sent

    # Methods of the transport and the event loop.

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
    return [message.SerializeToString(deterministic=True) for message in messages]


TYPE_URL_PREFIX = "type.googleapis.com/envoy.config."
ASSIGNMENT_TYPE_URL, ROUTE_TYPE_URL, LB_ENDPOINT_TYPE_URL = (
    TYPE_URL_PREFIX + "endpoint.v3.ClusterLoadAssignment",
    TYPE_URL_PREFIX + "route.v3.RouteConfiguration",
    TYPE_URL_PREFIX + "endpoint.v3.LbEndpoint",
)
ENDPOINTS = [
    ("127.10.9.1", 80, "north", 1.0),
    ("127.10.9.2", 80, "south", 0.25),
    ("2001:db8::1", 8080, "", 3999.9994),
    ("127.10.9.3", 65535, "north", 0.0001),
]
RETRY_POLICIES = {"look": "never", "file": "unstarted", "put": "once", "get": "twice"}
LB_ENDPOINT_NAME_PREFIX = "xdstp://peatlead/envoy.config.endpoint.v3.LbEndpoint/"


def resource_cases():
    """Returns [label or resource name, input, encoded bytes, decoded value] of each case."""
    cases = []
    for admitted_fraction in (1.0, 0.85, 0.000001, 0.0):
        for endpoints in (ENDPOINTS, ENDPOINTS[:1], []):
            data = encode_assignment("look", endpoints, admitted_fraction)
            cases.append(
                ["table", [endpoints, admitted_fraction], data.hex(), decode_assignment(data)]
            )
    for retry_policies in (RETRY_POLICIES, {}):
        data = encode_routes(retry_policies)
        cases.append(["routes", retry_policies, data.hex(), decode_routes(data)])
    for type_url, key, value, zones in (
        (LB_ENDPOINT_TYPE_URL, "line/look/north/127.10.9.1:80", 1000, ()),
        (LB_ENDPOINT_TYPE_URL, "line/a/b/c/2001:db8::1:65535", 1, ()),
        (ASSIGNMENT_TYPE_URL, "level/look", 1_000_000, ("north", "south")),
        (ASSIGNMENT_TYPE_URL, "level/look", 850_000, ("north",)),
        (ASSIGNMENT_TYPE_URL, "level/file", 0, ()),
        (ROUTE_TYPE_URL, "retry/file", "twice", ()),
    ):
        data, name = encode_item(key, value, zones), encode_resource_name(key)
        cases.append(
            [
                name,
                [key, value],
                data.hex(),
                [decode_resource_name(type_url, name), decode_item(key, data)],
            ]
        )
    return cases


def request(**fields):
    return discovery_pb2.DiscoveryRequest(**fields).SerializeToString(deterministic=True)


def delta_request(**fields):
    return discovery_pb2.DeltaDiscoveryRequest(**fields).SerializeToString(deterministic=True)


def state_of_the_world_transcript():
    """Returns [request or changed type, [responses]] of each step."""
    resources = {
        ASSIGNMENT_TYPE_URL: {
            "look": encode_assignment("look", ENDPOINTS, 0.9),
            "file": encode_assignment("file", ENDPOINTS[:2], 1.0),
        },
        ROUTE_TYPE_URL: {"peatlead": encode_routes(RETRY_POLICIES)},
        LB_ENDPOINT_TYPE_URL: {},
    }
    stream, steps = StateOfTheWorldStream(7, resources), []

    def send_request(**fields):
        data = request(**fields)
        steps.append(
            [data.hex(), [recorded.to_base64(response) for response in stream.handle_request(data)]]
        )

    def change_resources(type_url):
        steps.append(
            [
                type_url,
                [recorded.to_base64(response) for response in stream.resources_changed(type_url)],
            ]
        )

    send_request(
        type_url=ASSIGNMENT_TYPE_URL,
        resource_names=["look", "file"],
        node={"id": "p0", "locality": {"zone": "north"}},
    )
    send_request(type_url=ROUTE_TYPE_URL)
    resources[ASSIGNMENT_TYPE_URL]["look"] = encode_assignment("look", ENDPOINTS[1:], 0.5)
    change_resources(ASSIGNMENT_TYPE_URL)
    send_request(
        type_url=ASSIGNMENT_TYPE_URL,
        resource_names=["look", "file"],
        response_nonce="7.1",
        version_info="7.1",
    )
    send_request(
        type_url=ROUTE_TYPE_URL,
        response_nonce="7.2",
        error_detail={"code": 3, "message": "not for me"},
    )
    change_resources(ROUTE_TYPE_URL)
    resources[ROUTE_TYPE_URL]["peatlead"] = encode_routes({"look": "once"})
    change_resources(ROUTE_TYPE_URL)
    send_request(
        type_url=ASSIGNMENT_TYPE_URL,
        resource_names=["look"],
        response_nonce="7.3",
        version_info="7.3",
    )
    send_request(
        type_url=ASSIGNMENT_TYPE_URL,
        resource_names=["look"],
        response_nonce="7.1",
        version_info="7.1",
    )
    return steps, stream.outcome()


def incremental_transcript():
    """Returns [request or changed type, [responses], [outcomes at the proxy]] of each step."""
    rng, steps, proxy, nonces = random.Random(6), [], Proxy(), {}
    items = {
        "line": {f"line/look/north/127.10.9.{index}:80": 1000 + index for index in range(6)},
        "level": {"level/look": 900_000, "level/file": 1_000_000},
        "retry": {"retry/look": "once", "retry/file": "never"},
    }
    stream = IncrementalStream(3, items)

    def record_step(step_input, responses):
        for data in responses:
            response = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
            nonces[response.type_url] = response.nonce
        steps.append(
            [
                step_input,
                [recorded.to_base64(response_data) for response_data in responses],
                [proxy.apply(response_data) for response_data in responses],
            ]
        )

    def send_request(**fields):
        data = delta_request(**fields)
        record_step(data.hex(), stream.handle_request(data))

    send_request(
        type_url=ASSIGNMENT_TYPE_URL, resource_names_subscribe=["look", "file"], node={"id": "p0"}
    )
    send_request(type_url=ROUTE_TYPE_URL)
    send_request(
        type_url=LB_ENDPOINT_TYPE_URL,
        resource_names_subscribe=[
            LB_ENDPOINT_NAME_PREFIX + "look/north/*",
            LB_ENDPOINT_NAME_PREFIX + "look/south/*",
        ],
    )
    send_request(type_url="type.googleapis.com/other")
    for step in range(6):
        endpoint_items = items["line"]
        endpoint_items.pop(rng.choice(sorted(endpoint_items)))
        endpoint_items[rng.choice(sorted(endpoint_items))] += 7
        endpoint_items[f"line/look/south/127.10.8.{step}:80"] = 500
        endpoint_items[f"line/file/south/127.10.8.{step}:80"] = 500
        record_step(LB_ENDPOINT_TYPE_URL, stream.resources_changed(LB_ENDPOINT_TYPE_URL))
        if step == 2:
            send_request(
                type_url=LB_ENDPOINT_TYPE_URL,
                response_nonce=nonces[LB_ENDPOINT_TYPE_URL],
                error_detail={"message": "base differs"},
            )
        elif step == 3:
            send_request(
                type_url=LB_ENDPOINT_TYPE_URL,
                response_nonce=nonces[LB_ENDPOINT_TYPE_URL],
                error_detail={"message": "out of memory"},
            )
            send_request(
                type_url=LB_ENDPOINT_TYPE_URL,
                resource_names_unsubscribe=[LB_ENDPOINT_NAME_PREFIX + "look/north/*"],
            )
        else:
            send_request(type_url=LB_ENDPOINT_TYPE_URL, response_nonce=nonces[LB_ENDPOINT_TYPE_URL])
    items["level"]["level/look"] = 10
    items["retry"].pop("retry/file")
    for type_url in (ASSIGNMENT_TYPE_URL, ROUTE_TYPE_URL):
        send_request(type_url=type_url, response_nonce=nonces[type_url])
        record_step(type_url, stream.resources_changed(type_url))
    return steps, stream.outcome()


def initial_versions_transcript():
    """Returns the responses to a proxy that reports the versions of the resources that it holds."""
    items = {
        "line": {"line/look/a/127.0.0.1:80": 5, "line/look/a/127.0.0.2:80": 6},
        "level": {},
        "retry": {},
    }
    data = delta_request(
        type_url=LB_ENDPOINT_TYPE_URL,
        initial_resource_versions={
            LB_ENDPOINT_NAME_PREFIX + "look/a/127.0.0.1:80": "5",
            LB_ENDPOINT_NAME_PREFIX + "look/a/127.0.0.9:80": "8",
            "foreign": "1",
            LB_ENDPOINT_NAME_PREFIX + "odd": "2",
        },
    )
    return [
        len(data),
        [
            recorded.to_base64(response)
            for response in IncrementalStream(4, items).handle_request(data)
        ],
    ]


def load_report_transcript():
    """Returns [load report, totals]."""
    report = lrs_pb2.LoadStatsRequest()
    report.node.id = "p0"
    for cluster_name, interval, successes, errors in (
        ("look", 1.0, 8, 2),
        ("other", 1.0, 5, 0),
        ("file", 1e6, 5, 0),
        ("file", 0.5, 0, 3),
    ):
        cluster = report.cluster_stats.add(cluster_name=cluster_name, total_dropped_requests=3)
        cluster.load_report_interval.FromNanoseconds(int(interval * 1e9))
        for index, address in enumerate(("127.10.9.1", "127.10.9.2", "203.0.113.9")):
            stats = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add()
            stats.address.socket_address.address, stats.address.socket_address.port_value = (
                address,
                80,
            )
            stats.total_successful_requests, stats.total_error_requests = successes + index, errors
            stats.load_metric_stats.add(
                metric_name="seconds",
                num_requests_finished_with_metric=8,
                total_metric_value=2.0 + index,
            )
            stats.load_metric_stats.add(
                metric_name="util", num_requests_finished_with_metric=4, total_metric_value=2.5
            )
            stats.load_metric_stats.add(
                metric_name="else", num_requests_finished_with_metric=4, total_metric_value=9.0
            )
    data = report.SerializeToString(deterministic=True)
    return [
        data.hex(),
        decode_report(
            data, {"look": 0, "file": 1}, {("127.10.9.1", 80): 5, ("127.10.9.2", 80): 2}, 70, 1
        ),
    ]


def first_request_transcript():
    """Returns [request, whether it is incremental, decoded node] of each case."""
    metadata = Struct()
    metadata.update(
        {
            "epoch": 9,
            "rate": 12.5,
            "hops": 2,
            "avoid": ["ns2"],
            "held": {"look": ["127.0.0.1|80|north|0.25", "127.0.0.2|81|south|1.0"], "file": []},
        }
    )
    node = {"id": "p0", "locality": {"zone": "north"}, "metadata": metadata}
    results = []
    for delta, data in (
        (False, request(type_url=ASSIGNMENT_TYPE_URL, node=node, version_info="11.4")),
        (False, request(type_url=ASSIGNMENT_TYPE_URL, node={"id": "bare"})),
        (
            True,
            delta_request(
                type_url=LB_ENDPOINT_TYPE_URL,
                node=node,
                initial_resource_versions={
                    LB_ENDPOINT_NAME_PREFIX + "look/south/127.0.0.1:80": "250"
                },
            ),
        ),
    ):
        results.append([data.hex(), delta, decode_node(data, delta)])
    return results


def framing_transcript():
    data = b"".join(map(frame, (b"", b"a", b"bc" * 200)))
    return {
        "framed": data.hex(),
        "whole": deframe([data]),
        "bytewise": deframe([bytes([byte]) for byte in data]),
        "compressed": deframe([frame(b"x") + b"\x01\0\0\0\0"]),
        "overlong": deframe([b"\0\xff\xff\xff\xff"]),
        "text": percent_encode("naïve 100%\n" + "x" * 3),
        "long": len(percent_encode("é" * 999)),
        "timeouts": [
            parse_timeout(header) for header in ("3S", "250m", "1H", "2M", "7u", "9n", "x", "1", "")
        ],
    }


def server_connection_transcript():
    """Returns the received and sent data of the server's side of one connection, by step."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    server, exchanges = Server(), []

    def exchange():
        data = client.data_to_send()
        answer = server.receive(data)
        exchanges.append([data.hex(), answer.hex()])
        client.receive_data(answer)

    def call(stream_id, *more_headers, method="POST", path=PATHS[0]):
        client.send_headers(
            stream_id,
            [
                (":method", method),
                (":scheme", "http"),
                (":path", path),
                (":authority", "x"),
                ("content-type", "application/grpc"),
                *more_headers,
            ],
        )

    client.initiate_connection()
    exchange()
    call(1)
    client.send_data(1, frame(b"hello") + frame(b"there")[:4])
    exchange()
    client.send_data(1, frame(b"there")[4:], end_stream=True)
    exchange()
    call(3, ("grpc-timeout", "3S"), path=PATHS[2])
    client.send_data(3, frame(b"end"))
    exchange()
    call(5, method="GET")
    exchange()
    call(7, path=PATHS[1])
    client.send_data(7, b"\x01\0\0\0\0")
    exchange()
    client.ping(b"12345678")
    exchange()
    return {"bytes": exchanges, "paths": server.calls}


def client_connection_transcript():
    """Returns the data that the client's side of a connection sends in each step."""
    client, outputs = Client(), []
    for step in (
        lambda: client.call(PATHS[0], [], b"hello"),
        lambda: client.call(PATHS[1], [("grpc-timeout", "2S")], b"x" * 300),
        client.ping,
        client.go_away,
    ):
        step()
        outputs.append(bytes(client.out).hex())
        client.out.clear()
    return outputs


def transcript():
    state_of_the_world_steps, state_of_the_world_outcome = state_of_the_world_transcript()
    incremental_steps, incremental_outcome = incremental_transcript()
    return {
        "resources": resource_cases(),
        "whole": state_of_the_world_steps,
        "whole outcome": state_of_the_world_outcome,
        "incremental": incremental_steps,
        "incremental outcome": incremental_outcome,
        "held": initial_versions_transcript(),
        "report": load_report_transcript(),
        "first requests": first_request_transcript(),
        "framing": framing_transcript(),
        "paths": PATHS,
        "connection": server_connection_transcript(),
        "client": client_connection_transcript(),
    }


class Transcripts(unittest.TestCase):
    def test_resources_streams_reports_and_frames_are_as_recorded(self):
        recorded.compare(self, "xds", transcript())

    def test_the_record_holds_responses_refusals_and_removals(self):
        record = recorded.read("xds")
        self.assertGreaterEqual(sum(len(entry[1]) for entry in record["whole"]), 4)
        self.assertGreaterEqual(sum(len(entry[1]) for entry in record["incremental"]), 8)
        self.assertTrue(
            record["whole outcome"]["refused"] and record["incremental outcome"]["refused"]
        )
        self.assertIn(
            "applied", {outcome[0] for entry in record["incremental"] for outcome in entry[2]}
        )
        self.assertTrue(record["report"][1])
        self.assertTrue(all(entry[1] for entry in record["connection"]["bytes"]))


if __name__ == "__main__":
    recorded.write("xds", transcript())
