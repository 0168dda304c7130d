"""Initializes the state of started endpoints and removes the state of endpoints long gone."""

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import GONE, EndpointState
from .slow_start import SlowStart
from .table_writer import TableWriter

# Seconds for which the state of a gone endpoint is kept: a proxy that reconnects may still hold
# entries of the endpoint.
GONE_RETENTION = 60.0


class EndpointLifecycle:
    """Initializes and removes the state of endpoints."""

    def __init__(
        self,
        context: PlannerContext,
        schedule: EndpointSchedule,
        slow_start: SlowStart,
        writer: TableWriter,
    ) -> None:
        self.context = context
        self.schedule = schedule
        self.slow_start = slow_start
        self.writer = writer

    def start(self, endpoint: EndpointState, started_at: float, ramp_warm: bool) -> None:
        """Reset an endpoint's state for a new process.

        The reports about the old process are discarded. A cold process is always ramped; a process
        that is already warm is ramped only if `ramp_warm` is true. A process whose start lies in
        the future counts as started now, since it would stay cold for too long otherwise.
        """
        now = self.context.now
        self.schedule.activate(endpoint)
        self.schedule.add_deadline(endpoint.next_check_at, endpoint)
        endpoint.ejected_until = None
        endpoint.failed_checks = 0
        endpoint.clear_evidence(now)
        cold = now - started_at < self.context.settings["warm_after"]
        endpoint.cold_since = min(started_at, now) if cold else None
        if ramp_warm or cold:
            self.slow_start.begin_cold_start(endpoint)

    def forget_gone(self) -> None:
        """Remove endpoints that are long gone, so that the number of known endpoints is bounded."""
        withdrawn_before = self.context.now - GONE_RETENTION
        forgotten = [
            endpoint
            for endpoint in self.context.endpoints.values()
            if endpoint.phase == GONE and endpoint.withdrawn_at < withdrawn_before
        ]
        for endpoint in forgotten:
            self._remove_entries(endpoint)
            for proxy in self.context.proxies.values():
                proxy.restored_endpoints.discard(endpoint.id)
            del self.context.endpoints[endpoint.id]
            self.schedule.deactivate(endpoint)

    def _remove_entries(self, endpoint: EndpointState) -> None:
        """Remove the endpoint from all tables, including those of disconnected proxies."""
        proxies = self.context.proxies
        subscribers = self.context.subscriber_index.subscribers(endpoint.id)
        for proxy in [proxies[number] for number in subscribers]:
            for group in range(len(proxy.entries)):
                self.writer.set_entry(proxy, group, endpoint.id, 0.0)
