"""Restores endpoints that proxies may still eject since an earlier stream.

A proxy keeps its ejections after its stream has ended: another controller or an earlier process of
this one may have sent them, and no message tells which they are. A table entry has no effect while
its endpoint is ejected. Every endpoint of a proxy's tables is therefore restored once on each
stream, whatever this controller knows about the endpoint.

A restoration is an entry of the channel. Restorations of endpoints that this controller has
withdrawn are sent together with the table entries. All others are postponed while the channel is
busy, so that they delay neither tables nor removals.
"""

from collections.abc import Collection, Iterable

from ..interface import RestoreEndpoints
from .channel_budget import ChannelBudget
from .context import PlannerContext
from .proxy_state import ProxyState


class Restorations:
    """Tracks which endpoints each stream has restored, and emits the missing restorations.

    Without the setting `proxies_keep_ejections`, the channel itself restores endpoints, and only
    its entries are counted.
    """

    def __init__(self, context: PlannerContext, budget: ChannelBudget) -> None:
        self.context = context
        self.budget = budget
        # Proxies whose tables may name endpoints that are not restored: since when, in seconds, by
        # number. Those that have waited longest come first.
        self.pending_proxies: dict[int, float] = {}

    @property
    def is_required(self) -> bool:
        """Whether proxies keep ejections, so that the planner must restore endpoints itself."""
        return bool(self.context.settings.get("proxies_keep_ejections"))

    def reset(self, proxy: ProxyState) -> None:
        """Forget what a proxy's previous stream has restored."""
        proxy.restored_endpoints = set()
        self.pending_proxies.pop(proxy.number, None)

    def add_entries(self, proxy: ProxyState, endpoints: Collection[int]) -> None:
        """Restore endpoints, given by id, whose entries are sent to a proxy in this batch.

        Endpoints that this controller never withdrew are restored by `send`.
        """
        states = self.context.endpoints
        withdrawn_before = [endpoint for endpoint in endpoints if states[endpoint].ever_withdrawn]
        if not self.is_required:
            if withdrawn_before:
                self.budget.spend(proxy, len(withdrawn_before))
            return
        self.restore(proxy, withdrawn_before)
        if not proxy.restored_endpoints.issuperset(endpoints):
            self.pending_proxies.setdefault(proxy.number, self.context.now)

    def send(self) -> None:
        """Restore the remaining endpoints of the pending proxies, while the channel has room."""
        for number, pending_since in list(self.pending_proxies.items()):
            if not self.budget.has_room_for_restorations(self.context.now - pending_since):
                return
            proxy = self.context.connected[number]
            if self.budget.may_write(proxy):
                self._restore_remaining(proxy)

    def _restore_remaining(self, proxy: ProxyState) -> None:
        """Restore all endpoints of a proxy's tables except those that are withdrawn now.

        A withdrawn endpoint may become ready before its entry is removed, so the proxy stays
        pending until then.
        """
        endpoints = self.context.endpoints
        in_tables: set[int] = set().union(*proxy.entries)
        remaining = sorted(in_tables - proxy.restored_endpoints)
        ready = [endpoint for endpoint in remaining if not endpoints[endpoint].withdrawn]
        self.restore(proxy, ready)
        if len(ready) == len(remaining):
            del self.pending_proxies[proxy.number]

    def restore(self, proxy: ProxyState, endpoints: Iterable[int]) -> None:
        """Emit and count the restorations that the proxy's stream has not sent yet."""
        missing = tuple(
            endpoint for endpoint in endpoints if endpoint not in proxy.restored_endpoints
        )
        if missing:
            proxy.restored_endpoints.update(missing)
            self.context.commands.append(RestoreEndpoints(proxy.number, missing))
            self.budget.spend(proxy, len(missing))
