"""Notifies proxies of endpoints that the list withdraws, and of those that come back.

A withdrawal is sent once. Proxies on this controller's tables lose the entries by writes of their
own; proxies that still wait for tables are notified of the endpoints that their previous table may
name: an entry each, where a whole table takes a dozen and may wait for room.
"""

from math import ceil

from ..interface import WithdrawEndpoint
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .endpoint_pools import EndpointPools
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .shuffle_sharding import LEAST_A_ZONE, ShuffleSharding
from .table_assignment import TableAssignment

PREVIOUS_TABLE_DEPTH = (
    1.25  # of a shard: the first of a proxy's order that its previous table may name
)
RETRIES_PER_GRACE = 4  # times within the drain grace that unnotified proxies are looked at again


class Withdrawals:
    """Withdrawn endpoints, and which of the waiting proxies were notified."""

    def __init__(
        self,
        context: PlannerContext,
        pools: EndpointPools,
        sharding: ShuffleSharding,
        assignment: TableAssignment,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.pools = pools
        self.sharding = sharding
        self.assignment = assignment
        self.budget = budget
        self.new: list[int] = []  # ids of the endpoints withdrawn in this batch
        self.count = 0  # withdrawals so far
        self.retry_at = 0.0  # seconds, when unnotified proxies are looked at again

    def set_withdrawn(self, endpoint: EndpointState, withdrawn: bool) -> None:
        """Note that the list withdraws the endpoint, or restores it."""
        endpoint.withdrawn = withdrawn
        endpoint.withdrawn_at = self.context.now
        endpoint.ever_withdrawn = True
        if withdrawn:
            self._withdraw(endpoint)
        else:
            self._restore(endpoint)

    def _withdraw(self, endpoint: EndpointState) -> None:
        context = self.context
        endpoint.unusable_since = context.now
        endpoint.notified_proxies = dict.fromkeys(
            context.subscriber_index.subscribers(endpoint.id), True
        )
        self.new.append(endpoint.id)
        self.count += 1
        for (
            number
        ) in endpoint.notified_proxies:  # an entry more on channels that notify holders too
            if number in context.connected:
                self.budget.backlog.add(number, 1, False)

    def _restore(self, endpoint: EndpointState) -> None:
        context = self.context
        context.commands.append(WithdrawEndpoint(endpoint.id, False))
        for proxy in context.unassigned.values():
            proxy.notified.discard(endpoint.id)
        for number in endpoint.notified_proxies:
            if number in context.connected:
                self.budget.spend(context.connected[number], 1)
        endpoint.notified_proxies = {}

    def send(self) -> None:
        """Emit this batch's withdrawals, and earlier ones for waiting proxies not notified yet."""
        notify: dict[int, list[int]] = {endpoint: [] for endpoint in self.new}
        self.new = []
        if notify or self.context.now >= self.retry_at:
            self._notify_waiting(notify)
        self.context.commands += [
            WithdrawEndpoint(endpoint, True, tuple(proxies)) for endpoint, proxies in notify.items()
        ]

    def _notify_waiting(self, notify: dict[int, list[int]]) -> None:
        """Add the waiting proxies that weren't notified, by endpoint, as far as there is room."""
        context = self.context
        unnotified = self._unnotified()
        grace = context.settings["drain_grace"]
        self.retry_at = context.now + grace / RETRIES_PER_GRACE if unnotified else 0.0
        overhead = context.settings["message_head"]
        total = 0.0
        for proxy in unnotified:
            endpoints = self._likely_in_previous_table(proxy) - proxy.notified
            total += len(endpoints) + overhead + 1
            if not self.budget.has_room_for_withdrawals(total, len(endpoints) + overhead + 1):
                break  # their tables come first
            proxy.notified_count = self.count
            proxy.notified |= endpoints
            if endpoints:
                self.budget.spend(proxy, len(endpoints))
            for endpoint in sorted(endpoints):
                context.endpoints[endpoint].notified_proxies[proxy.number] = True
                notify.setdefault(endpoint, []).append(proxy.number)

    def _unnotified(self) -> list[ProxyState]:
        """Waiting proxies to notify: where tables come in time, those that keep theirs for now."""
        waiting = self.context.unassigned.values()
        unnotified = [proxy for proxy in waiting if proxy.notified_count < self.count]
        if unnotified and self.assignment.tables_fit():
            return [proxy for proxy in unnotified if self.assignment.keeps_previous_table(proxy)]
        return unnotified

    def _likely_in_previous_table(self, proxy: ProxyState) -> set[int]:
        """Ids of withdrawn endpoints that a waiting proxy's previous table may name.

        Every controller ranks endpoints alike: the table was drawn from the first of the proxy's
        order among those that were open then.
        """
        endpoints = self.context.endpoints
        named = {
            endpoint
            for entries in proxy.entries
            for endpoint in entries
            if endpoints[endpoint].withdrawn
        }
        for group in range(len(self.pools.groups)):
            shard = self.sharding.shard(proxy, group)
            for zone, pool in self.pools.earlier_endpoints(group, proxy.zone).items():
                open_now = len(shard.zones.get(zone, ()))
                chosen = len(shard.chosen.get(zone, ()))
                then = max(LEAST_A_ZONE, chosen * len(pool) / max(1, open_now))
                first = pool.top(proxy.key, ceil(PREVIOUS_TABLE_DEPTH * then))
                named.update([endpoint.id for endpoint in first if endpoint.withdrawn])
        return named
