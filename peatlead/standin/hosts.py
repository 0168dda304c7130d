"""Stand-in endpoints: cores, a queue, a cold start, overload, draining, repeats dropped by pod.

Each endpoint serves HTTP/1.1 on an address of its own. Its work is time, not computation, so that
many fit into one process and the same code runs on simulated time.
"""

import asyncio
from collections import deque
from math import fsum
from random import Random
from typing import Any, Optional

import msgspec

from ..invariants.record import Recorder
from ..net.http import ServerConnection
from ..net.orca import LOAD_REPORT_HEADER, format_load_report
from .endpoint_work import CountReport, EndpointPlan, HeavyRequests, Job, Pods, RequestCounts

__all__ = ["Connection", "EndpointGroup", "EndpointPlan", "Pods", "StandInEndpoint"]

IDLE_TIMEOUT = 30.0  # seconds without a byte until a connection is closed
ADMISSION_LIFETIME = 5.0  # seconds: a controller that died must not shed for good
CHECK_WORK = 0.004  # seconds of one core
WORK_SPREAD = (0.6, 1.4)  # a request's work, as a factor of its class's mean
MIN_CORES = 0.3  # left where others use the machine
MEASURE_INTERVAL = 1.0  # seconds over which utilization is measured, at least
RATE_WINDOW = 2  # seconds over which the rate of done requests is measured
RECENT_MAX = 400  # done requests whose times are stored
LISTEN_BACKLOG = 512  # connections
NO_REQUESTS = RequestCounts(seconds=0)


class StandInEndpoint:
    """One endpoint process. `begin()` opens its socket; faults are attributes that `tell` sets."""

    def __init__(self, plan: EndpointPlan, rng: Random, recorder: Recorder, pods: Pods) -> None:
        self.plan = plan
        self.rng = rng
        self.recorder = recorder
        self.pods = pods
        self.loop = asyncio.get_running_loop()
        self.server: Optional[asyncio.Server] = None
        # In order of arrival; a set of objects would be in that of their memory addresses.
        self.connections: dict[Connection, bool] = {}
        # (request class, controller's address) -> (admitted fraction, when it was set)
        self.admitted_fractions: dict[tuple[str, str], tuple[float, float]] = {}
        self.boots = 0
        self.reset(cold=plan.cold)

    def reset(self, cold: bool) -> None:
        """Be a process that starts: nothing in work, nothing counted, no faults."""
        now = self.loop.time()
        self.boots += 1
        self.boot = f"{self.plan.name}-{self.boots}-{now:.3f}"
        self._reset_work(now, cold)
        self._reset_faults()

    def _reset_work(self, now: float, cold: bool) -> None:
        self.cold_from = now if cold else None
        self.queue: deque[Job] = deque()
        self.running = 0  # jobs in work
        self.held: list[Connection] = []  # whose requests are never answered
        self.offered: deque[tuple[float, float]] = deque()  # (time, work) while cold
        self.offered_work = 0.0
        self.busy_seconds = 0.0  # of cores, since the last measurement
        self.counts: dict[str, dict[str, RequestCounts]] = {}  # by network and request class
        self.done_lately: deque[float] = deque(maxlen=RECENT_MAX)
        self.util = 0.0  # part of the cores in use at the last measurement
        self.util_at = now

    def _reset_faults(self) -> None:
        self.silent = False  # accepts connections and answers nothing
        self.hung = False  # takes requests and never ends them
        self.draining = False
        self.tipped = False  # overloaded while cold
        self.errors = 0.0  # share of requests answered with an error
        self.lost = 0.0  # share of responses lost
        self.stolen = 0.0  # part of the cores that others use
        self.paused_until = 0.0
        self.heavy: Optional[HeavyRequests] = None

    # Speed and load.

    def warmth(self, now: float) -> float:
        """Return its speed as a part of that of a warm process."""
        if self.cold_from is None:
            return 1.0
        age = (now - self.cold_from) / self.plan.warm_after
        if age >= 1:
            self.cold_from = None
            return 1.0
        return self.plan.cold_share + (1 - self.plan.cold_share) * age

    def available_cores(self, now: float) -> float:
        """Return the cores that it has for requests at this moment."""
        if self.silent or self.hung or self.tipped or self.draining or now < self.paused_until:
            return 0.0
        return (
            self.warmth(now)
            * self.plan.cores
            * (1 - self.stolen)
            * (1 - self.errors)
            * (1 - self.lost)
        )

    def _offer(self, now: float, work: float) -> None:
        """Count work that arrives at a cold process, which fails past what it can bear."""
        since = self.cold_from
        if since is None:
            return
        span = self.plan.tip_span
        cores = self.warmth(now) * self.plan.cores
        self.offered.append((now, work))
        self.offered_work += work
        while self.offered and now - self.offered[0][0] > span:
            self.offered_work -= self.offered.popleft()[1]
        part = self.offered_work / (self.plan.tip_multiple * cores * span)
        self.recorder.row("cold", now, self.plan.name, part, since)
        if part > 1 and not self.tipped:
            self.tipped = True
            self.recorder.row("tipped", now, self.plan.name, since)

    def _measure(self, now: float) -> float:
        """Return the part of the cores in use, measured anew once the interval has passed."""
        if now - self.util_at >= MEASURE_INTERVAL:
            util = min(1.0, self.busy_seconds / (now - self.util_at) / self.plan.cores)
            self.util = max(util, min(1.0, self.stolen))
            self.util_at = now
            self.busy_seconds = 0.0
        return self.util

    # Requests.

    def receive(self, connection: "Connection", path: str, headers: dict[str, str]) -> None:
        """Handle a request or a health check."""
        now = self.loop.time()
        if self.silent or self.tipped:
            self.held.append(connection)
        elif path.startswith("/load"):
            self._receive_check(connection, headers, now)
        else:
            self._receive_request(connection, path.strip("/"), headers.get("req-id", ""), now)

    def _receive_request(
        self, connection: "Connection", request_class: str, request_id: str, now: float
    ) -> None:
        mean = self.plan.work.get(request_class)
        if mean is None:
            connection.respond(404, [], b"")
            return
        work = self._draw_work(request_class, mean)
        self._offer(now, work)
        if self._refuse(connection, request_class, now):
            return
        job = Job(request_id, request_class, work, connection, now)
        if self.hung:  # it accepts all and answers none; the number of connections bounds it
            connection.job = job
            self.held.append(connection)
            return
        if len(self.queue) >= self.plan.room:
            self.count(connection.network, request_class).rejected += 1
            connection.respond(503, [], b"full", self.draining)
            return
        job.repeat = self._is_repeat(job, now)
        connection.job = job
        self.queue.append(job)
        self.advance()

    def _draw_work(self, request_class: str, mean: float) -> float:
        work = mean * self.rng.uniform(*WORK_SPREAD)
        heavy = self.heavy
        if heavy and heavy.request_class == request_class and self.rng.random() < heavy.share:
            work *= heavy.factor
        return work

    def _refuse(self, connection: "Connection", request_class: str, now: float) -> bool:
        """Count a request and answer it at once if it is to be shed or to fail."""
        counts = self.count(connection.network, request_class)
        counts.arrived += 1
        if self.rng.random() >= self.admitted_fraction(request_class, now):
            counts.shed += 1
            connection.respond(429, [], b"shed", self.draining)
            return True
        if self.rng.random() < self.errors:
            counts.errors += 1
            connection.respond(500, [], b"error", self.draining)
            return True
        return False

    def _is_repeat(self, job: Job, now: float) -> bool:
        return self.plan.repeat[job.request_class] == "uniqued" and self.pods.is_repeat(
            self.plan.pod, job.request_id, now, self.plan.window
        )

    def _receive_check(self, connection: "Connection", headers: dict[str, str], now: float) -> None:
        self._set_admissions(connection.peer_address[0], headers.get("peatlead-levels", ""), now)
        if not self.plan.deep:
            self._answer_check(connection)
        elif self.hung:
            self.held.append(connection)
        elif len(self.queue) >= self.plan.room:
            connection.respond(503, [], b"full")
        else:
            self.queue.append(Job("", "", CHECK_WORK, connection, now, is_check=True))
            self.advance()

    def _set_admissions(self, controller: str, text: str, now: float) -> None:
        """Store the admitted fractions that a controller sent, as "class=fraction,..."."""
        for pair in text.split(","):
            request_class, _, fraction = pair.partition("=")
            try:
                self.admitted_fractions[request_class, controller] = float(fraction), now
            except ValueError:
                continue

    def admitted_fraction(self, request_class: str, now: float) -> float:
        """Return the admitted fraction: the mean of what controllers sent lately.

        Each of them steers all requests, so the lowest of two that waver would shed for both.
        """
        fractions = [
            fraction
            for (name, _), (fraction, set_at) in self.admitted_fractions.items()
            if name == request_class and now - set_at < ADMISSION_LIFETIME
        ]
        return fsum(fractions) / len(fractions) if fractions else 1.0

    def count(self, network: str, request_class: str) -> RequestCounts:
        """Return the counts of a class's requests from a network."""
        by_class = self.counts.setdefault(network, {})
        return by_class.setdefault(request_class, RequestCounts())

    # Work.

    def advance(self) -> None:
        """Start jobs from the queue while there are free cores."""
        now = self.loop.time()
        if self.hung or self.silent or self.tipped or now < self.paused_until:
            return
        cores = max(MIN_CORES, self.plan.cores * (1 - self.stolen))
        while self.queue and self.running < max(1, round(cores)):
            job = self.queue.popleft()
            self.running += 1
            speed = self.warmth(now) * min(1.0, cores / max(1, round(cores)))
            duration = job.work / speed
            self.loop.call_later(duration, self._finish, job, duration, self.boots)

    def _finish(self, job: Job, duration: float, boot: int) -> None:
        if boot != self.boots:
            return  # that process is gone
        now = self.loop.time()
        if now < self.paused_until:
            self.loop.call_at(self.paused_until, self._finish, job, duration, boot)
            return
        self.running -= 1
        self.busy_seconds += duration
        if self.silent or self.hung or self.tipped:
            return
        if job.is_check:
            self._answer_check(job.connection)
        else:
            self._end(job, now)
        self.advance()

    def _end(self, job: Job, now: float) -> None:
        """Record the effect of a request and answer it."""
        repeat_class = self.plan.repeat[job.request_class]
        if not job.repeat:
            self.recorder.row(
                "effect", now, self.plan.name, job.request_id, job.request_class, repeat_class
            )
        counts = self.count(job.network, job.request_class)
        if job.abandoned:
            return
        job.connection.job = None
        counts.done += 1
        counts.seconds += now - job.arrived
        self.done_lately.append(now)
        if self.rng.random() >= self.lost:
            util = f"{self._measure(now):.3f}"
            headers = [("host-name", self.plan.name), ("load-util", util)]
            job.connection.respond(200, headers, b"done", self.draining)

    def abandon(self, job: Job) -> None:
        """Note that the client of a job has gone; the work stays."""
        if not job.abandoned:
            job.abandoned = True
            self.count(job.network, job.request_class).abandoned += 1

    def _answer_check(self, connection: "Connection") -> None:
        now = self.loop.time()
        rate = sum(now - done_at < RATE_WINDOW for done_at in self.done_lately) / RATE_WINDOW
        report = {"util": self._measure(now), "done_rate": rate, "waiting": len(self.queue)}
        classes = list(self.plan.work)
        networks = {
            network: [by_class.get(name, NO_REQUESTS) for name in classes]
            for network, by_class in self.counts.items()
        }
        body = msgspec.json.encode(CountReport(self.boot, classes, networks))
        connection.respond(200, [(LOAD_REPORT_HEADER, format_load_report(report))], body)

    # Life and faults.

    async def begin(self) -> None:
        """Open the socket, unless another fault has started the process already."""
        if self.server is not None:
            return
        self.server = await self.loop.create_server(
            lambda: Connection(self), self.plan.address, self.plan.port, backlog=LISTEN_BACKLOG
        )

    def inject_fault(self, fault: str, value: Any) -> None:
        """Cause a fault: an attribute's new value, or "drain", "stop", "start" or "pause"."""
        now = self.loop.time()
        if fault == "drain":
            self._drain()
        elif fault == "stop":
            self.stop()
        elif fault == "start":
            self.reset(cold=True)
        elif fault == "pause":
            self.paused_until = now + value
            self.loop.call_at(self.paused_until, self.advance)
        elif fault == "heavy":
            self.heavy = HeavyRequests(*value) if value else None
            if not value:
                self._release()
        else:
            setattr(self, fault, value)
            if not value:
                self._release()
        self.advance()

    def _drain(self) -> None:
        self.draining = True
        for connection in list(self.connections):
            if connection.job is None:
                connection.close()  # idle ones would bring a request after the grace

    def _release(self) -> None:
        """Cut connections whose requests were held: their clients have long gone."""
        for connection in self.held:
            connection.abort("was silent")
        self.held = []
        self.loop.call_soon(self.advance)

    def stop(self) -> None:
        """End the process: its connections are cut and its work is lost."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort("stopped")
        self.reset(cold=True)
        self.boots += 1


class Connection(ServerConnection):
    """A client's connection to an endpoint."""

    def __init__(self, host: StandInEndpoint) -> None:
        super().__init__(IDLE_TIMEOUT)
        self.host = host
        self.job: Optional[Job] = None  # the request that is not answered yet
        self.network = ""  # the client's /24

    def opened(self) -> None:
        """Register the connection, or cut it past the endpoint's limit."""
        self.network = self.peer_address[0].rpartition(".")[0] + ".0"
        if len(self.host.connections) >= self.host.plan.connections:
            self.abort("too many connections")
            return
        self.host.connections[self] = True

    def ended(self, reason: str) -> None:
        """Abandon the request that is not answered yet."""
        self.host.connections.pop(self, None)
        if self.job is not None:
            self.host.abandon(self.job)

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Hand a request to the endpoint."""
        self.host.receive(self, path, headers)


class EndpointGroup:
    """The endpoints of one process, controlled by commands (standin/process.py)."""

    def __init__(self, rng: Random, recorder: Recorder) -> None:
        self.rng = rng
        self.recorder = recorder
        self.pods = Pods()
        self.hosts: dict[str, StandInEndpoint] = {}

    async def command(self, command: dict[str, Any], /) -> None:
        """Carry out a command."""
        match command["do"]:
            case "host":
                plan = msgspec.convert(command["plan"], EndpointPlan)
                host = StandInEndpoint(plan, self.rng, self.recorder, self.pods)
                self.hosts[plan.name] = host
                await host.begin()
            case "tell":
                for name in command["hosts"]:
                    if name in self.hosts:
                        self.hosts[name].inject_fault(command["fault"], command["value"])
            case "begin":
                host = self.hosts[command["host"]]
                await host.begin()
                host.inject_fault("start", True)
