import asyncio
import unittest
from unittest import mock

import dns.message
import dns.rcode

from peatlead.controller.control_socket import ask_once
from peatlead.net.http import connect
from peatlead.net.streams import Stream
from peatlead.standin.dns_clients import Client
from peatlead.standin.resolvers import Resolver

from .places import Quiet, play, until


class Bytes(Stream):
    def __init__(self):
        super().__init__()
        self.got, self.over = b"", asyncio.get_running_loop().create_future()

    def received(self, data):
        self.got += data

    def ended(self, reason):
        self.over.set_result(reason)


def framed(name="api.example.org"):
    wire = dns.message.make_query(name, "A").to_wire()
    return len(wire).to_bytes(2, "big") + wire


async def dial(world, name="ns1"):
    address = {"ns1": "127.1.0.1", "ns2": "127.1.0.2"}[name]
    _, stream = await asyncio.get_running_loop().create_connection(
        Bytes, address, world.port, local_addr=("127.0.0.1", 0)
    )
    return stream


async def resolver(world, kind="keeps", servers=("127.1.0.1",)):
    made = Resolver(
        kind, "127.20.9.1", [(one, world.port) for one in servers], world.chance, Quiet()
    )
    await made.begin()
    world.closing.append(made.close)
    return made


class WholePath(unittest.TestCase):
    def test_a_query_an_answer_and_a_req_at_the_host_that_was_named(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: world.named(steward))
            found = await (await resolver(world)).lookup("desk0.api.example.org", "", "desk0")
            now = asyncio.get_running_loop().time()
            stream = await connect(asyncio.get_running_loop(), (found[0], world.port), now + 1)
            answer = await stream.ask(
                "POST", "/file", [("host", "x"), ("req-id", "r1")], b"", now + 1
            )
            stream.close()
            by = answer.headers["host-name"]
            return answer.status, [(row[2], row[3]) for row in world.record.of("effect")] == [
                (by, "r1")
            ]

        self.assertEqual(play(case), (200, True))

    def test_a_silent_host_leaves_answers_though_nobody_reports_tries(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: len(world.named(steward)) == 4)
            world.hosts[1].tell("silent", True)
            await until(lambda: "h1" not in world.named(steward), 15.0)
            self.assertIn("host 1 dropped: probes", [more.get("text") for _, more in world.log])

        play(case)

    def test_a_hung_host_that_passes_shallow_probes_is_told_of_by_its_clients(self):
        async def case(world):
            steward, loop = await world.steward(), asyncio.get_running_loop()
            await until(lambda: len(world.named(steward)) == 4)
            world.hosts[1].tell("hung", True)

            async def req(address):
                try:
                    stream = await connect(loop, (address, world.port), loop.time() + 1)
                    await stream.ask(
                        "POST", "/look", [("host", "x"), ("req-id", "r")], b"", loop.time() + 0.1
                    )
                    stream.close()
                except Exception:  # the hung one's clients give up: that is the point
                    pass

            async def reqs():
                while True:
                    for plan in world.plans:
                        asyncio.ensure_future(req(plan.address))
                    await asyncio.sleep(0.05)

            task = asyncio.ensure_future(reqs())
            await until(lambda: "h1" not in world.named(steward), 15.0)
            task.cancel()
            await asyncio.sleep(0.3)
            self.assertIn("host 1 dropped: sums", [more.get("text") for _, more in world.log])

        play(case, deep=False)

    def test_a_drained_host_leaves_and_its_name_too(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: len(world.named(steward)) == 4)
            world.phases["h2"] = "draining"
            world.write()
            await until(lambda: "h2" not in world.named(steward))
            return steward.answers.exists(["h2", "hosts"]), steward.answers.exists(["h1", "hosts"])

        self.assertEqual(play(case), (False, True))

    def test_a_list_that_empties_tears_or_names_ghosts_changes_no_answer(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: len(world.named(steward)) == 4)
            await until(lambda: steward.planner.rounds > 2)
            world.extra = [
                {"name": "ghost", "zone": "north", "address": "127.66.9.9", "phase": "ready"}
            ]
            world.write()
            await until(lambda: "ghost" in steward.answers.by_label)
            await asyncio.sleep(0.5)
            self.assertEqual(world.named(steward), {"h0", "h1", "h2", "h3"})
            world.write(b'{"version": 99, "hosts": [{"na')
            await until(lambda: any(event == "list not readable" for event, _ in world.log))
            kept, world.phases = world.phases, {}
            world.extra, world.version = [], 200
            world.write()
            await until(lambda: steward.endpoint_lists.source.version == 201)
            await asyncio.sleep(0.5)
            world.phases = kept
            return world.named(steward)

        self.assertEqual(play(case), {"h0", "h1", "h2", "h3"})

    def test_a_steward_that_comes_back_without_a_list_gives_the_same_shards_at_once(self):
        async def case(world):
            first = await world.steward()
            await until(lambda: len(world.named(first)) == 4)
            tables = [[seat.lines for seat in view] for view in first.answers.seats]
            first.stop()
            (world.folder / "nodes.json").unlink()
            again = await world.steward("ns2")
            self.assertEqual(
                world.named(again), set()
            )  # its own memory is empty: it says so, it makes up nothing
            again.stop()
            await asyncio.sleep(0.02)
            (world.folder / "state" / "list-ns1").rename(world.folder / "state" / "list-ns2")
            again = await world.steward("ns2")
            await until(lambda: world.named(again))
            await until(lambda: not again.channel.queue)
            return [[seat.lines for seat in view] for view in again.answers.seats] == tables

        self.assertTrue(play(case))


class ItsEnd(unittest.TestCase):
    def test_a_decide_that_raises_ends_the_steward_with_a_record(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: world.named(steward))
            with mock.patch.object(
                steward.planner, "end_round", side_effect=ZeroDivisionError("planted")
            ):
                why = await asyncio.wait_for(steward.ended, 10)
            record = dict(world.log)["decide failed"]
            with self.assertRaises(OSError):
                await dial(world)
            return why, record["error"], bool(record["at"])

        self.assertEqual(
            play(case),
            ("decide failed: ZeroDivisionError('planted')", "ZeroDivisionError('planted')", True),
        )

    def test_one_that_stood_still_answers_nobody_until_it_has_read_the_list(self):
        async def case(world):
            steward, loop = await world.steward(), asyncio.get_running_loop()
            await until(lambda: len(world.named(steward)) == 4)
            asked = await resolver(world)
            self.assertTrue(await asked.lookup("desk0.api.example.org", "", "desk0"))
            # It freezes: the list changes, a query waits in its socket, then all of its timers are due at once.
            steward.endpoint_lists.source.stop()
            world.phases["h0"] = "draining"
            world.write()
            steward.front.fresh_until = loop.time() - 5.0
            wire = dns.message.make_query("api.example.org", "A").to_wire()
            before = steward.front.unanswered
            asked.transport.sendto(wire, ("127.1.0.1", world.port))
            await until(
                lambda: steward.front.unanswered > before or steward.front.fresh_until > loop.time()
            )
            await until(lambda: steward.front.fresh_until > loop.time())
            return "h0" in world.named(steward), "stood still" in dict(world.log)

        self.assertEqual(play(case), (False, True))

    def test_two_stewards_one_frozen_and_resolvers_go_to_the_other(self):
        async def case(world):
            both = [await world.steward("ns1"), await world.steward("ns2")]
            await until(lambda: all(world.named(one) for one in both))
            both[0].freshness.renew = lambda now: None
            both[0].front.fresh_until = 0.1
            asked = await resolver(world, servers=("127.1.0.1", "127.1.0.2"))
            return [
                bool(await asked.lookup(f"desk{at % 2}.api.example.org", "", "x"))
                for at in range(6)
            ]

        self.assertEqual(play(case), [True] * 6)

    def test_a_view_that_wanders_between_two_stewards_meets_the_same_hosts(self):
        async def case(world):
            both = [await world.steward("ns1"), await world.steward("ns2")]
            await until(
                lambda: all(one.answers.seats[0][0].lines and not one.channel.queue for one in both)
            )
            tables = [[seat.lines for view in one.answers.seats for seat in view] for one in both]
            return tables[0] == tables[1]

        self.assertTrue(play(case))

    def test_an_address_that_is_taken_is_told(self):
        async def case(world):
            await world.steward()
            with self.assertRaises(OSError):
                await world.steward()

        play(case)


class OverTcp(unittest.TestCase):
    def test_pipelined_queries_in_pieces_are_answered_in_order(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: world.named(steward))
            stream = await dial(world)
            names = ["desk0.api.example.org", "example.com", "desk1.api.example.org"]
            data = b"".join(map(framed, names))
            for at in range(0, len(data), 7):
                stream.send(data[at : at + 7])
                await asyncio.sleep(0)
            answers, at = [], 0
            await until(lambda: len(stream.got) > 130)
            while at < len(stream.got):
                size = int.from_bytes(stream.got[at : at + 2], "big")
                answers.append(dns.message.from_wire(stream.got[at + 2 : at + 2 + size]))
                at += 2 + size
            stream.close()
            return [(one.question[0].name.to_text(), one.rcode()) for one in answers]

        self.assertEqual(
            play(case),
            [
                ("desk0.api.example.org.", 0),
                ("example.com.", dns.rcode.REFUSED),
                ("desk1.api.example.org.", 0),
            ],
        )

    def test_idle_and_malformed_peers_are_cut_and_the_idlest_makes_room(self):
        async def case(world):
            world.settings["dns"]["tcp_idle"], world.settings["dns"]["tcp_most"] = 0.3, 3
            steward = await world.steward()
            await until(lambda: world.named(steward))
            streams = [await dial(world) for _ in range(4)]
            await until(lambda: steward.front.held.evicted == 1)
            await until(lambda: streams[0].over.done())
            streams[1].send(b"\x00\x05abcde")
            await until(lambda: streams[1].over.done())
            await until(lambda: streams[2].over.done() and streams[3].over.done())
            return len(steward.front.held.streams)

        self.assertEqual(play(case), 0)


class Operators(unittest.TestCase):
    def test_answer_status_and_what_is_no_question(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: len(world.named(steward)) == 4)
            at = "127.1.0.1", world.port + 1
            told = await ask_once(at, {"ask": "answer", "view": "desk0"})
            self.assertEqual({line["host"] for line in told["lines"]}, {"h0", "h1", "h2", "h3"})
            self.assertIn(
                "expected a view", (await ask_once(at, {"ask": "answer", "view": "no"}))["error"]
            )
            self.assertIn(
                "expected ask to be one of", (await ask_once(at, {"ask": "fly"}))["error"]
            )
            self.assertIn("expected a question", (await ask_once(at, ["junk"]))["error"])
            return (await ask_once(at, {"ask": "status"}))["channel"]["past"]

        self.assertEqual(play(case), 0)

    def test_levels_reach_hosts_with_probes_and_the_mean_of_two_stewards_holds(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: world.named(steward))
            steward.health_checks.admission = {0: 0.4, 1: 1.0}
            now = asyncio.get_running_loop().time
            await until(lambda: all(host.level("look", now()) == 0.4 for host in world.hosts))
            world.hosts[0].levels["look", "other"] = 0.2, now()
            self.assertAlmostEqual(world.hosts[0].level("look", now()), 0.3)
            return world.hosts[0].level(
                "look", now() + 60.0
            )  # a dead steward must not shed for good

        self.assertEqual(play(case), 1.0)


class Probing(unittest.TestCase):
    def test_probes_are_bounded_in_flight_and_in_waiting(self):
        async def case(world):
            steward = await world.steward()
            prober = steward.health_checks.prober
            await until(lambda: not prober.tasks)
            prober.settings = {**prober.settings, "at_once": 2, "waiting_most": 3}
            for host in range(100, 110):
                prober.probe(host, ("127.10.9.1", world.port))
            return len(prober.tasks), len(prober.waiting), prober.dropped

        self.assertEqual(play(case), (2, 3, 5))


class Habits(unittest.TestCase):
    def test_how_clients_choose(self):
        from random import Random

        chance, found = Random(1), ["b", "a", "c"]
        clients = {habit: Client(habit, "x") for habit in ("first", "sorted", "same", "holds")}
        clients["same"].last = clients["holds"].last = "c"
        self.assertEqual(
            {habit: one.choose(found, chance)[0] for habit, one in clients.items()},
            {"first": "b", "sorted": "a", "same": "c", "holds": "c"},
        )

    def test_resolvers_keep_answers_as_their_kind_does(self):
        async def case(world):
            lasts = {}
            for kind in ("keeps", "twice", "tenfold", "least"):
                made = Resolver(kind, "127.20.9.1", [], world.chance, Quiet())
                made.loop = asyncio.get_running_loop()
                lasts[kind] = round(made.keep("n", "", ["a"], 1).until - made.loop.time(), 1)
            return lasts

        self.assertEqual(play(case), {"keeps": 1.0, "twice": 2.0, "tenfold": 10.0, "least": 5.0})
