"""Batches of events, the order of a batch's commands, and failed decisions."""

import unittest

from peatlead import interface
from peatlead.controller.batch_loop import BatchLoop

from ..standin_fleet import run, until


class RecordingPlanner:
    """Records the events of each batch; returns the given commands, or raises the given error."""

    def __init__(self, *results):
        self.results, self.batches = list(results), []

    def decide(self, now, events):
        self.batches.append(events)
        result = self.results.pop(0) if self.results else []
        if isinstance(result, Exception):
            raise result
        return result


class RecordingLoop(BatchLoop):
    """Records log lines, and the order in which commands and messages are handled."""

    def __init__(self, planner):
        self.actions, self.log_lines = [], []
        super().__init__(planner, lambda event, **fields: self.log_lines.append((event, fields)))

    def send_messages(self, now, commands, messages, nonces):
        self.actions.append(("send", messages, nonces))

    def log_message(self, command):
        self.actions.append(("log", command.text))

    def stop(self, reason="stopped"):
        self.ended.set_result(reason)


class BatchLoopTest(unittest.TestCase):
    def test_events_of_one_loop_iteration_form_one_batch(self):
        async def case():
            planner = RecordingPlanner()
            loop = RecordingLoop(planner)
            events = [interface.ProxyDisconnected(proxy) for proxy in range(3)]
            loop.add_to_next_batch(events[0])
            for event in events[1:]:
                loop.submit(event)
            await until(lambda: planner.batches)
            self.assertEqual((planner.batches, loop.batch_count), ([events], 1))

        run(case())

    def test_add_to_next_batch_schedules_no_batch(self):
        async def case():
            planner = RecordingPlanner()
            loop = RecordingLoop(planner)
            loop.add_to_next_batch(interface.ProxyDisconnected(1))
            self.assertEqual((loop.batch_scheduled, len(loop.inbox)), (False, 1))

        run(case())

    def test_handlers_run_before_messages_are_sent(self):
        async def case():
            commands = [
                interface.SetEntry(0, 5, 1.0),
                interface.AssignTable(7, 0, (0,)),
                interface.RequestAcknowledgement(9, False),
                interface.LogMessage("done"),
                interface.FetchEndpoints(),  # no handler: ignored
            ]
            loop = RecordingLoop(RecordingPlanner(commands))
            loop.publisher.join(7)
            loop.submit(interface.ProxyDisconnected(1))
            await until(lambda: loop.batch_count)
            message = {("bind", 0): 0, ("line", 0, 5): 1.0}
            self.assertEqual(loop.actions, [("log", "done"), ("send", {7: message}, {7: [9]})])

        run(case())

    def test_a_timer_returns_to_the_planner_that_set_it(self):
        async def case():
            planner = RecordingPlanner([interface.SetTimer(4, 0.01)])
            loop = RecordingLoop(planner)
            loop.submit(interface.ProxyDisconnected(1))
            await until(lambda: len(planner.batches) > 1)
            self.assertEqual(planner.batches[1], [interface.TimerFired(4)])

        run(case())

    def test_a_failed_decision_is_logged_and_ends_the_loop(self):
        async def case():
            loop = RecordingLoop(RecordingPlanner(ValueError("planted")))
            loop.submit(interface.ProxyDisconnected(1))
            self.assertEqual(await loop.ended, "decide failed: ValueError('planted')")
            ((event, fields),) = loop.log_lines
            self.assertEqual((event, fields["events"]), ("decide failed", ["ProxyDisconnected"]))
            self.assertIn("test_batch_loop.py:", fields["at"])
            self.assertEqual((loop.batch_count, loop.actions), (0, []))

        run(case())
