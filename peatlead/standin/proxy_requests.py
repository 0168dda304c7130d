"""The requests of a stand-in proxy: choice of endpoints, retries, ejection of failing endpoints."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from random import Random
from typing import NamedTuple, Optional

from ..grpc.resources import WeightedEndpoint
from ..invariants.record import Recorder
from ..net.http import RequestFailedError, connect
from ..net.http.client import ClientConnection, Response
from .proxy_plan import TWO_CHOICES, ProxyPlan
from .proxy_stats import EndpointTally, LoadStats
from .request_outcome import OUTCOME_BY_STATUS, Outcome, RequestClass, request_result

CONNECT_TIMEOUT = 0.7  # seconds
ATTEMPT_TIME_FRACTION = 0.6  # of the remaining time, for all attempts except the last
EJECTION_SPREAD = (0.6, 1.4)  # range of an ejection's duration, as factors of the planned one
MAX_ATTEMPTS = {"never": 1, "unstarted": 2, "once": 2, "twice": 3}  # by retry policy
PROXY_RESOLVER = "agent"  # resolver kind in the rows of proxies


class ProxyTables:
    """The tables and policies that a controller assigned to the proxy, by request class."""

    def __init__(self) -> None:
        self.entries: dict[str, list[WeightedEndpoint]] = {}
        self.admissions: dict[str, float] = {}  # admitted fraction of requests
        self.retry_policies: dict[str, str] = {}

    def addresses(self) -> set[str]:
        """Return the addresses of all endpoints."""
        return {entry.address for entries in self.entries.values() for entry in entries}


@dataclass(slots=True)
class ProxyRequest:
    """An active request; times are on the event loop's clock."""

    id: str
    request_class: RequestClass
    due: float
    deadline: float
    retry_policy: str
    max_attempts: int


class AttemptResult(NamedTuple):
    """The outcome of an attempt, and whether the endpoint may have run the request."""

    outcome: str
    may_have_run: bool


class RequestSender:
    """Sends a proxy's requests to the endpoints of its tables, and counts them."""

    def __init__(
        self, plan: ProxyPlan, tables: ProxyTables, rng: Random, recorder: Recorder
    ) -> None:
        self.plan = plan
        self.tables = tables
        self.rng = rng
        self.recorder = recorder
        self.loop = asyncio.get_running_loop()
        self.stats = LoadStats(plan, self.loop.time())
        self.idle_connections: dict[str, list[ClientConnection]] = {}  # connections by address
        self.in_flight: defaultdict[str, int] = defaultdict(int)  # requests by address
        self.failure_counts: defaultdict[str, int] = defaultdict(int)  # consecutive, by address
        self.ejected_until: dict[str, float] = {}

    async def run(self, request_id: str, request_class: RequestClass, due: float) -> None:
        """Admit or shed a request, run it with its retries, and record it."""
        tried_addresses: list[str] = []
        if self.rng.random() >= self.tables.admissions.get(request_class.name, 1.0):
            self.stats.dropped[request_class.name] += 1
            outcome: str = Outcome.SHED.value
            deadline = due + request_class.client_timeout
            request = ProxyRequest(request_id, request_class, due, deadline, "never", 0)
        else:
            request = self._build_request(request_id, request_class, due)
            outcome = await self._run_attempts(request, tried_addresses)
        self._record_request(request, outcome, len(tried_addresses))

    def _build_request(
        self, request_id: str, request_class: RequestClass, due: float
    ) -> ProxyRequest:
        retry_policy = self.tables.retry_policies.get(request_class.name, "unstarted")
        deadline = due + request_class.client_timeout
        return ProxyRequest(
            request_id, request_class, due, deadline, retry_policy, MAX_ATTEMPTS[retry_policy]
        )

    async def _run_attempts(self, request: ProxyRequest, tried_addresses: list[str]) -> str:
        """Try endpoints until the request ends, and return the outcome.

        The address of each tried endpoint is added to `tried_addresses`.
        """
        outcome: str = Outcome.UNRESOLVED.value
        while len(tried_addresses) < request.max_attempts and self.loop.time() < request.deadline:
            entry = self._choose_entry(request.request_class.name, tried_addresses)
            if entry is None:
                break
            tried_addresses.append(entry.address)
            outcome, may_have_run = await self._attempt(request, entry, len(tried_addresses))
            if outcome == Outcome.DONE or (request.retry_policy == "unstarted" and may_have_run):
                break
        return outcome

    def _record_request(self, request: ProxyRequest, outcome: str, attempts: int) -> None:
        now = self.loop.time()
        result = request_result(request, outcome, now, self.plan.late_gain)
        self.recorder.write_row(
            "req",
            now,
            request.id,
            request.request_class.name,
            self.plan.name,
            PROXY_RESOLVER,
            self.plan.pick,
            result.outcome,
            request.due,
            attempts,
            result.gain,
        )

    def _choose_entry(
        self, request_class: str, tried_addresses: list[str]
    ) -> Optional[WeightedEndpoint]:
        """Choose an untried entry at random by weight.

        Ejected endpoints are chosen only if all untried ones are ejected.
        """
        entries = self.tables.entries.get(request_class, ())
        untried = [entry for entry in entries if entry.address not in tried_addresses]
        now = self.loop.time()
        not_ejected = [
            entry for entry in untried if self.ejected_until.get(entry.address, 0.0) <= now
        ]
        candidates = not_ejected or untried
        if not candidates:
            return None
        weights = [entry.weight for entry in candidates]
        draw_count = 2 if self.plan.pick == TWO_CHOICES else 1
        drawn = self.rng.choices(candidates, weights, k=draw_count)
        return min(drawn, key=lambda entry: self.in_flight[entry.address])

    async def _attempt(
        self, request: ProxyRequest, entry: WeightedEndpoint, number: int
    ) -> AttemptResult:
        """Send a request to an endpoint once, and count the outcome."""
        start = self.loop.time()
        address = entry.address
        tally = self.stats.tallies[request.request_class.name, address]
        self.in_flight[address] += 1
        may_have_run = False
        try:
            connection = self._take_idle_connection(address) or await self._connect(
                request, entry, start
            )
            may_have_run = True
            self._record_sent(request, address, number)
            response = await self._send_request(request, connection, number, start)
            outcome = OUTCOME_BY_STATUS.get(response.status, Outcome.ERRORED.value)
            may_have_run = outcome not in (Outcome.DENIED, Outcome.SHED)
            _add_utilization(tally, response)
            if connection.usable:
                self.idle_connections.setdefault(address, []).append(connection)
        except RequestFailedError as error:
            outcome = error.outcome
        finally:
            self.in_flight[address] -= 1
        self._count_attempt(tally, address, outcome, self.loop.time() - start)
        return AttemptResult(outcome, may_have_run)

    async def _connect(
        self, request: ProxyRequest, entry: WeightedEndpoint, start: float
    ) -> ClientConnection:
        deadline = min(request.deadline, start + CONNECT_TIMEOUT)
        return await connect(self.loop, (entry.address, entry.port), deadline, self.plan.local)

    async def _send_request(
        self, request: ProxyRequest, connection: ClientConnection, number: int, start: float
    ) -> Response:
        time_fraction = ATTEMPT_TIME_FRACTION if number < request.max_attempts else 1.0
        return await connection.send_request(
            "POST",
            "/" + request.request_class.name,
            [("host", "x"), ("req-id", request.id)],
            b"",
            start + (request.deadline - start) * time_fraction,
        )

    def _record_sent(self, request: ProxyRequest, address: str, number: int) -> None:
        self.recorder.write_row(
            "try",
            self.loop.time(),
            request.id,
            request.request_class.name,
            self.plan.name,
            PROXY_RESOLVER,
            self.plan.pick,
            address,
            number,
            Outcome.SENT.value,
            True,
        )

    def _count_attempt(
        self, tally: EndpointTally, address: str, outcome: str, duration: float
    ) -> None:
        """Count an attempt, and eject the endpoint after enough failures in a row."""
        if outcome == Outcome.DONE:
            tally.done += 1
            tally.latency_sum += duration
            self.failure_counts[address] = 0
            return
        tally.errors += 1
        self.failure_counts[address] += 1
        if self.plan.fails_to_shun and self.failure_counts[address] >= self.plan.fails_to_shun:
            ejection_time = self.plan.shun_for * self.rng.uniform(*EJECTION_SPREAD)
            self.ejected_until[address] = self.loop.time() + ejection_time
            self.failure_counts[address] = 0

    def _take_idle_connection(self, address: str) -> Optional[ClientConnection]:
        connections = self.idle_connections.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.usable:
                return connection
        return None

    def close_unassigned(self) -> None:
        """Close idle connections to endpoints that are no longer in the tables."""
        assigned = self.tables.addresses()
        for address in [address for address in self.idle_connections if address not in assigned]:
            for connection in self.idle_connections.pop(address):
                connection.close()


def _add_utilization(tally: EndpointTally, response: Response) -> None:
    """Add the utilization from a response's `load-util` header, if it has one."""
    utilization = response.headers.get("load-util")
    if utilization:
        tally.utilization_sum += float(utilization)
        tally.utilization_reports += 1
