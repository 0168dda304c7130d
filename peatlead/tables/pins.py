"""Who is held to a table of the past, since when and until when. Pure: no I/O, no clock.

A pin is an operator's order. It names proxies (one, a zone's, a share of all, all), what they are
held to (what they hold; what stood some seconds before it was made; one version), and for how
long. It reaches them by stages: each proxy has its place between 0 and 1 by a hash of pin and
name, and the pin has come as far as its age over `over` seconds; going back to the planner's
tables is staged alike. So the stage needs no memory: after a restart or a takeover the same
proxies are in.

Pins are told among stewards. Each has a revision that only rises; where two have the same one (two
operators at once, on two stewards), the one whose text is greater wins, everywhere the same. Of
two pins on one proxy the later made counts (by stamp, then by id), and the other is shown as
covered.

Age is counted by each steward's own clock from what it was told, and the time left likewise: no
clocks are compared.
"""

from typing import Optional

import msgspec
from blake3 import blake3

PINS_MOST = (
    32  # pins that stand; ended ones are remembered as long, so that old news cannot revive them
)
FORGET_AFTER = 600.0  # seconds
LOOK_GAP = 1.5  # seconds between two changes of one proxy for a pin's sake, where none of its hosts is shut
LENGTH_MOST = 7 * 86_400.0


class PinError(Exception):
    """What an operator asked for and cannot be had, in words."""


class Pin(msgspec.Struct, frozen=True):
    """`id`: maker and number; `stamp`: later made is greater; `rev`: of this pin; `whom`: "all", "zone", "share" or
    "proxy" with `which`; `target`: "held", "back" (seconds before it was made) or "version", with
    `to`; `age`, `left`: seconds, when it was written down; `over`: seconds from first to last
    proxy; `ended`: seconds since
    it ended, or None; `by`: who asked, for others to read."""

    id: str
    stamp: int
    rev: int
    whom: str
    which: str
    target: str
    to: str
    over: float
    age: float
    left: float
    ended: Optional[float] = None
    by: str = ""


def place(pin, name):
    """Where in a pin's stages a proxy comes: 0 to 1, the same everywhere."""
    return int.from_bytes(blake3(f"{pin.id}\0{name}".encode()).digest(6), "big") / (1 << 48)


def check(pin):
    """Raises PinError."""
    if pin.whom not in ("all", "zone", "share", "proxy"):
        raise PinError(f"expected all, a zone, a share or a proxy, got {pin.whom!r}")
    if pin.whom == "share" and not 0 < share_of(pin) <= 1:
        raise PinError(f"expected a share above 0 and up to 1, got {pin.which!r}")
    if pin.target not in ("held", "back", "version"):
        raise PinError(f"expected held, back or version, got {pin.target!r}")
    if pin.target == "version" and pin.whom != "proxy":
        raise PinError("expected one proxy: a version is one proxy's")
    if not 0 <= pin.over <= 3600 or not 0 < pin.left <= LENGTH_MOST:
        raise PinError(
            f"expected stages of up to an hour and an end within a week, got {pin.over} s and {pin.left} s"
        )


def share_of(pin):
    try:
        return float(pin.which)
    except ValueError:
        return 0.0


class ActivePin:
    """A pin as this steward has it; `base` is the moment that its age counts from."""

    __slots__ = ("pin", "base", "until", "ended_at")

    def __init__(self, pin, now):
        self.pin, self.base, self.until = pin, now - pin.age, now + pin.left
        self.ended_at = None if pin.ended is None else now - pin.ended

    def as_pin(self, now):
        """As it should be written down or told at `now`."""
        return msgspec.structs.replace(
            self.pin,
            age=now - self.base,
            left=max(0.0, self.until - now),
            ended=None if self.ended_at is None else now - self.ended_at,
        )

    def covers(self, now, name, zone):
        """Whether the pin holds this proxy now."""
        pin = self.pin
        if pin.whom == "proxy" and name != pin.which or pin.whom == "zone" and zone != pin.which:
            return False
        at = place(pin, name)
        if pin.whom == "share":
            share = share_of(pin)
            if at >= share:
                return False
            at /= share
        if self.come(now - self.base) <= at:
            return False
        return self.ended_at is None or self.come(now - self.ended_at) <= at

    def come(self, age):
        """How far a stage of that age has come: past 1 all are in."""
        return 2.0 if self.pin.over <= 0 or age >= self.pin.over else age / self.pin.over

    @property
    def settles_at(self):
        """When nothing of it moves any more."""
        return (self.base if self.ended_at is None else self.ended_at) + self.pin.over


class Pins:
    """`me`: this steward's name; `start`: a text that no other start of it has had, so that a pin of one that has
    forgotten its pins is not taken for one that ended (others remember those). `make`, `resume`
    and `hear` are what
    may happen; `of(now, name, zone)` is the Held that counts for a proxy, or None."""

    def __init__(self, me, start=""):
        self.me, self.start, self.held, self.number = me, start, {}, 0

    def make(self, now, whom, which="", target="held", to="", over=10.0, length=3600.0, by=""):
        """A new Pin. Raises PinError."""
        if sum(one.ended_at is None for one in self.held.values()) >= PINS_MOST:
            raise PinError(f"expected at most {PINS_MOST} pins at a time: resume one first")
        self.number = 1 + max([self.number, *(one.pin.stamp for one in self.held.values())])
        name = f"{self.me}-{self.number}{self.start}"
        pin = Pin(name, self.number, 1, whom, which, target, to, over, 0.0, length, None, by)
        check(pin)
        self.held[pin.id] = ActivePin(pin, now)
        return pin

    def resume(self, now, name, over=None):
        """Ends a pin. Raises PinError."""
        one = self.held.get(name)
        if one is None:
            raise PinError(
                f"expected one of {', '.join(sorted(self.standing())) or 'no pin at all'}, got {name!r}"
            )
        if one.ended_at is None:
            self.end(one, now, over)
        return one.as_pin(now)

    def end(self, one, now, over=None):
        one.ended_at = now
        one.pin = msgspec.structs.replace(
            one.pin, rev=one.pin.rev + 1, over=one.pin.over if over is None else over
        )

    def hear(self, now, pins):
        """What another steward, or our own disk, says. True where anything changed."""
        changed = False
        for pin in pins:
            try:
                check(msgspec.structs.replace(pin, left=max(pin.left, 0.001)))
            except PinError:
                continue
            mine = self.held.get(pin.id)
            if mine is None and len(self.held) >= 4 * PINS_MOST:
                continue
            if mine is None or self.order(pin) > self.order(mine.pin):
                self.held[pin.id] = ActivePin(pin, now)
                changed = True
        return changed

    @staticmethod
    def order(pin):
        return pin.rev, pin.ended is not None, pin.over

    def tick(self, now):
        """Ends what has run out, forgets what ended long ago. The ids that ended just now."""
        ended = [one for one in self.held.values() if one.ended_at is None and now >= one.until]
        for one in ended:
            self.end(one, now)
        self.held = {
            key: one
            for key, one in self.held.items()
            if one.ended_at is None or now - one.ended_at < FORGET_AFTER + one.pin.over
        }
        return [one.pin.id for one in ended]

    def of(self, now, name, zone):
        found = None
        for one in self.held.values():
            if (
                found is None or (one.pin.stamp, one.pin.id) > (found.pin.stamp, found.pin.id)
            ) and (one.covers(now, name, zone)):
                found = one
        return found

    def standing(self):
        return {key: one for key, one in self.held.items() if one.ended_at is None}

    def moving(self, now):
        """Whether any proxy may come under a pin, or leave one, by time alone."""
        return any(now <= one.settles_at for one in self.held.values())

    def told(self, now):
        """All pins, as they should be told now."""
        return [one.as_pin(now) for _, one in sorted(self.held.items())]


def read_pins(data):
    """[Pin] of bytes. Raises ValueError."""
    try:
        return msgspec.msgpack.decode(data, type=list[Pin])
    except msgspec.MsgspecError as problem:
        raise ValueError(f"expected pins: {problem}") from None


def write_pins(pins):
    return msgspec.msgpack.encode(pins)
