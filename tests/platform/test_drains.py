"""Drains with real controller processes: every proxy's table loses a draining endpoint within the
grace period, also while controllers fail (docs/incidents/2026-12-02-drains-after-a-herd.md)."""

import asyncio
import tempfile
import unittest

from peatlead.scenario.runner import free_port
from peatlead.standin.platform_fleet import Fleet, FleetPlan

from ..standin_fleet import run, until

DRAIN_GRACE = 3.0  # seconds
GRACE_TOLERANCE = 0.3  # additional seconds that the platform allows
# Entries per second. At this rate, the tables of 240 proxies take 0.6 of the grace period.
CHANNEL_RATE = 3200.0


SETTINGS = {
    "balancers": 4,
    "rank": 0,
    "locality": 0,
    "zones": ["z0", "z1"],
    "kinds": ["m"],
    "classes": [
        {
            "name": "read",
            "targetUs": 800000,
            "deadlineUs": 2500000,
            "repeat": "repeatable",
            "worth": 2.0,
        },
        {"name": "pay", "targetUs": 500000, "deadlineUs": 1200000, "repeat": "once", "worth": 6.0},
    ],
    "familyInfo": {
        "dataPlaneSize": 320,
        "channelRate": CHANNEL_RATE,
        "perMessage": 6.0,
        "pendingMax": 8800.0,
        "emptyForUs": 4400000,
        "lateMostUs": 300000,
    },
    "obligations": {"drainGraceUs": 1e6 * DRAIN_GRACE, "warmAfterUs": 15000000},
}


def run_with_fleet(case, **plan_options):
    """Run `case(fleet)` once all proxies have tables, and return the drain report."""

    async def run_case():
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(SETTINGS, FleetPlan(4, 320, 40, free_port(), **plan_options), folder)
            try:
                await fleet.start()
                await until(lambda: all(state.ordered for state in fleet.proxies), 20.0)
                await case(fleet)
                await until(lambda: not fleet.still_held(), 30.0)
                await asyncio.sleep(0.5)
                return fleet.drain_report(DRAIN_GRACE + GRACE_TOLERANCE)
            finally:
                fleet.stop()
                await asyncio.sleep(0.05)

    return run(run_case(), 180.0)


def drain(fleet, endpoints):
    fleet.list_hosts([fleet.host(number, "leaving") for number in endpoints])


class Drains(unittest.TestCase):
    def assert_no_late_removals(self, report):
        self.assertEqual(report.late, [])
        self.assertLessEqual(report.most_waiting, SETTINGS["familyInfo"]["pendingMax"])

    def test_a_controller_that_takes_over_all_proxies_removes_draining_endpoints_in_time(
        self,
    ):
        # Three of four controllers are killed while endpoints drain in steps. The last one writes
        # whole tables to three quarters of the proxies and removals to the others.
        async def case(fleet):
            drain(fleet, range(6))
            await asyncio.sleep(0.2)
            for name in fleet.names[:3]:
                fleet.kill(name)
            await asyncio.sleep(0.4)
            drain(fleet, range(6, 12))
            await asyncio.sleep(1.2)
            drain(fleet, range(12, 18))

        self.assert_no_late_removals(run_with_fleet(case))

    def test_a_restarted_controller_removes_endpoints_that_drained_during_its_absence(self):
        # The proxies of the killed controller connect to the others and return with their tables.
        async def case(fleet):
            drain(fleet, range(6))
            await asyncio.sleep(0.3)
            fleet.kill("n0")
            await asyncio.sleep(0.2)
            drain(fleet, range(6, 10))
            await asyncio.sleep(0.6)
            fleet.restart("n0")
            await fleet.ready("n0")
            await asyncio.sleep(1.0)
            drain(fleet, range(10, 14))

        self.assert_no_late_removals(run_with_fleet(case, rehome=1.0))

    def test_simultaneously_restarted_controllers_remove_endpoints_that_drained_meanwhile(self):
        async def case(fleet):
            drain(fleet, range(6))
            await asyncio.sleep(0.3)
            for name in fleet.names:
                fleet.kill(name)
            drain(fleet, range(6, 10))
            for name in fleet.names:
                fleet.restart(name)
            await asyncio.sleep(1.0)
            drain(fleet, range(10, 14))

        self.assert_no_late_removals(run_with_fleet(case))
