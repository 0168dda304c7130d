"""Each check of a rule finds breaches, and no others, in small recordings."""

import tempfile
import unittest
from pathlib import Path

from peatlead.invariants.checker import check
from peatlead.invariants.record import ROWS, Recorder, Recording, Row, read_folder

LIMITS = {
    "drain_grace": 3.0,
    "bare_most": 4.0,
    "messages_most": 5,
    "messages_span": 10.0,
    "message_head": 6.0,
    "channel_rate": 1000.0,
}


def row(kind, at, *fields):
    return Row(kind, at, dict(zip(ROWS[kind], fields)))


def answer(at, addresses, resolver="keeps", rcode="NOERROR", steward="s1"):
    return row("answer", at, "desk0", resolver, steward, rcode, addresses, 1, 0.01)


def sent(at, address, resolver="keeps"):
    return row("try", at, "r1", "look", "desk0", resolver, "first", address, 0, "sent", True)


def message(at, lines=2, waiting=0.0, held=3, steward="s1"):
    return row("message", at, steward, "desk0", lines, waiting, 1000.0, [held])


def listed(at, phase, correct=True, started=1.0):
    return row("list", at, 1, {"h1": ["a1", phase, started]}, correct)


def check_rows(*rows):
    return check(
        Recording(sorted(rows, key=lambda recorded_row: recorded_row.at), 0), LIMITS, {"look": 2.0}
    )


class RuleTest(unittest.TestCase):
    """Each check finds a breach of its rule and accepts recordings without one."""

    def broken_rules(self, *rows):
        return [finding.rule[0] for finding in check_rows(*rows).findings if finding.breaches]

    def test_clean_recording_breaks_no_rule(self):
        self.assertEqual(
            self.broken_rules(answer(1, ["a1"]), message(1), listed(0, "ready"), sent(2, "a1")), []
        )

    def test_availability_view_without_entry_for_too_long_is_found(self):
        self.assertEqual(self.broken_rules(message(1, held=0), message(5.1, held=2)), ["1"])
        self.assertEqual(self.broken_rules(message(1, held=0), message(4.9, held=2)), [])
        self.assertEqual(
            self.broken_rules(message(1, held=0), answer(9, ["a1"], steward="s2")), ["1"]
        )
        self.assertEqual(
            self.broken_rules(*(answer(at, [], rcode="SERVFAIL") for at in (1, 3, 5.5))), ["1"]
        )
        self.assertEqual(
            self.broken_rules(answer(1, [], rcode="SERVFAIL"), answer(2, ["a1"]), answer(6, [])), []
        )

    def test_availability_of_a_killed_controller_is_not_checked(self):
        killed = row("steward", 2, "s1", "killed")
        self.assertEqual(
            self.broken_rules(message(1, held=0), killed, answer(9, ["a1"], steward="s2")), []
        )

    def test_effect_that_happens_twice_is_found(self):
        effects = [row("effect", at, "h1", "r1", "look", "uniqued") for at in (1, 2)]
        self.assertEqual(self.broken_rules(*effects), ["2"])
        self.assertEqual(
            self.broken_rules(
                *(row("effect", at, "h1", "r1", "look", "replayable") for at in (1, 2))
            ),
            [],
        )

    def test_drain_send_after_grace_is_found(self):
        drained = [listed(0, "ready"), listed(10, "draining")]
        self.assertEqual(self.broken_rules(*drained, sent(12.9, "a1")), [])
        self.assertEqual(self.broken_rules(*drained, sent(13.1, "a1")), ["3"])
        self.assertEqual(self.broken_rules(*drained, listed(11, "ready"), sent(14, "a1")), [])

    def test_drain_stale_resolvers_are_counted_apart(self):
        report = check_rows(
            listed(0, "ready"),
            listed(10, "gone"),
            sent(15, "a1", "tenfold"),
            sent(11, "a1", "tenfold"),
        )
        self.assertTrue(report.all_rules_kept)
        self.assertEqual(report.late_sends["tenfold"], {"sends": 2, "after grace": 1, "worst": 2.0})

    def test_drain_in_a_list_replaced_before_it_was_read_is_ignored(self):
        replacement = listed(10.1, "draining", correct=False)
        self.assertEqual(
            self.broken_rules(
                listed(0, "ready"), listed(10, "draining"), replacement, sent(14, "a1")
            ),
            [],
        )

    def test_drain_ends_with_an_incorrect_list_but_not_with_an_older_one(self):
        incorrect = row("list", 11, 1, {"h1": ["a1", "ready", 1.0]}, False)
        self.assertEqual(
            self.broken_rules(
                listed(0, "ready"), listed(10, "draining"), incorrect, sent(14, "a1")
            ),
            [],
        )
        old = row("list", 11, 0, {"h1": ["a1", "ready", 1.0]}, False)
        self.assertEqual(
            self.broken_rules(listed(0, "ready"), listed(10, "draining"), old, sent(14, "a1")),
            ["3"],
        )

    def test_drain_in_an_incorrect_list_is_ignored(self):
        self.assertEqual(
            self.broken_rules(listed(0, "ready"), listed(1, "gone", correct=False), sent(9, "a1")),
            [],
        )

    def test_slow_start_overloaded_endpoint_is_found(self):
        list_row = listed(0, "ready")
        self.assertEqual(
            self.broken_rules(
                list_row, row("cold", 4, "h1", 1.2, 0.9), row("tipped", 4, "h1", 0.9)
            ),
            ["4"],
        )
        self.assertEqual(
            check_rows(list_row, row("cold", 4, "h1", 0.4, 0.9)).findings[3].fraction_of_limit, 0.4
        )

    def test_slow_start_overload_before_the_start_was_listed_is_counted_apart(self):
        restart = listed(0, "ready"), listed(10, "ready", started=9.0)
        self.assertEqual(self.broken_rules(*restart, row("tipped", 13.5, "h1", 9.0)), ["4"])
        self.assertEqual(
            self.broken_rules(restart[0], row("tipped", 1, "h1", 0.9)), ["4"]
        )  # controllers that have a new endpoint in a table know that it is cold
        report = check_rows(*restart, row("cold", 12, "h1", 1.2, 9.0), row("tipped", 12, "h1", 9.0))
        self.assertTrue(report.all_rules_kept)
        self.assertIn("1 overloaded before", report.findings[3].summary)
        self.assertEqual(
            self.broken_rules(restart[0], row("tipped", 20, "h1", 15.0)), []
        )  # a start that no list showed

    def test_channel_queue_or_messages_above_their_limits_are_found(self):
        self.assertEqual(self.broken_rules(message(1, waiting=1001.0)), ["5"])
        self.assertEqual(self.broken_rules(*(message(at) for at in range(6))), ["5"])
        self.assertEqual(self.broken_rules(*(message(at * 4) for at in range(6))), [])

    def test_service_counts_gain_by_request_class(self):
        requests = [
            row("req", 1, f"r{number}", "look", "desk0", "keeps", "first", outcome, 0.5, 1, gain)
            for number, (outcome, gain) in enumerate(
                (("done", 2.0), ("late", 0.2), ("timed out", 0.0))
            )
        ]
        self.assertAlmostEqual(check_rows(*requests).service["look"]["part"], 2.2 / 6)


class RecordingTest(unittest.TestCase):
    def test_incomplete_row_at_the_end_is_skipped(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.rec"
            recorder = Recorder(path)
            for at in range(50):
                recorder.write_row("tipped", float(at), f"h{at}", 0.0)
            recorder.flush()
            flushed_data = path.read_bytes()
            self.assertEqual(len(read_folder(folder).rows), 50)
            recorder.write_row("tipped", 50.0, "h50", 0.0)
            recorder.close()
            path.write_bytes(path.read_bytes()[: len(flushed_data) + 3])
            self.assertEqual(len(read_folder(folder).rows), 50)

    def test_row_with_a_wrong_number_of_fields_is_refused(self):
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(ValueError):
            recorder = Recorder(Path(folder) / "a.rec")
            try:
                recorder.write_row("tipped", 1.0)
            finally:
                recorder.close()


class PublishedTablesTest(unittest.TestCase):
    """Tables that proxies hold, compared with the tables that controllers published."""

    def broken_rules(self, *rows):
        return [finding.rule[0] for finding in check_rows(*rows).findings if finding.breaches]

    def held(self, at, serial=1, digest="d1", sound=True, addresses=("a1",)):
        return row("held", at, "agent0", "s1", 1, serial, digest, sound, list(addresses))

    def published(self, at, serial=1, digest="d1", age=5.0):
        return row("published", at, "s1", "agent0", 1, serial, digest, age)

    joined = staticmethod(lambda at: row("stream", at, "agent0", "s1", "joined"))

    def order(self, at):
        return row("order", at, "agent0", "s1", 1, 1, "applied", 1)

    def test_proxy_that_ends_on_another_table_is_found(self):
        start = [
            self.joined(0),
            self.order(0),
            self.held(1),
            row("stream", 11, "agent0", "s1", "lost"),
        ]
        self.assertEqual(self.broken_rules(*start, self.published(10)), [])
        self.assertEqual(
            self.broken_rules(*start, self.published(10, serial=2, digest="d2")), ["7"]
        )
        self.assertEqual(self.broken_rules(*start, self.published(10, digest="d2")), ["7"])
        self.assertEqual(
            self.broken_rules(*start, self.published(10, serial=2, digest="d2", age=0.1)), []
        )  # the new version may not have arrived yet

    def test_table_that_does_not_match_its_digest_is_found(self):
        self.assertEqual(
            self.broken_rules(self.joined(0), self.order(0), self.held(1, sound=False)), ["7"]
        )

    def test_removed_endpoint_past_the_grace_is_found_unless_the_controller_could_not_know(self):
        drained = [self.joined(0), self.order(0), listed(0, "ready"), listed(10, "draining")]
        self.assertEqual(self.broken_rules(*drained, self.held(12)), [])
        self.assertEqual(self.broken_rules(*drained, self.held(14)), ["7"])
        incorrect = row("list", 13.5, 0, {"h1": ["a1", "ready", 1.0]}, False)
        frozen = [row("steward", 9, "s1", "frozen"), row("steward", 13.6, "s1", "woken")]
        self.assertEqual(self.broken_rules(*drained, incorrect, *frozen, self.held(14)), [])
        self.assertEqual(self.broken_rules(*drained, incorrect, self.held(14)), ["7"])
