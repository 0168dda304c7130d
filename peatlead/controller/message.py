"""Messages to subscribers (DNS views and proxies) and the operations that they consist of.

A message is a map of operations. The key names what an operation sets, its first element being one
of the kinds below, and the value is what it is set to; so a later operation with the same key
replaces an earlier one:

    (ENTRY, table, endpoint): weight             an entry of a table; weight 0 removes it
    (WITHDRAWN, endpoint): withdrawn             eject an endpoint from every table, or restore it
    (ASSIGNMENT, request class): table           the table that routes a request class
    (ADMISSION, request class): (fraction, retry policy)
    (UNASSIGNED_TABLE, table): True              forget a table that routes nothing any more
    (PIN_CHECK, entry key): True                 compare what is held with what a pin demands

Keys are plain tuples of strings and integers: hundreds of thousands are built while a fleet
restarts.
"""

from typing import Any, Final, Literal, Union

ENTRY: Final = "line"
WITHDRAWN: Final = "withdrawn"
ASSIGNMENT: Final = "bind"
ADMISSION: Final = "level"
UNASSIGNED_TABLE: Final = "left"
PIN_CHECK: Final = "look"

# The planner's number of a table, or ("held", class) for entries that a proxy held when it joined.
TableId = Union[int, tuple[str, str]]

EntryKey = tuple[Literal["line"], TableId, int]
OperationKey = Union[
    EntryKey,
    tuple[Literal["withdrawn"], int],
    tuple[Literal["bind"], int],
    tuple[Literal["level"], int],
    tuple[Literal["left"], TableId],
    tuple[Literal["look"], str],
]
Operations = dict[OperationKey, Any]  # the value's type depends on the key, as listed above


class Message:
    """The operations that wait for one subscriber, with the nonces and causes that go with them."""

    __slots__ = ("operations", "enqueued_at", "nonces", "causes")

    def __init__(self, now: float) -> None:
        self.operations: Operations = {}
        # When the first operation was queued, in seconds on the loop's clock.
        self.enqueued_at = now
        self.nonces: list[int] = []  # nonces to acknowledge once the message is applied
        self.causes: dict[str, None] = {}  # why it was sent, in order, for logs and stored versions


def set_operation(ops: Operations, key: OperationKey, value: Any) -> None:
    """Set an operation and move it behind all others: operations are applied in order."""
    ops.pop(key, None)
    ops[key] = value


def removed_endpoints(ops: Operations) -> dict[int, bool]:
    """Return the endpoints that a message takes away, as the keys of a map (to keep the order).

    Until the message is applied, requests may still be sent to them and fail.
    """
    removed: dict[int, bool] = {}
    for key, value in ops.items():
        if key[0] == ENTRY:
            if not value:
                removed[key[2]] = True
        elif key[0] == WITHDRAWN and value:
            removed[key[1]] = True
    return removed
