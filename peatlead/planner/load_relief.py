"""Relieves an endpoint that is slow or full against its peers.

It keeps its weight, but some of the proxies that hold it do without it, so that it neither drowns
nor swings between full and empty. Its requests come back in steps, later each time that it is
relieved again.
"""

from math import fsum

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import FIRST_RELIEF_WAIT, EndpointState
from .proxy_state import ProxyState
from .rendezvous import rank
from .table_changes import TableChanges

REACH_STEP = 0.25  # of the holders' requests
LEAST_STEPS = 3  # of reach that may be taken away
RELIEF_GAP = 5.0  # seconds until the reports show the effect of a relief
LONGEST_WAIT = 60.0  # seconds until a step of reach comes back
CALM_SPAN = 30  # seconds after which a relief counts as the first again
LEAST_MEAN_REACH = 0.8  # of the ready endpoints, or the others could not take its part


class LoadRelief:
    """Decides which proxies do without an endpoint."""

    def __init__(
        self, context: PlannerContext, changes: TableChanges, schedule: EndpointSchedule
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule

    def relieve(self, endpoint: EndpointState, ready: list[EndpointState]) -> None:
        """Take a step of reach away, unless it was done lately or others couldn't carry it."""
        now = self.context.now
        if (
            now - endpoint.relieved_at < RELIEF_GAP
            or endpoint.traffic_fraction <= 1 - LEAST_STEPS * REACH_STEP
            or self._mean_reach_is_low(ready)
        ):
            return
        calm = now - max(endpoint.relieved_at, endpoint.restored_at) > CALM_SPAN
        endpoint.relieved_at = now
        doubled = min(LONGEST_WAIT, endpoint.relief_wait * 2)
        endpoint.relief_wait = FIRST_RELIEF_WAIT if calm else doubled
        self.set_reach(endpoint, endpoint.traffic_fraction - REACH_STEP)

    def _mean_reach_is_low(self, ready: list[EndpointState]) -> bool:
        """Whether the others could not take the endpoint's part."""
        traffic_fraction = fsum(
            [endpoint.traffic_fraction for endpoint in ready if endpoint.usable]
        )
        return traffic_fraction < len(ready) * LEAST_MEAN_REACH

    def restore_now(self, endpoint: EndpointState) -> None:
        """Give a step back at once: its part weighs on the others by now."""
        if self.context.now - endpoint.relieved_at > RELIEF_GAP:
            endpoint.reach_restored_at = self.context.now

    def restore_if_due(self, endpoint: EndpointState) -> None:
        """Give a step of reach back once its wait has passed."""
        if endpoint.traffic_fraction < 1 and self.context.now >= endpoint.reach_restored_at:
            self.set_reach(endpoint, min(1.0, endpoint.traffic_fraction + REACH_STEP))

    def set_reach(self, endpoint: EndpointState, traffic_fraction: float) -> None:
        """Exclude so many proxies, by their requests: those that rank the endpoint lowest."""
        endpoint.traffic_fraction = traffic_fraction
        endpoint.reach_restored_at = self.context.now + endpoint.relief_wait
        holders = self._holders(endpoint)
        excess = (1 - traffic_fraction) * fsum([proxy.request_rate for proxy in holders])
        endpoint.excluded_proxies = set()
        name_hash = endpoint.name_hash
        for proxy in sorted(holders, key=lambda proxy: rank(proxy.key, name_hash), reverse=True):
            if proxy.request_rate / 2 < excess:
                endpoint.excluded_proxies.add(proxy.number)
                excess -= proxy.request_rate
        self.schedule.activate(endpoint)
        self.changes.mark(endpoint)
        self.context.log(f"host {endpoint.id} reach {traffic_fraction}")

    def _holders(self, endpoint: EndpointState) -> list[ProxyState]:
        """The connected proxies that hold it, or would if they weren't excluded."""
        connected = self.context.connected
        excluded = dict.fromkeys(sorted(endpoint.excluded_proxies))
        numbers = {**self.context.subscriber_index.subscribers(endpoint.id), **excluded}
        return [connected[number] for number in numbers if number in connected]
