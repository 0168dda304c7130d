"""From messages to DNS answers: what each view holds, and what its answers may name."""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from .. import interface
from ..dns.answers import Answers
from ..dns.views import View
from ..dns.warmup_thinning import WarmupThinning
from .message import Message
from .published_items import EndpointWeights, LineWeights
from .recipients import VIEW_PREFIX, PlannedTable
from .view_state import ViewState

if TYPE_CHECKING:
    from .controller import Controller

Seat = tuple[int, int]
"""The index of a view and of a service: answers are placed for each pair."""


def service_request_classes(settings: Mapping[str, Any]) -> list[list[int]]:
    """Return for each service of the settings the indices of its request classes."""
    indices = {entry["name"]: index for index, entry in enumerate(settings["request_kind"])}
    return [[indices[name] for name in service["kinds"]] for service in settings["service"]]


class DnsPublication:
    """The tables of all DNS views, and the answers that follow from them."""

    def __init__(self, controller: "Controller", answers: Answers) -> None:
        settings = controller.settings
        self._controller = controller
        self._answers = answers
        self._labels: list[str] = [service["label"] for service in settings["service"]]
        self._request_classes = service_request_classes(settings)  # by service
        views = controller.views.views
        self._states = [ViewState() for _ in views]
        self.thinning = WarmupThinning(
            {(view.index, service): view.rate for view in views for service in self._services()}
        )
        self._unnamed_at: dict[int, float] = {}  # endpoint -> when the last answer could name it

    def _services(self) -> range:
        return range(len(self._labels))

    def state_of(self, view: View) -> ViewState:
        """Return what a view holds of the planner's tables."""
        return self._states[view.index]

    def planned_tables(self, view: View) -> list[PlannedTable]:
        """Return what the planner wants of a view, by service."""
        state = self._states[view.index]
        return [
            PlannedTable(label, state.weights(request_classes[0]))
            for label, request_classes in zip(self._labels, self._request_classes)
        ]

    def items_of(self, view: View) -> LineWeights:
        """Return the items that a view is to hold now."""
        return self._items_of_tables(self._tables_of(view))

    def apply(self, now: float, view: View, message: Message) -> list[EndpointWeights]:
        """Take a message that has left the channel. Return the view's tables, by service."""
        self._states[view.index].apply(message.operations)
        self._controller.propagation.applied(now, view.number)
        tables = self._tables_of(view)
        self._controller.publication.record_view(
            VIEW_PREFIX + view.name, self._items_of_tables(tables), tuple(message.causes)
        )
        return tables

    def update_answers(
        self,
        changed: Mapping[Seat, EndpointWeights],
        rates: Iterable[tuple[Seat, float]],
    ) -> None:
        """Take new tables or request rates, as far as they change what answers name."""
        listed = self._controller.endpoint_lists.weights
        named_before = {
            endpoint for seat in changed for endpoint in self.thinning.tables.get(seat, ())
        }
        for seat, named in self.thinning.decide(changed, listed, rates).items():
            view, service = seat
            self._answers.place(view, service, named, self.thinning.tables[seat])
        for seat in changed:
            table = self.thinning.tables[seat]
            view, service = seat
            if table != self._answers.seats[view][service].planned_weights:
                self._answers.place(view, service, self.thinning.named[seat], table)
        for endpoint in named_before:
            if not self.thinning.holders[endpoint]:
                self._unnamed_at[endpoint] = self._controller.loop.time()

    def record_rates(self, events: Iterable[object]) -> None:
        """Take the request rates of views, by service: what answers may name depends on them."""
        rates: dict[Seat, float] = {}
        for event in events:
            if type(event) is not interface.RequestStats:
                continue
            view = self._controller.views.by_number.get(event.proxy)
            if view is None:
                continue
            for service, request_classes in enumerate(self._request_classes):
                if event.request_class in request_classes:
                    seat = view.index, service
                    rates[seat] = rates.get(seat, 0.0) + event.requests / event.window
        if rates:
            self.update_answers({}, sorted(rates.items()))

    def views_naming(self, endpoint: int) -> set[int]:
        """Return the indices of the views whose tables name an endpoint."""
        return {view for view, _ in self.thinning.holders.get(endpoint, ())}

    def seconds_unnamed(self, endpoint: int) -> float | None:
        """Return the seconds since the last answer could name an endpoint; None if one can now."""
        if self.views_naming(endpoint) or endpoint not in self._unnamed_at:
            return None
        return self._controller.loop.time() - self._unnamed_at[endpoint]

    def _tables_of(self, view: View) -> list[EndpointWeights]:
        """Return a view's tables: the planner's, through the guard where the view is pinned."""
        zone = self._controller.zone_names[view.zone]
        return [
            self._controller.publication.lines(VIEW_PREFIX + view.name, zone, label, planned)
            for label, planned in self.planned_tables(view)
        ]

    def _items_of_tables(self, tables: list[EndpointWeights]) -> LineWeights:
        items: LineWeights = {}
        for label, table in zip(self._labels, tables):
            items.update(self._controller.publication.items_of_lines(label, table))
        return items
