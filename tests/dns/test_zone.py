"""Versions of the zone: serials, differences and digests."""

import unittest

import dns.name
import dns.zone
from hypothesis import given, strategies

from peatlead.dns import zone as zones
from peatlead.dns.serials import Serials, is_newer
from peatlead.dns.zone import ZoneHistory

ORIGIN = dns.name.from_text("example.org.")
RECORDS = strategies.frozensets(
    strategies.sampled_from(
        [
            (f"d{view}.api", 1, "A", f"10.0.0.{endpoint}")
            for view in range(3)
            for endpoint in range(1, 5)
        ]
    ),
    max_size=8,
)
NS = ("@", 60, "NS", "ns1.example.org.")


def make_history(serial=0, index=0, many=1):
    return ZoneHistory(
        ORIGIN,
        lambda number: f"ns1.example.org. h.example.org. {number} 60 10 600 5",
        Serials(index, many),
        serial,
    )


class SerialsTest(unittest.TestCase):
    def test_serials_wrap_according_to_rfc_1982(self):
        self.assertTrue(is_newer(1, 0xFFFFFFFF))
        self.assertFalse(is_newer(0xFFFFFFFF, 1))
        self.assertFalse(is_newer(5, 5))
        self.assertFalse(is_newer(0, 1 << 31) or is_newer(1 << 31, 0))  # undefined there: neither

    @given(strategies.integers(0, 2**32 - 1), strategies.integers(1, 9))
    def test_controllers_never_share_a_serial_and_each_can_move_past_any(self, serial, many):
        following = [Serials(index, many).next_after(serial) for index in range(many)]
        self.assertEqual(len(set(following)), many)
        for index, own in enumerate(following):
            self.assertTrue(is_newer(own, serial) and own)
            self.assertTrue(Serials(index, many).is_own(own))


class ZoneHistoryTest(unittest.TestCase):
    @given(strategies.lists(RECORDS, min_size=2, max_size=10), strategies.integers(0, 2**32 - 1))
    def test_the_difference_from_any_stored_serial_leads_to_the_current_zone(
        self, contents, serial
    ):
        history, versions = make_history(serial), {}
        for content in contents:
            history.update({NS, *content})
            versions[history.serial] = history.records
        for version, records in versions.items():
            if version != history.serial:
                removed, added = history.difference_since(version)
                self.assertLessEqual(removed, records)
                self.assertEqual((records - removed) | added, history.records)
        self.assertIsNone(history.difference_since((history.serial + 1) % 2**32))

    def test_dnspython_verifies_the_digest(self):
        history = make_history()
        history.update(
            {
                NS,
                ("d1.api", 1, "A", "10.0.0.1"),
                ("_http._tcp.d1.api", 1, "SRV", "0 5 80 h1.hosts.example.org."),
            }
        )
        text = "\n".join(
            f"{name} {lifetime} IN {rtype} {rdata}"
            for name, lifetime, rtype, rdata in history.records
        )
        zone = dns.zone.from_text(text, ORIGIN, relativize=True)
        zone.verify_digest()
        zone.delete_rdataset("d1.api", "A")
        with self.assertRaises(dns.zone.DigestVerificationFailure):
            zone.verify_digest()

    def test_stored_differences_are_bounded_and_the_oldest_is_dropped(self):
        history = make_history()
        for number in range(zones.MAX_DELTAS + 20):
            history.update({NS, ("d1.api", 1, "A", f"10.0.{number // 250}.{number % 250}")})
        self.assertEqual(len(history.deltas), zones.MAX_DELTAS)
        self.assertIsNone(history.difference_since(1))

    def test_a_secondarys_serial_that_is_ahead_is_passed(self):
        history = make_history(index=1, many=2)
        history.update({NS})
        self.assertTrue(history.advance_past(1000))
        self.assertEqual(history.serial, 1001)
        self.assertFalse(history.advance_past(1000))
        self.assertIsNone(history.difference_since(999))

    def test_serials_continue_after_a_restart_without_the_differences(self):
        first = make_history()
        for number in range(5):
            first.update({NS, ("d1.api", 1, "A", f"10.0.0.{number + 1}")})
        restarted = make_history(first.serial)
        restarted.update({NS})
        self.assertTrue(is_newer(restarted.serial, first.serial))
        self.assertIsNone(restarted.difference_since(first.serial))  # the whole zone is sent
