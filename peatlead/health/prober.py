"""Active health checks: HTTP/1.1 probes with a deadline and a limit on concurrent probes.

Each probe opens a new connection, as a new client would, so that an endpoint that accepts no
further connections fails its probe. The caller supplies additional headers and interprets the
responses.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from ..interface import HealthCheckOutcome, LoadReport
from ..net.http import Header, RequestFailedError, Response, connect

MAX_RESPONSE_BYTES = 64 << 10  # body of a response; a load report takes a few hundred bytes


class ProbeSettings(TypedDict):
    """The settings that a prober uses, with the names of the settings file."""

    path: str
    deadline: float  # timeout of a whole probe, in seconds
    at_once: int  # maximum number of probes in flight
    waiting_most: int  # maximum number of queued probes


class QueuedProbe(NamedTuple):
    """A probe that has not started."""

    endpoint: int
    address: tuple[str, int]  # host, port


class Prober:
    """Probes endpoints and passes each result to a callback.

    `on_result(endpoint, outcome, duration, load_report, request_counts)` is called after each
    probe; the duration is in seconds. `parse_response(response)` returns the outcome, the load
    report and the request counts; the last two are None if the response has none.
    `extra_headers()` returns additional request headers. `local_address` is the source address of
    probes, or None for the default.
    """

    def __init__(
        self,
        settings: ProbeSettings,
        on_result: Callable[[int, str, float, LoadReport | None, Any], object],
        parse_response: Callable[[Response], tuple[str, LoadReport | None, Any]],
        extra_headers: Callable[[], Iterable[Header]] = list,
        local_address: str | None = None,
    ) -> None:
        self.settings = settings
        self.on_result = on_result
        self.parse_response = parse_response
        self.extra_headers = extra_headers
        self.local_address = local_address
        self.queue: deque[QueuedProbe] = deque()
        self.tasks: dict[int, asyncio.Task[None]] = {}  # probes in flight, by endpoint
        self.dropped_count = 0  # number of probes dropped because the queue was full

    def probe(self, endpoint: int, address: tuple[str, int]) -> None:
        """Start or queue a probe, unless a probe of the endpoint is in flight or queued."""
        if endpoint in self.tasks or any(endpoint == queued.endpoint for queued in self.queue):
            return
        if len(self.queue) >= self.settings["waiting_most"]:
            self.dropped_count += 1  # the planner orders another probe later
            return
        self.queue.append(QueuedProbe(endpoint, address))
        self.start_queued_probes()

    def start_queued_probes(self) -> None:
        """Start queued probes while fewer than `at_once` probes are in flight."""
        loop = asyncio.get_running_loop()
        while self.queue and len(self.tasks) < self.settings["at_once"]:
            endpoint, address = self.queue.popleft()
            self.tasks[endpoint] = loop.create_task(
                self.run_probe(endpoint, address), name=f"probe {endpoint}"
            )

    async def run_probe(self, endpoint: int, address: tuple[str, int]) -> None:
        """Send one probe and report its result."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        load_report = request_counts = connection = None
        deadline = started_at + self.settings["deadline"]
        try:
            connection = await connect(
                loop, address, deadline, self.local_address, MAX_RESPONSE_BYTES
            )
            headers = [("host", address[0]), ("connection", "close"), *self.extra_headers()]
            response = await connection.send_request(
                "GET", self.settings["path"], headers, b"", deadline
            )
            outcome, load_report, request_counts = self.parse_response(response)
        except RequestFailedError as error:
            outcome = error.outcome
        except Exception:  # of the reader: without a result, the next checks would not start
            outcome = HealthCheckOutcome.BROKEN
        finally:
            if connection is not None:
                connection.abort("probe done")
            self.tasks.pop(endpoint, None)
        self.on_result(endpoint, outcome, loop.time() - started_at, load_report, request_counts)
        self.start_queued_probes()

    def stop(self) -> None:
        """Cancel all probes, queued or in flight."""
        self.queue.clear()
        for task in list(self.tasks.values()):
            task.cancel()
