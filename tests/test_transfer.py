import asyncio
import random
import unittest

import dns.message
import dns.name
import dns.rdatatype
import dns.zone
from hypothesis import given
from hypothesis import strategies as some

from peatlead.dns import zone as zones
from peatlead.dns.zone import Serials, ZoneHistory, newer
from peatlead.standin.secondary import Secondary

from .places import SCRIPT, play, until

ORIGIN = dns.name.from_text("example.org.")
SECONDARY = "127.1.0.77"
RECORDS = some.frozensets(
    some.sampled_from(
        [(f"d{at}.api", 1, "A", f"10.0.0.{host}") for at in range(3) for host in range(1, 5)]
    ),
    max_size=8,
)
NS = ("@", 60, "NS", "ns1.example.org.")


def history(serial=0, index=0, many=1):
    return ZoneHistory(
        ORIGIN,
        lambda at: f"ns1.example.org. h.example.org. {at} 60 10 600 5",
        Serials(index, many),
        serial,
    )


class Numbers(unittest.TestCase):
    def test_serials_wrap_as_rfc_1982_says(self):
        self.assertTrue(newer(1, 0xFFFFFFFF))
        self.assertFalse(newer(0xFFFFFFFF, 1))
        self.assertFalse(newer(5, 5))
        self.assertFalse(newer(0, 1 << 31) or newer(1 << 31, 0))  # undefined there: neither

    @given(some.integers(0, 2**32 - 1), some.integers(1, 9))
    def test_stewards_never_share_a_serial_and_each_goes_on_past_any(self, serial, many):
        after = [Serials(at, many).after(serial) for at in range(many)]
        self.assertEqual(len(set(after)), many)
        for at, one in enumerate(after):
            self.assertTrue(newer(one, serial) and one)
            self.assertTrue(Serials(at, many).ours(one))


class Histories(unittest.TestCase):
    @given(some.lists(RECORDS, min_size=2, max_size=10), some.integers(0, 2**32 - 1))
    def test_from_any_kept_serial_the_difference_leads_to_the_whole(self, states, serial):
        made, seen = history(serial), {}
        for state in states:
            made.update({NS, *state})
            seen[made.serial] = made.records
        for serial, records in seen.items():
            if serial != made.serial:
                gone, come = made.since(serial)
                self.assertLessEqual(gone, records)
                self.assertEqual((records - gone) | come, made.records)
        self.assertIsNone(made.since((made.serial + 1) % 2**32))

    def test_the_digest_is_what_another_library_computes(self):
        made = history()
        made.update(
            {
                NS,
                ("d1.api", 1, "A", "10.0.0.1"),
                ("_http._tcp.d1.api", 1, "SRV", "0 5 80 h1.hosts.example.org."),
            }
        )
        text = "\n".join(
            f"{name} {lifetime} IN {rtype} {rdata}" for name, lifetime, rtype, rdata in made.records
        )
        zone = dns.zone.from_text(text, ORIGIN, relativize=True)
        zone.verify_digest()
        zone.delete_rdataset("d1.api", "A")
        with self.assertRaises(dns.zone.DigestVerificationFailure):
            zone.verify_digest()

    def test_what_is_kept_is_bounded_oldest_first(self):
        made = history()
        for at in range(zones.KEPT_MOST + 20):
            made.update({NS, ("d1.api", 1, "A", f"10.0.{at // 250}.{at % 250}")})
        self.assertEqual(len(made.deltas), zones.KEPT_MOST)
        self.assertIsNone(made.since(1))

    def test_one_that_is_ahead_is_passed(self):
        made = history(index=1, many=2)
        made.update({NS})
        self.assertTrue(made.pass_by(1000))
        self.assertEqual(made.serial, 1001)
        self.assertFalse(made.pass_by(1000))
        self.assertIsNone(made.since(999))


class Served(unittest.TestCase):
    """A steward, and a plain secondary on loopback."""

    def play(self, case, **more):
        script = SCRIPT.replace(
            "open_views = 4", f'open_views = 4, secondaries = ["{SECONDARY}:{{grpc}}"]'
        )

        async def whole(world):
            steward = await world.steward()
            second = Secondary(ORIGIN, (SECONDARY, world.port + 2), ("127.1.0.1", world.port))
            await second.open()
            world.closing.append(second.close)
            await until(
                lambda: second.serial is not None
                and second.serial == steward.secondaries.history.serial
            )
            await case(world, steward, second)

        play(whole, script=script, **more)

    def test_it_is_told_fetches_what_differs_and_holds_checked_versions(self):
        async def case(world, steward, second):
            await until(lambda: len(second.zone.get_rdataset("desk0.api", "A") or ()) == 4)
            first = second.serial
            self.assertTrue(second.sound())
            world.phases["h0"] = "draining"
            world.write()
            await until(lambda: second.zone.get_node("h0.hosts") is None)
            self.assertNotIn(
                "h0.hosts", str(second.zone.get_rdataset("_http._tcp.desk0.api", "SRV"))
            )
            await until(lambda: second.serial == steward.secondaries.history.serial)
            self.assertTrue(newer(second.serial, first) and second.sound())
            self.assertEqual(set(second.fetched), {"done"})

        self.play(case)

    def test_one_that_missed_many_is_served_and_one_whose_memory_is_bad_gets_the_whole(self):
        async def case(world, steward, second):
            second.zone.delete_rdataset("desk0.api", "A")  # its memory went bad
            world.phases["h1"] = "draining"
            world.write()
            await until(
                lambda: newer(steward.secondaries.history.serial, second.serial)
                or second.fetched["done"] > 1
            )
            await until(
                lambda: second.serial == steward.secondaries.history.serial
                and second.zone.get_rdataset("desk0.api", "A")
            )
            self.assertTrue(second.sound())

        self.play(case)

    def test_a_steward_that_was_set_back_passes_what_its_secondary_holds(self):
        async def case(world, steward, second):
            soa = second.zone.get_rdataset("@", "SOA")
            ahead = soa[0].replace(serial=soa[0].serial + 100_000)
            soa.clear()
            soa.add(ahead, 60)
            second.fetch()
            await until(lambda: newer(steward.secondaries.history.serial, ahead.serial))
            await until(lambda: second.serial == steward.secondaries.history.serial)
            self.assertTrue(second.sound())
            self.assertEqual(steward.secondaries.counts["passed"], 1)
            self.assertEqual(steward.published.zone_serial(), second.serial)

        self.play(case)

    def test_strangers_udp_and_odd_queries(self):
        async def case(world, steward, second):
            for rdtype in ("AXFR", "IXFR"):
                query = dns.message.make_query(ORIGIN, rdtype)
                answer = steward.answers.respond(query.to_wire(), "10.9.9.9", True)
                self.assertEqual(dns.message.from_wire(answer[0]).rcode(), 5)
            query = dns.message.make_query(ORIGIN, "IXFR")  # no SOA in it
            [wire] = steward.answers.respond(query.to_wire(), SECONDARY, True)
            self.assertEqual(dns.message.from_wire(wire).rcode(), 1)
            query = dns.message.make_query(ORIGIN, "AXFR")
            self.assertEqual(
                dns.message.from_wire(steward.answers.respond(query.to_wire(), SECONDARY)).rcode(),
                5,
            )
            asked = dns.message.make_query(ORIGIN, "IXFR")
            asked.authority.append(dns.rrset.from_text(ORIGIN, 60, "IN", "SOA", "a. b. 7 1 1 1 1"))
            told = dns.message.from_wire(steward.answers.respond(asked.to_wire(), SECONDARY))
            self.assertEqual([one.rdtype for one in told.answer], [dns.rdatatype.SOA])

        self.play(case)

    def test_one_that_never_answers_is_given_up(self):
        async def case(world, steward, second):
            second.transport.close()
            places = steward.secondaries
            places.notify(places.places[0], 1, 0.01)
            await until(lambda: places.counts["given up"])
            self.assertFalse(places.waiting)
            second.transport = places.transport  # something to close
            await asyncio.sleep(0)

        self.play(case)


class Rough(asyncio.DatagramProtocol):
    """A way for datagrams that drops, doubles, holds up and so reorders them."""

    def __init__(self, place, chance):
        self.place, self.chance, self.steward, self.did = place, chance, None, set()

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        to = self.steward if peer == self.place else self.place
        self.steward = self.steward if peer == self.place else peer
        drawn = self.chance.random()
        many = 0 if drawn < 0.3 else 2 if drawn < 0.6 else 1
        self.did.add(many)
        for _ in range(many):
            asyncio.get_running_loop().call_later(
                self.chance.uniform(0.0, 0.4), self.send, data, to
            )

    def send(self, data, to):
        if not self.transport.is_closing():
            self.transport.sendto(data, to)


class RoughWay(unittest.TestCase):
    def test_news_that_is_lost_doubled_and_late_ends_on_the_same_checked_version(self):
        script = SCRIPT.replace(
            "open_views = 4", f'open_views = 4, secondaries = ["{SECONDARY}:{{grpc}}"]'
        )

        async def case(world):
            steward = await world.steward()
            second = Secondary(ORIGIN, (SECONDARY, world.port + 3), ("127.1.0.1", world.port))
            await second.open()
            way = Rough((SECONDARY, world.port + 3), random.Random(3))
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: way, local_addr=(SECONDARY, world.port + 2)
            )
            world.closing += [second.close, transport.close]
            await until(lambda: second.serial is not None, 30.0)
            await world.shake(12, 0.3)
            await until(
                lambda: second.serial == steward.secondaries.history.serial
                and second.zone.get_node("h1.hosts") is None
                and steward.answers.placed == steward.secondaries.placed,
                30.0,
            )
            self.assertTrue(second.sound())
            self.assertEqual(way.did, {0, 1, 2})
            self.assertEqual(set(second.fetched), {"done"})

        play(case, script=script)


class Restarted(unittest.TestCase):
    def test_serials_go_on_where_they_were(self):
        first = history()
        for at in range(5):
            first.update({NS, ("d1.api", 1, "A", f"10.0.0.{at + 1}")})
        again = history(first.serial)
        again.update({NS})
        self.assertTrue(newer(again.serial, first.serial))
        self.assertIsNone(
            again.since(first.serial)
        )  # what led there went with the process: the whole is sent
