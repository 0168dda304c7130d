import random
import unittest

from hypothesis import given
from hypothesis import strategies as some

from peatlead.fleet.authentication import AuthenticationError, Authenticator, UnprovenSenderError
from peatlead.fleet.gossip import NOTE_MOST, NOTES_MOST, GossipNode
from peatlead.fleet.membership import Leave, LocalStatus
from peatlead.fleet.ownership import JOIN_BURST, Fence, Ownership, ranked
from peatlead.lab.members import Net
from peatlead.scenario.runner import free_port

from .places import SCRIPT, run, settings, until

KEY, OTHER = b"k" * 32, b"o" * 32


class WhoLives(unittest.TestCase):
    def test_all_know_all_and_a_killed_one_is_dead_to_all(self):
        for many in (3, 10, 50):
            net = Net(many)
            net.run(8.0)
            self.assertTrue(net.agreed(sorted(net.nodes)), many)
            net.dead.add("n1")
            net.run(14.0)
            self.assertEqual(set(net.states("n1").values()), {"dead"})

    def test_losses_alone_kill_nobody_for_good(self):
        net, wrong = Net(5, loss=0.15), []
        net.run(5.0)
        net.run(
            60.0,
            lambda: wrong.append(
                sum(s == "dead" for n in net.nodes for s in net.states(n).values())
            ),
        )
        self.assertLess(sum(map(bool, wrong)), len(wrong) * 0.05)
        net.loss = 0.0
        net.run(4.0)
        self.assertTrue(net.agreed(sorted(net.nodes)))

    def test_a_cut_splits_and_heals(self):
        net = Net(5)
        net.run(5.0)
        one, other = ("n0", "n3"), ("n1", "n2", "n4")
        net.cut = {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
        net.run(10.0)
        self.assertTrue(net.agreed(one) and net.agreed(other))
        net.cut = set()
        net.run(10.0)
        self.assertTrue(net.agreed(sorted(net.nodes)))

    def test_a_one_way_cut_between_two_is_bridged_by_a_third(self):
        net = Net(3)
        net.run(5.0)
        net.cut = {("n0", "n1")}
        net.run(20.0)
        self.assertEqual(net.states("n1")["n0"], "alive")
        self.assertEqual(net.states("n0")["n1"], "alive")

    def test_a_flapping_link_leaves_all_agreed_in_the_end(self):
        net = Net(3)
        net.run(4.0)
        for _ in range(20):
            net.cut = {("n0", "n1"), ("n1", "n0")} if not net.cut else set()
            net.run(net.chance.uniform(0.2, 2.0))
        net.cut = set()
        net.run(8.0)
        self.assertTrue(net.agreed(sorted(net.nodes)))

    def test_a_frozen_one_that_wakes_refutes_its_death_and_judges_nobody(self):
        net = Net(4)
        net.run(5.0)
        net.frozen.add("n2")
        net.run(10.0)
        self.assertEqual(set(net.states("n2").values()) - {"alive"}, {"dead"})
        net.frozen.clear()
        net.run(0.2)
        self.assertEqual(set(net.nodes["n2"].live()), set(net.nodes))
        net.run(5.0)
        self.assertTrue(net.agreed(sorted(net.nodes)))

    def test_one_that_restarts_with_no_memory_is_known_again(self):
        net = Net(3)
        net.step("n1", [LocalStatus(4, False)])
        net.run(5.0)
        net.dead.add("n1")
        net.run(0.4)  # sooner than anybody noticed
        net.start("n1")
        net.run(5.0)
        self.assertTrue(net.agreed(sorted(net.nodes)))
        self.assertGreater(net.nodes["n1"].me.incarnation, 0)

    def test_one_that_leaves_is_gone_at_once(self):
        net = Net(3)
        net.run(5.0)
        net.step("n2", [Leave()])
        net.dead.add("n2")
        net.run(0.3)
        self.assertEqual(set(net.states("n2").values()), {"left"})

    def test_messages_are_bounded_whatever_the_fleet(self):
        net = Net(60)
        longest = [0]
        net.run(6.0, lambda: longest.append(max((len(one[3]) for one in net.way), default=0)))
        self.assertLess(max(longest), 1200)

    def test_load_and_draining_spread_with_the_news(self):
        net = Net(3)
        net.run(4.0)
        net.step("n0", [LocalStatus(17, True)])
        net.run(3.0)
        about = net.nodes["n2"].live()["n0"]
        self.assertEqual((about.load, about.draining), (17, True))

    @given(
        some.lists(
            some.tuples(
                some.sampled_from(["kill", "start", "cut", "heal", "freeze", "wake", "loss"]),
                some.integers(0, 3),
                some.integers(0, 3),
                some.floats(0.05, 3.0),
            ),
            max_size=12,
        ),
        some.integers(0, 1000),
    )
    def test_whatever_befalls_them_incarnations_never_go_back_and_all_agree_in_the_end(
        self, what, seed
    ):
        net, seen = Net(4, seed), {}

        def watch():
            for name in net.nodes:
                if name in net.dead:
                    continue
                for other, one in net.nodes[name].members.items():
                    key = name, id(net.nodes[name]), other
                    if one.since <= net.now:
                        self.assertGreaterEqual(one.about.incarnation, seen.get(key, 0))
                        seen[key] = one.about.incarnation

        net.run(3.0, watch)
        for verb, a, b, wait in what:
            one, other = f"n{a}", f"n{b}"
            if verb == "kill":
                net.dead.add(one)
            elif verb == "start" and one in net.dead:
                net.start(one)
            elif verb == "cut":
                net.cut.add((one, other))
            elif verb == "heal":
                net.cut.discard((one, other))
            elif verb == "freeze":
                net.frozen.add(one)
            elif verb == "wake":
                net.frozen.discard(one)
            else:
                net.loss = 0.2
            net.run(wait, watch)
        net.cut, net.frozen, net.loss = set(), set(), 0.0
        net.run(25.0, watch)
        self.assertTrue(net.agreed(sorted(set(net.nodes) - net.dead)))


class Sealed(unittest.TestCase):
    def pair(self):
        one, other = Authenticator([KEY], "a", b"1" * 8), Authenticator([KEY], "b", b"2" * 8)
        for sender, receiver, name in ((one, other, "b"), (other, one, "a")):
            with self.assertRaises(UnprovenSenderError) as caught:
                receiver.open(sender.close(b"hello", name))
            sender.learn(name, caught.exception.proof)
        return one, other

    def test_a_proven_sender_is_heard_and_each_message_once(self):
        one, other = self.pair()
        first, second = one.close(b"x", "b"), one.close(b"y", "b")
        self.assertEqual(other.open(second), ("a", b"y"))
        self.assertEqual(other.open(first), ("a", b"x"))  # late, but its first time
        for again in (first, second):
            with self.assertRaisesRegex(AuthenticationError, "came before"):
                other.open(again)

    def test_forged_changed_foreign_and_odd_messages_are_refused(self):
        one, other = self.pair()
        good = one.close(b"x", "b")
        for at in range(len(good)):
            with self.assertRaises(AuthenticationError):
                other.open(good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :])
            with self.assertRaises(AuthenticationError):
                other.open(good[:at])
        with self.assertRaisesRegex(AuthenticationError, "another fleet's"):
            other.open(Authenticator([OTHER], "a", b"1" * 8).close(b"x"))
        with self.assertRaisesRegex(AuthenticationError, "expected version 1, got 7"):
            other.open(b"\x07" + good[1:])
        with self.assertRaisesRegex(AuthenticationError, "our own"):
            one.open(good)

    def test_what_was_recorded_of_an_earlier_boot_cannot_be_played_again(self):
        one, other = self.pair()
        recorded = [one.close(b"old%d" % at, "b") for at in range(5)]
        anew = Authenticator([KEY], "a", b"3" * 8)
        with self.assertRaises(UnprovenSenderError) as caught:
            other.open(anew.close(b"hi", "b"))
        anew.learn("b", caught.exception.proof)
        self.assertEqual(other.open(anew.close(b"hi", "b")), ("a", b"hi"))
        for old in (
            recorded * 2
        ):  # the boot was proven once, but none of its messages had come through
            with self.assertRaises(AuthenticationError):
                other.open(old)
        self.assertEqual(other.open(anew.close(b"ho", "b")), ("a", b"ho"))

    def test_a_boot_that_was_heard_and_replaced_stays_out(self):
        one, other = self.pair()
        other.open(one.close(b"x", "b"))
        recorded, anew = one.close(b"y", "b"), Authenticator([KEY], "a", b"3" * 8)
        with self.assertRaises(UnprovenSenderError) as caught:
            other.open(anew.close(b"hi", "b"))
        anew.learn("b", caught.exception.proof)
        other.open(anew.close(b"hi", "b"))
        with self.assertRaisesRegex(AuthenticationError, "replaced"):
            other.open(recorded)

    def test_a_receiver_that_restarts_takes_no_recorded_message(self):
        one, other = self.pair()
        recorded = one.close(b"x", "b")
        with self.assertRaises(UnprovenSenderError):
            Authenticator([KEY], "b", b"9" * 8).open(recorded)

    def test_keys_change_in_service(self):
        one, other = self.pair()
        other.keys = [OTHER, KEY]
        self.assertEqual(other.open(one.close(b"x", "b"))[1], b"x")
        one.keys = [OTHER, KEY]
        self.assertEqual(other.open(one.close(b"y", "b"))[1], b"y")
        other.keys = [OTHER]
        self.assertEqual(other.open(one.close(b"z", "b"))[1], b"z")

    @given(some.lists(some.integers(1, 200), max_size=120))
    def test_no_counter_is_taken_twice_in_any_order(self, order):
        one, other = self.pair()
        messages, taken = [one.close(b"%d" % at, "b") for at in range(201)], []
        for at in order:
            try:
                taken.append(other.open(messages[at])[1])
            except AuthenticationError:
                pass
        self.assertEqual(len(taken), len(set(taken)))


def fleet_of(*names, loads=None):
    made = {}
    for name in names:
        made[name] = Ownership(name, 200.0, random.Random(1))
        made[name].living(0.0, {other: ((loads or {}).get(other, 0), False) for other in names})
    return made


class WhoOwns(unittest.TestCase):
    PROXIES = [f"p{at}" for at in range(300)]

    def test_all_name_the_same_owner_and_a_change_moves_only_its_own_part(self):
        three, two = fleet_of("a", "b", "c"), fleet_of("a", "b")
        ownership = {p: three["a"].owner(p) for p in self.PROXIES}
        self.assertEqual(ownership, {p: three["c"].owner(p) for p in self.PROXIES})
        moved = [p for p in self.PROXIES if ownership[p] != two["a"].owner(p)]
        self.assertEqual({ownership[p] for p in moved}, {"c"})

    def test_load_is_bounded(self):
        loads = {"a": 0, "b": 0, "c": 0, "d": 0}
        ownership = fleet_of(*loads)["a"]
        for proxy in self.PROXIES:
            ownership.living(0.0, {name: (load, False) for name, load in loads.items()})
            loads[ownership.owner(proxy)] += 1
        self.assertLessEqual(max(loads.values()), 300 / 4 * 1.25 + 5)

    def test_one_that_cannot_reach_its_owner_is_taken_in_by_whoever_it_reached(self):
        made = fleet_of("a", "b", "c")
        proxy = next(p for p in self.PROXIES if ranked(p, "abc")[0] == "a")
        self.assertFalse(made["b"].admit(0.0, proxy, 4).take)
        self.assertTrue(made["b"].admit(0.0, proxy, 4, hops=2).take)
        second = ranked(proxy, "abc")[1]
        self.assertTrue(made[second].admit(0.0, proxy, 4, avoid=("a",)).take)

    def test_one_that_could_not_reach_its_owner_is_not_sent_back_there_at_once(self):
        # Seed 50016 of the lab: it was taken in and sent on five times a second until its dead owner was known.
        ownership = Ownership("a", 200.0, random.Random(1))
        ownership.living(0.0, {"a": (4, False), "b": (4, False)})
        proxy = next(f"p{at}" for at in range(100) if ranked(f"p{at}", "ab")[0] == "b")
        self.assertTrue(ownership.admit(10.0, proxy, 0, 2, ("b",)).take)
        self.assertEqual(ownership.moves(12.0), [])
        self.assertEqual(ownership.moves(16.0), [(proxy, "b")])

    def test_a_herd_is_paced_with_drawn_waits(self):
        ownership = fleet_of("a")["a"]
        verdicts = [ownership.admit(0.0, p, 0) for p in self.PROXIES]
        self.assertEqual(sum(v.take for v in verdicts), JOIN_BURST)
        waits = {v.wait for v in verdicts if not v.take}
        self.assertGreater(len(waits), 200)
        again = [ownership.admit(1.0, p, 0).take for p in self.PROXIES]
        self.assertEqual(sum(again), JOIN_BURST)

    def test_a_draining_controller_hands_all_over_and_takes_none(self):
        made = fleet_of("a", "b")
        for proxy in self.PROXIES[:40]:
            made["a"].admit(0.0, proxy, 0, hops=2)
        made["a"].draining = True
        for one in made.values():
            one.living(10.0, {"a": (40, True), "b": (0, False)})
        moved, now = set(), 10.0
        while len(moved) < 40 and now < 60:
            for proxy, owner in made["a"].moves(now):
                self.assertEqual(owner, "b")
                made["a"].left(proxy)
                moved.add(proxy)
            now += 0.1
        self.assertEqual(len(moved), 40)
        self.assertNotEqual(made["b"].owner("new"), "a")

    def test_nothing_is_moved_while_the_living_change(self):
        made = fleet_of("a", "b")["a"]
        for proxy in self.PROXIES[:40]:
            made.admit(0.0, proxy, 0, hops=2)
        made.living(10.0, {"a": (40, False), "b": (0, False)})
        made.changed_at = 10.0
        self.assertEqual(made.moves(11.0), [])
        self.assertTrue(made.moves(14.0))

    @given(
        some.lists(
            some.tuples(some.sampled_from("abc"), some.integers(0, 4), some.booleans()), max_size=40
        ),
        some.integers(0, 99),
    )
    def test_epochs_never_go_back_and_one_owner_at_most_is_effective(self, joins, seed):
        """The proxy joins whom it will, in any order; orders of all that it ever joined arrive in any order."""
        made, chance = fleet_of("a", "b", "c"), random.Random(seed)
        fence, orders, effective = Fence(), [], []
        for name, many, forget in joins:
            fence = Fence(
                (fence.newest[0] + 1, 1 << 62)
            )  # its dial itself fences all that were before
            verdict = made[name].admit(0.0, "p", fence.newest[0], hops=9)
            if not verdict.take:
                continue
            epoch = made[name].epochs["p"]
            self.assertGreater(epoch, fence.newest[0])
            orders += [(epoch, serial, name) for serial in range(1, many + 1)]
            if forget:
                made[name].left("p")  # it restarts, or the stream ended
            for order in chance.sample(orders, len(orders)):
                if fence.allows(order[0], order[1]):
                    self.assertEqual((order[0], order[2]), (epoch, name))
                    effective.append(order[:2])
                    fence = fence.past(order[0], order[1])
        self.assertEqual(len(effective), len(set(effective)))
        self.assertEqual(effective, sorted(effective))


class Notes(unittest.TestCase):
    """Advice between planners, over two members' sockets."""

    def test_a_note_arrives_sealed_and_a_flood_is_cut(self):
        async def case():
            port, heard, made = free_port(), [], []
            script = SCRIPT
            for at in (1, 2):
                here = f'"127.1.0.{at}:'
                script = script.replace(
                    f"control = {here}", f'peer = {here}{{grpc}}", control = {here}'
                )
            only = settings(port, script=script, more=f"fleet(keys = [{KEY.hex()!r}])")
            stewards = only["steward"]
            for at, me in enumerate(stewards):
                made.append(
                    GossipNode(
                        only,
                        me,
                        random.Random(at),
                        bytes([at]) * 8,
                        lambda: 0,
                        lambda *_, **__: None,
                        lambda sender, payload: heard.append((sender, payload)),
                    )
                )
                await made[-1].open()
            try:
                await until(lambda: all(len(one.members.live()) == 2 for one in made))
                made[0].tell(b"host-0 3.0 2.0 0.1")
                await until(lambda: heard)
                self.assertEqual(heard[0], (0, b"host-0 3.0 2.0 0.1"))
                for _ in range(NOTES_MOST * 3):
                    made[1].take_note("ns1", b"x")
                self.assertGreaterEqual(made[1].counts["notes dropped"], NOTES_MOST)
                made[0].tell(b"x" * (NOTE_MOST + 1))
                made[1].take_note("stranger", b"x")
                self.assertLessEqual(len(heard), 2 * NOTES_MOST + 1)
            finally:
                for one in made:
                    one.leave()

        run(case())
