"""A pin: an operator's order that holds proxies to a table of the past. No I/O, no clock.

A pin names proxies, the state they are held to, and for how long. It takes effect in a staged
rollout: each proxy has a position between 0 and 1, a hash of the pin's id and the proxy's name,
and the pin has reached all positions below its age divided by `over`. Its end is staged alike. So
a rollout has no state of its own: after a restart or a takeover the same proxies are pinned.

Pins are stored and gossiped as msgpack maps; the field names of that format are kept by `rename`.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Optional

import msgspec
from blake3 import blake3

from .errors import PinError, PinFormatError

ROLLOUT_MAX = 3600.0  # seconds
LENGTH_MAX = 7 * 86_400.0  # seconds until a pin ends at the latest
POSITION_BYTES = 6  # of the hash that gives a rollout position


class PinScope(StrEnum):
    """Which proxies a pin names."""

    ALL = "all"
    ZONE = "zone"  # `which`: the zone's name
    SHARE = "share"  # `which`: a fraction of all proxies, above 0 and up to 1
    PROXY = "proxy"  # `which`: the proxy's name


class PinTarget(StrEnum):
    """What state proxies are held to."""

    HELD = "held"  # what they hold
    BACK = "back"  # `to`: what they held that number of seconds before the pin was made
    VERSION = "version"  # `to`: a version of one proxy


class Pin(
    msgspec.Struct,
    frozen=True,
    rename={"sequence": "stamp", "revision": "rev", "remaining": "left", "ended_ago": "ended"},
):
    """A pin as it is stored and gossiped. Durations are in seconds, as of the moment of encoding.

    Scope and target stay plain texts: a pin with an unknown one is skipped, not a reason to refuse
    a whole list.
    """

    id: str  # maker and number
    sequence: int  # greater than that of all pins its maker knew
    revision: int  # of this pin, increased by each change
    whom: str  # a PinScope
    which: str  # the scope's argument
    target: str  # a PinTarget
    to: str  # the target's argument
    over: float  # from the first to the last proxy
    age: float
    remaining: float
    ended_ago: Optional[float] = None  # None: it has not ended
    by: str = ""  # the operator, for people to read


def rollout_position(pin: Pin, name: str) -> float:
    """Return a proxy's position in a pin's rollout: 0 to 1, the same at every controller."""
    digest = blake3(f"{pin.id}\0{name}".encode()).digest(POSITION_BYTES)
    return int.from_bytes(digest, "big") / (1 << 8 * POSITION_BYTES)


def share_of(pin: Pin) -> float:
    """Return the fraction that a pin with PinScope.SHARE names; 0 where it is no number."""
    try:
        return float(pin.which)
    except ValueError:
        return 0.0


def validate_pin(pin: Pin) -> None:
    """Raise PinError where a pin's fields are out of range or contradict each other."""
    if pin.whom not in tuple(PinScope):
        raise PinError(f"expected all, a zone, a share or a proxy, got {pin.whom!r}")
    if pin.whom == PinScope.SHARE and not 0 < share_of(pin) <= 1:
        raise PinError(f"expected a share above 0 and up to 1, got {pin.which!r}")
    if pin.target not in tuple(PinTarget):
        raise PinError(f"expected held, back or version, got {pin.target!r}")
    if pin.target == PinTarget.VERSION and pin.whom != PinScope.PROXY:
        raise PinError("expected one proxy: a version is one proxy's")
    if not 0 <= pin.over <= ROLLOUT_MAX or not 0 < pin.remaining <= LENGTH_MAX:
        expected = "expected stages of up to an hour and an end within a week"
        raise PinError(f"{expected}, got {pin.over} s and {pin.remaining} s")


def decode_pins(data: bytes) -> list[Pin]:
    """Decode a list of pins. Raises PinFormatError."""
    try:
        return msgspec.msgpack.decode(data, type=list[Pin])
    except msgspec.MsgspecError as error:
        raise PinFormatError(f"expected pins: {error}") from None


def encode_pins(pins: Sequence[Pin]) -> bytes:
    """Encode a list of pins."""
    return msgspec.msgpack.encode(pins)
