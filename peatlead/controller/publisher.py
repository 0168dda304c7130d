"""Translates the planner's commands into messages for the subscribers."""

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
    """The result of routing one batch of commands."""

    messages: Messages
    nonces: dict[int, list[int]]  # nonces to acknowledge, by subscriber
    others: list[interface.Command]  # commands for the controller itself


class Publisher:
    """Holds all tables as the planner commanded them, and the tables assigned to each subscriber.

    Subscribers are DNS views and proxies, identified by the planner's numbers. Proxies enforce
    admission themselves: they receive admitted fractions, and they lose an endpoint when its table
    entry is removed. For DNS views the endpoints enforce admission; views receive every withdrawal.
    """

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}  # weights of endpoints, by table
        self.subscribers: dict[int, set[int]] = {}  # by table
        # Table of each request class, by subscriber.
        self.assigned_tables: dict[int, dict[int, int]] = {}
        self.joined: set[int] = set()
        self.unassigned: set[int] = set()  # joined, without a table from this controller
        self.enforcing: set[int] = set()  # joined, and enforcing admission themselves
        # Weight of each endpoint in each table that names it.
        self.weights_of_endpoint: dict[int, dict[int, float]] = {}
        self.change_count = 0  # changes to table entries so far
        # Subscribers that were sent the withdrawal of an ejected endpoint, by endpoint.
        self.notified: dict[int, set[int]] = {}
        self.ejected: dict[int, set[int]] = {}  # subscriber -> endpoints ejected since it joined
        # (admitted fraction, retry policy), by request class.
        self.admissions: dict[int, tuple[float, str]] = {}

    def join(self, subscriber: int, enforces_admission: bool = False) -> None:
        """Add a subscriber; `enforces_admission` tells whether it enforces admission itself."""
        self.joined.add(subscriber)
        self.unassigned.add(subscriber)
        self.ejected[subscriber] = set()
        if enforces_admission:
            self.enforcing.add(subscriber)

    def leave(self, subscriber: int) -> None:
        """Remove a subscriber; a subscriber that has not joined is ignored."""
        self.joined.discard(subscriber)
        self.enforcing.discard(subscriber)
        self.unassigned.discard(subscriber)
        self.ejected.pop(subscriber, None)
        for table in self.assigned_tables.pop(subscriber, {}).values():
            self.subscribers[table].discard(subscriber)

    def forget_endpoint(self, endpoint: int) -> None:
        """Drop the state of an endpoint that is gone and in no table."""
        self.weights_of_endpoint.pop(endpoint, None)
        for subscriber in self.notified.pop(endpoint, ()):
            self.ejected.get(subscriber, set()).discard(endpoint)

    def route(self, commands: Iterable[interface.Command]) -> RoutedCommands:
        """Apply a batch's commands to the tables, and return the messages that follow."""
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
        """Add a nonce to the batch's messages so far, or to a message for every subscriber."""
        for subscriber in sorted(self.joined if command.all_proxies else routed.messages):
            routed.messages.setdefault(subscriber, {})
            routed.nonces.setdefault(subscriber, []).append(command.nonce)

    def affected_by(self, command: interface.WithdrawEndpoint) -> set[int]:
        """Return the subscribers that must be sent a withdrawal or a restoration.

        A withdrawal is sent to subscribers that don't enforce admission, and to subscribers without
        a table from this controller, as far as the command names them. All other subscribers lose
        the endpoint's table entry instead; a withdrawal as well would only fill the channel. A
        restoration is sent to the subscribers that were sent the withdrawal.
        """
        endpoint = command.endpoint
        if not command.withdrawn:
            restored = self.notified.pop(endpoint, set()) & self.joined
            for subscriber in restored:
                self.ejected[subscriber].discard(endpoint)
            return restored
        notify = command.notify
        unassigned = self.unassigned if notify is None else self.unassigned.intersection(notify)
        notified = unassigned | (self.joined - self.enforcing)
        self.notified.setdefault(endpoint, set()).update(notified)
        to_notify = {
            subscriber
            for subscriber in notified & self.joined
            if endpoint not in self.ejected[subscriber]
        }
        for subscriber in to_notify:
            self.ejected[subscriber].add(endpoint)
        return to_notify

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
        """Set an endpoint's weight in a table, for all subscribers of the table; 0 removes it."""
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
        """Assign a table to request classes of a proxy, and send the proxy the whole table.

        The proxy drops a table that is no longer assigned to any of its request classes. Otherwise
        outdated entries would be in force when the same table is assigned to the proxy again.
        """
        proxy, table = command.proxy, command.table
        operations = messages.setdefault(proxy, {})
        self.unassigned.discard(proxy)
        assigned = self.assigned_tables.setdefault(proxy, {})
        for request_class in command.request_classes:
            previous = assigned.get(request_class)
            assigned[request_class] = table
            set_operation(operations, (ASSIGNMENT, request_class), table)
            if previous is not None and previous not in assigned.values():
                self.subscribers[previous].discard(proxy)
                set_operation(operations, (UNASSIGNED_TABLE, previous), True)
        self.subscribers.setdefault(table, set()).add(proxy)
        for endpoint, weight in self.tables.get(table, {}).items():
            set_operation(operations, (ENTRY, table, endpoint), weight)
