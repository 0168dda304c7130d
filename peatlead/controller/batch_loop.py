"""The batch loop of every steward, whatever its way in and out: inbox, timers, one decide, its orders carried.

    class Mine(Core): ...
    mine.hear(event)    # from any callback; all that comes in one turn of the loop is one batch

Subclasses fill in `before`, `offer`, `after` and `stop`, and put what they do with an order of a kind into
`carriers`. Orders of a kind that is not there are not for this steward and are passed over.
"""

import asyncio
import traceback

from .. import interface
from .channel import Publisher


class BatchLoop:
    """`planner` makes the decisions, `log(event, **fields)` tells of them. `ended` is a future: "stopped", or the
    error. `decided` counts batches, `slowest` is the longest decide, in seconds."""

    def __init__(self, planner, log):
        self.planner, self.log = planner, log
        self.loop = asyncio.get_running_loop()
        self.ended = self.loop.create_future()
        self.publisher = Publisher()
        self.inbox, self.step_due, self.begun, self.decided, self.slowest = [], False, 0.0, 0, 0.0
        self.carriers = {interface.SetTimer: self.set_timer, interface.LogMessage: self.log_line}

    # For subclasses.

    def before(self, now):
        """What else this batch is to hear goes into the inbox."""

    def offer(self, now, orders, messages, marks):
        """`messages`: {proxy: {op: value}} of the batch's `orders`; `marks`: {proxy: [number]}."""

    def after(self, now, events):
        """All of the batch's orders have been carried."""

    def stop(self, why="stopped"):
        raise NotImplementedError

    # The loop.

    def note(self, event):
        """It is early enough in the next batch, whenever that is."""
        self.inbox.append(event)

    def hear(self, event):
        self.inbox.append(event)
        if not self.step_due:
            self.step_due = True
            self.loop.call_soon(self.step)

    def step(self):
        """One batch: all that came in, one decide, all of its orders."""
        self.step_due = False
        if self.ended.done():
            return
        now = self.begun = self.loop.time()
        self.before(now)
        events, self.inbox = self.inbox, []
        try:
            orders = self.planner.decide(now, events)
        except Exception as problem:  # half decided is worse than dead: another steward answers
            trace = traceback.extract_tb(problem.__traceback__)[-1]
            self.log(
                "decide failed",
                error=repr(problem),
                at=f"{trace.filename}:{trace.lineno}",
                events=[type(event).__name__ for event in events][:20],
            )
            self.failed(problem)
            return
        self.decided += 1
        self.slowest = max(self.slowest, self.loop.time() - now)
        messages, marks, rest = self.publisher.take(orders)
        for (
            order
        ) in rest:  # before the messages: without its timers a planner would stand still for good
            carry = self.carriers.get(type(order))
            if carry is not None:
                carry(order)
        self.offer(now, orders, messages, marks)
        self.after(now, events)

    def failed(self, problem):
        """A decide raised: half decided is worse than dead, another steward answers."""
        self.stop(f"decide failed: {problem!r}")

    def set_timer(self, order):
        self.loop.call_later(
            order.delay, self.fire_of, self.planner, order.token, self.begun + order.delay
        )

    def fire_of(self, planner, token, due):
        if planner is self.planner:  # else the planner that asked for it is no more
            self.fire(token, due)

    def fire(self, token, due):
        self.hear(interface.TimerFired(token))

    def log_line(self, order):
        self.log("planner", text=order.text)
