"""Converts event records of the wire to planner events: ids, units and enumeration values."""

from collections.abc import Callable, Sequence
from typing import Any, Optional

from .. import interface
from ..interface import EndpointPhase, HealthCheckOutcome, ListScope, LoadReport
from . import event_records
from .endpoint_ids import EndpointIds
from .units import MICROSECONDS_PER_SECOND

SCOPES = {
    0: ListScope.CHANGES,
    1: ListScope.WHOLE,
    2: ListScope.REMEMBERED,
    3: ListScope.UNAVAILABLE,
}
PHASES = {
    0: EndpointPhase.GONE,
    1: EndpointPhase.READY,
    2: EndpointPhase.DRAINING,
}
OUTCOMES = {
    100: HealthCheckOutcome.OK,
    301: HealthCheckOutcome.ERRORED,
    302: HealthCheckOutcome.DENIED,
    303: HealthCheckOutcome.TIMED_OUT,
    304: HealthCheckOutcome.UNREACHABLE,
    305: HealthCheckOutcome.BROKEN,
}


class EventTranslator:
    """Converts the event records of one instance.

    `report_fields` names the metrics of a load report, in wire order.
    """

    def __init__(self, endpoint_ids: EndpointIds, report_fields: Sequence[str]) -> None:
        self.endpoint_ids = endpoint_ids
        self.report_fields = report_fields

    def translate(self, record: event_records.EventRecord) -> interface.Event:
        """Return the event of a record. Raises KeyError for `Attach` and `Shutdown`."""
        return TRANSLATORS[type(record)](self, record)

    def load_report(self, values: tuple[float, ...]) -> Optional[LoadReport]:
        """Return the metrics by name, or None if the record has no load report."""
        return dict(zip(self.report_fields, values)) if values else None

    def endpoint(self, entry: event_records.TopologyEntry) -> interface.Endpoint:
        """Return one endpoint of the list; an unknown phase is treated as gone."""
        return interface.Endpoint(
            self.endpoint_ids.id_of(entry.address),
            entry.address,
            entry.zone,
            entry.machine_type,
            entry.cell,
            PHASES.get(entry.phase, EndpointPhase.GONE),
            entry.weight,
            entry.started_us / MICROSECONDS_PER_SECOND,
        )

    def endpoint_update(self, record: event_records.Topology) -> interface.EndpointUpdate:
        """Return an endpoint list update; an unknown scope is treated as unavailable."""
        return interface.EndpointUpdate(
            SCOPES.get(record.scope, ListScope.UNAVAILABLE),
            record.version,
            tuple(map(self.endpoint, record.entries)),
        )

    def endpoint_stats(self, record: event_records.Tally) -> interface.EndpointStats:
        """Return the statistics of an endpoint."""
        return interface.EndpointStats(
            self.endpoint_ids.id_of(record.address),
            record.zone,
            record.attempts,
            record.errors,
            record.window_us / MICROSECONDS_PER_SECOND,
            record.mean_latency_us / MICROSECONDS_PER_SECOND,
            self.load_report(record.load_report),
        )

    def request_stats(self, record: event_records.Intake) -> interface.RequestStats:
        """Return the request statistics of a proxy."""
        return interface.RequestStats(
            record.proxy,
            record.request_class,
            record.requests,
            record.unanswered,
            record.window_us / MICROSECONDS_PER_SECOND,
        )

    def health_check_result(self, record: event_records.CheckResult) -> interface.HealthCheckResult:
        """Return the result of a health check; an unknown outcome is treated as an error."""
        return interface.HealthCheckResult(
            self.endpoint_ids.id_of(record.address),
            OUTCOMES.get(record.outcome, HealthCheckOutcome.ERRORED),
            record.duration_us / MICROSECONDS_PER_SECOND,
            self.load_report(record.load_report),
        )

    def proxy_connected(self, record: event_records.CheckedIn) -> interface.ProxyConnected:
        """Return the event of a proxy that has connected."""
        return interface.ProxyConnected(
            record.proxy, record.zone, record.request_rate, bool(record.bootstrap_only)
        )

    def proxy_disconnected(self, record: event_records.Left) -> interface.ProxyDisconnected:
        """Return the event of a proxy that has disconnected."""
        return interface.ProxyDisconnected(record.proxy)

    def acknowledged(self, record: event_records.CaughtUp) -> interface.Acknowledged:
        """Return the event of a proxy that has acknowledged a nonce."""
        return interface.Acknowledged(
            record.proxy, record.nonce, record.duration_us / MICROSECONDS_PER_SECOND
        )

    def timer_fired(self, record: event_records.Wake) -> interface.TimerFired:
        """Return the event of a timer that has fired."""
        return interface.TimerFired(record.token)

    def gossip_received(self, record: event_records.Inbox) -> interface.GossipReceived:
        """Return the gossip message of another instance."""
        return interface.GossipReceived(record.sender, record.payload)

    def key_range_assigned(self, record: event_records.Given) -> interface.KeyRangeAssigned:
        """Return the assignment of a key range's table, or its withdrawal."""
        return interface.KeyRangeAssigned(record.table, bool(record.assigned))

    def key_range_entry(self, record: event_records.InStore) -> interface.KeyRangeEntry:
        """Return a stored entry of a key range's table."""
        return interface.KeyRangeEntry(
            record.table, self.endpoint_ids.id_of(record.address), record.weight
        )

    def key_range_stats(self, record: event_records.WeightSeen) -> interface.KeyRangeStats:
        """Return the request statistics of a key range."""
        return interface.KeyRangeStats(
            record.table,
            record.request_class,
            record.requests,
            record.unanswered,
            record.window_us / MICROSECONDS_PER_SECOND,
        )


TRANSLATORS: dict[type[Any], Callable[[EventTranslator, Any], interface.Event]] = {
    event_records.Topology: EventTranslator.endpoint_update,
    event_records.Tally: EventTranslator.endpoint_stats,
    event_records.Intake: EventTranslator.request_stats,
    event_records.CheckResult: EventTranslator.health_check_result,
    event_records.CheckedIn: EventTranslator.proxy_connected,
    event_records.Left: EventTranslator.proxy_disconnected,
    event_records.CaughtUp: EventTranslator.acknowledged,
    event_records.Wake: EventTranslator.timer_fired,
    event_records.Inbox: EventTranslator.gossip_received,
    event_records.Given: EventTranslator.key_range_assigned,
    event_records.InStore: EventTranslator.key_range_entry,
    event_records.WeightSeen: EventTranslator.key_range_stats,
}
