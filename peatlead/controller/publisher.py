"""Translates the planner's commands into the operations that each subscriber has to be sent."""

from collections.abc import Iterable
from typing import NamedTuple

from .. import interface
from .message import (
    ADMISSION,
    ASSIGNMENT,
    ENTRY,
    UNASSIGNED_TABLE,
    WITHDRAWN,
    Operations,
    set_operation,
)

Messages = dict[int, Operations]  # by subscriber


class RoutedCommands(NamedTuple):
    """The commands of one batch, sorted by who has to act on them."""

    messages: Messages
    nonces: dict[int, list[int]]  # to be acknowledged, by subscriber
    others: list[interface.Command]  # for the controller itself


class Publisher:
    """Keeps all tables as commanded and which subscriber uses which.

    Subscribers are DNS views and proxies, by the numbers that the planner knows them by. Those that
    enforce admission themselves are sent admitted fractions and lose endpoints by table entries;
    for the others (DNS views) the endpoints enforce admission, and every withdrawal is sent.
    """

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}  # weights of endpoints, by table
        self.subscribers: dict[int, set[int]] = {}  # subscribers of each table
        # Table of each request class, by subscriber.
        self.assigned_tables: dict[int, dict[int, int]] = {}
        self.joined: set[int] = set()
        self.unassigned: set[int] = set()  # joined, and on no table of ours yet
        self.enforcing: set[int] = set()  # joined, and enforce admission themselves
        # Weight of each endpoint in each table that names it.
        self.weights_of_endpoint: dict[int, dict[int, float]] = {}
        self.change_count = 0  # changes of table entries so far
        self.notified: dict[
            int, set[int]
        ] = {}  # ejected endpoint -> subscribers that were notified
        self.ejected: dict[int, set[int]] = {}  # subscriber -> endpoints ejected since it joined
        # (admitted fraction, retry policy), by request class.
        self.admissions: dict[int, tuple[float, str]] = {}

    def join(self, subscriber: int, enforces_admission: bool = False) -> None:
        """Add a subscriber; `levelled` where it enforces admission itself."""
        self.joined.add(subscriber)
        self.unassigned.add(subscriber)
        self.ejected[subscriber] = set()
        if enforces_admission:
            self.enforcing.add(subscriber)

    def leave(self, subscriber: int) -> None:
        """Remove a subscriber; one that has not joined is ignored."""
        self.joined.discard(subscriber)
        self.enforcing.discard(subscriber)
        self.unassigned.discard(subscriber)
        self.ejected.pop(subscriber, None)
        for table in self.assigned_tables.pop(subscriber, {}).values():
            self.subscribers[table].discard(subscriber)

    def forget(self, endpoint: int) -> None:
        """Drop what is kept about an endpoint that is gone and in no table."""
        self.weights_of_endpoint.pop(endpoint, None)
        for subscriber in self.notified.pop(endpoint, ()):
            self.ejected.get(subscriber, set()).discard(endpoint)

    def route(self, commands: Iterable[interface.Command]) -> RoutedCommands:
        """Route a batch's commands, and update the tables by them."""
        routed = RoutedCommands({}, {}, [])
        messages = routed.messages
        for command in commands:
            if isinstance(command, interface.SetEntry):
                self.set_entry(messages, command.table, command.endpoint, command.weight)
            elif isinstance(command, interface.ClearTable):
                for endpoint in list(self.tables.get(command.table, ())):
                    self.set_entry(messages, command.table, endpoint, 0.0)
            elif isinstance(command, interface.AssignTable):
                self.assign(messages, command)
            elif isinstance(command, interface.WithdrawEndpoint):
                for subscriber in self.affected_by(command):
                    messages.setdefault(subscriber, {})[WITHDRAWN, command.endpoint] = (
                        command.withdrawn
                    )
            elif isinstance(command, interface.RequestAcknowledgement):
                self.request_acknowledgement(routed, command)
            else:
                if isinstance(command, interface.SetAdmission):
                    self.set_admission(messages, command)
                routed.others.append(command)
        return routed

    def request_acknowledgement(
        self, routed: RoutedCommands, command: interface.RequestAcknowledgement
    ) -> None:
        """Add a nonce to the messages of the batch so far, or to one for each subscriber."""
        for subscriber in sorted(self.joined if command.all_proxies else routed.messages):
            routed.messages.setdefault(subscriber, {})
            routed.nonces.setdefault(subscriber, []).append(command.nonce)

    def affected_by(self, command: interface.WithdrawEndpoint) -> set[int]:
        """Return the subscribers that have to be sent a withdrawal or a restoration.

        A withdrawal goes to subscribers that don't enforce admission, and to those on no table of
        ours that the command names; one on our tables loses the endpoint's entry instead, and a
        second operation would only fill the channel. A restoration goes to those that were sent the
        withdrawal. Sent to all of 1,000 proxies, the loss of a zone was 100,000 operations, and a
        release of 300 endpoints 200,000.
        """
        endpoint = command.endpoint
        if not command.withdrawn:
            restored = self.notified.pop(endpoint, set()) & self.joined
            for subscriber in restored:
                self.ejected[subscriber].discard(endpoint)
            return restored
        notify = command.notify
        named = self.unassigned if notify is None else self.unassigned.intersection(notify)
        notified = named | (self.joined - self.enforcing)
        self.notified.setdefault(endpoint, set()).update(notified)
        unaware = {
            subscriber
            for subscriber in notified & self.joined
            if endpoint not in self.ejected[subscriber]
        }
        for subscriber in unaware:
            self.ejected[subscriber].add(endpoint)
        return unaware

    def set_admission(self, messages: Messages, command: interface.SetAdmission) -> None:
        """Set the admitted fraction and retry policy of request classes."""
        admission = (command.fraction, command.retry_policy)
        for request_class in command.request_classes:
            self.admissions[request_class] = admission
            for subscriber in self.enforcing:
                set_operation(
                    messages.setdefault(subscriber, {}), (ADMISSION, request_class), admission
                )

    def set_entry(self, messages: Messages, table: int, endpoint: int, weight: float) -> None:
        """Set the weight of an endpoint for all subscribers of a table; 0 removes the entry."""
        entries = self.tables.setdefault(table, {})
        tables = self.weights_of_endpoint.setdefault(endpoint, {})
        entries.pop(endpoint, None)
        tables.pop(table, None)
        self.change_count += 1
        if weight:
            entries[endpoint] = weight
            tables[table] = weight
        for subscriber in self.subscribers.get(table, ()):
            set_operation(messages.setdefault(subscriber, {}), (ENTRY, table, endpoint), weight)

    def assign(self, messages: Messages, command: interface.AssignTable) -> None:
        """Route request classes of a proxy by a table, and send it the whole table.

        A table that routes none of its classes any more is dropped there, or outdated entries would
        be in force when the proxy is assigned to it again.
        """
        proxy, table = command.proxy, command.table
        ops = messages.setdefault(proxy, {})
        self.unassigned.discard(proxy)
        assigned = self.assigned_tables.setdefault(proxy, {})
        for request_class in command.request_classes:
            previous = assigned.get(request_class)
            assigned[request_class] = table
            set_operation(ops, (ASSIGNMENT, request_class), table)
            if previous is not None and previous not in assigned.values():
                self.subscribers[previous].discard(proxy)
                set_operation(ops, (UNASSIGNED_TABLE, previous), True)
        self.subscribers.setdefault(table, set()).add(proxy)
        for endpoint, weight in self.tables.get(table, {}).items():
            set_operation(ops, (ENTRY, table, endpoint), weight)
