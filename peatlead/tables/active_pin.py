"""A pin on a controller's own clock."""

from typing import Optional

import msgspec

from .pin import Pin, PinScope, rollout_position, share_of

EVERYONE = 2.0  # a rollout's extent that is past every position


class ActivePin:
    """A pin that this controller knows, with its moments on this controller's monotonic clock.

    Ages and remaining times are counted from when a pin was received: no clocks are compared.
    """

    __slots__ = ("pin", "created_at", "expires_at", "ended_at")

    def __init__(self, pin: Pin, now: float) -> None:
        self.pin = pin
        self.created_at = now - pin.age  # when it was made
        self.expires_at = now + pin.remaining
        self.ended_at = None if pin.ended_ago is None else now - pin.ended_ago

    @property
    def precedence(self) -> tuple[int, str]:
        """Of several pins on one proxy the one with the greatest precedence counts."""
        return self.pin.sequence, self.pin.id

    def as_pin(self, now: float) -> Pin:
        """Return the pin with its durations as of `now`, to be stored or sent."""
        return msgspec.structs.replace(
            self.pin,
            age=now - self.created_at,
            remaining=max(0.0, self.expires_at - now),
            ended_ago=None if self.ended_at is None else now - self.ended_at,
        )

    def end(self, now: float, over: Optional[float] = None) -> None:
        """End the pin, by stages over `over` seconds or as it was rolled out."""
        self.ended_at = now
        self.pin = msgspec.structs.replace(
            self.pin,
            revision=self.pin.revision + 1,
            over=self.pin.over if over is None else over,
        )

    def covers(self, now: float, name: str, zone: str) -> bool:
        """Return whether the pin holds a proxy now."""
        if not self._names(name, zone):
            return False
        position = rollout_position(self.pin, name)
        if self.pin.whom == PinScope.SHARE:
            share = share_of(self.pin)
            if position >= share:
                return False
            position /= share
        if self._extent(now - self.created_at) <= position:
            return False
        return self.ended_at is None or self._extent(now - self.ended_at) <= position

    def _names(self, name: str, zone: str) -> bool:
        if self.pin.whom == PinScope.PROXY:
            return name == self.pin.which
        if self.pin.whom == PinScope.ZONE:
            return zone == self.pin.which
        return True

    def _extent(self, age: float) -> float:
        """Return how far a rollout of that age has come; EVERYONE once it is complete."""
        return EVERYONE if self.pin.over <= 0 or age >= self.pin.over else age / self.pin.over

    @property
    def settles_at(self) -> float:
        """When the rollout, or its undoing, is complete."""
        return (self.created_at if self.ended_at is None else self.ended_at) + self.pin.over
