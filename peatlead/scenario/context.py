"""What all faults of a day share."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from .endpoint_list_file import EndpointListFile, RowRecorder
from .fleet import Fleet, Plan
from .standin_commands import StandInCommands

RNG_SEED_OFFSET = 1000  # the fleet's layout has the day's seed itself

Fault = dict[str, Any]  # a call in the day script: its builtin as "verb", and its values
Verb = Callable[[Fault], Awaitable[None]]  # plays a fault to its end


class DayContext:
    """A running day: its fleet, clock, recording, endpoint list and stand-ins."""

    def __init__(
        self,
        fleet: Fleet,
        loop: asyncio.AbstractEventLoop,
        record: RowRecorder,
        endpoint_list: EndpointListFile,
        standins: StandInCommands,
    ) -> None:
        self.fleet = fleet
        self.record = record
        self.endpoint_list = endpoint_list
        self.standins = standins
        self.rng = Random(fleet.scenario["day"]["seed"] + RNG_SEED_OFFSET)
        self._loop = loop

    def now(self) -> float:
        """The time on the event loop's clock, in seconds."""
        return self._loop.time()

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a coroutine in the background."""
        return self._loop.create_task(coroutine)

    def record_fault(self, fault: Fault, plans: list[Plan]) -> None:
        """Record that a fault begins, and whom it strikes."""
        now = self.now()
        addresses = [plan["address"] for plan in plans]
        self.record.row("trouble", now, fault["verb"], addresses, now + fault.get("length", 0.0))
