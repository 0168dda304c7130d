"""Gossip between two controllers over their UDP sockets."""

import random
import unittest

from peatlead.fleet.authentication import MAX_SENDERS, Authenticator, UnprovenSenderError
from peatlead.fleet.gossip import MAX_ADVICE_RATE, MAX_ADVICE_SIZE, GossipNode
from peatlead.scenario.runner import free_port

from ..standin_fleet import SCRIPT, run, settings, until

KEY = b"k" * 32


class AdviceTest(unittest.TestCase):
    """Advice that one planner sends to another."""

    def test_advice_arrives_authenticated_and_a_flood_is_limited(self):
        async def case():
            port, received, nodes = free_port(), [], []
            script = SCRIPT
            for index in (1, 2):
                address = f'"127.1.0.{index}:'
                script = script.replace(
                    f"control = {address}", f'peer = {address}{{grpc}}", control = {address}'
                )
            fleet_settings = settings(
                port, script=script, extra_script=f"fleet(keys = [{KEY.hex()!r}])"
            )
            controllers = fleet_settings["steward"]
            for index, own_settings in enumerate(controllers):
                nodes.append(
                    GossipNode(
                        fleet_settings,
                        own_settings,
                        random.Random(index),
                        bytes([index]) * 8,
                        lambda: 0,
                        lambda *_, **__: None,
                        lambda sender, payload: received.append((sender, payload)),
                    )
                )
                await nodes[-1].open()
            try:
                await until(lambda: all(len(node.membership.live_members()) == 2 for node in nodes))
                nodes[0].broadcast_advice(b"host-0 3.0 2.0 0.1")
                await until(lambda: received)
                self.assertEqual(received[0], (0, b"host-0 3.0 2.0 0.1"))
                for _ in range(MAX_ADVICE_RATE * 3):
                    nodes[1]._on_advice("ns1", b"x")
                self.assertGreaterEqual(nodes[1].counts["notes dropped"], MAX_ADVICE_RATE)
                nodes[0].broadcast_advice(b"x" * (MAX_ADVICE_SIZE + 1))
                nodes[1]._on_advice("stranger", b"x")
                self.assertLessEqual(len(received), 2 * MAX_ADVICE_RATE + 1)
            finally:
                for node in nodes:
                    node.leave()

        run(case())


class HostileDatagramsTest(unittest.TestCase):
    def test_datagrams_that_nobody_signed_leave_no_state_and_few_log_lines(self):
        # Guards against one sender that fills the log or the memory under ever new names.
        async def case():
            lines, script = [], SCRIPT
            for index in (1, 2):
                control = f'control = "127.1.0.{index}:'
                script = script.replace(control, f'peer = "127.1.0.{index}:{{grpc}}", {control}')
            fleet_settings = settings(
                free_port(), script=script, extra_script=f"fleet(keys = [{KEY.hex()!r}])"
            )
            node = GossipNode(
                fleet_settings,
                fleet_settings["steward"][0],
                random.Random(1),
                b"1" * 8,
                lambda: 0,
                lambda event, **fields: lines.append((event, fields)),
                lambda sender, payload: None,
            )
            rng = random.Random(2)
            for number in range(20_000):
                node.datagram_received(bytes([number % 256]) + rng.randbytes(60), ("127.1.9.9", 9))
            authenticator = node.authenticator
            states = (authenticator.senders, authenticator.issued_challenges)
            return node.counts["refused"], len(lines), [len(state) for state in states]

        self.assertEqual(run(case()), (20_000, 10, [0, 0]))

    def test_a_member_of_ever_new_names_is_bounded(self):
        receiver = Authenticator([KEY], "a", b"1" * 8)
        for number in range(5 * MAX_SENDERS):
            sender = Authenticator([KEY], f"n{number}", number.to_bytes(8, "big"))
            with self.assertRaises(UnprovenSenderError):
                receiver.open(sender.seal(b"hello", "a"))
        self.assertLessEqual(len(receiver.issued_challenges), MAX_SENDERS)
        self.assertEqual(receiver.senders, {})
