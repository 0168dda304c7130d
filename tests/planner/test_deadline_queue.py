"""The queue of items by deadline."""

import unittest

from peatlead.planner.deadline_queue import DeadlineQueue


class DeadlineQueueTest(unittest.TestCase):
    def test_each_due_item_is_returned_once_ordered_by_its_earliest_deadline(self):
        queue = DeadlineQueue()
        for deadline, item in ((3.0, 1), (1.0, 2), (2.0, 2), (1.0, 0), (9.0, 5)):
            queue.push(deadline, item)
        self.assertEqual(
            (queue.pop_due(3.0), queue.pop_due(8.9), queue.pop_due(9.0)), ([0, 2, 1], [], [5])
        )
