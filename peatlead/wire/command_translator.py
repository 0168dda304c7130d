"""Converts planner commands to reply records of the wire."""

from collections.abc import Callable, Iterable
from typing import Any

from .. import interface
from ..interface import RetryPolicy
from . import reply_records
from .endpoint_ids import EndpointIds
from .units import MICROSECONDS_PER_SECOND

RETRY_POLICIES: dict[str, int] = {  # policy -> number on the wire
    RetryPolicy.NEVER: 0,
    RetryPolicy.UNSTARTED: 1,
    RetryPolicy.ONCE: 2,
    RetryPolicy.TWICE: 3,
}
ALL_TABLES = 65535  # table number that means all tables
ALL_PEERS = 65535  # instance number that means all peers
NONCE_MODULUS = 65536  # nonces have 16 bits on the wire
TIMER_MIN_US = 1  # microseconds
TIMER_MAX_US = 70 * 60 * MICROSECONDS_PER_SECOND  # microseconds, fits into 32 bits
TEXT_BYTES_MAX = 2000  # UTF-8 bytes of a log line or an error


class CommandTranslator:
    """Converts the commands of one instance's planner to reply records."""

    def __init__(self, instance: int, endpoint_ids: EndpointIds) -> None:
        self.instance = instance
        self.endpoint_ids = endpoint_ids

    def translate(self, command: interface.Command) -> reply_records.ReplyRecord:
        """Return the record of a command."""
        return TRANSLATORS[type(command)](self, command)

    def error_record(self, error: Exception) -> reply_records.Broken:
        """Return the record that reports an exception of the planner."""
        return reply_records.Broken(self.instance, _encode_text(f"{type(error).__name__}: {error}"))

    def upsert(self, command: interface.SetEntry) -> reply_records.Upsert:
        """Set an endpoint's weight in a table; weight 0 removes the entry."""
        address = self.endpoint_ids.address_of(command.endpoint)
        return reply_records.Upsert(self.instance, command.table, address, command.weight)

    def blank(self, command: interface.ClearTable) -> reply_records.Blank:
        """Remove all entries of a table."""
        return reply_records.Blank(self.instance, command.table)

    def attach_table(self, command: interface.AssignTable) -> reply_records.AttachTable:
        """Make a proxy use a table for some request classes."""
        classes = _bit_mask(command.request_classes)
        return reply_records.AttachTable(self.instance, classes, command.proxy, command.table)

    def cordon(self, command: interface.WithdrawEndpoint) -> reply_records.Cordon:
        """Withdraw an endpoint from the tables that proxies hold, or restore it."""
        address = self.endpoint_ids.address_of(command.endpoint)
        return reply_records.Cordon(self.instance, address, int(command.withdrawn))

    def gate_class(self, command: interface.SetAdmission) -> reply_records.GateClass:
        """Admit a fraction of the requests of some classes, and set their retry policy."""
        return reply_records.GateClass(
            self.instance,
            _bit_mask(command.request_classes),
            ALL_TABLES if command.table is None else command.table,
            command.fraction,
            RETRY_POLICIES[command.retry_policy],
        )

    def nonce(self, command: interface.RequestAcknowledgement) -> reply_records.Nonce:
        """Ask the proxies that this reply changes, or all proxies, to acknowledge a nonce."""
        return reply_records.Nonce(
            self.instance, command.nonce % NONCE_MODULUS, int(command.all_proxies)
        )

    def test(self, command: interface.CheckHealth) -> reply_records.Test:
        """Start a health check of an endpoint."""
        return reply_records.Test(self.instance, self.endpoint_ids.address_of(command.endpoint))

    def get_list(self, command: interface.FetchEndpoints) -> reply_records.GetList:
        """Request the endpoint list once."""
        return reply_records.GetList(self.instance)

    def observe(self, command: interface.WatchEndpoints) -> reply_records.Observe:
        """Start or stop watching the endpoint list."""
        return reply_records.Observe(self.instance, int(command.enabled))

    def write_peer(self, command: interface.SendGossip) -> reply_records.WritePeer:
        """Send a gossip message to one instance or to all."""
        peer = ALL_PEERS if command.peer is None else command.peer
        return reply_records.WritePeer(self.instance, peer, command.payload)

    def wake_me(self, command: interface.SetTimer) -> reply_records.WakeMe:
        """Set a timer; the delay is limited to what the wire can carry."""
        delay_us = round(command.delay * MICROSECONDS_PER_SECOND)
        limited_us = max(TIMER_MIN_US, min(TIMER_MAX_US, delay_us))
        return reply_records.WakeMe(self.instance, command.token, limited_us)

    def journal_line(self, command: interface.LogMessage) -> reply_records.JournalLine:
        """Write a line to the log."""
        return reply_records.JournalLine(self.instance, _encode_text(command.text))


def _bit_mask(request_classes: Iterable[int]) -> int:
    """Return a mask in which bit N is set for request class N."""
    return sum(1 << request_class for request_class in request_classes)


def _encode_text(text: str) -> bytes:
    """Return the text in UTF-8, cut to `TEXT_BYTES_MAX`."""
    return text.encode("utf-8")[:TEXT_BYTES_MAX]


TRANSLATORS: dict[type[Any], Callable[[CommandTranslator, Any], reply_records.ReplyRecord]] = {
    interface.SetEntry: CommandTranslator.upsert,
    interface.ClearTable: CommandTranslator.blank,
    interface.AssignTable: CommandTranslator.attach_table,
    interface.WithdrawEndpoint: CommandTranslator.cordon,
    interface.SetAdmission: CommandTranslator.gate_class,
    interface.RequestAcknowledgement: CommandTranslator.nonce,
    interface.CheckHealth: CommandTranslator.test,
    interface.FetchEndpoints: CommandTranslator.get_list,
    interface.WatchEndpoints: CommandTranslator.observe,
    interface.SendGossip: CommandTranslator.write_peer,
    interface.SetTimer: CommandTranslator.wake_me,
    interface.LogMessage: CommandTranslator.journal_line,
}
