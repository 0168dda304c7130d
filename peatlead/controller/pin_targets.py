"""The past tables that pins hold proxies to.

A target is looked up once for each pin and proxy and then stored, on disk too, so that a restart
does not change it. A proxy that came from another owner has its past there; so after each change of
the pins every controller announces the targets that it knows, and of several the one with the
highest version counts: its owner had the proxy last.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import zstandard

from ..tables.history import Store, UnknownVersionError
from ..tables.pins import ActivePin, Pins
from ..tables.table_log import TableLog
from ..tables.version import NONE, Version, parse_line_key, parse_version
from .published_items import LineWeights, TableItems, line_items

if TYPE_CHECKING:
    from .controller import Controller

ANNOUNCEMENTS_EACH_ROUND = 20  # targets sent to other controllers in one round of the timer
ANNOUNCEMENT_BYTES = 60_000  # of one packed announcement: a datagram
ANNOUNCEMENT_PLAIN_BYTES = 1 << 20  # of one announcement unpacked
OFFERED_LIMIT = 100_000  # targets kept of what other controllers announce
NOTE_PREFIX = "wish/"  # of the table log's keys: wish/PIN/PROXY

TargetKey = tuple[str, str]
"""Pin id and proxy name."""

AnnouncementBody = tuple[str, str, int, int, dict[str, int]]
"""The wire form: pin id, proxy, epoch and serial of the version, its lines."""


class PastTable(NamedTuple):
    """A version of the past and its items."""

    version: Version
    items: TableItems


def note_key(key: TargetKey) -> str:
    """Return the table log's key of a stored target."""
    pin_id, name = key
    return f"{NOTE_PREFIX}{pin_id}/{name}"


def read_announcement(payload: bytes) -> tuple[TargetKey, PastTable]:
    """Decode another controller's target. Raises ZstdError, MsgspecError or ValueError."""
    plain = zstandard.ZstdDecompressor().decompress(
        payload, max_output_size=ANNOUNCEMENT_PLAIN_BYTES
    )
    pin_id, name, epoch, serial, lines = msgspec.msgpack.decode(plain, type=AnnouncementBody)
    for line in lines:
        parse_line_key(line)
    return (pin_id, name), PastTable(Version(epoch, serial), lines)


def write_announcement(key: TargetKey, past: PastTable) -> bytes:
    """Encode a target for the other controllers."""
    body = (*key, *past.version, line_items(past.items))
    return zstandard.compress(msgspec.msgpack.encode(body))


class PinTargets:
    """Finds, stores and exchanges the tables that pins name."""

    def __init__(
        self,
        controller: "Controller",
        pins: Pins,
        store: Store,
        log: TableLog,
        wall: Callable[[], float],
    ) -> None:
        self._controller = controller
        self._pins = pins
        self._store = store
        self._log = log
        self._wall = wall
        self._lines: dict[TargetKey, LineWeights] = {}  # what each pinned proxy is held to
        self.unknown: set[TargetKey] = set()  # held as they stood: no past table was found
        self.offered: dict[TargetKey, PastTable] = {}  # announced by other controllers
        self._announced: dict[TargetKey, bool] = {}  # ours; False while still to be sent

    def recall(self) -> None:
        """Take up the targets of an earlier start. Raises MsgspecError or ValueError."""
        for key in [key for key in self._log.noted if key.startswith(NOTE_PREFIX)]:
            _, pin_id, name = key.split("/", 2)
            if pin_id in self._pins.held:
                lines = msgspec.msgpack.decode(self._log.noted[key], type=LineWeights)
                self._lines[pin_id, name] = lines
            else:
                self._log.note(key, None)

    def lines(self, active: ActivePin, name: str) -> LineWeights:
        """Return the lines that a pin holds a proxy to, looked up at the first call."""
        key = active.pin.id, name
        if key not in self._lines:
            self._keep(key, self._first_lines(active, name))
        return self._lines[key]

    def find(self, active: ActivePin, name: str) -> PastTable | None:
        """Return the table that a pin names for a proxy, or None where it is not known here."""
        history = self._store.histories.get(name)
        if history is None or history.last == NONE:
            return None
        pin = active.pin
        try:
            if pin.target == "held":
                return PastTable(history.last, dict(history.items))
            if pin.target == "version":
                version = parse_version(pin.to)
                return PastTable(version, history.at_version(version))
            age = self._controller.loop.time() - active.base
            return PastTable(*history.at_time(self._wall() - age - float(pin.to)))
        except UnknownVersionError:
            return None

    def announce_known(self) -> None:
        """Schedule the targets known here for sending, those of proxies not joined here first.

        The others are sent too: a controller that was frozen does not know yet which of its proxies
        have moved.
        """
        if not self._controller.gossip:
            return
        joined = {name for _, name, _ in self._controller.recipients.everyone()}
        for active in self._pins.standing().values():
            if active.pin.target != "back":
                continue
            for name in sorted(self._store.histories, key=joined.__contains__):
                self._announced.setdefault((active.pin.id, name), False)

    def send_announcements(self) -> None:
        """Send some of the scheduled targets to the other controllers."""
        gossip = self._controller.gossip
        if gossip is None:
            return
        due = [key for key, sent in self._announced.items() if not sent]
        for key in due[:ANNOUNCEMENTS_EACH_ROUND]:
            self._announced[key] = True
            pin_id, name = key
            active = self._pins.held.get(pin_id)
            past = self.find(active, name) if active else None
            if past is None:
                continue
            payload = write_announcement(key, past)
            if len(payload) < ANNOUNCEMENT_BYTES:
                gossip.broadcast_drain_request(payload)

    def receive(self, payload: bytes) -> None:
        """Take another controller's target; the highest version of a proxy's counts."""
        try:
            key, past = read_announcement(payload)
        except (zstandard.ZstdError, msgspec.MsgspecError, ValueError) as error:
            self._controller.log("wish refused", why=str(error))
            return
        pin_id, name = key
        if pin_id not in self._pins.held or len(self.offered) > OFFERED_LIMIT:
            return
        known = self.offered.get(key)
        if past.version <= (known.version if known else NONE):
            return
        self.offered[key] = past
        own = self.find(self._pins.held[pin_id], name)
        if key in self._lines and (own is None or own.version < past.version):
            self._keep(key, past.items)
            self.unknown.discard(key)

    def forget_ended(self) -> None:
        """Drop all that belongs to pins which are no longer remembered."""
        held = self._pins.held
        self._announced = {key: sent for key, sent in self._announced.items() if key[0] in held}
        self.offered = {key: past for key, past in self.offered.items() if key[0] in held}
        for key in [key for key in self._lines if key[0] not in held]:
            del self._lines[key]
            self._log.note(note_key(key), None)
        self.unknown = {key for key in self.unknown if key[0] in held}

    def _first_lines(self, active: ActivePin, name: str) -> LineWeights:
        key = active.pin.id, name
        candidates = [self.find(active, name), self.offered.get(key)]
        known = [past for past in candidates if past is not None]
        if known:
            return line_items(max(known, key=lambda past: past.version).items)
        self.unknown.add(key)
        self._controller.log(
            "pin's target is not known: held as it stands", pin=active.pin.id, proxy=name
        )
        history = self._store.histories.get(name)
        return line_items(history.items) if history else {}

    def _keep(self, key: TargetKey, lines: LineWeights) -> None:
        self._lines[key] = lines
        self._log.note(note_key(key), msgspec.msgpack.encode(lines))
