"""The cache of the last endpoint list."""

import os
import tempfile
import unittest
from pathlib import Path

from peatlead.sources.endpoint_cache import EndpointCache
from peatlead.sources.endpoint_list import parse_list_document

from .documents import LIST_ENTRY, list_document


class EndpointCacheTest(unittest.TestCase):
    def test_a_truncated_or_corrupted_file_is_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            cache = EndpointCache(f"{folder}/list")
            self.assertIsNone(cache.load()[0])
            endpoint_list = parse_list_document(list_document(LIST_ENTRY))
            cache.save(endpoint_list)
            self.assertEqual(cache.load()[0], endpoint_list._replace(scope="remembered"))
            whole = Path(f"{folder}/list").read_bytes()
            for size in range(len(whole)):
                Path(f"{folder}/list").write_bytes(whole[:size])
                self.assertIsNone(cache.load()[0])
            for position in range(0, len(whole), 3):
                Path(f"{folder}/list").write_bytes(
                    whole[:position] + bytes([whole[position] ^ 4]) + whole[position + 1 :]
                )
                self.assertIsNone(cache.load()[0])
            Path(f"{folder}/list").write_bytes(
                whole.replace(b"peatlead-list 1", b"peatlead-list 9")
            )
            self.assertEqual(
                cache.load()[1], "the header is not that of a cached list of this version"
            )

    def test_a_crash_during_a_write_leaves_the_previous_list(self):
        with tempfile.TemporaryDirectory() as folder:
            cache = EndpointCache(f"{folder}/list")
            cache.save(parse_list_document(list_document(LIST_ENTRY, version=1)))
            original, os.replace = (
                os.replace,
                lambda *_: (_ for _ in ()).throw(OSError("simulated error")),
            )
            try:
                with self.assertRaises(OSError):
                    cache.save(parse_list_document(list_document(LIST_ENTRY, version=2)))
            finally:
                os.replace = original
            self.assertEqual(cache.load()[0].version, 1)
