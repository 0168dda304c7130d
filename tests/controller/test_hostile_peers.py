"""Hostile peers on every TCP port of the DNS controller: what they make it hold, and who pays."""

import asyncio
import contextlib
import json
import unittest

import h2.config
import h2.connection

from peatlead.grpc.framing import PREFIX_SIZE
from peatlead.grpc.server import DISCOVERY_PATH
from peatlead.net.buffer_budget import buffer_budget

from ..standin_fleet import GRPC_SCRIPT, run_with_standins, until
from .connections import framed_query

BUDGET = 1 << 20  # bytes
KIBIBYTE = 1 << 10
HOSTILE_PEERS = 40
ANSWER_TIMEOUT = 3.0  # seconds


def incomplete_call():
    """Return the start of a gRPC call, up to the middle of a message."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    client.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", DISCOVERY_PATH),
        (":authority", "x"),
        ("content-type", "application/grpc"),
    ]
    client.send_headers(1, headers)
    client.send_data(1, b"\0" + (1 << 20).to_bytes(PREFIX_SIZE - 1, "big") + bytes(16000))
    client.send_data(1, bytes(16000))
    client.send_data(1, bytes(16000))
    return client.data_to_send()


def connection_start():
    """Return what a client sends first, which the server acknowledges."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    client.initiate_connection()
    return client.data_to_send()


def many_headers():
    """Return the start of a gRPC call whose header list does not end."""
    headers_frame = (16000).to_bytes(3, "big") + b"\x01\x00" + (1).to_bytes(4, "big")
    continuation = (16000).to_bytes(3, "big") + b"\x09\x00" + (1).to_bytes(4, "big")
    return connection_start() + headers_frame + bytes(16000) + 3 * (continuation + bytes(16000))


class HostilePeersTest(unittest.TestCase):
    def assert_budget_is_kept(self, port_offset, data, honest_request, server_speaks_first=False):
        """Send `data` on many connections that read nothing, beside an honest slow peer."""

        async def case(world):
            controller = await world.start_controller()
            await until(controller.answers.has_table)
            budget = buffer_budget(asyncio.get_running_loop())
            budget.limit = BUDGET
            address = "127.1.0.1", world.port + port_offset
            reader, honest = await asyncio.open_connection(*address)
            if server_speaks_first:
                await reader.read(KIBIBYTE)
            honest.write(honest_request[:1])
            most, writers = 0, []
            for _ in range(HOSTILE_PEERS):
                _, writer = await asyncio.open_connection(*address, limit=KIBIBYTE)
                writers.append(writer)
                writer.write(data)
                await asyncio.sleep(0)
                most = max(most, budget.total)
            for _ in range(50):
                await asyncio.sleep(0.01)
                most = max(most, budget.total)
            honest.write(honest_request[1:])
            answer = await asyncio.wait_for(reader.read(1), ANSWER_TIMEOUT)
            for writer in [honest, *writers]:
                writer.transport.abort()
            return most, budget.aborted_count, answer

        most, aborted, answer = run_with_standins(case, script=GRPC_SCRIPT)
        self.assertLessEqual(most, BUDGET)
        self.assertGreater(aborted, 0)
        self.assertTrue(answer)

    def test_dns_queries_that_stop_half_way(self):
        data = (0xFFFF).to_bytes(2, "big") + bytes(60 * KIBIBYTE)
        self.assert_budget_is_kept(0, data, framed_query())

    def test_operators_questions_that_stop_half_way(self):
        question = json.dumps({"ask": "status"}).encode() + b"\n"
        self.assert_budget_is_kept(1, b'{"ask": "' + b"x" * (50 * KIBIBYTE), question)

    def test_grpc_messages_that_stop_half_way(self):
        self.assert_budget_is_kept(2, incomplete_call(), connection_start(), True)

    def test_grpc_header_lists_that_do_not_end(self):
        self.assert_budget_is_kept(2, many_headers(), connection_start(), True)

    def test_a_grpc_connection_that_opens_calls_at_full_speed_is_ended(self):
        # Each call of a connection leaves a record, also after its end.
        async def case(world):
            await world.start_controller()
            reader, writer = await asyncio.open_connection("127.1.0.1", world.port + 2)
            client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
            client.initiate_connection()
            opened = 0
            with contextlib.suppress(OSError):
                for number in range(1000):
                    client.send_headers(
                        2 * number + 1,
                        [
                            (":method", "GET"),
                            (":scheme", "http"),
                            (":path", f"/{number}"),
                            (":authority", "x"),
                        ],
                        end_stream=True,
                    )
                    writer.write(client.data_to_send())
                    await writer.drain()
                    opened += 1
                    client.receive_data(await reader.read(KIBIBYTE))
                    if client.state_machine.state is h2.connection.ConnectionState.CLOSED:
                        break
            writer.transport.abort()
            return opened

        self.assertLessEqual(run_with_standins(case, script=GRPC_SCRIPT), 250)


if __name__ == "__main__":
    unittest.main()
