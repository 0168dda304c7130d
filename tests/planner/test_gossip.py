"""Gossip between controllers about failing endpoints."""

import unittest

from peatlead import interface
from peatlead.planner.endpoint_state import Counts
from peatlead.planner.gossip import decode_payload, encode_payloads
from peatlead.planner.load_statistics import FailingEndpoint
from tests.helpers import make_endpoint, make_planner, of_type


class GossipTest(unittest.TestCase):
    def run_round(self, planner, now, errors=2):
        """Run a round in which endpoint 0 fails some of its few attempts, and no other fails."""
        planner.decide(
            now,
            [
                interface.EndpointStats(0, 0, 3, errors, 1.0, 0.1, {"util": 0.3}),
                *(
                    interface.EndpointStats(number, 0, 5, 0, 1.0, 0.1, {"util": 0.3})
                    for number in range(1, 8)
                ),
            ],
        )
        return planner.decide(now + 0.3, [interface.TimerFired(0)])

    def test_a_payload_never_exceeds_the_limit_of_the_wire_format(self):
        # A payload of more than 256 bytes cannot be encoded.
        planner = make_planner(endpoints=60, peer_notes=True)
        planner.decide(
            101.0,
            [
                interface.EndpointStats(number, 0, 900, 800, 1.0, 0.1, {"util": 0.3})
                for number in range(40)
            ],
        )
        commands = planner.decide(101.3, [interface.TimerFired(0)])
        payloads = [command.payload for command in of_type(commands, interface.SendGossip)]
        self.assertTrue(len(payloads) > 1 and all(len(payload) <= 250 for payload in payloads))
        self.assertEqual(sum(len(payload.split(b"\n")) for payload in payloads), 20)
        planner.now = 101.4
        planner.commands = []
        planner.gossip.send([FailingEndpoint(b"n" * 300, Counts(9.0, 5.0, 0.1))])
        self.assertEqual(planner.commands, [])

    def test_failing_endpoints_are_sent_by_name_with_own_counts_only(self):
        planner = make_planner(peer_notes=True)
        planner.decide(100.5, [interface.GossipReceived(1, b"host-0 30.0 30.0 0.0")])
        sent = of_type(self.run_round(planner, 101.0), interface.SendGossip)
        self.assertEqual(sent, [interface.SendGossip(None, b"host-0 2.0 1.3 0.07")])

    def test_nothing_is_sent_if_gossip_is_disabled_or_nothing_fails(self):
        self.assertFalse(of_type(self.run_round(make_planner(), 101.0), interface.SendGossip))
        self.assertFalse(
            of_type(self.run_round(make_planner(peer_notes=True), 101.0, 0), interface.SendGossip)
        )

    def test_counts_of_several_controllers_together_eject_an_endpoint(self):
        isolated = make_planner(peer_notes=True)
        informed = make_planner(peer_notes=True)
        informed.decide(
            100.9,
            [
                interface.GossipReceived(1, b"host-0 3.0 2.0 0.1"),
                interface.GossipReceived(2, b"host-0 3.0 2.0 0.1"),
            ],
        )
        for planner in (isolated, informed):
            self.run_round(planner, 101.0)
        self.assertTrue(isolated.endpoints[0].usable)
        self.assertFalse(informed.endpoints[0].usable)

    def test_malformed_payloads_are_ignored(self):
        planner = make_planner(peer_notes=True)
        for payload in (
            b"",
            b"host-0",
            b"host-0 x 1 1",
            b"host-0 1 9 0",
            b"host-0 nan nan nan",
            b"ghost 9 9 0",
            b"host-0 1 2 3 4 5",
            b"\xff\xfe 1 1 1",
        ):
            planner.decide(100.5, [interface.GossipReceived(1, payload)])
        self.assertFalse(any(endpoint.counts_by_peer for endpoint in planner.endpoints.values()))

    def test_counts_from_before_a_start_are_ignored(self):
        planner = make_planner(peer_notes=True)
        planner.decide(
            101.0,
            [
                interface.EndpointUpdate("changes", 2, (make_endpoint(0, started_at=100.9),)),
                interface.GossipReceived(1, b"host-0 9.0 9.0 0.0"),
            ],
        )
        self.assertFalse(planner.endpoints[0].counts_by_peer)

    def test_a_payload_is_decoded_as_it_was_encoded(self):
        failing = [
            FailingEndpoint(b"few", Counts(4.0, 1.0, 0.5)),
            FailingEndpoint(b"many", Counts(9.0, 8.0, 0.25)),
        ]
        [payload] = encode_payloads(failing)
        self.assertEqual([report.name for report in decode_payload(payload)], [b"many", b"few"])
        self.assertEqual(
            [report.counts for report in decode_payload(payload)][0], Counts(9.0, 8.0, 0.25)
        )
