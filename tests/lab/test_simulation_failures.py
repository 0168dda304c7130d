"""A simulation reports failures of its processes instead of ignoring them."""

import asyncio
import unittest
from unittest import mock

from peatlead.lab.simulation import Simulation, play


class SimulationFailureTest(unittest.TestCase):
    def reported_failure(self, case):
        simulation = Simulation(1)
        loop = simulation.add_process("p")
        with self.assertRaises(RuntimeError) as caught:
            play(simulation, loop, case(loop, simulation), 5.0)
        return str(caught.exception)

    def test_an_exception_in_a_callback_is_reported(self):
        async def case(loop, simulation):
            loop.call_soon(lambda: 1 / 0)
            await asyncio.sleep(1)

        self.assertIn("ZeroDivisionError", self.reported_failure(case))

    def test_an_unretrieved_exception_of_a_task_is_reported(self):
        async def case(loop, simulation):
            loop.create_task(fail())
            await asyncio.sleep(1)

        async def fail():
            raise LookupError("planted")

        self.assertIn("planted", self.reported_failure(case))

    def test_a_callback_that_never_yields_is_reported(self):
        cpu_times = iter([0.0, 0.0, 0.0, 100.0, 100.0, 100.0, 100.0])

        async def case(loop, simulation):
            await asyncio.sleep(1)

        with mock.patch(
            "peatlead.lab.process_loop.time.process_time", lambda: next(cpu_times, 100.0)
        ):
            self.assertIn("did not yield", self.reported_failure(case))

    def test_a_killed_process_runs_no_more_callbacks(self):
        simulation, steps = Simulation(1), []
        loop, other_loop = simulation.add_process("p"), simulation.add_process("q")

        async def wait_and_clean_up():
            try:
                await asyncio.sleep(2)
            finally:
                steps.append("cleaned up")

        async def kill_process():
            await asyncio.sleep(1)
            loop.kill()
            await asyncio.sleep(5)

        simulation.schedule(0.0, loop, lambda: loop.create_task(wait_and_clean_up()))
        play(simulation, other_loop, kill_process(), 20.0)
        self.assertEqual(steps, [])
