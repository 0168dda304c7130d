"""Faults of endpoints and of the endpoint list, and rolling releases."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from .context import DayContext, Fault, FaultPlayer
from .fleet import Plan
from .standin_commands import EndpointCommand

START_LISTING_DELAY = 0.3  # seconds from an endpoint's start until the list shows the start
DRAIN_LISTING_DELAY = 0.2  # seconds until the list marks an endpoint as draining
POD_DOWNTIME = 1.0  # seconds from the stop of a pod's endpoints until their start


class EndpointFaults:
    """Plays the faults of endpoints. An endpoint is affected by one fault at a time."""

    def __init__(
        self, context: DayContext, add_endpoint: Callable[[Plan], Awaitable[None]]
    ) -> None:
        self.context = context
        self.add_endpoint = add_endpoint
        self._affected: set[str] = set()  # names of endpoints with a fault

    def players(self) -> dict[str, FaultPlayer]:
        """Return the method that plays each fault, by its builtin in day scripts."""
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
        """Write a wrong endpoint list for the fault's length."""
        self.context.endpoint_list.begin_fault(fault["verb"], fault, self.context.rng)
        await asyncio.sleep(fault["length"])
        self.context.endpoint_list.end_fault()

    async def silent(self, fault: Fault) -> None:
        """Let endpoints neither answer nor reset connections, then restart them cold."""
        plans = await self._apply_for_duration(fault, EndpointCommand.SILENT, True, False)
        await self.context.standins.command_endpoints(plans, EndpointCommand.START)
        self._list_as_just_started(plans)
        self._end_fault(plans)

    async def hung(self, fault: Fault) -> None:
        """Let endpoints accept connections but never answer."""
        self._end_fault(await self._apply_for_duration(fault, EndpointCommand.HUNG, True, False))

    async def quick_errors(self, fault: Fault) -> None:
        """Let endpoints answer some requests with an error at once."""
        plans = await self._apply_for_duration(fault, EndpointCommand.ERRORS, fault["errors"], 0.0)
        self._end_fault(plans)

    async def neighbour(self, fault: Fault) -> None:
        """Take some of the endpoints' CPU capacity, like other work on the same machine."""
        plans = await self._apply_for_duration(fault, EndpointCommand.STOLEN, fault["stolen"], 0.0)
        self._end_fault(plans)

    async def lost_answers(self, fault: Fault) -> None:
        """Let endpoints process requests but lose some of the answers."""
        plans = await self._apply_for_duration(fault, EndpointCommand.LOST, fault["lost"], 0.0)
        self._end_fault(plans)

    async def pauses(self, fault: Fault) -> None:
        """Pause endpoints repeatedly."""
        plans = self._choose_endpoints(fault)
        end = self.context.now() + fault["length"]
        while self.context.now() < end:
            await self.context.standins.command_endpoints(
                plans, EndpointCommand.PAUSE, fault["pause"]
            )
            await asyncio.sleep(fault["every"])
        self._end_fault(plans)

    async def pod_restart(self, fault: Fault) -> None:
        """Restart all endpoints of some pods at once, cold; they stay in the endpoint list."""
        fleet = self.context.fleet
        pods = sorted({plan["pod"] for plan in fleet.endpoints})
        chosen = set(self.context.rng.sample(pods, min(fault["pods"], len(pods))))
        plans = [
            plan
            for plan in fleet.endpoints
            if plan["pod"] in chosen and plan["name"] not in self._affected
        ]
        await self.context.standins.command_endpoints(plans, EndpointCommand.STOP)
        await asyncio.sleep(POD_DOWNTIME)
        for plan in plans:
            await self.context.standins.restart_endpoint(plan)
        await asyncio.sleep(START_LISTING_DELAY)
        self._list_as_just_started(plans)

    async def release(self, fault: Fault) -> None:
        """Play a rolling release: each endpoint drains, stops and is replaced by a cold one."""
        plans = self._choose_endpoints(fault)
        running: set[asyncio.Task[None]] = set()
        interval = fault["length"] / max(1, len(plans))
        at_once = max(1, round(len(self.context.fleet.endpoints) * fault["at_once"]))
        for plan in plans:
            while len(running) >= at_once:
                await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            task = self.context.create_task(self._replace_endpoint(plan, fault["drain"]))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(interval)
        if running:
            await asyncio.wait(running)

    async def _replace_endpoint(self, plan: Plan, drain: float) -> None:
        """Drain an endpoint for `drain` seconds, stop it and start its successor.

        The successor has another name and address.
        """
        standins = self.context.standins
        await standins.command_endpoints([plan], EndpointCommand.DRAINING)
        await asyncio.sleep(DRAIN_LISTING_DELAY)
        self._set_listed_phase(plan, "draining", 0.0)
        await standins.command_endpoints([plan], EndpointCommand.DRAIN)
        await asyncio.sleep(drain)
        await standins.command_endpoints([plan], EndpointCommand.STOP)
        self._set_listed_phase(plan, "gone", 0.0)
        successor = self.context.fleet.plan_successor(plan)
        await self.add_endpoint(successor)
        self.context.fleet.replace(plan, successor)
        started = self.context.now()
        await asyncio.sleep(START_LISTING_DELAY)
        self._set_listed_phase(successor, "ready", started)

    async def _apply_for_duration(
        self, fault: Fault, command: EndpointCommand, value: Any, reset_value: Any
    ) -> list[Plan]:
        """Choose endpoints, set a value by a command, and reset it after the fault's length.

        Returns the plans of the chosen endpoints, which remain marked as affected.
        """
        plans = self._choose_endpoints(fault)
        await self.context.standins.command_endpoints(plans, command, value)
        await asyncio.sleep(fault["length"])
        await self.context.standins.command_endpoints(plans, command, reset_value)
        return plans

    def _choose_endpoints(self, fault: Fault) -> list[Plan]:
        """Choose random endpoints without a fault and mark them as affected."""
        in_zone = [
            plan
            for plan in self.context.fleet.endpoints
            if not fault["zone"] or plan["zone"] == fault["zone"]
        ]
        count = max(1, round(len(in_zone) * fault["part"]))
        unaffected = [plan for plan in in_zone if plan["name"] not in self._affected]
        chosen = self.context.rng.sample(unaffected, min(count, len(unaffected)))
        self._affected.update(plan["name"] for plan in chosen)
        self.context.record_fault(fault, chosen)
        return chosen

    def _end_fault(self, plans: list[Plan]) -> None:
        """Unmark endpoints as affected, so that other faults can choose them."""
        self._affected.difference_update(plan["name"] for plan in plans)

    def _set_listed_phase(self, plan: Plan, phase: str, started: float) -> None:
        """Write the list with a new phase of an endpoint."""
        self.context.endpoint_list.set_entry(plan, phase, started)
        self.context.endpoint_list.write()

    def _list_as_just_started(self, plans: list[Plan]) -> None:
        """Write the list with endpoints that are ready and started now."""
        for plan in plans:
            self.context.endpoint_list.set_entry(plan, "ready", self.context.now())
        self.context.endpoint_list.write()
