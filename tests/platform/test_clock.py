"""Ages of endpoints across steps of the wall clock."""

import asyncio
import unittest

from peatlead.platform.clock import MAX_OFFSETS, WallClock

from ..platforms import (
    PlatformFixture,
    instance,
)
from ..standin_fleet import run, until


class Ages(unittest.TestCase):
    """The event loop's time is `self.loop_time`; the wall clock is ahead of it by `self.offset`."""

    def setUp(self):
        self.loop_time, self.offset, self.logged_steps = 100.0, 1.9e9, []
        self.clock = WallClock(
            lambda: self.loop_time + self.offset,
            lambda: self.loop_time,
            lambda event, **fields: self.logged_steps.append(fields["by"]),
        )

    def test_ages_never_exceed_elapsed_time_when_the_wall_clock_is_stepped(self):
        for step in (3600.0, -3600.0, 2.5, -30.0):
            # Starts from the wall clock before the step and after it.
            start_before_step = self.loop_time + self.offset
            self.loop_time += 5.0
            self.offset += step
            start_after_step = self.loop_time + self.offset
            self.loop_time += 3.0
            self.assertLessEqual(self.clock.age(start_before_step), 8.0, step)
            self.assertLessEqual(self.clock.age(start_after_step), 3.0, step)
        self.assertEqual(self.logged_steps, [3600.0, -3600.0, 2.5, -30.0])

    def test_ages_are_exact_without_a_step_and_slew_is_not_a_step(self):
        self.loop_time += 50.0
        self.assertAlmostEqual(self.clock.age(1.9e9 + 90.0), 60.0, 3)
        self.offset += 0.2
        self.assertAlmostEqual(self.clock.age(1.9e9 + 140.0), 10.0, 3)
        self.assertEqual(self.logged_steps, [])

    def test_an_endpoint_that_starts_in_the_future_has_age_0(self):
        self.assertEqual(self.clock.age(2.0e9), 0.0)

    def test_the_number_of_kept_offsets_is_limited(self):
        for _ in range(100):
            self.offset += 7.0
            self.clock.now()
        self.assertEqual(len(self.clock.offsets), MAX_OFFSETS)

    def test_an_endpoint_started_after_the_clock_was_set_back_counts_as_cold(self):
        wall_clock = [2e9]

        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            wall_clock[0] -= 3600.0
            platform.discovery.publish(instance(7, started=1000 * (wall_clock[0] - 1.0)))
            await until(
                lambda: any(
                    endpoint.name == b"s-7"
                    for endpoint in platform.controller.planner.endpoints.values()
                )
            )
            [endpoint] = [
                endpoint
                for endpoint in platform.controller.planner.endpoints.values()
                if endpoint.name == b"s-7"
            ]
            return endpoint.cold_since is not None

        async def run_case():
            platform = await PlatformFixture().start(unix_time=lambda: wall_clock[0])
            try:
                return await case(platform)
            finally:
                platform.stop()
                await asyncio.sleep(0.02)

        self.assertTrue(run(run_case()))
