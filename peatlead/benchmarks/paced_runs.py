"""Runs a release whose commands reach simulated proxies through the controller's channel."""

from collections import deque
from collections.abc import Sequence
from types import ModuleType
from typing import Union

from .. import interface
from ..controller.channel import Channel
from ..controller.publisher import Publisher
from ..controller.view_state import ViewState
from .planner_runs import REPLACED_FRACTION, SETTINGS, ZONES, PlannerRun, list_update

RESTART_TIME = 1.0  # seconds between an endpoint's drain and its return
UTILIZATION = 0.5  # utilization of a warm endpoint when load is evenly distributed
SETTLING_TICKS = 100  # ticks of 0.1 s after a release

Figures = dict[str, Union[int, float]]


class PacedRun(PlannerRun):
    """A run whose commands reach simulated proxies through the publisher and the paced channel.

    Each proxy sends `request_rate` requests per second, distributed by the weights of its table.
    `channel_rate` is in operations per second.
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
        self.views: dict[int, ViewState] = {}  # the state that each proxy holds
        self.request_rate = request_rate
        self.recent_messages: dict[int, deque[float]] = {}  # send times, by proxy
        self.operations = 0  # operations sent to all proxies together
        # Maximum number of messages to one proxy within `messages_span` seconds.
        self.max_messages = 0
        self.empty_proxies = 0  # proxies without entries, counted again in each check
        self.max_batch_cpu_time = 0.0  # CPU seconds of one batch
        self.cpu_time = 0.0  # CPU seconds of all batches
        # Maximum load of a cold endpoint, as a fraction of the overload threshold.
        self.max_cold_load = 0.0
        # Acknowledgements to deliver with the next batch of events.
        self.acknowledged: list[interface.Acknowledged] = []
        super().__init__(planner_module, endpoints, proxies)
        self.planner.settings.update(channel_rate=channel_rate, queue_most=channel_rate)

    def decide(self, events: Sequence[interface.Event]) -> float:
        """Pass events and acknowledgements to the planner, and deliver the messages that are due.

        Returns the CPU time.
        """
        cpu_time, commands = self.decide_batch([*events, *self.acknowledged])
        self.acknowledged = []
        self.cpu_time += cpu_time
        self.max_batch_cpu_time = max(self.max_batch_cpu_time, cpu_time)
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
            self.views[proxy].apply(message.operations)
        return cpu_time

    def count_message(self, proxy: int) -> None:
        """Record a message sent now, and update the maximum within `messages_span`."""
        times = self.recent_messages.setdefault(proxy, deque())
        times.append(self.now)
        while self.now - times[0] > SETTINGS["messages_span"]:
            times.popleft()
        self.max_messages = max(self.max_messages, len(times))

    def connect_proxies(self) -> list[float]:
        """Connect all proxies and run until each holds a table; returns the CPU times."""
        for proxy in range(self.proxies):
            self.publisher.join(proxy, enforces_admission=True)
            self.views[proxy] = ViewState()
        cpu_times = self.decide_all(
            [
                interface.ProxyConnected(proxy, proxy % ZONES, self.request_rate, True)
                for proxy in range(self.proxies)
            ]
        )
        while any(not view.assigned_tables for view in self.views.values()):
            self.run_ticks(1)
        return cpu_times

    def check_loads(self) -> None:
        """Count proxies without entries, and update the maximum load of a cold endpoint."""
        loads: dict[int, float] = {}  # requests per second, by endpoint
        for view in self.views.values():
            entries = view.weights(0)
            total = sum(entries.values())
            self.empty_proxies += not entries
            for number, weight in entries.items():
                loads[number] = loads.get(number, 0.0) + self.request_rate * weight / total
        mean_load = self.request_rate * self.proxies / self.endpoints
        for endpoint in self.planner.endpoints.values():
            if endpoint.cold_since is not None and endpoint.phase == "ready":
                warm_fraction = min(1.0, (self.now - endpoint.cold_since) / SETTINGS["warm_after"])
                capacity = SETTINGS["cold_share"] + (1 - SETTINGS["cold_share"]) * warm_fraction
                load_fraction = loads.get(endpoint.id, 0.0) / mean_load * UTILIZATION
                load_fraction /= capacity * SETTINGS["tip_multiple"]
                self.max_cold_load = max(self.max_cold_load, load_fraction)

    def replace_endpoints(self, seconds: float = 30.0) -> Figures:
        """Replace nearly all endpoints, one after the other, within some seconds.

        Each endpoint drains, and returns cold after RESTART_TIME.
        """
        count = int(self.endpoints * REPLACED_FRACTION)
        start = self.now
        returning: list[tuple[float, int]] = []  # (time, endpoint)
        drained_count = 0
        while drained_count < count or returning:
            events: list[interface.Event] = [interface.TimerFired(0)]
            due_count = min(count, int((self.now - start) / seconds * count) + 1)
            if due_count > drained_count:
                events.append(list_update(2, range(drained_count, due_count), "draining"))
                returning += [
                    (self.now + RESTART_TIME, number) for number in range(drained_count, due_count)
                ]
                drained_count = due_count
            returned = [number for at, number in returning if at <= self.now]
            if returned:
                returning = [(at, number) for at, number in returning if at > self.now]
                events.append(list_update(2, returned, "ready", self.now))
            self.now += 0.1
            self.decide(events)
            if round(self.now * 10) % 5 == 0:
                self.check_loads()
        self.settle()
        return self.figures()

    def settle(self) -> None:
        """Run until the last endpoints have warmed up, with a check at each tick."""
        for _ in range(SETTLING_TICKS):
            self.run_ticks(1)
            self.check_loads()

    def figures(self) -> Figures:
        """Return the measurements so far."""
        return {
            "operations per proxy": round(self.operations / self.proxies, 1),
            "max messages per proxy within 10 s": self.max_messages,
            "max queue length / limit": round(self.channel.peak_size / self.channel.max_size, 2),
            "proxies without entries": self.empty_proxies,
            "max load of a cold endpoint / overload threshold": round(self.max_cold_load, 3),
            "CPU s": round(self.cpu_time, 2),
            "longest batch ms": round(self.max_batch_cpu_time * 1000, 1),
        }
