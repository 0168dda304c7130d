"""An endpoint's process starts; an endpoint that has been gone for long is forgotten."""

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import GONE, EndpointState
from .slow_start import SlowStart
from .table_writer import TableWriter

FORGET_AFTER = 60.0  # seconds: until then a proxy may bring an entry of one that is gone


class EndpointLifecycle:
    """Begins and ends what is known of a process."""

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
        """Begin with a new process: nothing that was known of the old one counts.

        One that is warm already is ramped only with `ramp_warm`.
        """
        now = self.context.now
        self.schedule.activate(endpoint)
        self.schedule.at(endpoint.next_check_at, endpoint)
        endpoint.ejected_until = None
        endpoint.failed_checks = 0
        endpoint.clear_evidence(now)
        cold = now - started_at < self.context.settings["warm_after"]
        endpoint.cold_since = started_at if cold else None
        if ramp_warm or cold:
            self.slow_start.begin_cold(endpoint)

    def forget_gone(self) -> None:
        """Drop what has been gone for long, or records would add up without bound."""
        past = self.context.now - FORGET_AFTER
        forgotten = [
            endpoint
            for endpoint in self.context.endpoints.values()
            if endpoint.phase == GONE and endpoint.withdrawn_at < past
        ]
        for endpoint in forgotten:
            self._remove_entries(endpoint)
            del self.context.endpoints[endpoint.id]
            self.schedule.deactivate(endpoint)

    def _remove_entries(self, endpoint: EndpointState) -> None:
        """Proxies that disconnected still hold what they held."""
        proxies = self.context.proxies
        holders = self.context.subscriber_index.subscribers(endpoint.id)
        for proxy in [proxies[number] for number in holders]:
            for group in range(len(proxy.entries)):
                self.writer.set_entry(proxy, group, endpoint.id, 0.0)
