"""The timer wheel against the heap."""

import unittest

from hypothesis import given
from hypothesis import strategies as some

from peatlead.lab.timer_wheel import HeapTimers, WheelTimers


class TimerWheel(unittest.TestCase):
    @given(some.lists(some.tuples(some.floats(0, 5000), some.integers(0, 3)), max_size=200))
    def test_wheel_and_heap_return_timers_in_the_same_order(self, steps):
        wheel, heap, now = WheelTimers(), HeapTimers(), 0.0
        for at, (ahead, pops) in enumerate(steps):
            for one in (wheel, heap):
                one.push(now + ahead, at)
            for _ in range(pops):
                self.assertEqual(wheel.peek(), heap.peek())
                left, right = wheel.pop(), heap.pop()
                self.assertEqual(left, right)
                now = left[0] if left else now
        self.assertEqual(len(wheel), len(heap))
        while len(heap):
            self.assertEqual(wheel.pop(), heap.pop())
        self.assertIsNone(wheel.pop())
