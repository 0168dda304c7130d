"""Failover of proxies between controllers that fail, drain or lose contact to each other."""

import asyncio
import unittest

from ..standin_fleet import until
from .simulated_fleet import connect_proxy, run_fleet


class FailoverTest(unittest.TestCase):
    async def start_three_controllers(self, world):
        controllers = {name: await world.start_controller(name) for name in ("ns1", "ns2", "ns3")}
        await until(
            lambda: all(
                len(controller.gossip.membership.live_members()) == 3
                for controller in controllers.values()
            )
        )
        return controllers

    def connected_controller(self, controllers, name="p0"):
        """Return the only controller that has a session of the proxy; None for none or several."""
        connected = [
            key
            for key, controller in controllers.items()
            if name in controller.proxies.server.sessions
        ]
        return connected[0] if len(connected) == 1 else None

    def test_the_first_controller_by_rank_admits_a_proxy_and_is_replaced_when_killed(self):
        async def case(world):
            controllers = await self.start_three_controllers(world)
            proxy = connect_proxy(world)
            await until(lambda: self.connected_controller(controllers))
            first_owner = self.connected_controller(controllers)
            self.assertEqual(first_owner, controllers["ns1"].gossip.ownership.find_owner("p0"))
            await until(lambda: proxy.entries)
            held_endpoints, epoch = dict(proxy.entries), proxy.fence.newest_version[0]
            controllers.pop(first_owner).stop()
            await until(lambda: self.connected_controller(controllers))
            await until(lambda: proxy.fence.newest_version[0] > epoch)
            # The shard does not depend on the owner.
            self.assertEqual(set(held_endpoints["look"]), set(proxy.entries["look"]))
            await proxy.finish()

        run_fleet(case)

    def test_a_partition_between_controllers_duplicates_no_version_and_heals(self):
        async def case(world):
            controllers = await self.start_three_controllers(world)
            proxies = [
                connect_proxy(
                    world, f"p{index}", (index % 3 + 1, (index + 1) % 3 + 1, (index + 2) % 3 + 1)
                )
                for index in range(6)
            ]
            await until(
                lambda: all(
                    self.connected_controller(controllers, proxy.plan.name) for proxy in proxies
                )
            )
            original_sends = {
                name: controller.gossip.send for name, controller in controllers.items()
            }
            for controller in controllers.values():  # no gossip message is delivered
                controller.gossip.send = lambda address, body: None
            await until(
                lambda: all(
                    len(controller.gossip.membership.live_members()) == 1
                    for controller in controllers.values()
                )
            )
            world.phases["h1"] = "draining"
            world.write_list()
            await until(
                lambda: all(
                    {endpoint.address for endpoint in proxy.entries["look"]}
                    == {"127.10.9.1", "127.10.9.3", "127.10.9.4"}
                    for proxy in proxies
                )
            )
            for name, controller in controllers.items():
                controller.gossip.send = original_sends[name]
            await until(
                lambda: all(
                    len(controller.gossip.membership.live_members()) == 3
                    for controller in controllers.values()
                )
            )
            await until(
                lambda: all(
                    self.connected_controller(controllers, proxy.plan.name)
                    == controllers["ns1"].gossip.ownership.preferred_owner(proxy.plan.name)
                    for proxy in proxies
                ),
                15,
            )
            order_rows = [row for proxy in proxies for row in proxy.recorder.rows_of_kind("order")]
            versions = [(row[2], row[4], row[5]) for row in order_rows if row[6] == "applied"]
            self.assertEqual(len(versions), len(set(versions)))
            for proxy in proxies:
                await proxy.finish()

        run_fleet(case)

    def test_draining_a_controller_moves_all_proxies_with_their_endpoints(self):
        async def case(world):
            controllers = await self.start_three_controllers(world)
            proxies = [connect_proxy(world, f"p{index}") for index in range(5)]
            await until(
                lambda: all(
                    self.connected_controller(controllers, proxy.plan.name) and proxy.entries
                    for proxy in proxies
                )
            )
            drained_name = max(
                controllers, key=lambda name: len(controllers[name].proxies.server.sessions)
            )
            controllers[drained_name].answer_fleet_question(
                type("Q", (), {"do": "drain", "host": ""})
            )
            await until(lambda: not controllers[drained_name].proxies.server.sessions, 15)
            await until(
                lambda: all(
                    self.connected_controller(controllers, proxy.plan.name) for proxy in proxies
                )
            )
            self.assertTrue(all(proxy.entries["look"] for proxy in proxies))
            answer = controllers[drained_name].answer_fleet_question(
                type("Q", (), {"do": "why", "host": "p0"})
            )
            self.assertFalse(answer["here"])
            for proxy in proxies:
                await proxy.finish()

        run_fleet(case)

    def test_updates_of_an_earlier_owner_are_fenced_off(self):
        async def case(world):
            controllers = await self.start_three_controllers(world)
            proxy = connect_proxy(world)
            await until(lambda: self.connected_controller(controllers) and proxy.entries)
            first_owner = self.connected_controller(controllers)
            session = controllers[first_owner].proxies.server.sessions["p0"]
            # The owner stops answering pings, as if frozen, and later resumes without knowing of the
            # new owner.
            connection = session.call.connection
            connection.ping_timer.cancel()
            original_received, connection.received = connection.received, lambda data: None
            await until(
                lambda: any(
                    self.connected_controller({name: controller})
                    for name, controller in controllers.items()
                    if name != first_owner
                ),
                15,
            )
            await until(
                lambda: proxy.fence.newest_version[0] > 1
                and proxy.recorder.rows_of_kind("order")[-1][6] == "applied",
                15,
            )
            connection.received = original_received
            held_endpoints = dict(proxy.entries)
            session.state.withdrawn.update(range(3))
            session.has_tables = True
            for subscription in session.discovery.subscriptions.values():
                subscription.nonce = ""
            session.on_tables_changed()
            await until(
                lambda: any(row[6] == "old" for row in proxy.recorder.rows_of_kind("order"))
            )
            self.assertEqual(proxy.entries, held_endpoints)
            await proxy.finish()

        run_fleet(case)

    def test_forged_gossip_changes_nothing(self):
        async def case(world):
            controllers = await self.start_three_controllers(world)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.1.0.9", 0)
            )
            for data in (b"junk", b"\x01" * 90, bytes(60), b"\x01\x03" + bytes(80)):
                transport.sendto(data, ("127.1.0.1", world.port + 1))
            await until(lambda: controllers["ns1"].gossip.counts["refused"] >= 4)
            transport.close()
            return len(controllers["ns1"].gossip.membership.live_members())

        self.assertEqual(run_fleet(case), 3)
