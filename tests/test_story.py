import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as some

from peatlead.benchmarks.herd import Agent
from peatlead.controller import propagation as module
from peatlead.controller.control_socket import ask_once
from peatlead.controller.propagation import PropagationTrace
from peatlead.tables.version import Version

from .places import play, until
from .test_scale import GRPC


class Ways(unittest.TestCase):
    def test_a_holder_is_without_once_the_version_that_says_so_is_in_force(self):
        made = PropagationTrace()
        made.losing(1.0, 5, 70)
        made.applied(
            1.1, 70, Version(1, 3)
        )  # of a version from before: its message has not left yet
        made.left(70)
        made.applied(1.2, 70, Version(1, 3))  # it was under way when the message left
        made.sent(70, Version(1, 4))
        made.applied(1.3, 70, Version(1, 3))
        self.assertIn(5, made.open)
        made.applied(1.5, 70, Version(1, 4))
        (told,) = made.tell(2.0, 5)["losses"]
        self.assertEqual((told["holders"], told["without it"], told["last s"]), (1, 1, 0.5))
        self.assertEqual((made.open, made.holding), ({}, {}))

    def test_one_that_leaves_is_counted_apart(self):
        made = PropagationTrace()
        for holder in (1, 2, 3):
            made.losing(0.0, 9, holder)
            made.left(holder)
        made.applied(0.2, 1)
        made.ended(0.3, 2)
        (told,) = made.tell(1.0, 9)["losses"]
        self.assertEqual((told["without it"], told["left before"], told["still to go"]), (1, 1, 1))

    @given(
        some.lists(
            some.tuples(
                some.sampled_from(("lose", "left", "sent", "applied", "ended")),
                some.integers(0, 6),
                some.integers(0, 6),
            ),
            max_size=120,
        )
    )
    def test_nothing_is_left_behind_whatever_the_order(self, steps):
        made, serial = PropagationTrace(), 0
        for at, (what, host, holder) in enumerate(steps):
            if what == "lose":
                made.losing(float(at), host, holder)
            elif what == "left":
                made.left(holder)
            elif what == "sent":
                serial += 1
                made.sent(holder, Version(1, serial))
            elif what == "applied":
                made.applied(float(at), holder, Version(1, serial))
            else:
                made.ended(float(at), holder)
            pairs = {(host, holder) for host, loss in made.open.items() for holder in loss.waiting}
            self.assertEqual(
                pairs, {(host, holder) for holder, hosts in made.holding.items() for host in hosts}
            )
        for holder in range(7):
            made.ended(999.0, holder)
        self.assertEqual((made.open, made.holding), ({}, {}))

    def test_what_is_kept_is_bounded(self):
        made = PropagationTrace()
        for host in range(module.LOSSES_MOST + 50):
            made.losing(0.0, host, 1)
            for at in range(30):
                made.note(float(at), host, "again")
        self.assertEqual(
            (len(made.open), made.forgotten, len(made.holding[1])),
            (module.LOSSES_MOST, 50, module.LOSSES_MOST),
        )
        self.assertEqual(len(made.tell(99.0, 7)["notes"]), module.NOTES_EACH)


class Asked(unittest.TestCase):
    def test_a_hosts_loss_is_followed_to_the_last_agent(self):
        async def case(world):
            steward = await world.steward()
            agents = [Agent(at, ("127.1.0.1", world.port + 2)) for at in range(6)]
            await asyncio.gather(*(one.begin() for one in agents))
            await until(lambda: all(len(one.hosts) > 1 for one in agents))
            name, address = next(
                (plan.name, plan.address)
                for plan in world.plans
                if any(plan.address in one.hosts for one in agents)
            )
            holders = sum(address in one.hosts for one in agents)
            world.phases[name] = "draining"
            world.write()
            await until(lambda: not any(address in one.hosts for one in agents))
            index = steward.registry.index[name]
            await until(lambda: index not in steward.propagation.open)
            told = await ask_once(steward.me["control"], {"ask": "why", "host": name})
            self.assertEqual((told["phase"], told["holders"]), ("draining", 0))
            self.assertTrue(any("drains" in text for _, text in told["notes"]), told["notes"])
            loss = told["losses"][-1]
            self.assertGreaterEqual(loss["without it"], holders)
            self.assertEqual(loss["still to go"], 0)
            proxy = await ask_once(steward.me["control"], {"ask": "why", "host": "agent3"})
            self.assertEqual((proxy["zone"], proxy["losses under way"]), ("a", []))
            self.assertNotIn(name, proxy["lines"]["look"])
            self.assertIn(
                "expected a host",
                (await ask_once(steward.me["control"], {"ask": "why", "host": "nobody"}))["error"],
            )
            for one in agents:
                one.connection.cut("over")

        play(case, script=GRPC)
