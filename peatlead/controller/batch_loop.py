"""The event loop of a controller: collects events into batches, one call of the planner each.

All events that arrive in one turn of the asyncio loop form one batch. The planner decides on the
whole batch, and every command that it returns is carried out before the next batch begins.
`BatchLoop` knows no transport: a subclass feeds it events and overrides the hooks `before`,
`offer`, `after` and `stop`.
"""

import asyncio
import traceback
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from .. import interface
from .publisher import Messages, Publisher

EVENTS_LOGGED = 20  # event types that the log line of a failed decision names

Log = Callable[..., None]  # log(event, **fields)
CommandHandler = Callable[[Any], None]  # takes a command of the type that it is registered for


class DecisionMaker(Protocol):
    """What the loop needs of a planner."""

    def decide(self, now: float, events: Sequence[interface.Event], /) -> list[interface.Command]:
        """Return the commands that follow from the events; `now` is in the loop's seconds."""


class BatchLoop:
    """Runs a planner on batches of events and carries out its commands.

    `carriers` maps command types to their handlers; a subclass adds its own.
    Commands that concern proxies or DNS views go through the publisher to `offer`; commands without
    a handler are ignored.
    """

    def __init__(self, planner: DecisionMaker, log: Log) -> None:
        self.planner = planner
        self.log = log
        self.loop = asyncio.get_running_loop()
        # Its result is the reason: "stopped", or the error.
        self.ended: asyncio.Future[str] = self.loop.create_future()
        self.publisher = Publisher()
        self.inbox: list[interface.Event] = []  # events of the next batch
        self.batch_scheduled = False
        self.batch_started_at = 0.0  # seconds on the loop's clock
        self.batch_count = 0  # batches
        self.longest_decision = 0.0  # seconds that the longest decision took
        self.command_handlers: dict[type, CommandHandler] = {
            interface.SetTimer: self.set_timer,
            interface.LogMessage: self.log_message,
        }

    # Hooks for subclasses.

    def on_batch_start(self, now: float) -> None:
        """Add to the inbox what else belongs to the batch that begins."""

    def send_messages(
        self,
        now: float,
        commands: list[interface.Command],
        messages: Messages,
        nonces: dict[int, list[int]],
        /,
    ) -> None:
        """Pass on a batch's messages and the nonces to acknowledge, both by subscriber.

        `commands` are all commands of the batch.
        """

    def on_batch_end(self, now: float, events: list[interface.Event]) -> None:
        """Do what follows a batch whose commands have all been carried out."""

    def stop(self, reason: str = "stopped") -> None:
        """End the controller; `reason` becomes the result of `ended`."""
        raise NotImplementedError

    # The loop.

    def submit_later(self, event: interface.Event) -> None:
        """Add an event to the next batch without scheduling one."""
        self.inbox.append(event)

    def submit(self, event: interface.Event) -> None:
        """Add an event to the next batch, which runs in the loop's next turn."""
        self.inbox.append(event)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.loop.call_soon(self.run_batch)

    def run_batch(self) -> None:
        """Run one batch: one decision on all collected events, and all of its commands."""
        self.batch_scheduled = False
        if self.ended.done():
            return
        now = self.loop.time()
        self.batch_started_at = now
        self.on_batch_start(now)
        events = self.inbox
        self.inbox = []
        try:
            commands = self.planner.decide(now, events)
        except Exception as error:
            self.log_failure(error, events)
            self.on_decision_failed(error)
            return
        self.batch_count += 1
        self.longest_decision = max(self.longest_decision, self.loop.time() - now)
        self.execute_commands(now, commands)
        self.on_batch_end(now, events)

    def execute_commands(self, now: float, commands: list[interface.Command]) -> None:
        """Run the handlers of a batch's commands, then offer its messages.

        Handlers come first: a planner whose timers are lost to an error in a message would never
        run again.
        """
        messages, nonces, others = self.publisher.route(commands)
        for command in others:
            handler = self.command_handlers.get(type(command))
            if handler is not None:
                handler(command)
        self.send_messages(now, commands, messages, nonces)

    def log_failure(self, error: Exception, events: list[interface.Event]) -> None:
        """Log where a decision failed, and on which events."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.log(
            "decide failed",
            error=repr(error),
            at=f"{frame.filename}:{frame.lineno}",
            events=[type(event).__name__ for event in events][:EVENTS_LOGGED],
        )

    def on_decision_failed(self, error: Exception, /) -> None:
        """Stop after a decision that raised.

        The planner's state may be inconsistent, and another controller of the fleet can take over.
        """
        self.stop(f"decide failed: {error!r}")

    # Handlers of commands.

    def set_timer(self, command: interface.SetTimer) -> None:
        """Schedule a timer of the current planner, due `delay` seconds after the batch began."""
        due = self.batch_started_at + command.delay
        self.loop.call_later(
            command.delay, self.fire_timer_if_current, self.planner, command.token, due
        )

    def fire_timer_if_current(self, planner: object, token: int, due: float) -> None:
        """Fire a timer unless the planner that set it has been replaced."""
        if planner is self.planner:
            self.fire_timer(token, due)

    def fire_timer(self, token: int, due: float) -> None:
        """Report a timer to the planner that was due at `due`, in seconds on the loop's clock."""
        self.submit(interface.TimerFired(token))

    def log_message(self, command: interface.LogMessage) -> None:
        """Write the planner's line to the log."""
        self.log("planner", text=command.text)
