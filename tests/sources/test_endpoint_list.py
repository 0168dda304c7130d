"""Parsing of endpoint lists."""

import unittest

from peatlead.sources.endpoint_list import parse_list_document

from .documents import LIST_ENTRY, list_document


class EndpointListTest(unittest.TestCase):
    def test_invalid_entries_are_left_out_and_reported(self):
        invalid = [
            {**LIST_ENTRY, "name": "a.b"},
            {**LIST_ENTRY, "phase": "well"},
            {**LIST_ENTRY, "weight": 0},
            {**LIST_ENTRY, "address": "::1"},
            {"zone": "north"},
            7,
            {**LIST_ENTRY, "weight": "1"},
        ]
        endpoint_list = parse_list_document(list_document(LIST_ENTRY, *invalid, LIST_ENTRY))
        self.assertEqual(
            ([entry.name for entry in endpoint_list.endpoints], len(endpoint_list.entry_errors)),
            (["h1"], 8),
        )
