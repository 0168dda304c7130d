import errno
import os
import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as some

from peatlead.tables import table_log
from peatlead.tables.history import History, Store, UnknownVersionError
from peatlead.tables.log_records import PublishedRecord, RecordFramer, read_segment
from peatlead.tables.table_log import TableLog
from peatlead.tables.version import Digest, Version, changes, line_key, read_line_key

KEYS = some.sampled_from([f"line/k/z/10.0.0.{at}:1" for at in range(6)] + ["level/k", "retry/k"])
STATES = some.lists(
    some.dictionaries(KEYS, some.integers(1, 4), max_size=6), min_size=1, max_size=20
)


def grown(states, store=None, name="p", epoch=1):
    """A store with a version for each state."""
    store = store or Store()
    for at, state in enumerate(states):
        store.commit(
            name,
            Version(epoch, at + 1),
            float(at),
            (f"cause {at}",),
            changes(store.history(name).items, state),
        )
    return store


class Versions(unittest.TestCase):
    @given(STATES)
    def test_every_version_comes_back_as_it_was_with_its_digest(self, states):
        history = grown(states).histories["p"]
        for at, state in enumerate(states):
            version = Version(1, at + 1)
            self.assertEqual(history.at_version(version), state)
            self.assertEqual(history.digest_at(version), str(Digest(state)))
            self.assertEqual(history.at_time(at + 0.5), (version, state))

    @given(STATES, some.randoms())
    def test_a_digest_is_of_the_state_alone_whatever_led_there(self, states, chance):
        last = states[-1]
        other = grown([*chance.sample(states, len(states)), last])
        self.assertEqual(str(grown(states).histories["p"].digest), str(other.histories["p"].digest))

    def test_a_digest_tells_a_changed_weight_a_lost_line_and_a_swapped_one(self):
        items = {line_key("k", "z", "10.0.0.1", 1): 1000, line_key("k", "z", "10.0.0.2", 1): 2000}
        one, two = items
        odd = [{one: 1001, two: 2000}, {one: 1000}, {one: 2000, two: 1000}, {**items, "level/k": 1}]
        self.assertNotIn(str(Digest(items)), [str(Digest(other)) for other in odd])

    def test_a_version_never_goes_back(self):
        history = History()
        history.commit(Version(2, 5), 0.0, (), {"level/k": 1})
        for old in (Version(2, 5), Version(2, 4), Version(1, 900)):
            with self.assertRaises(ValueError):
                history.commit(old, 1.0, (), {"level/k": 2})
        history.commit(Version(3, 1), 1.0, (), {"level/k": 2})
        self.assertEqual(history.items, {"level/k": 2})

    def test_a_clock_that_was_set_back_changes_neither_order_nor_bounds(self):
        store = Store(age_most=50.0)
        for at, stamp in enumerate((1000.0, 1010.0, 200.0, 210.0, 220.0)):
            store.commit("p", Version(1, at + 1), stamp, (), {"level/k": at})
        self.assertEqual(store.many, 5)
        self.assertEqual([entry.version.serial for _, entry in store.between()], [1, 2, 3, 4, 5])
        self.assertEqual(store.histories["p"].at_time(215.0)[0], Version(1, 4))

    def test_line_keys_come_back_and_odd_ones_are_refused(self):
        for address in ("10.0.0.1", "2001:db8::7"):
            self.assertEqual(
                read_line_key(line_key("k", "a/b", address, 80)), ("k", "a/b", address, 80)
            )
        for odd in (
            "",
            "line",
            "line/k/z/x",
            "line/k/z/x:0",
            "line/k/z/x:99999",
            "level/k",
            "line//z/x:1",
        ):
            with self.assertRaises(ValueError):
                read_line_key(odd)


class Bounds(unittest.TestCase):
    def test_count_age_and_bytes_drop_the_oldest_first_and_never_the_newest_state(self):
        for bounds in ({"each_most": 3}, {"most": 3}, {"age_most": 2.5}, {"bytes_most": 1100}):
            store = grown([{"level/k": at} for at in range(1, 11)], Store(**bounds))
            history = store.histories["p"]
            self.assertEqual(
                [entry.version.serial for entry in history.entries], [8, 9, 10], bounds
            )
            self.assertEqual(history.items, {"level/k": 10})
            self.assertEqual(
                history.at_version(Version(1, 7)), {"level/k": 7}
            )  # the farthest way back
            with self.assertRaises(UnknownVersionError):
                history.at_version(Version(1, 6))
            with self.assertRaises(UnknownVersionError):
                history.at_time(5.0)
            self.assertEqual((store.many, store.dropped), (3, 7))

    def test_of_proxies_that_went_those_gone_for_longest_are_forgotten(self):
        store = Store(names_most=3)
        for name in "abc":
            store.commit(name, Version(1, 1), 0.0, (), {"level/k": 1})
        for name in "ba":
            store.left(name)
        store.history("d")
        self.assertEqual(sorted(store.histories), ["a", "c", "d"])
        store.history("a")  # back
        store.history("e")
        self.assertEqual(
            sorted(store.histories), ["a", "c", "d", "e"]
        )  # those that count are never forgotten

    def test_many_versions_of_one_beside_an_old_one_of_another_do_not_pile_up(self):
        store = Store(each_most=10)
        store.commit("idle", Version(1, 1), 0.0, (), {"level/k": 1})
        for at in range(5000):
            store.commit("busy", Version(1, at + 1), 0.0, (), {"level/k": at + 1})
        self.assertLess(len(store.order), 1200)
        self.assertEqual(len(store.between()), 11)


class Disk(unittest.TestCase):
    def setUp(self):
        self.made = tempfile.TemporaryDirectory()
        self.addCleanup(self.made.cleanup)
        self.folder, self.said = Path(self.made.name) / "tables", []

    def open(self, **bounds):
        log = TableLog(
            self.folder, Store(**bounds), lambda event, **more: self.said.append((event, more))
        )
        self.addCleanup(log.close)
        wrong = log.recall()
        log.start(0.0)
        return log, wrong

    def publish(self, log, many, name="p", first=1, at=0.0):
        for one in range(first, first + many):
            log.publish(
                name,
                log.store.commit(
                    name,
                    Version(1, one),
                    at + one,
                    (f"cause {one}",),
                    {f"line/k/z/h{one % 7}:1": one},
                ),
            )
        log.flush(at)

    def same(self, one, other, name="p"):
        mine, theirs = one.store.histories[name], other.store.histories[name]
        self.assertEqual(
            (mine.items, mine.last, str(mine.digest)),
            (theirs.items, theirs.last, str(theirs.digest)),
        )
        self.assertEqual(list(mine.entries), list(theirs.entries))

    def test_a_restarted_steward_knows_what_it_had_published(self):
        log, _ = self.open()
        for part in range(4):
            self.publish(log, 10, first=part * 10 + 1)
        log.note("boots", b"7")
        log.flush(1.0)
        again, wrong = self.open()  # the first was killed: it never closed its file
        self.assertEqual(wrong, [])
        self.same(log, again)
        self.assertEqual(again.noted, {"boots": b"7"})
        third, wrong = self.open()
        self.assertEqual(wrong, [])
        self.same(log, third)

    def test_torn_anywhere_what_is_sound_before_it_is_taken(self):
        log, _ = self.open()
        for part in range(6):
            self.publish(log, 3, first=part * 3 + 1)
        path = max(self.folder.glob("*.log"))
        whole = path.read_bytes()
        full = list(log.store.histories["p"].entries)
        for size in range(0, len(whole), 7):
            path.write_bytes(whole[:size])
            fresh = TableLog(self.folder, Store(), None)
            fresh.recall()
            found = list(fresh.store.histories["p"].entries) if fresh.store.histories else []
            self.assertEqual(found, full[: len(found)])
            self.assertEqual(len(found) % 3, 0)

    def test_a_bit_that_flips_anywhere_is_found_and_nothing_past_it_is_taken(self):
        log, _ = self.open()
        for part in range(5):
            self.publish(log, 3, first=part * 3 + 1)
        path = max(self.folder.glob("*.log"))
        whole, full = path.read_bytes(), list(log.store.histories["p"].entries)
        chance = random.Random(5)
        for _ in range(200):
            at = chance.randrange(len(whole))
            path.write_bytes(
                whole[:at] + bytes([whole[at] ^ 1 << chance.randrange(8)]) + whole[at + 1 :]
            )
            fresh = TableLog(self.folder, Store(), None)
            wrong = fresh.recall()
            self.assertTrue(wrong, f"a flip at byte {at} went unseen")
            found = list(fresh.store.histories["p"].entries) if fresh.store.histories else []
            self.assertEqual(found, full[: len(found)])

    def test_a_frame_from_elsewhere_or_twice_is_no_frame_of_this_place(self):
        framer, other = RecordFramer(), RecordFramer()
        frames = [
            framer.frame([PublishedRecord("p", 1, at, 0.0, [], {"level/k": at})])
            for at in (1, 2, 3)
        ]
        foreign = other.frame([PublishedRecord("p", 1, 9, 0.0, [], {"level/k": 9})])
        head = framer.head()
        self.assertEqual(len(read_segment(head + b"".join(frames)).records), 3)
        for odd in (
            [frames[0], frames[0]],
            [frames[0], frames[2]],
            [frames[0], foreign],
            [frames[1]],
        ):
            read = read_segment(head + b"".join(odd))
            self.assertLessEqual(len(read.records), 1)
            self.assertIn("checksum", read.why)

    def test_other_formats_are_named_and_left_alone(self):
        self.folder.mkdir()
        for name, data in (
            ("00000001.log", b"peatlead-tables 0\nwhatever"),
            ("00000002.log", b"junk"),
            ("00000003.log", b""),
            ("notes.txt", b"x"),
        ):
            (self.folder / name).write_bytes(data)
        log, wrong = self.open()
        odd = "not a log of tables"
        self.assertEqual([why for _, why in wrong], ["format 0: expected 1", odd, odd])
        self.publish(log, 2)
        self.assertEqual((self.folder / "00000002.log").read_bytes(), b"junk")

    def test_a_middle_segment_gone_bad_costs_its_versions_and_not_the_way_back(self):
        old, table_log.SEGMENT_MOST = table_log.SEGMENT_MOST, 600
        self.addCleanup(setattr, table_log, "SEGMENT_MOST", old)
        log, _ = self.open()
        for part in range(40):
            self.publish(log, 3, first=part * 3 + 1)
        files = sorted(self.folder.glob("*.log"))
        self.assertGreater(len(files), 3)
        data = files[1].read_bytes()
        files[1].write_bytes(data[: len(data) // 2] + b"\0" + data[len(data) // 2 + 1 :])
        again, wrong = self.open()
        self.assertTrue(any("checksum" in why for _, why in wrong))
        mine, theirs = log.store.histories["p"], again.store.histories["p"]
        self.assertEqual((mine.items, mine.last), (theirs.items, theirs.last))
        known = {entry.version for entry in theirs.entries}
        self.assertLess(len(known), len(mine.entries))
        for version in known:
            self.assertEqual(theirs.at_version(version), mine.at_version(version))

    def test_pruned_without_losing_the_way_to_a_version_in_reach(self):
        old, table_log.SEGMENT_MOST = table_log.SEGMENT_MOST, 900
        self.addCleanup(setattr, table_log, "SEGMENT_MOST", old)
        log, _ = self.open(each_most=30)
        for part in range(100):
            self.publish(log, 3, first=part * 3 + 1)
        self.assertLess(len(list(self.folder.glob("*.log"))), 12)
        again, wrong = self.open(each_most=30)
        self.assertEqual(wrong, [])
        self.same(log, again)

    def test_past_the_disks_bound_versions_go_before_segments(self):
        old, table_log.SEGMENT_MOST = table_log.SEGMENT_MOST, 900
        self.addCleanup(setattr, table_log, "SEGMENT_MOST", old)
        log, _ = self.open()
        log.disk_most = 3000
        for part in range(200):
            self.publish(log, 3, first=part * 3 + 1)
        self.assertLess(sum(path.stat().st_size for path in self.folder.glob("*.log")), 4500)
        again, _ = self.open()
        self.same(log, again)

    def test_a_full_disk_costs_versions_on_it_and_nothing_else(self):
        log, _ = self.open()
        self.publish(log, 5)
        real = log.file

        class Full:
            room = 30

            def write(self, data):
                if not self.room:
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
                data, self.room = data[: self.room], 0
                return real.write(data)

            def __getattr__(self, name):
                return getattr(real, name)

        log.file = Full()
        self.publish(log, 5, first=6, at=1.0)
        self.assertIn("No space", log.broken)
        self.publish(log, 5, first=11, at=2.0)
        self.assertEqual(log.store.histories["p"].last, Version(1, 15))  # publishing goes on
        self.publish(log, 2, first=16, at=7.0)
        self.assertIsNone(log.broken)
        self.assertEqual(
            [event for event, _ in self.said], ["tables are not kept", "tables are kept again"]
        )
        self.publish(log, 1, first=18, at=8.0)
        again, wrong = self.open()
        self.assertTrue(any("torn" in why for _, why in wrong))
        mine, theirs = log.store.histories["p"], again.store.histories["p"]
        self.assertEqual((mine.items, mine.last), (theirs.items, theirs.last))
        self.assertEqual(theirs.at_version(Version(1, 3)), mine.at_version(Version(1, 3)))

    def test_a_folder_that_cannot_be_made_is_told_and_service_goes_on(self):
        Path(self.made.name, "file").write_text("x")
        self.folder = Path(self.made.name, "file", "tables")
        log, _ = self.open()
        self.publish(log, 3)
        self.assertTrue(log.broken)
        self.assertEqual(log.store.histories["p"].last, Version(1, 3))

    def test_a_disk_that_was_set_back_is_taken_for_what_it_is(self):
        log, _ = self.open()
        self.publish(log, 5)
        backup = {path: path.read_bytes() for path in self.folder.glob("*.log")}
        self.publish(log, 5, first=6)
        for path, data in backup.items():
            path.write_bytes(data)
        again, _ = self.open()
        self.assertEqual(again.store.histories["p"].last, Version(1, 5))
        # The proxy has seen 1.10: it joins with a higher epoch, and versions go on from there.
        again.store.commit("p", Version(2, 1), 3.0, (), {"level/k": 1})
