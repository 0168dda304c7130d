"""Parsing of endpoint lists."""

import unittest

from peatlead.sources.endpoint_list import read_document

from .documents import HOST, document


class EndpointListTest(unittest.TestCase):
    def test_invalid_entries_are_left_out_and_reported(self):
        invalid = [
            {**HOST, "name": "a.b"},
            {**HOST, "phase": "well"},
            {**HOST, "weight": 0},
            {**HOST, "address": "::1"},
            {"zone": "north"},
            7,
            {**HOST, "weight": "1"},
        ]
        endpoint_list = read_document(document(HOST, *invalid, HOST))
        self.assertEqual(
            ([entry.name for entry in endpoint_list.endpoints], len(endpoint_list.entry_errors)),
            (["h1"], 8),
        )
