"""Items of published tables, and the keys that name them.

A proxy's tables are one map of items. Their keys are texts that controllers and proxies share, so
that a digest over them means the same everywhere:

- `line/CLASS/ZONE/ADDRESS:PORT`: an endpoint's weight for a request class, in thousandths;
- `level/CLASS`: the admitted fraction of a request class, in millionths;
- `retry/CLASS`: what may be retried of a request class.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, Optional, TypeVar, Union

from .errors import KeyFormatError


class TablePart(StrEnum):
    """The parts of a proxy's tables: the first component of each key."""

    LINE = "line"
    LEVEL = "level"
    RETRY = "retry"


PARTS: tuple[str, ...] = tuple(part.value for part in TablePart)
WEIGHT_SCALE = 1000  # published weights are whole thousandths
MILLION = 1_000_000  # published admitted fractions are whole millionths
PORT_MAX = 65535
KEY_SHOWN_MAX = 200  # characters of a malformed key that an error repeats

ItemValue = Union[int, str]
Items = dict[str, ItemValue]
ItemChanges = dict[str, Optional[ItemValue]]  # None: the item is removed
Value = TypeVar("Value")


class LineKey(NamedTuple):
    """The components of a line's key."""

    request_class: str
    zone: str
    address: str
    port: int


def line_key(request_class: str, zone: str, address: str, port: int) -> str:
    """Return the key of an endpoint's line."""
    return f"line/{request_class}/{zone}/{address}:{port}"


def parse_line_key(key: str) -> LineKey:
    """Parse a line's key. Raises KeyFormatError."""
    part, _, rest = key.partition("/")
    request_class, _, rest = rest.partition("/")
    zone, _, endpoint = rest.rpartition("/")
    address, _, port = endpoint.rpartition(":")
    named = part == TablePart.LINE and request_class and address
    if not named or not port.isdigit() or not 0 < int(port) <= PORT_MAX:
        raise KeyFormatError(f"expected line/KIND/ZONE/ADDRESS:PORT, got {key[:KEY_SHOWN_MAX]!r}")
    return LineKey(request_class, zone, address, int(port))


def part_of(key: str) -> str:
    """Return the part of the tables that a key belongs to."""
    return key[: key.index("/")]


def quantize_weight(weight: float) -> int:
    """Return a weight in whole thousandths, as published.

    It is at least 1: an endpoint in a table is never weightless.
    """
    return max(1, round(weight * WEIGHT_SCALE))


def changes(old: Mapping[str, Value], new: Mapping[str, Value]) -> dict[str, Optional[Value]]:
    """Return {key: new value, or None where removed} that leads from one map to another."""
    changed: dict[str, Optional[Value]] = {key: None for key in old if key not in new}
    changed.update((key, value) for key, value in new.items() if old.get(key) != value)
    return changed
