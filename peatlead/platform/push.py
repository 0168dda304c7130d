"""Composition of the push message that a batch sends to one proxy.

What a proxy ejects outlives its streams, and any controller's word may have ejected it. A new table
entry for such an endpoint would have no effect, so each stream keeps which endpoints were restored
on it, and the others are restored with the first entry that names them.
"""

from collections.abc import Iterable, Set
from typing import NamedTuple, Optional

from ..controller.message import ADMISSION, ASSIGNMENT, ENTRY, WITHDRAWN, Operations, TableId
from ..controller.publisher import Publisher
from .endpoint_tracker import EndpointTracker
from .messages import Admission, TableUpdate, write_push
from .sessions import Session


class Ejections(NamedTuple):
    """Names of endpoints that a proxy must eject from now on, and of those that it must restore."""

    ejected: list[str]
    restored: list[str]


class PushComposer:
    """Turns operations into messages; `class_names` are all request classes by number."""

    def __init__(self, endpoints: EndpointTracker, class_names: list[str]) -> None:
        self.endpoints = endpoints
        self.class_names = class_names

    def compose(
        self,
        publisher: Publisher,
        proxy: int,
        session: Session,
        operations: Operations,
        nonce: Optional[int],
    ) -> bytes:
        """Return the message's bytes, empty where it says nothing; records what it restores."""
        ejections = self.ejections(session, operations)
        updates = self.table_updates(publisher, proxy, operations)
        return write_push(updates, ejections.ejected, ejections.restored, nonce)

    def ejections(self, session: Session, operations: Operations) -> Ejections:
        """Return whom the proxy must eject and restore, and record it in its session."""
        result = Ejections([], [])
        for key, value in operations.items():
            if key[0] == WITHDRAWN:
                endpoint = key[1]
                if value:
                    result.ejected.append(self.endpoints.name_of(endpoint))
                    session.restored.discard(endpoint)
                elif endpoint not in session.restored:
                    result.restored.append(self.endpoints.name_of(endpoint))
                    session.restored.add(endpoint)
            elif key[0] == ENTRY and value:
                endpoint = key[2]
                if endpoint not in session.restored:
                    if endpoint in self.endpoints.possibly_ejected:
                        result.restored.append(self.endpoints.name_of(endpoint))
                    session.restored.add(endpoint)
        return result

    def table_updates(
        self, publisher: Publisher, proxy: int, operations: Operations
    ) -> list[TableUpdate]:
        """Return the updates of entries, then those of admissions.

        The tables that the proxy's request classes were assigned to in this batch are sent whole.
        """
        # Table of each request class.
        assigned: dict[int, int] = publisher.assigned_tables.get(proxy, {})
        whole = {table for key, table in operations.items() if key[0] == ASSIGNMENT}
        admissions = admissions_of(publisher, assigned, whole, operations)
        entries = self.entries_by_table(whole, operations)
        users: dict[int, list[int]] = {}  # request classes of each table
        for request_class, table in sorted(assigned.items()):
            users.setdefault(table, []).append(request_class)
        updates = [
            TableUpdate(self.names_of(users[table]), table in whole, table_entries, None)
            for table, table_entries in entries.items()
            if table in users
        ]
        for admission, request_classes in admissions.items():
            updates.append(TableUpdate(self.names_of(request_classes), False, [], admission))
        return updates

    def entries_by_table(
        self, whole: Set[int], operations: Operations
    ) -> dict[TableId, list[tuple[str, float]]]:
        """Return the entries to send, whole tables first; those need no removals."""
        entries: dict[TableId, list[tuple[str, float]]] = {table: [] for table in sorted(whole)}
        listed = self.endpoints.registry.entries
        for key, weight in operations.items():
            if key[0] == ENTRY and (weight or key[1] not in whole):
                _, table, endpoint = key
                entries.setdefault(table, []).append((listed[endpoint].name, weight))
        return entries

    def names_of(self, request_classes: Iterable[int]) -> Optional[tuple[str, ...]]:
        """Return the request classes' names, or None for all of them, which is shorter."""
        names = tuple(self.class_names[number] for number in request_classes)
        return None if len(names) == len(self.class_names) else names


def admissions_of(
    publisher: Publisher, assigned: dict[int, int], whole: Set[int], operations: Operations
) -> dict[Admission, list[int]]:
    """Return the admissions to send, each with its request classes.

    Those that a proxy forgets because its whole table is replaced are sent again.
    """
    by_class = {key[1]: value for key, value in operations.items() if key[0] == ADMISSION}
    for request_class, table in assigned.items():
        if table in whole and request_class in publisher.admissions:
            by_class[request_class] = publisher.admissions[request_class]
    by_admission: dict[Admission, list[int]] = {}
    for request_class, admission in sorted(by_class.items()):
        by_admission.setdefault(Admission(*admission), []).append(request_class)
    return by_admission
