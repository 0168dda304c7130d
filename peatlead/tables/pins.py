"""The pins that one controller knows, merged with what other controllers send. No I/O, no clock.

Each pin has a revision that only increases. Where two revisions are equal (two operators changed
it at once, at two controllers) the one that has ended, or whose rollout is longer, wins at every
controller. Of two pins on one proxy the one made later counts.

A pin and its encoding live in `pin` and `active_pin`; they are re-exported here.
"""

from collections.abc import Iterable
from typing import Optional

import msgspec

from .active_pin import ActivePin
from .errors import PinError
from .pin import Pin, PinScope, PinTarget, decode_pins, encode_pins, rollout_position, validate_pin

__all__ = [
    "REPUBLISH_INTERVAL",
    "ActivePin",
    "Pin",
    "PinError",
    "PinScope",
    "PinTarget",
    "Pins",
    "validate_pin",
    "decode_pins",
    "rollout_position",
    "encode_pins",
]

PINS_MAX = 32  # pins that have not ended
KNOWN_PINS_MAX = 4 * PINS_MAX  # ended ones too: they are remembered, so that none is revived
FORGET_AFTER = 600.0  # seconds that an ended pin is remembered after its rollout
REMAINING_MIN = 0.001  # seconds: an ended pin's remaining time of 0 is valid
REPUBLISH_INTERVAL = (
    1.5  # seconds between two updates of a pinned proxy, unless an endpoint must be removed
)


class Pins:
    """One controller's pins by id.

    `me` is the controller's name. `start` differs between its starts, so that a new pin of a
    controller that lost its pins is not taken for an ended one that other controllers still
    remember.
    """

    def __init__(self, me: str, start: str = "") -> None:
        self.me = me
        self.start = start
        self.by_id: dict[str, ActivePin] = {}
        self._newest_sequence = 0

    def make(
        self,
        now: float,
        whom: str,
        which: str = "",
        target: str = PinTarget.HELD.value,
        to: str = "",
        over: float = 10.0,
        length: float = 3600.0,
        by: str = "",
    ) -> Pin:
        """Make a pin that ends after `length` seconds. Raises PinError."""
        if len(self.unended()) >= PINS_MAX:
            raise PinError(f"expected at most {PINS_MAX} pins at a time: resume one first")
        sequence = self._next_sequence()
        pin = Pin(
            id=f"{self.me}-{sequence}{self.start}",
            sequence=sequence,
            revision=1,
            whom=whom,
            which=which,
            target=target,
            to=to,
            over=over,
            age=0.0,
            remaining=length,
            by=by,
        )
        validate_pin(pin)
        self.by_id[pin.id] = ActivePin(pin, now)
        return pin

    def _next_sequence(self) -> int:
        known = [active.pin.sequence for active in self.by_id.values()]
        self._newest_sequence = 1 + max([self._newest_sequence, *known])
        return self._newest_sequence

    def resume(self, now: float, pin_id: str, over: Optional[float] = None) -> Pin:
        """End a pin, by stages over `over` seconds or as it was rolled out. Raises PinError."""
        active = self.by_id.get(pin_id)
        if active is None:
            known = ", ".join(sorted(self.unended())) or "no pin at all"
            raise PinError(f"expected one of {known}, got {pin_id!r}")
        if active.ended_at is None:
            active.end(now, over)
        return active.as_pin(now)

    def merge(self, now: float, pins: Iterable[Pin]) -> bool:
        """Merge pins from another controller or from disk; return whether anything changed."""
        changed = False
        for pin in pins:
            if not self._is_newer(pin):
                continue
            self.by_id[pin.id] = ActivePin(pin, now)
            changed = True
        return changed

    def expire(self, now: float) -> list[str]:
        """End pins whose time is over and forget old ones; return the ids of the former."""
        expired = [active for active in self.unended().values() if now >= active.expires_at]
        for active in expired:
            active.end(now)
        self.by_id = {
            pin_id: active
            for pin_id, active in self.by_id.items()
            if active.ended_at is None or now - active.ended_at < FORGET_AFTER + active.pin.over
        }
        return [active.pin.id for active in expired]

    def pin_for(self, now: float, name: str, zone: str) -> Optional[ActivePin]:
        """Return the pin that counts for a proxy now, if any."""
        chosen: Optional[ActivePin] = None
        for active in self.by_id.values():
            if (chosen is None or active.precedence > chosen.precedence) and active.covers(
                now, name, zone
            ):
                chosen = active
        return chosen

    def unended(self) -> dict[str, ActivePin]:
        """Return the pins that have not ended, by id."""
        return {pin_id: active for pin_id, active in self.by_id.items() if active.ended_at is None}

    def snapshot(self, now: float) -> list[Pin]:
        """Return all pins in order of id, as they are to be stored or sent now."""
        return [active.as_pin(now) for _, active in sorted(self.by_id.items())]

    def _is_newer(self, pin: Pin) -> bool:
        """Return whether a received pin is valid and replaces, or adds to, what is known."""
        try:
            validate_pin(msgspec.structs.replace(pin, remaining=max(pin.remaining, REMAINING_MIN)))
        except PinError:
            return False
        known = self.by_id.get(pin.id)
        if known is None:
            return len(self.by_id) < KNOWN_PINS_MAX
        return _merge_order(pin) > _merge_order(known.pin)


def _merge_order(pin: Pin) -> tuple[int, bool, float]:
    """Of two states of one pin the greater wins."""
    return pin.revision, pin.ended_ago is not None, pin.over
