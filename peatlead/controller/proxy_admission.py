"""Which proxies join here, which wait, and which are sent on to another controller of the fleet."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ..fleet.membership import MemberInfo
from ..fleet.ownership import Ownership, OwnershipReport, rank_controllers, why
from ..grpc.framing import StatusCode
from ..grpc.proxy_node import ProxyNode
from ..grpc.server import GrpcServer

if TYPE_CHECKING:
    from .controller import Controller

WAIT_METADATA = "peatlead_wait"  # seconds until a proxy should dial again
OWNER_METADATA = "peatlead_owner"  # ADDRESS:PORT of the controller that should have the proxy
CONTROLLERS_METADATA = "peatlead_controllers"  # NAME=ADDRESS:PORT,..., best first

Metadata = dict[str, str]
"""Trailing metadata of a gRPC stream."""


class Refusal(NamedTuple):
    """The gRPC status that ends a proxy's stream."""

    status: int
    text: str
    metadata: Metadata


class Admission(NamedTuple):
    """The epoch that a proxy is taken in with, or why it is not."""

    epoch: int
    refusal: Refusal | None


def wait_refusal(reason: str, seconds: float) -> Admission:
    """Return the answer to a proxy that should dial again later."""
    return Admission(0, Refusal(StatusCode.UNAVAILABLE, reason, {WAIT_METADATA: f"{seconds:.3f}"}))


class ProxyAdmission:
    """Decides on joins, and moves joined proxies whose owner has changed.

    `ownership` and `member_info` are those of the fleet, None for a controller that stands alone.
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
        self.moved = 0  # joined proxies that were sent to another controller
        self.sent_on = 0  # dialling proxies that were sent to another controller
        self.paced = 0  # dialling proxies that were told to wait

    def admit(self, node: ProxyNode) -> Admission:
        """Decide on a proxy that has dialled."""
        # Either side may have forgotten the epoch: the greater one counts.
        seen = max(node.epoch, self._controller.publication.newest_epoch(node.name))
        now = self._controller.loop.time()
        holds_no_table = not any(node.held.values())
        wait = self._controller.overload.join_delay(now, holds_no_table)
        if wait:
            self.paced += 1
            return wait_refusal("paced: more to do than time", wait)
        if self._ownership is None:
            return Admission(seen + 1, None)
        decision = self._ownership.admit(now, node.name, seen, node.hops, node.avoid)
        if decision.take:
            return Admission(self._ownership.epochs[node.name], None)
        if decision.wait:
            self.paced += 1
            return wait_refusal(decision.why, decision.wait)
        self.sent_on += 1
        refusal = Refusal(StatusCode.UNAVAILABLE, decision.why, self._address_of(decision.owner))
        return Admission(0, refusal)

    def hints(self, node: ProxyNode) -> Metadata:
        """Return where a proxy should dial, best first, when this controller ends."""
        if self._ownership is None or self._member_info is None:
            return {}
        members = map(self._member_info, rank_controllers(node.name, self._ownership.live))
        addresses = [
            f"{member.name}={member.orders[0]}:{member.orders[1]}"
            for member in members
            if member and member.orders
        ]
        return {CONTROLLERS_METADATA: ",".join(addresses)}

    def left(self, name: str) -> None:
        """Take that a joined proxy has gone."""
        if self._ownership is not None:
            self._ownership.left(name)

    def move_on(self, now: float, front: GrpcServer) -> None:
        """Send some proxies that another controller should own to that one."""
        if self._ownership is None:
            return
        for name, owner in self._ownership.moves(now):
            session = front.sessions.get(name)
            address = self._address_of(owner)
            if session is not None and address:
                self.moved += 1
                session.move("another's by rank", **address)

    def explain(self, name: str, joined_at: float | None) -> OwnershipReport:
        """Return for operators why a proxy is, or is not, this controller's."""
        if self._ownership is None:
            raise RuntimeError("expected a fleet")
        return why(self._ownership, name, joined_at, self._controller.loop.time())

    def _address_of(self, owner: str) -> Metadata:
        member = self._member_info(owner) if self._member_info else None
        if not member or not member.orders:
            return {}
        return {OWNER_METADATA: f"{member.orders[0]}:{member.orders[1]}"}
