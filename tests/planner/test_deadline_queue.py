import unittest

from peatlead.planner.deadline_queue import DeadlineQueue


class DeadlineQueueTest(unittest.TestCase):
    def test_each_item_that_is_due_is_taken_once_by_its_earliest_deadline(self):
        queue = DeadlineQueue()
        for deadline, item in ((3.0, 1), (1.0, 2), (2.0, 2), (1.0, 0), (9.0, 5)):
            queue.push(deadline, item)
        self.assertEqual((queue.take(3.0), queue.take(8.9), queue.take(9.0)), ([0, 2, 1], [], [5]))
