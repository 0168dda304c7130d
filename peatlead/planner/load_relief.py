"""Reduces the traffic of an endpoint that is slow or full compared with its peers.

The endpoint keeps its weight, but some of its subscribers leave it out of their tables. This avoids
overload as well as oscillation between full and idle. The traffic is restored in steps; the delay
between the steps doubles when the endpoint is relieved again.
"""

from math import fsum

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import INITIAL_RELIEF_DURATION, EndpointState
from .proxy_state import ProxyState
from .rendezvous import rank
from .table_changes import TableChanges

TRAFFIC_STEP = 0.25  # of the requests of the endpoint's subscribers
MAX_RELIEF_STEPS = 3  # steps that may be removed
MIN_RELIEF_INTERVAL = 5.0  # seconds until the reports show the effect of a relief
MAX_RELIEF_DURATION = 60.0  # seconds until a step is restored
RELIEF_RESET_INTERVAL = 30  # seconds without relief after which the duration is initial again
# Mean over the ready endpoints; below it the others could not carry more traffic.
MIN_MEAN_TRAFFIC_FRACTION = 0.8


class LoadRelief:
    """Decides which proxies leave an endpoint out of their tables."""

    def __init__(
        self, context: PlannerContext, changes: TableChanges, schedule: EndpointSchedule
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule

    def relieve(self, endpoint: EndpointState, ready: list[EndpointState]) -> None:
        """Remove one step of the endpoint's traffic.

        Nothing is done shortly after the last relief, at the minimum traffic, or if the other
        endpoints could not carry the removed traffic.
        """
        now = self.context.now
        if (
            now - endpoint.relieved_at < MIN_RELIEF_INTERVAL
            or endpoint.traffic_fraction <= 1 - MAX_RELIEF_STEPS * TRAFFIC_STEP
            or self._mean_traffic_is_low(ready)
        ):
            return
        is_reset = now - max(endpoint.relieved_at, endpoint.restored_at) > RELIEF_RESET_INTERVAL
        endpoint.relieved_at = now
        doubled_duration = min(MAX_RELIEF_DURATION, endpoint.relief_duration * 2)
        endpoint.relief_duration = INITIAL_RELIEF_DURATION if is_reset else doubled_duration
        self.set_traffic_fraction(endpoint, endpoint.traffic_fraction - TRAFFIC_STEP)

    def _mean_traffic_is_low(self, ready: list[EndpointState]) -> bool:
        """Return whether the other endpoints could not carry more traffic."""
        total = fsum([endpoint.traffic_fraction for endpoint in ready if endpoint.usable])
        return total < len(ready) * MIN_MEAN_TRAFFIC_FRACTION

    def restore_now(self, endpoint: EndpointState) -> None:
        """Make the next step due, as the endpoint has more spare capacity than its peers."""
        if self.context.now - endpoint.relieved_at > MIN_RELIEF_INTERVAL:
            endpoint.next_restore_at = self.context.now

    def restore_traffic_if_due(self, endpoint: EndpointState) -> None:
        """Restore one step of traffic when it is due."""
        if endpoint.traffic_fraction < 1 and self.context.now >= endpoint.next_restore_at:
            self.set_traffic_fraction(endpoint, min(1.0, endpoint.traffic_fraction + TRAFFIC_STEP))

    def set_traffic_fraction(self, endpoint: EndpointState, traffic_fraction: float) -> None:
        """Exclude proxies from the endpoint until the rest sends this fraction of the requests.

        The proxies that rank the endpoint lowest are excluded first.
        """
        endpoint.traffic_fraction = traffic_fraction
        endpoint.next_restore_at = self.context.now + endpoint.relief_duration
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
        self.changes.mark(endpoint)
        self.context.log(f"endpoint {endpoint.id} traffic fraction set to {traffic_fraction}")

    def _subscribers(self, endpoint: EndpointState) -> list[ProxyState]:
        """Return the connected proxies that hold the endpoint or are excluded from it."""
        connected = self.context.connected
        excluded = dict.fromkeys(sorted(endpoint.excluded_proxies))
        numbers = {**self.context.subscriber_index.subscribers(endpoint.id), **excluded}
        return [connected[number] for number in numbers if number in connected]
