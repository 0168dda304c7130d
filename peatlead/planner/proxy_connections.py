"""Proxies that connect and disconnect."""

from ..interface import ProxyConnected, ProxyDisconnected
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .endpoint_pools import EndpointPools
from .proxy_state import ProxyState
from .zone_capacity import ZoneCapacity

PREVIOUS_TABLE_PART = 1 / 2  # of the longest time that a previous table may stand


class ProxyConnections:
    """Keeps the context's proxies."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        zone_capacity: ZoneCapacity,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.pools = pools
        self.zone_capacity = zone_capacity
        self.budget = budget

    def on_connected(self, event: ProxyConnected) -> None:
        """Take a proxy in: it waits for its tables."""
        context = self.context
        self.zone_capacity.request_update()
        proxy = context.proxies.get(event.proxy)
        if proxy is None:
            groups = len(self.pools.groups)
            proxy = ProxyState(event.proxy, groups, groups * len(context.proxies))
            context.proxies[event.proxy] = proxy
        proxy.zone = event.zone
        proxy.request_rate = event.request_rate
        proxy.connected_at = context.now
        proxy.assigned = False
        proxy.notified = set()
        proxy.notified_count = 0
        proxy.reset_draw()
        proxy.message_times.clear()
        proxy.previous_table_until = context.now + self._previous_table_lifetime() * (
            not event.bootstrap_only
        )
        context.connected[event.proxy] = proxy
        context.unassigned[event.proxy] = proxy

    def _previous_table_lifetime(self) -> float:
        """Seconds for which a previous table may stand: its controller knew more.

        But all its entries may be withdrawn by now; and it may name endpoints that had gone before
        this controller started, which must not stand for longer than the drain grace.
        """
        settings = self.context.settings
        without_entries = max(0.0, settings["bare_most"] - settings["push_delay_most"])
        return float(min(without_entries, settings["drain_grace"]) * PREVIOUS_TABLE_PART)

    def on_disconnected(self, event: ProxyDisconnected) -> None:
        """What was written to it and not sent yet waits no longer."""
        context = self.context
        if event.proxy in context.connected:
            context.connected.pop(event.proxy).assigned = False
            context.unassigned.pop(event.proxy, None)
            self.budget.backlog.disconnect(event.proxy)
