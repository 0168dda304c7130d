import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as some

from peatlead.benchmarks.herd import SimulatedProxy
from peatlead.controller import propagation
from peatlead.controller.control_socket import ask_once
from peatlead.controller.propagation import PropagationTrace
from peatlead.tables.version import Version

from ..standin_fleet import run_with_standins, until
from ..test_scale import GRPC_SCRIPT


class PropagationTraceTest(unittest.TestCase):
    def test_a_holder_is_without_an_endpoint_once_the_version_is_in_force(self):
        trace = PropagationTrace()
        trace.begin_withdrawal(1.0, 5, 70)
        trace.applied(
            1.1, 70, Version(1, 3)
        )  # of a version from before: its message has not left yet
        trace.left(70)
        trace.applied(1.2, 70, Version(1, 3))  # it was under way when the message left
        trace.sent(70, Version(1, 4))
        trace.applied(1.3, 70, Version(1, 3))
        self.assertIn(5, trace.open)
        trace.applied(1.5, 70, Version(1, 4))
        (withdrawal,) = trace.status(2.0, 5)["losses"]
        self.assertEqual(
            (withdrawal["holders"], withdrawal["without it"], withdrawal["last s"]), (1, 1, 0.5)
        )
        self.assertEqual((trace.open, trace.holding), ({}, {}))

    def test_disconnected_holders_are_counted_separately(self):
        trace = PropagationTrace()
        for holder in (1, 2, 3):
            trace.begin_withdrawal(0.0, 9, holder)
            trace.left(holder)
        trace.applied(0.2, 1)
        trace.ended(0.3, 2)
        (withdrawal,) = trace.status(1.0, 9)["losses"]
        self.assertEqual(
            (withdrawal["without it"], withdrawal["left before"], withdrawal["still to go"]),
            (1, 1, 1),
        )

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
    def test_no_state_remains_after_any_order_of_events(self, steps):
        trace, serial = PropagationTrace(), 0
        for at, (step, host, holder) in enumerate(steps):
            if step == "lose":
                trace.begin_withdrawal(float(at), host, holder)
            elif step == "left":
                trace.left(holder)
            elif step == "sent":
                serial += 1
                trace.sent(holder, Version(1, serial))
            elif step == "applied":
                trace.applied(float(at), holder, Version(1, serial))
            else:
                trace.ended(float(at), holder)
            pairs = {(host, holder) for host, loss in trace.open.items() for holder in loss.waiting}
            self.assertEqual(
                pairs, {(host, holder) for holder, hosts in trace.holding.items() for host in hosts}
            )
        for holder in range(7):
            trace.ended(999.0, holder)
        self.assertEqual((trace.open, trace.holding), ({}, {}))

    def test_the_state_is_bounded(self):
        trace = PropagationTrace()
        for host in range(propagation.WITHDRAWALS_MOST + 50):
            trace.begin_withdrawal(0.0, host, 1)
            for at in range(30):
                trace.note(float(at), host, "again")
        self.assertEqual(
            (len(trace.open), trace.forgotten, len(trace.holding[1])),
            (propagation.WITHDRAWALS_MOST, 50, propagation.WITHDRAWALS_MOST),
        )
        self.assertEqual(len(trace.status(99.0, 7)["notes"]), propagation.EVENTS_EACH)


class WhyQueryTest(unittest.TestCase):
    def test_a_drain_is_traced_to_the_last_proxy(self):
        async def case(world):
            controller = await world.start_controller()
            agents = [SimulatedProxy(at, ("127.1.0.1", world.port + 2)) for at in range(6)]
            await asyncio.gather(*(agent.connect() for agent in agents))
            await until(lambda: all(len(agent.addresses) > 1 for agent in agents))
            name, address = next(
                (plan.name, plan.address)
                for plan in world.plans
                if any(plan.address in agent.addresses for agent in agents)
            )
            holders = sum(address in agent.addresses for agent in agents)
            world.phases[name] = "draining"
            world.write_list()
            await until(lambda: not any(address in agent.addresses for agent in agents))
            index = controller.registry.index[name]
            await until(lambda: index not in controller.propagation.open)
            answer = await ask_once(controller.me["control"], {"ask": "why", "host": name})
            self.assertEqual((answer["phase"], answer["holders"]), ("draining", 0))
            self.assertTrue(any("drains" in text for _, text in answer["notes"]), answer["notes"])
            loss = answer["losses"][-1]
            self.assertGreaterEqual(loss["without it"], holders)
            self.assertEqual(loss["still to go"], 0)
            proxy = await ask_once(controller.me["control"], {"ask": "why", "host": "agent3"})
            self.assertEqual((proxy["zone"], proxy["losses under way"]), ("a", []))
            self.assertNotIn(name, proxy["lines"]["look"])
            self.assertIn(
                "expected a host",
                (await ask_once(controller.me["control"], {"ask": "why", "host": "nobody"}))[
                    "error"
                ],
            )
            for agent in agents:
                agent.connection.abort("over")

        run_with_standins(case, script=GRPC_SCRIPT)
