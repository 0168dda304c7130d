"""Whether DNS answers may be given: after a stall they may name endpoints that have gone.

After a stall the endpoint list is read first; answers go out again once the withdrawals that follow
from it have left the channel. Until then queries are left to the other controllers.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .controller import Controller

PERIODS_IN_BARE_LIMIT = 4  # answers stay fresh for this part of the settings' `bare_most`


class AnswerFreshness:
    """Keeps the time up to which the DNS server may answer."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._front = controller.dns_server
        self._period: float = controller.settings["limits"]["bare_most"] / PERIODS_IN_BARE_LIMIT
        self._recovering = False  # the list was fetched after a stall, answers wait for it

    @property
    def fresh(self) -> bool:
        """Whether answers may be given now."""
        return bool(self._front.fresh_until >= self._controller.loop.time())

    def check(self, now: float) -> None:
        """Find out whether this controller stood still for longer than answers may be trusted."""
        stalled = 0 < self._front.fresh_until < now
        if not stalled or self._recovering:
            return
        self._recovering = True
        self._controller.log(
            "stood still",
            seconds=round(now - self._front.fresh_until + self._period, 3),
            unanswered=self._front.unanswered,
        )
        self._controller.endpoint_lists.source.fetch(now)

    def renew(self, now: float) -> None:
        """Allow answers for another period, after a stall only once the channel is empty."""
        if self._front.fresh_until >= now or not self._controller.channel.queue:
            self._front.fresh_until = now + self._period
            self._recovering = False

    def end(self) -> None:
        """Forbid all further answers."""
        self._front.fresh_until = 0.0
