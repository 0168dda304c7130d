"""Pin targets: lookup, storage and exchange between controllers."""

import unittest
from types import SimpleNamespace

import msgspec

from peatlead.controller.pin_targets import (
    PastTable,
    PinTargets,
    read_announcement,
    write_announcement,
)
from peatlead.tables.history import HistoryStore
from peatlead.tables.pins import Pins
from peatlead.tables.table_log import TableLog
from peatlead.tables.version import Version

LINE = "line/look/north/10.0.0.1:80"
PROXY = "p0"


class PinTargetsTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        controller = SimpleNamespace(
            log=lambda event, **fields: self.events.append(event),
            loop=SimpleNamespace(time=lambda: 100.0),
            gossip=None,
        )
        self.pins = Pins("ns1")
        self.store = HistoryStore()
        self.log = TableLog(None, self.store, controller.log)
        self.targets = PinTargets(controller, self.pins, self.store, self.log, lambda: 1000.0)
        pin = self.pins.make(100.0, "all", target="back", target_argument="60")
        self.active = self.pins.by_id[pin.id]

    def receive_target(self, version, weight, pin_id=None):
        """Receive an announcement of a table with one line from another controller."""
        key = pin_id or self.active.pin.id, PROXY
        self.targets.receive_announcement(
            write_announcement(key, PastTable(version, {LINE: weight}))
        )

    def test_an_announcement_is_decoded_to_its_lines_without_other_items(self):
        past = PastTable(Version(3, 4), {LINE: 500, "level/look": 1})
        key, received = read_announcement(write_announcement(("ns1-1", PROXY), past))
        self.assertEqual(key, ("ns1-1", PROXY))
        self.assertEqual(received, PastTable(Version(3, 4), {LINE: 500}))

    def test_of_several_announcements_the_highest_version_is_used(self):
        for version, weight in ((Version(2, 1), 100), (Version(3, 1), 200), (Version(1, 9), 300)):
            self.receive_target(version, weight)
        self.assertEqual(self.targets.target_lines(self.active, PROXY), {LINE: 200})

    def test_an_announcement_replaces_an_unknown_target(self):
        self.assertEqual(self.targets.target_lines(self.active, PROXY), {})
        self.assertEqual(self.targets.unknown_targets, {(self.active.pin.id, PROXY)})
        self.receive_target(Version(2, 1), 100)
        self.assertEqual(self.targets.target_lines(self.active, PROXY), {LINE: 100})
        self.assertFalse(self.targets.unknown_targets)

    def test_announcements_for_unknown_pins_are_dropped(self):
        self.receive_target(Version(2, 1), 100, pin_id="ns9-1")
        self.assertFalse(self.targets.announced_targets)

    def test_a_table_older_than_the_pin_is_found_by_its_time(self):
        self.store.commit(PROXY, Version(1, 1), 900.0, (), {LINE: 100})
        self.store.commit(PROXY, Version(1, 2), 990.0, (), {LINE: 200})
        found = self.targets.find_past_table(self.active, PROXY)
        self.assertEqual(found, PastTable(Version(1, 1), {LINE: 100}))

    def test_the_targets_of_a_forgotten_pin_are_also_dropped_from_disk(self):
        self.receive_target(Version(2, 1), 100)
        self.targets.target_lines(self.active, PROXY)
        log_key = f"wish/{self.active.pin.id}/{PROXY}"
        self.assertEqual(msgspec.msgpack.decode(self.log.notes[log_key]), {LINE: 100})
        self.pins.by_id.clear()
        self.targets.forget_ended_pins()
        self.assertNotIn(log_key, self.log.notes)
        self.assertFalse(self.targets.announced_targets)
