"""Pins: orders of operators to serve past tables to some proxies. No I/O and no clock.

A pin selects proxies, the past state that they get, and a duration. A pin takes effect in a staged
rollout: the hash of the pin's id and a proxy's name gives the proxy a position from 0 to 1, and the
pin applies to the positions below its age divided by `rollout_duration`. The end of a pin is staged
in the same way. The rollout needs no stored state: after a restart or a takeover the same proxies
are pinned.

Pins are stored and gossiped as msgpack maps. `rename` maps fields to the names of that format.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Optional

import msgspec
from blake3 import blake3

from .errors import PinError, PinFormatError

ROLLOUT_MAX = 3600.0  # seconds from the first proxy to the last
DURATION_MAX = 7 * 86_400.0  # seconds until a pin ends
POSITION_BYTES = 6  # of the hash that gives a rollout position


class PinScope(StrEnum):
    """Which proxies a pin selects. The comments say what `Pin.scope_argument` contains."""

    ALL = "all"  # nothing
    ZONE = "zone"  # the zone's name
    SHARE = "share"  # a fraction of all proxies, above 0 and up to 1
    PROXY = "proxy"  # the proxy's name


class PinTarget(StrEnum):
    """Which state a pin gives the proxies. The comments say what `Pin.target_argument` contains."""

    HELD = "held"  # nothing; the pin keeps the state that the proxy has when the pin reaches it
    BACK = "back"  # seconds before the pin was made, at which the proxy had the state
    VERSION = "version"  # a version of the proxy's tables; only with PinScope.PROXY


class Pin(
    msgspec.Struct,
    frozen=True,
    rename={
        "sequence": "stamp",
        "revision": "rev",
        "scope": "whom",
        "scope_argument": "which",
        "target_argument": "to",
        "rollout_duration": "over",
        "remaining": "left",
        "ended_ago": "ended",
        "operator": "by",
    },
):
    """A pin as it is stored and gossiped. Durations are in seconds, at the time of encoding.

    `scope` and `target` are plain strings, so that a list with an unknown value can be decoded; the
    pin with the unknown value is then ignored.
    """

    id: str  # the creating controller's name and a number
    sequence: int  # greater than those of all pins that the creating controller knew
    revision: int  # increased by each change of this pin
    scope: str  # a PinScope
    scope_argument: str  # see PinScope
    target: str  # a PinTarget
    target_argument: str  # see PinTarget
    rollout_duration: float  # from the change of the first proxy to that of the last
    age: float  # since the pin was made
    remaining: float  # until the pin ends
    ended_ago: Optional[float] = None  # since the pin ended; None while it has not ended
    operator: str = ""  # name, for display


def rollout_position(pin: Pin, name: str) -> float:
    """Return a proxy's position in a pin's rollout, from 0 to 1, the same at all controllers."""
    digest = blake3(f"{pin.id}\0{name}".encode()).digest(POSITION_BYTES)
    return int.from_bytes(digest, "big") / (1 << 8 * POSITION_BYTES)


def share_fraction(pin: Pin) -> float:
    """Return the fraction of proxies that a PinScope.SHARE pin selects.

    The fraction is 0 if `scope_argument` is not a number.
    """
    try:
        return float(pin.scope_argument)
    except ValueError:
        return 0.0


def validate_pin(pin: Pin) -> None:
    """Raise PinError if a field is invalid or two fields contradict each other."""
    if pin.scope not in tuple(PinScope):
        raise PinError(f"expected all, a zone, a share or a proxy, got {pin.scope!r}")
    if pin.scope == PinScope.SHARE and not 0 < share_fraction(pin) <= 1:
        raise PinError(f"expected a share above 0 and up to 1, got {pin.scope_argument!r}")
    if pin.target not in tuple(PinTarget):
        raise PinError(f"expected held, back or version, got {pin.target!r}")
    if pin.target == PinTarget.VERSION and pin.scope != PinScope.PROXY:
        raise PinError("expected a pin of one proxy: a version belongs to one proxy")
    if not 0 <= pin.rollout_duration <= ROLLOUT_MAX or not 0 < pin.remaining <= DURATION_MAX:
        expected = "expected a rollout of up to an hour and a duration of up to a week"
        raise PinError(f"{expected}, got {pin.rollout_duration} s and {pin.remaining} s")


def decode_pins(data: bytes) -> list[Pin]:
    """Decode a list of pins. Raises PinFormatError."""
    try:
        return msgspec.msgpack.decode(data, type=list[Pin])
    except msgspec.MsgspecError as error:
        raise PinFormatError(f"expected a list of pins: {error}") from None


def encode_pins(pins: Sequence[Pin]) -> bytes:
    """Encode a list of pins."""
    return msgspec.msgpack.encode(pins)
