"""Rendezvous hashing of pools."""

import unittest
from collections import Counter

from hypothesis import given, strategies

from peatlead.planner.rendezvous import RendezvousPool, endpoint_hash, proxy_key, rank


class NamedEndpoint:
    def __init__(self, name):
        self.name = name
        self.name_hash = endpoint_hash(name)


def named_endpoints(count):
    return [NamedEndpoint(b"host-%d" % number) for number in range(count)]


class RendezvousPoolTest(unittest.TestCase):
    @given(
        strategies.integers(0, 400),
        strategies.integers(0, 2**64 - 1),
        strategies.integers(1, 60),
        strategies.randoms(),
    )
    def test_top_equals_ranking_each_endpoint_separately(self, size, number, count, rng):
        endpoints = named_endpoints(size)
        key = proxy_key(number)
        expected = sorted(
            endpoints, key=lambda endpoint: (rank(key, endpoint.name_hash), endpoint.name)
        )[:count]
        rng.shuffle(endpoints)  # the order of lists differs between controllers
        self.assertEqual(RendezvousPool(endpoints).top(key, count), expected)

    def test_endpoints_with_equal_hashes_rank_by_name(self):
        endpoints = named_endpoints(3)
        for endpoint in endpoints:
            endpoint.name_hash = 12345
        self.assertEqual(RendezvousPool(endpoints[::-1]).top(proxy_key(7), 2), endpoints[:2])

    def test_endpoints_and_pairs_of_them_are_evenly_spread(self):
        # Otherwise some endpoints would share many shards, and a proxy's harmful requests would
        # break them together.
        pool = RendezvousPool(named_endpoints(40))
        uses, pairs = Counter(), Counter()
        for number in range(4000):
            names = sorted(endpoint.name for endpoint in pool.top(proxy_key(number), 4))
            uses.update(names)
            pairs.update(
                (name, other) for index, name in enumerate(names) for other in names[:index]
            )
        self.assertTrue(
            all(300 < uses[endpoint.name] < 500 for endpoint in pool), uses.most_common()[::39]
        )
        mean = 4000 * 6 / 780
        spread = sum((pairs[key] - mean) ** 2 for key in pairs) / 780 / mean
        self.assertTrue(0.7 < spread < 1.3, spread)

    def test_removing_an_endpoint_changes_only_the_shards_that_had_it(self):
        endpoints = named_endpoints(200)
        before, after = RendezvousPool(endpoints), RendezvousPool(endpoints[1:])
        for number in range(300):
            old, new = before.top(proxy_key(number), 5), after.top(proxy_key(number), 5)
            if endpoints[0] in old:
                old.remove(endpoints[0])
                self.assertEqual(new[:4], old)
            else:
                self.assertEqual(new, old)
