"""Zone transfers and NOTIFY between a controller and a secondary over loopback addresses."""

import asyncio
import random
import unittest

import dns.message
import dns.name
import dns.rdatatype

from peatlead.dns.serials import is_newer
from peatlead.standin.secondary import Secondary

from ..standin_fleet import SCRIPT, run_with_standins, until

ORIGIN = dns.name.from_text("example.org.")
SECONDARY = "127.1.0.77"
SCRIPT_WITH_SECONDARY = SCRIPT.replace(
    "open_views = 4", f'open_views = 4, secondaries = ["{SECONDARY}:{{grpc}}"]'
)


class ZoneTransferTest(unittest.TestCase):
    def run_case(self, case, **options):
        """Run case(world, controller, secondary) once the secondary has the current version."""

        async def with_secondary(world):
            controller = await world.start_controller()
            secondary = Secondary(ORIGIN, (SECONDARY, world.port + 2), ("127.1.0.1", world.port))
            await secondary.open()
            world.cleanups.append(secondary.close)
            await until(
                lambda: secondary.serial is not None
                and secondary.serial == controller.secondaries.history.serial
            )
            await case(world, controller, secondary)

        run_with_standins(with_secondary, script=SCRIPT_WITH_SECONDARY, **options)

    def test_a_notified_secondary_fetches_differences_and_verifies_its_versions(self):
        async def case(world, controller, secondary):
            await until(lambda: len(secondary.zone.get_rdataset("desk0.api", "A") or ()) == 4)
            first_serial = secondary.serial
            self.assertTrue(secondary.verify_digest())
            world.phases["h0"] = "draining"
            world.write_list()
            await until(lambda: secondary.zone.get_node("h0.hosts") is None)
            self.assertNotIn(
                "h0.hosts", str(secondary.zone.get_rdataset("_http._tcp.desk0.api", "SRV"))
            )
            await until(lambda: secondary.serial == controller.secondaries.history.serial)
            self.assertTrue(is_newer(secondary.serial, first_serial) and secondary.verify_digest())
            self.assertEqual(set(secondary.fetch_counts), {"done"})

        self.run_case(case)

    def test_a_secondary_with_a_damaged_copy_gets_the_whole_zone(self):
        async def case(world, controller, secondary):
            secondary.zone.delete_rdataset("desk0.api", "A")  # damages the secondary's copy
            world.phases["h1"] = "draining"
            world.write_list()
            await until(
                lambda: is_newer(controller.secondaries.history.serial, secondary.serial)
                or secondary.fetch_counts["done"] > 1
            )
            await until(
                lambda: secondary.serial == controller.secondaries.history.serial
                and secondary.zone.get_rdataset("desk0.api", "A")
            )
            self.assertTrue(secondary.verify_digest())

        self.run_case(case)

    def test_a_controller_restored_from_a_backup_continues_after_its_secondarys_serial(self):
        async def case(world, controller, secondary):
            soa = secondary.zone.get_rdataset("@", "SOA")
            newer_soa = soa[0].replace(serial=soa[0].serial + 100_000)
            soa.clear()
            soa.add(newer_soa, 60)
            secondary.fetch()
            await until(lambda: is_newer(controller.secondaries.history.serial, newer_soa.serial))
            await until(lambda: secondary.serial == controller.secondaries.history.serial)
            self.assertTrue(secondary.verify_digest())
            self.assertEqual(controller.secondaries.counts["passed"], 1)
            self.assertEqual(controller.publication.zone_serial(), secondary.serial)

        self.run_case(case)

    def test_unknown_peers_are_refused_and_udp_and_malformed_queries_get_short_answers(self):
        async def case(world, controller, secondary):
            for rdtype in ("AXFR", "IXFR"):
                query = dns.message.make_query(ORIGIN, rdtype)
                messages = controller.answers.respond(query.to_wire(), "10.9.9.9", True)
                self.assertEqual(dns.message.from_wire(messages[0]).rcode(), 5)
            query = dns.message.make_query(ORIGIN, "IXFR")  # malformed: without an SOA record
            [wire] = controller.answers.respond(query.to_wire(), SECONDARY, True)
            self.assertEqual(dns.message.from_wire(wire).rcode(), 1)
            query = dns.message.make_query(ORIGIN, "AXFR")
            wire = controller.answers.respond(query.to_wire(), SECONDARY)
            self.assertEqual(dns.message.from_wire(wire).rcode(), 5)
            query = dns.message.make_query(ORIGIN, "IXFR")
            query.authority.append(dns.rrset.from_text(ORIGIN, 60, "IN", "SOA", "a. b. 7 1 1 1 1"))
            wire = controller.answers.respond(query.to_wire(), SECONDARY)
            answer = dns.message.from_wire(wire)
            self.assertEqual([rrset.rdtype for rrset in answer.answer], [dns.rdatatype.SOA])

        self.run_case(case)

    def test_a_secondary_that_never_acknowledges_is_not_notified_again(self):
        async def case(world, controller, secondary):
            secondary.transport.close()
            secondaries = controller.secondaries
            secondaries.notify(secondaries.secondary_addresses[0], 1, 0.01)
            await until(lambda: secondaries.counts["given up"])
            self.assertFalse(secondaries.pending_notifies)
            secondary.transport = secondaries.transport  # for the cleanup, which closes it
            await asyncio.sleep(0)

        self.run_case(case)


class LossyRelay(asyncio.DatagramProtocol):
    """Forwards datagrams between a controller and a secondary; drops, duplicates and delays them."""

    def __init__(self, secondary_address, rng):
        self.secondary_address = secondary_address
        self.rng = rng
        self.controller_address = None
        self.copies_sent = set()  # all numbers of copies in which a datagram was forwarded

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        if peer == self.secondary_address:
            destination = self.controller_address
        else:
            destination = self.secondary_address
            self.controller_address = peer
        random_value = self.rng.random()
        copies = 0 if random_value < 0.3 else 2 if random_value < 0.6 else 1
        self.copies_sent.add(copies)
        for _ in range(copies):
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.0, 0.4), self.send, data, destination
            )

    def send(self, data, destination):
        if not self.transport.is_closing():
            self.transport.sendto(data, destination)


class LossyRelayTest(unittest.TestCase):
    def test_the_secondary_gets_the_current_version_despite_lost_duplicated_and_delayed_messages(
        self,
    ):
        async def case(world):
            controller = await world.start_controller()
            secondary = Secondary(ORIGIN, (SECONDARY, world.port + 3), ("127.1.0.1", world.port))
            await secondary.open()
            relay = LossyRelay((SECONDARY, world.port + 3), random.Random(3))
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: relay, local_addr=(SECONDARY, world.port + 2)
            )
            world.cleanups += [secondary.close, transport.close]
            await until(lambda: secondary.serial is not None, 30.0)
            await world.change_list_repeatedly(12, 0.3)
            await until(
                lambda: secondary.serial == controller.secondaries.history.serial
                and secondary.zone.get_node("h1.hosts") is None
                and controller.answers.change_count
                == controller.secondaries.published_change_count,
                30.0,
            )
            self.assertTrue(secondary.verify_digest())
            self.assertEqual(relay.copies_sent, {0, 1, 2})
            self.assertEqual(set(secondary.fetch_counts), {"done"})

        run_with_standins(case, script=SCRIPT_WITH_SECONDARY)
