"""The recipients of published tables: the DNS views of the settings and the joined proxies.

`publisher` and `channel` call them subscribers and know only their numbers.
"""

from typing import TYPE_CHECKING, NamedTuple

from .published_items import EndpointWeights, TableItems

if TYPE_CHECKING:
    from ..grpc.session import Session
    from .controller import Controller

VIEW_PREFIX = "view:"  # prefix of a DNS view's name as a recipient


class Recipient(NamedTuple):
    """A view or proxy: its number in the planner, its name, and the name of its zone."""

    number: int
    name: str
    zone: str


class PlannedTable(NamedTuple):
    """The planned table of a proxy's request class or of a view's service."""

    request_class: str
    weights: EndpointWeights


class Recipients:
    """Looks up recipients and their tables, for views and proxies alike."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    def all_recipients(self) -> list[Recipient]:
        """Return all recipients, views first."""
        zones = self._controller.zone_names
        views = [
            Recipient(view.number, VIEW_PREFIX + view.name, zones[view.zone])
            for view in self._controller.views.views
        ]
        proxies = self._controller.proxies
        return views + (proxies.all_recipients() if proxies else [])

    def recipient_zone(self, name: str) -> str:
        """Return the zone of the recipient with this name, or "" if there is no such recipient."""
        return next(
            (recipient.zone for recipient in self.all_recipients() if recipient.name == name), ""
        )

    def proxy_session(self, subscriber: int) -> "Session | None":
        """Return a proxy's session, or None for a view or a proxy that has left."""
        proxies = self._controller.proxies
        return proxies.by_number.get(subscriber) if proxies else None

    def planned_tables(self, subscriber: int) -> list[PlannedTable]:
        """Return the planned tables of a recipient."""
        view = self._controller.views.by_number.get(subscriber)
        if view is not None:
            return self._controller.dns_publication.planned_tables(view)
        proxies = self._controller.proxies
        session = self.proxy_session(subscriber)
        if proxies is None or session is None:
            return []
        return [
            PlannedTable(request_class, session.state.weights(index))
            for request_class, index in proxies.server.class_indices.items()
        ]

    def current_lines(self, subscriber: int) -> TableItems | None:
        """Return the lines that a recipient should hold now, or None while they are not known."""
        view = self._controller.views.by_number.get(subscriber)
        if view is not None:
            return self._controller.dns_publication.view_items(view)
        session = self.proxy_session(subscriber)
        items: TableItems | None = session.items("line") if session else None
        return items

    def holds(self, subscriber: int, endpoint: int) -> bool:
        """Return whether any table that was sent to a recipient names an endpoint."""
        view = self._controller.views.by_number.get(subscriber)
        session = self.proxy_session(subscriber)
        if view is not None:
            state = self._controller.dns_publication.view_state(view)
        elif session is not None:
            state = session.state
        else:
            return False
        return any(endpoint in table for table in state.tables.values())
