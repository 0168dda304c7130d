"""The division of the event loop's time among streams that have received data."""

import unittest

from peatlead.net.read_scheduler import SLICE_BYTES, TURN_SECONDS, ReadScheduler

SECONDS_PER_SLICE = 0.001


class FakeLoop:
    """A loop whose clock advances only while data is handled."""

    def __init__(self):
        self.now = 0.0
        self.scheduled = []

    def time(self):
        return self.now

    def call_soon(self, callback):
        self.scheduled.append(callback)

    def run_turn(self):
        callbacks, self.scheduled = self.scheduled, []
        for callback in callbacks:
            callback()


class FakeStream:
    def __init__(self, loop, log, seconds=SECONDS_PER_SLICE):
        self.loop, self.log, self.seconds = loop, log, seconds
        self.service_tag = 0.0
        self.unhandled_data = b""
        self.accepts_data = True
        self.reading = True
        self.handled = b""

    def handle_data(self, data):
        self.loop.now += self.seconds
        self.handled += data
        self.log.append(self)

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class ReadSchedulerTest(unittest.TestCase):
    def setUp(self):
        self.loop = FakeLoop()
        self.scheduler = ReadScheduler(self.loop)
        self.log = []

    def receive(self, stream, data):
        self.scheduler.receive(stream, data, self.loop.time())

    def streams(self, count):
        return [FakeStream(self.loop, self.log) for _ in range(count)]

    def test_a_turn_does_not_grow_with_the_number_of_ready_streams(self):
        data = bytes(range(256)) * (4 * SLICE_BYTES // 256)
        for count in (10, 500):
            streams = self.streams(count)
            started_at = self.loop.now
            for stream in streams:
                self.receive(stream, data)
            longest = self.loop.now - started_at
            while self.loop.scheduled:
                started_at = self.loop.now
                self.loop.run_turn()
                longest = max(longest, self.loop.now - started_at)
            self.assertLessEqual(longest, TURN_SECONDS + SECONDS_PER_SLICE)
            self.assertEqual({stream.handled for stream in streams}, {data})
            self.assertTrue(all(stream.reading for stream in streams))

    def test_a_small_message_does_not_wait_for_streams_with_much_data(self):
        for stream in self.streams(500):
            self.receive(stream, bytes(4 * SLICE_BYTES))
        self.loop.run_turn()
        newcomer = FakeStream(self.loop, self.log)
        self.receive(newcomer, b"probe")
        self.assertEqual(newcomer.handled, b"")
        self.loop.run_turn()
        self.assertEqual(newcomer.handled, b"probe")

    def test_a_stream_that_is_expensive_to_handle_yields_to_the_others(self):
        expensive = FakeStream(self.loop, self.log, seconds=0.02)
        others = self.streams(3)
        for stream in [expensive, *others]:
            self.receive(stream, bytes(4 * SLICE_BYTES))
        while self.loop.scheduled:
            self.loop.run_turn()
        last = {stream: number for number, stream in enumerate(self.log)}
        self.assertEqual(max(last, key=last.get), expensive)

    def test_a_stream_with_much_earlier_data_is_not_delayed_once_nobody_waits(self):
        busy = FakeStream(self.loop, self.log)
        self.receive(busy, bytes(100 * SLICE_BYTES))
        while self.loop.scheduled:
            self.loop.run_turn()
        rivals = self.streams(20)
        for stream in [*rivals, busy]:
            self.receive(stream, bytes(4 * SLICE_BYTES))
        handled_before = len(busy.handled)
        for _ in range(5):
            self.loop.run_turn()
        self.assertGreater(len(busy.handled), handled_before)

    def test_data_of_a_stream_that_has_ended_is_dropped(self):
        # Guards against work for a client that is gone.
        first, second = self.streams(2)
        for stream in (first, second):
            self.receive(stream, bytes(16 * SLICE_BYTES))
        handled = len(second.handled)
        second.accepts_data = False
        while self.loop.scheduled:
            self.loop.run_turn()
        self.assertEqual(len(second.handled), handled)
        self.assertEqual(len(first.handled), 16 * SLICE_BYTES)
        self.assertEqual(second.unhandled_data, b"")


if __name__ == "__main__":
    unittest.main()
