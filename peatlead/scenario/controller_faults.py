"""Faults of controllers, and requests of operators to controllers, during a day."""

import asyncio
import signal
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from ..controller.control_socket import ask_once
from .context import DayContext, Fault, FaultPlayer
from .processes import ChildProcess

PUBLISHED_TABLES_TIMEOUT = 1.0  # seconds
MIN_RANDOM_OUTAGE = 0.5  # seconds
RANDOM_INTERVAL_FACTORS = (0.3, 1.7)  # range of random intervals, as factors of the mean


class ControllerEvent(StrEnum):
    """Events of a controller in the recording."""

    KILLED = "killed"
    STARTED = "started"
    FROZEN = "frozen"
    RESUMED = "woken"
    DRAINING = "draining"


class ControllerFaults:
    """Plays the faults of controllers. A controller is affected by one fault at a time."""

    def __init__(
        self,
        context: DayContext,
        controllers: dict[int, ChildProcess],
        start_controller: Callable[[int], None],
    ) -> None:
        self.context = context
        self.controllers = controllers  # processes by controller number
        self.start_controller = start_controller
        self._unavailable: set[int] = set()  # numbers of controllers that are killed or frozen

    def players(self) -> dict[str, FaultPlayer]:
        """Return the method that plays each fault, by its builtin in day scripts."""
        return {
            "steward_killed": self.kill,
            "steward_frozen": self.freeze,
            "stewards_struck": self.interrupt_at_random,
            "rollback": self.pin_older_tables,
            "fleet_drained": self.drain,
        }

    async def kill(self, fault: Fault) -> None:
        """Kill a controller and start it again after the fault's length."""
        number = fault["steward"]
        if not self._reserve_controller(number):
            return
        self.controllers[number].kill()
        self.controllers[number].wait()
        self._record_event(number, ControllerEvent.KILLED)
        await asyncio.sleep(fault["length"])
        self.start_controller(number)
        self._record_event(number, ControllerEvent.STARTED)
        self._unavailable.discard(number)

    async def freeze(self, fault: Fault) -> None:
        """Freeze a controller for the fault's length, like a pause of its virtual machine."""
        number = fault["steward"]
        if not self._reserve_controller(number):
            return
        controller = self.controllers[number]
        controller.send_signal(signal.SIGSTOP)
        self._record_event(number, ControllerEvent.FROZEN)
        await asyncio.sleep(fault["length"])
        controller.send_signal(signal.SIGCONT)
        self._record_event(number, ControllerEvent.RESUMED)
        self._unavailable.discard(number)

    async def interrupt_at_random(self, fault: Fault) -> None:
        """Kill and freeze random controllers, but never the last available one."""
        rng = self.context.rng
        end = self.context.now() + fault["length"]
        tasks = []
        while self.context.now() < end:
            available = [number for number in self.controllers if number not in self._unavailable]
            if len(available) > 1:
                single_fault = {
                    "steward": rng.choice(available),
                    "length": rng.uniform(MIN_RANDOM_OUTAGE, fault["most"]),
                }
                play = self.freeze if rng.random() < fault["freezes"] else self.kill
                tasks.append(self.context.create_task(play(single_fault)))
            await asyncio.sleep(fault["every"] * rng.uniform(*RANDOM_INTERVAL_FACTORS))
        await asyncio.gather(*tasks)

    async def pin_older_tables(self, fault: Fault) -> None:
        """Pin older tables as an operator, through the first controller that answers."""
        question = _pin_question(fault)
        for offset in range(len(self.controllers)):
            number = (fault["steward"] + offset) % len(self.controllers)
            if number in self._unavailable:
                continue
            try:
                answer = await ask_once(self._control_address(number), question)
            except (OSError, TimeoutError):
                continue
            pin = answer.get("pin", answer.get("error", ""))
            self.context.recorder.write_row(
                "pin", self.context.now(), f"ns{number + 1}", pin, "pinned"
            )
            return

    async def drain(self, fault: Fault) -> None:
        """Drain a controller as an operator: it hands over all proxies that it owns."""
        self._record_event(fault["steward"], ControllerEvent.DRAINING)
        question = {"ask": "fleet", "do": "drain"}
        await ask_once(self._control_address(fault["steward"]), question)

    async def record_published_tables(self) -> None:
        """Record the last version that each controller published to each of its proxies."""
        for number in self.controllers:
            if number in self._unavailable:
                continue
            question = {"ask": "tables", "do": "ends"}
            try:
                answer = await ask_once(
                    self._control_address(number), question, PUBLISHED_TABLES_TIMEOUT
                )
            except (OSError, TimeoutError):
                continue
            address, _ = self.context.fleet.controller_addresses[number]
            for proxy, (epoch, serial, digest, age) in answer.get("ends", {}).items():
                self.context.recorder.write_row(
                    "published", self.context.now(), address, proxy, epoch, serial, digest, age
                )

    def _reserve_controller(self, number: int) -> bool:
        """Reserve a controller for a fault and return True.

        Returns False if another fault affects the controller, or if it does not exist because a
        study plays the day with fewer controllers.
        """
        if number in self._unavailable or number not in self.controllers:
            return False
        self._unavailable.add(number)
        return True

    def _record_event(self, number: int, event: ControllerEvent) -> None:
        """Record an event of a controller twice: by its name and by its address.

        The feed identifies a controller by name, resolvers and proxies by address.
        """
        for name in (f"ns{number + 1}", self.context.fleet.controller_addresses[number][0]):
            self.context.recorder.write_row("steward", self.context.now(), name, event.value)

    def _control_address(self, number: int) -> tuple[str, int]:
        """Return the address of a controller's control socket."""
        address, port = self.context.fleet.controller_addresses[number]
        return address, port + 1


def _pin_question(fault: Fault) -> dict[str, Any]:
    """Return the question to the control socket that pins older tables."""
    selector, value = "share", str(fault["share"])
    if fault["zone"]:
        selector, value = "zone", fault["zone"]
    return {
        "ask": "tables",
        "do": "pin",
        "args": {
            "whom": selector,
            "which": value,
            "target": "back",
            "to": str(fault["back"]),
            "over": fault["over"],
            "length": fault["length"],
            "by": "the day",
        },
    }
