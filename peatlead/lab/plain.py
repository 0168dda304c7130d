"""Events and orders as plain values, for digests: what a type or a field is called must not matter. Pure.

Each is its kind's number in `KINDS` and its values in their order. A number is for good: new kinds go to the end.
"""

from enum import StrEnum

from .. import interface

KINDS = (
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
NUMBERS = {kind: number for number, kind in enumerate(KINDS)}


def plain(value):
    """Plain tuples of a value. Raises TypeError for what has no lasting form."""
    kind = type(value)
    if kind in NUMBERS:
        return ("kind", NUMBERS[kind], *map(plain, value))
    if kind in (tuple, list):
        return tuple(map(plain, value))
    if kind is dict:
        return ("map", *sorted((plain(key), plain(one)) for key, one in value.items()))
    if kind in (set, frozenset):
        return ("set", *sorted(map(plain, value)))
    if isinstance(value, StrEnum):
        return str(value)
    if value is None or kind in (bool, int, float, str, bytes):
        return value
    raise TypeError(f"expected an event, an order or plain values, got {kind.__name__}")
