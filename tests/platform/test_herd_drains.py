"""Drains of proxies that come to one controller at once with the tables of other controllers."""

import asyncio
import unittest

from ..simulated_platform import TOLERANCE, SimulatedPlatform

# Tables of about 150 entries: those of all proxies take longer than the drain grace.
RELEASE = {
    "controllers": 5,
    "proxies": 152,
    "endpoints": 200,
    "zones": 2,
    "redial_delay": (0.4, 1.344),
    "return_delay": (20.0, 30.0),
    "delivery_delay": (0.18, 0.54),
    "own_zone_classes": (),
    "channel_rate": 5900.0,
    "message_head": 6.0,
    "queue_most": 8900.0,
    "drain_grace": 2.7,
    "push_delay_most": 0.8975,
}
STEP = 30  # endpoints that drain at once
STEP_INTERVAL = 2.5  # seconds


async def drain_in_steps(fleet, steps=4):
    """Drain endpoints, each step STEP_INTERVAL after the one before, which then has left."""
    names = fleet.rng.sample(fleet.names, STEP * steps)
    for step in range(steps):
        if step:
            fleet.tell(names[(step - 1) * STEP : step * STEP], "left")
        fleet.tell(names[step * STEP : (step + 1) * STEP], "leaving")
        await asyncio.sleep(STEP_INTERVAL)


async def kill_others(fleet, delay, outage=3.0):
    """Kill all controllers but the first, and start them again after the outage."""
    await asyncio.sleep(delay)
    others = [rank for rank in fleet.channels if rank]
    known = {rank: fleet.kill(rank) for rank in others}
    await asyncio.sleep(outage)
    for rank in others:
        fleet.start(rank, known[rank])


def herd_in_release(delay):
    """Return a course in which the herd comes some seconds after the first step of a release."""

    async def course(fleet):
        await asyncio.gather(drain_in_steps(fleet), kill_others(fleet, delay))

    return course


class HerdDrains(unittest.TestCase):
    def assert_drained_in_time(self, course, seed=1, **options):
        fleet = SimulatedPlatform(seed, **{**RELEASE, **options}).play(course)
        grace = fleet.settings["drain_grace"] + TOLERANCE
        self.assertLessEqual(fleet.longest_drain, grace)
        self.assertLessEqual(fleet.longest_empty, fleet.settings["bare_most"] + TOLERANCE)
        longest_queue = max(channel.max_waiting for channel in fleet.channels.values())
        self.assertLessEqual(longest_queue, fleet.settings["queue_most"])
        self.assertEqual(fleet.ejected_entries(), [])

    def test_a_herd_of_proxies_stops_using_endpoints_of_two_steps_of_a_release(self):
        # Guards against tables that fill the channel before all waiting proxies were notified.
        self.assert_drained_in_time(herd_in_release(2.0))

    def test_a_step_of_a_release_while_the_herd_waits_for_tables(self):
        self.assert_drained_in_time(herd_in_release(1.3))

    def test_proxies_that_return_to_their_restarted_controllers_during_the_release(self):
        self.assert_drained_in_time(herd_in_release(2.0), return_delay=(0.2, 2.0))

    def test_a_class_that_stays_in_its_zone(self):
        self.assert_drained_in_time(herd_in_release(2.0), own_zone_classes=("pay",))

    def test_the_only_controller_left_is_restarted_itself_in_a_release(self):
        async def restart_first(fleet):
            await asyncio.sleep(2.0)
            await fleet.restart(0, gracefully=False)

        async def course(fleet):
            await asyncio.gather(
                drain_in_steps(fleet), kill_others(fleet, 2.0), restart_first(fleet)
            )

        self.assert_drained_in_time(course)

    def test_a_zone_is_lost_while_the_herd_connects(self):
        # A table without the zone is shorter than a notification of all of its endpoints.
        async def course(fleet):
            async def lose_zone():
                await asyncio.sleep(0.6)
                fleet.tell(fleet.names_in(0), "left")

            await asyncio.gather(kill_others(fleet, 0.0), lose_zone())

        self.assert_drained_in_time(course)

    def test_endpoints_return_while_the_herd_waits_for_tables(self):
        # Guards against a restoration for each endpoint and each waiting proxy in one batch.
        async def course(fleet):
            async def drain_for_a_moment():
                names = fleet.rng.sample(fleet.names, 2 * STEP)
                fleet.tell(names, "leaving")
                await asyncio.sleep(1.8)
                fleet.tell(names, "active", restarted=False)

            await asyncio.gather(kill_others(fleet, 0.2), drain_for_a_moment())

        self.assert_drained_in_time(course)

    def test_a_slow_channel_keeps_its_queue_within_the_limit(self):
        # At an eighth of its rate the channel cannot carry the removals of the release at all.
        fleet = SimulatedPlatform(1, **RELEASE, channel_slowdown=8.0)
        fleet.play(herd_in_release(2.0))
        longest_queue = max(channel.max_waiting for channel in fleet.channels.values())
        self.assertLessEqual(longest_queue, fleet.settings["queue_most"])


if __name__ == "__main__":
    unittest.main()
