"""Items of published tables and their keys.

The tables of a proxy are one map of items. Controllers and proxies use the same text keys, so that
their digests are comparable:

- `line/CLASS/ZONE/ADDRESS:PORT`: the weight of an endpoint for a request class, in thousandths;
- `level/CLASS`: the admitted fraction of a request class, in millionths;
- `retry/CLASS`: the retry policy of a request class.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, Optional, TypeVar, Union

from .errors import KeyFormatError


class TablePart(StrEnum):
    """A part of a proxy's tables: the first component of each key."""

    LINE = "line"
    LEVEL = "level"
    RETRY = "retry"


PARTS: tuple[str, ...] = tuple(part.value for part in TablePart)
WEIGHT_SCALE = 1000  # published weights are integers, in thousandths
MILLION = 1_000_000  # published admitted fractions are integers, in millionths
PORT_MAX = 65535
KEY_CHARACTERS_SHOWN_MAX = 200  # of a malformed key, in an error message

ItemValue = Union[int, str]
Items = dict[str, ItemValue]  # by key
ItemChanges = dict[str, Optional[ItemValue]]  # key -> new value, or None to remove the item
Value = TypeVar("Value")


class LineKey(NamedTuple):
    """The components of a line key."""

    request_class: str
    zone: str
    address: str
    port: int


def line_key(request_class: str, zone: str, address: str, port: int) -> str:
    """Return the key of an endpoint's weight for a request class."""
    return f"line/{request_class}/{zone}/{address}:{port}"


def parse_line_key(key: str) -> LineKey:
    """Parse a line key. Raises KeyFormatError."""
    part, _, rest = key.partition("/")
    request_class, _, rest = rest.partition("/")
    zone, _, endpoint = rest.rpartition("/")
    address, _, port = endpoint.rpartition(":")
    is_named = part == TablePart.LINE and request_class and address
    if not is_named or not port.isdecimal() or not 0 < int(port) <= PORT_MAX:
        raise KeyFormatError(
            f"expected line/CLASS/ZONE/ADDRESS:PORT, got {key[:KEY_CHARACTERS_SHOWN_MAX]!r}"
        )
    return LineKey(request_class, zone, address, int(port))


def part_of(key: str) -> str:
    """Return the first component of a key, which is a `TablePart`."""
    return key[: key.index("/")]


def quantize_weight(weight: float) -> int:
    """Return a weight in thousandths, as published.

    The result is at least 1, so that rounding never takes an endpoint out of a table.
    """
    return max(1, round(weight * WEIGHT_SCALE))


def changes(old: Mapping[str, Value], new: Mapping[str, Value]) -> dict[str, Optional[Value]]:
    """Return the changes from `old` to `new`: key -> new value, or None for a removed key."""
    difference: dict[str, Optional[Value]] = {key: None for key in old if key not in new}
    difference.update((key, value) for key, value in new.items() if old.get(key) != value)
    return difference
