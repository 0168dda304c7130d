"""Messages from the controller: table updates, errors and answers to liveness checks.

A message is one JSON object per line. A push message that would exceed `MAX_LINE_BYTES` is split
into parts of one line each. All parts except the last contain `"continued": true`, and the receiver
applies all of them together.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, Optional

from msgspec import json

from ...interface import Admission, RetryPolicy

MAX_LINE_BYTES = 1 << 20  # in either direction
MAX_PARTS = 64  # parts of one push message
MAX_ENTRIES_PER_PART = 10_000  # an entry takes at most 100 bytes: a part fits in MAX_LINE_BYTES
MIN_WEIGHT = 1e-6  # a smaller weight would be rounded to 0, which removes the entry
WEIGHT_DECIMAL_PLACES = 6
MAX_ERROR_LENGTH = 200  # characters
# Code of each retry policy. A policy's plain string value can also be used as the key.
RETRY_POLICY_CODES: dict[str, int] = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.UNSTARTED: 1,
    RetryPolicy.ONCE: 2,
    RetryPolicy.TWICE: 3,
}
ALIVE = b'{"msg":"alive"}\n'
ENCODER = json.Encoder()

Part = dict[str, Any]  # one line of a push message; the keys are the names on the wire


class TableUpdate(NamedTuple):
    """A change of a proxy's table for some request classes.

    `request_classes` contains the names of the classes; None means all classes. With `whole`, the
    entries replace the table, otherwise they are merged into it. Each entry is an endpoint's name
    and weight; weight 0 removes the entry. `admission` is None if it does not change.
    """

    request_classes: Optional[tuple[str, ...]]
    whole: bool
    entries: Sequence[tuple[str, float]]
    admission: Optional[Admission]


def write_error(reason: str) -> bytes:
    """Encode the message that tells a peer why its connection is refused."""
    return ENCODER.encode({"msg": "error", "why": reason[:MAX_ERROR_LENGTH]}) + b"\n"


def write_push(
    updates: Sequence[TableUpdate],
    ejected: Sequence[str],
    restored: Sequence[str],
    nonce: Optional[int],
) -> bytes:
    """Encode one push message; the result is empty if there is nothing to send.

    `ejected` and `restored` contain endpoint names. The proxy acknowledges `nonce` after it has
    applied the message. Raises ValueError if the message needs more than `MAX_PARTS` parts.
    """
    parts: list[Part] = []
    for update in updates:
        parts.extend(split_update(update))
    add_message_fields(parts, ejected, restored, nonce)
    if len(parts) > MAX_PARTS:
        raise ValueError(f"expected at most {MAX_PARTS} parts in a message, got {len(parts)}")
    for part in parts[:-1]:
        part["continued"] = True
    return b"".join(ENCODER.encode(part) + b"\n" for part in parts)


def split_update(update: TableUpdate) -> list[Part]:
    """Return the parts of an update; `full` and the admission are only in the first part."""
    entry_count = len(update.entries)
    parts = []
    for start in range(0, entry_count or 1, MAX_ENTRIES_PER_PART):
        is_first = start == 0
        part: Part = {"msg": "push"}
        if update.request_classes is not None:
            part["routes"] = update.request_classes
        if update.whole and is_first:
            part["full"] = True
        if entry_count or update.whole:
            part["endpoints"] = [
                (name, weight and max(MIN_WEIGHT, round(weight, WEIGHT_DECIMAL_PLACES)))
                for name, weight in update.entries[start : start + MAX_ENTRIES_PER_PART]
            ]
        if update.admission is not None and is_first:
            fraction, retry_policy = update.admission
            part["admit"] = fraction
            part["policy"] = RETRY_POLICY_CODES[retry_policy]
        parts.append(part)
    return parts


def add_message_fields(
    parts: list[Part], ejected: Sequence[str], restored: Sequence[str], nonce: Optional[int]
) -> None:
    """Add the fields that concern the whole message to its last part, or append a part for them."""
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
