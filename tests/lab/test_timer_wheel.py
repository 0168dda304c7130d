"""The timer wheel returns timers in the same order as the heap."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.lab.timer_wheel import HeapTimers, WheelTimers


class TimerWheelTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 5000), st.integers(0, 3)), max_size=200))
    def test_the_wheel_and_the_heap_return_timers_in_the_same_order(self, steps):
        wheel, heap, now = WheelTimers(), HeapTimers(), 0.0
        for number, (delay, pop_count) in enumerate(steps):
            for timers in (wheel, heap):
                timers.push(now + delay, number)
            for _ in range(pop_count):
                self.assertEqual(wheel.peek(), heap.peek())
                from_wheel, from_heap = wheel.pop(), heap.pop()
                self.assertEqual(from_wheel, from_heap)
                now = from_wheel[0] if from_wheel else now
        self.assertEqual(len(wheel), len(heap))
        while len(heap):
            self.assertEqual(wheel.pop(), heap.pop())
        self.assertIsNone(wheel.pop())
