import unittest

from peatlead import interface
from peatlead.controller.publisher import Publisher


class PublisherTest(unittest.TestCase):
    def test_a_restoration_goes_to_the_subscribers_that_were_sent_the_withdrawal(self):
        # To all of 1,000 proxies, for each host of a release, it was 200,000 lines waiting where 4,000 may.
        publisher = Publisher()
        for view in range(6):
            publisher.join(view, enforces_admission=view < 5)
        publisher.route([interface.AssignTable(view, view, (0,)) for view in range(4)])
        publisher.route([interface.SetEntry(1, 9, 1.0), interface.SetEntry(2, 9, 1.0)])
        withdrawals, _, _ = publisher.route([interface.WithdrawEndpoint(9, True)])
        self.assertEqual(
            sorted(withdrawals), [4, 5]
        )  # one on no table yet and a DNS view; holders lose the entry instead
        publisher.leave(4)
        publisher.join(4, enforces_admission=True)
        restorations, _, _ = publisher.route([interface.WithdrawEndpoint(9, False)])
        self.assertEqual(sorted(restorations), [4, 5])
        self.assertEqual(publisher.route([interface.WithdrawEndpoint(9, False)])[0], {})

    def test_a_nonce_goes_to_all_subscribers_or_to_those_written_to(self):
        publisher = Publisher()
        for view in (1, 2):
            publisher.join(view)
        publisher.route([interface.AssignTable(1, 0, (0,))])
        _, nonces, _ = publisher.route(
            [interface.SetEntry(0, 5, 1.0), interface.RequestAcknowledgement(7, False)]
        )
        self.assertEqual(nonces, {1: [7]})
        self.assertEqual(
            publisher.route([interface.RequestAcknowledgement(8, True)])[1], {1: [8], 2: [8]}
        )
