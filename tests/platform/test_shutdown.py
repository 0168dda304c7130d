"""Stopping a controller (docs/endings.md)."""

import asyncio
import unittest

from peatlead.net.streams import LineStream
from peatlead.platform.controller import PlatformController
from peatlead.platform.messages import (
    Address,
)

from ..platforms import (
    DISCOVERY_HOST,
    endpoint_list,
    instance,
    removed_endpoints,
    run_with_platform,
)
from ..standin_fleet import until


class Shutdown(unittest.TestCase):
    def test_events_received_before_the_stop_are_decided_on_and_written(self):
        async def case(platform):
            proxy = await platform.connect_proxy_with_table()
            platform.controller.on_endpoint_list(
                endpoint_list(2, instance(1, "z1", "leaving"))
            )  # in the inbox, not decided on yet
            platform.controller.stop()
            await until(lambda: proxy.end_reason)
            self.assertEqual(
                (removed_endpoints(proxy), platform.controller.ended.result()), ({"s-1"}, "stopped")
            )

        run_with_platform(case)

    def test_buffered_bytes_are_sent_although_another_peer_does_not_read(self):
        async def case(platform):
            proxy, unresponsive_proxy = (
                await platform.connect_proxy_with_table(0),
                await platform.connect_proxy_with_table(1),
            )
            unresponsive_proxy.transport.pause_reading()
            for session in platform.controller.proxy_sessions.values():
                session.transport.write(b'{"pad":"' + b" " * 100_000 + b'"}\n')
            platform.controller.on_endpoint_list(endpoint_list(2, instance(0, lifecycle="leaving")))
            platform.controller.stop()
            await until(lambda: proxy.end_reason and platform.controller.ended.done())
            self.assertEqual(removed_endpoints(proxy), {"s-0"})

        run_with_platform(case)

    def test_a_second_stop_a_reload_and_late_timers_have_no_effect(self):
        async def case(platform):
            proxy = await platform.connect_proxy_with_table()
            platform.controller.stop()
            batches_before = platform.controller.batch_count
            platform.controller.stop("again")
            platform.configuration = platform.configuration._replace(
                discovery=Address(DISCOVERY_HOST, 1)
            )
            platform.controller.reload()
            platform.controller.fire_timer_if_current(platform.controller.planner, 0, 0.0)
            platform.controller.on_health_check(0, "ok", 0.1, None, None)
            await until(lambda: proxy.end_reason and platform.controller.ended.done())
            self.assertEqual(
                (platform.controller.ended.result(), platform.controller.batch_count),
                ("stopped", batches_before),
            )

        run_with_platform(case)

    def test_a_stop_during_the_start_leaves_no_listener(self):
        async def case(platform):
            configuration = platform.configuration._replace(
                listen=Address("127.3.0.2", platform.port)
            )
            other_controller = PlatformController(
                configuration, None, lambda *_, **__: None, lambda: 0
            )
            other_controller.stop()
            await other_controller.start()
            await until(other_controller.ended.done)
            with self.assertRaises(OSError):
                await asyncio.get_running_loop().create_connection(
                    LineStream, "127.3.0.2", platform.port
                )

        run_with_platform(case)
