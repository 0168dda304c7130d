"""Hosts that work requests off and warm up after a start, and the check of the cold hosts' rule.

A just-started host that is sent, for `fallUs`, more than `tipMultiple` times what it can do at that
time falls and stays down. The rule is broken if two thirds of that work came from proxies whose
last message was sent with knowledge of the start, or whose steward had known of it for the grace.
The capacity grows evenly from `coldFrom` of the usual at the start to all of it at `warmAfterUs`.
"""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

import rig

CHANCE_SLACK = 1.25  # factor: work above it in a window is no accident of the requests' spacing
CORES = 3.0  # work that a warm host does in a second, in seconds
TRY_TIMEOUT = 3.0  # seconds until a client gives a try up
TICK = 0.02  # seconds
FALL_NOTICE = 1.5  # seconds until the list says that a fallen host is gone


@dataclass
class Work:
    """A request that a host holds."""

    proxy: rig.Proxy
    class_name: str
    left: float  # seconds of work
    arrived_at: float


@dataclass
class Sent:
    """Work that was sent to a host."""

    at: float
    work: float
    knowing: bool  # whether the sender counts for the rule


class WorkingHost(rig.Host):
    """A host that works its requests off in order, and warms up after its start."""

    def __init__(self, name: str, zone: str, day_settings: rig.Message) -> None:
        super().__init__(name, zone)
        obligations = day_settings["obligations"]
        self.cold_from: float = obligations["coldFrom"]
        self.warm_after: float = obligations["warmAfterUs"] / rig.MICROSECONDS
        self.started_at: float = -self.warm_after  # seconds of the day
        self.queue: deque[Work] = deque()
        self.sent: deque[Sent] = deque()
        self.done_in_second = 0.0

    def capacity(self, now: float) -> float:
        """Return the work that the host can do in a second now."""
        warmth: float = min(1.0, (now - self.started_at) / self.warm_after)
        return CORES * (self.cold_from + (1 - self.cold_from) * warmth)

    def is_cold(self, now: float) -> bool:
        """Return whether the host still warms up."""
        return now < self.started_at + self.warm_after

    def work_off(self, now: float) -> list[Work]:
        """Work for one tick and return what is done."""
        done = []
        budget = TICK * self.capacity(now)
        while self.queue and budget > 0:
            first = self.queue[0]
            spent = min(budget, first.left)
            budget -= spent
            first.left -= spent
            self.done_in_second += spent
            if first.left <= 0:
                done.append(self.queue.popleft())
        self.held = len(self.queue)
        return done


class ColdHostsDay(rig.Day):
    """A day on which the rule of the cold hosts is checked.

    `work_of_class` gives the work of a request in seconds.
    """

    def __init__(
        self, folder: Path, day_settings: rig.Message, work_of_class: dict[str, float]
    ) -> None:
        super().__init__(folder, day_settings)
        obligations = day_settings["obligations"]
        self.tip_multiple: float = obligations["tipMultiple"]
        self.fall: float = obligations["fallUs"] / rig.MICROSECONDS
        self.grace: float = obligations["drainGraceUs"] / rig.MICROSECONDS
        self.work_of_class = work_of_class
        self.working: dict[str, WorkingHost] = {}
        self.worst = 0.0  # most work sent to a cold host, in parts of what pushes it over

    def add_host(self, zone: str) -> WorkingHost:
        """Add a warm host that is not started yet."""
        name = f"s-{0x5BE2A07C + 7919 * len(self.working):08x}"
        host = self.working[name] = WorkingHost(name, zone, self.settings)
        self.hosts[name] = host
        return host

    async def start_cold(self, host: WorkingHost) -> None:
        """Start a host, or start it anew."""
        host.stop()
        self.fail_all(host)
        await host.start()
        host.started_at = self.now()
        host.started_at_ms = time.time() * 1000
        host.sent.clear()
        self.record.write(f"{host.name} started, cold")

    async def until(self, moment: float) -> None:
        """Wait until a moment of the day."""
        await asyncio.sleep(max(0.0, moment - self.now()))

    # Requests.

    def serve_request(self, proxy: rig.Proxy, class_name: str, host: rig.Host) -> None:
        """Put a request into a host's queue."""
        working = self.working[host.name]
        if not working.up:
            self.finish_request(proxy, class_name, host, None)
            return
        now, work = self.now(), self.work_of_class[class_name]
        knowing = self.knows_start(proxy, working)
        working.sent.append(Sent(now, work, knowing))
        working.queue.append(Work(proxy, class_name, work, now))
        if working.is_cold(now):
            self.record.write(
                f"proxy {proxy.number} sends {class_name} to cold {host.name}, knowing: {knowing}"
            )

    def knows_start(self, proxy: rig.Proxy, host: WorkingHost) -> bool:
        """Return whether the proxy's work at the host counts for the rule."""
        told = proxy.last_told.get(host.name)
        by_message = told is not None and told["startedAtMs"] == host.started_at_ms
        told_at = self.discovery.told_at.get((host.name, host.started_at_ms))
        by_time = told_at is not None and self.now() > told_at + self.grace + rig.SLACK
        return by_message or by_time

    async def run_hosts(self) -> None:
        """Let all hosts work, and note those that are pushed over."""
        ticks = 0
        while True:
            await asyncio.sleep(max(0.0, ticks * TICK - self.now()))
            ticks = max(ticks + 1, int(self.now() / TICK))
            for host in list(self.working.values()):
                self.run_host(host)
                if ticks % round(1 / TICK) == 0:
                    host.utilization = min(1.0, host.done_in_second / CORES)
                    host.done_in_second = 0.0

    def run_host(self, host: WorkingHost) -> None:
        """Let one host work for a tick."""
        now = self.now()
        if host.up and not host.silent:
            for work in host.work_off(now):
                latency = now - work.arrived_at
                good = latency < TRY_TIMEOUT
                self.finish_request(work.proxy, work.class_name, host, latency if good else None)
        while host.silent and host.queue and now > host.queue[0].arrived_at + TRY_TIMEOUT:
            work = host.queue.popleft()
            self.finish_request(work.proxy, work.class_name, host, None)
        while host.sent and host.sent[0].at < now - self.fall:
            host.sent.popleft()
        is_checked = host.up and now - host.started_at >= self.fall and host.is_cold(now)
        if is_checked and self.limits_run():
            self.check_cold(host, now)

    def check_cold(self, host: WorkingHost, now: float) -> None:
        """Let a cold host fall if it was sent more than it bears, and note the breach."""
        work = sum(sent.work for sent in host.sent)
        knowing = sum(sent.work for sent in host.sent if sent.knowing)
        mean_capacity = (host.capacity(now) + host.capacity(now - self.fall)) / 2
        bears = self.tip_multiple * self.fall * mean_capacity
        self.worst = max(self.worst, work / bears)
        if work <= CHANCE_SLACK * bears:
            return
        text = (
            f"{host.name} was pushed over {now - host.started_at:.2f} s after its start: sent "
            f"{work:.2f} s of work in {self.fall} s, bears {bears:.2f} s; {knowing:.2f} s of it "
            "from proxies that count"
        )
        self.record.write(text)
        host.stop()
        self.fail_all(host)
        if knowing >= work * 2 / 3:
            self.breaches.append(text)
        self.loop.call_later(FALL_NOTICE, lambda: self.discovery.update(host.entry("left")))

    def fail_all(self, host: WorkingHost) -> None:
        """Fail all requests that a host holds."""
        while host.queue:
            work = host.queue.popleft()
            self.finish_request(work.proxy, work.class_name, host, None)
