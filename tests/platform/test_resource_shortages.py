"""Shortages on the controller's machine must not eject endpoints or end the start."""

import errno
import unittest
from unittest import mock

from peatlead import interface
from peatlead.platform.session_listener import SessionListener

from ..helpers import make_planner
from ..platforms import (
    PlatformFixture,
    run_with_platform,
)
from ..standin_fleet import run, until


class HealthChecks(unittest.TestCase):
    def test_health_checks_that_could_not_be_sent_do_not_eject_their_endpoint(self):
        planner_under_test = make_planner(tries_told=False, report_fields=[])
        for tick in range(100):
            results = [
                interface.HealthCheckResult(
                    endpoint, "denied" if endpoint == 3 else "ok", 0.0, None
                )
                for endpoint in planner_under_test.endpoints
            ]
            planner_under_test.decide(101.0 + tick / 10, [interface.TimerFired(0), *results])
        self.assertTrue(planner_under_test.endpoints[3].usable)


class Listening(unittest.TestCase):
    def test_listening_is_retried_after_a_transient_error(self):
        original_open, attempts = SessionListener.open, []

        async def fail_twice(listener, address):
            attempts.append(address)
            if len(attempts) < 3:
                raise OSError(errno.ENOBUFS, "no buffers")
            await original_open(listener, address)

        async def case(platform):
            proxy = await platform.connect_proxy()
            await until(lambda: proxy.messages)
            self.assertEqual(
                sum(event == "listening failed, will retry" for event, _ in platform.log), 2
            )

        with mock.patch.object(SessionListener, "open", fail_twice):
            run_with_platform(case)

    def test_a_permanent_error_of_listening_fails_the_start_immediately(self):
        async def case():
            platform = PlatformFixture()
            with mock.patch.object(
                SessionListener, "open", side_effect=OSError(errno.EACCES, "not permitted")
            ):
                with self.assertRaises(OSError):
                    await platform.start()
            platform.stop()

        run(case())
