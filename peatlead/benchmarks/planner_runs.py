"""A planner on a simulated clock: joins, ticks, withdrawals and releases, in CPU seconds."""

import time
from collections.abc import Iterable, Sequence
from types import ModuleType
from typing import Any

from .. import interface

ZONES = 3
FIRST_PROXY = 2**32 - 1  # proxy numbers are spread: the planner must not rely on small ones
PROXY_SPACING = 7919
CHANNEL_RATE = 100.0  # operations a second and proxy
REPLACED_FRACTION = 0.96  # of the endpoints, in a release

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
    """Return the list's entry of an endpoint: four to a machine, zones in turn."""
    address = b"10.%d.%d.%d" % (number % ZONES, number // 250, number % 250)
    return interface.Endpoint(
        number, address, number % ZONES, 0, number // 4, phase, 1.0, started_at
    )


def list_update(
    version: int, numbers: Iterable[int], phase: str, started_at: float = 0.0
) -> interface.EndpointUpdate:
    """Return an update of the list by which some endpoints enter a phase."""
    changed = tuple(endpoint(number, phase, started_at) for number in numbers)
    return interface.EndpointUpdate("changes", version, changed)


class PlannerRun:
    """One planner on a clock of its own; its methods return CPU seconds."""

    def __init__(self, planner_module: ModuleType, endpoints: int, proxies: int) -> None:
        self.endpoints = endpoints
        self.proxies = proxies
        self.now = 100.0  # seconds
        self.more = False  # whether the last batch left work for another
        self.checked: list[int] = []  # endpoints that the last batch checks
        # The channel's rate grows with the fleet, or it would be all that is measured.
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
        """Give the planner a batch of events; returns what it took."""
        return self.decide_batch(events)[0]

    def decide_batch(
        self, events: Sequence[interface.Event]
    ) -> tuple[float, list[interface.Command]]:
        """Give the planner a batch of events; returns what it took, and its commands."""
        start = time.process_time()
        commands: list[interface.Command] = self.planner.decide(self.now, events)
        spent = time.process_time() - start
        self.more = any(
            type(command) is interface.SetTimer and command.token for command in commands
        )
        self.checked = [
            command.endpoint for command in commands if type(command) is interface.CheckHealth
        ]
        return spent, commands

    def decide_all(self, events: Sequence[interface.Event]) -> list[float]:
        """Play all batches that events lead to at once; returns what each took."""
        spent = [self.decide(events)]
        while self.more:
            self.now += 0.01
            spent.append(self.decide([interface.TimerFired(1)]))
        return spent

    def connect_proxies(self) -> list[float]:
        """Connect all proxies at once."""
        return self.decide_all(
            [
                interface.ProxyConnected(
                    FIRST_PROXY - index * PROXY_SPACING, index % ZONES, 10.0, True
                )
                for index in range(self.proxies)
            ]
        )

    def run_ticks(self, count: int) -> list[float]:
        """Play timer rounds of 0.1 s, in which all health checks succeed."""
        spent = []
        for _ in range(count):
            self.now += 0.1
            results = [
                interface.HealthCheckResult(number, "ok", 0.001, {"util": 0.5})
                for number in self.checked
            ]
            spent.append(self.decide([interface.TimerFired(0), *results]))
        return spent

    def statistics_round(self) -> float:
        """Deliver statistics of all endpoints; returns what the timer round after them took."""
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
        """Drain endpoints at once."""
        self.now += 0.1
        return self.decide_all([list_update(2, numbers, "draining")])

    def release(self, steps: int = 30) -> list[float]:
        """Replace nearly all endpoints, one part a second; returns what each batch took."""
        size = max(1, int(self.endpoints * REPLACED_FRACTION) // steps)
        spent = []
        for step in range(steps):
            numbers = range(step * size, (step + 1) * size)
            drained = list_update(3 + step, numbers, "draining")
            # The new processes start when the old ones drain, not when they are listed.
            returned = list_update(3 + step, numbers, "ready", self.now)
            for update in (drained, returned):
                self.now += 0.1
                spent += [self.decide([update]), *self.run_ticks(4)]
        return spent


def measure(planner_module: ModuleType, endpoints: int, proxies: int) -> dict[str, float]:
    """Measure all steps of a fleet's size, in CPU seconds by the name of the step."""
    run = PlannerRun(planner_module, endpoints, proxies)
    joins = run.connect_proxies()
    ticks = run.run_ticks(40)
    round_spent = run.statistics_round()
    withdrawal = run.withdraw([0])
    zone_lost = run.withdraw(range(0, endpoints, ZONES))
    release = measure_release(planner_module, endpoints, proxies)
    return {
        "join": sum(joins),
        "longest join batch": max(joins),
        "tick": sorted(ticks)[len(ticks) // 2],
        "longest tick": max(ticks),
        "round": round_spent,
        "withdrawal": max(withdrawal),
        "zone lost": sum(zone_lost),
        "release in 30 s": sum(release),
        "longest of it": max(release),
    }


def measure_release(planner_module: ModuleType, endpoints: int, proxies: int) -> list[float]:
    """Measure a release in a fleet of its own, which has run for half a second."""
    run = PlannerRun(planner_module, endpoints, proxies)
    run.connect_proxies()
    run.run_ticks(5)
    return run.release()
