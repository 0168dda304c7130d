"""Changes of the requests: bursts, shifts between zones and expensive requests."""

import asyncio

from .context import DayContext, Fault, Verb
from .standin_commands import EndpointCommand

LEAST_FACTOR = 0.1  # of the rate of networks that send less during a shift


class TrafficFaults:
    """Plays the changes of the request rates and of the requests' work."""

    def __init__(self, context: DayContext) -> None:
        self.context = context

    def verbs(self) -> dict[str, Verb]:
        """The changes by their builtin in day scripts."""
        return {"burst": self.burst, "shift": self.shift, "heavy_tail": self.heavy_tail}

    async def burst(self, fault: Fault) -> None:
        """All client networks send more."""
        await self.context.standins.set_request_rate([], fault["times"])
        await asyncio.sleep(fault["length"])
        await self.context.standins.set_request_rate([], 1.0)

    async def shift(self, fault: Fault) -> None:
        """Networks of one zone send more, the others as much less."""
        zones = self.context.fleet.zones
        if fault["zone"]:
            zone = zones.index(fault["zone"])
        else:
            zone = self.context.rng.randrange(len(zones))
        networks = [plan["view"] for plan in self.context.fleet.desks]
        near = [name for number, name in enumerate(networks) if number % len(zones) == zone]
        far = [name for name in networks if name not in near]
        less = max(LEAST_FACTOR, 1 - (fault["times"] - 1) * len(near) / max(1, len(far)))
        await self.context.standins.set_request_rate(near, fault["times"])
        await self.context.standins.set_request_rate(far, less)
        await asyncio.sleep(fault["length"])
        await self.context.standins.set_request_rate([], 1.0)

    async def heavy_tail(self, fault: Fault) -> None:
        """Some requests of a class are much more work."""
        heavy = (fault["kind"], fault["share"], fault["times"])
        await self._make_heavy(heavy)
        await asyncio.sleep(fault["length"])
        await self._make_heavy(None)

    async def _make_heavy(self, heavy: tuple[str, float, float] | None) -> None:
        plans = self.context.fleet.hosts
        await self.context.standins.command_endpoints(plans, EndpointCommand.HEAVY, heavy)
