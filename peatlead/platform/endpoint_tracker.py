"""The endpoint lists that discovery sends, and what has to be remembered between them."""

from collections.abc import Callable, Container
from typing import Optional

from ..controller.endpoint_registry import EndpointRegistry
from ..interface import EndpointPhase, EndpointUpdate, ListScope
from ..sources.endpoint_list import EndpointList, ListedEndpoint
from .shared_types import Log, Settings

FORGOTTEN_LIMIT = 20_000  # names of endpoints that went, in case one comes back


class EndpointTracker:
    """Turns endpoint lists into the planner's events; `age_of` gives seconds since a Unix time."""

    def __init__(self, settings: Settings, age_of: Callable[[float], float], log: Log) -> None:
        self.log = log
        self.registry = EndpointRegistry(
            settings["zones"],
            log,
            settings.get("machines", ()),
            assume_old=True,
            age_of=age_of,
        )
        # Endpoints that were ever not as they are now: a proxy may still eject them on the word
        # of a controller that it was connected to before.
        self.possibly_ejected: set[int] = set()
        self.forgotten: dict[str, bool] = {}  # an ordered set of names

    def name_of(self, endpoint: int) -> str:
        """Return an endpoint's name."""
        name: str = self.registry.entries[endpoint].name
        return name

    def apply(self, endpoint_list: EndpointList, now: float) -> EndpointUpdate:
        """Record a list and return the planner's event; `now` is in the loop's seconds."""
        endpoint_list = self.with_unread_endpoints(endpoint_list)
        previous = {entry.name: self.phase_of(entry.name) for entry in endpoint_list.hosts}
        is_first = not self.registry.list_received
        update: EndpointUpdate = self.registry.endpoint_update(endpoint_list, now)
        if endpoint_list.scope != ListScope.CHANGES:
            listed = {endpoint.id for endpoint in update.endpoints}
            self.possibly_ejected.update(
                endpoint for endpoint in self.registry.entries if endpoint not in listed
            )
        for entry in endpoint_list.hosts:
            endpoint = self.registry.numbers.get(entry.name)
            was_known = is_first or self.was_listed_before(entry.name, previous[entry.name])
            is_change = endpoint_list.scope == ListScope.CHANGES
            has_changed = may_have_changed(entry, previous[entry.name], is_change)
            if endpoint is not None and was_known and has_changed:
                self.possibly_ejected.add(endpoint)
        self.log_list(endpoint_list)
        return update

    def remembered(self, now: float) -> EndpointUpdate:
        """Return the event that gives a new planner all listed endpoints."""
        entries = tuple(self.registry.entries.values())
        update: EndpointUpdate = self.registry.endpoint_update(
            EndpointList(ListScope.REMEMBERED, 0, 0.0, entries), now
        )
        return update

    def forget_unused(self, used: Container[int]) -> list[int]:
        """Forget the endpoints that the planner no longer knows, and return them.

        Otherwise names of successors would add up.
        """
        unused = [endpoint for endpoint in self.registry.entries if endpoint not in used]
        for endpoint in unused:
            name = self.name_of(endpoint)
            self.forgotten.pop(name, None)
            self.forgotten[name] = True
            self.registry.forget(endpoint)
            self.possibly_ejected.discard(endpoint)
        while len(self.forgotten) > FORGOTTEN_LIMIT:
            del self.forgotten[next(iter(self.forgotten))]
        return unused

    def with_unread_endpoints(self, endpoint_list: EndpointList) -> EndpointList:
        """Add the known entries of endpoints whose new entries can't be used to a whole list.

        A whole list removes what it does not name. Where not even an entry's name can be read,
        nothing is removed.
        """
        unknown_zone = [
            entry for entry in endpoint_list.hosts if entry.zone not in self.registry.zones
        ]
        unread = [*endpoint_list.unread, *(entry.name for entry in unknown_zone)]
        if endpoint_list.scope != ListScope.WHOLE or not unread:
            return endpoint_list
        kept = [
            self.registry.entries[self.registry.numbers[name]]
            for name in unread
            if name is not None and name in self.registry.numbers
        ]
        kept_names = {entry.name for entry in kept}
        others = [entry for entry in endpoint_list.hosts if entry.name not in kept_names]
        return endpoint_list._replace(
            scope=ListScope.CHANGES if None in unread else ListScope.WHOLE,
            hosts=(*kept, *others),
        )

    def phase_of(self, name: str) -> Optional[str]:
        """Return the phase that an endpoint is known with, if it is known."""
        endpoint = self.registry.numbers.get(name)
        if endpoint is None:
            return None
        phase: str = self.registry.entries[endpoint].phase
        return phase

    def was_listed_before(self, name: str, previous_phase: Optional[str]) -> bool:
        """Whether an endpoint has ever been listed: nobody ejects one that has not."""
        return previous_phase is not None or name in self.forgotten

    def log_list(self, endpoint_list: EndpointList) -> None:
        """Log that a list was applied."""
        ready = sum(entry.phase == EndpointPhase.READY for entry in endpoint_list.hosts)
        self.log(
            "list",
            scope=endpoint_list.scope,
            version=endpoint_list.version,
            hosts=len(endpoint_list.hosts),
            ready=ready,
        )


def may_have_changed(entry: ListedEndpoint, previous_phase: Optional[str], is_change: bool) -> bool:
    """Whether an endpoint may have been in another phase; one update may sum up several."""
    phases = {previous_phase, entry.phase}
    return bool(entry.started or is_change or phases - {None, EndpointPhase.READY})
