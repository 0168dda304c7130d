"""The view of a query, by its client subnet or by the resolver's address."""

import unittest
from ipaddress import ip_address, ip_network

from hypothesis import given, strategies

from peatlead.dns.views import PrefixMap, Views, proxy_number

from ..standin_fleet import settings

DESK0_NUMBER = 261398713923410  # proxy number of the view "desk0", the same in all releases


class PrefixMapTest(unittest.TestCase):
    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 2**32 - 1), strategies.integers(0, 32)),
            max_size=30,
        ),
        strategies.integers(0, 2**32 - 1),
        strategies.integers(0, 32),
    )
    def test_the_longest_matching_prefix_is_found(self, networks, address, max_length):
        prefixes, values = PrefixMap(), {}
        for value, (network_address, length) in enumerate(networks):
            network = ip_network((network_address, length), strict=False)
            prefixes.add(network, value)
            values[network] = value
        address = ip_address(address)
        matching = [
            candidate
            for candidate in values
            if address in candidate and candidate.prefixlen <= max_length
        ]
        longest = max(matching, key=lambda candidate: candidate.prefixlen, default=None)
        self.assertEqual(
            prefixes.find(address, max_length), longest and (values[longest], longest.prefixlen)
        )


class ViewsTest(unittest.TestCase):
    def test_invented_subnets_create_no_views(self):
        views = Views(settings())
        for index in range(20000):
            views.match_network(ip_address(index * 70000 % 2**32), 24)
        self.assertEqual(len(views.views), 2 + 4)

    def test_a_name_has_the_same_number_at_every_controller_and_after_restarts(self):
        self.assertEqual(Views(settings()).by_name["desk0"].number, proxy_number("desk0"))
        self.assertEqual(proxy_number("desk0"), DESK0_NUMBER)
