"""Stand-in endpoints, which serve HTTP/1.1 requests with a queue and a number of cores.

They start cold, can be overloaded while cold, drain, have injected faults, and drop repeated
requests of a pod. Each endpoint has its own address. Work is simulated by timers
instead of computation, so that one process can run many endpoints and the same code runs on
simulated time.
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
from .endpoint_work import (
    CountReport,
    EndpointPlan,
    HeavyRequests,
    Job,
    PodRequestIds,
    RequestCounts,
)

__all__ = ["Connection", "EndpointGroup", "EndpointPlan", "PodRequestIds", "StandInEndpoint"]

IDLE_TIMEOUT = 30.0  # seconds without a byte until a connection is closed
ADMISSION_LIFETIME = 5.0  # seconds after which a controller's admitted fraction is ignored
HEALTH_CHECK_WORK = 0.004  # seconds of one core for a health check
WORK_SPREAD = (0.6, 1.4)  # range of a request's work, as factors of the mean of its class
MIN_CORES = 0.3  # cores left to the endpoint at least when a fault takes cores away
MEASURE_INTERVAL = 1.0  # minimum seconds between measurements of utilization
RATE_WINDOW = 2  # seconds over which the rate of done requests is measured
MAX_RECENT_DONE = 400  # stored completion times
LISTEN_BACKLOG = 512  # connections that wait to be accepted
NO_COUNTS = RequestCounts(seconds=0)


class StandInEndpoint:
    """One endpoint. `open()` opens its socket, and `inject_fault()` causes faults."""

    def __init__(
        self, plan: EndpointPlan, rng: Random, recorder: Recorder, pod_request_ids: PodRequestIds
    ) -> None:
        self.plan = plan
        self.rng = rng
        self.recorder = recorder
        self.pod_request_ids = pod_request_ids
        self.loop = asyncio.get_running_loop()
        self.server: Optional[asyncio.Server] = None
        # A dict keeps the order of arrival; the order of a set would change between runs.
        self.connections: dict[Connection, bool] = {}
        # (request class, controller's address) -> (admitted fraction, when it was set)
        self.admitted_fractions: dict[tuple[str, str], tuple[float, float]] = {}
        self.boot_count = 0
        self.reset(cold=plan.cold)

    def reset(self, cold: bool) -> None:
        """Return to the state of a new process: no jobs, no counts and no faults."""
        now = self.loop.time()
        self.boot_count += 1
        self.boot = f"{self.plan.name}-{self.boot_count}-{now:.3f}"
        self._reset_work(now, cold)
        self._reset_faults()

    def _reset_work(self, now: float, cold: bool) -> None:
        self.cold_since = now if cold else None
        self.queue: deque[Job] = deque()
        self.running = 0  # jobs being processed
        self.unanswered_connections: list[Connection] = []  # whose request a fault holds back
        self.recent_work: deque[tuple[float, float]] = deque()  # (time, work) while cold
        self.recent_work_sum = 0.0
        self.busy_seconds = 0.0  # CPU time of all cores since the last measurement
        self.counts: dict[str, dict[str, RequestCounts]] = {}  # by network and request class
        self.recent_done: deque[float] = deque(maxlen=MAX_RECENT_DONE)
        self.utilization = 0.0  # fraction of the cores in use at the last measurement
        self.utilization_measured_at = now

    def _reset_faults(self) -> None:
        self.silent = False  # whether it accepts connections but does not respond
        self.hung = False  # whether it accepts requests but never finishes them
        self.draining = False
        self.overloaded = False  # whether it stopped responding after an overload while cold
        self.errors = 0.0  # fraction of requests answered with an error
        self.lost = 0.0  # fraction of responses lost
        self.stolen = 0.0  # fraction of the cores that others use
        self.paused_until = 0.0
        self.heavy: Optional[HeavyRequests] = None

    # Speed and load.

    def speed_fraction(self, now: float) -> float:
        """Return the speed as a fraction of the speed of a warm process."""
        if self.cold_since is None:
            return 1.0
        warmup_fraction = (now - self.cold_since) / self.plan.warm_after
        if warmup_fraction >= 1:
            self.cold_since = None
            return 1.0
        return self.plan.cold_share + (1 - self.plan.cold_share) * warmup_fraction

    def available_cores(self, now: float) -> float:
        """Return the number of cores that can serve requests now, 0 if it cannot respond."""
        if self.silent or self.hung or self.overloaded or self.draining or now < self.paused_until:
            return 0.0
        return (
            self.speed_fraction(now)
            * self.plan.cores
            * (1 - self.stolen)
            * (1 - self.errors)
            * (1 - self.lost)
        )

    def _count_offered_work(self, now: float, work: float) -> None:
        """Count work (in core seconds) offered to a cold process; too much work overloads it."""
        since = self.cold_since
        if since is None:
            return
        window = self.plan.tip_span
        cores = self.speed_fraction(now) * self.plan.cores
        self.recent_work.append((now, work))
        self.recent_work_sum += work
        while self.recent_work and now - self.recent_work[0][0] > window:
            self.recent_work_sum -= self.recent_work.popleft()[1]
        load_fraction = self.recent_work_sum / (self.plan.tip_multiple * cores * window)
        self.recorder.write_row("cold", now, self.plan.name, load_fraction, since)
        if load_fraction > 1 and not self.overloaded:
            self.overloaded = True
            self.recorder.write_row("tipped", now, self.plan.name, since)

    def _measure_utilization(self, now: float) -> float:
        """Return the fraction of the cores in use, updated once per MEASURE_INTERVAL."""
        if now - self.utilization_measured_at >= MEASURE_INTERVAL:
            utilization = min(
                1.0, self.busy_seconds / (now - self.utilization_measured_at) / self.plan.cores
            )
            self.utilization = max(utilization, min(1.0, self.stolen))
            self.utilization_measured_at = now
            self.busy_seconds = 0.0
        return self.utilization

    # Requests.

    def receive(self, connection: "Connection", path: str, headers: dict[str, str]) -> None:
        """Handle a request or a health check."""
        now = self.loop.time()
        if self.silent or self.overloaded:
            self.unanswered_connections.append(connection)
        elif path.startswith("/load"):
            self._receive_health_check(connection, headers, now)
        else:
            self._receive_request(connection, path.strip("/"), headers.get("req-id", ""), now)

    def _receive_request(
        self, connection: "Connection", request_class: str, request_id: str, now: float
    ) -> None:
        mean_work = self.plan.work.get(request_class)
        if mean_work is None:
            connection.respond(404, [], b"")
            return
        work = self._draw_work(request_class, mean_work)
        self._count_offered_work(now, work)
        if self._shed_or_fail(connection, request_class, now):
            return
        job = Job(request_id, request_class, work, connection, now)
        if self.hung:  # only the maximum number of connections limits the held requests
            connection.job = job
            self.unanswered_connections.append(connection)
            return
        if len(self.queue) >= self.plan.room:
            self.counts_for(connection.network, request_class).rejected += 1
            connection.respond(503, [], b"full", self.draining)
            return
        job.repeat = self._is_repeat(job, now)
        connection.job = job
        self.queue.append(job)
        self.start_jobs()

    def _draw_work(self, request_class: str, mean_work: float) -> float:
        work = mean_work * self.rng.uniform(*WORK_SPREAD)
        heavy = self.heavy
        if heavy and heavy.request_class == request_class and self.rng.random() < heavy.fraction:
            work *= heavy.factor
        return work

    def _shed_or_fail(self, connection: "Connection", request_class: str, now: float) -> bool:
        """Count a request, and return True if it was shed or answered with an error."""
        counts = self.counts_for(connection.network, request_class)
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
        return self.plan.repeat[job.request_class] == "uniqued" and self.pod_request_ids.is_repeat(
            self.plan.pod, job.request_id, now, self.plan.window
        )

    def _receive_health_check(
        self, connection: "Connection", headers: dict[str, str], now: float
    ) -> None:
        self._set_admissions(connection.peer_address[0], headers.get("peatlead-levels", ""), now)
        if not self.plan.deep:
            self._answer_health_check(connection)
        elif self.hung:
            self.unanswered_connections.append(connection)
        elif len(self.queue) >= self.plan.room:
            connection.respond(503, [], b"full")
        else:
            self.queue.append(Job("", "", HEALTH_CHECK_WORK, connection, now, is_health_check=True))
            self.start_jobs()

    def _set_admissions(self, controller: str, header: str, now: float) -> None:
        """Store a controller's admitted fractions from a header "class=fraction,..."."""
        for pair in header.split(","):
            request_class, _, fraction = pair.partition("=")
            try:
                self.admitted_fractions[request_class, controller] = float(fraction), now
            except ValueError:
                continue

    def admitted_fraction(self, request_class: str, now: float) -> float:
        """Return the admitted fraction: the mean of the recent fractions of all controllers.

        Each controller regulates the whole load, so the minimum would shed too much when their
        fractions oscillate.
        """
        fractions = [
            fraction
            for (name, _), (fraction, set_at) in self.admitted_fractions.items()
            if name == request_class and now - set_at < ADMISSION_LIFETIME
        ]
        return fsum(fractions) / len(fractions) if fractions else 1.0

    def counts_for(self, network: str, request_class: str) -> RequestCounts:
        """Return the counts of a class's requests from a network."""
        by_class = self.counts.setdefault(network, {})
        return by_class.setdefault(request_class, RequestCounts())

    # Work.

    def start_jobs(self) -> None:
        """Start jobs from the queue while there are free cores."""
        now = self.loop.time()
        if self.hung or self.silent or self.overloaded or now < self.paused_until:
            return
        cores = max(MIN_CORES, self.plan.cores * (1 - self.stolen))
        while self.queue and self.running < max(1, round(cores)):
            job = self.queue.popleft()
            self.running += 1
            speed = self.speed_fraction(now) * min(1.0, cores / max(1, round(cores)))
            duration = job.work / speed
            self.loop.call_later(duration, self._finish_job, job, duration, self.boot_count)

    def _finish_job(self, job: Job, duration: float, boot: int) -> None:
        if boot != self.boot_count:
            return  # the process that started the job has ended
        now = self.loop.time()
        if now < self.paused_until:
            self.loop.call_at(self.paused_until, self._finish_job, job, duration, boot)
            return
        self.running -= 1
        self.busy_seconds += duration
        if self.silent or self.hung or self.overloaded:
            return
        if job.is_health_check:
            self._answer_health_check(job.connection)
        else:
            self._complete_request(job, now)
        self.start_jobs()

    def _complete_request(self, job: Job, now: float) -> None:
        """Record the effect of a request and respond to it."""
        repeat_semantics = self.plan.repeat[job.request_class]
        if not job.repeat:
            self.recorder.write_row(
                "effect", now, self.plan.name, job.request_id, job.request_class, repeat_semantics
            )
        counts = self.counts_for(job.network, job.request_class)
        if job.abandoned:
            return
        job.connection.job = None
        counts.done += 1
        counts.seconds += now - job.arrived
        self.recent_done.append(now)
        if self.rng.random() >= self.lost:
            utilization = f"{self._measure_utilization(now):.3f}"
            headers = [("host-name", self.plan.name), ("load-util", utilization)]
            job.connection.respond(200, headers, b"done", self.draining)

    def abandon(self, job: Job) -> None:
        """Mark a job as abandoned by its client; it is still processed."""
        if not job.abandoned:
            job.abandoned = True
            self.counts_for(job.network, job.request_class).abandoned += 1

    def _answer_health_check(self, connection: "Connection") -> None:
        now = self.loop.time()
        rate = sum(now - done_at < RATE_WINDOW for done_at in self.recent_done) / RATE_WINDOW
        report = {
            "util": self._measure_utilization(now),
            "done_rate": rate,
            "waiting": len(self.queue),
        }
        classes = list(self.plan.work)
        networks = {
            network: [by_class.get(name, NO_COUNTS) for name in classes]
            for network, by_class in self.counts.items()
        }
        body = msgspec.json.encode(CountReport(self.boot, classes, networks))
        connection.respond(200, [(LOAD_REPORT_HEADER, format_load_report(report))], body)

    # Start, faults and stop.

    async def open(self) -> None:
        """Open the socket if it is not open yet."""
        if self.server is not None:
            return
        self.server = await self.loop.create_server(
            lambda: Connection(self), self.plan.address, self.plan.port, backlog=LISTEN_BACKLOG
        )

    def inject_fault(self, fault: str, value: Any) -> None:
        """Cause "drain", "stop", "start", "pause" or "heavy", or set the attribute `fault`."""
        now = self.loop.time()
        if fault == "drain":
            self._drain()
        elif fault == "stop":
            self.stop()
        elif fault == "start":
            self.reset(cold=True)
        elif fault == "pause":
            self.paused_until = now + value
            self.loop.call_at(self.paused_until, self.start_jobs)
        elif fault == "heavy":
            self.heavy = HeavyRequests(*value) if value else None
            if not value:
                self._abort_unanswered_connections()
        else:
            setattr(self, fault, value)
            if not value:
                self._abort_unanswered_connections()
        self.start_jobs()

    def _drain(self) -> None:
        self.draining = True
        for connection in list(self.connections):
            if connection.job is None:
                connection.close()  # a client could use an idle connection after the drain grace

    def _abort_unanswered_connections(self) -> None:
        """Abort the connections whose requests were held while the endpoint was silent or hung."""
        for connection in self.unanswered_connections:
            connection.abort("request was held by a fault")
        self.unanswered_connections = []
        self.loop.call_soon(self.start_jobs)

    def stop(self) -> None:
        """End the process: its connections are aborted and its jobs are lost."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort("stopped")
        self.reset(cold=True)
        self.boot_count += 1


class Connection(ServerConnection):
    """A client's connection to an endpoint."""

    def __init__(self, endpoint: StandInEndpoint) -> None:
        super().__init__(IDLE_TIMEOUT)
        self.endpoint = endpoint
        self.job: Optional[Job] = None  # the pending request
        self.network = ""  # the client's /24 network

    def opened(self) -> None:
        """Register the connection, or abort it if the endpoint has too many."""
        self.network = self.peer_address[0].rpartition(".")[0] + ".0"
        if len(self.endpoint.connections) >= self.endpoint.plan.connections:
            self.abort("too many connections")
            return
        self.endpoint.connections[self] = True

    def ended(self, reason: str) -> None:
        """Abandon the pending request."""
        self.endpoint.connections.pop(self, None)
        if self.job is not None:
            self.endpoint.abandon(self.job)

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Pass a request to the endpoint."""
        self.endpoint.receive(self, path, headers)


class EndpointGroup:
    """The endpoints of one process, controlled by commands (`standin.process`)."""

    def __init__(self, rng: Random, recorder: Recorder) -> None:
        self.rng = rng
        self.recorder = recorder
        self.pod_request_ids = PodRequestIds()
        self.endpoints: dict[str, StandInEndpoint] = {}

    async def execute(self, command: dict[str, Any], /) -> None:
        """Execute a command."""
        match command["do"]:
            case "host":
                plan = msgspec.convert(command["plan"], EndpointPlan)
                endpoint = StandInEndpoint(plan, self.rng, self.recorder, self.pod_request_ids)
                self.endpoints[plan.name] = endpoint
                await endpoint.open()
            case "tell":
                for name in command["hosts"]:
                    if name in self.endpoints:
                        self.endpoints[name].inject_fault(command["fault"], command["value"])
            case "begin":
                endpoint = self.endpoints[command["host"]]
                await endpoint.open()
                endpoint.inject_fault("start", True)
