"""Runs a planner on a simulated clock, and measures the CPU time of its batches in seconds."""

import time
from collections.abc import Iterable, Sequence
from types import ModuleType
from typing import Any

from .. import interface

ZONES = 3
FIRST_PROXY = 2**32 - 1  # proxy numbers are large and sparse, since the planner allows any
PROXY_SPACING = 7919
CHANNEL_RATE = 100.0  # operations per second and proxy
REPLACED_FRACTION = 0.96  # fraction of the endpoints that a release replaces

REQUEST_CLASS: dict[str, Any] = {
    "response_target": 0.5,
    "client_timeout": 2.0,
    "repeat": "replayable",
    "drops_repeats_in": "all",
    "repeat_window": 5.0,
    "late_gain": 0.1,
    "own_zone": False,
    "write": False,
}
SETTINGS: dict[str, Any] = {
    "stewards": 1,
    "zone": 0,
    "zones": ["a", "b", "c"],
    "machines": ["m"],
    "roster_mode": "pushed",
    "messages_most": 30,
    "messages_span": 10.0,
    "push_delay": 0.3,
    "push_delay_most": 1.0,
    "bare_most": 4.0,
    "sums_every": 1.0,
    "probing": True,
    "report_fields": ["util"],
    "cold_share": 0.3,
    "warm_after": 8.0,
    "tip_multiple": 3.0,
    "tip_span": 2.0,
    "drain_grace": 3.0,
    "value_of_whole": 0.5,
    "value_of_worst_kind": 0.1,
    "message_head": 6.0,
    "standing": 8.0,
    "tries_told": True,
    "req_kinds": [
        {**REQUEST_CLASS, "name": "lookup", "gain": 1.0},
        {**REQUEST_CLASS, "name": "file", "gain": 6.0},
    ],
}


def endpoint(number: int, phase: str = "ready", started_at: float = 0.0) -> interface.Endpoint:
    """Return an endpoint; each machine has four, and the zones take turns."""
    address = b"10.%d.%d.%d" % (number % ZONES, number // 250, number % 250)
    return interface.Endpoint(
        number, address, number % ZONES, 0, number // 4, phase, 1.0, started_at
    )


def list_update(
    version: int, numbers: Iterable[int], phase: str, started_at: float = 0.0
) -> interface.EndpointUpdate:
    """Return an update of the endpoint list that changes the phase of some endpoints."""
    changed = tuple(endpoint(number, phase, started_at) for number in numbers)
    return interface.EndpointUpdate("changes", version, changed)


class PlannerRun:
    """One planner on a clock of its own. Times of batches are in CPU seconds."""

    def __init__(self, planner_module: ModuleType, endpoints: int, proxies: int) -> None:
        self.endpoints = endpoints
        self.proxies = proxies
        self.now = 100.0  # seconds
        self.has_more_work = False  # whether the last batch left work for another batch
        self.pending_checks: list[int] = []  # endpoints whose health check the last batch started
        # The channel rate grows with the fleet, so that it does not limit the result.
        settings = {
            **SETTINGS,
            "proxies": proxies,
            "channel_rate": CHANNEL_RATE * proxies,
            "queue_most": CHANNEL_RATE * proxies,
        }
        self.planner = planner_module.Planner(settings, 1)
        listed = tuple(map(endpoint, range(endpoints)))
        self.decide([interface.EndpointUpdate("remembered", 1, listed)])

    def decide(self, events: Sequence[interface.Event]) -> float:
        """Pass a batch of events to the planner; returns the CPU time."""
        return self.decide_batch(events)[0]

    def decide_batch(
        self, events: Sequence[interface.Event]
    ) -> tuple[float, list[interface.Command]]:
        """Pass a batch of events to the planner; returns the CPU time and the commands."""
        start = time.process_time()
        commands: list[interface.Command] = self.planner.decide(self.now, events)
        cpu_time = time.process_time() - start
        self.has_more_work = any(
            type(command) is interface.SetTimer and command.token for command in commands
        )
        self.pending_checks = [
            command.endpoint for command in commands if type(command) is interface.CheckHealth
        ]
        return cpu_time, commands

    def decide_all(self, events: Sequence[interface.Event]) -> list[float]:
        """Run the batch of some events and all its continuations; returns the CPU time of each."""
        cpu_times = [self.decide(events)]
        while self.has_more_work:
            self.now += 0.01
            cpu_times.append(self.decide([interface.TimerFired(1)]))
        return cpu_times

    def connect_proxies(self) -> list[float]:
        """Connect all proxies at once; returns the CPU time of each batch."""
        return self.decide_all(
            [
                interface.ProxyConnected(
                    FIRST_PROXY - index * PROXY_SPACING, index % ZONES, 10.0, True
                )
                for index in range(self.proxies)
            ]
        )

    def run_ticks(self, count: int) -> list[float]:
        """Run timer rounds of 0.1 s in which all health checks succeed; returns their CPU times."""
        cpu_times = []
        for _ in range(count):
            self.now += 0.1
            results = [
                interface.HealthCheckResult(number, "ok", 0.001, {"util": 0.5})
                for number in self.pending_checks
            ]
            cpu_times.append(self.decide([interface.TimerFired(0), *results]))
        return cpu_times

    def run_statistics_round(self) -> float:
        """Deliver statistics of all endpoints; returns the CPU time of the next timer round."""
        self.now += 0.1
        self.decide(
            [
                interface.EndpointStats(number, zone, 10, 0, 1.0, 0.1, {"util": 0.5})
                for number in range(self.endpoints)
                for zone in range(ZONES)
            ]
        )
        self.now += 0.3
        return self.decide([interface.TimerFired(0)])

    def withdraw(self, numbers: Iterable[int]) -> list[float]:
        """Drain endpoints at once; returns the CPU time of each batch."""
        self.now += 0.1
        return self.decide_all([list_update(2, numbers, "draining")])

    def run_release(self, steps: int = 30) -> list[float]:
        """Replace nearly all endpoints, one step per second; returns the CPU time of each batch."""
        size = max(1, int(self.endpoints * REPLACED_FRACTION) // steps)
        cpu_times = []
        for step in range(steps):
            numbers = range(step * size, (step + 1) * size)
            drained = list_update(3 + step, numbers, "draining")
            # A new process starts when the old one drains, before it is listed as ready.
            returned = list_update(3 + step, numbers, "ready", self.now)
            for update in (drained, returned):
                self.now += 0.1
                cpu_times += [self.decide([update]), *self.run_ticks(4)]
        return cpu_times


def measure(planner_module: ModuleType, endpoints: int, proxies: int) -> dict[str, float]:
    """Measure all steps at one fleet size; returns CPU seconds by step."""
    run = PlannerRun(planner_module, endpoints, proxies)
    joins = run.connect_proxies()
    ticks = run.run_ticks(40)
    round_cpu_time = run.run_statistics_round()
    withdrawal = run.withdraw([0])
    zone_lost = run.withdraw(range(0, endpoints, ZONES))
    release = measure_release(planner_module, endpoints, proxies)
    return {
        "join": sum(joins),
        "longest join batch": max(joins),
        "tick": sorted(ticks)[len(ticks) // 2],
        "longest tick": max(ticks),
        "round": round_cpu_time,
        "withdrawal": max(withdrawal),
        "zone lost": sum(zone_lost),
        "release in 30 s": sum(release),
        "longest of it": max(release),
    }


def measure_release(planner_module: ModuleType, endpoints: int, proxies: int) -> list[float]:
    """Measure a release in a new fleet, after half a second; returns CPU seconds of batches."""
    run = PlannerRun(planner_module, endpoints, proxies)
    run.connect_proxies()
    run.run_ticks(5)
    return run.run_release()
