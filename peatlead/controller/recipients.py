"""All that this controller publishes to: the DNS views of the settings and the joined proxies."""

from typing import TYPE_CHECKING, NamedTuple

from .published_items import EndpointWeights, TableItems

if TYPE_CHECKING:
    from ..grpc.session import Session
    from .controller import Controller

VIEW_PREFIX = "view:"  # of a DNS view's name among the names of recipients


class Recipient(NamedTuple):
    """A view or proxy: the planner's number of it, its name, and the name of its zone."""

    number: int
    name: str
    zone: str


class PlannedTable(NamedTuple):
    """What the planner wants of one request class, or service of a view."""

    request_class: str
    weights: EndpointWeights


class Recipients:
    """Finds recipients and their tables, whichever way they are reached."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    def everyone(self) -> list[Recipient]:
        """Return all recipients, views first."""
        zones = self._controller.zone_names
        views = [
            Recipient(view.number, VIEW_PREFIX + view.name, zones[view.zone])
            for view in self._controller.views.views
        ]
        proxies = self._controller.proxies
        return views + (proxies.everyone() if proxies else [])

    def zone_of(self, name: str) -> str:
        """Return the zone of a recipient, an empty text where there is none of that name."""
        return next((recipient.zone for recipient in self.everyone() if recipient.name == name), "")

    def session_of(self, number: int) -> "Session | None":
        """Return a proxy's session, None for a view or a proxy that has gone."""
        proxies = self._controller.proxies
        return proxies.by_number.get(number) if proxies else None

    def planned_tables(self, number: int) -> list[PlannedTable]:
        """Return what the planner wants of a recipient now."""
        view = self._controller.views.by_number.get(number)
        if view is not None:
            return self._controller.dns_publication.planned_tables(view)
        proxies = self._controller.proxies
        session = self.session_of(number)
        if proxies is None or session is None:
            return []
        return [
            PlannedTable(request_class, session.state.weights(index))
            for request_class, index in proxies.server.kinds.items()
        ]

    def items_of(self, number: int) -> TableItems | None:
        """Return the lines that a recipient is to hold now; None while that is not known."""
        view = self._controller.views.by_number.get(number)
        if view is not None:
            return self._controller.dns_publication.items_of(view)
        session = self.session_of(number)
        items: TableItems | None = session.items("line") if session else None
        return items

    def holds(self, number: int, endpoint: int) -> bool:
        """Return whether a recipient was sent an endpoint: others lose nothing with it."""
        view = self._controller.views.by_number.get(number)
        session = self.session_of(number)
        if view is not None:
            state = self._controller.dns_publication.state_of(view)
        elif session is not None:
            state = session.state
        else:
            return False
        return any(endpoint in table for table in state.tables.values())
