"""Simulated stream connections under faults of processes and links."""

import asyncio
import random
import unittest

from peatlead.lab.simulation import Simulation, play
from peatlead.net.streams import Stream


class EchoStream(Stream):
    def received(self, data):
        self.send(data)


class RecordingStream(Stream):
    def __init__(self):
        super().__init__()
        self.data, self.end_reason = b"", None

    def received(self, data):
        self.data += data

    def ended(self, reason):
        self.end_reason = reason


class SimulatedStreamTest(unittest.TestCase):
    def run_case(self, case, end_time=60.0, server_factory=EchoStream):
        simulation = Simulation(1)
        client_loop, server_loop = (
            simulation.add_process("client"),
            simulation.add_process("server"),
        )

        async def main():
            await server_loop.create_server(server_factory, "b", 7)
            _, client = await client_loop.create_connection(
                RecordingStream, "b", 7, local_addr=("a", 0)
            )
            return await case(simulation, server_loop, client)

        return play(simulation, client_loop, main(), end_time)

    def test_all_bytes_arrive_in_order(self):
        async def case(simulation, server_loop, client):
            data = random.Random(2).randbytes(300_000)
            for start in range(0, len(data), 999):
                client.send(data[start : start + 999])
            await asyncio.sleep(1)
            return client.data == data

        self.assertTrue(self.run_case(case))

    def test_a_frozen_process_answers_after_it_resumes(self):
        async def case(simulation, server_loop, client):
            server_loop.freeze(5.0)
            client.send(b"x")
            await asyncio.sleep(4.9)
            data_while_frozen = client.data
            await asyncio.sleep(0.2)
            return data_while_frozen, client.data

        self.assertEqual(self.run_case(case), (b"", b"x"))

    def test_a_killed_process_resets_its_connections_and_refuses_new_ones(self):
        async def case(simulation, server_loop, client):
            server_loop.kill()
            await asyncio.sleep(0.1)
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.get_running_loop().create_connection(RecordingStream, "b", 7)
            return client.end_reason

        self.assertEqual(self.run_case(case), "ConnectionResetError")

    def test_a_cut_link_delays_bytes_until_it_is_restored_or_times_out(self):
        async def case(simulation, server_loop, client):
            simulation.links.cut = {("a", "b")}
            client.send(b"x")
            await asyncio.sleep(5)
            data_while_cut, simulation.links.cut = client.data, set()
            await asyncio.sleep(1)
            data_after_cut, simulation.links.cut = client.data, {("a", "b")}
            client.send(b"y")
            await asyncio.sleep(40)
            return data_while_cut, data_after_cut, client.end_reason

        self.assertEqual(self.run_case(case), (b"", b"x", "TimeoutError"))

    def test_buffers_for_a_frozen_reader_are_bounded(self):
        async def case(simulation, server_loop, client):
            server_loop.freeze(1e6)
            for _ in range(300):
                client.send(bytes(65_536))
            await asyncio.sleep(1)
            return client.end_reason or client.close_reason

        self.assertEqual(self.run_case(case), "slow reader")
