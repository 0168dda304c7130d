"""The past tables of pins, as controllers exchange them."""

import unittest
from types import SimpleNamespace

import msgspec

from peatlead.controller.pin_targets import (
    PastTable,
    PinTargets,
    read_announcement,
    write_announcement,
)
from peatlead.tables.history import Store
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
        self.store = Store()
        self.log = TableLog(None, self.store, controller.log)
        self.targets = PinTargets(controller, self.pins, self.store, self.log, lambda: 1000.0)
        pin = self.pins.make(100.0, "all", target="back", to="60")
        self.active = self.pins.held[pin.id]

    def announce(self, version, weight, pin_id=None):
        key = pin_id or self.active.pin.id, PROXY
        self.targets.receive(write_announcement(key, PastTable(version, {LINE: weight})))

    def test_an_announcement_survives_the_wire_with_its_lines_alone(self):
        past = PastTable(Version(3, 4), {LINE: 500, "level/look": 1})
        key, received = read_announcement(write_announcement(("ns1-1", PROXY), past))
        self.assertEqual(key, ("ns1-1", PROXY))
        self.assertEqual(received, PastTable(Version(3, 4), {LINE: 500}))

    def test_of_several_announcements_the_highest_version_counts(self):
        for version, weight in ((Version(2, 1), 100), (Version(3, 1), 200), (Version(1, 9), 300)):
            self.announce(version, weight)
        self.assertEqual(self.targets.lines(self.active, PROXY), {LINE: 200})

    def test_an_announcement_replaces_an_unknown_target(self):
        self.assertEqual(self.targets.lines(self.active, PROXY), {})
        self.assertEqual(self.targets.unknown, {(self.active.pin.id, PROXY)})
        self.announce(Version(2, 1), 100)
        self.assertEqual(self.targets.lines(self.active, PROXY), {LINE: 100})
        self.assertFalse(self.targets.unknown)

    def test_announcements_for_pins_that_are_not_known_are_dropped(self):
        self.announce(Version(2, 1), 100, pin_id="ns9-1")
        self.assertFalse(self.targets.offered)

    def test_a_table_older_than_the_pin_is_found_by_its_time(self):
        self.store.commit(PROXY, Version(1, 1), 900.0, (), {LINE: 100})
        self.store.commit(PROXY, Version(1, 2), 990.0, (), {LINE: 200})
        found = self.targets.find(self.active, PROXY)
        self.assertEqual(found, PastTable(Version(1, 1), {LINE: 100}))

    def test_what_belongs_to_a_forgotten_pin_is_dropped_from_disk_too(self):
        self.announce(Version(2, 1), 100)
        self.targets.lines(self.active, PROXY)
        note = f"wish/{self.active.pin.id}/{PROXY}"
        self.assertEqual(msgspec.msgpack.decode(self.log.noted[note]), {LINE: 100})
        self.pins.held.clear()
        self.targets.forget_ended()
        self.assertNotIn(note, self.log.noted)
        self.assertFalse(self.targets.offered)
