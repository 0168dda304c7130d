"""Choice of addresses by stand-in DNS clients, and caching by stand-in resolvers."""

import asyncio
import unittest
from random import Random

from peatlead.standin.dns_clients import Client
from peatlead.standin.resolvers import Resolver

from ..standin_fleet import MemoryRecorder, run_with_standins


class ClientsAndResolversTest(unittest.TestCase):
    def test_clients_choose_addresses_by_habit(self):
        rng = Random(1)
        addresses = ["b", "a", "c"]
        clients = {habit: Client(habit, "x") for habit in ("first", "sorted", "same", "holds")}
        clients["same"].last_address = clients["holds"].last_address = "c"
        self.assertEqual(
            {habit: client.order_addresses(addresses, rng)[0] for habit, client in clients.items()},
            {"first": "b", "sorted": "a", "same": "c", "holds": "c"},
        )

    def test_resolvers_cache_answers_for_the_time_of_their_kind(self):
        async def case(world):
            ttls = {}
            for kind in ("keeps", "twice", "tenfold", "least"):
                resolver = Resolver(kind, "127.20.9.1", [], world.random, MemoryRecorder())
                resolver.loop = asyncio.get_running_loop()
                cached = resolver.cache_answer("n", "", ["a"], 1)
                ttls[kind] = round(cached.expires_at - resolver.loop.time(), 1)
            return ttls

        self.assertEqual(
            run_with_standins(case), {"keeps": 1.0, "twice": 2.0, "tenfold": 10.0, "least": 5.0}
        )
