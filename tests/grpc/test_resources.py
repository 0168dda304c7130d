"""Assignments and routes as xDS resources, and back."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.benchmarks.encoding import write_whole
from peatlead.grpc.resources import (
    WeightedEndpoint,
    decode_assignment,
    decode_routes,
    encode_assignment,
    encode_routes,
)

from .simulated_fleet import ENTRIES


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
    def test_assembled_assignments_equal_protobuf_serialization(self, lines, level):
        self.assertEqual(encode_assignment("look", lines, level), write_whole("look", lines, level))

    def test_assignments_and_routes_round_trip(self):
        kind, lines, level = decode_assignment(encode_assignment("look", ENTRIES, 0.85))
        self.assertEqual((kind, sorted(lines), round(level, 6)), ("look", sorted(ENTRIES), 0.85))
        retries = {"a": "never", "b": "unstarted", "c": "once", "d": "twice"}
        self.assertEqual(decode_routes(encode_routes(retries)), retries)
        for data in (
            b"\xff\xff",
            encode_assignment("x", [WeightedEndpoint("", 80, "z", 1.0)], 1.0),
        ):
            with self.assertRaises(ValueError):
                decode_assignment(data)
