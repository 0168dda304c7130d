"""Reduces the traffic of an endpoint that is slow or full compared with its peers.

The endpoint keeps its weight, but some of its subscribers leave it out of their tables. This avoids
both overload and oscillation between a full and an idle endpoint. The traffic is restored in steps.
The time until a step is restored doubles when the endpoint is relieved again soon.
"""

from math import fsum

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import INITIAL_RELIEF_DURATION, EndpointState
from .proxy_state import ProxyState
from .rendezvous import rank
from .table_changes import TableChanges

TRAFFIC_STEP = 0.25  # fraction of the subscribers' requests that one step removes or restores
MAX_RELIEF_STEPS = 3  # steps of traffic that may be removed
MIN_RELIEF_INTERVAL = 5.0  # seconds until the reports show the effect of a relief
MAX_RELIEF_DURATION = 60.0  # seconds until a step is restored
# After this many seconds without relief or ejection, the next relief has the initial duration.
RELIEF_RESET_INTERVAL = 30
# Mean traffic fraction of the ready endpoints, below which they could not carry more traffic.
MIN_MEAN_TRAFFIC_FRACTION = 0.8


class LoadRelief:
    """Decides which proxies must leave an endpoint out of their tables."""

    def __init__(
        self, context: PlannerContext, changes: TableChanges, schedule: EndpointSchedule
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule

    def relieve(self, endpoint: EndpointState, ready: list[EndpointState]) -> None:
        """Remove one step of the endpoint's traffic.

        No step is removed shortly after the last one, at the minimum traffic, or if the other
        endpoints could not carry the removed traffic. `ready` has all ready endpoints.
        """
        now = self.context.now
        if (
            now - endpoint.relieved_at < MIN_RELIEF_INTERVAL
            or endpoint.traffic_fraction <= 1 - MAX_RELIEF_STEPS * TRAFFIC_STEP
            or self._mean_traffic_is_low(ready)
        ):
            return
        resets_duration = (
            now - max(endpoint.relieved_at, endpoint.ejection_ended_at) > RELIEF_RESET_INTERVAL
        )
        endpoint.relieved_at = now
        doubled_duration = min(MAX_RELIEF_DURATION, endpoint.relief_duration * 2)
        endpoint.relief_duration = INITIAL_RELIEF_DURATION if resets_duration else doubled_duration
        self.set_traffic_fraction(endpoint, endpoint.traffic_fraction - TRAFFIC_STEP)

    def _mean_traffic_is_low(self, ready: list[EndpointState]) -> bool:
        """Return whether the other endpoints could not carry more traffic."""
        total = fsum([endpoint.traffic_fraction for endpoint in ready if endpoint.usable])
        return total < len(ready) * MIN_MEAN_TRAFFIC_FRACTION

    def make_restore_due(self, endpoint: EndpointState) -> None:
        """Make the next step due now, as the endpoint has more spare capacity than its peers."""
        if self.context.now - endpoint.relieved_at > MIN_RELIEF_INTERVAL:
            endpoint.next_traffic_step_at = self.context.now

    def restore_traffic_if_due(self, endpoint: EndpointState) -> None:
        """Restore one step of the endpoint's traffic if this is due."""
        if endpoint.traffic_fraction < 1 and self.context.now >= endpoint.next_traffic_step_at:
            self.set_traffic_fraction(endpoint, min(1.0, endpoint.traffic_fraction + TRAFFIC_STEP))

    def set_traffic_fraction(self, endpoint: EndpointState, traffic_fraction: float) -> None:
        """Exclude subscribers until the other subscribers send about this fraction of the requests.

        The proxies in whose order the endpoint comes last are excluded first.
        """
        endpoint.traffic_fraction = traffic_fraction
        endpoint.next_traffic_step_at = self.context.now + endpoint.relief_duration
        subscribers = self._subscribers(endpoint)
        excess = (1 - traffic_fraction) * fsum([proxy.request_rate for proxy in subscribers])
        endpoint.excluded_proxies = set()
        name_hash = endpoint.name_hash
        for proxy in sorted(
            subscribers, key=lambda proxy: rank(proxy.key, name_hash), reverse=True
        ):
            if proxy.request_rate / 2 < excess:
                endpoint.excluded_proxies.add(proxy.number)
                excess -= proxy.request_rate
        self.schedule.activate(endpoint)
        self.changes.mark_endpoint_changed(endpoint)
        self.context.log(f"endpoint {endpoint.id} traffic fraction set to {traffic_fraction}")

    def _subscribers(self, endpoint: EndpointState) -> list[ProxyState]:
        """Return the connected proxies whose tables name the endpoint or must leave it out."""
        connected = self.context.connected
        excluded = dict.fromkeys(sorted(endpoint.excluded_proxies))
        numbers = {**self.context.subscriber_index.subscribers(endpoint.id), **excluded}
        return [connected[number] for number in numbers if number in connected]
