"""Reports from proxies and collectors."""

import unittest

from peatlead import interface

from ..platforms import (
    OUTCOMES,
    run_with_platform,
)
from ..standin_fleet import until


class Reports(unittest.TestCase):
    def test_valid_reports_reach_the_planner_and_invalid_reports_are_ignored(self):
        async def case(platform):
            events, submit_event = [], platform.controller.submit
            platform.controller.submit = lambda event: (events.append(event), submit_event(event))
            await platform.connect_proxy(3)
            collector = await platform.connect()
            collector.send_message(msg="agent", locality="z1")
            for change in (
                {"total": -1},
                {"total": 2e6},  # in one second
                {"total": 6e5, "interval": 100},  # in less than half a reporting interval
                {"endpoint": "s-99"},
                {"locality": "nowhere"},
                {"msg": "push"},
                {},
            ):
                collector.send_message(**{**OUTCOMES, **change})
            collector.send_message(
                msg="demand", node=99, route="read", total=1, errors=0, interval=1000
            )
            collector.send_message(
                msg="demand", node=3, route="pay", total=2e6, errors=0, interval=1000
            )
            collector.send_message(
                msg="demand", node=3, route="nothing", total=1, errors=0, interval=1000
            )
            collector.send_message(
                msg="demand", node=3, route="pay", total=8, errors=1, interval=500
            )
            await until(lambda: any(type(event) is interface.RequestStats for event in events))
            self.assertEqual(
                [
                    event
                    for event in events
                    if type(event) in (interface.EndpointStats, interface.RequestStats)
                ],
                [
                    interface.EndpointStats(
                        1, 0, 12, 3, 1.0, 0.0415, {"util": 0.5, "holding": 3.0, "service_ms": 31.0}
                    ),
                    interface.RequestStats(3, 1, 8, 1, 0.5),
                ],
            )
            collector.send(b"no sense at all\n")
            await until(lambda: collector.end_reason)
            self.assertEqual(platform.controller.listener.counts["spoilt"], 5)

        run_with_platform(case)


class Acknowledgements(unittest.TestCase):
    def test_a_proxy_acknowledges_only_what_was_sent_to_it(self):
        # Guards against a channel that counts as empty because one proxy names a wrong nonce.
        async def case(platform):
            proxies = [await platform.connect_proxy_with_table(number) for number in range(3)]
            nonces = [proxy.messages[-1]["nonce_out"] for proxy in proxies]
            backlog = platform.controller.planner.budget.backlog
            queued = backlog.unacknowledged_entries
            self.assertEqual(nonces, sorted(set(nonces)))
            proxies[0].send_message(msg="ack", node=0, nonce=nonces[2], latency=10)
            await until(lambda: platform.controller.listener.counts.get("unknown name"))
            proxies[0].send_message(msg="ack", node=0, nonce=60_000, latency=10)
            await until(lambda: platform.controller.listener.counts["unknown name"] == 2)
            platform.controller.run_batch()
            self.assertEqual(backlog.unacknowledged_entries, queued)
            proxies[2].send_message(msg="ack", node=2, nonce=nonces[2], latency=10)
            await until(lambda: not platform.controller.proxy_sessions[2].unacknowledged_nonces)
            platform.controller.run_batch()
            self.assertEqual(backlog.unacknowledged_entries, 0)

        run_with_platform(case)
