"""Publication of changed tables in stages."""

import unittest
from unittest import mock

from peatlead import interface
from tests.helpers import SETTINGS, make_endpoint, make_planner, of_type


class StagedUpdatesTest(unittest.TestCase):
    def test_a_proxy_with_an_unchanged_table_does_not_count_in_a_stage(self):
        planner = make_planner(endpoints=40, proxies=60, channel_rate=1e6, queue_most=1e6)
        planner.context.expected_proxies = 60.0
        planner.changes.mark_all_changed()
        for tick in range(200):
            planner.decide(101.0 + tick, [interface.TimerFired(0)])
        endpoint = planner.endpoints[0]
        subscribers = set(planner.context.subscriber_index.subscribers(0))
        self.assertLess(len(subscribers), 40)
        endpoint.weight_fraction = 0.5
        planner.changes.mark_endpoint_changed(endpoint)
        staged = set()
        stages = 0
        while not subscribers <= staged and stages < 60:
            stages += 1
            planner.staged_updates.next_stage_at = 0.0
            entries = of_type(planner.decide(planner.now + 0.1, []), interface.SetEntry)
            staged |= {entry.table for entry in entries if entry.weight == 0.5}
            self.assertLessEqual(len({entry.table for entry in entries}), 6)
        self.assertLessEqual(stages, -(-len(subscribers) // 6))


def planner_with_own_zone_class(**settings):
    """Return a planner whose class `pay` stays in its zone, on a channel that is never full."""
    classes = [
        {**request_class, "own_zone": request_class["name"] == "pay"}
        for request_class in SETTINGS["req_kinds"]
    ]
    return make_planner(
        endpoints=20,
        proxies=60,
        req_kinds=classes,
        probing=False,
        channel_rate=1e6,
        queue_most=1e6,
        **settings,
    )


def list_zone_0(planner, now, phase):
    listed = tuple(make_endpoint(number, 0, phase) for number in range(0, 20, 2))
    planner.decide(now, [interface.EndpointUpdate("changes", 2, listed)])


def play_tick(planner, start, tick):
    """Let a tenth of a second pass; endpoints of zone 1 restart each half second."""
    now = start + tick / 10
    events = [interface.TimerFired(0)]
    if tick % 5 == 0:
        restarted = tuple(make_endpoint(number, 1, "ready", now) for number in range(1, 11, 2))
        events.append(interface.EndpointUpdate("changes", 2, restarted))
    planner.decide(now, events)


class EmptyTablesTest(unittest.TestCase):
    def assert_filled_in_time(self, planner):
        """List zone 0 as ready, and check that no table stays empty for too long."""
        list_zone_0(planner, 104.0, "ready")
        tick = 0
        while not all(all(proxy.entries) for proxy in planner.proxies.values()):
            tick += 1
            play_tick(planner, 104.0, tick)
            self.assertLess(tick / 10, SETTINGS["bare_most"] - SETTINGS["push_delay_most"])

    def test_empty_tables_are_filled_in_time_although_the_list_changes_again_and_again(self):
        # Each change of the list drew the order of all proxies anew, also of those without entries.
        planner = planner_with_own_zone_class()
        list_zone_0(planner, 101.0, "gone")
        self.assert_filled_in_time(planner)

    def test_empty_tables_are_filled_in_time_although_their_proxies_had_many_messages(self):
        # Other updates wait at half of the limit, here for up to ten seconds.
        planner = planner_with_own_zone_class(messages_most=20, messages_span=10.0)
        list_zone_0(planner, 101.0, "gone")
        for proxy in planner.proxies.values():
            proxy.message_times.extend([103.0] * 10)
        self.assert_filled_in_time(planner)

    def test_proxies_whose_tables_must_stay_empty_delay_no_updates_of_others(self):
        planner = planner_with_own_zone_class(messages_most=1000, messages_span=10.0)
        list_zone_0(planner, 101.0, "gone")
        with mock.patch.object(planner.writer, "write", wraps=planner.writer.write) as write:
            for tick in range(1, 201):
                play_tick(planner, 104.0, tick)
        written_proxies = {call.args[0].number for call in write.call_args_list}
        self.assertEqual(written_proxies, planner.proxies.keys())
