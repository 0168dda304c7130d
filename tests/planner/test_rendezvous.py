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
    def test_top_equals_ranking_each_endpoint_alone(self, size, number, count, rng):
        endpoints = named_endpoints(size)
        key = proxy_key(number)
        expected = sorted(endpoints, key=lambda each: (rank(key, each.name_hash), each.name))[
            :count
        ]
        rng.shuffle(endpoints)  # ids and lists differ between controllers; names do not
        self.assertEqual(RendezvousPool(endpoints).top(key, count), expected)

    def test_endpoints_with_equal_hashes_rank_by_name(self):
        endpoints = named_endpoints(3)
        for endpoint in endpoints:
            endpoint.name_hash = 12345
        self.assertEqual(RendezvousPool(endpoints[::-1]).top(proxy_key(7), 2), endpoints[:2])

    def test_endpoints_and_pairs_of_them_are_evenly_spread(self):
        # Pairs that come together too often would be lost together: shuffle sharding is there against that.
        pool = RendezvousPool(named_endpoints(40))
        taken, pairs = Counter(), Counter()
        for number in range(4000):
            names = sorted(endpoint.name for endpoint in pool.top(proxy_key(number), 4))
            taken.update(names)
            pairs.update((name, other) for at, name in enumerate(names) for other in names[:at])
        self.assertTrue(
            all(300 < taken[endpoint.name] < 500 for endpoint in pool), taken.most_common()[::39]
        )
        mean = 4000 * 6 / 780
        spread = sum((pairs[key] - mean) ** 2 for key in pairs) / 780 / mean
        self.assertTrue(0.7 < spread < 1.3, spread)

    def test_removing_an_endpoint_moves_only_the_proxies_that_had_it(self):
        endpoints = named_endpoints(200)
        before, after = RendezvousPool(endpoints), RendezvousPool(endpoints[1:])
        for number in range(300):
            old, new = before.top(proxy_key(number), 5), after.top(proxy_key(number), 5)
            if endpoints[0] in old:
                old.remove(endpoints[0])
                self.assertEqual(new[:4], old)
            else:
                self.assertEqual(new, old)
