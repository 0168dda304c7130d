"""Versions of the zone: serials, differences and digests."""

import unittest

import dns.name
import dns.zone
from hypothesis import given, strategies

from peatlead.dns import zone as zone_module
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


def make_history(serial=0, controller_index=0, controller_count=1):
    return ZoneHistory(
        ORIGIN,
        lambda number: f"ns1.example.org. h.example.org. {number} 60 10 600 5",
        Serials(controller_index, controller_count),
        serial,
    )


class SerialsTest(unittest.TestCase):
    def test_serials_are_compared_according_to_rfc_1982(self):
        self.assertTrue(is_newer(1, 0xFFFFFFFF))
        self.assertFalse(is_newer(0xFFFFFFFF, 1))
        self.assertFalse(is_newer(5, 5))
        self.assertFalse(is_newer(0, 1 << 31) or is_newer(1 << 31, 0))  # their order is undefined

    @given(strategies.integers(0, 2**32 - 1), strategies.integers(1, 9))
    def test_controllers_issue_different_serials_that_are_newer_than_any_given_serial(
        self, serial, controller_count
    ):
        next_serials = [
            Serials(index, controller_count).next_own_serial(serial)
            for index in range(controller_count)
        ]
        self.assertEqual(len(set(next_serials)), controller_count)
        for index, next_serial in enumerate(next_serials):
            self.assertTrue(is_newer(next_serial, serial) and next_serial)
            self.assertTrue(Serials(index, controller_count).is_own(next_serial))


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
                removed, added = history.condensed_difference(version)
                self.assertLessEqual(removed, records)
                self.assertEqual((records - removed) | added, history.records)
        self.assertIsNone(history.condensed_difference((history.serial + 1) % 2**32))

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
            f"{name} {ttl} IN {rtype} {rdata}" for name, ttl, rtype, rdata in history.records
        )
        zone = dns.zone.from_text(text, ORIGIN, relativize=True)
        zone.verify_digest()
        zone.delete_rdataset("d1.api", "A")
        with self.assertRaises(dns.zone.DigestVerificationFailure):
            zone.verify_digest()

    def test_the_number_of_stored_deltas_is_limited_and_the_oldest_is_dropped(self):
        history = make_history()
        for number in range(zone_module.MAX_DELTAS + 20):
            history.update({NS, ("d1.api", 1, "A", f"10.0.{number // 250}.{number % 250}")})
        self.assertEqual(len(history.deltas), zone_module.MAX_DELTAS)
        self.assertIsNone(history.condensed_difference(1))

    def test_the_next_serial_follows_a_newer_serial_of_a_secondary(self):
        history = make_history(controller_index=1, controller_count=2)
        history.update({NS})
        self.assertTrue(history.advance_serial(1000))
        self.assertEqual(history.serial, 1001)
        self.assertFalse(history.advance_serial(1000))
        self.assertIsNone(history.condensed_difference(999))

    def test_serials_continue_after_a_restart_without_the_stored_deltas(self):
        first = make_history()
        for number in range(5):
            first.update({NS, ("d1.api", 1, "A", f"10.0.0.{number + 1}")})
        restarted = make_history(first.serial)
        restarted.update({NS})
        self.assertTrue(is_newer(restarted.serial, first.serial))
        # The secondary therefore gets a full transfer.
        self.assertIsNone(restarted.condensed_difference(first.serial))
