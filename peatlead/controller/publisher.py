"""Translates the planner's commands into messages for the subscribers."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Optional

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
    local_commands: list[interface.Command]  # commands for the controller itself


class Publisher:
    """Holds all tables as the planner commanded them, and the tables assigned to each subscriber.

    Subscribers are DNS views and proxies, identified by the planner's numbers. Proxies enforce
    admission themselves: they receive admitted fractions, and they lose an endpoint when its table
    entry is removed. For DNS views the endpoints enforce admission; views receive every withdrawal.
    """

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}  # weights of endpoints, by table
        self.table_subscribers: dict[int, set[int]] = {}  # by table
        # Table of each request class, by subscriber.
        self.assigned_tables: dict[int, dict[int, int]] = {}
        self.joined_subscribers: set[int] = set()  # views and proxies that may be sent messages
        # Joined subscribers without a table from this controller.
        self.unassigned_subscribers: set[int] = set()
        # Joined subscribers that enforce admission themselves.
        self.enforcing_subscribers: set[int] = set()
        # Weights in the tables that name an endpoint, by endpoint and table.
        self.weights_of_endpoint: dict[int, dict[int, float]] = {}
        self.change_count = 0  # changes to table entries so far
        # Subscribers that were sent the withdrawal of an ejected endpoint, by endpoint.
        self.notified_subscribers: dict[int, set[int]] = {}
        # Endpoints whose withdrawal was sent to a subscriber, by subscriber.
        self.ejected_endpoints: dict[int, set[int]] = {}
        self.admissions: dict[int, interface.Admission] = {}  # by request class
        # The same for the tables that have their own, by table and request class.
        self.table_admissions: dict[int, dict[int, interface.Admission]] = {}
        # Methods that apply the commands that concern subscribers, by type of command.
        self._routes: dict[type, Callable[[RoutedCommands, Any], None]] = {
            interface.SetEntry: self.route_entry,
            interface.ClearTable: self.clear_table,
            interface.AssignTable: self.assign_table,
            interface.WithdrawEndpoint: self.route_withdrawal,
            interface.RestoreEndpoints: self.restore_endpoints,
            interface.RequestAcknowledgement: self.request_acknowledgement,
            interface.SetAdmission: self.route_admission,
        }

    def join(self, subscriber: int, enforces_admission: bool = False) -> None:
        """Add a subscriber that enforces admission itself, or leaves it to the endpoints."""
        self.joined_subscribers.add(subscriber)
        self.unassigned_subscribers.add(subscriber)
        self.ejected_endpoints[subscriber] = set()
        if enforces_admission:
            self.enforcing_subscribers.add(subscriber)

    def leave(self, subscriber: int) -> None:
        """Remove a subscriber; a subscriber that has not joined is ignored."""
        self.joined_subscribers.discard(subscriber)
        self.enforcing_subscribers.discard(subscriber)
        self.unassigned_subscribers.discard(subscriber)
        self.ejected_endpoints.pop(subscriber, None)
        for table in self.assigned_tables.pop(subscriber, {}).values():
            self.table_subscribers[table].discard(subscriber)

    def forget_endpoint(self, endpoint: int) -> None:
        """Drop the state of an endpoint that is no longer listed and in no table."""
        self.weights_of_endpoint.pop(endpoint, None)
        for subscriber in self.notified_subscribers.pop(endpoint, ()):
            self.ejected_endpoints.get(subscriber, set()).discard(endpoint)

    def route(self, commands: Iterable[interface.Command]) -> RoutedCommands:
        """Apply a batch's commands to the tables, and return the messages that follow."""
        routed = RoutedCommands({}, {}, [])
        for command in commands:
            route_command = self._routes.get(type(command))
            if route_command is not None:
                route_command(routed, command)
            else:
                routed.local_commands.append(command)
        return routed

    def route_entry(self, routed: RoutedCommands, command: interface.SetEntry) -> None:
        """Set an endpoint's weight in a table."""
        self.set_entry(routed.messages, command.table, command.endpoint, command.weight)

    def clear_table(self, routed: RoutedCommands, command: interface.ClearTable) -> None:
        """Remove all entries of a table."""
        for endpoint in list(self.tables.get(command.table, ())):
            self.set_entry(routed.messages, command.table, endpoint, 0.0)

    def route_withdrawal(self, routed: RoutedCommands, command: interface.WithdrawEndpoint) -> None:
        """Send a withdrawal or a restoration to the subscribers that it concerns."""
        for subscriber in self.subscribers_to_notify(command):
            operations = routed.messages.setdefault(subscriber, {})
            operations[WITHDRAWN, command.endpoint] = command.withdrawn

    def route_admission(self, routed: RoutedCommands, command: interface.SetAdmission) -> None:
        """Send an admission to proxies, and pass that of all tables to the controller itself.

        The endpoints that enforce admission for DNS views do not know tables.
        """
        self.set_admission(routed.messages, command)
        if command.table is None:
            routed.local_commands.append(command)

    def request_acknowledgement(
        self, routed: RoutedCommands, command: interface.RequestAcknowledgement
    ) -> None:
        """Add a nonce to the batch's messages so far, or to messages to all subscribers."""
        for subscriber in sorted(
            self.joined_subscribers if command.all_proxies else routed.messages
        ):
            routed.messages.setdefault(subscriber, {})
            routed.nonces.setdefault(subscriber, []).append(command.nonce)

    def subscribers_to_notify(self, command: interface.WithdrawEndpoint) -> set[int]:
        """Return the subscribers that must be sent a withdrawal or a restoration.

        A withdrawal is sent to all subscribers that don't enforce admission, and to those
        subscribers without a table from this controller that the command names (None names all).
        All other subscribers lose the endpoint's table entry instead; an additional withdrawal
        would only fill the channel. A restoration is sent to the subscribers that were sent the
        withdrawal. Sent to all of 1,000 proxies, the loss of a zone took 100,000 operations, and a
        release of 300 endpoints 200,000.
        """
        endpoint = command.endpoint
        if not command.withdrawn:
            restored = self.notified_subscribers.pop(endpoint, set()) & self.joined_subscribers
            for subscriber in restored:
                self.ejected_endpoints[subscriber].discard(endpoint)
            return restored
        notify = command.notify
        unassigned = (
            self.unassigned_subscribers
            if notify is None
            else self.unassigned_subscribers.intersection(notify)
        )
        notified = unassigned | (self.joined_subscribers - self.enforcing_subscribers)
        self.notified_subscribers.setdefault(endpoint, set()).update(notified)
        to_notify = {
            subscriber
            for subscriber in notified & self.joined_subscribers
            if endpoint not in self.ejected_endpoints[subscriber]
        }
        for subscriber in to_notify:
            self.ejected_endpoints[subscriber].add(endpoint)
        return to_notify

    def restore_endpoints(
        self, routed: RoutedCommands, command: interface.RestoreEndpoints
    ) -> None:
        """Send restorations to a proxy, whether or not this controller sent it the withdrawals."""
        proxy = command.proxy
        if proxy not in self.joined_subscribers:
            return
        for endpoint in command.endpoints:
            self.ejected_endpoints[proxy].discard(endpoint)
            self.notified_subscribers.get(endpoint, set()).discard(proxy)
            set_operation(routed.messages.setdefault(proxy, {}), (WITHDRAWN, endpoint), False)

    def set_admission(self, messages: Messages, command: interface.SetAdmission) -> None:
        """Set the admitted fraction and retry policy of request classes, or of those of a table."""
        if command.table is None:
            admissions, subscribers = self.admissions, self.enforcing_subscribers
        else:
            admissions = self.table_admissions.setdefault(command.table, {})
            subscribers = self.enforcing_subscribers.intersection(
                self.table_subscribers.get(command.table, ())
            )
        for request_class in command.request_classes:
            admissions[request_class] = interface.Admission(command.fraction, command.retry_policy)
            for subscriber in subscribers:
                self._send_admission(messages, subscriber, request_class)

    def admission(self, subscriber: int, request_class: int) -> Optional[interface.Admission]:
        """Return the admission in force at a subscriber, or None if none was set.

        If both the class and its table have an admission, the lower fraction and the table's retry
        policy are in force.
        """
        admission = self.admissions.get(request_class)
        table = self.assigned_tables.get(subscriber, {}).get(request_class)
        own = None if table is None else self.table_admissions.get(table, {}).get(request_class)
        if admission is None or own is None:
            return own or admission
        return interface.Admission(min(admission.fraction, own.fraction), own.retry_policy)

    def _send_admission(self, messages: Messages, subscriber: int, request_class: int) -> None:
        """Add the admission in force to a subscriber's message."""
        set_operation(
            messages.setdefault(subscriber, {}),
            (ADMISSION, request_class),
            self.admission(subscriber, request_class),
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
        for subscriber in self.table_subscribers.get(table, ()):
            set_operation(messages.setdefault(subscriber, {}), (ENTRY, table, endpoint), weight)

    def assign_table(self, routed: RoutedCommands, command: interface.AssignTable) -> None:
        """Assign a table to request classes of a proxy, and send the proxy the whole table.

        The proxy drops a table that is no longer assigned to any of its request classes. Otherwise
        outdated entries would be in force when the same table is assigned to the proxy again.
        """
        proxy, table = command.proxy, command.table
        operations = routed.messages.setdefault(proxy, {})
        self.unassigned_subscribers.discard(proxy)
        assigned = self.assigned_tables.setdefault(proxy, {})
        for request_class in command.request_classes:
            previous = assigned.get(request_class)
            assigned[request_class] = table
            set_operation(operations, (ASSIGNMENT, request_class), table)
            if previous is not None and previous not in assigned.values():
                self.table_subscribers[previous].discard(proxy)
                set_operation(operations, (UNASSIGNED_TABLE, previous), True)
        self.table_subscribers.setdefault(table, set()).add(proxy)
        for endpoint, weight in self.tables.get(table, {}).items():
            set_operation(operations, (ENTRY, table, endpoint), weight)
        if proxy in self.enforcing_subscribers:
            for request_class in self.table_admissions.get(table, {}):
                self._send_admission(routed.messages, proxy, request_class)
