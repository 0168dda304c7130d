"""The event loop of a controller: collects events into batches and runs the planner on each batch.

All events that arrive in one iteration of the asyncio loop form one batch. The planner decides on
the whole batch, and every command that it returns is executed before the next batch begins.
`BatchLoop` uses no transport: a subclass submits events and overrides the hooks `on_batch_start`,
`send_messages`, `on_batch_end` and `stop`.
"""

import asyncio
import traceback
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from .. import interface
from .publisher import Messages, Publisher

MAX_LOGGED_EVENTS = 20  # event types in the log line of a failed decision

Log = Callable[..., None]  # log(event, **fields)
CommandHandler = Callable[[Any], None]  # handler(command), for commands of one type


class DecisionMaker(Protocol):
    """The planner's method that the batch loop calls."""

    def decide(self, now: float, events: Sequence[interface.Event], /) -> list[interface.Command]:
        """Return the commands for a batch of events; `now` is in seconds on the loop's clock."""


class BatchLoop:
    """Runs a planner on batches of events and executes its commands.

    `command_handlers` maps command types to their handlers; a subclass adds its own. Commands that
    concern proxies or DNS views pass through the publisher to `send_messages`. Commands without a
    handler are ignored.
    """

    def __init__(self, planner: DecisionMaker, log: Log) -> None:
        self.planner = planner
        self.log = log
        self.loop = asyncio.get_running_loop()
        # Completed when the controller has ended, with the reason: "stopped", or the error.
        self.ended: asyncio.Future[str] = self.loop.create_future()
        self.publisher = Publisher()
        self.inbox: list[interface.Event] = []  # events for the next batch
        self.batch_scheduled = False
        self.batch_started_at = 0.0  # seconds on the loop's clock
        self.batch_count = 0  # batches decided so far
        self.longest_decision = 0.0  # seconds
        self.command_handlers: dict[type, CommandHandler] = {
            interface.SetTimer: self.set_timer,
            interface.LogMessage: self.log_message,
        }

    # Hooks for subclasses.

    def on_batch_start(self, now: float) -> None:
        """Add further events to the inbox for the batch that begins."""

    def send_messages(
        self,
        now: float,
        commands: list[interface.Command],
        messages: Messages,
        nonces: dict[int, list[int]],
        /,
    ) -> None:
        """Send a batch's messages, with the nonces to acknowledge; both are keyed by subscriber.

        `commands` are all commands of the batch.
        """

    def on_batch_end(self, now: float, events: list[interface.Event]) -> None:
        """Run after a batch, when all of its commands have been executed."""

    def stop(self, reason: str = "stopped") -> None:
        """End the controller; `reason` becomes the result of `ended`."""
        raise NotImplementedError

    # Batches.

    def add_to_next_batch(self, event: interface.Event) -> None:
        """Add an event to the next batch without scheduling that batch."""
        self.inbox.append(event)

    def submit(self, event: interface.Event) -> None:
        """Add an event to the next batch, and schedule that batch for the loop's next iteration."""
        self.inbox.append(event)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.loop.call_soon(self.run_batch)

    def run_batch(self) -> None:
        """Let the planner decide on all collected events, and execute its commands."""
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
        """Run the handlers of a batch's commands, then send its messages.

        Handlers run first because they set the planner's timers: without timers the planner would
        never run again after an error in a message.
        """
        messages, nonces, local_commands = self.publisher.route(commands)
        for command in local_commands:
            handler = self.command_handlers.get(type(command))
            if handler is not None:
                handler(command)
        self.send_messages(now, commands, messages, nonces)

    def log_failure(self, error: Exception, events: list[interface.Event]) -> None:
        """Log the error of a failed decision, where it was raised, and the types of the events."""
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.log(
            "decide failed",
            error=repr(error),
            at=f"{frame.filename}:{frame.lineno}",
            events=[type(event).__name__ for event in events][:MAX_LOGGED_EVENTS],
        )

    def on_decision_failed(self, error: Exception, /) -> None:
        """Stop the controller after the planner has raised an exception.

        The planner's state may be inconsistent, and another controller of the fleet can take over.
        """
        self.stop(f"decide failed: {error!r}")

    # Command handlers.

    def set_timer(self, command: interface.SetTimer) -> None:
        """Schedule a timer of the current planner, due `delay` seconds after the batch's start."""
        due = self.batch_started_at + command.delay
        self.loop.call_later(
            command.delay, self.fire_timer_if_current, self.planner, command.token, due
        )

    def fire_timer_if_current(self, planner: object, token: int, due: float) -> None:
        """Fire a timer unless the planner that set it has been replaced."""
        if planner is self.planner:
            self.fire_timer(token, due)

    def fire_timer(self, token: int, due: float) -> None:
        """Submit the planner's timer event; `due` is the planned time on the loop's clock."""
        self.submit(interface.TimerFired(token))

    def log_message(self, command: interface.LogMessage) -> None:
        """Log the planner's message."""
        self.log("planner", text=command.text)
