"""Messages to proxies: tables, admissions, ejections and restorations."""

import unittest
from collections import Counter

from peatlead import interface
from peatlead.controller.publisher import Publisher
from peatlead.standin.platform_proxies import ProxyState

from ..helpers import SETTINGS
from ..platforms import (
    UNIX_TIME,
    instance,
    removed_endpoints,
    run_with_platform,
)
from ..standin_fleet import until


def restored_counts(messages):
    """Return how often each endpoint is restored in decoded messages."""
    return Counter(name for part in messages for name in part.get("restore", ()))


class Tables(unittest.TestCase):
    def test_a_joining_proxy_receives_one_whole_table_and_its_admission(self):
        async def case(platform):
            proxy = await platform.connect_proxy()
            await until(
                lambda: any(part.get("full") for part in proxy.messages)
                and not proxy.messages[-1].get("continued")
            )
            return proxy.messages[[part.get("full") for part in proxy.messages].index(True) :]

        table_message, *later_messages = run_with_platform(case)
        self.assertEqual(
            sorted(name for name, _ in table_message["endpoints"]), ["s-0", "s-1", "s-2", "s-3"]
        )
        # The proxy may eject any endpoint since an earlier stream.
        self.assertEqual(
            restored_counts([table_message, *later_messages]),
            {"s-0": 1, "s-1": 1, "s-2": 1, "s-3": 1},
        )
        self.assertEqual(
            [part["admit"] for part in (table_message, *later_messages) if "admit" in part], [1.0]
        )

    def test_request_classes_limited_to_their_zone_have_a_separate_table(self):
        async def case(platform):
            proxy = await platform.connect_proxy()
            await until(lambda: sum(part.get("full", False) for part in proxy.messages) == 2)
            return [part for part in proxy.messages if part.get("full")]

        request_classes = [
            {**request_class, "own_zone": request_class["name"] == "pay"}
            for request_class in SETTINGS["req_kinds"]
        ]
        tables = run_with_platform(case, req_kinds=request_classes)
        endpoints_by_class = {
            tuple(part["routes"]): {name for name, _ in part["endpoints"]} for part in tables
        }
        self.assertEqual(
            (set(endpoints_by_class), endpoints_by_class["pay",]),
            ({("read",), ("pay",)}, {"s-0", "s-2"}),
        )
        self.assertTrue(endpoints_by_class["read",] & {"s-1", "s-3"})

    def test_a_table_of_cold_endpoints_comes_in_one_message_with_its_fraction(self):
        # Between an entry and a later fraction, the endpoint would get all requests.
        async def case(platform):
            proxy = await platform.connect_proxy_with_table()
            platform.discovery.publish(instance(0, lifecycle="left"), instance(2, lifecycle="left"))
            await until(lambda: removed_endpoints(proxy) == {"s-0", "s-2"})
            seen = len(proxy.messages)
            platform.discovery.publish(instance(9, started=1000 * (UNIX_TIME - 1.0)))
            await until(
                lambda: any(
                    "s-9" in dict(part.get("endpoints", ())) and part["routes"] == ["pay"]
                    for part in proxy.messages[seen:]
                )
                and not proxy.messages[-1].get("continued")
            )
            return proxy.messages[seen:]

        request_classes = [
            {**request_class, "own_zone": request_class["name"] == "pay"}
            for request_class in SETTINGS["req_kinds"]
        ]
        parts = run_with_platform(case, req_kinds=request_classes)
        entry = next(
            position for position, part in enumerate(parts) if "s-9" in dict(part["endpoints"])
        )
        end = next(
            position
            for position, part in enumerate(parts)
            if position >= entry and not part.get("continued")
        )
        fractions = {
            tuple(part["routes"]): part["admit"] for part in parts[: end + 1] if "admit" in part
        }
        self.assertLess(fractions["pay",], 0.5)
        self.assertNotIn(("read",), fractions)


class Ejections(unittest.TestCase):
    def test_a_proxy_with_a_table_receives_a_removal_for_a_drain_and_an_entry_for_the_return(self):
        # An additional ejection would cost the channel one more entry per proxy and endpoint.
        async def case(platform):
            proxy = await platform.connect_proxy()
            state = ProxyState(
                0, "z0", [request_class["name"] for request_class in SETTINGS["req_kinds"]]
            )
            await until(lambda: proxy.messages)
            platform.discovery.publish(instance(2, lifecycle="leaving"))
            await until(
                lambda: ["s-2", 0.0]
                in [entry for part in proxy.messages for entry in part.get("endpoints", ())]
            )
            state.apply(proxy.messages)
            self.assertEqual(state.reachable_endpoints(), {"s-0", "s-1", "s-3"})
            platform.discovery.publish(instance(2, started=1.9e12))

            def reachable():
                state.apply(proxy.messages)
                return "s-2" in state.reachable_endpoints()

            await until(reachable)

        run_with_platform(case)

    def test_a_proxy_that_waits_for_its_table_receives_an_ejection_for_a_drain(self):
        async def case(platform):
            platform.controller.planner.settings = {
                **platform.controller.planner.settings,
                "queue_most": 0.0,
            }  # no table fits in the queue
            proxy, new_proxy = (
                await platform.connect_proxy(0, bootstrap_only=False),
                await platform.connect_proxy(1, "z1"),
            )
            await until(lambda: len(platform.controller.planner.unassigned) == 2)
            platform.controller.planner.settings = {
                **platform.controller.planner.settings,
                "queue_most": 1000.0,
            }
            platform.controller.planner.budget.backlog.unacknowledged_entries = 410.0
            platform.discovery.publish(instance(2, lifecycle="leaving"))
            await until(lambda: any(part.get("eject") == ["s-2"] for part in proxy.messages))
            self.assertFalse(any(part.get("full") for part in proxy.messages + new_proxy.messages))

        run_with_platform(case)

    def test_an_endpoint_that_another_controller_ejected_is_restored_with_its_entry(self):
        # A proxy keeps ejections after its stream has ended, also those of another controller.
        async def case(platform):
            planner = platform.controller.planner
            await until(lambda: 1 in planner.endpoints)
            platform.discovery.publish(instance(1, "z1", "leaving"))
            await until(lambda: planner.endpoints[1].withdrawn)
            platform.discovery.publish(instance(1, "z1", started=1.9e12))
            proxy = await platform.connect_proxy(0, bootstrap_only=False)
            await until(lambda: "s-1" in restored_counts(proxy.messages), 20)
            await until(lambda: not proxy.messages[-1].get("continued"))
            state = ProxyState(0, "z0", ["read", "pay"])
            state.ejected = {"s-0", "s-1", "s-2", "s-3"}
            state.apply(proxy.messages)
            self.assertEqual(state.reachable_endpoints(), {"s-0", "s-1", "s-2", "s-3"})
            self.assertEqual(set(restored_counts(proxy.messages).values()), {1})

        run_with_platform(case)

    def test_every_endpoint_of_a_table_is_restored_once_on_a_stream(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.discovery.publish(instance(7, started=1.9e12))
            await until(lambda: "s-7" in platform.controller.endpoint_tracker.registry.numbers)
            platform.discovery.publish(
                instance(1, "z1")
            )  # it may have left and returned since the previous list
            await until(lambda: platform.controller.watch.version == 3)
            platform.discovery.publish(instance(8))
            await until(lambda: "s-8" in platform.controller.endpoint_tracker.registry.numbers)
            proxy = await platform.connect_proxy_with_table(2)
            expected = dict.fromkeys(("s-0", "s-1", "s-2", "s-3", "s-7", "s-8"), 1)
            await until(lambda: restored_counts(proxy.messages) == expected)
            # The proxy has the endpoint removed, not ejected, so that the stream restores it no
            # more than once.
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: "s-0" in removed_endpoints(proxy))
            platform.discovery.publish(instance(0, started=1.95e12))
            await until(lambda: "s-0" not in removed_endpoints(proxy))
            self.assertEqual(restored_counts(proxy.messages), expected)

        run_with_platform(case, probing=False)

    def test_a_withdrawal_is_sent_once_per_stream(self):
        publisher = Publisher()
        publisher.join(5, enforces_admission=True)
        sent = [publisher.route([interface.WithdrawEndpoint(1, True)])[0] for _ in range(2)]
        publisher.leave(5)
        publisher.join(5, enforces_admission=True)
        self.assertEqual(
            [*sent, publisher.route([interface.WithdrawEndpoint(1, True)])[0]],
            [{5: {("withdrawn", 1): True}}, {}, {5: {("withdrawn", 1): True}}],
        )
        self.assertEqual(
            publisher.route([interface.WithdrawEndpoint(1, False)])[0],
            {5: {("withdrawn", 1): False}},
        )
        self.assertEqual(
            publisher.route([interface.WithdrawEndpoint(1, True)])[0], {5: {("withdrawn", 1): True}}
        )


class Failures(unittest.TestCase):
    def test_a_message_that_cannot_be_composed_ends_its_stream_and_the_planner_keeps_running(self):
        async def case(platform):
            proxy, other_proxy = (
                await platform.connect_proxy_with_table(0),
                await platform.connect_proxy_with_table(1),
            )
            table_updates = platform.controller.push_composer.table_updates
            platform.controller.push_composer.table_updates = (
                lambda publisher, number, operations: (
                    1 / 0 if number == 0 else table_updates(publisher, number, operations)
                )
            )
            platform.discovery.publish(instance(1, "z1", "leaving"))
            await until(lambda: proxy.end_reason and "s-1" in removed_endpoints(other_proxy))
            platform.controller.push_composer.table_updates = table_updates
            new_stream = await platform.connect_proxy_with_table(0)
            batches_before = platform.controller.batch_count
            await until(lambda: platform.controller.batch_count > batches_before + 3)
            self.assertIsNone(new_stream.end_reason)

        run_with_platform(case)
