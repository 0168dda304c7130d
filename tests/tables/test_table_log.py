"""The table log on disk: restarts, damage, size limits and failing disks."""

import errno
import os
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from peatlead.tables import table_log
from peatlead.tables.history import HistoryStore
from peatlead.tables.log_records import PublishedRecord, RecordFramer, read_segment
from peatlead.tables.table_log import TableLog
from peatlead.tables.version import Version


class TableLogTest(unittest.TestCase):
    def setUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self.temporary.cleanup)
        self.folder, self.events = Path(self.temporary.name) / "tables", []

    def open_log(self, **limits):
        """Restore and start a log with a store of these limits. Return the log and the problems."""
        log = TableLog(
            self.folder,
            HistoryStore(**limits),
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.addCleanup(log.close)
        problems = log.restore()
        log.start(0.0)
        return log, problems

    def limit_segment_size(self, size):
        """Set the size in bytes above which the log starts a new segment."""
        patch = mock.patch.object(table_log, "SEGMENT_BYTES_MAX", size)
        patch.start()
        self.addCleanup(patch.stop)

    def publish(self, log, count, name="p", first=1, at=0.0):
        """Commit and record `count` versions, from the serial `first`, and flush the log."""
        for serial in range(first, first + count):
            log.record_version(
                name,
                log.store.commit(
                    name,
                    Version(1, serial),
                    at + serial,
                    (f"cause {serial}",),
                    {f"line/k/z/h{serial % 7}:1": serial},
                ),
            )
        log.flush(at)

    def assert_same_history(self, first, second, name="p"):
        expected, actual = first.store.histories[name], second.store.histories[name]
        self.assertEqual(
            (expected.items, expected.newest_version, str(expected.digest)),
            (actual.items, actual.newest_version, str(actual.digest)),
        )
        self.assertEqual(list(expected.entries), list(actual.entries))

    def test_restart_restores_versions_and_notes(self):
        log, _ = self.open_log()
        for batch in range(4):
            self.publish(log, 10, first=batch * 10 + 1)
        log.record_note("boots", b"7")
        log.flush(1.0)
        restarted, problems = self.open_log()  # the first log was killed: its file was never closed
        self.assertEqual(problems, [])
        self.assert_same_history(log, restarted)
        self.assertEqual(restarted.notes, {"boots": b"7"})
        third, problems = self.open_log()
        self.assertEqual(problems, [])
        self.assert_same_history(log, third)

    def test_truncated_segment_is_read_up_to_the_last_whole_frame(self):
        log, _ = self.open_log()
        for batch in range(6):
            self.publish(log, 3, first=batch * 3 + 1)
        path = max(self.folder.glob("*.log"))
        original_data = path.read_bytes()
        original_entries = list(log.store.histories["p"].entries)
        for size in range(0, len(original_data), 7):
            path.write_bytes(original_data[:size])
            reader = TableLog(self.folder, HistoryStore(), None)
            reader.restore()
            restored_entries = (
                list(reader.store.histories["p"].entries) if reader.store.histories else []
            )
            self.assertEqual(restored_entries, original_entries[: len(restored_entries)])
            self.assertEqual(len(restored_entries) % 3, 0)

    def test_any_flipped_bit_is_detected_and_ends_reading(self):
        log, _ = self.open_log()
        for batch in range(5):
            self.publish(log, 3, first=batch * 3 + 1)
        path = max(self.folder.glob("*.log"))
        original_data, original_entries = path.read_bytes(), list(log.store.histories["p"].entries)
        rng = random.Random(5)
        for _ in range(200):
            offset = rng.randrange(len(original_data))
            path.write_bytes(
                original_data[:offset]
                + bytes([original_data[offset] ^ 1 << rng.randrange(8)])
                + original_data[offset + 1 :]
            )
            reader = TableLog(self.folder, HistoryStore(), None)
            problems = reader.restore()
            self.assertTrue(problems, f"flipped bit at byte {offset} was not detected")
            restored_entries = (
                list(reader.store.histories["p"].entries) if reader.store.histories else []
            )
            self.assertEqual(restored_entries, original_entries[: len(restored_entries)])

    def test_repeated_missing_and_foreign_frames_have_wrong_checksums(self):
        framer, other = RecordFramer(), RecordFramer()
        frames = [
            framer.frame([PublishedRecord("p", 1, serial, 0.0, [], {"level/k": serial})])
            for serial in (1, 2, 3)
        ]
        foreign = other.frame([PublishedRecord("p", 1, 9, 0.0, [], {"level/k": 9})])
        header_line = framer.header_line()
        self.assertEqual(len(read_segment(header_line + b"".join(frames)).records), 3)
        for frames_read in (
            [frames[0], frames[0]],
            [frames[0], frames[2]],
            [frames[0], foreign],
            [frames[1]],
        ):
            segment = read_segment(header_line + b"".join(frames_read))
            self.assertLessEqual(len(segment.records), 1)
            self.assertIn("checksum", segment.damage)

    def test_files_of_other_formats_are_reported_and_not_changed(self):
        self.folder.mkdir()
        for name, data in (
            ("00000001.log", b"peatlead-tables 0\nwhatever"),
            ("00000002.log", b"junk"),
            ("00000003.log", b""),
            ("notes.txt", b"x"),
        ):
            (self.folder / name).write_bytes(data)
        log, problems = self.open_log()
        foreign = "not a table log"
        self.assertEqual(
            [reason for _, reason in problems], ["format 0: expected 1", foreign, foreign]
        )
        self.publish(log, 2)
        self.assertEqual((self.folder / "00000002.log").read_bytes(), b"junk")

    def test_damaged_segment_loses_only_its_own_versions(self):
        self.limit_segment_size(600)
        log, _ = self.open_log()
        for batch in range(40):
            self.publish(log, 3, first=batch * 3 + 1)
        files = sorted(self.folder.glob("*.log"))
        self.assertGreater(len(files), 3)
        data = files[1].read_bytes()
        files[1].write_bytes(data[: len(data) // 2] + b"\0" + data[len(data) // 2 + 1 :])
        restarted, problems = self.open_log()
        self.assertTrue(any("checksum" in reason for _, reason in problems))
        original, restored = log.store.histories["p"], restarted.store.histories["p"]
        self.assertEqual(
            (original.items, original.newest_version), (restored.items, restored.newest_version)
        )
        known = {entry.version for entry in restored.entries}
        self.assertLess(len(known), len(original.entries))
        for version in known:
            self.assertEqual(restored.items_at_version(version), original.items_at_version(version))

    def test_pruning_keeps_all_segments_that_stored_versions_need(self):
        self.limit_segment_size(900)
        log, _ = self.open_log(versions_per_proxy=30)
        for batch in range(100):
            self.publish(log, 3, first=batch * 3 + 1)
        self.assertLess(len(list(self.folder.glob("*.log"))), 12)
        restarted, problems = self.open_log(versions_per_proxy=30)
        self.assertEqual(problems, [])
        self.assert_same_history(log, restarted)

    def test_disk_limit_drops_the_oldest_versions_and_segments(self):
        self.limit_segment_size(900)
        log, _ = self.open_log()
        log.disk_bytes_max = 3000
        for batch in range(200):
            self.publish(log, 3, first=batch * 3 + 1)
        self.assertLess(sum(path.stat().st_size for path in self.folder.glob("*.log")), 4500)
        restarted, _ = self.open_log()
        self.assert_same_history(log, restarted)

    def test_full_disk_loses_versions_on_disk_but_none_in_memory(self):
        log, _ = self.open_log()
        self.publish(log, 5)
        segment_file = log.segment.file

        class FullDisk:
            capacity = 30

            def write(self, data):
                if not self.capacity:
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
                data, self.capacity = data[: self.capacity], 0
                return segment_file.write(data)

            def __getattr__(self, name):
                return getattr(segment_file, name)

        log.segment.file = FullDisk()
        self.publish(log, 5, first=6, at=1.0)
        self.assertIn("No space", log.failure)
        self.publish(log, 5, first=11, at=2.0)
        # Publishing continues.
        self.assertEqual(log.store.histories["p"].newest_version, Version(1, 15))
        self.publish(log, 2, first=16, at=7.0)
        self.assertIsNone(log.failure)
        self.assertEqual(
            [event for event, _ in self.events],
            ["table log write failed", "table log writable again"],
        )
        self.publish(log, 1, first=18, at=8.0)
        restarted, problems = self.open_log()
        self.assertTrue(any("torn" in reason for _, reason in problems))
        original, restored = log.store.histories["p"], restarted.store.histories["p"]
        self.assertEqual(
            (original.items, original.newest_version), (restored.items, restored.newest_version)
        )
        self.assertEqual(
            restored.items_at_version(Version(1, 3)), original.items_at_version(Version(1, 3))
        )

    def test_publishing_continues_where_the_folder_cannot_be_created(self):
        Path(self.temporary.name, "file").write_text("x")
        self.folder = Path(self.temporary.name, "file", "tables")
        log, _ = self.open_log()
        self.publish(log, 3)
        self.assertTrue(log.failure)
        self.assertEqual(log.store.histories["p"].newest_version, Version(1, 3))

    def test_restored_backup_is_read_and_new_versions_continue(self):
        log, _ = self.open_log()
        self.publish(log, 5)
        backup = {path: path.read_bytes() for path in self.folder.glob("*.log")}
        self.publish(log, 5, first=6)
        for path, data in backup.items():
            path.write_bytes(data)
        restarted, _ = self.open_log()
        self.assertEqual(restarted.store.histories["p"].newest_version, Version(1, 5))
        # The proxy already has version 1.10, so that it joins with a higher epoch.
        restarted.store.commit("p", Version(2, 1), 3.0, (), {"level/k": 1})
