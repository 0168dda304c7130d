"""Publishes the tables of a controller: applies pins, and stores versions in memory and on disk.

`Publication` turns the planned state (`view_state.ViewState`) into the state that is sent. The
tables of a pinned proxy pass through the guard; all other tables are sent as planned. Each version
that is sent is committed, with its causes, to the store in memory and to the table log on disk.

Pins are handled by other modules: `pin_control` (the pins in force), `pin_targets` (the past tables
that pins name), `pinned_tables` (the tables of pinned proxies), `pin_commands` and `table_queries`
(commands and queries of operators).
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from ..sources.endpoint_list import ListedEndpoint
from ..tables.change_causes import ChangeCauses
from ..tables.history import HistoryStore
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

START_COUNT_NOTE = "boots"  # the table log's key for the number of the controller's starts
ZONE_SERIAL_NOTE = "zone serial"  # the table log's key for the zone's newest serial

Causes = Sequence[str]
"""Why a version differs from the version before, as operators read it."""


class Publication:
    """The published tables of one controller.

    `log_folder` is the folder of the table log, or None to store nothing. `wall_clock()` returns
    the time of day, for timestamps that people read. `table_settings` are the settings under
    `tables`. `boot` is a byte string that identifies this start of the controller.
    """

    def __init__(
        self,
        controller: "Controller",
        log_folder: str | None,
        wall_clock: Callable[[], float],
        table_settings: Mapping[str, Any],
        boot: bytes,
    ) -> None:
        self._controller = controller
        self._wall_clock = wall_clock
        self._start_count = 1  # starts so far, used as the epoch of DNS views' versions
        self.store = create_store(table_settings)
        self.table_log = TableLog(
            log_folder,
            self.store,
            controller.log,
            table_settings["sync_every"],
            disk_bytes_max=int(table_settings["disk_most"]),
        )
        self.causes = ChangeCauses(self.endpoint_name, self._listed_weight)
        self._endpoint_facts = EndpointFacts(controller)
        self._pin_control = PinControl(controller, self.table_log, boot)
        self.pin_targets = PinTargets(controller, self.pins, self.store, self.table_log, wall_clock)
        self._pinned_tables = PinnedTables(
            controller, self._pin_control, self.pin_targets, self.store, self._endpoint_facts
        )
        self._queries = self._create_queries()

    def _create_queries(self) -> TableQueries:
        """Create the handler of operators' queries and commands."""
        formatter = ItemFormatter(self._endpoint_facts.endpoint_by_address, self.endpoint_name)
        commands = PinCommands(
            self._controller,
            self._pin_control,
            self.pin_targets,
            self._pinned_tables,
            self.store,
            formatter,
        )
        return TableQueries(self._controller, self, commands, formatter, self._wall_clock)

    @property
    def pins(self) -> Pins:
        """All pins known here, including recently ended pins."""
        return self._pin_control.pins

    @property
    def applied_pins(self) -> dict[str, str]:
        """The id of the pin that was applied to each pinned proxy."""
        return self._pinned_tables.applied_pins

    @property
    def announced_targets(self) -> dict[TargetKey, PastTable]:
        """The pin targets that other controllers have announced."""
        return self.pin_targets.announced_targets

    def endpoint_name(self, endpoint: int) -> str:
        """Return the name of a listed endpoint."""
        name: str = self._controller.registry.entries[endpoint].name
        return name

    # Life cycle.

    def restore(self, now: float) -> None:
        """Restore the tables and pins of earlier starts, then start to write the table log."""
        for file, reason in self.table_log.restore():
            self._controller.log("part of the table log not restored", file=file, why=reason)
        notes = self.table_log.notes
        self._start_count = int(notes.get(START_COUNT_NOTE, b"0")) + 1
        self.table_log.record_note(START_COUNT_NOTE, b"%d" % self._start_count)
        try:
            self._pin_control.restore(now, notes)
            self.pin_targets.restore()
        except (ValueError, msgspec.MsgspecError) as error:
            self._controller.log("stored pins not restored", why=str(error))
        self.table_log.start(now)
        self.pin_targets.schedule_announcements()  # no other controller may know these targets
        self._pin_control.log_active_pins(now)

    def tick(self, now: float) -> None:
        """Do the periodic work on pins and the table log, in each round of the planner's timer."""
        self._pin_control.expire_pins(now)
        self.pin_targets.forget_ended_pins()
        self._pin_control.store_and_announce_when_due(now)
        self.pin_targets.send_announcements()
        if self.pins.by_id or self.applied_pins:
            self._pinned_tables.send_changes(now)
        self.table_log.flush(now)

    def stop(self, now: float) -> None:
        """Write all pending records and close the table log."""
        if self.pins.by_id:
            self._pin_control.store_pins(now)
        self.table_log.flush(now)
        try:
            self.table_log.close()
        except OSError as error:
            self._controller.log("table log write failed", why=error.strerror)

    def zone_serial(self) -> int:
        """Return the stored serial of the DNS zone, or 0 if none is stored."""
        stored: bytes = self.table_log.notes.get(ZONE_SERIAL_NOTE, b"0")
        return int(stored) if stored.isdigit() else 0

    def store_zone_serial(self, serial: int) -> None:
        """Store the DNS zone's newest serial."""
        self.table_log.record_note(ZONE_SERIAL_NOTE, b"%d" % serial)
        self.table_log.flush(self._controller.loop.time())

    # Other controllers.

    def receive_pins(self, payload: bytes) -> None:
        """Merge the pins that another controller has sent."""
        try:
            changed = self._pin_control.merge_received_pins(self._controller.loop.time(), payload)
        except ValueError as error:
            self._controller.log("pins refused", why=str(error))
            return
        if changed:
            self.pin_targets.schedule_announcements()
            self._controller.log("pins received", standing=sorted(self.pins.unended()))

    def receive_target(self, payload: bytes) -> None:
        """Store a pin target that another controller has announced."""
        self.pin_targets.receive_announcement(payload)

    # Versions.

    def record_join(self, name: str, epoch: int, lines: LineWeights) -> None:
        """Commit the lines that a proxy held when it joined, so that a rollback can use them."""
        history = self.store.history(name)
        version = Version(epoch, 0)
        if version > history.newest_version:
            causes = (f"joined, holding {len(lines)} lines",)
            self._commit(name, version, causes, changes(line_items(history.items), lines))

    def newest_epoch(self, name: str) -> int:
        """Return the epoch of a proxy's newest version, or 0 if it has no version."""
        history = self.store.histories.get(name)
        return history.newest_version.epoch if history else 0

    def record_sent(
        self, name: str, version: Version, parts: Collection[str], items: TableItems, causes: Causes
    ) -> None:
        """Commit a version of some parts of a proxy's tables; `items` has their new contents."""
        history = self.store.history(name)
        if version <= history.newest_version:
            return  # sent on a stream that a newer stream has replaced
        before: TableItems = {
            key: value for key, value in history.items.items() if part_of(key) in parts
        }
        self._commit(name, version, causes, changes(before, items))

    def record_view(self, name: str, items: LineWeights, causes: Causes) -> None:
        """Commit the new items of a DNS view as a version, if the items have changed."""
        history = self.store.history(name)
        changed_items = changes(history.items, items)
        if changed_items:
            serial = (
                history.newest_version.serial + 1
                if history.newest_version.epoch == self._start_count
                else 1
            )
            self._commit(name, Version(self._start_count, serial), causes, changed_items)

    def record_leave(self, name: str) -> None:
        """Record that a proxy has left; its history is kept within the limits of the store."""
        self.store.mark_disconnected(name)
        self.table_log.record_disconnect(name)

    # Tables.

    def endpoint_listed(self, endpoint: int, entry: ListedEndpoint) -> PhaseChange | None:
        """Store the data of a list entry. Return the endpoint's change of phase, or None."""
        return self._endpoint_facts.store_entry(endpoint, entry)

    def endpoint_withdrawn(self, endpoint: int, withdrawn: bool) -> None:
        """Record whether an endpoint is withdrawn."""
        self._endpoint_facts.set_withdrawn(endpoint, withdrawn)

    def active_pin(self, name: str, zone: str) -> ActivePin | None:
        """Return the pin that applies to a proxy or view now, or None."""
        return self._pin_control.active_pin(name, zone)

    def effective_weights(
        self, name: str, zone: str, request_class: str, planned: EndpointWeights
    ) -> EndpointWeights:
        """Return the weights that a proxy should hold, given the planned weights."""
        return self._pinned_tables.effective_weights(name, zone, request_class, planned)

    def items_of_table(self, request_class: str, weights: EndpointWeights) -> LineWeights:
        """Return the published items of a table."""
        return self._pinned_tables.items_of_table(request_class, weights)

    def pending_changes(self, name: str, number: int) -> ItemChanges:
        """Return the changes from the lines last sent to a proxy to the lines it should hold."""
        return self._pinned_tables.pending_changes(name, number)

    # Operators.

    def answer(self, question: Question) -> Answer:
        """Answer a `tables` query of the control socket."""
        return self._queries.answer(question)

    def proxy_versions(self) -> list[Answer]:
        """Return the last sent and the last acknowledged version of each proxy and view."""
        return self._queries.proxy_versions()

    def _commit(
        self, name: str, version: Version, causes: Causes, changed: Mapping[str, Any]
    ) -> None:
        entry = self.store.commit(name, version, self._wall_clock(), causes, changed)
        self.table_log.record_version(name, entry)

    def _listed_weight(self, endpoint: int) -> float:
        weight: float = self._controller.endpoint_lists.weights.get(endpoint, 0.0)
        return weight


def create_store(table_settings: Mapping[str, Any]) -> HistoryStore:
    """Return an empty store with the limits of the `tables` settings."""
    return HistoryStore(
        table_settings["versions_each"],
        table_settings["versions_most"],
        int(table_settings["memory_most"]),
        table_settings["age_most"],
    )
