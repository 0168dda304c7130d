"""Composes the push message that a batch sends to one proxy."""

from collections.abc import Iterable, Set
from typing import NamedTuple, Optional

from ..controller.message import ADMISSION, ASSIGNMENT, ENTRY, WITHDRAWN, Operations, TableId
from ..controller.publisher import Publisher
from ..interface import Admission
from .endpoint_tracker import EndpointTracker
from .messages import TableUpdate, write_push


class EjectionChanges(NamedTuple):
    """Names of the endpoints that a proxy must eject, and of those that the proxy must restore."""

    ejected_names: list[str]
    restored_names: list[str]


class PushComposer:
    """Converts operations to messages; `class_names` is indexed by request class number."""

    def __init__(self, endpoint_tracker: EndpointTracker, class_names: list[str]) -> None:
        self.endpoint_tracker = endpoint_tracker
        self.class_names = class_names

    def compose(
        self,
        publisher: Publisher,
        proxy: int,
        operations: Operations,
        nonce: Optional[int],
    ) -> bytes:
        """Return the encoded message, empty if there is nothing to send."""
        changes = self.ejection_changes(operations)
        updates = self.table_updates(publisher, proxy, operations)
        return write_push(updates, changes.ejected_names, changes.restored_names, nonce)

    def ejection_changes(self, operations: Operations) -> EjectionChanges:
        """Return the endpoints to eject and to restore."""
        changes = EjectionChanges([], [])
        for key, value in operations.items():
            if key[0] == WITHDRAWN:
                names = changes.ejected_names if value else changes.restored_names
                names.append(self.endpoint_tracker.endpoint_name(key[1]))
        return changes

    def table_updates(
        self, publisher: Publisher, proxy: int, operations: Operations
    ) -> list[TableUpdate]:
        """Return the updates of tables, followed by the updates of admissions.

        A table is sent whole if a request class was assigned to it in this batch.
        """
        table_by_class: dict[int, int] = publisher.assigned_tables.get(proxy, {})
        whole_tables = {table for key, table in operations.items() if key[0] == ASSIGNMENT}
        admissions = classes_by_admission(publisher, proxy, whole_tables, operations)
        entries = self.entries_by_table(whole_tables, operations)
        classes_by_table: dict[int, list[int]] = {}
        for request_class, table in sorted(table_by_class.items()):
            classes_by_table.setdefault(table, []).append(request_class)
        updates = [
            TableUpdate(
                self.names_unless_all(classes_by_table[table]),
                table in whole_tables,
                table_entries,
                None,
            )
            for table, table_entries in entries.items()
            if table in classes_by_table
        ]
        for admission, request_classes in admissions.items():
            updates.append(
                TableUpdate(self.names_unless_all(request_classes), False, [], admission)
            )
        return updates

    def entries_by_table(
        self, whole_tables: Set[int], operations: Operations
    ) -> dict[TableId, list[tuple[str, float]]]:
        """Return the entries to send, whole tables first; a whole table omits removals."""
        entries: dict[TableId, list[tuple[str, float]]] = {
            table: [] for table in sorted(whole_tables)
        }
        endpoint_entries = self.endpoint_tracker.registry.entries
        for key, weight in operations.items():
            if key[0] == ENTRY and (weight or key[1] not in whole_tables):
                _, table, endpoint = key
                entries.setdefault(table, []).append((endpoint_entries[endpoint].name, weight))
        return entries

    def names_unless_all(self, request_classes: Iterable[int]) -> Optional[tuple[str, ...]]:
        """Return the names of the request classes, or None if they are all classes."""
        names = tuple(self.class_names[number] for number in request_classes)
        return None if len(names) == len(self.class_names) else names


def classes_by_admission(
    publisher: Publisher,
    proxy: int,
    whole_tables: Set[int],
    operations: Operations,
) -> dict[Admission, list[int]]:
    """Return the admissions to send, each with its request classes.

    A proxy discards the admission of a request class when the whole table of the class is replaced;
    such admissions are sent again.
    """
    admission_by_class = {key[1]: value for key, value in operations.items() if key[0] == ADMISSION}
    for request_class, table in publisher.assigned_tables.get(proxy, {}).items():
        admission = publisher.admission(proxy, request_class)
        if table in whole_tables and admission is not None:
            admission_by_class[request_class] = admission
    classes_of_admission: dict[Admission, list[int]] = {}
    for request_class, admission in sorted(admission_by_class.items()):
        classes_of_admission.setdefault(admission, []).append(request_class)
    return classes_of_admission
