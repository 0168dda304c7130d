"""Bounds of the numbers in events.

These numbers come from peers. A number that is valid by itself can still make a value computed from
it infinite, NaN or absurdly high, and an average would then keep that value. Each mechanism
therefore checks an event with these functions before it changes any state, on every wire. All
comparisons are written so that they fail for NaN.

An event with an unusable number is ignored, unless the rest of the event must not be lost: then a
neutral value replaces the number. Bounds relative to what other peers report are applied by the
mechanisms themselves (docs/design.md).
"""

from ..interface import EndpointStats, RequestStats

MAX_REPORTED_COUNT = 1e7  # requests or attempts in one report
MAX_WINDOW = 1e4  # seconds that one report covers
MAX_RATE = 1e6  # requests per second of one proxy, or at one endpoint
MAX_LATENCY = 1e4  # seconds
# A rate is computed over at least this fraction of the reporting interval: a report that covers
# less, such as the first of a stream, says little about the rate.
MIN_RATE_WINDOW_FRACTION = 0.5
MIN_RATE_WINDOW = 1e-3  # seconds, if reports have no configured interval

MIN_WEIGHT = 1e-6  # a smaller weight, except 0, is unusable
MAX_WEIGHT = 1e9
DEFAULT_WEIGHT = 1.0  # replaces an unusable weight of an endpoint that has no other


def rate_window(window: float, reporting_interval: float) -> float:
    """Return the seconds by which the counts of a report are divided to compute a rate."""
    return max(window, MIN_RATE_WINDOW_FRACTION * reporting_interval, MIN_RATE_WINDOW)


def request_stats_are_usable(event: RequestStats, reporting_interval: float) -> bool:
    """Return whether a report on the requests of a proxy can be used."""
    return (
        0 <= event.requests <= MAX_REPORTED_COUNT
        and 0 < event.window <= MAX_WINDOW
        and event.requests / rate_window(event.window, reporting_interval) <= MAX_RATE
    )


def endpoint_stats_are_usable(event: EndpointStats, reporting_interval: float) -> bool:
    """Return whether a report on the attempts at an endpoint can be used."""
    return (
        0 <= event.errors <= event.attempts <= MAX_REPORTED_COUNT
        and 0 <= event.window <= MAX_WINDOW
        and 0 <= event.mean_latency <= MAX_LATENCY
        and event.attempts / rate_window(event.window, reporting_interval) <= MAX_RATE
    )


def usable_rate(request_rate: float) -> float:
    """Return an announced rate in requests per second, or 0 (unknown) if it is unusable."""
    return request_rate if 0 <= request_rate <= MAX_RATE else 0.0


def usable_weight(weight: float, previous_weight: float) -> float:
    """Return a listed weight, or the previous weight if the listed one is unusable."""
    return weight if weight == 0 or MIN_WEIGHT <= weight <= MAX_WEIGHT else previous_weight
