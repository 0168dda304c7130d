"""Versions of published tables, and the stamps of deltas.

The names of `items` and `digest` that other packages use are re-exported here.
"""

from typing import NamedTuple

from .digest import Digest, HashCache
from .errors import StampFormatError
from .items import (
    MILLION,
    PARTS,
    WEIGHT_SCALE,
    changes,
    line_key,
    parse_line_key,
    part_of,
    quantize_weight,
)

__all__ = [
    "MILLION",
    "NO_VERSION",
    "PARTS",
    "WEIGHT_SCALE",
    "WHOLE_STATE",
    "Digest",
    "HashCache",
    "Stamp",
    "Version",
    "changes",
    "line_key",
    "part_of",
    "parse_line_key",
    "parse_stamp",
    "parse_version",
    "quantize_weight",
]

VERSION_CHARACTERS_MAX = 40  # longer text is not parsed
STAMP_CHARACTERS_SHOWN_MAX = 200  # of a malformed stamp, in an error message
BASE_PREFIX = "base="
DIGEST_PREFIX = "digest="


class Version(NamedTuple):
    """The owner's epoch and the serial number within the epoch. `str()` returns `EPOCH.SERIAL`."""

    epoch: int
    serial: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.serial}"


NO_VERSION = Version(0, 0)  # older than every published version
WHOLE_STATE = "none"  # `Stamp.base` of a delta that replaces the whole state


def parse_version(text: str) -> Version:
    """Parse a version. Return NO_VERSION if the text is not a version."""
    epoch, dot, serial = text.partition(".")
    if dot and epoch.isdecimal() and serial.isdecimal() and len(text) < VERSION_CHARACTERS_MAX:
        return Version(int(epoch), int(serial))
    return NO_VERSION


class Stamp(NamedTuple):
    """The version and digests of a delta.

    `version` is the version of the resulting state and `digest` its digest. `base` is the digest of
    the state that the delta applies to, or WHOLE_STATE if the delta replaces any state.
    """

    version: Version
    base: str
    digest: str

    def __str__(self) -> str:
        return f"{self.version} {BASE_PREFIX}{self.base} {DIGEST_PREFIX}{self.digest}"


def parse_stamp(text: str) -> Stamp:
    """Parse a stamp. Raises StampFormatError."""
    words = text.split(" ")
    version = parse_version(words[0])
    if (
        len(words) != len(Stamp._fields)
        or version == NO_VERSION
        or not words[1].startswith(BASE_PREFIX)
        or not words[2].startswith(DIGEST_PREFIX)
    ):
        expected = "expected VERSION base=DIGEST digest=DIGEST"
        raise StampFormatError(f"{expected}, got {text[:STAMP_CHARACTERS_SHOWN_MAX]!r}")
    return Stamp(version, words[1].removeprefix(BASE_PREFIX), words[2].removeprefix(DIGEST_PREFIX))
