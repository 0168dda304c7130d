"""What a proxy reports about itself."""

import unittest

from envoy.service.discovery.v3 import discovery_pb2

from peatlead.grpc.proxy_node import read_node
from peatlead.planner.input_bounds import MAX_RATE


def request_with(**metadata):
    """Return a proxy's first request with this metadata."""
    request = discovery_pb2.DiscoveryRequest(node={"id": "plain"})
    request.node.metadata.update(metadata)
    return request


class ProxyNodeTest(unittest.TestCase):
    def test_numbers_that_are_not_finite_are_refused(self):
        for name in ("epoch", "hops", "rate"):
            for value in (float("inf"), float("nan")):
                with self.assertRaisesRegex(ValueError, f"{name}: expected a finite number"):
                    read_node(request_with(**{name: value}))
        for weight in ("nan", "inf"):
            with self.assertRaisesRegex(ValueError, "expected a finite weight"):
                read_node(request_with(held={"look": [f"127.10.9.1|80|north|{weight}"]}))

    def test_numbers_out_of_range_are_limited(self):
        node = read_node(request_with(epoch=-1e300, hops=3.0, rate=1e300))
        self.assertEqual((node.epoch, node.hops, node.rate), (0, 3, MAX_RATE))
