"""Notifies proxies of endpoints that the list withdraws, and of endpoints that return.

A withdrawal is sent once. Proxies with tables of this controller lose the endpoint's entries by
separate writes. Proxies that still wait for tables are notified of the endpoints that their
previous table may name. The drain grace limits how long that may take, so notifications are sent
in the order of their deadlines and before any table: a notification is shorter than a table.
"""

from ..interface import WithdrawEndpoint
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .endpoint_state import EndpointState
from .previous_tables import PreviousTables
from .proxy_state import ProxyState
from .restorations import Restorations
from .table_assignment import TableAssignment

# A notification names all withdrawn endpoints if that costs at most this fraction of a table;
# otherwise it names those that the previous table is likely to name.
MAX_FULL_NOTIFICATION_COST = 1 / 2


class Withdrawals:
    """Emits withdrawals, and tracks which waiting proxies were notified of withdrawn endpoints."""

    def __init__(
        self,
        context: PlannerContext,
        previous_tables: PreviousTables,
        assignment: TableAssignment,
        restorations: Restorations,
        budget: ChannelBudget,
    ) -> None:
        self.context = context
        self.previous_tables = previous_tables
        self.assignment = assignment
        self.restorations = restorations
        self.budget = budget
        self.newly_withdrawn: list[int] = []  # ids of endpoints withdrawn in this batch

    def set_withdrawn(self, endpoint: EndpointState, withdrawn: bool) -> None:
        """Withdraw or restore the endpoint, as the list requires."""
        endpoint.withdrawn = withdrawn
        endpoint.withdrawn_at = self.context.now
        endpoint.ever_withdrawn = True
        if withdrawn:
            self._withdraw(endpoint)
            self._cancel_restorations(endpoint)
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
        # Channels that notify the subscribers by themselves send one entry more to each of them.
        for number in endpoint.notified_proxies:
            if number in context.connected:
                self.budget.backlog.add_entries(number, 1, False)

    def _restore(self, endpoint: EndpointState) -> None:
        """Restore the endpoint at the proxies that were notified, now or while there is room."""
        context = self.context
        notified = [number for number in endpoint.notified_proxies if number in context.connected]
        if self.restorations.is_required and not self.budget.has_room_for_entries(len(notified)):
            self._restore_later(endpoint)
            return
        context.commands.append(WithdrawEndpoint(endpoint.id, False))
        for proxy in context.unassigned.values():
            proxy.notified_endpoints.discard(endpoint.id)
        for number in notified:
            self.budget.spend(context.connected[number], 1)
        for number in endpoint.ejecting_proxies:
            if number in context.connected:
                context.connected[number].restored_endpoints.add(endpoint.id)
        endpoint.notified_proxies = {}
        endpoint.ejecting_proxies = set()

    def _restore_later(self, endpoint: EndpointState) -> None:
        """Note the endpoint for the proxies that eject it, to be restored while there is room.

        A proxy that has tables of this controller is sent the restoration with the new entry.
        """
        endpoint.notified_proxies = {}
        for proxy in self.context.unassigned.values():
            if endpoint.id in proxy.notified_endpoints:
                proxy.returned_endpoints.add(endpoint.id)

    def _cancel_restorations(self, endpoint: EndpointState) -> None:
        """Keep the ejections of an endpoint that is withdrawn before it was restored."""
        for proxy in self.context.unassigned.values():
            if endpoint.id in proxy.returned_endpoints:
                proxy.returned_endpoints.remove(endpoint.id)
                endpoint.notified_proxies[proxy.number] = True

    def send(self) -> None:
        """Emit the withdrawals of this batch.

        Earlier withdrawals are emitted for waiting proxies that were not notified yet.
        """
        proxies_to_notify: dict[int, list[int]] = {
            endpoint: [] for endpoint in self.newly_withdrawn
        }
        if self.newly_withdrawn:
            self._start_deadlines()
        self.newly_withdrawn = []
        self._notify_waiting(proxies_to_notify)
        self._restore_returned_endpoints()
        self.context.commands += [
            WithdrawEndpoint(endpoint, True, tuple(proxies))
            for endpoint, proxies in proxies_to_notify.items()
        ]

    def _start_deadlines(self) -> None:
        """Note for all waiting proxies that there are withdrawals they were not notified of."""
        for proxy in self.context.unassigned.values():
            proxy.needs_table = False
            if proxy.unnotified_since is None:
                proxy.unnotified_since = self.context.now

    def _notify_waiting(self, proxies_to_notify: dict[int, list[int]]) -> None:
        """Add waiting proxies to `proxies_to_notify`, by endpoint, while the channel has room."""
        for proxy in self._unnotified_proxies():
            endpoints = self._endpoints_to_name(proxy)
            if proxy.needs_table:
                continue
            cost = self.budget.message_cost(len(endpoints))
            if endpoints and not self.budget.has_room_for_withdrawals(cost):
                break
            self._notify(proxy, endpoints, proxies_to_notify)

    def _restore_returned_endpoints(self) -> None:
        """Restore endpoints at waiting proxies that still eject them, while there is room."""
        for proxy in self.context.unassigned.values():
            if not proxy.returned_endpoints:
                continue
            cost = self.budget.message_cost(len(proxy.returned_endpoints))
            if not self.budget.has_room_for_withdrawals(cost):
                return
            for endpoint in proxy.returned_endpoints:
                self.context.endpoints[endpoint].ejecting_proxies.discard(proxy.number)
            self.restorations.restore(proxy, sorted(proxy.returned_endpoints))
            proxy.notified_endpoints -= proxy.returned_endpoints
            proxy.returned_endpoints = set()

    def _notify(
        self, proxy: ProxyState, endpoints: set[int], proxies_to_notify: dict[int, list[int]]
    ) -> None:
        """Add a waiting proxy to `proxies_to_notify` for each of the endpoints."""
        proxy.unnotified_since = None
        proxy.notified_endpoints |= endpoints
        proxy.restored_endpoints -= endpoints
        if endpoints:
            self.budget.spend(proxy, len(endpoints))
        for endpoint in sorted(endpoints):
            state = self.context.endpoints[endpoint]
            state.notified_proxies[proxy.number] = True
            state.ejecting_proxies.add(proxy.number)
            proxies_to_notify.setdefault(endpoint, []).append(proxy.number)

    def _unnotified_proxies(self) -> list[ProxyState]:
        """Return the waiting proxies that must be notified, those with the first deadline first.

        If all waiting proxies get their tables in time, only those that keep their previous table
        must be notified.
        """
        unnotified = [
            proxy
            for proxy in self.context.unassigned.values()
            if proxy.unnotified_since is not None and not proxy.needs_table
        ]
        unnotified.sort(key=lambda proxy: proxy.unnotified_since or 0.0)
        if unnotified and self.assignment.tables_fit_in_time():
            return [proxy for proxy in unnotified if self.assignment.keeps_previous_table(proxy)]
        return unnotified

    def _endpoints_to_name(self, proxy: ProxyState) -> set[int]:
        """Return the withdrawn endpoints that a notification of the proxy names.

        Sets `needs_table` of a proxy that may have no endpoint left, or whose table can be sent at
        a lower cost: the table also ends the use of every endpoint that it does not name.
        """
        endpoints = self.previous_tables.possible(proxy) - proxy.notified_endpoints
        if not endpoints:
            return endpoints
        table_cost = self.assignment.expected_cost(proxy)
        proxy.may_have_no_endpoint = self.previous_tables.may_be_unusable(proxy)
        if self.budget.message_cost(len(endpoints)) > MAX_FULL_NOTIFICATION_COST * table_cost:
            endpoints = self.previous_tables.likely(proxy) - proxy.notified_endpoints
        cost = self.budget.message_cost(len(endpoints))
        proxy.needs_table = proxy.may_have_no_endpoint or cost >= table_cost
        return endpoints
