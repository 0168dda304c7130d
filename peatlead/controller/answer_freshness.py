"""Decides whether DNS answers may be given: after a stall they may name endpoints that have gone.

After a stall the endpoint list is read first. Answers resume when the resulting withdrawals have
left the channel. Until then the other controllers answer the queries.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .controller import Controller

PERIODS_IN_BARE_LIMIT = 4  # answers stay fresh for `bare_most` seconds divided by this number


class AnswerFreshness:
    """Maintains the time until which the DNS server may answer."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._dns_server = controller.dns_server
        self._period: float = controller.settings["limits"]["bare_most"] / PERIODS_IN_BARE_LIMIT
        self._recovering = False  # whether answers wait for the list that is read after a stall

    @property
    def fresh(self) -> bool:
        """Whether answers may be given now."""
        return bool(self._dns_server.fresh_until >= self._controller.loop.time())

    def check(self, now: float) -> None:
        """Detect whether this controller stalled until after answers stopped being fresh."""
        stalled = 0 < self._dns_server.fresh_until < now
        if not stalled or self._recovering:
            return
        self._recovering = True
        self._controller.log(
            "controller stalled",
            seconds=round(now - self._dns_server.fresh_until + self._period, 3),
            unanswered=self._dns_server.unanswered_count,
        )
        self._controller.endpoint_lists.source.fetch(now)

    def renew(self, now: float) -> None:
        """Allow answers for another period; after a stall, only once the channel is empty."""
        if self._dns_server.fresh_until >= now or not self._controller.channel.queue:
            self._dns_server.fresh_until = now + self._period
            self._recovering = False

    def end(self) -> None:
        """Forbid all further answers."""
        self._dns_server.fresh_until = 0.0
