"""Receives endpoint lists from a source, stores them, and updates the controller's parts."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from .. import interface
from ..sources.endpoint_cache import EndpointCache
from ..sources.endpoint_list import EndpointList

if TYPE_CHECKING:
    from .controller import Controller

SourceFactory = Callable[..., Any]
"""Creates a source from the `node_list` settings, a callback for lists and a log function."""


class EndpointLists:
    """Passes received endpoint lists to the planner and to all parts that publish endpoints.

    `cache_path` is the file for the last list of scope WHOLE, or None to store nothing.
    """

    def __init__(
        self, controller: "Controller", create_source: SourceFactory, cache_path: str | None
    ) -> None:
        self._controller = controller
        self._cache = EndpointCache(cache_path)
        self.source = create_source(controller.settings["node_list"], self.receive, controller.log)
        self.weights: dict[int, float] = {}  # listed weights, by endpoint

    def restore(self) -> None:
        """Load the list that an earlier start has stored, if any."""
        stored_list, reason = self._cache.load()
        if stored_list:
            self.source.set_known_version(stored_list.version)
            self.receive(stored_list)
        else:
            self._controller.log("no stored endpoint list", why=reason)

    def schedule_fetch(self) -> None:
        """Read the whole list again, in the next iteration of the event loop."""
        loop = self._controller.loop
        loop.call_soon(lambda: self.source.fetch(loop.time()))

    def receive(self, endpoint_list: EndpointList) -> None:
        """Update the controller's parts from a list, and submit the list to the planner."""
        controller = self._controller
        now = controller.loop.time()
        update = controller.registry.endpoint_update(endpoint_list, now)
        for endpoint in update.endpoints:
            self._update_endpoint(now, endpoint, endpoint_list.version)
        ready = sum(
            entry.phase == interface.EndpointPhase.READY for entry in endpoint_list.endpoints
        )
        controller.log(
            "endpoint list received",
            scope=endpoint_list.scope,
            version=endpoint_list.version,
            hosts=len(endpoint_list.endpoints),
            ready=ready,
        )
        if endpoint_list.scope == interface.ListScope.WHOLE and endpoint_list.endpoints:
            self._store(endpoint_list)
        controller.submit(update)

    def _update_endpoint(self, now: float, endpoint: interface.Endpoint, list_version: int) -> None:
        controller = self._controller
        number = endpoint.id
        entry = controller.registry.entries[number]
        self.weights[number] = entry.weight
        phase_change = controller.publication.endpoint_listed(number, entry)
        if phase_change is not None:
            causes = controller.publication.causes
            causes.note_phase_changes({number: phase_change}, list_version)
            controller.propagation.record_event(now, number, causes.last_events[number])
        controller.answers.set_endpoint(number, entry.name, entry.address, entry.address6)
        if controller.proxies:
            controller.proxies.endpoint_listed(number, entry)
        if endpoint.phase == interface.EndpointPhase.READY:
            controller.answers.resolvable_endpoints.add(number)
        else:
            controller.answers.resolvable_endpoints.discard(number)

    def _store(self, endpoint_list: EndpointList) -> None:
        try:
            self._cache.save(endpoint_list)
        except OSError as error:
            self._controller.log("endpoint list not stored", why=str(error))
