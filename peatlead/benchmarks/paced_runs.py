"""A release as proxies see it: the planner's commands through the controller's channel."""

from collections import deque
from collections.abc import Sequence
from types import ModuleType
from typing import Union

from .. import interface
from ..controller.channel import Channel
from ..controller.publisher import Publisher
from ..controller.view_state import ViewState
from .planner_runs import REPLACED_FRACTION, SETTINGS, ZONES, PlannerRun, list_update

TURNAROUND = 1.0  # seconds between an endpoint's drain and its return
UTILIZATION = 0.5  # of a warm endpoint, where load is spread evenly
SETTLING_TICKS = 100  # after a release

Figures = dict[str, Union[int, float]]


class PacedRun(PlannerRun):
    """A run whose commands reach simulated proxies through the publisher and the paced channel.

    Each proxy brings `request_rate` requests a second and spreads them by its weights.
    `channel_rate` is in operations a second.
    """

    def __init__(
        self,
        planner_module: ModuleType,
        endpoints: int,
        proxies: int,
        request_rate: float = 10.0,
        channel_rate: float = 4000.0,
    ) -> None:
        self.publisher = Publisher()
        self.channel = Channel(channel_rate, SETTINGS["message_head"], channel_rate)
        self.states: dict[int, ViewState] = {}  # what each proxy holds
        self.request_rate = request_rate
        self.sent_at: dict[int, deque[float]] = {}  # of each proxy's recent messages
        self.operations = 0  # sent to all proxies
        self.most_messages = 0  # to one proxy within the span of the settings
        self.without_entries = 0  # proxies at a check, summed over the checks
        self.longest = 0.0  # CPU seconds of one batch
        self.spent = 0.0  # CPU seconds of all batches
        self.worst_cold_load = 0.0  # of a cold endpoint, as a part of what overloads it
        self.acknowledged: list[interface.Acknowledged] = []  # of the next batch
        super().__init__(planner_module, endpoints, proxies)
        self.planner.settings.update(channel_rate=channel_rate, queue_most=channel_rate)

    def decide(self, events: Sequence[interface.Event]) -> float:
        """Give the planner a batch and its proxies' acknowledgements, and deliver what is due."""
        spent, commands = self.decide_batch([*events, *self.acknowledged])
        self.acknowledged = []
        self.spent += spent
        self.longest = max(self.longest, spent)
        routed = self.publisher.route(commands)
        for proxy in sorted(routed.messages):
            self.channel.enqueue(
                self.now, proxy, routed.messages[proxy], routed.nonces.get(proxy, ())
            )
        for proxy, message in self.channel.take_due(self.now):
            self.acknowledged += [
                interface.Acknowledged(proxy, nonce, self.now - message.enqueued_at)
                for nonce in message.nonces
            ]
            self.count_message(proxy)
            self.operations += len(message.operations)
            self.states[proxy].apply(message.operations)
        return spent

    def count_message(self, proxy: int) -> None:
        """Count a message of now among the recent ones of its proxy."""
        times = self.sent_at.setdefault(proxy, deque())
        times.append(self.now)
        while self.now - times[0] > SETTINGS["messages_span"]:
            times.popleft()
        self.most_messages = max(self.most_messages, len(times))

    def join(self) -> list[float]:
        """Connect all proxies and wait until each holds its tables."""
        for proxy in range(self.proxies):
            self.publisher.join(proxy, enforces_admission=True)
            self.states[proxy] = ViewState()
        spent = self.decide_all(
            [
                interface.ProxyConnected(proxy, proxy % ZONES, self.request_rate, True)
                for proxy in range(self.proxies)
            ]
        )
        while any(not state.assigned_tables for state in self.states.values()):
            self.ticks(1)
        return spent

    def check(self) -> None:
        """Count proxies without an entry, and find the most that a cold endpoint gets."""
        load: dict[int, float] = {}  # requests a second, by endpoint
        for state in self.states.values():
            entries = state.weights(0)
            total = sum(entries.values())
            self.without_entries += not entries
            for number, weight in entries.items():
                load[number] = load.get(number, 0.0) + self.request_rate * weight / total
        usual = self.request_rate * self.proxies / self.endpoints
        for endpoint in self.planner.endpoints.values():
            if endpoint.cold_since is not None and endpoint.phase == "ready":
                warm = min(1.0, (self.now - endpoint.cold_since) / SETTINGS["warm_after"])
                able = SETTINGS["cold_share"] + (1 - SETTINGS["cold_share"]) * warm
                part = load.get(endpoint.id, 0.0) / usual * UTILIZATION
                part /= able * SETTINGS["tip_multiple"]
                self.worst_cold_load = max(self.worst_cold_load, part)

    def replace(self, seconds: float = 30.0) -> Figures:
        """Replace nearly all endpoints one by one: each drains, and returns cold after a second."""
        count = int(self.endpoints * REPLACED_FRACTION)
        start = self.now
        returning: list[tuple[float, int]] = []  # (when, endpoint)
        drained = 0
        while drained < count or returning:
            events: list[interface.Event] = [interface.TimerFired(0)]
            due = min(count, int((self.now - start) / seconds * count) + 1)
            if due > drained:
                events.append(list_update(2, range(drained, due), "draining"))
                returning += [(self.now + TURNAROUND, number) for number in range(drained, due)]
                drained = due
            ready = [number for at, number in returning if at <= self.now]
            if ready:
                returning = [(at, number) for at, number in returning if at > self.now]
                events.append(list_update(2, ready, "ready", self.now))
            self.now += 0.1
            self.decide(events)
            if round(self.now * 10) % 5 == 0:
                self.check()
        self.settle()
        return self.figures()

    def settle(self) -> None:
        """Let the last endpoints warm up, with a check at each tick."""
        for _ in range(SETTLING_TICKS):
            self.ticks(1)
            self.check()

    def figures(self) -> Figures:
        """Return what the run has measured so far."""
        return {
            "lines a proxy": round(self.operations / self.proxies, 1),
            "messages a proxy in 10 s, most": self.most_messages,
            "queue, deepest part": round(self.channel.peak_size / self.channel.max_size, 2),
            "proxies without a line": self.without_entries,
            "cold host, most of what tips it": round(self.worst_cold_load, 3),
            "CPU s": round(self.spent, 2),
            "longest batch ms": round(self.longest * 1000, 1),
        }
