"""Sends the channel's messages to views and proxies as fast as the channel's rate allows."""

import asyncio
from typing import TYPE_CHECKING

from .. import interface
from ..dns.views import View
from .dns_publication import Seat
from .message import Message
from .published_items import EndpointWeights

if TYPE_CHECKING:
    from .controller import Controller

MESSAGES_EACH_CALLBACK = 300  # input that arrives meanwhile waits no longer than these take


class MessagePump:
    """Takes due messages out of the channel, and schedules itself for the next ones."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._timer: asyncio.TimerHandle | None = None

    def send_due(self) -> None:
        """Send what may leave now, and schedule the rest."""
        controller = self._controller
        now = controller.loop.time()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        changed: dict[Seat, EndpointWeights] = {}
        for number, message in controller.channel.take_due(now, MESSAGES_EACH_CALLBACK):
            for nonce in message.nonces:
                delay = now - message.enqueued_at
                controller.submit_later(interface.Acknowledged(number, nonce, delay))
            controller.propagation.left(number)
            view = controller.views.by_number.get(number)
            if view is None:
                self._send_to_proxy(now, number, message)
            else:
                changed.update(self._send_to_view(now, view, message))
        if changed:
            controller.dns_publication.update_answers(changed, ())
        if controller.channel.next_due_at is not None:
            due_at = max(now, controller.channel.next_due_at)
            self._timer = controller.loop.call_at(due_at, self.send_due)

    def _send_to_proxy(self, now: float, number: int, message: Message) -> None:
        proxies = self._controller.proxies
        session = proxies.apply(number, message) if proxies else None
        if proxies is not None and session is not None:
            self._feed(now, session.node.name, message, proxies.line_counts(session))

    def _send_to_view(
        self, now: float, view: View, message: Message
    ) -> dict[Seat, EndpointWeights]:
        tables = self._controller.dns_publication.apply(now, view, message)
        self._feed(now, view.name, message, [len(table) for table in tables])
        return {(view.index, service): table for service, table in enumerate(tables)}

    def _feed(self, now: float, name: str, message: Message, line_counts: list[int]) -> None:
        """Report a sent message to the operators that follow the feed."""
        controller = self._controller
        controller.control_socket.publish(
            {
                "at": now,
                "steward": controller.own_settings["name"],
                "view": name,
                "lines": len(message.operations),
                "offered": message.enqueued_at,
                "waiting": controller.channel.size,
                "most": controller.channel.max_size,
                "held": line_counts,
            }
        )
