"""Several controllers: which one serves a proxy when others fail, drain or are cut off."""

import asyncio
import unittest

from ..standin_fleet import until
from .simulated_fleet import connect_proxy, run_fleet


class FailoverTest(unittest.TestCase):
    async def three(self, world):
        controllers = {name: await world.start_controller(name) for name in ("ns1", "ns2", "ns3")}
        await until(
            lambda: all(
                len(controller.gossip.members.live()) == 3 for controller in controllers.values()
            )
        )
        return controllers

    def owner(self, controllers, name="p0"):
        ownership = [
            key
            for key, controller in controllers.items()
            if name in controller.proxies.server.sessions
        ]
        return ownership[0] if len(ownership) == 1 else None

    def test_the_ranked_owner_admits_a_proxy_and_a_killed_one_is_replaced(self):
        async def case(world):
            controllers = await self.three(world)
            proxy = connect_proxy(world)
            await until(lambda: self.owner(controllers))
            first = self.owner(controllers)
            self.assertEqual(first, controllers["ns1"].gossip.ownership.owner_of("p0"))
            await until(lambda: proxy.lines)
            held, epoch = dict(proxy.lines), proxy.fence.newest[0]
            controllers.pop(first).stop()
            await until(lambda: self.owner(controllers))
            await until(lambda: proxy.fence.newest[0] > epoch)
            self.assertEqual(
                set(held["look"]), set(proxy.lines["look"])
            )  # same shard, whoever owns it
            await proxy.finish()

        run_fleet(case)

    def test_a_partition_between_controllers_duplicates_no_version_and_heals(self):
        async def case(world):
            controllers = await self.three(world)
            proxies = [
                connect_proxy(world, f"p{at}", (at % 3 + 1, (at + 1) % 3 + 1, (at + 2) % 3 + 1))
                for at in range(6)
            ]
            await until(lambda: all(self.owner(controllers, proxy.plan.name) for proxy in proxies))
            real = {name: controller.gossip.send for name, controller in controllers.items()}
            for controller in controllers.values():  # each believes that it is alone
                controller.gossip.send = lambda address, body: None
            await until(
                lambda: all(
                    len(controller.gossip.members.live()) == 1
                    for controller in controllers.values()
                )
            )
            world.phases["h1"] = "draining"
            world.write_list()
            await until(
                lambda: all(
                    {line.address for line in proxy.lines["look"]}
                    == {"127.10.9.1", "127.10.9.3", "127.10.9.4"}
                    for proxy in proxies
                )
            )
            for name, controller in controllers.items():
                controller.gossip.send = real[name]
            await until(
                lambda: all(
                    len(controller.gossip.members.live()) == 3
                    for controller in controllers.values()
                )
            )
            await until(
                lambda: all(
                    self.owner(controllers, proxy.plan.name)
                    == controllers["ns1"].gossip.ownership.preferred_owner(proxy.plan.name)
                    for proxy in proxies
                ),
                15,
            )
            orders = [row for proxy in proxies for row in proxy.record.rows_of("order")]
            versions = [(row[2], row[4], row[5]) for row in orders if row[6] == "applied"]
            self.assertEqual(len(versions), len(set(versions)))
            for proxy in proxies:
                await proxy.finish()

        run_fleet(case)

    def test_draining_a_controller_moves_all_proxies_with_their_endpoints(self):
        async def case(world):
            controllers = await self.three(world)
            proxies = [connect_proxy(world, f"p{at}") for at in range(5)]
            await until(
                lambda: all(
                    self.owner(controllers, proxy.plan.name) and proxy.lines for proxy in proxies
                )
            )
            busy = max(controllers, key=lambda name: len(controllers[name].proxies.server.sessions))
            controllers[busy].answer_fleet_question(type("Q", (), {"do": "drain", "host": ""}))
            await until(lambda: not controllers[busy].proxies.server.sessions, 15)
            await until(lambda: all(self.owner(controllers, proxy.plan.name) for proxy in proxies))
            self.assertTrue(all(proxy.lines["look"] for proxy in proxies))
            answer = controllers[busy].answer_fleet_question(
                type("Q", (), {"do": "why", "host": "p0"})
            )
            self.assertFalse(answer["here"])
            for proxy in proxies:
                await proxy.finish()

        run_fleet(case)

    def test_updates_of_an_earlier_owner_are_fenced_off(self):
        async def case(world):
            controllers = await self.three(world)
            proxy = connect_proxy(world)
            await until(lambda: self.owner(controllers) and proxy.lines)
            first = self.owner(controllers)
            session = controllers[first].proxies.server.sessions["p0"]
            # Seen from the agent it is frozen: pings go unanswered. Then it wakes, and still believes that it owns.
            connection = session.call.connection
            connection.ping_timer.cancel()
            real, connection.received = connection.received, lambda data: None
            await until(
                lambda: any(self.owner({k: s}) for k, s in controllers.items() if k != first), 15
            )
            await until(
                lambda: proxy.fence.newest[0] > 1
                and proxy.record.rows_of("order")[-1][6] == "applied",
                15,
            )
            connection.received = real
            held = dict(proxy.lines)
            session.state.withdrawn.update(range(3))
            session.ready = True
            for kind in session.discovery.subscriptions.values():
                kind.nonce = ""
            session.changed()
            await until(lambda: any(row[6] == "old" for row in proxy.record.rows_of("order")))
            self.assertEqual(proxy.lines, held)
            await proxy.finish()

        run_fleet(case)

    def test_forged_gossip_changes_nothing(self):
        async def case(world):
            controllers = await self.three(world)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.1.0.9", 0)
            )
            for data in (b"junk", b"\x01" * 90, bytes(60), b"\x01\x03" + bytes(80)):
                transport.sendto(data, ("127.1.0.1", world.port + 1))
            await until(lambda: controllers["ns1"].gossip.counts["refused"] >= 4)
            transport.close()
            return len(controllers["ns1"].gossip.members.live())

        self.assertEqual(run_fleet(case), 3)
