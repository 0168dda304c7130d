import json
import os
import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as some

from peatlead import interface
from peatlead.controller.channel import Channel, Publisher, ViewState
from peatlead.controller.endpoint_registry import EndpointRegistry
from peatlead.dns.views import View
from peatlead.health.load_report_counts import EndpointReport, LoadReportCounts, read_told
from peatlead.net.orca import read_report, write_report
from peatlead.sources.endpoint_cache import EndpointCache
from peatlead.sources.endpoint_list import EndpointList, EndpointListError, read_document
from peatlead.sources.file_watch import FileSource

from .places import settings

ORDERS = some.lists(
    some.one_of(
        some.builds(
            interface.SetEntry,
            some.integers(0, 3),
            some.integers(0, 5),
            some.sampled_from([0.0, 1.0, 2.0]),
        ),
        some.builds(
            interface.AssignTable, some.integers(0, 2), some.integers(0, 3), some.just((0,))
        ),
        some.builds(interface.WithdrawEndpoint, some.integers(0, 5), some.booleans()),
        some.builds(interface.ClearTable, some.integers(0, 3)),
    ),
    max_size=12,
)


class OnTheWay(unittest.TestCase):
    @given(some.lists(ORDERS, max_size=10), some.integers(0, 2**31))
    def test_views_end_with_what_was_ordered_however_slow_the_channel(self, batches, chance):
        draw, channel, publisher = random.Random(chance), Channel(40.0, 3.0, 1000.0), Publisher()
        states, tables, bound, out, now = {v: ViewState() for v in range(3)}, {}, {}, set(), 0.0
        for view in range(3):
            publisher.join(view)
        for orders in batches:
            for view, ops in publisher.take(orders)[0].items():
                channel.offer(now, view, ops)
            for order in orders:
                if type(order) is interface.SetEntry:
                    tables.setdefault(order.table, {})[order.endpoint] = order.weight
                elif type(order) is interface.ClearTable:
                    tables[order.table] = {}
                elif type(order) is interface.AssignTable:
                    bound[order.proxy] = order.table
                else:
                    (out.add if order.withdrawn else out.discard)(order.endpoint)
            now += draw.random()
            for view, message in channel.due(now):
                states[view].apply(message.ops)
        for view, message in channel.due(1e9):
            states[view].apply(message.ops)
        for view, state in states.items():
            wanted = {
                h: w for h, w in tables.get(bound.get(view), {}).items() if w and h not in out
            }
            self.assertEqual(state.lines(0), wanted)
        self.assertEqual(channel.waiting, 0.0)

    def test_the_pace_holds_and_what_waits_is_merged_not_queued(self):
        channel = Channel(10.0, 6.0, 100.0)
        channel.offer(0.0, 1, {("line", 0, 1): 1.0})
        for weight in range(50):
            channel.offer(0.0, 2, {("line", 0, 1): float(weight)})
        self.assertEqual(channel.waiting, 14.0)
        self.assertEqual([view for view, _ in channel.due(0.0)], [1])
        self.assertEqual(channel.due(0.6), [])
        ((view, message),) = channel.due(0.75)
        self.assertEqual((view, message.ops), (2, {("line", 0, 1): 49.0}))

    def test_a_withdrawal_rides_with_the_message_that_waits_first(self):
        channel = Channel(10.0, 6.0, 100.0)
        channel.offer(0.0, 1, {("line", 0, 1): 1.0})
        channel.offer(0.0, 1, {("withdrawn", 1): True})
        ((_, message),) = channel.due(0.0)
        state = ViewState()
        state.apply({("bind", 0): 0, **message.ops})
        self.assertEqual(state.lines(0), {})

    def test_what_takes_a_host_away_goes_first_and_holds_up_nobody_for_good(self):
        # At 3,000 proxies a withdrawal waited behind every staged delta and whole table that was offered before it.
        channel = Channel(1e9, 6.0, 1e6)
        for view in range(40):
            channel.offer(0.0, view, {("line", view, 1): 1.0})
        for view in range(20, 60):
            channel.offer(0.0, view, {("withdrawn", 3): True})
        sent = [view for view, _ in channel.due(1.0)]
        self.assertEqual(sorted(sent), list(range(60)))
        calm = [at for at, view in enumerate(sent) if view < 20]
        self.assertEqual(calm[:5], [3, 7, 11, 15, 19])
        self.assertEqual([view for view in sent if view >= 20], list(range(20, 60)))

    def test_a_withdrawal_that_was_taken_back_is_in_no_hurry(self):
        channel = Channel(1e9, 6.0, 1e6)
        channel.offer(0.0, 1, {("line", 0, 1): 1.0})
        channel.offer(0.0, 2, {("withdrawn", 3): True})
        channel.offer(0.0, 2, {("withdrawn", 3): False})
        channel.offer(0.0, 3, {("line", 0, 1): 0.0})
        channel.forget(3)
        self.assertEqual([view for view, _ in channel.due(1.0)], [1, 2])
        self.assertEqual((len(channel.urgent), len(channel.calm), channel.waiting), (0, 0, 0.0))

    def test_many_that_are_due_leave_a_few_at_a_time(self):
        channel = Channel(1e9, 6.0, 1e6)
        for view in range(100):
            channel.offer(0.0, view, {("line", view, 1): 1.0})
        self.assertEqual([len(channel.due(0.1, 30)) for _ in range(5)], [30, 30, 30, 10, 0])

    def test_that_a_host_is_let_in_again_goes_to_those_that_were_told_it_was_not(self):
        # To all of 1,000 proxies, for each host of a release, it was 200,000 lines waiting where 4,000 may.
        publisher = Publisher()
        for view in range(6):
            publisher.join(view, levelled=view < 5)
        publisher.take([interface.AssignTable(view, view, (0,)) for view in range(4)])
        publisher.take([interface.SetEntry(1, 9, 1.0), interface.SetEntry(2, 9, 1.0)])
        shut, _, _ = publisher.take([interface.WithdrawEndpoint(9, True)])
        self.assertEqual(
            sorted(shut), [4, 5]
        )  # one on no table yet, a DNS view; the holders lose the line instead
        publisher.leave(4)
        publisher.join(4, levelled=True)
        open_again, _, _ = publisher.take([interface.WithdrawEndpoint(9, False)])
        self.assertEqual(sorted(open_again), [4, 5])
        self.assertEqual(publisher.take([interface.WithdrawEndpoint(9, False)])[0], {})

    def test_a_mark_reaches_everyone_or_those_concerned(self):
        publisher = Publisher()
        for view in (1, 2):
            publisher.join(view)
        publisher.take([interface.AssignTable(1, 0, (0,))])
        _, marks, _ = publisher.take(
            [interface.SetEntry(0, 5, 1.0), interface.RequestAcknowledgement(7, False)]
        )
        self.assertEqual(marks, {1: [7]})
        self.assertEqual(
            publisher.take([interface.RequestAcknowledgement(8, True)])[1], {1: [8], 2: [8]}
        )


class Lists(unittest.TestCase):
    HOST = {
        "name": "h1",
        "zone": "north",
        "phase": "ready",
        "address": "127.0.0.9",
        "started": 50.0,
    }

    def document(self, *hosts, version=1, written=100.0):
        return json.dumps({"version": version, "written": written, "hosts": hosts}).encode()

    def source(self, path):
        told, log = [], []
        made = FileSource(
            {"path": str(path), "every": 0.1, "patience": 1.0},
            told.append,
            lambda event, **_: log.append(event),
        )
        return made, told, log

    def test_one_bad_entry_does_not_cost_the_others(self):
        bad = [
            {**self.HOST, "name": "a.b"},
            {**self.HOST, "phase": "well"},
            {**self.HOST, "weight": 0},
            {**self.HOST, "address": "::1"},
            {"zone": "north"},
            7,
            {**self.HOST, "weight": "1"},
        ]
        read = read_document(self.document(self.HOST, *bad, self.HOST))
        self.assertEqual(([h.name for h in read.hosts], len(read.bad)), (["h1"], 8))

    def test_a_torn_list_is_waited_for_and_told_once(self):
        whole = self.document(self.HOST)
        for cut in range(0, len(whole) - 1):
            with self.assertRaises(EndpointListError):
                read_document(whole[:cut])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n.json"
            source, told, log = self.source(path)
            path.write_bytes(whole[:30])
            for now in (0.0, 0.5, 1.2, 3.0):
                source.look(now)
            self.assertEqual([listing.scope for listing in told], ["unavailable"])
            path.write_bytes(whole)
            source.look(3.1)
            self.assertEqual(told[-1].scope, "whole")

    def test_an_older_list_is_not_taken(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n.json"
            source, told, log = self.source(path)
            for version in (5, 4, 6):
                path.write_bytes(self.document(self.HOST, version=version) + b" " * version)
                source.look(0.0)
            self.assertEqual([listing.version for listing in told], [5, 6])
            self.assertIn("older list not taken", log)

    def test_what_is_remembered_is_whole_or_nothing(self):
        with tempfile.TemporaryDirectory() as folder:
            memory = EndpointCache(f"{folder}/list")
            self.assertIsNone(memory.recall()[0])
            listing = read_document(self.document(self.HOST))
            memory.keep(listing)
            self.assertEqual(memory.recall()[0], listing._replace(scope="remembered"))
            whole = Path(f"{folder}/list").read_bytes()
            for cut in range(len(whole)):
                Path(f"{folder}/list").write_bytes(whole[:cut])
                self.assertIsNone(memory.recall()[0])
            for at in range(0, len(whole), 3):
                Path(f"{folder}/list").write_bytes(
                    whole[:at] + bytes([whole[at] ^ 4]) + whole[at + 1 :]
                )
                self.assertIsNone(memory.recall()[0])
            Path(f"{folder}/list").write_bytes(
                whole.replace(b"peatlead-list 1", b"peatlead-list 9")
            )
            self.assertEqual(memory.recall()[1], "not a list of this format")

    def test_a_crash_while_remembering_leaves_the_old_one(self):
        with tempfile.TemporaryDirectory() as folder:
            memory = EndpointCache(f"{folder}/list")
            memory.keep(read_document(self.document(self.HOST, version=1)))
            real, os.replace = os.replace, lambda *_: (_ for _ in ()).throw(OSError("power lost"))
            try:
                with self.assertRaises(OSError):
                    memory.keep(read_document(self.document(self.HOST, version=2)))
            finally:
                os.replace = real
            self.assertEqual(memory.recall()[0].version, 1)

    def test_a_process_keeps_the_start_it_was_first_seen_with(self):
        registry = EndpointRegistry(
            [zone["name"] for zone in settings()["zone"]], lambda *_, **__: None
        )
        first = registry.roster(read_document(self.document(self.HOST)), 1000.0).endpoints[0]
        again = registry.roster(
            read_document(self.document(self.HOST, version=2, written=130.0)), 1031.0
        ).endpoints[0]
        anew = registry.roster(
            read_document(self.document({**self.HOST, "started": 130.0}, version=3, written=131.0)),
            1032.0,
        ).endpoints[0]
        self.assertEqual(
            (first.started_at, again.started_at, anew.started_at), (950.0, 950.0, 1031.0)
        )
        self.assertEqual((first.id, anew.id), (0, 0))

    def test_a_zone_that_is_not_in_the_settings_is_left_out(self):
        registry = EndpointRegistry(
            [zone["name"] for zone in settings()["zone"]], lambda *_, **__: None
        )
        listing = EndpointList(
            "whole", 1, 0.0, read_document(self.document({**self.HOST, "zone": "mars"})).hosts
        )
        self.assertEqual(registry.roster(listing, 0.0).endpoints, ())


class Hearsay(unittest.TestCase):
    def news(self):
        views = {"10.1.0.0": View(0, "desk0", 70, 0, 1.0), "10.2.0.0": View(1, "desk1", 71, 1, 1.0)}
        made = LoadReportCounts(["look", "file"], views.get, 0, 1.0)
        self.assertEqual(made.due(0.0, [70, 71]), [])
        return made

    def told(self, boot="b", **rows):
        return EndpointReport(
            boot, ["look"], {network.replace("_", "."): [row] for network, row in rows.items()}
        )

    def test_sums_are_what_came_since_by_the_views_zone(self):
        news = self.news()
        news.take(3, self.told(**{"10_1_0_0": [10, 9, 1, 0, 0, 0, 4.5]}), {"util": 0.4})
        news.take(
            3,
            self.told(
                **{"10_1_0_0": [16, 13, 1, 0, 2, 0, 6.5], "10_2_0_0": [1, 1, 0, 0, 0, 0, 0.1]}
            ),
            None,
        )
        events = news.due(2.0, [70, 71])
        self.assertEqual(
            events,
            [
                interface.RequestStats(70, 0, 6, 2, 2.0),
                interface.RequestStats(71, 0, 1, 0, 2.0),
                interface.EndpointStats(3, 0, 6, 2, 2.0, 0.5, {"util": 0.4}),
                interface.EndpointStats(3, 1, 1, 0, 2.0, 0.1, {"util": 0.4}),
            ],
        )

    def test_a_new_process_counts_from_none_and_counters_that_go_back_tell_nothing(self):
        news = self.news()
        news.take(3, self.told(**{"10_1_0_0": [100, 90, 0, 0, 0, 0, 9.0]}), None)
        news.take(3, self.told("c", **{"10_1_0_0": [4, 4, 0, 0, 0, 0, 1.0]}), None)
        news.take(3, self.told("c", **{"10_1_0_0": [1, 1, 0, 0, 0, 0, 0.5]}), None)
        (sums,) = [e for e in news.due(1.0, [70, 71]) if type(e) is interface.EndpointStats]
        self.assertEqual((sums.attempts, sums.errors), (4, 0))

    def test_a_hung_host_is_told_of_by_clients_that_gave_up(self):
        news = self.news()
        news.take(3, self.told(**{"10_1_0_0": [0, 0, 0, 0, 0, 0, 0.0]}), None)
        news.take(3, self.told(**{"10_1_0_0": [9, 0, 0, 0, 8, 0, 0.0]}), None)
        (sums,) = [e for e in news.due(1.0, [70, 71]) if type(e) is interface.EndpointStats]
        self.assertEqual((sums.attempts, sums.errors), (8, 8))

    def test_an_idle_host_that_passes_probes_was_heard(self):
        news = self.news()
        news.probed(3, True, 0.01)
        news.probed(4, False, 0.8)
        self.assertEqual(
            news.due(1.0, [70, 71]), [interface.EndpointStats(3, 0, 1, 0, 1.0, 0.01, None)]
        )

    def test_odd_documents_are_passed_over(self):
        for body in (b"", b"{}", b"[1]", b'{"boot": 1, "kinds": [], "networks": {}}', b"\xff"):
            self.assertIsNone(read_told(body))
        news = self.news()
        for rows in ([[1, 2]], [["a"]], []):
            news.take(
                3, EndpointReport("b", ["look", "other"], {"10.1.0.0": rows, "junk": rows}), None
            )
        self.assertEqual(news.due(1.0, [70, 71]), [])

    def test_load_reports_in_the_published_forms(self):
        self.assertEqual(
            read_report(write_report({"util": 0.25, "waiting": 3})), {"util": 0.25, "waiting": 3.0}
        )
        self.assertEqual(
            read_report('JSON {"cpu_utilization": 0.5, "named_metrics": {"waiting": 2}}'),
            {"util": 0.5, "waiting": 2.0},
        )
        for value in (
            "",
            "TEXT",
            "TEXT cpu_utilization=nan, eps",
            "JSON {",
            "BIN xx",
            "JSON [1]",
            "TEXT cpu_utilization=-1",
        ):
            self.assertEqual(read_report(value), {})
