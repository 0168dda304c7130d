"""How stand-in DNS clients choose and stand-in resolvers cache."""

import asyncio
import unittest
from random import Random

from peatlead.standin.dns_clients import Client
from peatlead.standin.resolvers import Resolver

from ..standin_fleet import MemoryRecorder, run_with_standins


class ClientsAndResolversTest(unittest.TestCase):
    def test_clients_choose_by_their_habit(self):
        rng = Random(1)
        addresses = ["b", "a", "c"]
        clients = {habit: Client(habit, "x") for habit in ("first", "sorted", "same", "holds")}
        clients["same"].last = clients["holds"].last = "c"
        self.assertEqual(
            {habit: client.choose(addresses, rng)[0] for habit, client in clients.items()},
            {"first": "b", "sorted": "a", "same": "c", "holds": "c"},
        )

    def test_resolvers_cache_answers_as_their_kind_does(self):
        async def case(world):
            lifetimes = {}
            for kind in ("keeps", "twice", "tenfold", "least"):
                resolver = Resolver(kind, "127.20.9.1", [], world.random, MemoryRecorder())
                resolver.loop = asyncio.get_running_loop()
                cached = resolver.store("n", "", ["a"], 1)
                lifetimes[kind] = round(cached.until - resolver.loop.time(), 1)
            return lifetimes

        self.assertEqual(
            run_with_standins(case), {"keeps": 1.0, "twice": 2.0, "tenfold": 10.0, "least": 5.0}
        )
