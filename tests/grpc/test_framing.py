"""Length-prefixed messages and timeouts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.grpc.framing import FramingError, MessageDeframer, frame, parse_timeout


class FramingTest(unittest.TestCase):
    @given(st.lists(st.binary(max_size=300), max_size=8), st.integers(1, 50))
    def test_messages_are_reassembled_from_any_fragments(self, messages, size):
        data, deframer, received = b"".join(map(frame, messages)), MessageDeframer(), []
        for offset in range(0, len(data), size):
            received += deframer.feed(data[offset : offset + size])
        self.assertEqual(received, messages)

    def test_compressed_and_oversized_messages_are_refused(self):
        for data, status in ((b"\x01\0\0\0\0", 12), (b"\0\xff\xff\xff\xff", 8)):
            with self.assertRaises(FramingError) as caught:
                MessageDeframer().feed(data)
            self.assertEqual(caught.exception.status, status)
        self.assertEqual(
            [parse_timeout(text) for text in ("3S", "250m", "x", "1", "999999999H", "", "\u00b2S")],
            [3.0, 0.25, None, None, None, None, None],
        )
