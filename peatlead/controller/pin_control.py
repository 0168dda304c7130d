"""Stores the pins on disk, exchanges them with other controllers, and ends them when they expire.

`pinned_tables` applies a pin to a proxy's tables, and `pin_targets` finds the past table that a pin
names.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from blake3 import blake3

from ..tables.pins import ActivePin, Pins, decode_pins, encode_pins
from ..tables.table_log import TableLog

if TYPE_CHECKING:
    from .controller import Controller

STORE_INTERVAL = 10.0  # seconds between two writes of all pins with their current ages
GOSSIP_INTERVAL = 2.0  # seconds between two announcements of all pins to other controllers
MAX_PINS_PER_DATAGRAM = 6
PINS_NOTE = "pins"  # the table log's key for the pins
NO_PINS = b"\x90"  # an empty list in MessagePack


class PinControl:
    """Holds the pins, stores them on disk and exchanges them with other controllers.

    `boot` is a byte string that identifies this start of the controller.
    """

    def __init__(self, controller: "Controller", table_log: TableLog, boot: bytes) -> None:
        self._controller = controller
        self._table_log = table_log
        in_fleet = controller.own_settings["peer"] is not None
        suffix = "-" + blake3(boot).hexdigest()[:4] if in_fleet else ""
        self.pins = Pins(controller.own_settings["name"], suffix)
        self._stored_at = 0.0  # seconds on the loop's clock
        self._announced_at = 0.0  # seconds on the loop's clock

    def restore(self, now: float, notes: Mapping[str, bytes]) -> None:
        """Load the pins that an earlier start has stored. Raises ValueError for malformed pins."""
        self.pins.merge(now, decode_pins(notes.get(PINS_NOTE, NO_PINS)))

    def log_active_pins(self, now: float) -> None:
        """Log each pin in force with its remaining seconds."""
        for active in self.pins.unended().values():
            remaining = round(active.expires_at - now, 1)
            self._controller.log("tables pinned", pin=active.pin.id, left=remaining)

    def expire_pins(self, now: float) -> None:
        """End the pins that have expired."""
        for pin_id in self.pins.expire(now):
            self._controller.log("pin expired", pin=pin_id)
            self.store_pins(now)

    def store_and_announce_when_due(self, now: float) -> None:
        """Store and announce the pins when their intervals have passed."""
        if self.pins.by_id and now - self._stored_at >= STORE_INTERVAL:
            self.store_pins(now)
        if self.pins.by_id and now - self._announced_at >= GOSSIP_INTERVAL:
            self.announce_pins(now)

    def store_pins(self, now: float) -> None:
        """Append the pins, with their current ages, to the table log."""
        self._stored_at = now
        self._table_log.record_note(PINS_NOTE, encode_pins(self.pins.snapshot(now)))

    def announce_pins(self, now: float) -> None:
        """Send all pins to the other controllers."""
        self._announced_at = now
        if not self._controller.gossip:
            return
        pins = self.pins.snapshot(now)
        for start in range(0, len(pins), MAX_PINS_PER_DATAGRAM):
            payload = encode_pins(pins[start : start + MAX_PINS_PER_DATAGRAM])
            self._controller.gossip.broadcast_pins(payload)

    def commit_change(self, now: float) -> None:
        """Store and announce an operator's change, before the operator receives an answer."""
        self.store_pins(now)
        self.announce_pins(now)
        self._table_log.flush(now)

    def merge_received_pins(self, now: float, payload: bytes) -> bool:
        """Merge another controller's pins. Return whether any pin changed. Raises ValueError."""
        if not self.pins.merge(now, decode_pins(payload)):
            return False
        self.store_pins(now)
        return True

    def active_pin(self, name: str, zone: str) -> ActivePin | None:
        """Return the pin that applies to a proxy or view now, or None."""
        if not self.pins.by_id:
            return None
        active: ActivePin | None = self.pins.pin_for(self._controller.loop.time(), name, zone)
        return active
