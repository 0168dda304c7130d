"""The source that polls an endpoint list in a file."""

import tempfile
import unittest
from pathlib import Path

from peatlead.sources.endpoint_list import EndpointListError, parse_list_document
from peatlead.sources.file_watch import FileSource

from .documents import LIST_ENTRY, list_document


class FileSourceTest(unittest.TestCase):
    def make_source(self, path):
        lists, events = [], []
        source = FileSource(
            {"path": str(path), "every": 0.1, "patience": 1.0},
            lists.append,
            lambda event, **_: events.append(event),
        )
        return source, lists, events

    def test_a_truncated_list_is_an_error_and_the_list_is_reported_unavailable_once(self):
        whole = list_document(LIST_ENTRY)
        for size in range(0, len(whole) - 1):
            with self.assertRaises(EndpointListError):
                parse_list_document(whole[:size])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n.json"
            source, lists, events = self.make_source(path)
            path.write_bytes(whole[:30])
            for now in (0.0, 0.5, 1.2, 3.0):
                source.check_file(now)
            self.assertEqual([endpoint_list.scope for endpoint_list in lists], ["unavailable"])
            path.write_bytes(whole)
            source.check_file(3.1)
            self.assertEqual(lists[-1].scope, "whole")

    def test_a_list_with_an_older_version_is_ignored(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n.json"
            source, lists, events = self.make_source(path)
            for version in (5, 4, 6):
                path.write_bytes(list_document(LIST_ENTRY, version=version) + b" " * version)
                source.check_file(0.0)
            self.assertEqual([endpoint_list.version for endpoint_list in lists], [5, 6])
            self.assertIn("older list ignored", events)
