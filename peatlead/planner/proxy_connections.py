"""Registers proxies that connect, and removes proxies that disconnect."""

from ..interface import ProxyConnected, ProxyDisconnected
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .endpoint_pools import EndpointPools
from .input_bounds import usable_rate
from .proxy_state import ProxyState
from .restorations import Restorations
from .settings import max_safe_wait
from .zone_capacity import ZoneCapacity

# Fraction of the maximum safe time for which a proxy keeps the table of its previous controller.
PREVIOUS_TABLE_FRACTION = 1 / 2


class ProxyConnections:
    """Adds and removes the connected proxies of the context."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        zone_capacity: ZoneCapacity,
        restorations: Restorations,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.pools = pools
        self.zone_capacity = zone_capacity
        self.restorations = restorations
        self.budget = budget

    def on_connected(self, event: ProxyConnected) -> None:
        """Add a proxy to the proxies that wait for their tables."""
        context = self.context
        self.zone_capacity.request_update()
        proxy = context.proxies.get(event.proxy)
        if proxy is None:
            groups = len(self.pools.groups)
            proxy = ProxyState(event.proxy, groups, groups * len(context.proxies))
            context.proxies[event.proxy] = proxy
        proxy.zone = event.zone
        proxy.announced_rate = usable_rate(event.request_rate)
        proxy.request_rate = proxy.announced_rate
        proxy.rate_is_announced = True
        proxy.connected_at = context.now
        proxy.assigned = False
        self.restorations.reset(proxy)
        proxy.notified_endpoints = set()
        proxy.unnotified_since = context.now
        proxy.needs_table = False
        proxy.may_have_no_endpoint = False
        proxy.returned_endpoints = set()
        proxy.invalidate_tables()
        proxy.message_times.clear()
        proxy.previous_table_until = context.now + self._previous_table_lifetime() * (
            not event.bootstrap_only
        )
        context.connected[event.proxy] = proxy
        context.unassigned[event.proxy] = proxy

    def _previous_table_lifetime(self) -> float:
        """Return for how many seconds a proxy may keep the table of its previous controller.

        The previous controller had more reports than a controller that has just started. However,
        all entries of the table may have been withdrawn, and a proxy may be without entries only
        for a limited time. The table may also name endpoints that were gone before this controller
        started, and such endpoints must not be used for longer than the drain grace.
        """
        return max_safe_wait(self.context.settings) * PREVIOUS_TABLE_FRACTION

    def on_disconnected(self, event: ProxyDisconnected) -> None:
        """Remove the proxy from the connected ones, and its entries from the channel backlog."""
        context = self.context
        if event.proxy in context.connected:
            proxy = context.connected.pop(event.proxy)
            proxy.assigned = False
            self.restorations.reset(proxy)
            context.unassigned.pop(event.proxy, None)
            self.budget.backlog.remove_proxy(event.proxy)
