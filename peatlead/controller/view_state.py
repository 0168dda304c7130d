"""The state of one subscriber, rebuilt from the messages that were sent to it."""

from ..interface import Admission
from .message import ADMISSION, ASSIGNMENT, ENTRY, UNASSIGNED_TABLE, WITHDRAWN, Operations, TableId


class ViewState:
    """The tables and admissions of a DNS view or proxy. Messages are applied in sending order."""

    __slots__ = ("tables", "assigned_tables", "withdrawn", "admissions")

    def __init__(self) -> None:
        self.tables: dict[TableId, dict[int, float]] = {}  # weights of endpoints, by table
        self.assigned_tables: dict[int, TableId] = {}  # by request class
        self.withdrawn: set[int] = set()  # ejected endpoints; they override the tables
        self.admissions: dict[int, Admission] = {}  # by request class

    def apply(self, operations: Operations) -> None:
        """Apply the operations of one message."""
        for key, value in operations.items():
            if key[0] == ENTRY:
                entries = self.tables.setdefault(key[1], {})
                entries.pop(key[2], None)
                if value:
                    entries[key[2]] = value
            elif key[0] == ASSIGNMENT:
                self.assigned_tables[key[1]] = value
            elif key[0] == UNASSIGNED_TABLE:
                self.tables.pop(key[1], None)
            elif key[0] == ADMISSION:
                self.admissions[key[1]] = value
            elif key[0] == WITHDRAWN and value:
                self.withdrawn.add(key[1])
            elif key[0] == WITHDRAWN:
                self.withdrawn.discard(key[1])
            # PIN_CHECK changes no state: it only causes the entry to be compared with the pin.

    def weights(self, request_class: int) -> dict[int, float]:
        """Return the weights of endpoints for a request class, without ejected endpoints."""
        table = self.assigned_tables.get(request_class)
        entries = {} if table is None else self.tables.get(table, {})
        return {
            endpoint: weight
            for endpoint, weight in entries.items()
            if endpoint not in self.withdrawn
        }
