"""The pins that a controller knows, merged with those of other controllers. No I/O and no clock.

The revision of a pin only increases. If two controllers change a pin at the same time, both changes
have the same revision. All controllers then keep the state that has ended, or else the state with
the longer rollout. If two pins apply to a proxy, the pin that was made later takes effect.

The names of `pin` and `active_pin` that other packages use are re-exported here.
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

PINS_MAX = 32  # number of pins that have not ended
KNOWN_PINS_MAX = 4 * PINS_MAX  # number of pins, including ended ones
FORGET_AFTER = 600.0  # seconds that an ended pin is remembered after its staged end
# Seconds; replaces the remaining time 0 of ended pins in the validation of received pins.
REMAINING_MIN = 0.001
# Seconds between two updates of a pinned proxy, except for updates that remove an endpoint.
REPUBLISH_INTERVAL = 1.5


class Pins:
    """The pins known to one controller, by id.

    Ended pins are remembered for a while, so that an older state from another controller does not
    revive them. Pin ids contain `controller_name` and `start_suffix`. The suffix differs between
    starts of a controller: if the controller lost its pins, a new pin must not get the id of an
    ended pin that other controllers remember.
    """

    def __init__(self, controller_name: str, start_suffix: str = "") -> None:
        self.controller_name = controller_name
        self.start_suffix = start_suffix
        self.by_id: dict[str, ActivePin] = {}
        self._newest_sequence = 0

    def make(
        self,
        now: float,
        scope: str,
        scope_argument: str = "",
        target: str = PinTarget.HELD.value,
        target_argument: str = "",
        rollout_duration: float = 10.0,
        length: float = 3600.0,
        operator: str = "",
    ) -> Pin:
        """Make a pin that ends after `length` seconds. Raises PinError."""
        if len(self.unended()) >= PINS_MAX:
            raise PinError(
                f"expected at most {PINS_MAX} pins at a time: end one with `resume` first"
            )
        sequence = self._next_sequence()
        pin = Pin(
            id=f"{self.controller_name}-{sequence}{self.start_suffix}",
            sequence=sequence,
            revision=1,
            scope=scope,
            scope_argument=scope_argument,
            target=target,
            target_argument=target_argument,
            rollout_duration=rollout_duration,
            age=0.0,
            remaining=length,
            operator=operator,
        )
        validate_pin(pin)
        self.by_id[pin.id] = ActivePin(pin, now)
        return pin

    def _next_sequence(self) -> int:
        """Return a sequence number that is greater than those of all known pins."""
        known_sequences = [active.pin.sequence for active in self.by_id.values()]
        self._newest_sequence = 1 + max([self._newest_sequence, *known_sequences])
        return self._newest_sequence

    def resume(self, now: float, pin_id: str, end_duration: Optional[float] = None) -> Pin:
        """End a pin in stages over `end_duration` seconds; None means the duration of the rollout.

        Raises PinError if the pin is not known.
        """
        active = self.by_id.get(pin_id)
        if active is None:
            known_ids = ", ".join(sorted(self.unended())) or "(no pins)"
            raise PinError(f"expected the id of a pin, one of {known_ids}, got {pin_id!r}")
        if active.ended_at is None:
            active.end(now, end_duration)
        return active.as_pin(now)

    def merge(self, now: float, pins: Iterable[Pin]) -> bool:
        """Merge pins from another controller or from disk. Return whether anything changed."""
        changed = False
        for pin in pins:
            if not self._is_newer(pin):
                continue
            self.by_id[pin.id] = ActivePin(pin, now)
            changed = True
        return changed

    def expire(self, now: float) -> list[str]:
        """End expired pins and remove pins that ended long ago. Return the expired pins' ids."""
        expired = [active for active in self.unended().values() if now >= active.expires_at]
        for active in expired:
            active.end(now)
        self.by_id = {
            pin_id: active
            for pin_id, active in self.by_id.items()
            if active.ended_at is None
            or now - active.ended_at < FORGET_AFTER + active.pin.rollout_duration
        }
        return [active.pin.id for active in expired]

    def pin_for(self, now: float, name: str, zone: str) -> Optional[ActivePin]:
        """Return the pin that applies to a proxy now, or None."""
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
        """Return all pins in order of id, with their durations at `now`."""
        return [active.as_pin(now) for _, active in sorted(self.by_id.items())]

    def _is_newer(self, pin: Pin) -> bool:
        """Return whether a received pin is valid, and new or newer than the known state."""
        try:
            validate_pin(msgspec.structs.replace(pin, remaining=max(pin.remaining, REMAINING_MIN)))
        except PinError:
            return False
        known = self.by_id.get(pin.id)
        if known is None:
            return len(self.by_id) < KNOWN_PINS_MAX
        return _merge_order(pin) > _merge_order(known.pin)


def _merge_order(pin: Pin) -> tuple[int, bool, float]:
    """Return the sort key of a pin's state. Of two states of a pin, the greater is kept."""
    return pin.revision, pin.ended_ago is not None, pin.rollout_duration
