"""The number of requests and the amount of work by request class."""

from collections.abc import Iterable
from math import fsum

from ..interface import RequestStats
from .context import PlannerContext
from .input_bounds import rate_window
from .proxy_state import ProxyState
from .statistics import median

ROUND_DECAY = 0.9  # fraction of a class's count that remains after a round
MIN_REQUESTS = 1e-3  # lower bound of a class's count, since a class may be unused for hours
RATE_WINDOW = 3  # reports that a proxy's rate is averaged over
# A report can raise a proxy's rate only towards this multiple of the rate known before.
MAX_RATE_GROWTH = 16
MIN_KNOWN_RATE = 1.0  # requests per second, lower bound of the rate that MAX_RATE_GROWTH applies to
# A rate that a proxy announces counts as at most this multiple of the median until it is reported.
MAX_ANNOUNCED_FACTOR = 8
MIN_PROXY_RATE = 0.1  # requests per second, lower bound of a proxy's rate
MIN_TOTAL_REQUESTS = 100.0  # lower bound of the limit on the count of one report


class RequestDemand:
    """Counts the requests of each class, with decay."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        # Decaying counts by request class.
        self.requests = [1.0] * len(context.settings["req_kinds"])

    def add(self, proxy: ProxyState, event: RequestStats, admitted_fraction: float) -> None:
        """Count a proxy's requests of one class, of which a fraction was recently admitted.

        Clients repeat a rejected request about once. These repetitions are excluded from the count.
        A report with an impossible count or window adds at most as much as all reports before it.
        """
        request_class = event.request_class
        requests = min(event.requests, max(MIN_TOTAL_REQUESTS, fsum(self.requests)))
        self.requests[request_class] += requests / (2 - admitted_fraction)
        known_rate = proxy.class_rates.get(request_class, proxy.announced_rate)
        window = rate_window(event.window, self.context.settings["sums_every"])
        max_rate = MAX_RATE_GROWTH * max(MIN_KNOWN_RATE, known_rate)
        rate = min(event.requests / window, max_rate)
        average = proxy.class_rates.get(request_class, rate)
        proxy.class_rates[request_class] = average + (rate - average) / RATE_WINDOW
        proxy.request_rate = fsum(proxy.class_rates.values())
        proxy.rate_is_announced = False

    def max_announced_rate(self) -> float:
        """Return the limit on a rate that only the proxy's announcement tells.

        A single proxy with an impossible rate must not move the tables of all.
        """
        median_rate = median([proxy.request_rate for proxy in self.context.connected_proxies])
        return MAX_ANNOUNCED_FACTOR * max(MIN_KNOWN_RATE, median_rate)

    def rate(self, proxies: Iterable[ProxyState], request_classes: list[int]) -> float:
        """Return the requests per second of proxies for some classes, as a number of mean requests.

        A request counts as its work relative to the mean.
        """
        max_announced_rate = self.max_announced_rate()
        total_requests, mean_target = fsum(self.requests), self.mean_target()
        classes = self.context.settings["req_kinds"]
        proxy_rates = []
        for proxy in proxies:
            rates = proxy.class_rates or self._announced_rates(
                proxy, request_classes, max_announced_rate, total_requests
            )
            work = [
                rates.get(request_class, 0.0) * classes[request_class]["response_target"]
                for request_class in request_classes
            ]
            proxy_rates.append(fsum(work) / mean_target)
        return fsum(proxy_rates)

    def _announced_rates(
        self,
        proxy: ProxyState,
        request_classes: list[int],
        max_announced_rate: float,
        total_requests: float,
    ) -> dict[int, float]:
        """Return the rates by class of a proxy whose requests have not been reported yet.

        Its announced rate is divided among the classes like the requests of all proxies.
        """
        rate_per_request = total_rate(proxy, max_announced_rate) / total_requests
        return {
            request_class: rate_per_request * self.requests[request_class]
            for request_class in request_classes
        }

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


def total_rate(proxy: ProxyState, max_announced_rate: float) -> float:
    """Return a proxy's requests per second of all classes.

    A rate that is only announced counts as at most `max_announced_rate`.
    """
    max_rate = max_announced_rate if proxy.rate_is_announced else proxy.request_rate
    return max(MIN_PROXY_RATE, min(proxy.request_rate, max_rate))
