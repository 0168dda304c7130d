"""Line keys, digests and stamps of published tables."""

import unittest

from peatlead.tables.version import (
    NO_VERSION,
    Digest,
    Stamp,
    Version,
    line_key,
    parse_line_key,
    parse_stamp,
    parse_version,
)


class DigestTest(unittest.TestCase):
    def test_any_change_of_items_changes_the_digest(self):
        items = {line_key("k", "z", "10.0.0.1", 1): 1000, line_key("k", "z", "10.0.0.2", 1): 2000}
        first, second = items
        others = [
            {first: 1001, second: 2000},
            {first: 1000},
            {first: 2000, second: 1000},
            {**items, "level/k": 1},
        ]
        self.assertNotIn(str(Digest(items)), [str(Digest(other)) for other in others])


class VersionTest(unittest.TestCase):
    def test_digits_that_are_no_decimals_are_no_version(self):
        self.assertEqual(parse_version("2.1"), Version(2, 1))
        for malformed in ("\u00b2.1", "2.\u00b9", "2", ".1"):
            self.assertEqual(parse_version(malformed), NO_VERSION)


class LineKeyTest(unittest.TestCase):
    def test_line_keys_are_parsed_and_malformed_keys_are_rejected(self):
        for address in ("10.0.0.1", "2001:db8::7"):
            self.assertEqual(
                parse_line_key(line_key("k", "a/b", address, 80)), ("k", "a/b", address, 80)
            )
        for malformed in (
            "",
            "line",
            "line/k/z/x",
            "line/k/z/x:0",
            "line/k/z/x:99999",
            "level/k",
            "line//z/x:1",
        ):
            with self.assertRaises(ValueError):
                parse_line_key(malformed)

    def test_a_port_of_digits_that_are_no_decimals_is_named(self):
        with self.assertRaisesRegex(ValueError, "expected"):
            parse_line_key("line/k/z/10.0.0.1:\u00b2")


class StampTest(unittest.TestCase):
    def test_stamps_are_parsed_and_malformed_stamps_are_rejected(self):
        stamp = Stamp(Version(3, 4), "a" * 32, "b" * 32)
        self.assertEqual(parse_stamp(str(stamp)), stamp)
        for malformed in (
            "",
            "3.4",
            "3.4 base=x",
            "x base=a digest=b",
            "3.4 digest=a base=b",
            "0.0 base=a digest=b",
        ):
            with self.assertRaises(ValueError):
                parse_stamp(malformed)
