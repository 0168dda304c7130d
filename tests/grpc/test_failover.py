"""Several controllers: which one serves a proxy when others fail, drain or are cut off."""

import asyncio
import unittest

from ..places import until
from .simulated_fleet import connect_proxy, run_fleet


class FailoverTest(unittest.TestCase):
    async def three(self, world):
        stewards = {name: await world.steward(name) for name in ("ns1", "ns2", "ns3")}
        await until(lambda: all(len(one.fleet.members.live()) == 3 for one in stewards.values()))
        return stewards

    def owner(self, stewards, name="p0"):
        ownership = [key for key, one in stewards.items() if name in one.proxies.front.sessions]
        return ownership[0] if len(ownership) == 1 else None

    def test_the_ranked_owner_admits_a_proxy_and_a_killed_one_is_replaced(self):
        async def case(world):
            stewards = await self.three(world)
            one = connect_proxy(world)
            await until(lambda: self.owner(stewards))
            first = self.owner(stewards)
            self.assertEqual(first, stewards["ns1"].fleet.ownership.owner_of("p0"))
            await until(lambda: one.lines)
            held, epoch = dict(one.lines), one.fence.newest[0]
            stewards.pop(first).stop()
            await until(lambda: self.owner(stewards))
            await until(lambda: one.fence.newest[0] > epoch)
            self.assertEqual(
                set(held["look"]), set(one.lines["look"])
            )  # same shard, whoever owns it
            await one.finish()

        run_fleet(case)

    def test_a_partition_between_controllers_duplicates_no_version_and_heals(self):
        async def case(world):
            stewards = await self.three(world)
            agents = [
                connect_proxy(world, f"p{at}", (at % 3 + 1, (at + 1) % 3 + 1, (at + 2) % 3 + 1))
                for at in range(6)
            ]
            await until(lambda: all(self.owner(stewards, one.plan.name) for one in agents))
            real = {name: one.fleet.send for name, one in stewards.items()}
            for one in stewards.values():  # each believes that it is alone, and owns them all
                one.fleet.send = lambda address, body: None
            await until(
                lambda: all(len(one.fleet.members.live()) == 1 for one in stewards.values())
            )
            world.phases["h1"] = "draining"
            world.write()
            await until(
                lambda: all(
                    {line.address for line in one.lines["look"]}
                    == {"127.10.9.1", "127.10.9.3", "127.10.9.4"}
                    for one in agents
                )
            )
            for name, one in stewards.items():
                one.fleet.send = real[name]
            await until(
                lambda: all(len(one.fleet.members.live()) == 3 for one in stewards.values())
            )
            await until(
                lambda: all(
                    self.owner(stewards, one.plan.name)
                    == stewards["ns1"].fleet.ownership.preferred_owner(one.plan.name)
                    for one in agents
                ),
                15,
            )
            orders = [row for one in agents for row in one.record.of("order")]
            versions = [(row[2], row[4], row[5]) for row in orders if row[6] == "applied"]
            self.assertEqual(len(versions), len(set(versions)))
            for one in agents:
                await one.finish()

        run_fleet(case)

    def test_draining_a_controller_moves_all_proxies_with_their_endpoints(self):
        async def case(world):
            stewards = await self.three(world)
            agents = [connect_proxy(world, f"p{at}") for at in range(5)]
            await until(
                lambda: all(self.owner(stewards, one.plan.name) and one.lines for one in agents)
            )
            busy = max(stewards, key=lambda name: len(stewards[name].proxies.front.sessions))
            stewards[busy].tell_fleet(type("Q", (), {"do": "drain", "host": ""}))
            await until(lambda: not stewards[busy].proxies.front.sessions, 15)
            await until(lambda: all(self.owner(stewards, one.plan.name) for one in agents))
            self.assertTrue(all(one.lines["look"] for one in agents))
            told = stewards[busy].tell_fleet(type("Q", (), {"do": "why", "host": "p0"}))
            self.assertFalse(told["here"])
            for one in agents:
                await one.finish()

        run_fleet(case)

    def test_updates_of_an_earlier_owner_are_fenced_off(self):
        async def case(world):
            stewards = await self.three(world)
            one = connect_proxy(world)
            await until(lambda: self.owner(stewards) and one.lines)
            first = self.owner(stewards)
            session = stewards[first].proxies.front.sessions["p0"]
            # Seen from the agent it is frozen: pings go unanswered. Then it wakes, and still believes that it owns.
            connection = session.call.connection
            connection.ping_timer.cancel()
            real, connection.received = connection.received, lambda data: None
            await until(
                lambda: any(self.owner({k: s}) for k, s in stewards.items() if k != first), 15
            )
            await until(
                lambda: one.fence.newest[0] > 1 and one.record.of("order")[-1][6] == "applied", 15
            )
            connection.received = real
            held = dict(one.lines)
            session.state.withdrawn.update(range(3))
            session.ready = True
            for kind in session.discovery.subscriptions.values():
                kind.nonce = ""
            session.changed()
            await until(lambda: any(row[6] == "old" for row in one.record.of("order")))
            self.assertEqual(one.lines, held)
            await one.finish()

        run_fleet(case)

    def test_forged_gossip_changes_nothing(self):
        async def case(world):
            stewards = await self.three(world)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.1.0.9", 0)
            )
            for data in (b"junk", b"\x01" * 90, bytes(60), b"\x01\x03" + bytes(80)):
                transport.sendto(data, ("127.1.0.1", world.port + 1))
            await until(lambda: stewards["ns1"].fleet.counts["refused"] >= 4)
            transport.close()
            return len(stewards["ns1"].fleet.members.live())

        self.assertEqual(run_fleet(case), 3)
