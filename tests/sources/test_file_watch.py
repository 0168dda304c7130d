import tempfile
import unittest
from pathlib import Path

from peatlead.sources.endpoint_list import EndpointListError, read_document
from peatlead.sources.file_watch import FileSource

from .documents import HOST, document


class FileSourceTest(unittest.TestCase):
    def make_source(self, path):
        listings, log = [], []
        source = FileSource(
            {"path": str(path), "every": 0.1, "patience": 1.0},
            listings.append,
            lambda event, **_: log.append(event),
        )
        return source, listings, log

    def test_a_truncated_list_is_reported_unavailable_once(self):
        whole = document(HOST)
        for cut in range(0, len(whole) - 1):
            with self.assertRaises(EndpointListError):
                read_document(whole[:cut])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n.json"
            source, listings, log = self.make_source(path)
            path.write_bytes(whole[:30])
            for now in (0.0, 0.5, 1.2, 3.0):
                source.look(now)
            self.assertEqual([listing.scope for listing in listings], ["unavailable"])
            path.write_bytes(whole)
            source.look(3.1)
            self.assertEqual(listings[-1].scope, "whole")

    def test_an_older_version_is_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n.json"
            source, listings, log = self.make_source(path)
            for version in (5, 4, 6):
                path.write_bytes(document(HOST, version=version) + b" " * version)
                source.look(0.0)
            self.assertEqual([listing.version for listing in listings], [5, 6])
            self.assertIn("older list not taken", log)
