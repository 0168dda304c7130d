"""Sends the channel's messages to DNS views and proxies at the channel's rate."""

import asyncio
from typing import TYPE_CHECKING

from .. import interface
from ..dns.views import View
from .dns_publication import ViewService
from .message import Message
from .published_items import EndpointWeights

if TYPE_CHECKING:
    from .controller import Controller

MAX_MESSAGES_PER_CALLBACK = 300  # bounds the time that one callback blocks the event loop


class MessagePump:
    """Sends the messages that are due, and sets a timer for the next message."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._timer: asyncio.TimerHandle | None = None

    def send_due(self) -> None:
        """Send the messages that may leave now, and schedule the next call if any remain."""
        controller = self._controller
        now = controller.loop.time()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        changed_tables: dict[ViewService, EndpointWeights] = {}
        for subscriber, message in controller.channel.take_due(now, MAX_MESSAGES_PER_CALLBACK):
            for nonce in message.nonces:
                delay = now - message.enqueued_at
                controller.add_to_next_batch(interface.Acknowledged(subscriber, nonce, delay))
            controller.propagation.message_dequeued(subscriber)
            view = controller.views.by_number.get(subscriber)
            if view is None:
                self._send_to_proxy(now, subscriber, message)
            else:
                changed_tables.update(self._send_to_view(now, view, message))
        if changed_tables:
            controller.dns_publication.update_answers(changed_tables, ())
        if controller.channel.next_due_at is not None:
            due_at = max(now, controller.channel.next_due_at)
            self._timer = controller.loop.call_at(due_at, self.send_due)

    def _send_to_proxy(self, now: float, subscriber: int, message: Message) -> None:
        proxies = self._controller.proxies
        session = proxies.apply(subscriber, message) if proxies else None
        if proxies is not None and session is not None:
            self._publish_to_feed(now, session.node.name, message, proxies.line_counts(session))

    def _send_to_view(
        self, now: float, view: View, message: Message
    ) -> dict[ViewService, EndpointWeights]:
        tables = self._controller.dns_publication.apply(now, view, message)
        self._publish_to_feed(now, view.name, message, [len(table) for table in tables])
        return {(view.index, service): table for service, table in enumerate(tables)}

    def _publish_to_feed(
        self, now: float, name: str, message: Message, line_counts: list[int]
    ) -> None:
        """Publish a sent message on the control socket's feed."""
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
