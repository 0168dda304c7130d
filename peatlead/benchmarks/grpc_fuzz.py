"""Feeds mutated input to the gRPC server.

`python -m peatlead.benchmarks.grpc_fuzz SECONDS [SEED]` feeds HTTP/2 bytes to the server side of a
connection without sockets, and protobuf bytes to the decoders of messages from proxies. Exceptions
other than a decoder's documented errors end the run. Prints the peak memory and its growth.
"""

import asyncio
import json
import resource
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import h2.config
import h2.connection
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from ..grpc.call import Call
from ..grpc.framing import frame
from ..grpc.http2 import Connection
from ..grpc.incremental import decode_initial_versions
from ..grpc.load_aggregation import LoadAggregator
from ..grpc.load_reports import read_report
from ..grpc.proxy_node import read_node
from ..grpc.resources import (
    ASSIGNMENT_TYPE_URL,
    LB_ENDPOINT_TYPE_URL,
    decode_assignment,
    decode_routes,
)
from ..grpc.server import DELTA_DISCOVERY_PATH, DISCOVERY_PATH, LOAD_REPORTING_PATH
from ..net.in_memory_transport import InMemoryTransport

WARM_UP_ROUNDS = 2000  # after which memory should no longer grow
CHUNK_SIZES = (1, 9, 100, 65536)  # bytes passed to the connection at once
HELD_ENTRY = "10.0.0.1|80|a|1.0"
HELD_RESOURCE = "xdstp://peatlead/envoy.config.endpoint.v3.LbEndpoint/look/a/10.0.0.1:80"


class Requests(NamedTuple):
    """Serialized valid first messages of the three streams of a proxy."""

    report: bytes
    join: bytes
    incremental_join: bytes


def load_report() -> bytes:
    """Return a load report with all fields that the server reads."""
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = "agent1"
    cluster = request.cluster_stats.add(cluster_name="look", total_dropped_requests=3)
    cluster.load_report_interval.FromMilliseconds(1000)
    locality = cluster.upstream_locality_stats.add()
    endpoint = locality.upstream_endpoint_stats.add(total_successful_requests=5)
    endpoint.address.socket_address.address = "10.0.0.1"
    endpoint.address.socket_address.port_value = 80
    endpoint.load_metric_stats.add(
        metric_name="seconds", num_requests_finished_with_metric=5, total_metric_value=1.0
    )
    serialized: bytes = request.SerializeToString()
    return serialized


def join_request() -> bytes:
    """Return a proxy's first discovery request, with the table that it already holds."""
    request = discovery_pb2.DiscoveryRequest(type_url=ASSIGNMENT_TYPE_URL, resource_names=["look"])
    request.node.id = "agent1"
    request.node.locality.zone = "a"
    metadata = request.node.metadata
    metadata.fields["epoch"].number_value = 3
    held = metadata.fields["held"].struct_value.fields["look"].list_value
    held.values.add().string_value = HELD_ENTRY
    serialized: bytes = request.SerializeToString()
    return serialized


def incremental_join_request() -> bytes:
    """Return a proxy's first incremental request, with the version that it already holds."""
    request = discovery_pb2.DeltaDiscoveryRequest(
        type_url=LB_ENDPOINT_TYPE_URL, initial_resource_versions={HELD_RESOURCE: "1000"}
    )
    request.node.id = "agent1"
    serialized: bytes = request.SerializeToString()
    return serialized


def mutate(rng: Random, data: bytes) -> bytes:
    """Return data with up to eight replacements of at most three bytes."""
    mutated = bytearray(data)
    for _ in range(rng.randrange(1, 9)):
        offset = rng.randrange(len(mutated) + 1)
        mutated[offset : offset + rng.randrange(4)] = rng.randbytes(rng.randrange(4))
    return bytes(mutated)


def decode_report(data: bytes) -> None:
    """Decode a load report."""
    request = lrs_pb2.LoadStatsRequest.FromString(data)
    read_report(request, {"look": 0}, lambda address: 1, 7, 0, LoadAggregator())


def decode_join(data: bytes) -> None:
    """Decode a discovery request."""
    read_node(discovery_pb2.DiscoveryRequest.FromString(data))


def decode_incremental_join(data: bytes) -> None:
    """Decode an incremental discovery request."""
    request = discovery_pb2.DeltaDiscoveryRequest.FromString(data)
    read_node(request)
    decode_initial_versions(request)


DECODERS: tuple[tuple[Callable[[bytes], Any], tuple[type[Exception], ...]], ...] = (
    (decode_report, (DecodeError, ValueError)),
    (decode_join, (DecodeError, ValueError)),
    (decode_incremental_join, (DecodeError, ValueError)),
    (decode_assignment, (ValueError,)),
    (decode_routes, (ValueError,)),
)


def decode_all(data: bytes) -> None:
    """Pass data to each decoder, and ignore the exceptions by which it rejects invalid input."""
    for decode, expected_errors in DECODERS:
        try:
            decode(data)
        except expected_errors:
            continue


def client_stream(path: str, message: bytes) -> bytes:
    """Return the bytes of a client that opens a connection and sends one message."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    client.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "x"),
        ("content-type", "application/grpc"),
    ]
    client.send_headers(1, headers)
    client.send_data(1, frame(message))
    sent: bytes = client.data_to_send()
    return sent


def decode_messages(call: Call) -> None:
    """Accept a call and pass its messages to all decoders."""
    call.on_message = decode_all


def feed_stream(stream: bytes, chunk_size: int) -> None:
    """Feed bytes to a connection and close it; raises RuntimeError if calls remain open."""
    connection = Connection(False, decode_messages, ping_interval=0.0)
    transport = InMemoryTransport()
    connection.connection_made(transport)
    for start in range(0, len(stream), chunk_size):
        if transport.is_closing():
            break
        connection.received(stream[start : start + chunk_size])
    connection.connection_lost(None)
    if connection.calls:
        raise RuntimeError(f"{len(connection.calls)} calls remain after {stream!r}")


def peak_memory() -> int:
    """Return the peak resident size of this process, in KiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


async def fuzz(seconds: float, seed: int) -> dict[str, Any]:
    """Feed mutated input for some seconds; returns the counts."""
    rng = Random(seed)
    end = time.monotonic() + seconds
    requests = Requests(load_report(), join_request(), incremental_join_request())
    streams = [
        client_stream(path, message)
        for path, message in zip(
            (LOAD_REPORTING_PATH, DISCOVERY_PATH, DELTA_DISCOVERY_PATH), requests
        )
    ]
    rounds = 0  # each with one input of both kinds
    peak_after_warm_up = None
    while time.monotonic() < end:
        decode_all(mutate(rng, rng.choice(requests)))
        stream = mutate(rng, rng.choice(streams))
        feed_stream(stream, rng.choice(CHUNK_SIZES))
        rounds += 1
        if rounds == WARM_UP_ROUNDS:
            peak_after_warm_up = peak_memory()
    return {
        "seconds": seconds,
        "seed": seed,
        "inputs": 2 * rounds,
        "peak KiB after 2,000 inputs": peak_after_warm_up,
        "growth in KiB afterwards": peak_memory() - (peak_after_warm_up or 0),
    }


def main() -> None:
    """Fuzz with the arguments of the command line and print the counts as JSON."""
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    print(json.dumps(asyncio.run(fuzz(float(sys.argv[1]), seed))))


if __name__ == "__main__":
    main()
