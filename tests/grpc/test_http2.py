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
from peatlead.grpc.resources import ENDPOINTS
from peatlead.grpc.server import DISCOVERY
from peatlead.net.streams import Stream

from ..standin_fleet import run_with_standins, until
from .simulated_fleet import run_fleet


class Http2Test(unittest.TestCase):
    async def server(self, world, serve):
        loop, made = asyncio.get_running_loop(), []

        def connect():
            made.append(Connection(False, serve, ping_every=0.0))
            return made[-1]

        server = await loop.create_server(connect, "127.1.0.1", 0)
        world.cleanups.append(server.close)
        return server.sockets[0].getsockname(), made

    def test_a_slow_reader_is_bounded_and_gets_all_once_it_reads(self):
        async def case(world):
            calls, big = [], bytes(100_000)
            address, _ = await self.server(world, calls.append)
            client = await dial(address, ping_every=0.0)
            got, real = [], client.talk.acknowledge_received_data
            held = []
            client.talk.acknowledge_received_data = lambda size, number: held.append((size, number))
            call = client.call("/x", "y")
            call.message = got.append
            await until(lambda: calls)
            sent = 0
            while calls[0].send(big) and sent < 200:
                sent += 1
            self.assertLess(sent, 100)  # bounded: the call was reset, not the memory filled
            self.assertTrue(calls[0].over)
            call = client.call("/x", "y")
            call.message = got.append
            await until(lambda: len(calls) == 2)
            for _ in range(5):
                calls[1].send(big)
            await asyncio.sleep(0.1)
            self.assertFalse(calls[1].idle)
            client.talk.acknowledge_received_data = real
            for size, number in held:
                try:
                    real(size, number)
                except Exception:  # of the call that was reset
                    client.talk._inbound_flow_control_window_manager.process_bytes(size)
            client.flush()
            await until(lambda: got.count(big) >= 5)
            client.close()

        run_with_standins(case)

    def test_a_call_ends_at_its_deadline(self):
        async def case(world):
            address, _ = await self.server(world, lambda call: None)
            client, over = (
                await dial(address, ping_every=0.0),
                asyncio.get_running_loop().create_future(),
            )
            client.call("/x", "y", [("grpc-timeout", "50m")]).ended = lambda *told: over.set_result(
                told
            )
            return await asyncio.wait_for(over, 5)

        self.assertEqual(run_with_standins(case), (4, "its deadline has passed"))

    def test_half_open_connections_are_found_by_pings(self):
        async def case(world):
            loop = asyncio.get_running_loop()
            silent = await loop.create_server(Stream, "127.1.0.1", 0)
            world.cleanups.append(silent.close)
            client = await dial(silent.sockets[0].getsockname(), ping_every=0.1, ping_wait=0.1)
            over = loop.create_future()
            client.ended_all = over.set_result
            return await over

        self.assertEqual(run_with_standins(case), "no answer to pings")

    def test_floods_and_invalid_frames_end_the_connection(self):
        async def case(world):
            address, made = await self.server(world, lambda call: None)
            ended = []
            for kind in ("pings", "settings", "resets", "junk"):
                client = await dial(address, ping_every=0.0)
                over = asyncio.get_running_loop().create_future()
                client.ended_all = lambda reason, over=over: over.done() or over.set_result(reason)
                for at in range(400):  # it stops once its own side knows that it was sent away
                    if client.transport is None or client.transport.is_closing() or over.done():
                        break
                    try:
                        if kind == "pings":
                            client.talk.ping(b"12345678")
                        elif kind == "settings":
                            size = {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 70_000 + at}
                            client.talk.update_settings(size)
                        elif kind == "resets":
                            client.call("/x", "y").reset("no")
                        else:
                            client.send(b"\0\0\5\xff\xff\xff\xff\xff\xffjunk!")
                    except h2.exceptions.ProtocolError:
                        break
                    client.flush()
                    await asyncio.sleep(0)
                await asyncio.wait_for(over, 5)
                ended.append(kind)
            await until(lambda: all(one.transport is None for one in made))
            return ended, [len(one.calls) for one in made]

        self.assertEqual(
            run_with_standins(case), (["pings", "settings", "resets", "junk"], [0] * 4)
        )

    def test_mutated_frames_raise_nothing(self):
        async def case(world):
            chance = random.Random(5)
            client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
            client.initiate_connection()
            client.send_headers(
                1,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":path", DISCOVERY),
                    (":authority", "x"),
                    ("content-type", "application/grpc"),
                ],
            )
            client.send_data(
                1, frame(discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS).SerializeToString())
            )
            whole = client.data_to_send()
            await world.start_controller()
            loop = asyncio.get_running_loop()
            for _ in range(300):
                data = bytearray(whole)
                for _ in range(chance.randrange(1, 6)):
                    data[chance.randrange(24, len(data))] = chance.randrange(256)
                _, stream = await loop.create_connection(Stream, "127.1.0.1", world.port + 2)
                stream.send(bytes(data))
                await asyncio.sleep(0)
                stream.close()
            await asyncio.sleep(0.1)

        run_fleet(case)
