"""Decides whether the DNS server may answer.

After a stall of the controller its answers could name endpoints that have gone. The controller then
reads the endpoint list again, and the DNS server answers no queries until the resulting withdrawals
have left the channel. Meanwhile the other controllers answer the queries.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .controller import Controller

# After a renewal, answers are permitted for the setting `bare_most` divided by this number. The
# setting is the maximum time in seconds that a proxy may be without entries.
FRESH_PERIODS_IN_BARE_LIMIT = 4


class AnswerFreshness:
    """Maintains the time until which the DNS server may answer."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._dns_server = controller.dns_server
        self._fresh_duration: float = (
            controller.settings["limits"]["bare_most"] / FRESH_PERIODS_IN_BARE_LIMIT
        )
        self._recovering = False  # whether a stall was found and no renewal has followed

    @property
    def fresh(self) -> bool:
        """Whether answers may be given now."""
        return bool(self._dns_server.fresh_until >= self._controller.loop.time())

    def detect_stall(self, now: float) -> None:
        """If the last renewal has expired in a stall, log that and read the endpoint list again."""
        stalled = 0 < self._dns_server.fresh_until < now
        if not stalled or self._recovering:
            return
        self._recovering = True
        self._controller.log(
            "controller stalled",
            seconds=round(now - self._dns_server.fresh_until + self._fresh_duration, 3),
            unanswered=self._dns_server.unanswered_count,
        )
        self._controller.endpoint_lists.source.fetch(now)

    def renew(self, now: float) -> None:
        """Renew the permission to answer; after a stall only if the channel is empty."""
        if self._dns_server.fresh_until >= now or not self._controller.channel.queue:
            self._dns_server.fresh_until = now + self._fresh_duration
            self._recovering = False

    def forbid_answers(self) -> None:
        """Forbid all further answers."""
        self._dns_server.fresh_until = 0.0
