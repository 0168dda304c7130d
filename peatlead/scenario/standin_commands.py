"""Commands from a day's driver to its stand-in processes."""

import asyncio
from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from ..standin.process import CommandClient
from .fleet import Plan
from .processes import Address

LOCAL_ADDRESS = ("127.2.0.1", 0)


class EndpointCommand(StrEnum):
    """Faults and actions that a stand-in endpoint can be commanded to perform."""

    SILENT = "silent"
    HUNG = "hung"
    ERRORS = "errors"
    STOLEN = "stolen"
    LOST = "lost"
    PAUSE = "pause"
    HEAVY = "heavy"
    START = "start"
    STOP = "stop"
    DRAINING = "draining"
    DRAIN = "drain"


class StandInCommands:
    """Sends commands to the processes that run the stand-ins."""

    def __init__(self) -> None:
        self.endpoint_processes: list[Address] = []
        self.client_processes: list[Address] = []
        self.proxy_processes: list[Address] = []
        self._process_by_endpoint: dict[str, Address] = {}  # by endpoint name
        self._transport: asyncio.BaseTransport | None = None
        self._client: Any = None

    async def open(self) -> None:
        """Open the socket for commands."""
        self._transport, self._client = await asyncio.get_running_loop().create_datagram_endpoint(
            CommandClient, local_addr=LOCAL_ADDRESS
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def send(self, process: Address, command: dict[str, Any]) -> None:
        """Send a command and wait until it is carried out.

        Raises RuntimeError if the command failed, or TimeoutError if there was no reply.
        """
        await self._client.execute(process, command)

    async def add_endpoint(self, plan: Plan) -> None:
        """Add an endpoint to the process of its pod."""
        process = self.endpoint_processes[plan["pod"] % len(self.endpoint_processes)]
        self._process_by_endpoint[plan["name"]] = process
        await self.send(process, {"do": "host", "plan": plan})

    async def restart_endpoint(self, plan: Plan) -> None:
        """Start a stopped endpoint again, cold."""
        await self.send(
            self._process_by_endpoint[plan["name"]], {"do": "begin", "host": plan["name"]}
        )

    async def command_endpoints(
        self, plans: Iterable[Plan], command: EndpointCommand, value: Any = True
    ) -> None:
        """Send one command for several endpoints, in one datagram per process."""
        for process in self.endpoint_processes:
            names = [
                plan["name"] for plan in plans if self._process_by_endpoint[plan["name"]] == process
            ]
            if names:
                await self.send(
                    process, {"do": "tell", "hosts": names, "fault": command, "value": value}
                )

    async def add_clients(self, resolvers: list[Plan], networks: list[Plan]) -> None:
        """Add the resolvers, and each network of DNS clients to the process of its resolver."""
        names = sorted(resolver["name"] for resolver in resolvers)

        def resolver_process(resolver: str) -> Address:
            return self.client_processes[names.index(resolver) % len(self.client_processes)]

        for resolver in resolvers:
            await self.send(resolver_process(resolver["name"]), resolver)
        for number, plan in enumerate(networks):
            await self.send(
                resolver_process(plan["resolver"]), {"do": "desk", "plan": plan, "desk": number}
            )

    async def add_proxies(self, plans: list[Plan]) -> None:
        """Add the proxies, distributed over the processes in turn."""
        for number, plan in enumerate(plans):
            process = self.proxy_processes[number % len(self.proxy_processes)]
            await self.send(process, {"do": "agent", "plan": plan})

    async def set_request_rate(self, networks: list[str], factor: float) -> None:
        """Set the factor of client networks' request rates; an empty list means all networks."""
        for process in self.client_processes:
            await self.send(process, {"do": "rate", "views": networks, "times": factor})

    async def begin_requests(self, start: float) -> None:
        """Start the requests of clients and proxies at the event loop time `start`, in seconds."""
        for process in self.client_processes + self.proxy_processes:
            await self.send(process, {"do": "begin", "at": start})

    async def finish_requests(self) -> None:
        """Stop the requests of clients and proxies."""
        await asyncio.gather(
            *(
                self.send(process, {"do": "finish"})
                for process in self.client_processes + self.proxy_processes
            )
        )
