"""The state-of-the-world variant: nonces, ACK and NACK."""

import unittest

from envoy.service.discovery.v3 import discovery_pb2

from peatlead.grpc.discovery import Discovery
from peatlead.grpc.resources import ENDPOINTS
from peatlead.tables.version import NO_VERSION, Version, parse_version


class DiscoveryTest(unittest.TestCase):
    def request(self, **more):
        request = discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=["look"])
        for name, value in more.items():
            if name == "error":
                request.error_detail.message = value
            else:
                setattr(request, name, value)
        return request

    def test_one_response_is_in_flight_and_the_newest_follows(self):
        state = {"look": b"1"}
        stream = Discovery(7, lambda _, names: dict(state), "ns1")
        (first,) = stream.take(self.request())
        self.assertEqual((first.version_info, first.nonce), ("7.1", "7.1"))
        for value in (b"2", b"3"):
            state["look"] = value
            self.assertEqual(stream.changed(ENDPOINTS), [])
        (second,) = stream.take(self.request(response_nonce="7.1", version_info="7.1"))
        self.assertEqual(second.resources[0].value, b"3")
        self.assertEqual(stream.applied, [(ENDPOINTS, Version(7, 1))])
        self.assertEqual(
            stream.take(self.request(response_nonce="7.1", version_info="7.1")), []
        )  # late, overtaken

    def test_a_nack_is_reported_and_the_same_is_not_sent_again(self):
        state = {"look": b"1"}
        stream = Discovery(1, lambda _, names: dict(state), "ns1")
        stream.take(self.request())
        self.assertEqual(stream.take(self.request(response_nonce="1.1", error="no")), [])
        self.assertEqual([r.text for r in stream.refusals], ["no"])
        self.assertEqual(stream.changed(ENDPOINTS), [])
        state["look"] = b"2"
        self.assertEqual(len(stream.changed(ENDPOINTS)), 1)

    def test_foreign_versions_are_read_as_none(self):
        self.assertEqual(
            [parse_version(t) for t in ("", "3", "a.b", "1.2.3", "9" * 50 + ".1")], [NO_VERSION] * 5
        )
        self.assertEqual(parse_version("12.3"), Version(12, 3))
