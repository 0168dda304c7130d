"""Faults of endpoints and of the endpoint list, and rolling releases."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from .context import DayContext, Fault, Verb
from .fleet import Plan
from .standin_commands import EndpointCommand

LISTED_AFTER = 0.3  # seconds until the list has an endpoint that started
DRAIN_LISTED_AFTER = 0.2  # seconds until the list has one that drains
POD_DOWNTIME = 1.0  # seconds


class EndpointFaults:
    """Plays the faults that strike endpoints; an endpoint has one at a time."""

    def __init__(
        self, context: DayContext, add_endpoint: Callable[[Plan], Awaitable[None]]
    ) -> None:
        self.context = context
        self.add_endpoint = add_endpoint
        self._affected: set[str] = set()  # names of endpoints that have a fault now

    def verbs(self) -> dict[str, Verb]:
        """The faults by their builtin in day scripts."""
        return {
            "silent": self.silent,
            "hung": self.hung,
            "quick_errors": self.quick_errors,
            "neighbour": self.neighbour,
            "lost_answers": self.lost_answers,
            "pauses": self.pauses,
            "pod_restart": self.pod_restart,
            "release": self.release,
            "list_empty": self.list_fault,
            "list_torn": self.list_fault,
            "list_old": self.list_fault,
            "list_shrunk": self.list_fault,
            "list_ghosts": self.list_fault,
        }

    async def list_fault(self, fault: Fault) -> None:
        """The endpoint list is wrong."""
        self.context.endpoint_list.begin(fault["verb"], fault, self.context.rng)
        await asyncio.sleep(fault["length"])
        self.context.endpoint_list.end()

    async def silent(self, fault: Fault) -> None:
        """No answer and no reset; then the process comes back cold."""
        plans = await self._strike(fault, EndpointCommand.SILENT, True, False)
        await self.context.standins.command_endpoints(plans, EndpointCommand.START)
        self._list_as_started(plans)
        self._release_endpoints(plans)

    async def hung(self, fault: Fault) -> None:
        """Connections are accepted and never answered."""
        self._release_endpoints(await self._strike(fault, EndpointCommand.HUNG, True, False))

    async def quick_errors(self, fault: Fault) -> None:
        """Some requests fail at once."""
        plans = await self._strike(fault, EndpointCommand.ERRORS, fault["errors"], 0.0)
        self._release_endpoints(plans)

    async def neighbour(self, fault: Fault) -> None:
        """Other work on the machine takes some of the cores."""
        plans = await self._strike(fault, EndpointCommand.STOLEN, fault["stolen"], 0.0)
        self._release_endpoints(plans)

    async def lost_answers(self, fault: Fault) -> None:
        """Requests are served and some answers never arrive."""
        plans = await self._strike(fault, EndpointCommand.LOST, fault["lost"], 0.0)
        self._release_endpoints(plans)

    async def pauses(self, fault: Fault) -> None:
        """The process stands still for a moment, again and again."""
        plans = self._choose_endpoints(fault)
        end = self.context.now() + fault["length"]
        while self.context.now() < end:
            await self.context.standins.command_endpoints(
                plans, EndpointCommand.PAUSE, fault["pause"]
            )
            await asyncio.sleep(fault["every"])
        self._release_endpoints(plans)

    async def pod_restart(self, fault: Fault) -> None:
        """All processes of a pod end at once and come back cold; the list never drops them."""
        fleet = self.context.fleet
        pods = sorted({plan["pod"] for plan in fleet.hosts})
        chosen = set(self.context.rng.sample(pods, min(fault["pods"], len(pods))))
        plans = [
            plan
            for plan in fleet.hosts
            if plan["pod"] in chosen and plan["name"] not in self._affected
        ]
        await self.context.standins.command_endpoints(plans, EndpointCommand.STOP)
        await asyncio.sleep(POD_DOWNTIME)
        for plan in plans:
            await self.context.standins.restart_endpoint(plan)
        await asyncio.sleep(LISTED_AFTER)
        self._list_as_started(plans)

    async def release(self, fault: Fault) -> None:
        """A rolling release: each endpoint drains, stops and has a cold successor."""
        plans = self._choose_endpoints(fault)
        running: set[asyncio.Task[None]] = set()
        interval = fault["length"] / max(1, len(plans))
        at_once = max(1, round(len(self.context.fleet.hosts) * fault["at_once"]))
        for plan in plans:
            while len(running) >= at_once:
                await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            task = self.context.create_task(self._replace(plan, fault["drain"]))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(interval)
        if running:
            await asyncio.wait(running)

    async def _replace(self, plan: Plan, drain: float) -> None:
        """Drain for so many seconds and stop; the successor has another name and address."""
        standins = self.context.standins
        await standins.command_endpoints([plan], EndpointCommand.DRAINING)
        await asyncio.sleep(DRAIN_LISTED_AFTER)
        self._list(plan, "draining", 0.0)
        await standins.command_endpoints([plan], EndpointCommand.DRAIN)
        await asyncio.sleep(drain)
        await standins.command_endpoints([plan], EndpointCommand.STOP)
        self._list(plan, "gone", 0.0)
        successor = self.context.fleet.plan_successor(plan)
        await self.add_endpoint(successor)
        self.context.fleet.replace(plan, successor)
        started = self.context.now()
        await asyncio.sleep(LISTED_AFTER)
        self._list(successor, "ready", started)

    async def _strike(
        self, fault: Fault, command: EndpointCommand, value: Any, after: Any
    ) -> list[Plan]:
        """Set a value at chosen endpoints for the fault's length, then another; returns whose."""
        plans = self._choose_endpoints(fault)
        await self.context.standins.command_endpoints(plans, command, value)
        await asyncio.sleep(fault["length"])
        await self.context.standins.command_endpoints(plans, command, after)
        return plans

    def _choose_endpoints(self, fault: Fault) -> list[Plan]:
        """Draw among the endpoints that run and have no fault yet."""
        in_zone = [
            plan
            for plan in self.context.fleet.hosts
            if not fault["zone"] or plan["zone"] == fault["zone"]
        ]
        count = max(1, round(len(in_zone) * fault["part"]))
        free = [plan for plan in in_zone if plan["name"] not in self._affected]
        chosen = self.context.rng.sample(free, min(count, len(free)))
        self._affected.update(plan["name"] for plan in chosen)
        self.context.record_fault(fault, chosen)
        return chosen

    def _release_endpoints(self, plans: list[Plan]) -> None:
        """Other faults may strike these again."""
        self._affected.difference_update(plan["name"] for plan in plans)

    def _list(self, plan: Plan, phase: str, started: float) -> None:
        self.context.endpoint_list.put(plan, phase, started)
        self.context.endpoint_list.write()

    def _list_as_started(self, plans: list[Plan]) -> None:
        for plan in plans:
            self.context.endpoint_list.put(plan, "ready", self.context.now())
        self.context.endpoint_list.write()
