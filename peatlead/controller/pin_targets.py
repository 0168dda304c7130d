"""Pin targets: the past tables that pinned proxies are held to.

A target is looked up once for each pin and proxy and then stored, also on disk, so that a restart
does not change the target. Possibly only the former owner of a proxy knows the proxy's history.
Therefore every controller announces the targets that it knows after each change of the pins. Of
several targets for a proxy the target with the highest version is used, because the controller that
announced it owned the proxy last.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import zstandard

from ..tables.history import HistoryStore, UnknownVersionError
from ..tables.pins import ActivePin, Pins
from ..tables.table_log import TableLog
from ..tables.version import NO_VERSION, Version, parse_line_key, parse_version
from .published_items import LineWeights, TableItems, line_items

if TYPE_CHECKING:
    from .controller import Controller

MAX_ANNOUNCEMENTS_PER_ROUND = 20  # targets sent in one round of the planner's timer
MAX_PACKED_BYTES = 60_000  # a compressed announcement must fit into a datagram
MAX_UNPACKED_BYTES = 1 << 20  # maximum size of a decompressed announcement
MAX_ANNOUNCED_TARGETS = 100_000  # stored targets that other controllers have announced
TARGET_NOTE_PREFIX = "wish/"  # the table log's keys for targets are wish/PIN/PROXY

TargetKey = tuple[str, str]
"""Pin id and proxy name."""

AnnouncementBody = tuple[str, str, int, int, dict[str, int]]
"""An announcement: pin id, proxy, epoch and serial of the version, lines."""


class PastTable(NamedTuple):
    """A past version and its items."""

    version: Version
    items: TableItems


def target_note_key(key: TargetKey) -> str:
    """Return the table log's key of a stored target."""
    pin_id, name = key
    return f"{TARGET_NOTE_PREFIX}{pin_id}/{name}"


def read_announcement(payload: bytes) -> tuple[TargetKey, PastTable]:
    """Decode another controller's target. Raises ZstdError, MsgspecError or ValueError."""
    encoded = zstandard.ZstdDecompressor().decompress(payload, max_output_size=MAX_UNPACKED_BYTES)
    pin_id, name, epoch, serial, lines = msgspec.msgpack.decode(encoded, type=AnnouncementBody)
    for line in lines:
        parse_line_key(line)
    return (pin_id, name), PastTable(Version(epoch, serial), lines)


def write_announcement(key: TargetKey, past: PastTable) -> bytes:
    """Encode a target as a compressed msgpack message for the other controllers."""
    body = (*key, *past.version, line_items(past.items))
    return zstandard.compress(msgspec.msgpack.encode(body))


class PinTargets:
    """Finds, stores and exchanges the past tables that pins name."""

    def __init__(
        self,
        controller: "Controller",
        pins: Pins,
        store: HistoryStore,
        table_log: TableLog,
        wall_clock: Callable[[], float],
    ) -> None:
        self._controller = controller
        self._pins = pins
        self._store = store
        self._table_log = table_log
        self._wall_clock = wall_clock
        self._target_lines: dict[TargetKey, LineWeights] = {}  # the lines of each target
        # Targets that were not found; their proxies are held to the current tables.
        self.unknown_targets: set[TargetKey] = set()
        self.announced_targets: dict[TargetKey, PastTable] = {}  # received from other controllers
        # Whether each scheduled announcement was sent.
        self._announced: dict[TargetKey, bool] = {}

    def restore(self) -> None:
        """Load the targets that an earlier start has stored. Raises MsgspecError or ValueError."""
        for key in [key for key in self._table_log.notes if key.startswith(TARGET_NOTE_PREFIX)]:
            _, pin_id, name = key.split("/", 2)
            if pin_id in self._pins.by_id:
                lines = msgspec.msgpack.decode(self._table_log.notes[key], type=LineWeights)
                self._target_lines[pin_id, name] = lines
            else:
                self._table_log.record_note(key, None)

    def target_lines(self, active: ActivePin, name: str) -> LineWeights:
        """Return the lines that a pin holds a proxy to; the first call looks them up."""
        key = active.pin.id, name
        if key not in self._target_lines:
            self._store_target(key, self._find_target_lines(active, name))
        return self._target_lines[key]

    def find_past_table(self, active: ActivePin, name: str) -> PastTable | None:
        """Return the past table that a pin names for a proxy, or None if it is not stored here."""
        history = self._store.histories.get(name)
        if history is None or history.newest_version == NO_VERSION:
            return None
        pin = active.pin
        try:
            if pin.target == "held":
                return PastTable(history.newest_version, dict(history.items))
            if pin.target == "version":
                version = parse_version(pin.target_argument)
                return PastTable(version, history.items_at_version(version))
            age = self._controller.loop.time() - active.created_at
            return PastTable(
                *history.state_at_time(self._wall_clock() - age - float(pin.target_argument))
            )
        except UnknownVersionError:
            return None

    def schedule_announcements(self) -> None:
        """Schedule announcements of the known targets, first for proxies that are not joined here.

        Targets of joined proxies are announced too: after a stall a controller does not know yet
        which of its proxies have joined another controller.
        """
        if not self._controller.gossip:
            return
        joined = {name for _, name, _ in self._controller.recipients.all_recipients()}
        for active in self._pins.unended().values():
            if active.pin.target != "back":
                continue
            for name in sorted(self._store.histories, key=joined.__contains__):
                self._announced.setdefault((active.pin.id, name), False)

    def send_announcements(self) -> None:
        """Send up to MAX_ANNOUNCEMENTS_PER_ROUND of the scheduled announcements."""
        gossip = self._controller.gossip
        if gossip is None:
            return
        due = [key for key, announced in self._announced.items() if not announced]
        for key in due[:MAX_ANNOUNCEMENTS_PER_ROUND]:
            self._announced[key] = True
            pin_id, name = key
            active = self._pins.by_id.get(pin_id)
            past = self.find_past_table(active, name) if active else None
            if past is None:
                continue
            payload = write_announcement(key, past)
            if len(payload) < MAX_PACKED_BYTES:
                gossip.broadcast_pin_target(payload)

    def receive_announcement(self, payload: bytes) -> None:
        """Store another controller's target if it has a newer version than the known target."""
        try:
            key, past = read_announcement(payload)
        except (zstandard.ZstdError, msgspec.MsgspecError, ValueError) as error:
            self._controller.log("pin target refused", why=str(error))
            return
        pin_id, name = key
        if pin_id not in self._pins.by_id or len(self.announced_targets) > MAX_ANNOUNCED_TARGETS:
            return
        known = self.announced_targets.get(key)
        if past.version <= (known.version if known else NO_VERSION):
            return
        self.announced_targets[key] = past
        own = self.find_past_table(self._pins.by_id[pin_id], name)
        if key in self._target_lines and (own is None or own.version < past.version):
            self._store_target(key, past.items)
            self.unknown_targets.discard(key)

    def forget_ended_pins(self) -> None:
        """Drop the targets of pins that are no longer known."""
        known_pins = self._pins.by_id
        self._announced = {
            key: announced for key, announced in self._announced.items() if key[0] in known_pins
        }
        self.announced_targets = {
            key: past for key, past in self.announced_targets.items() if key[0] in known_pins
        }
        for key in [key for key in self._target_lines if key[0] not in known_pins]:
            del self._target_lines[key]
            self._table_log.record_note(target_note_key(key), None)
        self.unknown_targets = {key for key in self.unknown_targets if key[0] in known_pins}

    def _find_target_lines(self, active: ActivePin, name: str) -> LineWeights:
        key = active.pin.id, name
        candidates = [self.find_past_table(active, name), self.announced_targets.get(key)]
        known = [past for past in candidates if past is not None]
        if known:
            return line_items(max(known, key=lambda past: past.version).items)
        self.unknown_targets.add(key)
        self._controller.log(
            "pin target not known: proxy held to its current table", pin=active.pin.id, proxy=name
        )
        history = self._store.histories.get(name)
        return line_items(history.items) if history else {}

    def _store_target(self, key: TargetKey, lines: LineWeights) -> None:
        self._target_lines[key] = lines
        self._table_log.record_note(target_note_key(key), msgspec.msgpack.encode(lines))
