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

    def test_the_lower_of_the_fractions_of_class_and_table_is_in_force(self):
        # Cold endpoints would otherwise get all requests of their table.
        publisher = Publisher()
        publisher.join(0, enforces_admission=True)
        publisher.join(1, enforces_admission=True)
        publisher.route([interface.SetAdmission(None, (0, 1), 0.9, "unstarted")])
        publisher.route([interface.AssignTable(0, 5, (0,)), interface.AssignTable(1, 6, (0, 1))])
        table_admission = interface.SetAdmission(5, (0,), 0.1, "never")
        messages, _, local_commands = publisher.route([table_admission])
        self.assertEqual(messages, {0: {("level", 0): (0.1, "never")}})
        self.assertEqual(local_commands, [])  # endpoints enforce only those of all tables
        class_admission = interface.SetAdmission(None, (0,), 0.05, "unstarted")
        messages, _, local_commands = publisher.route([class_admission])
        self.assertEqual(messages[0], {("level", 0): (0.05, "never")})
        self.assertEqual(messages[1], {("level", 0): (0.05, "unstarted")})
        self.assertEqual(local_commands, [class_admission])

    def test_a_table_that_is_assigned_brings_its_own_fraction(self):
        publisher = Publisher()
        publisher.join(0, enforces_admission=True)
        publisher.route([interface.SetAdmission(None, (0,), 1.0, "unstarted")])
        messages, _, _ = publisher.route(
            [
                interface.SetEntry(5, 9, 0.06),
                interface.SetAdmission(5, (0,), 0.1, "unstarted"),
                interface.AssignTable(0, 5, (0,)),
            ]
        )
        self.assertEqual(messages[0]["level", 0], (0.1, "unstarted"))
        self.assertEqual(publisher.admission(0, 0), (0.1, "unstarted"))
