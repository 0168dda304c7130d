"""Connections of peers: joining, limits, and peers that send invalid data or do not read."""

import json
import socket
import struct
import unittest
from unittest import mock

from peatlead import interface
from peatlead.platform import messages, sessions

from ..platforms import (
    CONTROLLER_HOST,
    OUTCOMES,
    run_with_platform,
)
from ..standin_fleet import until


class Joining(unittest.TestCase):
    def test_a_new_stream_of_a_proxy_replaces_the_old_one(self):
        async def case(platform):
            old_proxy = await platform.connect_proxy()
            await until(lambda: old_proxy.messages)
            new_proxy = await platform.connect_proxy()
            await until(lambda: new_proxy.messages and old_proxy.end_reason)
            self.assertEqual(
                (
                    len(platform.controller.proxy_sessions),
                    len(platform.controller.planner.connected),
                ),
                (1, 1),
            )
            new_proxy.abort("gone")
            await until(lambda: not platform.controller.planner.connected)

        run_with_platform(case)

    def test_a_liveness_check_waits_for_the_first_list(self):
        async def case(platform):
            peer = await platform.connect()
            peer.send_message(msg="probe")
            await until(lambda: peer.messages)
            self.assertEqual(
                (peer.messages, len(platform.controller.planner.endpoints)), ([{"msg": "alive"}], 4)
            )

        run_with_platform(case)

    def test_a_silent_collector_is_cut_when_another_of_its_zone_joins(self):
        async def case(platform):
            silent_collector, other_collector, live_collector = [
                await platform.connect_collector(zone) for zone in ("z0", "z1", "z0")
            ]
            await until(
                lambda: sum(session.joined for session in platform.controller.listener.sessions)
                == 3
            )
            for session in list(platform.controller.listener.sessions)[:2]:
                session.last_activity -= 60.0
            new_collector = await platform.connect_collector()
            await until(lambda: silent_collector.end_reason)
            self.assertEqual(
                (other_collector.end_reason, live_collector.end_reason, new_collector.end_reason),
                (None, None, None),
            )

        run_with_platform(case)


class MisbehavingPeers(unittest.TestCase):
    def test_misbehaving_peers_are_refused_or_cut_and_a_proxy_is_served(self):
        first_messages = [
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
            b"\x16\x03\x01" * 30 + b"\n",
            b'{"msg":"hello","node":99,"locality":"z0"}\n',
            b'{"msg":"hello","node":0,"locality":"nowhere"}\n',
            b'{"msg":"agent","locality":"nowhere"}\n',
            json.dumps(OUTCOMES).encode() + b"\n",
            b'{"msg":"push","full":true}\n',
            b"x" * 5000,
            b'{"msg":"hel',
            b"",
        ]

        async def case(platform):
            peers = [await platform.connect() for _ in first_messages]
            for peer, data in zip(peers, first_messages):
                peer.send(data)
            proxy = await platform.connect_proxy()
            await until(lambda: proxy.messages)
            await until(lambda: all(peer.end_reason for peer in peers))
            self.assertEqual(
                list(platform.controller.listener.sessions), [platform.controller.proxy_sessions[0]]
            )

        run_with_platform(case)

    def test_many_silent_connections_do_not_end_the_stream_of_a_proxy(self):
        async def case(platform):
            proxy = await platform.connect_proxy()
            await until(lambda: proxy.messages)
            listener = platform.controller.listener
            for _ in range(listener.max_connections + 28):
                await platform.connect()
            new_proxy = await platform.connect_proxy(1)
            await until(lambda: new_proxy.messages)
            self.assertLessEqual(len(listener.sessions), listener.max_connections + 1)
            self.assertIsNone(proxy.end_reason)
            self.assertGreater(listener.counts["evicted"], 0)

        run_with_platform(case, sockets=96)

    def test_a_long_message_may_arrive_in_single_bytes(self):
        async def case(platform):
            events, submit_event = [], platform.controller.submit
            platform.controller.submit = lambda event: (events.append(event), submit_event(event))
            collector = await platform.connect_collector()
            report = json.dumps(
                {
                    "msg": "outcomes",
                    "locality": "z0",
                    "endpoint": "s-1",
                    "total": 4,
                    "errors": 0,
                    "interval": 1000,
                }
            ).encode()
            collector.send(report[:-1] + b" " * 300_000)
            await until(
                lambda: any(
                    len(session.partial_line) > 300_000
                    for session in platform.controller.listener.sessions
                )
            )
            for byte in b"}\n":
                collector.send(bytes((byte,)))
            await until(lambda: any(type(event) is interface.EndpointStats for event in events))
            collector.send(b" " * (messages.MAX_LINE_BYTES + 2))
            await until(lambda: collector.end_reason)

        run_with_platform(case)

    def test_a_reset_after_accept_or_within_a_line_leaves_no_session(self):
        async def case(platform):
            for data in [b""] * 20 + [
                b'{"msg":"hel',
                b'{"msg":"hello","node":1,"locality":"z0"}\n{"msg":',
            ] * 5:
                connection = socket.create_connection((CONTROLLER_HOST, platform.port))
                connection.sendall(data)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.close()  # sends a reset
            proxy = await platform.connect_proxy_with_table()
            await until(
                lambda: list(platform.controller.listener.sessions)
                == [platform.controller.proxy_sessions[0]]
            )
            self.assertEqual(
                (list(platform.controller.planner.connected), proxy.end_reason), ([0], None)
            )

        run_with_platform(case)

    def test_a_refused_peer_that_does_not_read_is_cut(self):
        async def case(platform):
            await platform.connect_proxy_with_table()
            session = platform.controller.proxy_sessions[0]
            with mock.patch.object(session, "close"):  # as if unread bytes kept the connection open
                session.line_received(b"no sense")
                await until(lambda: not platform.controller.planner.connected)

        with mock.patch.object(sessions, "REFUSAL_TIMEOUT", 0.05):
            run_with_platform(case)
