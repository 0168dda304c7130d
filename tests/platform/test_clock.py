"""Ages of endpoints while the wall clock is stepped."""

import asyncio
import unittest

from peatlead.platform.clock import OFFSETS_KEPT, WallClock

from ..places import run, until
from ..platforms import (
    PlatformFixture,
    instance,
)


class Ages(unittest.TestCase):
    """The loop's clock stands at `self.loop`, the wall clock `self.ahead` before it."""

    def setUp(self):
        self.loop, self.ahead, self.steps = 100.0, 1.9e9, []
        self.clock = WallClock(
            lambda: self.loop + self.ahead,
            lambda: self.loop,
            lambda event, **fields: self.steps.append(fields["by"]),
        )

    def test_an_age_is_a_span_of_real_time_however_the_wall_clock_is_stepped(self):
        for step in (3600.0, -3600.0, 2.5, -30.0):
            # Starts that are stamped before the step and after it.
            before = self.loop + self.ahead
            self.loop += 5.0
            self.ahead += step
            after = self.loop + self.ahead
            self.loop += 3.0
            self.assertLessEqual(self.clock.age(before), 8.0, step)
            self.assertLessEqual(self.clock.age(after), 3.0, step)
        self.assertEqual(self.steps, [3600.0, -3600.0, 2.5, -30.0])

    def test_without_a_step_ages_are_exact_and_slew_is_no_step(self):
        self.loop += 50.0
        self.assertAlmostEqual(self.clock.age(1.9e9 + 90.0), 60.0, 3)
        self.ahead += 0.2
        self.assertAlmostEqual(self.clock.age(1.9e9 + 140.0), 10.0, 3)
        self.assertEqual(self.steps, [])

    def test_a_start_in_the_future_is_now(self):
        self.assertEqual(self.clock.age(2.0e9), 0.0)

    def test_the_kept_offsets_are_bounded(self):
        for _ in range(100):
            self.ahead += 7.0
            self.clock.now()
        self.assertEqual(len(self.clock.offsets), OFFSETS_KEPT)

    def test_an_endpoint_started_after_the_clock_was_set_back_counts_as_cold(self):
        wall = [2e9]

        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            wall[0] -= 3600.0
            platform.discovery.publish(instance(7, started=1000 * (wall[0] - 1.0)))
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
            platform = await PlatformFixture().start(wall=lambda: wall[0])
            try:
                return await case(platform)
            finally:
                platform.stop()
                await asyncio.sleep(0.02)

        self.assertTrue(run(run_case()))
