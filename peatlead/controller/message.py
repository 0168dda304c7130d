"""Messages to subscribers (DNS views and proxies) and the operations that they consist of.

A message is a map of operations. An operation sets the part of the subscriber's state that its key
names to the operation's value, so a later operation replaces an earlier operation with the same
key. The first element of a key is the kind of the operation:

    (ENTRY, table, endpoint): weight             set a table entry; weight 0 removes the entry
    (WITHDRAWN, endpoint): withdrawn             eject an endpoint from all tables, or restore it
    (ASSIGNMENT, request class): table           assign a table to a request class
    (ADMISSION, request class): interface.Admission
    (UNASSIGNED_TABLE, table): True              drop a table that is no longer assigned
    (PIN_CHECK, entry key): True                 check the entry against the pin in force

Keys are plain tuples of strings and integers, which are cheap to create: the restart of a fleet
creates hundreds of thousands of keys.
"""

from typing import Any, Final, Literal, Union

ENTRY: Final = "line"
WITHDRAWN: Final = "withdrawn"
ASSIGNMENT: Final = "bind"
ADMISSION: Final = "level"
UNASSIGNED_TABLE: Final = "left"
PIN_CHECK: Final = "look"

# The planner's number of a table, or ("held", class) for a table that a proxy held when it joined.
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
    """The queued operations of one subscriber, with their nonces and causes."""

    __slots__ = ("operations", "enqueued_at", "nonces", "causes")

    def __init__(self, now: float) -> None:
        self.operations: Operations = {}
        # When the first operation was queued, in seconds on the loop's clock.
        self.enqueued_at = now
        self.nonces: list[int] = []  # nonces to acknowledge once the message is applied
        self.causes: dict[str, None] = {}  # why the message is sent; used as an ordered set


def set_operation(operations: Operations, key: OperationKey, value: Any) -> None:
    """Set an operation and move it to the end: operations are applied in order."""
    operations.pop(key, None)
    operations[key] = value


def removed_endpoints(operations: Operations) -> dict[int, bool]:
    """Return the endpoints that these operations remove, as a dict used as an ordered set.

    Until the message is applied, requests may still be sent to these endpoints and fail.
    """
    removed: dict[int, bool] = {}
    for key, value in operations.items():
        if key[0] == ENTRY:
            if not value:
                removed[key[2]] = True
        elif key[0] == WITHDRAWN and value:
            removed[key[1]] = True
    return removed
