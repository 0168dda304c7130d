"""The subscribers that withdrawals, restorations and nonces are sent to."""

import unittest

from peatlead import interface
from peatlead.controller.publisher import Publisher


class PublisherTest(unittest.TestCase):
    def test_a_restoration_is_sent_to_the_subscribers_that_were_sent_the_withdrawal(self):
        # A restoration to all proxies would overfill the channel during a release.
        publisher = Publisher()
        for subscriber in range(6):
            publisher.join(subscriber, enforces_admission=subscriber < 5)
        publisher.route(
            [interface.AssignTable(subscriber, subscriber, (0,)) for subscriber in range(4)]
        )
        publisher.route([interface.SetEntry(1, 9, 1.0), interface.SetEntry(2, 9, 1.0)])
        withdrawals, _, _ = publisher.route([interface.WithdrawEndpoint(9, True)])
        # Proxy 4 has no table and 5 is a DNS view; the other proxies lose the table entry instead.
        self.assertEqual(sorted(withdrawals), [4, 5])
        publisher.leave(4)
        publisher.join(4, enforces_admission=True)
        restorations, _, _ = publisher.route([interface.WithdrawEndpoint(9, False)])
        self.assertEqual(sorted(restorations), [4, 5])
        self.assertEqual(publisher.route([interface.WithdrawEndpoint(9, False)])[0], {})

    def test_a_nonce_is_sent_to_all_subscribers_or_to_those_with_a_message(self):
        publisher = Publisher()
        for subscriber in (1, 2):
            publisher.join(subscriber)
        publisher.route([interface.AssignTable(1, 0, (0,))])
        _, nonces, _ = publisher.route(
            [interface.SetEntry(0, 5, 1.0), interface.RequestAcknowledgement(7, False)]
        )
        self.assertEqual(nonces, {1: [7]})
        self.assertEqual(
            publisher.route([interface.RequestAcknowledgement(8, True)])[1], {1: [8], 2: [8]}
        )
