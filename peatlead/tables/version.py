"""Versions of published tables, and the stamps that go with deltas.

Keys, weights and digests live in `items` and `digest`; they are re-exported here.
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

VERSION_TEXT_MAX = 40  # characters: longer text is not converted to numbers
STAMP_SHOWN_MAX = 200  # characters of a malformed stamp that an error repeats
BASE_PREFIX = "base="
DIGEST_PREFIX = "digest="


class Version(NamedTuple):
    """An owner's epoch and the serial within it: ordered, and written `EPOCH.SERIAL`."""

    epoch: int
    serial: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.serial}"


NO_VERSION = Version(0, 0)  # before every published version
WHOLE_STATE = "none"  # a stamp's base where the delta carries the whole state


def parse_version(text: str) -> Version:
    """Parse a version; NO_VERSION where the text is none."""
    epoch, dot, serial = text.partition(".")
    if dot and epoch.isdigit() and serial.isdigit() and len(text) < VERSION_TEXT_MAX:
        return Version(int(epoch), int(serial))
    return NO_VERSION


class Stamp(NamedTuple):
    """What goes with a delta.

    `version` is the version it leads to, `base` the digest of the state it applies to
    (WHOLE_STATE: any, since the delta replaces it) and `digest` the digest of the state it results
    in.
    """

    version: Version
    base: str
    digest: str

    def __str__(self) -> str:
        return f"{self.version} {BASE_PREFIX}{self.base} {DIGEST_PREFIX}{self.digest}"


def parse_stamp(text: str) -> Stamp:
    """Parse a stamp. Raises StampFormatError with what was expected."""
    words = text.split(" ")
    version = parse_version(words[0])
    if (
        len(words) != len(Stamp._fields)
        or version == NO_VERSION
        or not words[1].startswith(BASE_PREFIX)
        or not words[2].startswith(DIGEST_PREFIX)
    ):
        expected = "expected VERSION base=DIGEST digest=DIGEST"
        raise StampFormatError(f"{expected}, got {text[:STAMP_SHOWN_MAX]!r}")
    return Stamp(version, words[1].removeprefix(BASE_PREFIX), words[2].removeprefix(DIGEST_PREFIX))
