"""What a simulation reports as a failure."""

import asyncio
import unittest
from unittest import mock

from peatlead.lab.simulation import Simulation, play


class SimulationFailures(unittest.TestCase):
    def failure_of(self, case):
        simulation = Simulation(1)
        loop = simulation.process("p")
        with self.assertRaises(RuntimeError) as caught:
            play(simulation, loop, case(loop, simulation), 5.0)
        return str(caught.exception)

    def test_exception_in_a_callback_is_reported(self):
        async def case(loop, simulation):
            loop.call_soon(lambda: 1 / 0)
            await asyncio.sleep(1)

        self.assertIn("ZeroDivisionError", self.failure_of(case))

    def test_unretrieved_task_exception_is_reported(self):
        async def case(loop, simulation):
            loop.create_task(fails())
            await asyncio.sleep(1)

        async def fails():
            raise LookupError("planted")

        self.assertIn("planted", self.failure_of(case))

    def test_callback_that_never_yields_is_reported(self):
        clock = iter([0.0, 0.0, 0.0, 100.0, 100.0, 100.0, 100.0])

        async def case(loop, simulation):
            await asyncio.sleep(1)

        with mock.patch("peatlead.lab.process_loop.time.process_time", lambda: next(clock, 100.0)):
            self.assertIn("did not yield", self.failure_of(case))

    def test_killed_process_runs_no_more_callbacks(self):
        simulation, ran = Simulation(1), []
        loop, other = simulation.process("p"), simulation.process("q")

        async def lives():
            try:
                await asyncio.sleep(2)
            finally:
                ran.append("cleaned up")

        async def kills():
            await asyncio.sleep(1)
            loop.kill()
            await asyncio.sleep(5)

        simulation.schedule(0.0, loop, lambda: loop.create_task(lives()))
        play(simulation, other, kills(), 20.0)
        self.assertEqual(ran, [])
