"""Faults of controllers, and what operators ask of them during a day."""

import asyncio
import signal
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from ..controller.control_socket import ask_once
from .context import DayContext, Fault, Verb
from .processes import ChildProcess

ENDS_DEADLINE = 1.0  # seconds for a controller's answer at the end of a day
SHORTEST_ABSENCE = 0.5  # seconds, of a controller that is struck at random
INTERVAL_SPREAD = (0.3, 1.7)  # of the mean interval


class ControllerEvent(StrEnum):
    """What the recording says of a controller."""

    KILLED = "killed"
    STARTED = "started"
    FROZEN = "frozen"
    RESUMED = "woken"
    DRAINING = "draining"


class ControllerFaults:
    """Plays the faults that strike controllers; a controller has one at a time."""

    def __init__(
        self,
        context: DayContext,
        controllers: dict[int, ChildProcess],
        start_controller: Callable[[int], None],
    ) -> None:
        self.context = context
        self.controllers = controllers  # the running processes, by number
        self.start_controller = start_controller
        self._unavailable: set[int] = set()  # killed or frozen now

    def verbs(self) -> dict[str, Verb]:
        """The faults by their builtin in day scripts."""
        return {
            "steward_killed": self.kill,
            "steward_frozen": self.freeze,
            "stewards_struck": self.strike_at_random,
            "rollback": self.pin_back,
            "fleet_drained": self.drain,
        }

    async def kill(self, fault: Fault) -> None:
        """A controller is killed and started again."""
        number = fault["steward"]
        if not self._reserve(number):
            return
        self.controllers[number].kill()
        self.controllers[number].wait()
        self._record(number, ControllerEvent.KILLED)
        await asyncio.sleep(fault["length"])
        self.start_controller(number)
        self._record(number, ControllerEvent.STARTED)
        self._unavailable.discard(number)

    async def freeze(self, fault: Fault) -> None:
        """A controller is stopped and continued, as by a pause of its virtual machine."""
        number = fault["steward"]
        if not self._reserve(number):
            return
        controller = self.controllers[number]
        controller.send_signal(signal.SIGSTOP)
        self._record(number, ControllerEvent.FROZEN)
        await asyncio.sleep(fault["length"])
        controller.send_signal(signal.SIGCONT)
        self._record(number, ControllerEvent.RESUMED)
        self._unavailable.discard(number)

    async def strike_at_random(self, fault: Fault) -> None:
        """Controllers are killed and frozen at random; one at least is left alone."""
        rng = self.context.rng
        end = self.context.now() + fault["length"]
        running = []
        while self.context.now() < end:
            free = [number for number in self.controllers if number not in self._unavailable]
            if len(free) > 1:
                single = {
                    "steward": rng.choice(free),
                    "length": rng.uniform(SHORTEST_ABSENCE, fault["most"]),
                }
                play = self.freeze if rng.random() < fault["freezes"] else self.kill
                running.append(self.context.create_task(play(single)))
            await asyncio.sleep(fault["every"] * rng.uniform(*INTERVAL_SPREAD))
        await asyncio.gather(*running)

    async def pin_back(self, fault: Fault) -> None:
        """An operator pins older tables, at the first controller that answers."""
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
            self.context.record.row("pin", self.context.now(), f"ns{number + 1}", pin, "pinned")
            return

    async def drain(self, fault: Fault) -> None:
        """An operator lets a controller hand over all that it owns."""
        self._record(fault["steward"], ControllerEvent.DRAINING)
        question = {"ask": "fleet", "do": "drain"}
        await ask_once(self._control_address(fault["steward"]), question)

    async def record_published_tables(self) -> None:
        """Record what each controller says that it last published to its proxies."""
        for number in self.controllers:
            if number in self._unavailable:
                continue
            question = {"ask": "tables", "do": "ends"}
            try:
                answer = await ask_once(self._control_address(number), question, ENDS_DEADLINE)
            except (OSError, TimeoutError):
                continue
            address, _ = self.context.fleet.stewards[number]
            for proxy, (epoch, serial, digest, age) in answer.get("ends", {}).items():
                self.context.record.row(
                    "published", self.context.now(), address, proxy, epoch, serial, digest, age
                )

    def _reserve(self, number: int) -> bool:
        """False where another fault has the controller, or a study plays the day with fewer."""
        if number in self._unavailable or number not in self.controllers:
            return False
        self._unavailable.add(number)
        return True

    def _record(self, number: int, event: ControllerEvent) -> None:
        """By its name, as its feed has it, and by its address, as resolvers and proxies know it."""
        for name in (f"ns{number + 1}", self.context.fleet.stewards[number][0]):
            self.context.record.row("steward", self.context.now(), name, event.value)

    def _control_address(self, number: int) -> tuple[str, int]:
        address, port = self.context.fleet.stewards[number]
        return address, port + 1


def _pin_question(fault: Fault) -> dict[str, Any]:
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
