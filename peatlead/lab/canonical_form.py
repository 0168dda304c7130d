"""Conversion of events and commands to plain values, for digests that do not depend on names.

An event or command becomes the number of its type in `INTERFACE_TYPES` and its field values in
order, so that renaming types or fields does not change a digest. Numbers are never reused: new
types are added at the end. No I/O.
"""

from enum import StrEnum
from typing import Any

from .. import interface

INTERFACE_TYPES: tuple[type, ...] = (
    interface.Endpoint,
    interface.EndpointUpdate,
    interface.ProxyConnected,
    interface.ProxyDisconnected,
    interface.EndpointStats,
    interface.RequestStats,
    interface.HealthCheckResult,
    interface.Acknowledged,
    interface.TimerFired,
    interface.GossipReceived,
    interface.PlannerStatus,
    interface.KeyRangeAssigned,
    interface.KeyRangeEntry,
    interface.KeyRangeStats,
    interface.SetEntry,
    interface.ClearTable,
    interface.AssignTable,
    interface.WithdrawEndpoint,
    interface.SetAdmission,
    interface.RequestAcknowledgement,
    interface.CheckHealth,
    interface.FetchEndpoints,
    interface.WatchEndpoints,
    interface.SendGossip,
    interface.SetTimer,
    interface.LogMessage,
    interface.RestoreEndpoints,
)
TYPE_NUMBERS = {value_type: number for number, value_type in enumerate(INTERFACE_TYPES)}


def canonical_form(value: Any) -> Any:
    """Return a value as nested tuples of plain values. Raises TypeError for other types."""
    value_type = type(value)
    if value_type in TYPE_NUMBERS:
        return ("kind", TYPE_NUMBERS[value_type], *map(canonical_form, value))
    if value_type in (tuple, list):
        return tuple(map(canonical_form, value))
    if value_type is dict:
        items = [(canonical_form(key), canonical_form(item)) for key, item in value.items()]
        return ("map", *sorted(items))
    if value_type in (set, frozenset):
        return ("set", *sorted(map(canonical_form, value)))
    if isinstance(value, StrEnum):
        return str(value)
    if value is None or value_type in (bool, int, float, str, bytes):
        return value
    raise TypeError(f"expected an event, a command or plain values, got {value_type.__name__}")
