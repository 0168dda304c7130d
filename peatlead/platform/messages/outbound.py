"""Messages that the controller sends: table updates, errors, answers to liveness checks.

A push message is one JSON object a line. One that would be longer than a line may be is split into
parts, of which all but the last have `"continued": true`; the receiver applies them together.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, Optional

from msgspec import json

from ...interface import RetryPolicy

LINE_LIMIT = 1 << 20  # bytes of one line, in either direction
PARTS_LIMIT = 64  # parts that one push message may have
ENTRIES_PER_PART = 10_000  # of 100 bytes at most, so that a part stays within LINE_LIMIT
MINIMUM_WEIGHT = 1e-6  # a smaller weight would be rounded to 0, which removes the entry
WEIGHT_DIGITS = 6  # decimal places of a weight
ERROR_TEXT_LIMIT = 200  # characters
# Keyed by the values of RetryPolicy: a plain string finds its code too.
RETRY_POLICY_CODES: dict[str, int] = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.UNSTARTED: 1,
    RetryPolicy.ONCE: 2,
    RetryPolicy.TWICE: 3,
}
ALIVE = b'{"msg":"alive"}\n'
ENCODER = json.Encoder()

Part = dict[str, Any]  # one line of a push message, by the wire's names


class Admission(NamedTuple):
    """The fraction (0 to 1) of requests to admit, and the retry policy for them."""

    fraction: float
    retry_policy: str


class TableUpdate(NamedTuple):
    """One change of the tables of a proxy.

    `request_classes` are their names, None for all; `whole`: the entries replace the table;
    `entries` are (endpoint's name, weight), where weight 0 removes the entry; `admission` is None
    where it stays.
    """

    request_classes: Optional[tuple[str, ...]]
    whole: bool
    entries: Sequence[tuple[str, float]]
    admission: Optional[Admission]


def write_error(reason: str) -> bytes:
    """Return the message that tells a peer why its connection is refused."""
    return ENCODER.encode({"msg": "error", "why": reason[:ERROR_TEXT_LIMIT]}) + b"\n"


def write_push(
    updates: Sequence[TableUpdate],
    ejected: Sequence[str],
    restored: Sequence[str],
    nonce: Optional[int],
) -> bytes:
    """Return the bytes of one push message, empty where it says nothing.

    `ejected` and `restored` are endpoints' names; `nonce` is to be acknowledged. Raises ValueError
    for a message of too many parts.
    """
    parts: list[Part] = []
    for update in updates:
        parts.extend(parts_of(update))
    add_to_last_part(parts, ejected, restored, nonce)
    if len(parts) > PARTS_LIMIT:
        raise ValueError(f"expected at most {PARTS_LIMIT} parts of a message, made {len(parts)}")
    for part in parts[:-1]:
        part["continued"] = True
    return b"".join(ENCODER.encode(part) + b"\n" for part in parts)


def parts_of(update: TableUpdate) -> list[Part]:
    """Return the parts that carry an update: the first one says how the entries are meant."""
    entry_count = len(update.entries)
    parts = []
    for start in range(0, entry_count or 1, ENTRIES_PER_PART):
        is_first = start == 0
        part: Part = {"msg": "push"}
        if update.request_classes is not None:
            part["routes"] = update.request_classes
        if update.whole and is_first:
            part["full"] = True
        if entry_count or update.whole:
            part["endpoints"] = [
                (name, weight and max(MINIMUM_WEIGHT, round(weight, WEIGHT_DIGITS)))
                for name, weight in update.entries[start : start + ENTRIES_PER_PART]
            ]
        if update.admission is not None and is_first:
            fraction, retry_policy = update.admission
            part["admit"] = fraction
            part["policy"] = RETRY_POLICY_CODES[retry_policy]
        parts.append(part)
    return parts


def add_to_last_part(
    parts: list[Part], ejected: Sequence[str], restored: Sequence[str], nonce: Optional[int]
) -> None:
    """Add what concerns the whole message to its last part, or make a part of it."""
    fields: Part = {}
    if ejected:
        fields["eject"] = ejected
    if restored:
        fields["restore"] = restored
    if nonce is not None:
        fields["nonce_out"] = nonce
    if not fields:
        return
    if parts:
        parts[-1].update(fields)
    else:
        parts.append({"msg": "push", **fields})
