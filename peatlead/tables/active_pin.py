"""A pin with its times on the clock of one controller. No I/O and no clock."""

from typing import Optional

import msgspec

from .pin import Pin, PinScope, rollout_position, share_fraction

ROLLOUT_COMPLETE = 2.0  # greater than every rollout position, which is at most 1


class ActivePin:
    """A pin known to this controller, ended or not, with its times on a monotonic clock.

    The times are in seconds. They are computed from the pin's age and remaining time when the pin
    is received, so that the clocks of different controllers are never compared.
    """

    __slots__ = ("pin", "created_at", "expires_at", "ended_at")

    def __init__(self, pin: Pin, now: float) -> None:
        self.pin = pin
        self.created_at = now - pin.age
        self.expires_at = now + pin.remaining
        self.ended_at = None if pin.ended_ago is None else now - pin.ended_ago

    @property
    def precedence(self) -> tuple[int, str]:
        """The precedence among pins that select a proxy: the pin with the greatest one applies."""
        return self.pin.sequence, self.pin.id

    def as_pin(self, now: float) -> Pin:
        """Return the pin for storage or gossip, with its durations at `now`."""
        return msgspec.structs.replace(
            self.pin,
            age=now - self.created_at,
            remaining=max(0.0, self.expires_at - now),
            ended_ago=None if self.ended_at is None else now - self.ended_at,
        )

    def end(self, now: float, end_duration: Optional[float] = None) -> None:
        """End the pin in stages over `end_duration` seconds.

        None means the duration of the rollout.
        """
        self.ended_at = now
        self.pin = msgspec.structs.replace(
            self.pin,
            revision=self.pin.revision + 1,
            rollout_duration=self.pin.rollout_duration if end_duration is None else end_duration,
        )

    def covers(self, now: float, name: str, zone: str) -> bool:
        """Return whether the pin applies now to the proxy with this name and zone."""
        if not self._selects(name, zone):
            return False
        position = rollout_position(self.pin, name)
        if self.pin.scope == PinScope.SHARE:
            share = share_fraction(self.pin)
            if position >= share:
                return False
            position /= share
        if self._rollout_progress(now - self.created_at) <= position:
            return False
        return self.ended_at is None or self._rollout_progress(now - self.ended_at) <= position

    def _selects(self, name: str, zone: str) -> bool:
        """Return whether the scope selects the proxy. The caller checks a PinScope.SHARE."""
        if self.pin.scope == PinScope.PROXY:
            return name == self.pin.scope_argument
        if self.pin.scope == PinScope.ZONE:
            return zone == self.pin.scope_argument
        return True

    def _rollout_progress(self, age: float) -> float:
        """Return the position that a rollout has reached after `age` seconds.

        The result is ROLLOUT_COMPLETE after the end of the rollout.
        """
        return (
            ROLLOUT_COMPLETE
            if self.pin.rollout_duration <= 0 or age >= self.pin.rollout_duration
            else age / self.pin.rollout_duration
        )

    @property
    def settles_at(self) -> float:
        """The time at which the rollout, or the staged end, is complete."""
        return (
            self.created_at if self.ended_at is None else self.ended_at
        ) + self.pin.rollout_duration
