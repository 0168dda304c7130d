"""Faults of traffic: bursts, shifts between zones and expensive requests."""

import asyncio

from .context import DayContext, Fault, FaultPlayer
from .standin_commands import EndpointCommand

MIN_RATE_FACTOR = 0.1  # of the request rate of the other zones during a shift


class TrafficFaults:
    """Plays the changes of request rates and of the CPU work of requests."""

    def __init__(self, context: DayContext) -> None:
        self.context = context

    def players(self) -> dict[str, FaultPlayer]:
        """Return the method that plays each fault, by its builtin in day scripts."""
        return {"burst": self.burst, "shift": self.shift, "heavy_tail": self.heavy_tail}

    async def burst(self, fault: Fault) -> None:
        """Multiply the request rate of all client networks."""
        await self.context.standins.set_request_rate([], fault["times"])
        await asyncio.sleep(fault["length"])
        await self.context.standins.set_request_rate([], 1.0)

    async def shift(self, fault: Fault) -> None:
        """Increase the request rates of one zone's networks and decrease the others' in return."""
        zones = self.context.fleet.zones
        if fault["zone"]:
            zone_index = zones.index(fault["zone"])
        else:
            zone_index = self.context.rng.randrange(len(zones))
        networks = [plan["view"] for plan in self.context.fleet.client_networks]
        in_zone = [
            name for number, name in enumerate(networks) if number % len(zones) == zone_index
        ]
        in_other_zones = [name for name in networks if name not in in_zone]
        reduced_factor = max(
            MIN_RATE_FACTOR, 1 - (fault["times"] - 1) * len(in_zone) / max(1, len(in_other_zones))
        )
        await self.context.standins.set_request_rate(in_zone, fault["times"])
        await self.context.standins.set_request_rate(in_other_zones, reduced_factor)
        await asyncio.sleep(fault["length"])
        await self.context.standins.set_request_rate([], 1.0)

    async def heavy_tail(self, fault: Fault) -> None:
        """Multiply the CPU work of some requests of a class."""
        heavy = (fault["kind"], fault["share"], fault["times"])
        await self._make_heavy(heavy)
        await asyncio.sleep(fault["length"])
        await self._make_heavy(None)

    async def _make_heavy(self, heavy: tuple[str, float, float] | None) -> None:
        plans = self.context.fleet.endpoints
        await self.context.standins.command_endpoints(plans, EndpointCommand.HEAVY, heavy)
