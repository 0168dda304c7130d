"""State-of-the-world discovery: nonces, ACK and NACK."""

import unittest

from envoy.service.discovery.v3 import discovery_pb2

from peatlead.grpc.discovery import Discovery
from peatlead.grpc.resources import ASSIGNMENT_TYPE_URL
from peatlead.tables.version import NO_VERSION, Version, parse_version


class DiscoveryTest(unittest.TestCase):
    def request(self, **fields):
        request = discovery_pb2.DiscoveryRequest(
            type_url=ASSIGNMENT_TYPE_URL, resource_names=["look"]
        )
        for name, value in fields.items():
            if name == "error":
                request.error_detail.message = value
            else:
                setattr(request, name, value)
        return request

    def test_one_response_is_in_flight_and_only_the_newest_state_follows(self):
        resources = {"look": b"1"}
        stream = Discovery(7, lambda _, names: dict(resources), "ns1")
        (first,) = stream.handle_request(self.request())
        self.assertEqual((first.version_info, first.nonce), ("7.1", "7.1"))
        for value in (b"2", b"3"):
            resources["look"] = value
            self.assertEqual(stream.resources_changed(ASSIGNMENT_TYPE_URL), [])
        (second,) = stream.handle_request(self.request(response_nonce="7.1", version_info="7.1"))
        self.assertEqual(second.resources[0].value, b"3")
        self.assertEqual(stream.acks, [(ASSIGNMENT_TYPE_URL, Version(7, 1))])
        # An ACK of a response that a newer one has replaced is ignored.
        self.assertEqual(
            stream.handle_request(self.request(response_nonce="7.1", version_info="7.1")), []
        )

    def test_a_nack_is_reported_and_the_rejected_resources_are_not_sent_again(self):
        resources = {"look": b"1"}
        stream = Discovery(1, lambda _, names: dict(resources), "ns1")
        stream.handle_request(self.request())
        self.assertEqual(stream.handle_request(self.request(response_nonce="1.1", error="no")), [])
        self.assertEqual([nack.text for nack in stream.nacks], ["no"])
        self.assertEqual(stream.resources_changed(ASSIGNMENT_TYPE_URL), [])
        resources["look"] = b"2"
        self.assertEqual(len(stream.resources_changed(ASSIGNMENT_TYPE_URL)), 1)

    def test_versions_of_other_control_planes_are_parsed_as_no_version(self):
        self.assertEqual(
            [parse_version(text) for text in ("", "3", "a.b", "1.2.3", "9" * 50 + ".1")],
            [NO_VERSION] * 5,
        )
        self.assertEqual(parse_version("12.3"), Version(12, 3))
