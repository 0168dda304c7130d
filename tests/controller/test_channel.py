"""Pacing, merging and order of the messages in the controller's channel."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead import interface
from peatlead.controller.channel import Channel
from peatlead.controller.publisher import Publisher
from peatlead.controller.view_state import ViewState

COMMANDS = st.lists(
    st.one_of(
        st.builds(
            interface.SetEntry,
            st.integers(0, 3),
            st.integers(0, 5),
            st.sampled_from([0.0, 1.0, 2.0]),
        ),
        st.builds(interface.AssignTable, st.integers(0, 2), st.integers(0, 3), st.just((0,))),
        st.builds(interface.WithdrawEndpoint, st.integers(0, 5), st.booleans()),
        st.builds(interface.ClearTable, st.integers(0, 3)),
    ),
    max_size=12,
)


class ChannelTest(unittest.TestCase):
    @given(st.lists(COMMANDS, max_size=10), st.integers(0, 2**31))
    def test_views_reach_the_commanded_state_through_a_slow_channel(self, batches, seed):
        rng, channel, publisher = random.Random(seed), Channel(40.0, 3.0, 1000.0), Publisher()
        states, tables, assigned_tables, withdrawn, now = (
            {view: ViewState() for view in range(3)},
            {},
            {},
            set(),
            0.0,
        )
        for view in range(3):
            publisher.join(view)
        for commands in batches:
            for view, operations in publisher.route(commands)[0].items():
                channel.enqueue(now, view, operations)
            for command in commands:
                if type(command) is interface.SetEntry:
                    tables.setdefault(command.table, {})[command.endpoint] = command.weight
                elif type(command) is interface.ClearTable:
                    tables[command.table] = {}
                elif type(command) is interface.AssignTable:
                    assigned_tables[command.proxy] = command.table
                else:
                    (withdrawn.add if command.withdrawn else withdrawn.discard)(command.endpoint)
            now += rng.random()
            for view, message in channel.take_due(now):
                states[view].apply(message.operations)
        for view, message in channel.take_due(1e9):
            states[view].apply(message.operations)
        for view, state in states.items():
            expected_weights = {
                endpoint: weight
                for endpoint, weight in tables.get(assigned_tables.get(view), {}).items()
                if weight and endpoint not in withdrawn
            }
            self.assertEqual(state.weights(0), expected_weights)
        self.assertEqual(channel.size, 0.0)

    def test_messages_are_paced_and_waiting_messages_are_merged(self):
        channel = Channel(10.0, 6.0, 100.0)
        channel.enqueue(0.0, 1, {("line", 0, 1): 1.0})
        for weight in range(50):
            channel.enqueue(0.0, 2, {("line", 0, 1): float(weight)})
        self.assertEqual(channel.size, 14.0)
        self.assertEqual([view for view, _ in channel.take_due(0.0)], [1])
        self.assertEqual(channel.take_due(0.6), [])
        ((view, message),) = channel.take_due(0.75)
        self.assertEqual((view, message.operations), (2, {("line", 0, 1): 49.0}))

    def test_a_withdrawal_is_merged_into_the_waiting_message(self):
        channel = Channel(10.0, 6.0, 100.0)
        channel.enqueue(0.0, 1, {("line", 0, 1): 1.0})
        channel.enqueue(0.0, 1, {("withdrawn", 1): True})
        ((_, message),) = channel.take_due(0.0)
        state = ViewState()
        state.apply({("bind", 0): 0, **message.operations})
        self.assertEqual(state.weights(0), {})

    def test_removals_are_sent_first_without_starving_other_messages(self):
        # Withdrawals must not wait for all messages that were queued before them.
        channel = Channel(1e9, 6.0, 1e6)
        for view in range(40):
            channel.enqueue(0.0, view, {("line", view, 1): 1.0})
        for view in range(20, 60):
            channel.enqueue(0.0, view, {("withdrawn", 3): True})
        sent = [view for view, _ in channel.take_due(1.0)]
        self.assertEqual(sorted(sent), list(range(60)))
        positions = [position for position, view in enumerate(sent) if view < 20]
        self.assertEqual(positions[:5], [3, 7, 11, 15, 19])
        self.assertEqual([view for view in sent if view >= 20], list(range(20, 60)))

    def test_a_revoked_withdrawal_is_no_longer_urgent(self):
        channel = Channel(1e9, 6.0, 1e6)
        channel.enqueue(0.0, 1, {("line", 0, 1): 1.0})
        channel.enqueue(0.0, 2, {("withdrawn", 3): True})
        channel.enqueue(0.0, 2, {("withdrawn", 3): False})
        channel.enqueue(0.0, 3, {("line", 0, 1): 0.0})
        channel.forget_subscriber(3)
        self.assertEqual([view for view, _ in channel.take_due(1.0)], [1, 2])
        self.assertEqual(
            (len(channel.urgent_lane), len(channel.normal_lane), channel.size), (0, 0, 0.0)
        )

    def test_take_due_returns_at_most_the_given_number_of_messages(self):
        channel = Channel(1e9, 6.0, 1e6)
        for view in range(100):
            channel.enqueue(0.0, view, {("line", view, 1): 1.0})
        self.assertEqual([len(channel.take_due(0.1, 30)) for _ in range(5)], [30, 30, 30, 10, 0])
