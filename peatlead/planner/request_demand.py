"""The number of requests and the amount of work by request class."""

from math import fsum

from ..interface import RequestStats
from .context import PlannerContext
from .proxy_state import ProxyState

ROUND_DECAY = 0.9  # fraction of a class's count that remains after a round
MIN_REQUESTS = 1e-3  # lower bound of a class's count, since a class may be unused for hours
RATE_WINDOW = 3  # reports that a proxy's rate is averaged over


class RequestDemand:
    """Counts the requests of each class, with decay."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        # Decaying counts by request class.
        self.requests = [1.0] * len(context.settings["req_kinds"])

    def add(self, proxy: ProxyState, event: RequestStats, admitted_fraction: float) -> None:
        """Count a proxy's requests of one class, of which a fraction was recently admitted.

        Clients repeat a rejected request about once. These repetitions are excluded from the count.
        """
        request_class = event.request_class
        self.requests[request_class] += event.requests / (2 - admitted_fraction)
        rate = event.requests / event.window
        average = proxy.class_rates.get(request_class, rate)
        proxy.class_rates[request_class] = average + (rate - average) / RATE_WINDOW
        proxy.request_rate = fsum(proxy.class_rates.values())

    def end_round(self) -> None:
        """Decay the counts."""
        self.requests = [max(MIN_REQUESTS, ROUND_DECAY * count) for count in self.requests]

    def work(self) -> list[float]:
        """Return the work by class.

        The cost of a request is not reported, so its response target is used as an approximation.
        """
        classes = self.context.settings["req_kinds"]
        return [
            requests * request_class["response_target"]
            for requests, request_class in zip(self.requests, classes)
        ]

    def mean_target(self) -> float:
        """Return the mean response target of all requests, in seconds."""
        return fsum(self.work()) / fsum(self.requests)
