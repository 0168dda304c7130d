"""Notifies proxies of endpoints that the list withdraws, and of endpoints that return.

A withdrawal is sent once. Proxies on this controller's tables lose the entries by separate writes.
Proxies that still wait for tables are notified of the endpoints that their previous table may name.
A notification costs one entry, whereas a whole table costs about a dozen and may have to wait for
room in the channel.
"""

from math import ceil

from ..interface import WithdrawEndpoint
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .endpoint_pools import EndpointPools
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .shuffle_sharding import MIN_ENDPOINTS_PER_ZONE, ShuffleSharding
from .table_assignment import TableAssignment

# Times the size of a shard: the first endpoints of a proxy's order that its table may have named.
PREVIOUS_TABLE_FACTOR = 1.25
RETRIES_PER_GRACE = 4  # attempts within the drain grace to notify the remaining proxies


class Withdrawals:
    """Withdrawn endpoints, and which of the waiting proxies were notified of them."""

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
        self.pending: list[int] = []  # ids of the endpoints withdrawn in this batch
        self.withdrawal_count = 0  # number of withdrawals so far
        self.retry_at = 0.0  # seconds, when the remaining proxies may be notified

    def set_withdrawn(self, endpoint: EndpointState, withdrawn: bool) -> None:
        """Record that the list withdraws or restores the endpoint."""
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
        self.pending.append(endpoint.id)
        self.withdrawal_count += 1
        # Channels that notify the subscribers themselves send one more entry.
        for number in endpoint.notified_proxies:
            if number in context.connected:
                self.budget.backlog.add(number, 1, False)

    def _restore(self, endpoint: EndpointState) -> None:
        context = self.context
        context.commands.append(WithdrawEndpoint(endpoint.id, False))
        for proxy in context.unassigned.values():
            proxy.notified_endpoints.discard(endpoint.id)
        for number in endpoint.notified_proxies:
            if number in context.connected:
                self.budget.spend(context.connected[number], 1)
        endpoint.notified_proxies = {}

    def send(self) -> None:
        """Emit this batch's withdrawals, and earlier ones for waiting proxies not notified yet."""
        notify: dict[int, list[int]] = {endpoint: [] for endpoint in self.pending}
        self.pending = []
        if notify or self.context.now >= self.retry_at:
            self._notify_waiting(notify)
        self.context.commands += [
            WithdrawEndpoint(endpoint, True, tuple(proxies)) for endpoint, proxies in notify.items()
        ]

    def _notify_waiting(self, notify: dict[int, list[int]]) -> None:
        """Add the unnotified waiting proxies to `notify`, by endpoint, as far as there is room."""
        context = self.context
        unnotified = self._unnotified()
        grace = context.settings["drain_grace"]
        self.retry_at = context.now + grace / RETRIES_PER_GRACE if unnotified else 0.0
        overhead = context.settings["message_head"]
        total_entries = 0.0
        for proxy in unnotified:
            endpoints = self._likely_in_previous_table(proxy) - proxy.notified_endpoints
            total_entries += len(endpoints) + overhead + 1
            if not self.budget.has_room_for_withdrawals(
                total_entries, len(endpoints) + overhead + 1
            ):
                break  # the tables of the proxies take precedence
            proxy.seen_withdrawals = self.withdrawal_count
            proxy.notified_endpoints |= endpoints
            if endpoints:
                self.budget.spend(proxy, len(endpoints))
            for endpoint in sorted(endpoints):
                context.endpoints[endpoint].notified_proxies[proxy.number] = True
                notify.setdefault(endpoint, []).append(proxy.number)

    def _unnotified(self) -> list[ProxyState]:
        """Return the waiting proxies to notify.

        If the tables of all of them fit in time, only proxies that keep their previous table are
        notified.
        """
        waiting = self.context.unassigned.values()
        unnotified = [proxy for proxy in waiting if proxy.seen_withdrawals < self.withdrawal_count]
        if unnotified and self.assignment.tables_fit_in_time():
            return [proxy for proxy in unnotified if self.assignment.keeps_previous_table(proxy)]
        return unnotified

    def _likely_in_previous_table(self, proxy: ProxyState) -> set[int]:
        """Return the ids of withdrawn endpoints that a waiting proxy's previous table may name.

        All controllers rank endpoints in the same order, so the previous table was drawn from the
        first endpoints of that order among those that were open at the time.
        """
        endpoints = self.context.endpoints
        endpoint_ids = {
            endpoint
            for entries in proxy.entries
            for endpoint in entries
            if endpoints[endpoint].withdrawn
        }
        for group in range(len(self.pools.groups)):
            shard = self.sharding.shard(proxy, group)
            for zone, pool in self.pools.earlier_endpoints(group, proxy.zone).items():
                open_now = len(shard.pools.get(zone, ()))
                chosen = len(shard.chosen.get(zone, ()))
                previous_count = max(MIN_ENDPOINTS_PER_ZONE, chosen * len(pool) / max(1, open_now))
                candidates = pool.top(proxy.key, ceil(PREVIOUS_TABLE_FACTOR * previous_count))
                endpoint_ids.update([endpoint.id for endpoint in candidates if endpoint.withdrawn])
        return endpoint_ids
