"""Notifies proxies of endpoints that the list withdraws, and of endpoints that return.

A withdrawal is sent once. Proxies with tables of this controller lose the endpoint's entries by
separate writes. Proxies that still wait for tables are notified of the endpoints that their
previous table may name. A notification costs one entry, whereas a whole table costs about a dozen
entries and may have to wait for room in the channel.
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

# Factor for the size of a shard: how many of the first endpoints in a proxy's order its previous
# table may have named.
PREVIOUS_TABLE_FACTOR = 1.25
RETRIES_PER_GRACE = 4  # attempts to notify the remaining proxies, within the drain grace


class Withdrawals:
    """Emits withdrawals, and tracks which waiting proxies were notified of withdrawn endpoints."""

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
        self.newly_withdrawn: list[int] = []  # ids of endpoints withdrawn in this batch
        self.withdrawal_count = 0  # withdrawals since the start
        self.retry_at = 0.0  # seconds, when the remaining proxies are notified next

    def set_withdrawn(self, endpoint: EndpointState, withdrawn: bool) -> None:
        """Withdraw or restore the endpoint, as the list requires."""
        endpoint.withdrawn = withdrawn
        endpoint.withdrawn_at = self.context.now
        endpoint.ever_withdrawn = True
        if withdrawn:
            self._withdraw(endpoint)
        else:
            self._restore(endpoint)

    def _withdraw(self, endpoint: EndpointState) -> None:
        """Add the endpoint to the withdrawals of this batch, and count the entries for channels."""
        context = self.context
        endpoint.unusable_since = context.now
        endpoint.notified_proxies = dict.fromkeys(
            context.subscriber_index.subscribers(endpoint.id), True
        )
        self.newly_withdrawn.append(endpoint.id)
        self.withdrawal_count += 1
        # Channels that notify the subscribers by themselves send one entry more to each of them.
        for number in endpoint.notified_proxies:
            if number in context.connected:
                self.budget.backlog.add_entries(number, 1, False)

    def _restore(self, endpoint: EndpointState) -> None:
        """Emit the restoration, and count one entry for each proxy that was notified."""
        context = self.context
        context.commands.append(WithdrawEndpoint(endpoint.id, False))
        for proxy in context.unassigned.values():
            proxy.notified_endpoints.discard(endpoint.id)
        for number in endpoint.notified_proxies:
            if number in context.connected:
                self.budget.spend(context.connected[number], 1)
        for number in endpoint.ejecting_proxies:
            if number in context.connected:
                context.connected[number].restored_endpoints.add(endpoint.id)
        endpoint.notified_proxies = {}
        endpoint.ejecting_proxies = set()

    def send(self) -> None:
        """Emit the withdrawals of this batch.

        Earlier withdrawals are emitted for waiting proxies that were not notified yet.
        """
        proxies_to_notify: dict[int, list[int]] = {
            endpoint: [] for endpoint in self.newly_withdrawn
        }
        self.newly_withdrawn = []
        if proxies_to_notify or self.context.now >= self.retry_at:
            self._notify_waiting(proxies_to_notify)
        self.context.commands += [
            WithdrawEndpoint(endpoint, True, tuple(proxies))
            for endpoint, proxies in proxies_to_notify.items()
        ]

    def _notify_waiting(self, proxies_to_notify: dict[int, list[int]]) -> None:
        """Add waiting proxies to `proxies_to_notify`, by endpoint, while the channel has room."""
        context = self.context
        unnotified = self._unnotified_proxies()
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
                break  # the proxies' tables take precedence
            proxy.seen_withdrawal_count = self.withdrawal_count
            proxy.notified_endpoints |= endpoints
            proxy.restored_endpoints -= endpoints
            if endpoints:
                self.budget.spend(proxy, len(endpoints))
            for endpoint in sorted(endpoints):
                context.endpoints[endpoint].notified_proxies[proxy.number] = True
                context.endpoints[endpoint].ejecting_proxies.add(proxy.number)
                proxies_to_notify.setdefault(endpoint, []).append(proxy.number)

    def _unnotified_proxies(self) -> list[ProxyState]:
        """Return the waiting proxies that must be notified of a withdrawal.

        If all waiting proxies get their tables in time, only those that keep their previous table
        must be notified.
        """
        waiting = self.context.unassigned.values()
        unnotified = [
            proxy for proxy in waiting if proxy.seen_withdrawal_count < self.withdrawal_count
        ]
        if unnotified and self.assignment.tables_fit_in_time():
            return [proxy for proxy in unnotified if self.assignment.keeps_previous_table(proxy)]
        return unnotified

    def _likely_in_previous_table(self, proxy: ProxyState) -> set[int]:
        """Return the ids of withdrawn endpoints that a waiting proxy's previous table may name.

        All controllers rank endpoints in the same order, so the previous table was drawn from the
        first endpoints of that order among those that the list at that time allowed.
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
            for zone, pool in self.pools.previously_allowed_pools(group, proxy.zone).items():
                current_pool_size = len(shard.pools.get(zone, ()))
                current_count = len(shard.endpoints_by_zone.get(zone, ()))
                previous_count = max(
                    MIN_ENDPOINTS_PER_ZONE, current_count * len(pool) / max(1, current_pool_size)
                )
                candidates = pool.top(proxy.key, ceil(PREVIOUS_TABLE_FACTOR * previous_count))
                endpoint_ids.update([endpoint.id for endpoint in candidates if endpoint.withdrawn])
        return endpoint_ids
