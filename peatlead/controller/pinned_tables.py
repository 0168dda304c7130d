"""Computes and sends the tables of pinned proxies: past tables, restricted by the guard.

Proxies without a pin get the planned tables unchanged.
"""

from typing import TYPE_CHECKING, NamedTuple

from ..sources.endpoint_list import ListedEndpoint
from ..tables.guard import RAMPED_FRACTION, GuardContext, GuardedTable, guard
from ..tables.history import HistoryStore
from ..tables.pins import REPUBLISH_INTERVAL, ActivePin
from ..tables.version import WEIGHT_SCALE, changes, line_key, parse_line_key, quantize_weight
from .message import PIN_CHECK, Operations
from .pin_control import PinControl
from .pin_targets import PinTargets
from .published_items import EndpointWeights, LineWeights, TableItems, line_items

if TYPE_CHECKING:
    from .controller import Controller

MAX_CHANNEL_FRACTION = 0.15  # of the channel's maximum size; pin changes wait while it is fuller
MIN_LISTED_WEIGHT = 1e-9  # avoids a division by a listed weight of zero
UNLISTED_ENDPOINT = -1  # the number for an address that no list has named

ItemChanges = dict[str, int | None]
"""New values of items, by key; None removes the item."""


class PhaseChange(NamedTuple):
    """A change of a listed endpoint's phase; `before` is None for a new endpoint."""

    before: str | None
    after: str


class SentChange(NamedTuple):
    """The last changes sent to a pinned proxy, and when, in seconds on the loop's clock."""

    sent_at: float
    items: ItemChanges | None


NO_CHANGE_SENT = SentChange(-1e9, None)


class EndpointFacts:
    """Holds the state of the endpoints that the guard needs."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self.endpoint_by_address: dict[str, int] = {}  # endpoint, by address
        self._phases: dict[int, str] = {}
        self._withdrawn: set[int] = set()
        # The greatest fraction of an endpoint's listed weight in any table.
        self._weight_fractions: dict[int, float] = {}
        # The publisher's change count when `_weight_fractions` was computed.
        self._weight_fractions_change_count = -1

    def store_entry(self, endpoint: int, entry: ListedEndpoint) -> PhaseChange | None:
        """Store a list entry. Return the endpoint's change of phase, or None."""
        for address in (entry.address, entry.address6):
            if address:
                self.endpoint_by_address[address] = endpoint
        before = self._phases.get(endpoint)
        if before == entry.phase:
            return None
        self._phases[endpoint] = entry.phase
        return PhaseChange(before, entry.phase)

    def set_withdrawn(self, endpoint: int, withdrawn: bool) -> None:
        """Record whether an endpoint is withdrawn."""
        if withdrawn:
            self._withdrawn.add(endpoint)
        else:
            self._withdrawn.discard(endpoint)

    def guard_context(self) -> GuardContext:
        """Return the current state of all endpoints."""
        publisher = self._controller.publisher
        if self._weight_fractions_change_count != publisher.change_count:
            self._weight_fractions_change_count = publisher.change_count
            self._weight_fractions = self._compute_weight_fractions()
        return GuardContext(self._phases, self._withdrawn, self._weight_fractions)

    def _compute_weight_fractions(self) -> dict[int, float]:
        listed = self._controller.endpoint_lists.weights
        return {
            endpoint: max(tables.values()) / max(MIN_LISTED_WEIGHT, listed.get(endpoint, 1.0))
            for endpoint, tables in self._controller.publisher.weights_of_endpoint.items()
            if tables
        }


class PinnedTables:
    """Computes the tables of pinned proxies, and sends their changes."""

    def __init__(
        self,
        controller: "Controller",
        pin_control: PinControl,
        pin_targets: PinTargets,
        store: HistoryStore,
        endpoints: EndpointFacts,
    ) -> None:
        self._controller = controller
        self._pin_control = pin_control
        self._pin_targets = pin_targets
        self._store = store
        self._endpoints = endpoints
        self.applied_pins: dict[str, str] = {}  # id of the pin last applied, by proxy
        self._last_changes: dict[str, SentChange] = {}  # by proxy
        # The endpoints in any table, and the ramping endpoints among them, as of the last round.
        self._endpoint_sets: tuple[frozenset[int], frozenset[int]] | None = None

    def effective_weights(
        self, name: str, zone: str, request_class: str, planned: EndpointWeights
    ) -> EndpointWeights:
        """Return the weights that a proxy should hold, given the planned weights."""
        active = self._pin_control.active_pin(name, zone)
        if active is None:
            return planned
        target = self._pin_targets.target_lines(active, name)
        weights: EndpointWeights = self.guarded_table(target, request_class, planned).weights
        return weights

    def guarded_table(
        self, target: LineWeights, request_class: str, planned: EndpointWeights
    ) -> GuardedTable:
        """Return the past table of a request class as far as the guard allows it."""
        past: EndpointWeights = {}
        for key, value in target.items():
            line_class, _, address, _ = parse_line_key(key)
            if line_class == request_class:
                endpoint = self._endpoints.endpoint_by_address.get(address, UNLISTED_ENDPOINT)
                past[endpoint] = value / WEIGHT_SCALE
        if not past:  # the target has no lines of this request class
            return GuardedTable(dict(planned), {}, ())
        table: GuardedTable = guard(past, planned, self._endpoints.guard_context())
        return table

    def items_of_table(self, request_class: str, weights: EndpointWeights) -> LineWeights:
        """Return the published items of a table."""
        items = {}
        for endpoint, weight in weights.items():
            entry = self._controller.registry.entries[endpoint]
            address = entry.address or entry.address6
            key = line_key(request_class, entry.zone, address, self._controller.port)
            items[key] = quantize_weight(weight)
        return items

    def pending_changes(self, name: str, number: int) -> ItemChanges:
        """Return the changes from the lines last sent to a proxy to the lines it should hold."""
        items: TableItems | None = self._controller.recipients.current_lines(number)
        if items is None:
            return {}
        history = self._store.histories.get(name)
        pending: ItemChanges = changes(line_items(history.items) if history else {}, items)
        return pending

    def send_changes(self, now: float) -> None:
        """Send the changes of pinned proxies, and of proxies whose pin has ended.

        The changes wait while the channel is busy, unless the set of endpoints in tables or the set
        of ramping endpoints has changed.
        """
        urgent = self._endpoint_sets_changed()
        if not urgent and self._channel_is_busy():
            return
        for number, name, zone in self._controller.recipients.all_recipients():
            active = self._pin_control.active_pin(name, zone)
            if active is not None or name in self.applied_pins:
                self._send_recipient_changes(now, number, name, active)
            if not urgent and self._channel_is_busy():
                break
        self._controller.message_pump.send_due()

    def _endpoint_sets_changed(self) -> bool:
        fractions = self._endpoints.guard_context().weight_fractions
        ramping = frozenset(
            endpoint for endpoint, fraction in fractions.items() if fraction < RAMPED_FRACTION
        )
        previous_sets = self._endpoint_sets
        self._endpoint_sets = frozenset(fractions), ramping
        return self._endpoint_sets != previous_sets

    def _channel_is_busy(self) -> bool:
        channel = self._controller.channel
        return bool(channel.size > MAX_CHANNEL_FRACTION * channel.max_size)

    def _send_recipient_changes(
        self, now: float, number: int, name: str, active: ActivePin | None
    ) -> None:
        pending = self.pending_changes(name, number)
        if not pending:
            self._last_changes.pop(name, None)
            if active is None:
                del self.applied_pins[name]  # the proxy has the planned tables again
            else:
                self.applied_pins[name] = active.pin.id
            return
        last_change = self._last_changes.get(name, NO_CHANGE_SENT)
        removes_endpoint = any(value is None for value in pending.values())
        # The last change may not have been applied yet: it is not sent again in every round.
        if pending != last_change.items and (
            removes_endpoint or now - last_change.sent_at >= REPUBLISH_INTERVAL
        ):
            self._last_changes[name] = SentChange(now, pending)
            operations: Operations = {(PIN_CHECK, key): True for key in pending}
            self._controller.channel.enqueue(
                now, number, operations, (), (self._cause(name, active),)
            )
        if active is not None:
            self.applied_pins[name] = active.pin.id

    def _cause(self, name: str, active: ActivePin | None) -> str:
        if active is None:
            return f"{self.applied_pins[name]} ended"
        return f"held by {active.pin.id} {active.pin.operator}".rstrip()
