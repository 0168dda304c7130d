"""Admission of proxies: a connecting proxy joins, must wait, or is redirected to its owner."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ..fleet.membership import MemberInfo
from ..fleet.ownership import Ownership, OwnershipReport, explain_ownership, rank_controllers
from ..grpc.framing import StatusCode
from ..grpc.proxy_node import ProxyNode
from ..grpc.server import GrpcServer

if TYPE_CHECKING:
    from .controller import Controller

WAIT_METADATA = "peatlead_wait"  # seconds until a proxy should connect again
OWNER_METADATA = "peatlead_owner"  # ADDRESS:PORT of the controller that should own the proxy
CONTROLLERS_METADATA = "peatlead_controllers"  # NAME=ADDRESS:PORT,..., best first

Metadata = dict[str, str]
"""Trailing metadata of a gRPC stream."""


class Refusal(NamedTuple):
    """The gRPC status that ends a proxy's stream."""

    status: int
    text: str
    metadata: Metadata


class Admission(NamedTuple):
    """An admission decision: the epoch of an admitted proxy, or the refusal."""

    epoch: int
    refusal: Refusal | None


def delay_join(reason: str, seconds: float) -> Admission:
    """Return the decision for a proxy that should connect again after `seconds`."""
    return Admission(0, Refusal(StatusCode.UNAVAILABLE, reason, {WAIT_METADATA: f"{seconds:.3f}"}))


class ProxyAdmission:
    """Decides whether connecting proxies may join, and redirects proxies whose owner has changed.

    `ownership` and `member_info` come from the fleet's gossip; they are None without a fleet.
    """

    def __init__(
        self,
        controller: "Controller",
        ownership: Ownership | None,
        member_info: Callable[[str], MemberInfo | None] | None,
    ) -> None:
        self._controller = controller
        self._ownership = ownership
        self._member_info = member_info
        self.joined_redirects = 0  # joined proxies that were redirected to another controller
        self.admission_redirects = 0  # connecting proxies that were redirected
        self.delayed_joins = 0  # connecting proxies that were told to wait

    def admit(self, node: ProxyNode) -> Admission:
        """Decide on a proxy that has connected."""
        # The proxy or this controller may know only an older epoch: the greater epoch is used.
        newest_epoch = max(node.epoch, self._controller.publication.newest_epoch(node.name))
        now = self._controller.loop.time()
        without_table = not any(node.held.values())
        delay = self._controller.overload.join_delay(now, without_table)
        if delay:
            self.delayed_joins += 1
            return delay_join("paced: more to do than time", delay)
        if self._ownership is None:
            return Admission(newest_epoch + 1, None)
        decision = self._ownership.admit(
            now, node.name, newest_epoch, node.hops, node.unreachable_controllers
        )
        if decision.admitted:
            return Admission(self._ownership.epochs[node.name], None)
        if decision.retry_delay:
            self.delayed_joins += 1
            return delay_join(decision.reason, decision.retry_delay)
        self.admission_redirects += 1
        refusal = Refusal(
            StatusCode.UNAVAILABLE, decision.reason, self._owner_metadata(decision.owner)
        )
        return Admission(0, refusal)

    def failover_metadata(self, node: ProxyNode) -> Metadata:
        """Return metadata that tells a joined proxy where to connect if this controller ends."""
        if self._ownership is None or self._member_info is None:
            return {}
        members = map(self._member_info, rank_controllers(node.name, self._ownership.controllers))
        addresses = [
            f"{member.name}={member.proxy_address[0]}:{member.proxy_address[1]}"
            for member in members
            if member and member.proxy_address
        ]
        return {CONTROLLERS_METADATA: ",".join(addresses)}

    def forget_proxy(self, name: str) -> None:
        """Forget a joined proxy that has left."""
        if self._ownership is not None:
            self._ownership.forget_proxy(name)

    def redirect_proxies(self, now: float, server: GrpcServer) -> None:
        """Redirect some of the joined proxies that another controller should own."""
        if self._ownership is None:
            return
        for name, owner in self._ownership.due_redirects(now):
            session = server.sessions.get(name)
            address = self._owner_metadata(owner)
            if session is not None and address:
                self.joined_redirects += 1
                session.redirect("another's by rank", **address)

    def explain(self, name: str, joined_at: float | None) -> OwnershipReport:
        """Return the facts that decide which controller owns a proxy. Raises RuntimeError."""
        if self._ownership is None:
            raise RuntimeError("this controller belongs to no fleet")
        return explain_ownership(self._ownership, name, joined_at, self._controller.loop.time())

    def _owner_metadata(self, owner: str) -> Metadata:
        member = self._member_info(owner) if self._member_info else None
        if not member or not member.proxy_address:
            return {}
        return {OWNER_METADATA: f"{member.proxy_address[0]}:{member.proxy_address[1]}"}
