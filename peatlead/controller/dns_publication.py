"""The tables of DNS views, and the endpoints that DNS answers may name."""

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

ViewService = tuple[int, int]
"""The index of a view and the index of a service. Each pair has its own DNS answers."""


def service_request_classes(settings: Mapping[str, Any]) -> list[list[int]]:
    """Return the indices of the request classes of each service in the settings."""
    indices = {entry["name"]: index for index, entry in enumerate(settings["request_kind"])}
    return [[indices[name] for name in service["kinds"]] for service in settings["service"]]


class DnsPublication:
    """Holds the tables of all DNS views, and updates the DNS answers when they change."""

    def __init__(self, controller: "Controller", answers: Answers) -> None:
        settings = controller.settings
        self._controller = controller
        self._answers = answers
        self._service_labels: list[str] = [service["label"] for service in settings["service"]]
        self._request_classes = service_request_classes(settings)  # by service
        views = controller.views.views
        self._view_states = [ViewState() for _ in views]
        self.thinning = WarmupThinning(
            {
                (view.index, service): view.rate
                for view in views
                for service in self._service_indices()
            }
        )
        # When the last view lost each endpoint, in seconds on the loop's clock.
        self._last_named_at: dict[int, float] = {}

    def _service_indices(self) -> range:
        return range(len(self._service_labels))

    def view_state(self, view: View) -> ViewState:
        """Return a view's state after all messages that have left the channel."""
        return self._view_states[view.index]

    def planned_tables(self, view: View) -> list[PlannedTable]:
        """Return the planned tables of a view, by service."""
        state = self._view_states[view.index]
        return [
            PlannedTable(label, state.weights(request_classes[0]))
            for label, request_classes in zip(self._service_labels, self._request_classes)
        ]

    def view_items(self, view: View) -> LineWeights:
        """Return the published items that a view should have now, of all services."""
        return self._items_of_tables(self._effective_tables(view))

    def apply(self, now: float, view: View, message: Message) -> list[EndpointWeights]:
        """Apply a message that has left the channel. Return the view's tables, by service."""
        self._view_states[view.index].apply(message.operations)
        self._controller.propagation.version_applied(now, view.number)
        tables = self._effective_tables(view)
        self._controller.publication.record_view(
            VIEW_PREFIX + view.name, self._items_of_tables(tables), tuple(message.causes)
        )
        return tables

    def update_answers(
        self,
        changed: Mapping[ViewService, EndpointWeights],
        rates: Iterable[tuple[ViewService, float]],
    ) -> None:
        """Update the DNS answers for changed tables and request rates (requests per second)."""
        listed = self._controller.endpoint_lists.weights
        previous_endpoints = {
            endpoint for key in changed for endpoint in self.thinning.tables.get(key, ())
        }
        for key, pool in self.thinning.decide(changed, listed, rates).items():
            view, service = key
            self._answers.set_pool(view, service, pool, self.thinning.tables[key])
        for key in changed:
            table = self.thinning.tables[key]
            view, service = key
            if table != self._answers.sources[view][service].planned_weights:
                self._answers.set_pool(view, service, self.thinning.pools[key], table)
        for endpoint in previous_endpoints:
            if not self.thinning.views_by_endpoint[endpoint]:
                self._last_named_at[endpoint] = self._controller.loop.time()

    def record_rates(self, events: Iterable[object]) -> None:
        """Update the DNS answers for the request rates in `RequestStats` events."""
        rates: dict[ViewService, float] = {}
        for event in events:
            if type(event) is not interface.RequestStats:
                continue
            view = self._controller.views.by_number.get(event.proxy)
            if view is None:
                continue
            for service, request_classes in enumerate(self._request_classes):
                if event.request_class in request_classes:
                    key = view.index, service
                    rates[key] = rates.get(key, 0.0) + event.requests / event.window
        if rates:
            self.update_answers({}, sorted(rates.items()))

    def views_with_endpoint(self, endpoint: int) -> set[int]:
        """Return the indices of the views whose tables name an endpoint."""
        return {view for view, _ in self.thinning.views_by_endpoint.get(endpoint, ())}

    def seconds_since_last_named(self, endpoint: int) -> float | None:
        """Return the seconds since an answer could last name an endpoint.

        None means that answers can name the endpoint now, or never could.
        """
        if self.views_with_endpoint(endpoint) or endpoint not in self._last_named_at:
            return None
        return self._controller.loop.time() - self._last_named_at[endpoint]

    def _effective_tables(self, view: View) -> list[EndpointWeights]:
        """Return a view's tables by service: the planned tables, or guarded tables under a pin."""
        zone = self._controller.zone_names[view.zone]
        return [
            self._controller.publication.effective_weights(
                VIEW_PREFIX + view.name, zone, label, planned
            )
            for label, planned in self.planned_tables(view)
        ]

    def _items_of_tables(self, tables: list[EndpointWeights]) -> LineWeights:
        items: LineWeights = {}
        for label, table in zip(self._service_labels, tables):
            items.update(self._controller.publication.items_of_table(label, table))
        return items
