"""A stand-in for the platform's discovery agent, which serves an endpoint list by long polling."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from ..net.http import ServerConnection

Endpoint = dict[str, Any]  # one entry of the list, with the keys of the platform's protocol
ACTIVE = "active"  # the lifecycle of an endpoint that serves requests


class EndpointList:
    """The endpoints by name; each update is sent at once to all watches."""

    def __init__(self) -> None:
        self.version = 1
        self.endpoints: dict[str, Endpoint] = {}
        self.changed_at: dict[str, int] = {}  # version of each endpoint's last change
        self.drained_at: dict[str, float] = {}  # when each endpoint started to drain or was removed
        self.watches: list[DiscoveryAgent] = []  # connections with a pending request

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Add or replace entries of the list, and answer the watches."""
        self.version += 1
        for endpoint in endpoints:
            name = endpoint["instanceId"]
            self.endpoints[name] = endpoint
            self.changed_at[name] = self.version
            if endpoint["lifecycle"] == ACTIVE:
                self.drained_at.pop(name, None)
            else:
                self.drained_at.setdefault(name, asyncio.get_running_loop().time())
        self.answer_watches()

    def answer_watches(self) -> None:
        """Answer all watches except those that wait for the next change."""
        pending_watches = self.watches
        self.watches = []
        for watch in pending_watches:
            self._answer(watch)

    def _answer(self, watch: "DiscoveryAgent") -> None:
        parameters = dict(
            pair.split("=") for pair in watch.path.partition("?")[2].split("&") if pair
        )
        known_version = int(parameters.get("after", -1))
        changed = [
            endpoint
            for name, endpoint in self.endpoints.items()
            if self.changed_at[name] > known_version
        ]
        if known_version >= 0 and not changed and parameters.get("wait_ms") != "0":
            self.watches.append(watch)
            return
        answer = {"generation": self.version, "reset": known_version < 0, "instances": changed}
        watch.respond(200, [], json.dumps(answer).encode())


class DiscoveryAgent(ServerConnection):
    """A controller's connection to the discovery agent."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        super().__init__(0.0)
        self.endpoint_list = endpoint_list
        self.path = ""  # path of the controller's latest request

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Add a watch, and answer it at once unless it has to wait for a change."""
        self.path = path
        self.endpoint_list.watches.append(self)
        self.endpoint_list.answer_watches()
