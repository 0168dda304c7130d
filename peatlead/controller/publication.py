"""The published tables of a controller: versions in memory and on disk, and the effect of pins.

`Publication` stands between what the planner wants (`view_state.ViewState`) and what is sent. A
pinned proxy's lines go through the guard, all others pass unchanged; each version that is sent is
committed to the store and to the log on disk with its causes.

Pins are kept apart: `pin_control` (which are in force), `pin_targets` (which past tables they
name), `pinned_tables` (what a proxy is to hold), `pin_commands` and `table_queries` (operators).
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from ..sources.endpoint_list import ListedEndpoint
from ..tables.change_causes import ChangeCauses
from ..tables.history import Store
from ..tables.pins import ActivePin, Pins
from ..tables.table_log import TableLog
from ..tables.version import Version, changes, part_of
from .control_socket import Answer, Question
from .pin_commands import PinCommands
from .pin_control import PinControl
from .pin_targets import PastTable, PinTargets, TargetKey
from .pinned_tables import EndpointFacts, ItemChanges, PhaseChange, PinnedTables
from .published_items import EndpointWeights, ItemFormatter, LineWeights, TableItems, line_items
from .table_queries import TableQueries

if TYPE_CHECKING:
    from .controller import Controller

BOOTS_NOTE = "boots"  # the table log's key for the number of starts
SERIAL_NOTE = "zone serial"  # the table log's key for the zone's newest serial

Causes = Sequence[str]
"""Why a version differs from the one before, in operators' words."""


class Publication:
    """The published tables of one controller.

    `wall()` is the time of day, for stamps that people read; `bounds` are the settings under
    `tables`; `boot` is a byte string that no other start of this controller has had.
    """

    def __init__(
        self,
        controller: "Controller",
        folder: str | None,
        wall: Callable[[], float],
        bounds: Mapping[str, Any],
        boot: bytes,
    ) -> None:
        self._controller = controller
        self._wall = wall
        self._boots = 1  # this start's number: the epoch of DNS views' versions
        self.store = create_store(bounds)
        self.log = TableLog(
            folder,
            self.store,
            controller.log,
            bounds["sync_every"],
            disk_bytes_max=int(bounds["disk_most"]),
        )
        self.causes = ChangeCauses(self.name_of, self._listed_weight_of)
        self._endpoints = EndpointFacts(controller)
        self._pin_control = PinControl(controller, self.log, boot)
        self.targets = PinTargets(controller, self.pins, self.store, self.log, wall)
        self._pinned_tables = PinnedTables(
            controller, self._pin_control, self.targets, self.store, self._endpoints
        )
        self._queries = self._create_queries()

    def _create_queries(self) -> TableQueries:
        """Create the answers to operators' questions and orders."""
        formatter = ItemFormatter(self._endpoints.by_address, self.name_of)
        commands = PinCommands(
            self._controller,
            self._pin_control,
            self.targets,
            self._pinned_tables,
            self.store,
            formatter,
        )
        return TableQueries(self._controller, self, commands, formatter, self._wall)

    @property
    def pins(self) -> Pins:
        """All pins that are known here, ended ones for a while too."""
        return self._pin_control.pins

    @property
    def covered(self) -> dict[str, str]:
        """The proxies that were brought under a pin, with the pin's id."""
        return self._pinned_tables.covered

    @property
    def offered(self) -> dict[TargetKey, PastTable]:
        """The targets of pins that other controllers have announced."""
        return self.targets.offered

    def name_of(self, endpoint: int) -> str:
        """Return an endpoint's listed name."""
        name: str = self._controller.registry.entries[endpoint].name
        return name

    # Life cycle.

    def recall(self, now: float) -> None:
        """Read what was published before this start, and begin to write."""
        for file, reason in self.log.restore():
            self._controller.log("tables: part of the log not taken", file=file, why=reason)
        notes = self.log.notes
        self._boots = int(notes.get(BOOTS_NOTE, b"0")) + 1
        self.log.record_note(BOOTS_NOTE, b"%d" % self._boots)
        try:
            self._pin_control.recall(now, notes)
            self.targets.recall()
        except (ValueError, msgspec.MsgspecError) as error:
            self._controller.log("tables: pins not taken", why=str(error))
        self.log.start(now)
        self.targets.announce_known()  # this controller may be the only one that knows
        self._pin_control.log_standing(now)

    def tick(self, now: float) -> None:
        """Do what is due; called in every round of the planner's timer."""
        self._pin_control.expire(now)
        self.targets.forget_ended()
        self._pin_control.refresh(now)
        self.targets.send_announcements()
        if self.pins.by_id or self.covered:
            self._pinned_tables.enforce(now)
        self.log.flush(now)

    def stop(self, now: float) -> None:
        """Write all that is still in memory and close the log."""
        if self.pins.by_id:
            self._pin_control.store(now)
        self.log.flush(now)
        try:
            self.log.close()
        except OSError as error:
            self._controller.log("table log write failed", why=error.strerror)

    def zone_serial(self) -> int:
        """Return the DNS zone's newest serial on record, 0 for none."""
        stored: bytes = self.log.notes.get(SERIAL_NOTE, b"0")
        return int(stored) if stored.isdigit() else 0

    def store_zone_serial(self, serial: int) -> None:
        """Put the DNS zone's newest serial on record."""
        self.log.record_note(SERIAL_NOTE, b"%d" % serial)
        self.log.flush(self._controller.loop.time())

    # Other controllers.

    def receive_pins(self, payload: bytes) -> None:
        """Take another controller's pins."""
        try:
            changed = self._pin_control.receive(self._controller.loop.time(), payload)
        except ValueError as error:
            self._controller.log("pins refused", why=str(error))
            return
        if changed:
            self.targets.announce_known()
            self._controller.log("pins heard", standing=sorted(self.pins.unended()))

    def receive_target(self, payload: bytes) -> None:
        """Take a pin's target from another controller."""
        self.targets.receive(payload)

    # Versions.

    def record_join(self, name: str, epoch: int, lines: LineWeights) -> None:
        """Commit what a proxy held when it joined, so that this can be returned to."""
        history = self.store.history(name)
        version = Version(epoch, 0)
        if version > history.newest_version:
            causes = (f"joined, holding {len(lines)} lines",)
            self._commit(name, version, causes, changes(line_items(history.items), lines))

    def newest_epoch(self, name: str) -> int:
        """Return the epoch of a proxy's newest version, 0 for none."""
        history = self.store.histories.get(name)
        return history.newest_version.epoch if history else 0

    def record_sent(
        self, name: str, version: Version, parts: Collection[str], items: TableItems, causes: Causes
    ) -> None:
        """Commit a version of some parts of a proxy's tables, which are `items` now."""
        history = self.store.history(name)
        if version <= history.newest_version:
            return  # of a stream that a newer one has replaced
        before: TableItems = {
            key: value for key, value in history.items.items() if part_of(key) in parts
        }
        self._commit(name, version, causes, changes(before, items))

    def record_view(self, name: str, items: LineWeights, causes: Causes) -> None:
        """Commit a DNS view's tables as answers have them from now on."""
        history = self.store.history(name)
        changed_items = changes(history.items, items)
        if changed_items:
            serial = (
                history.newest_version.serial + 1
                if history.newest_version.epoch == self._boots
                else 1
            )
            self._commit(name, Version(self._boots, serial), causes, changed_items)

    def record_leave(self, name: str) -> None:
        """Take that a proxy has gone; its history is kept for a while."""
        self.store.mark_disconnected(name)
        self.log.record_disconnect(name)

    # Tables.

    def endpoint_listed(self, endpoint: int, entry: ListedEndpoint) -> PhaseChange | None:
        """Take a list's entry. Return the endpoint's change of phase, if any."""
        return self._endpoints.listed(endpoint, entry)

    def endpoint_withdrawn(self, endpoint: int, withdrawn: bool) -> None:
        """Take that an endpoint is withdrawn, or no longer is."""
        self._endpoints.set_withdrawn(endpoint, withdrawn)

    def pin_of(self, name: str, zone: str) -> ActivePin | None:
        """Return the pin that holds a proxy or view now."""
        return self._pin_control.pin_of(name, zone)

    def lines(
        self, name: str, zone: str, request_class: str, planned: EndpointWeights
    ) -> EndpointWeights:
        """Return the lines of a request class that a proxy is to hold, given the planner's."""
        return self._pinned_tables.lines(name, zone, request_class, planned)

    def items_of_lines(self, request_class: str, lines: EndpointWeights) -> LineWeights:
        """Return the items that publish a table."""
        return self._pinned_tables.items_of_lines(request_class, lines)

    def pending_changes(self, name: str, number: int) -> ItemChanges:
        """Return how a proxy's lines differ from what it was last sent."""
        return self._pinned_tables.pending_changes(name, number)

    # Operators.

    def answer(self, question: Question) -> Answer:
        """Answer a `tables` question."""
        return self._queries.answer(question)

    def proxy_versions(self) -> list[Answer]:
        """Return for each proxy the version last sent and the one it acknowledged."""
        return self._queries.proxy_versions()

    def _commit(
        self, name: str, version: Version, causes: Causes, changed: Mapping[str, Any]
    ) -> None:
        entry = self.store.commit(name, version, self._wall(), causes, changed)
        self.log.record_version(name, entry)

    def _listed_weight_of(self, endpoint: int) -> float:
        weight: float = self._controller.endpoint_lists.weights.get(endpoint, 0.0)
        return weight


def create_store(bounds: Mapping[str, Any]) -> Store:
    """Return an empty store with the bounds of the settings."""
    return Store(
        bounds["versions_each"],
        bounds["versions_most"],
        int(bounds["memory_most"]),
        bounds["age_most"],
    )
