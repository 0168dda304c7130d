"""State of the endpoints across the endpoint lists that discovery sends."""

from collections.abc import Callable, Container

from msgspec.structs import replace

from ..controller.endpoint_registry import EndpointRegistry
from ..interface import EndpointPhase, EndpointUpdate, ListScope
from ..sources.endpoint_list import EndpointList
from .shared_types import Log, Settings


class EndpointTracker:
    """Converts endpoint lists to planner events.

    `compute_age` returns the seconds since a Unix time.
    """

    def __init__(self, settings: Settings, compute_age: Callable[[float], float], log: Log) -> None:
        self.settings = settings
        self.log = log
        # Names of known endpoints that no list has contained since the last whole list.
        self.omitted_names: set[str] = set()
        self.registry = EndpointRegistry(
            settings["zones"],
            log,
            settings.get("machines", ()),
            assume_old=True,
            compute_age=compute_age,
        )

    def endpoint_name(self, endpoint: int) -> str:
        """Return the name of an endpoint, given by its number."""
        name: str = self.registry.entries[endpoint].name
        return name

    def apply(self, endpoint_list: EndpointList, now: float) -> EndpointUpdate:
        """Apply a list and return the event for the planner; `now` is on the loop's clock."""
        endpoint_list = self.keep_endpoints_with_unusable_entries(endpoint_list)
        update: EndpointUpdate = self.registry.endpoint_update(endpoint_list, now)
        listed_names = {entry.name for entry in endpoint_list.endpoints}
        if endpoint_list.scope in (ListScope.WHOLE, ListScope.REMEMBERED):
            self.omitted_names = set(self.registry.numbers)
        self.omitted_names -= listed_names
        self.log_applied_list(endpoint_list)
        return update

    def known_endpoints(self, now: float) -> EndpointUpdate:
        """Return an event with all known endpoints, for a new planner.

        Endpoints that the last whole list omitted are gone, except where such lists are advice: the
        planner then kept them while they answered.
        """
        omitted_names = set() if self.settings.get("gone_is_advice") else self.omitted_names
        entries = tuple(
            replace(entry, phase=EndpointPhase.GONE.value) if entry.name in omitted_names else entry
            for entry in self.registry.entries.values()
        )
        update: EndpointUpdate = self.registry.endpoint_update(
            EndpointList(ListScope.REMEMBERED, 0, 0.0, entries), now
        )
        return update

    def forget_unused(self, used: Container[int]) -> list[int]:
        """Forget the endpoints that are not in `used`, and return them.

        Without this, the registry would grow with each endpoint that replaces another one.
        """
        unused_endpoints = [endpoint for endpoint in self.registry.entries if endpoint not in used]
        for endpoint in unused_endpoints:
            self.omitted_names.discard(self.endpoint_name(endpoint))
            self.registry.forget_endpoint(endpoint)
        return unused_endpoints

    def keep_endpoints_with_unusable_entries(self, endpoint_list: EndpointList) -> EndpointList:
        """Return the list with the previous entries of endpoints whose new entries are unusable.

        A whole list removes the endpoints that it does not contain, and an unusable entry must not
        remove its endpoint. If an entry's name is unusable too, the result is a list of changes,
        which removes no endpoint.
        """
        in_unknown_zone = [
            entry for entry in endpoint_list.endpoints if entry.zone not in self.registry.zones
        ]
        unusable_names = [*endpoint_list.unusable_names, *(entry.name for entry in in_unknown_zone)]
        if endpoint_list.scope != ListScope.WHOLE or not unusable_names:
            return endpoint_list
        previous_entries = [
            self.registry.entries[self.registry.numbers[name]]
            for name in unusable_names
            if name is not None and name in self.registry.numbers
        ]
        previous_names = {entry.name for entry in previous_entries}
        other_entries = [
            entry for entry in endpoint_list.endpoints if entry.name not in previous_names
        ]
        return endpoint_list._replace(
            scope=ListScope.CHANGES if None in unusable_names else ListScope.WHOLE,
            endpoints=(*previous_entries, *other_entries),
        )

    def log_applied_list(self, endpoint_list: EndpointList) -> None:
        """Log the size of an applied list and the number of its ready endpoints."""
        ready = sum(entry.phase == EndpointPhase.READY for entry in endpoint_list.endpoints)
        self.log(
            "endpoint list received",
            scope=endpoint_list.scope,
            version=endpoint_list.version,
            hosts=len(endpoint_list.endpoints),
            ready=ready,
        )
