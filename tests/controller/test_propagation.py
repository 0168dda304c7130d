"""The trace of endpoint removals, and the `why` query that reports it."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.benchmarks.herd import SimulatedProxy
from peatlead.controller import propagation
from peatlead.controller.control_socket import ask_once
from peatlead.controller.propagation import PropagationTrace
from peatlead.tables.version import Version

from ..standin_fleet import run_with_standins, until
from ..test_scale import GRPC_SCRIPT


class PropagationTraceTest(unittest.TestCase):
    def test_a_holder_has_lost_an_endpoint_once_it_applies_the_version(self):
        trace = PropagationTrace()
        trace.begin_withdrawal(1.0, 5, 70)
        # An older version, applied before the message with the removal leaves the channel.
        trace.version_applied(1.1, 70, Version(1, 3))
        trace.message_dequeued(70)
        trace.version_applied(1.2, 70, Version(1, 3))  # sent before the message left the channel
        trace.version_sent(70, Version(1, 4))
        trace.version_applied(1.3, 70, Version(1, 3))
        self.assertIn(5, trace.active_withdrawals)
        trace.version_applied(1.5, 70, Version(1, 4))
        (withdrawal,) = trace.status(2.0, 5)["losses"]
        self.assertEqual(
            (withdrawal["holders"], withdrawal["without it"], withdrawal["last s"]), (1, 1, 0.5)
        )
        self.assertEqual((trace.active_withdrawals, trace.pending_endpoints), ({}, {}))

    def test_disconnected_holders_are_counted_separately(self):
        trace = PropagationTrace()
        for holder in (1, 2, 3):
            trace.begin_withdrawal(0.0, 9, holder)
            trace.message_dequeued(holder)
        trace.version_applied(0.2, 1)
        trace.holder_left(0.3, 2)
        (withdrawal,) = trace.status(1.0, 9)["losses"]
        self.assertEqual(
            (withdrawal["without it"], withdrawal["left before"], withdrawal["still to go"]),
            (1, 1, 1),
        )

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("begin", "dequeued", "sent", "applied", "left")),
                st.integers(0, 6),
                st.integers(0, 6),
            ),
            max_size=120,
        )
    )
    def test_no_state_remains_after_any_order_of_events(self, steps):
        trace, serial = PropagationTrace(), 0
        for now, (step, endpoint, holder) in enumerate(steps):
            if step == "begin":
                trace.begin_withdrawal(float(now), endpoint, holder)
            elif step == "dequeued":
                trace.message_dequeued(holder)
            elif step == "sent":
                serial += 1
                trace.version_sent(holder, Version(1, serial))
            elif step == "applied":
                trace.version_applied(float(now), holder, Version(1, serial))
            else:
                trace.holder_left(float(now), holder)
            pairs = {
                (endpoint, holder)
                for endpoint, withdrawal in trace.active_withdrawals.items()
                for holder in withdrawal.progress
            }
            self.assertEqual(
                pairs,
                {
                    (endpoint, holder)
                    for holder, endpoints in trace.pending_endpoints.items()
                    for endpoint in endpoints
                },
            )
        for holder in range(7):
            trace.holder_left(999.0, holder)
        self.assertEqual((trace.active_withdrawals, trace.pending_endpoints), ({}, {}))

    def test_the_state_is_bounded(self):
        trace = PropagationTrace()
        for endpoint in range(propagation.MAX_ACTIVE_WITHDRAWALS + 50):
            trace.begin_withdrawal(0.0, endpoint, 1)
            for now in range(30):
                trace.record_event(float(now), endpoint, "again")
        self.assertEqual(
            (len(trace.active_withdrawals), trace.dropped_count, len(trace.pending_endpoints[1])),
            (propagation.MAX_ACTIVE_WITHDRAWALS, 50, propagation.MAX_ACTIVE_WITHDRAWALS),
        )
        self.assertEqual(len(trace.status(99.0, 7)["notes"]), propagation.MAX_EVENTS_PER_ENDPOINT)


class WhyQueryTest(unittest.TestCase):
    def test_a_drain_is_traced_to_the_last_proxy(self):
        async def case(world):
            controller = await world.start_controller()
            proxies = [SimulatedProxy(number, ("127.1.0.1", world.port + 2)) for number in range(6)]
            await asyncio.gather(*(proxy.connect() for proxy in proxies))
            await until(lambda: all(len(proxy.addresses) > 1 for proxy in proxies))
            name, address = next(
                (plan.name, plan.address)
                for plan in world.plans
                if any(plan.address in proxy.addresses for proxy in proxies)
            )
            holders = sum(address in proxy.addresses for proxy in proxies)
            world.phases[name] = "draining"
            world.write_list()
            await until(lambda: not any(address in proxy.addresses for proxy in proxies))
            endpoint = controller.registry.numbers[name]
            await until(lambda: endpoint not in controller.propagation.active_withdrawals)
            answer = await ask_once(
                controller.own_settings["control"], {"ask": "why", "host": name}
            )
            self.assertEqual((answer["phase"], answer["holders"]), ("draining", 0))
            self.assertTrue(any("drains" in text for _, text in answer["notes"]), answer["notes"])
            withdrawal = answer["losses"][-1]
            self.assertGreaterEqual(withdrawal["without it"], holders)
            self.assertEqual(withdrawal["still to go"], 0)
            proxy_answer = await ask_once(
                controller.own_settings["control"], {"ask": "why", "host": "agent3"}
            )
            self.assertEqual((proxy_answer["zone"], proxy_answer["losses under way"]), ("a", []))
            self.assertNotIn(name, proxy_answer["lines"]["look"])
            self.assertIn(
                "expected a host",
                (
                    await ask_once(
                        controller.own_settings["control"], {"ask": "why", "host": "nobody"}
                    )
                )["error"],
            )
            for proxy in proxies:
                proxy.connection.abort("over")

        run_with_standins(case, script=GRPC_SCRIPT)
