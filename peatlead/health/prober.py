"""Active health checks: probes over HTTP/1.1, bounded in number, each with a deadline.

Each probe opens a new connection, as a new client would: an endpoint that accepts no further
connections fails it. Additional headers and the reading of responses are up to the caller.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from ..interface import LoadReport
from ..net.http import Header, RequestFailedError, Response, connect


class ProbeSettings(TypedDict):
    """The settings that a prober uses; their names are those of the settings file."""

    path: str
    deadline: float  # seconds for a whole probe
    at_once: int  # probes in flight
    waiting_most: int  # probes that wait for one in flight


class QueuedProbe(NamedTuple):
    """A probe that waits for one in flight."""

    endpoint: int
    address: tuple[str, int]


class Prober:
    """Probes endpoints and passes each result to a callback.

    It calls `on_result(endpoint, outcome, duration, load report, request counts)`.

    `read(response)` returns the outcome, the load report and the request counts; these are None if
    the response holds none. `headers()` returns additional headers. `local` is the address to probe
    from, if any.
    """

    def __init__(
        self,
        settings: ProbeSettings,
        on_result: Callable[[int, str, float, LoadReport | None, Any], object],
        read: Callable[[Response], tuple[str, LoadReport | None, Any]],
        headers: Callable[[], Iterable[Header]] = list,
        local: str | None = None,
    ) -> None:
        self.settings = settings
        self.on_result = on_result
        self.read = read
        self.headers = headers
        self.local = local
        self.waiting: deque[QueuedProbe] = deque()
        self.tasks: dict[int, asyncio.Task[None]] = {}  # by endpoint
        self.dropped = 0  # probes that found the queue full

    def probe(self, endpoint: int, address: tuple[str, int]) -> None:
        """Start a probe or queue it, unless one of the endpoint is in flight or queued."""
        if endpoint in self.tasks or any(endpoint == queued.endpoint for queued in self.waiting):
            return
        if len(self.waiting) >= self.settings["waiting_most"]:
            self.dropped += 1  # the planner orders it again in a second
            return
        self.waiting.append(QueuedProbe(endpoint, address))
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued probes as far as the bound of those in flight allows."""
        loop = asyncio.get_running_loop()
        while self.waiting and len(self.tasks) < self.settings["at_once"]:
            endpoint, address = self.waiting.popleft()
            self.tasks[endpoint] = loop.create_task(
                self.run_probe(endpoint, address), name=f"probe {endpoint}"
            )

    async def run_probe(self, endpoint: int, address: tuple[str, int]) -> None:
        """Send one probe and report its result."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        report = counts = stream = None
        deadline = start + self.settings["deadline"]
        try:
            stream = await connect(loop, address, deadline, self.local)
            headers = [("host", address[0]), ("connection", "close"), *self.headers()]
            response = await stream.send_request(
                "GET", self.settings["path"], headers, b"", deadline
            )
            outcome, report, counts = self.read(response)
        except RequestFailedError as error:
            outcome = error.outcome
        finally:
            if stream is not None:
                stream.abort("probe done")
            self.tasks.pop(endpoint, None)
        self.on_result(endpoint, outcome, loop.time() - start, report, counts)
        self.start_queued()

    def stop(self) -> None:
        """Cancel all probes."""
        self.waiting.clear()
        for task in list(self.tasks.values()):
            task.cancel()
