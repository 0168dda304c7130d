"""The index of subscribers."""

import unittest
from collections import Counter

from hypothesis import given, strategies

from peatlead.planner.subscriber_index import SubscriberIndex

STEPS = strategies.lists(
    strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 5), strategies.booleans())
)


class SubscriberIndexTest(unittest.TestCase):
    @given(STEPS)
    def test_subscribers_are_the_proxies_whose_tables_name_the_endpoint(self, steps):
        index, counts = SubscriberIndex(), Counter()
        for endpoint, proxy, adds in steps:
            if adds:
                index.add(endpoint, proxy)
                counts[endpoint, proxy] += 1
            elif counts[endpoint, proxy]:
                index.remove(endpoint, proxy)
                counts[endpoint, proxy] -= 1
        for endpoint in range(6):
            self.assertEqual(
                set(index.subscribers(endpoint)),
                {
                    subscriber
                    for (other, subscriber), count in counts.items()
                    if other == endpoint and count
                },
            )
        self.assertEqual(
            set(index.subscribers_of_any(range(6))),
            {subscriber for (_, subscriber), count in counts.items() if count},
        )
