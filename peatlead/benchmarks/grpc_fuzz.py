"""Drawn and changed input against the gRPC front: `python -m peatlead.benchmarks.grpc_fuzz SECONDS [SEED]`

HTTP/2 bytes into a server's side without sockets, and protobuf bytes into the readers of what proxies send. Any
exception but those that are a reader's word ends it with the input; memory is told at the start and the end.
"""

import asyncio
import json
import resource
import sys
import time
from random import Random

import h2.config
import h2.connection
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from ..grpc.framing import frame
from ..grpc.http2 import Connection
from ..grpc.incremental import decode_initial_versions
from ..grpc.load_aggregation import LoadAggregator
from ..grpc.load_reports import read_report
from ..grpc.proxy_node import read_node
from ..grpc.resources import ENDPOINTS, LINES, decode_assignment, decode_routes
from ..grpc.server import DELTA, DISCOVERY, LOADS
from ..net.in_memory_transport import InMemoryTransport


def whole_reports():
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = "agent1"
    cluster = request.cluster_stats.add(cluster_name="look", total_dropped_requests=3)
    cluster.load_report_interval.FromMilliseconds(1000)
    one = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add(
        total_successful_requests=5
    )
    one.address.socket_address.address, one.address.socket_address.port_value = "10.0.0.1", 80
    one.load_metric_stats.add(
        metric_name="seconds", num_requests_finished_with_metric=5, total_metric_value=1.0
    )
    return request.SerializeToString()


def whole_joins():
    plain = discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=["look"])
    plain.node.id, plain.node.locality.zone = "agent1", "a"
    plain.node.metadata.fields["epoch"].number_value = 3
    plain.node.metadata.fields["held"].struct_value.fields[
        "look"
    ].list_value.values.add().string_value = "10.0.0.1|80|a|1.0"
    delta = discovery_pb2.DeltaDiscoveryRequest(
        type_url=LINES,
        initial_resource_versions={
            "xdstp://peatlead/envoy.config.endpoint.v3.LbEndpoint/look/a/10.0.0.1:80": "1000"
        },
    )
    delta.node.id = "agent1"
    return plain.SerializeToString(), delta.SerializeToString()


def changed(chance, data):
    data = bytearray(data)
    for _ in range(chance.randrange(1, 9)):
        at = chance.randrange(len(data) + 1)
        data[at : at + chance.randrange(4)] = chance.randbytes(chance.randrange(4))
    return bytes(data)


def read(data):
    """All readers of what a proxy sends."""
    for make, use in (
        (
            lrs_pb2.LoadStatsRequest,
            lambda said: read_report(said, {"look": 0}, lambda place: 1, 7, 0, LoadAggregator()),
        ),
        (discovery_pb2.DiscoveryRequest, read_node),
        (
            discovery_pb2.DeltaDiscoveryRequest,
            lambda said: (read_node(said), decode_initial_versions(said)),
        ),
    ):
        try:
            use(make.FromString(data))
        except (DecodeError, ValueError):
            continue
    for use in (decode_assignment, decode_routes):
        try:
            use(data)
        except ValueError:
            continue


def frames(path, message):
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    client.initiate_connection()
    client.send_headers(
        1,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "x"),
            ("content-type", "application/grpc"),
        ],
    )
    client.send_data(1, frame(message))
    return client.data_to_send()


async def fuzz(seconds, seed):
    chance, end, played = Random(seed), time.monotonic() + seconds, 0
    reports, joins = whole_reports(), whole_joins()
    streams = [frames(*one) for one in ((LOADS, reports), (DISCOVERY, joins[0]), (DELTA, joins[1]))]
    peak = None
    while time.monotonic() < end:
        data = changed(chance, chance.choice((reports, *joins)))
        read(data)
        made = Connection(False, lambda call: setattr(call, "message", read), ping_every=0.0)
        made.connection_made(InMemoryTransport())
        stream = changed(chance, chance.choice(streams))
        size = chance.choice((1, 9, 100, 65536))
        for at in range(0, len(stream), size):
            if made.transport.is_closing():
                break
            made.received(stream[at : at + size])
        made.connection_lost(None)
        if made.calls:
            raise RuntimeError(f"calls left behind by {stream!r}")
        played += 1
        if played == 2000:
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - (peak or 0)
    print(
        json.dumps(
            {
                "seconds": seconds,
                "seed": seed,
                "inputs": 2 * played,
                "peak KiB at 2,000": peak,
                "grown KiB": grown,
            }
        )
    )


if __name__ == "__main__":
    asyncio.run(fuzz(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1))
