"""The gRPC server under mass reconnection, slow readers and hostile peers.

`peatlead.benchmarks.herd` simulates a mass reconnection of many more proxies.
"""

import asyncio
import random
import unittest
from unittest import mock

import h2.config
import h2.connection
import h2.settings
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    GoAwayFrame,
    HeadersFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from peatlead import interface
from peatlead.benchmarks.herd import SimulatedProxy
from peatlead.grpc.call import MAX_BACKLOG
from peatlead.grpc.framing import frame
from peatlead.grpc.http2 import MAX_HEADER_LIST, Connection
from peatlead.grpc.resources import ASSIGNMENT_TYPE_URL
from peatlead.grpc.server import DISCOVERY_PATH, LOAD_REPORTING_PATH
from peatlead.net.in_memory_transport import InMemoryTransport

from ..standin_fleet import GRPC_SCRIPT, run_with_standins, until


def client_connection():
    """The client's side of an HTTP/2 connection, with its preface waiting to be sent."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    client.initiate_connection()
    return client


HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", DISCOVERY_PATH),
    (":authority", "x"),
    ("content-type", "application/grpc"),
]


class HostilePeersTest(unittest.IsolatedAsyncioTestCase):
    """Each attack ends the connection after a bounded number of bytes and leaves no state."""

    def start_connection(self):
        """Return a server-side connection and the transport that it writes to."""
        self.calls = []
        transport = InMemoryTransport()
        connection = Connection(False, self.calls.append, ping_interval=0.0)
        connection.connection_made(transport)
        return connection, transport

    def feed_until_closed(self, connection, data):
        """Pass data to a connection until it closes; return the number of accepted bytes."""
        for start in range(0, len(data), 16384):
            if connection.transport.is_closing():
                return start
            connection.received(data[start : start + 16384])
        return len(data)

    def repetitions_until_closed(self, first, repeated, limit=3000):
        """Return how often `repeated(number)` was accepted before the connection ended."""
        connection, transport = self.start_connection()
        self.feed_until_closed(connection, first)
        for number in range(limit):
            if transport.closed:
                connection.connection_lost(None)
                self.assertEqual(connection.calls, {})
                return number
            self.feed_until_closed(connection, repeated(number))
        self.fail("the connection was never closed")

    async def test_an_endless_header_block_ends_the_connection(self):
        first = HeadersFrame(1, b"\x00" * 10)
        data = client_connection().data_to_send() + first.serialize()
        self.assertLess(
            self.repetitions_until_closed(
                data, lambda number: ContinuationFrame(1, b"\x00" * 100).serialize()
            ),
            100,
        )

    async def test_a_header_block_that_expands_to_megabytes_ends_the_connection(self):
        client = client_connection()
        client.send_headers(1, HEADERS)
        client_bytes = client.data_to_send()
        # HPACK (RFC 7541): a long value enters the dynamic table; each further byte repeats it.
        value = b"\x40\x01a" + b"\x7f\xa1\x1e" + b"x" * 4000
        block = value + b"\xbe" * 8000
        connection, transport = self.start_connection()
        self.feed_until_closed(connection, client_bytes)
        self.assertEqual((len(self.calls), transport.closed), (1, False))
        self.feed_until_closed(
            connection, HeadersFrame(3, block, flags=["END_HEADERS"]).serialize()
        )
        self.assertEqual((len(self.calls), transport.closed), (1, True))
        self.assertLess(MAX_HEADER_LIST, 65536)

    async def test_a_flood_of_empty_frames_ends_the_connection(self):
        client = client_connection()
        client.send_headers(1, HEADERS)
        self.assertLess(
            self.repetitions_until_closed(
                client.data_to_send(), lambda number: DataFrame(1, b"").serialize()
            ),
            300,
        )

    async def test_a_flood_of_window_updates_ends_the_connection(self):
        client = client_connection()
        client.send_headers(1, HEADERS)
        client_bytes = client.data_to_send()
        self.assertLess(
            self.repetitions_until_closed(
                client_bytes, lambda number: WindowUpdateFrame(0, window_increment=1).serialize()
            ),
            300,
        )

    async def test_a_flood_of_window_size_changes_ends_the_connection(self):
        self.assertLess(
            self.repetitions_until_closed(
                client_connection().data_to_send(),
                lambda number: SettingsFrame(
                    0, settings={SettingsFrame.INITIAL_WINDOW_SIZE: number % 2}
                ).serialize(),
            ),
            300,
        )

    async def test_a_flood_of_reset_streams_ends_the_connection(self):
        client = client_connection()
        self.repetitions_until_closed(
            client.data_to_send(), lambda number: self.open_and_reset_stream(client, 2 * number + 1)
        )

    def open_and_reset_stream(self, client, number):
        """The bytes that open a stream and reset it."""
        client.send_headers(number, HEADERS)
        client.reset_stream(number)
        return client.data_to_send()

    async def test_output_for_a_peer_with_a_closed_window_is_bounded(self):
        client = client_connection()
        client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 1})
        client.send_headers(1, HEADERS)
        connection, transport = self.start_connection()
        self.feed_until_closed(connection, client.data_to_send())
        (call,) = self.calls
        sent = 0
        while call.send(b"x" * 100_000):
            sent += 1
            self.assertLessEqual(call.backlog_size, MAX_BACKLOG)
        self.assertTrue(call.is_closed and sent <= MAX_BACKLOG // 100_000)
        self.assertLess(len(transport.written_data), 1000)

    async def test_output_to_a_closing_connection_is_dropped_without_error(self):
        client = client_connection()
        client.send_headers(1, HEADERS)
        connection, transport = self.start_connection()
        self.feed_until_closed(connection, client.data_to_send())
        (call,) = self.calls
        self.feed_until_closed(connection, GoAwayFrame(0).serialize())
        self.assertTrue(transport.closed and not call.is_closed)
        call.send(b"an order")
        call.finish(14, "moved")
        connection.ping()
        connection.send_initial_metadata(call)
        connection.connection_lost(None)
        self.assertEqual((connection.calls, call.is_closed), ({}, True))

    async def test_randomly_corrupted_input_raises_nothing(self):
        rng = random.Random(8)
        client = client_connection()
        client.send_headers(1, HEADERS)
        client.send_data(
            1,
            frame(discovery_pb2.DiscoveryRequest(type_url=ASSIGNMENT_TYPE_URL).SerializeToString()),
        )
        client_bytes = client.data_to_send()
        for _ in range(400):
            connection, _ = self.start_connection()
            data = bytearray(client_bytes)
            for _ in range(rng.randrange(1, 8)):
                start = rng.randrange(len(data))
                data[start : start + rng.randrange(3)] = rng.randbytes(rng.randrange(3))
            self.feed_until_closed(connection, bytes(data))
            connection.connection_lost(None)
            self.assertEqual(connection.calls, {})


class MassReconnectionTest(unittest.TestCase):
    # A proxy that does not read answers no ping, and would be cut after 2 s however fast the test.
    @mock.patch.object(Connection, "ping", lambda connection: None)
    def test_all_proxies_rejoin_while_a_zone_drains_some_do_not_read_and_one_floods(self):
        async def case(world):
            controller = await world.start_controller()
            received = []
            handler = controller.planner.handlers[interface.EndpointStats]
            controller.planner.handlers[interface.EndpointStats] = lambda event: (
                received.append(event),
                handler(event),
            )
            grpc_address = "127.1.0.1", world.port + 2
            initial_proxies = [SimulatedProxy(number, grpc_address) for number in range(36)]
            await asyncio.gather(*(proxy.connect() for proxy in initial_proxies))
            await until(lambda: all(proxy.observations for proxy in initial_proxies))
            for proxy in initial_proxies:  # all proxies reconnect
                proxy.connection.abort("herd")
            reconnected = [SimulatedProxy(number, grpc_address) for number in range(36)]
            world.phases.update(
                {plan.name: "draining" for plan in world.plans if plan.zone == "south"}
            )
            world.write_list()
            await asyncio.gather(*(proxy.connect() for proxy in reconnected))
            slow_readers, readers = (
                reconnected[::3],
                [proxy for number, proxy in enumerate(reconnected) if number % 3],
            )
            for proxy in slow_readers:
                proxy.connection.transport.pause_reading()
            drained = {plan.address for plan in world.plans if plan.zone == "south"}
            await until(
                lambda: all(
                    proxy.observations and not drained & proxy.addresses for proxy in readers
                )
            )
            self.assertTrue(all(proxy.addresses for proxy in readers))
            load_stream = readers[0].connection.call(LOAD_REPORTING_PATH, "peatlead")
            request = self.load_report(readers[0])
            load_stream.send(request)
            for _ in range(300):
                load_stream.send(request)
            await until(lambda: controller.overload.shed_counts["reports early"] > 250)
            await until(lambda: received)
            accepted_attempts = sum(event.attempts for event in received)
            self.assertLess(accepted_attempts, 20 * 7)
            # Only the newest state may be queued for a slow reader, however often the list changes.
            for change in range(20):
                world.phases["h0"] = "draining" if change % 2 else "ready"
                world.write_list()
                await asyncio.sleep(0.03)
            calls = [
                call
                for connection in controller.proxies.server.connections.streams
                for call in connection.calls.values()
            ]
            self.assertTrue(calls and all(call.backlog_size < 10_000 for call in calls))
            self.assertEqual(len(controller.proxies.server.sessions), 36)
            for proxy in slow_readers:
                proxy.connection.transport.resume_reading()
            world.phases["h0"] = "ready"
            world.write_list()
            await until(
                lambda: all(
                    proxy.addresses and not drained & proxy.addresses for proxy in reconnected
                )
            )
            for proxy in reconnected:
                proxy.connection.abort("over")

        run_with_standins(case, script=GRPC_SCRIPT)

    def load_report(self, proxy):
        """A load report of a proxy, with an unlisted endpoint, huge counts and a negative interval."""
        request = lrs_pb2.LoadStatsRequest()
        request.node.id = f"agent{proxy.number}"
        cluster = request.cluster_stats.add(cluster_name="look")
        cluster.load_report_interval.FromMilliseconds(1000)
        locality = cluster.upstream_locality_stats.add()
        for address, count in (
            (min(proxy.addresses), 7),
            ("203.0.113.9", 7),
            ("127.10.9.2", 2**62),
        ):
            endpoint = locality.upstream_endpoint_stats.add(total_successful_requests=count)
            endpoint.address.socket_address.address = address
            endpoint.address.socket_address.port_value = proxy.controller[1] - 2
        dropped = request.cluster_stats.add(cluster_name="file", total_dropped_requests=2**63)
        dropped.load_report_interval.FromNanoseconds(-5_000_000_000)
        return request.SerializeToString()

    def test_a_batch_longer_than_a_timer_round_causes_no_burst_of_rounds(self):
        async def case(world):
            controller, timer_batches = await world.start_controller(), []
            loop, decide_batch = asyncio.get_running_loop(), controller.planner.decide

            def decide(now, events):
                timer_events = sum(type(event) is interface.TimerFired for event in events)
                if timer_events:
                    timer_batches.append((loop.time(), timer_events))
                    if len(timer_batches) == 3:
                        end = loop.time() + 0.55
                        while loop.time() < end:
                            pass
                return decide_batch(now, events)

            controller.planner.decide = decide
            await until(lambda: len(timer_batches) >= 12)
            self.assertEqual({timer_events for _, timer_events in timer_batches}, {1})
            gaps = [
                after - before for (before, _), (after, _) in zip(timer_batches, timer_batches[1:])
            ]
            self.assertGreater(min(gaps), 0.09)  # seconds: no round follows another without a pause
            self.assertGreater(controller.overload.mean_lateness, 0.0)

        run_with_standins(case, script=GRPC_SCRIPT)
