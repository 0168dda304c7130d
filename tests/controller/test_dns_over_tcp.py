"""DNS over TCP against a running controller."""

import asyncio
import unittest

import dns.message
import dns.rcode

from ..standin_fleet import run_with_standins, until
from .connections import connect_tcp, framed_query


class DnsOverTcpTest(unittest.TestCase):
    def test_pipelined_queries_in_small_segments_are_answered_in_order(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: world.answered_endpoints(controller))
            stream = await connect_tcp(world)
            names = ["desk0.api.example.org", "example.com", "desk1.api.example.org"]
            data = b"".join(map(framed_query, names))
            for start in range(0, len(data), 7):
                stream.send(data[start : start + 7])
                await asyncio.sleep(0)
            answers, start = [], 0
            await until(lambda: len(stream.received_bytes) > 130)
            while start < len(stream.received_bytes):
                size = int.from_bytes(stream.received_bytes[start : start + 2], "big")
                answers.append(
                    dns.message.from_wire(stream.received_bytes[start + 2 : start + 2 + size])
                )
                start += 2 + size
            stream.close()
            return [(answer.question[0].name.to_text(), answer.rcode()) for answer in answers]

        self.assertEqual(
            run_with_standins(case),
            [
                ("desk0.api.example.org.", 0),
                ("example.com.", dns.rcode.REFUSED),
                ("desk1.api.example.org.", 0),
            ],
        )

    def test_idle_and_malformed_connections_are_cut_and_the_longest_idle_is_evicted(self):
        async def case(world):
            world.settings["dns"]["tcp_idle"], world.settings["dns"]["tcp_most"] = 0.3, 3
            controller = await world.start_controller()
            await until(lambda: world.answered_endpoints(controller))
            streams = [await connect_tcp(world) for _ in range(4)]
            await until(lambda: controller.dns_server.connections.evicted_count == 1)
            await until(lambda: streams[0].end_reason.done())
            streams[1].send(b"\x00\x05abcde")
            await until(lambda: streams[1].end_reason.done())
            await until(lambda: streams[2].end_reason.done() and streams[3].end_reason.done())
            return len(controller.dns_server.connections.streams)

        self.assertEqual(run_with_standins(case), 0)
