"""Calls over HTTP/2: flow control, deadlines, pings, floods and invalid frames."""

import asyncio
import random
import unittest

import h2.config
import h2.connection
import h2.exceptions
import h2.settings
from envoy.service.discovery.v3 import discovery_pb2

from peatlead.grpc.framing import frame
from peatlead.grpc.http2 import Connection, dial
from peatlead.grpc.resources import ASSIGNMENT_TYPE_URL
from peatlead.grpc.server import DISCOVERY_PATH
from peatlead.net.streams import Stream

from ..standin_fleet import run_with_standins, until
from .simulated_fleet import run_fleet


class Http2Test(unittest.TestCase):
    async def start_server(self, world, serve):
        loop, connections = asyncio.get_running_loop(), []

        def connect():
            connections.append(Connection(False, serve, ping_interval=0.0))
            return connections[-1]

        server = await loop.create_server(connect, "127.1.0.1", 0)
        world.cleanups.append(server.close)
        return server.sockets[0].getsockname(), connections

    def test_the_backlog_of_a_slow_reader_is_bounded_and_sent_once_it_reads(self):
        async def case(world):
            calls, message = [], bytes(100_000)
            address, _ = await self.start_server(world, calls.append)
            client = await dial(address, ping_interval=0.0)
            received, original_acknowledge = [], client.h2_connection.acknowledge_received_data
            held_acknowledgements = []
            client.h2_connection.acknowledge_received_data = (
                lambda size, stream_id: held_acknowledgements.append((size, stream_id))
            )
            call = client.call("/x", "y")
            call.on_message = received.append
            await until(lambda: calls)
            sent = 0
            while calls[0].send(message) and sent < 200:
                sent += 1
            self.assertLess(sent, 100)  # the call is reset before the backlog grows further
            self.assertTrue(calls[0].is_closed)
            call = client.call("/x", "y")
            call.on_message = received.append
            await until(lambda: len(calls) == 2)
            for _ in range(5):
                calls[1].send(message)
            await asyncio.sleep(0.1)
            self.assertFalse(calls[1].idle)
            client.h2_connection.acknowledge_received_data = original_acknowledge
            for size, stream_id in held_acknowledgements:
                try:
                    original_acknowledge(size, stream_id)
                except Exception:  # raised for the first call, whose stream was reset
                    client.h2_connection._inbound_flow_control_window_manager.process_bytes(size)
            client.flush()
            await until(lambda: received.count(message) >= 5)
            client.close()

        run_with_standins(case)

    def test_a_call_ends_at_its_deadline(self):
        async def case(world):
            address, _ = await self.start_server(world, lambda call: None)
            client, connection_ended = (
                await dial(address, ping_interval=0.0),
                asyncio.get_running_loop().create_future(),
            )
            client.call("/x", "y", [("grpc-timeout", "50m")]).on_end = (
                lambda *arguments: connection_ended.set_result(arguments)
            )
            return await asyncio.wait_for(connection_ended, 5)

        self.assertEqual(run_with_standins(case), (4, "the call's deadline has passed"))

    def test_half_open_connections_are_found_by_pings(self):
        async def case(world):
            loop = asyncio.get_running_loop()
            silent = await loop.create_server(Stream, "127.1.0.1", 0)
            world.cleanups.append(silent.close)
            client = await dial(
                silent.sockets[0].getsockname(), ping_interval=0.1, ping_timeout=0.1
            )
            connection_ended = loop.create_future()
            client.on_end = connection_ended.set_result
            return await connection_ended

        self.assertEqual(run_with_standins(case), "peer did not answer a ping")

    def test_floods_and_invalid_frames_end_the_connection(self):
        async def case(world):
            address, connections = await self.start_server(world, lambda call: None)
            ended_faults = []
            for fault in ("pings", "settings", "resets", "junk"):
                client = await dial(address, ping_interval=0.0)
                connection_ended = asyncio.get_running_loop().create_future()
                client.on_end = (
                    lambda reason, connection_ended=connection_ended: connection_ended.done()
                    or connection_ended.set_result(reason)
                )
                for attempt in range(400):  # fewer if the server closes the connection earlier
                    if (
                        client.transport is None
                        or client.transport.is_closing()
                        or connection_ended.done()
                    ):
                        break
                    try:
                        if fault == "pings":
                            client.h2_connection.ping(b"12345678")
                        elif fault == "settings":
                            new_settings = {
                                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 70_000 + attempt
                            }
                            client.h2_connection.update_settings(new_settings)
                        elif fault == "resets":
                            client.call("/x", "y").reset("no")
                        else:
                            client.send(b"\0\0\5\xff\xff\xff\xff\xff\xffjunk!")
                    except h2.exceptions.ProtocolError:
                        break
                    client.flush()
                    await asyncio.sleep(0)
                await asyncio.wait_for(connection_ended, 5)
                ended_faults.append(fault)
            await until(lambda: all(connection.transport is None for connection in connections))
            return ended_faults, [len(connection.calls) for connection in connections]

        self.assertEqual(
            run_with_standins(case), (["pings", "settings", "resets", "junk"], [0] * 4)
        )

    def test_mutated_frames_raise_no_exception(self):
        async def case(world):
            rng = random.Random(5)
            client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
            client.initiate_connection()
            client.send_headers(
                1,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":path", DISCOVERY_PATH),
                    (":authority", "x"),
                    ("content-type", "application/grpc"),
                ],
            )
            client.send_data(
                1,
                frame(
                    discovery_pb2.DiscoveryRequest(type_url=ASSIGNMENT_TYPE_URL).SerializeToString()
                ),
            )
            client_data = client.data_to_send()
            await world.start_controller()
            loop = asyncio.get_running_loop()
            for _ in range(300):
                data = bytearray(client_data)
                for _ in range(rng.randrange(1, 6)):
                    data[rng.randrange(24, len(data))] = rng.randrange(256)
                _, stream = await loop.create_connection(Stream, "127.1.0.1", world.port + 2)
                stream.send(bytes(data))
                await asyncio.sleep(0)
                stream.close()
            await asyncio.sleep(0.1)

        run_fleet(case)
