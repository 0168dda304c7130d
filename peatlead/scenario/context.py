"""The objects that all faults of a day share."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from .endpoint_list_file import EndpointListFile, RowRecorder
from .fleet import Fleet, Plan
from .standin_commands import StandInCommands

RNG_SEED_OFFSET = 1000  # added to the day's seed, which the fleet's layout uses unchanged

Fault = dict[str, Any]  # values of a call in a day script; "verb" is the name of the builtin
FaultPlayer = Callable[[Fault], Awaitable[None]]  # returns when the fault has ended


class DayContext:
    """The fleet, clock, recording, endpoint list and stand-ins of a running day."""

    def __init__(
        self,
        fleet: Fleet,
        loop: asyncio.AbstractEventLoop,
        recorder: RowRecorder,
        endpoint_list: EndpointListFile,
        standins: StandInCommands,
    ) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.endpoint_list = endpoint_list
        self.standins = standins
        self.rng = Random(fleet.scenario["day"]["seed"] + RNG_SEED_OFFSET)
        self._loop = loop

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self._loop.time()

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Start a coroutine as a task."""
        return self._loop.create_task(coroutine)

    def record_fault(self, fault: Fault, plans: list[Plan]) -> None:
        """Record the start and end time of a fault and the addresses of affected endpoints."""
        now = self.now()
        addresses = [plan["address"] for plan in plans]
        self.recorder.write_row(
            "trouble", now, fault["verb"], addresses, now + fault.get("length", 0.0)
        )
