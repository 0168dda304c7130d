"""How many requests of each class come, and how much work they are."""

from math import fsum

from ..interface import RequestStats
from .context import PlannerContext
from .proxy_state import ProxyState

ROUND_DECAY = 0.9  # what is left of a class's count after a round
LEAST_REQUESTS = 1e-3  # never none: classes fall silent for hours
RATE_WINDOW = 3  # reports that a proxy's rate is averaged over


class RequestDemand:
    """Fading counts of requests by class."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        self.requests = [1.0] * len(context.settings["req_kinds"])  # by request class

    def add(self, proxy: ProxyState, event: RequestStats, admitted: float) -> None:
        """Count a proxy's requests of one class, of which a fraction was admitted lately.

        Rejected clients come again, about once: a class that is cut must not count for more than it
        asks for.
        """
        request_class = event.request_class
        self.requests[request_class] += event.requests / (2 - admitted)
        rate = event.requests / event.window
        average = proxy.class_rates.get(request_class, rate)
        proxy.class_rates[request_class] = average + (rate - average) / RATE_WINDOW
        proxy.request_rate = fsum(proxy.class_rates.values())

    def end_round(self) -> None:
        """Let the counts fade."""
        self.requests = [max(LEAST_REQUESTS, ROUND_DECAY * count) for count in self.requests]

    def work(self) -> list[float]:
        """By class; a request's response target stands in for its cost, which isn't reported."""
        classes = self.context.settings["req_kinds"]
        return [
            requests * request_class["response_target"]
            for requests, request_class in zip(self.requests, classes)
        ]

    def mean_target(self) -> float:
        """Seconds: the response target of the mean request."""
        return fsum(self.work()) / fsum(self.requests)
