"""A seed determines the digest, independent of the process, the hash seed and the timer queue."""

import subprocess
import sys
import time
import unittest
from collections import deque
from pathlib import Path
from unittest import mock

from peatlead.lab.timer_wheel import WheelTimers
from peatlead.planner.planner import Planner
from peatlead.standin.hosts import StandInEndpoint

from .small_scenario import PRINT_DIGEST, play_small


class ReproducibilityTest(unittest.TestCase):
    def test_a_seed_has_the_same_digest_in_all_processes_and_timer_queues(self):
        digests = set()
        for hash_seed in ("0", "7"):
            digests.add(
                subprocess.run(
                    [sys.executable, "-c", PRINT_DIGEST],
                    env={"PYTHONHASHSEED": hash_seed, "PATH": "/usr/bin"},
                    check=True,
                    capture_output=True,
                    text=True,
                    cwd=Path(__file__).parents[2],
                ).stdout
            )
        digests.add(play_small(3).digest + "\n")
        digests.add(play_small(3, timers=WheelTimers()).digest + "\n")
        self.assertEqual(len(digests), 1, digests)
        self.assertNotIn(play_small(4).digest + "\n", digests)

    def test_a_draining_endpoint_closes_connections_in_order_of_arrival(self):
        # A set would order connections by their memory addresses, which differ between runs.
        endpoint, closed = StandInEndpoint.__new__(StandInEndpoint), []
        endpoint.loop, endpoint.connections, endpoint.queue, endpoint.running = (
            mock.Mock(time=lambda: 1.0),
            {},
            deque(),
            0,
        )
        endpoint.draining = endpoint.hung = endpoint.silent = endpoint.overloaded = False
        endpoint.paused_until, endpoint.stolen, endpoint.plan = 0.0, 0.0, mock.Mock(cores=1)
        for number in range(50):
            connection = mock.Mock(job=None, close=lambda number=number: closed.append(number))
            endpoint.connections[connection] = True
        endpoint.inject_fault("drain", True)
        self.assertEqual(closed, list(range(50)))

    def test_use_of_the_wall_clock_changes_the_digest(self):
        original_publish_admissions = Planner.publish_admissions

        def publish_admissions(self):
            original_publish_admissions(self)
            self.context.rng.shuffle([time.perf_counter()] * (time.perf_counter_ns() % 5 + 2))
            self.commands.append(
                __import__("peatlead.interface").interface.LogMessage(str(time.perf_counter_ns()))
            )

        digests = set()
        for _ in range(2):
            with mock.patch.object(Planner, "publish_admissions", publish_admissions):
                digests.add(play_small(3).digest)
        self.assertEqual(len(digests), 2)
