"""Encoding and decoding of assignments and routes as xDS resources."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.benchmarks.encoding import encode_with_protobuf
from peatlead.grpc.resources import (
    WeightedEndpoint,
    decode_assignment,
    decode_routes,
    encode_assignment,
    encode_routes,
)

from .simulated_fleet import WEIGHTED_ENDPOINTS


class ResourcesTest(unittest.TestCase):
    @given(
        st.lists(
            st.builds(
                WeightedEndpoint,
                st.sampled_from(["10.0.0.1", "10.0.0.2", "2001:db8::1"]),
                st.integers(1, 65535),
                st.sampled_from(["a", "b", ""]),
                st.floats(0.001, 4000.0),
            ),
            max_size=12,
        ),
        st.floats(0.0, 1.0),
    )
    def test_assembled_assignments_equal_protobuf_serialization(self, endpoints, admitted_fraction):
        self.assertEqual(
            encode_assignment("look", endpoints, admitted_fraction),
            encode_with_protobuf("look", endpoints, admitted_fraction),
        )

    def test_assignments_and_routes_round_trip(self):
        request_class, endpoints, admitted_fraction = decode_assignment(
            encode_assignment("look", WEIGHTED_ENDPOINTS, 0.85)
        )
        self.assertEqual(
            (request_class, sorted(endpoints), round(admitted_fraction, 6)),
            ("look", sorted(WEIGHTED_ENDPOINTS), 0.85),
        )
        retry_policies = {"a": "never", "b": "unstarted", "c": "once", "d": "twice"}
        self.assertEqual(decode_routes(encode_routes(retry_policies)), retry_policies)
        for data in (
            b"\xff\xff",
            encode_assignment("x", [WeightedEndpoint("", 80, "z", 1.0)], 1.0),
        ):
            with self.assertRaises(ValueError):
                decode_assignment(data)
