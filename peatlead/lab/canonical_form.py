"""Events and commands as plain values, for digests that names of types and fields don't change.

Each is its type's number in `TYPES` and its values in their order. A number is never reused: new
types go to the end. No I/O.
"""

from enum import StrEnum
from typing import Any

from .. import interface

TYPES: tuple[type, ...] = (
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
)
NUMBERS = {value_type: number for number, value_type in enumerate(TYPES)}


def canonical_form(value: Any) -> Any:
    """A value as nested tuples of plain values; raises TypeError for what has no lasting form."""
    value_type = type(value)
    if value_type in NUMBERS:
        return ("kind", NUMBERS[value_type], *map(canonical_form, value))
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
    raise TypeError(f"expected an event, an order or plain values, got {value_type.__name__}")
