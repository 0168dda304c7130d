import unittest

from peatlead.sources.endpoint_list import read_document

from .documents import HOST, document


class EndpointListTest(unittest.TestCase):
    def test_invalid_entries_do_not_affect_valid_ones(self):
        invalid = [
            {**HOST, "name": "a.b"},
            {**HOST, "phase": "well"},
            {**HOST, "weight": 0},
            {**HOST, "address": "::1"},
            {"zone": "north"},
            7,
            {**HOST, "weight": "1"},
        ]
        listing = read_document(document(HOST, *invalid, HOST))
        self.assertEqual(
            ([h.name for h in listing.endpoints], len(listing.entry_errors)), (["h1"], 8)
        )
