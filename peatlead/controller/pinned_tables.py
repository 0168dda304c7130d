"""The tables of pinned proxies: past ones, as far as the guard lets them stand now.

A proxy that no pin holds gets the planner's tables unchanged.
"""

from typing import TYPE_CHECKING, NamedTuple

from ..sources.endpoint_list import ListedEndpoint
from ..tables.guard import RAMPED, GuardContext, GuardedTable, guard
from ..tables.history import Store
from ..tables.pins import REPUBLISH_INTERVAL, ActivePin
from ..tables.version import SCALE, changes, line_key, parse_line_key, quantize_weight
from .message import PIN_CHECK, Operations
from .pin_control import PinControl
from .pin_targets import PinTargets
from .published_items import EndpointWeights, LineWeights, TableItems, line_items

if TYPE_CHECKING:
    from .controller import Controller

CHANNEL_FRACTION = 0.15  # of the channel's queue: while more waits, the planner's changes go first
LEAST_WEIGHT = 1e-9  # in place of a listed weight of zero
UNLISTED_ENDPOINT = -1  # of an address that no list has named

ItemChanges = dict[str, int | None]
"""Key to new value, None for an item that goes."""


class PhaseChange(NamedTuple):
    """A listed endpoint's phase, before (None: it is new) and after."""

    before: str | None
    after: str


class SentChange(NamedTuple):
    """What a pin last changed of a proxy's lines, and when."""

    at: float
    items: ItemChanges | None


NEVER_CHANGED = SentChange(-1e9, None)


class EndpointFacts:
    """What the guard has to know of endpoints, kept up to date by the controller's events."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self.by_address: dict[str, int] = {}  # address -> endpoint
        self._phases: dict[int, str] = {}
        self._withdrawn: set[int] = set()
        self._fractions: dict[int, float] = {}  # greatest fraction of its weight in any table
        self._fractions_as_of = -1  # the publisher's change that they were computed at

    def listed(self, endpoint: int, entry: ListedEndpoint) -> PhaseChange | None:
        """Take a list's entry. Return its change of phase, if any."""
        for address in (entry.address, entry.address6):
            if address:
                self.by_address[address] = endpoint
        before = self._phases.get(endpoint)
        if before == entry.phase:
            return None
        self._phases[endpoint] = entry.phase
        return PhaseChange(before, entry.phase)

    def set_withdrawn(self, endpoint: int, withdrawn: bool) -> None:
        """Take a withdrawal or its end."""
        if withdrawn:
            self._withdrawn.add(endpoint)
        else:
            self._withdrawn.discard(endpoint)

    def context(self) -> GuardContext:
        """Return the guard's view of all endpoints now."""
        publisher = self._controller.publisher
        if self._fractions_as_of != publisher.change_count:
            self._fractions_as_of = publisher.change_count
            self._fractions = self._compute_fractions()
        return GuardContext(self._phases, self._withdrawn, self._fractions)

    def _compute_fractions(self) -> dict[int, float]:
        listed = self._controller.endpoint_lists.weights
        return {
            endpoint: max(tables.values()) / max(LEAST_WEIGHT, listed.get(endpoint, 1.0))
            for endpoint, tables in self._controller.publisher.weights_of_endpoint.items()
            if tables
        }


class PinnedTables:
    """Computes what pinned proxies are to hold, and sends them the changes that time brings."""

    def __init__(
        self,
        controller: "Controller",
        control: PinControl,
        targets: PinTargets,
        store: Store,
        endpoints: EndpointFacts,
    ) -> None:
        self._controller = controller
        self._control = control
        self._targets = targets
        self._store = store
        self._endpoints = endpoints
        self.covered: dict[str, str] = {}  # proxy -> the pin that it was last brought under
        self._sent: dict[str, SentChange] = {}
        # Endpoints in any table, and those of them that still ramp up, at the last round.
        self._endpoint_sets: tuple[frozenset[int], frozenset[int]] | None = None

    def lines(
        self, name: str, zone: str, request_class: str, planned: EndpointWeights
    ) -> EndpointWeights:
        """Return the lines of a request class that a proxy is to hold, given the planner's."""
        active = self._control.pin_of(name, zone)
        if active is None:
            return planned
        target = self._targets.lines(active, name)
        lines: EndpointWeights = self.guarded(target, request_class, planned).lines
        return lines

    def guarded(
        self, target: LineWeights, request_class: str, planned: EndpointWeights
    ) -> GuardedTable:
        """Return a past table of a request class as the guard lets it stand."""
        past: EndpointWeights = {}
        for key, value in target.items():
            line_class, _, address, _ = parse_line_key(key)
            if line_class == request_class:
                endpoint = self._endpoints.by_address.get(address, UNLISTED_ENDPOINT)
                past[endpoint] = value / SCALE
        if not past:  # nothing is known of this request class
            return GuardedTable(dict(planned), {}, ())
        table: GuardedTable = guard(past, planned, self._endpoints.context())
        return table

    def items_of_lines(self, request_class: str, lines: EndpointWeights) -> LineWeights:
        """Return the items that publish a table."""
        items = {}
        for endpoint, weight in lines.items():
            entry = self._controller.registry.entries[endpoint]
            address = entry.address or entry.address6
            key = line_key(request_class, entry.zone, address, self._controller.port)
            items[key] = quantize_weight(weight)
        return items

    def pending_changes(self, name: str, number: int) -> ItemChanges:
        """Return how a proxy's lines differ from what it was last sent."""
        items: TableItems | None = self._controller.recipients.items_of(number)
        if items is None:
            return {}
        history = self._store.histories.get(name)
        pending: ItemChanges = changes(line_items(history.items) if history else {}, items)
        return pending

    def enforce(self, now: float) -> None:
        """Bring proxies under pins, or back to the planner's tables, as far as that is due.

        Runs when the channel has capacity to spare, or at once where the set of usable endpoints
        has changed.
        """
        urgent = self._endpoint_sets_changed()
        if not urgent and self._channel_is_busy():
            return
        for number, name, zone in self._controller.recipients.everyone():
            active = self._control.pin_of(name, zone)
            if active is not None or name in self.covered:
                self._enforce_on(now, number, name, active)
            if not urgent and self._channel_is_busy():
                break
        self._controller.message_pump.send_due()

    def _endpoint_sets_changed(self) -> bool:
        fractions = self._endpoints.context().parts
        ramping = frozenset(
            endpoint for endpoint, fraction in fractions.items() if fraction < RAMPED
        )
        before = self._endpoint_sets
        self._endpoint_sets = frozenset(fractions), ramping
        return self._endpoint_sets != before

    def _channel_is_busy(self) -> bool:
        channel = self._controller.channel
        return bool(channel.size > CHANNEL_FRACTION * channel.max_size)

    def _enforce_on(self, now: float, number: int, name: str, active: ActivePin | None) -> None:
        pending = self.pending_changes(name, number)
        if not pending:
            self._sent.pop(name, None)
            if active is None:
                del self.covered[name]  # back on the planner's table
            else:
                self.covered[name] = active.pin.id
            return
        last = self._sent.get(name, NEVER_CHANGED)
        removes_endpoint = any(value is None for value in pending.values())
        # A change that was sent is on its way: a slow proxy must not be sent it again each round.
        if pending != last.items and (removes_endpoint or now - last.at >= REPUBLISH_INTERVAL):
            self._sent[name] = SentChange(now, pending)
            operations: Operations = {
                (PIN_CHECK, key): True for key in pending
            }  # only says that lines changed
            self._controller.channel.enqueue(
                now, number, operations, (), (self._cause(name, active),)
            )
        if active is not None:
            self.covered[name] = active.pin.id

    def _cause(self, name: str, active: ActivePin | None) -> str:
        if active is None:
            return f"{self.covered[name]} ended"
        return f"held by {active.pin.id} {active.pin.by}".rstrip()
