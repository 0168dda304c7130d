"""A simulated fleet with one planner, whose endpoints warm up after a start.

Requests arrive at random, and proxies distribute them by the tables and admitted fractions that the
planner published through the publisher, with a delay.
"""

import heapq
from collections.abc import Sequence
from random import Random
from typing import Any, Optional

from .. import interface
from ..controller.message import Operations
from ..controller.publisher import Publisher
from ..planner.planner import Planner
from .cold_endpoints import (
    CORES,
    FleetEndpoint,
    FleetPlan,
    FleetProxy,
    FleetResult,
    ReportCounts,
    Request,
    SentWork,
    Totals,
)
from .planner_runs import SETTINGS

TICK = 0.05  # seconds of one step
DELIVERY_DELAY = 0.3  # seconds from a command to the proxy
REPORT_INTERVAL = 1.0  # seconds
REPORT_DELAY = 0.6  # seconds
CHECK_DURATION = 0.02  # seconds of a health check that is answered
CHECK_TIMEOUT = 0.25  # seconds
AVOIDANCE_DURATION = 4.0  # seconds for which a proxy avoids an endpoint
START = 100.0  # seconds on the planner's clock
LIST_DELAY = 1.0  # seconds until the list tells of a start
INFORMED_FRACTION = 2 / 3  # of the work that makes an endpoint fall: then the planner is to blame
CHANCE_SLACK = 1.25  # factor: overload below it is an accident of the requests' spacing
FALL_NOTICE = 1.5  # seconds until the list tells that an endpoint has fallen
# Work in seconds below which a request is done: the sum of many ticks is not exact.
NO_WORK = 1e-9


class ColdFleet:
    """A fleet with one planner, on simulated time."""

    def __init__(self, plan: FleetPlan, now: float = START) -> None:
        self.plan = plan
        self.now = now
        self.random = Random(plan.seed)
        zones = range(len(plan.endpoints_per_zone))
        self.endpoints: list[FleetEndpoint] = []
        for zone in zones:
            for _ in range(plan.endpoints_per_zone[zone]):
                self.endpoints.append(FleetEndpoint(len(self.endpoints), zone, plan))
        self.proxies = [
            FleetProxy(number, number % len(zones))
            for number in range(plan.proxies_per_zone * len(zones))
        ]
        self.result = FleetResult()
        self.measured_from = now  # requests before it are not measured
        self.list_version = 1
        self.counts: dict[tuple[int, int], ReportCounts] = {}  # by (zone of proxies, endpoint)
        # Heap of (time, order, kind, content): what happens later.
        self.later: list[tuple[float, int, str, Any]] = []
        self.order = 0
        self.publisher = Publisher()
        self.planner = Planner(self._settings(), plan.seed)
        self._schedule_arrivals()
        self._schedule(now + REPORT_INTERVAL, "report", None)

    def _settings(self) -> dict[str, Any]:
        plan = self.plan
        base = SETTINGS["req_kinds"][0]
        return {
            **SETTINGS,
            "proxies": len(self.proxies),
            "channel_rate": 7000.0,
            "queue_most": 7000.0,
            "messages_most": 0,
            "cold_share": plan.cold_share,
            "warm_after": plan.warm_after,
            "tip_multiple": plan.tip_multiple,
            "tip_span": plan.tip_span,
            "fails_to_shun": plan.failures_to_avoid,
            "req_kinds": [
                {
                    **base,
                    "name": request_class.name,
                    "gain": 1.0,
                    "own_zone": request_class.own_zone,
                    "response_target": request_class.target,
                    "client_timeout": request_class.timeout,
                }
                for request_class in plan.classes
            ],
        }

    def zone_rate(self, zone: int, request_class: int) -> float:
        """Return the requests of a class per second at all proxies of a zone."""
        given = self.plan.classes[request_class]
        work = self.plan.load * CORES * self.plan.endpoints_per_zone[zone]
        return work * given.work_fraction / given.work

    def _schedule_arrivals(self) -> None:
        for proxy in self.proxies:
            for request_class in range(len(self.plan.classes)):
                self._schedule_arrival(proxy, request_class)

    def _schedule_arrival(self, proxy: FleetProxy, request_class: int) -> None:
        rate = self.zone_rate(proxy.zone, request_class) / self.plan.proxies_per_zone
        self._schedule(self.now + self.random.expovariate(rate), "arrival", (proxy, request_class))

    def _schedule(self, time: float, kind: str, content: Any) -> None:
        self.order += 1
        heapq.heappush(self.later, (time, self.order, kind, content))

    # The list of endpoints.

    def connect(self) -> None:
        """Give the planner the list and the proxies."""
        self.update_list(self.endpoints, "ready", scope="remembered")
        for proxy in self.proxies:
            self.publisher.join(proxy.number, enforces_admission=True)
        rate = sum(self.zone_rate(0, number) for number in range(len(self.plan.classes)))
        self.decide(
            [
                interface.ProxyConnected(
                    proxy.number, proxy.zone, rate / self.plan.proxies_per_zone, True
                )
                for proxy in self.proxies
            ]
        )

    def update_list(
        self, endpoints: Sequence[FleetEndpoint], phase: str, scope: str = "changes"
    ) -> None:
        """Tell the planner the phase of some endpoints."""
        for endpoint in endpoints:
            endpoint.listed_at = self.now if phase == "ready" else float("inf")
        listed = tuple(
            interface.Endpoint(
                endpoint.number,
                b"endpoint-%d" % endpoint.number,
                endpoint.zone,
                0,
                endpoint.number,
                phase,
                1.0,
                endpoint.started_at,
            )
            for endpoint in endpoints
        )
        self.list_version += 1
        self.decide([interface.EndpointUpdate(scope, self.list_version, listed)])

    def zone_endpoints(self, zone: int) -> list[FleetEndpoint]:
        """Return the endpoints of a zone."""
        return [endpoint for endpoint in self.endpoints if endpoint.zone == zone]

    def stop(self, endpoints: Sequence[FleetEndpoint]) -> None:
        """Let endpoints go, as the list tells at once."""
        for endpoint in endpoints:
            endpoint.up = False
            self._fail_queue(endpoint)
        self.update_list(endpoints, "gone")

    def restart(self, endpoints: Sequence[FleetEndpoint]) -> None:
        """Start endpoints anew, cold; the list tells of it later."""
        for endpoint in endpoints:
            self._fail_queue(endpoint)
            endpoint.up, endpoint.silent = True, False
            endpoint.started_at = self.now
            endpoint.listed_at = float("inf")
            endpoint.sent.clear()
        self._schedule(self.now + LIST_DELAY, "list", (list(endpoints), "ready"))

    # The planner.

    def decide(self, events: Sequence[interface.Event]) -> None:
        """Let the planner decide, and deliver its commands with a delay."""
        routed = self.publisher.route(self.planner.decide(self.now, events))
        for command in routed.local_commands:
            if isinstance(command, interface.SetTimer):
                self._schedule(
                    self.now + command.delay, "events", [interface.TimerFired(command.token)]
                )
            elif isinstance(command, interface.CheckHealth):
                self._check(self.endpoints[command.endpoint])
        for number, operations in routed.messages.items():
            acknowledgements = [
                interface.Acknowledged(number, nonce, DELIVERY_DELAY)
                for nonce in routed.nonces.get(number, [])
            ]
            self._schedule(
                self.now + DELIVERY_DELAY,
                "message",
                (self.now, number, operations, acknowledgements),
            )

    def _check(self, endpoint: FleetEndpoint) -> None:
        answers = endpoint.up and not endpoint.silent
        duration = CHECK_DURATION if answers else CHECK_TIMEOUT
        outcome = "ok" if answers else "timed out"
        self._schedule(
            self.now + duration,
            "events",
            [interface.HealthCheckResult(endpoint.number, outcome, duration, None)],
        )

    # Requests.

    def _arrive(self, proxy: FleetProxy, request_class: int, repeats: int) -> None:
        measured = self.now >= self.measured_from
        proxy.requests[request_class] = proxy.requests.get(request_class, 0) + 1
        if measured and not repeats:
            self._totals(proxy).requests += 1
        weights = proxy.weights(request_class, self.now)
        if self.random.random() >= proxy.admitted_fraction(request_class) or not weights:
            if repeats < self.plan.repeats:
                again = (proxy, request_class, repeats + 1)
                self._schedule(self.now + self.random.uniform(0.5, 1.5), "repeat", again)
            return
        number = self.random.choices(list(weights), list(weights.values()))[0]
        endpoint = self.endpoints[number]
        request = Request(request_class, proxy.number, self.now, measured)
        if endpoint.up:
            work = self.plan.classes[request_class].work
            endpoint.sent.append(SentWork(self.now, work, self._is_informed(proxy, endpoint)))
            endpoint.queue.append(request)
        else:
            self._finish(request, endpoint, None)

    def _is_informed(self, proxy: FleetProxy, endpoint: FleetEndpoint) -> bool:
        """Return whether a proxy's requests count for the obligation on a cold endpoint.

        They do after a message that was sent with knowledge of the start, and when the planner has
        known the start for the grace.
        """
        by_message = proxy.last_message_sent_at >= endpoint.listed_at
        return by_message or self.now > endpoint.listed_at + SETTINGS["drain_grace"]

    def _totals(self, proxy: FleetProxy) -> Totals:
        return self.result.by_zone.setdefault(proxy.zone, Totals())

    def _finish(self, request: Request, endpoint: FleetEndpoint, latency: Optional[float]) -> None:
        proxy, given = self.proxies[request.proxy], self.plan.classes[request.request_class]
        counts = self.counts.setdefault((proxy.zone, endpoint.number), ReportCounts())
        counts.attempts += 1
        if latency is not None and latency < given.timeout:
            late_gain = SETTINGS["req_kinds"][0]["late_gain"]
            gain = 1.0 if latency <= given.target else late_gain
            self._totals(proxy).served += request.measured * gain
            counts.latency += latency
            proxy.failures[endpoint.number] = 0
            return
        counts.errors += 1
        failures = proxy.failures.get(endpoint.number, 0) + 1
        proxy.failures[endpoint.number] = failures
        if self.plan.failures_to_avoid and failures >= self.plan.failures_to_avoid:
            proxy.failures[endpoint.number] = 0
            proxy.avoided_until[endpoint.number] = self.now + AVOIDANCE_DURATION

    def _fail_queue(self, endpoint: FleetEndpoint) -> None:
        while endpoint.queue:
            self._finish(endpoint.queue.popleft(), endpoint, None)
        endpoint.remaining_work = 0.0

    def _work(self, endpoint: FleetEndpoint) -> None:
        if endpoint.silent:
            while endpoint.queue and self._is_over(endpoint.queue[0]):
                self._finish(endpoint.queue.popleft(), endpoint, None)
            return
        budget = TICK * endpoint.capacity(self.now)
        while endpoint.queue and budget > 0:
            if not endpoint.remaining_work:
                request_class = endpoint.queue[0].request_class
                endpoint.remaining_work = self.plan.classes[request_class].work
            spent = min(budget, endpoint.remaining_work)
            budget -= spent
            endpoint.remaining_work -= spent
            endpoint.used_work += spent
            if endpoint.remaining_work <= NO_WORK:
                endpoint.remaining_work = 0.0
                request = endpoint.queue.popleft()
                self._finish(request, endpoint, self.now - request.arrived_at)

    def _is_over(self, request: Request) -> bool:
        timeout = self.plan.classes[request.request_class].timeout
        return self.now - request.arrived_at > timeout

    # Reports.

    def _report(self) -> None:
        """Collect the reports of the last interval; they arrive later."""
        events: list[interface.Event] = []
        window = REPORT_INTERVAL
        for (zone, number), counts in sorted(self.counts.items()):
            endpoint = self.endpoints[number]
            successes = counts.attempts - counts.errors
            report = {"util": min(1.0, endpoint.used_work / CORES / window)}
            events.append(
                interface.EndpointStats(
                    number,
                    zone,
                    counts.attempts,
                    counts.errors,
                    window,
                    counts.latency / max(1, successes),
                    report if successes else None,
                )
            )
        self.counts = {}
        for endpoint in self.endpoints:
            endpoint.used_work = 0.0
        for proxy in self.proxies:
            for request_class, requests in sorted(proxy.requests.items()):
                events.append(
                    interface.RequestStats(proxy.number, request_class, requests, 0, window)
                )
            proxy.requests = {}
        self._schedule(self.now + REPORT_DELAY, "events", events)
        self._schedule(self.now + REPORT_INTERVAL, "report", None)

    # The run.

    def run(self, duration: float) -> None:
        """Let some seconds pass."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            while self.later and self.later[0][0] <= self.now:
                _, _, kind, content = heapq.heappop(self.later)
                self._happen(kind, content)
            for endpoint in self.endpoints:
                if endpoint.up:
                    self._work(endpoint)
                    self._watch(endpoint)
            self.apply_policy()
            self._note_fractions()

    def apply_policy(self) -> None:
        """Do nothing: the proxies obey the planner. Another policy may replace what they hold."""

    def _happen(self, kind: str, content: Any) -> None:
        if kind == "arrival":
            proxy, request_class = content
            self._arrive(proxy, request_class, 0)
            self._schedule_arrival(proxy, request_class)
        elif kind == "repeat":
            self._arrive(*content)
        elif kind == "events":
            self.decide(content)
        elif kind == "message":
            self._deliver(*content)
        elif kind == "list":
            self.update_list(*content)
        elif kind == "report":
            self._report()

    def _deliver(
        self,
        sent_at: float,
        number: int,
        operations: Operations,
        acknowledgements: Sequence[interface.Acknowledged],
    ) -> None:
        self.proxies[number].view.apply(operations)
        self.proxies[number].last_message_sent_at = sent_at
        if acknowledgements:
            self.decide(acknowledgements)

    def _watch(self, endpoint: FleetEndpoint) -> None:
        """Let a cold endpoint fall that was sent too much."""
        overload = endpoint.overload(self.now)
        self.result.max_overload = max(self.result.max_overload, overload)
        if overload > CHANCE_SLACK:
            self.result.fallen.append(endpoint.number)
            if endpoint.informed_fraction() >= INFORMED_FRACTION:
                self.result.breaches.append(endpoint.number)
            endpoint.up = False
            self._fail_queue(endpoint)
            self._schedule(self.now + FALL_NOTICE, "list", ([endpoint], "gone"))

    def _note_fractions(self) -> None:
        if self.now < self.measured_from:
            return
        for proxy in self.proxies:
            fraction = min(
                proxy.admitted_fraction(number) for number in range(len(self.plan.classes))
            )
            self.result.min_fractions[proxy.zone] = min(
                fraction, self.result.min_fractions.get(proxy.zone, 1.0)
            )

    def measure(self) -> None:
        """Measure from now on."""
        self.measured_from = self.now
        self.result = FleetResult()
