"""Overload control of a controller: sheds optional work while timers fire late. No I/O.

    overload = OverloadControl(report_interval, uniform)
    commands = overload.decide(now, events)

Events:
- `ReportsRead`: load reports were processed in a measured time
- `TimerLateness`: a timer of the controller fired late by a measured time

Commands:
- `SetReportInterval`: the common interval between load reports; each proxy receives an interval of
  its own (`proxy_report_interval`) in the response to its next report
- `SetGatherWindow`: how long statistics are gathered before the planner receives them
- `LogOverload`: a log message

`accepts_report`, `join_delay` and `accepts_query` are called for each report, join and query that
arrives.

Work is shed in this order:

1. The report interval is raised: each report then covers a longer time, and no data is lost.
2. Reports beyond the budget are dropped unread, evenly over all proxies.
3. Statistics are gathered for longer, so that the planner receives larger batches.
4. Operators' queries are limited to a few per second.
5. Proxies that already hold a table must retry their join; meanwhile they use that table.

Removals of endpoints are never shed. Joins of proxies without a table are never delayed, because no
proxy may be left without a table. Lateness is measured on the loop's clock. Simulated work takes no
time on that clock, so simulations shed nothing.
"""

from collections.abc import Callable, Iterable
from math import ceil
from typing import NamedTuple, Optional, Union

from .token_bucket import TokenBucket

MAX_NORMAL_LATENESS = 0.03  # seconds of mean timer lateness; optional work is reduced above it
SEVERE_LATENESS = 0.25  # seconds of mean timer lateness; the headroom is 0 from this value on
MAX_COUNTED_LATENESS = 0.5  # seconds per timer; limits the effect of a single stall
LATENESS_SMOOTHING = 0.2  # weight of a new value in the mean lateness

MAX_REPORT_FRACTION = 0.35  # of all time, for processing reports at full headroom
MIN_REPORT_FRACTION = 0.03  # of all time, for processing reports without headroom
HEADROOM_INCREASE = 0.05  # added to the headroom when lateness is normal
HEADROOM_DECREASE_FACTOR = 0.7  # applied to the headroom when timers are late

# Maximum report interval, as a multiple of the configured interval. The maximum limits the delay
# in noticing failures.
MAX_INTERVAL_FACTOR = 8
INTERVAL_STEP_FACTOR = 1.25  # ratio of two consecutive steps of the report interval
MIN_INTERVAL_CHANGE_GAP = 5.0  # seconds between two changes of the report interval
INTERVAL_DECREASE_DELAY = 20.0  # seconds of full headroom before the interval is lowered
INTERVAL_SCATTER = 0.25  # fraction by which a proxy's interval may differ from the common interval
# A report is dropped if it arrives within this fraction of the report interval after the last
# processed report of the same proxy.
EARLY_REPORT_FRACTION = 0.4

INITIAL_REPORT_COST = 0.0004  # seconds to process a report
COST_SMOOTHING = 0.01  # weight of each report in the mean cost
MAX_COST_REPORTS = 10  # further reports do not increase the weight of a measurement
RATE_SMOOTHING = 0.1  # weight of a new value in the mean report rate

MAX_GATHER_FRACTION = 0.5  # maximum gather window as a fraction of the configured report interval
JOIN_RATE = 600.0  # joins per second of proxies with a table, at full headroom
MEAN_JOIN_DELAY = 0.5  # seconds until a proxy retries a delayed join
QUERY_RATE = 50.0  # operators' queries per second, at full headroom

LONG_AGO = -1e9  # seconds on the loop's clock, before all events


class ReportsRead(NamedTuple):
    """Event: `report_count` load reports were processed in `seconds` on the loop's clock."""

    report_count: int
    seconds: float


class TimerLateness(NamedTuple):
    """Event: a timer fired `lateness` seconds after its planned time.

    `proxy_count` is the number of connected proxies.
    """

    lateness: float
    proxy_count: int


class SetReportInterval(NamedTuple):
    """Command: set the common interval between two load reports of a proxy."""

    seconds: float


class SetGatherWindow(NamedTuple):
    """Command: set how long statistics are gathered before the planner receives them."""

    seconds: float


class LogOverload(NamedTuple):
    """Command: write a log message."""

    text: str


OverloadEvent = Union[ReportsRead, TimerLateness]
OverloadCommand = Union[SetReportInterval, SetGatherWindow, LogOverload]


class OverloadControl:
    """Decides how much optional work a controller accepts.

    `report_interval` is the configured number of seconds between two load reports of a proxy.
    `uniform(low, high)` returns a random number. `headroom` is the fraction of optional work that
    the controller has time for, between 0 and 1.
    """

    def __init__(self, report_interval: float, uniform: Callable[[float, float], float]) -> None:
        self.configured_interval = report_interval
        self.uniform = uniform
        self.now = 0.0
        self.commands: list[OverloadCommand] = []  # commands of the current call of `decide`
        self.headroom = 1.0
        self.mean_lateness = 0.0  # seconds, moving average over the timers
        self.last_timer_at: Optional[float] = None  # when the last timer fired
        self.low_headroom_at = LONG_AGO  # when the headroom was last below 1
        self.report_cost = INITIAL_REPORT_COST  # mean seconds to process a report
        self.report_rate = 0.0  # mean of the arriving reports per second
        self.report_count = 0  # reports since the last timer, without reports dropped as too early
        self.read_fraction = 1.0  # fraction of the arriving reports that are processed
        self.report_interval = report_interval  # current common report interval in seconds
        self.report_interval_set_at = LONG_AGO
        self.gather_window = 0.0  # seconds for which statistics are gathered
        self.join_bucket = TokenBucket(JOIN_RATE)
        self.query_bucket = TokenBucket(QUERY_RATE)
        self.shed_counts = {"reports early": 0, "reports": 0, "joins": 0, "questions": 0}

    def decide(self, now: float, events: Iterable[OverloadEvent]) -> list[OverloadCommand]:
        """Return the commands that follow from the events."""
        self.now = now
        self.commands = []
        for event in events:
            if isinstance(event, ReportsRead):
                self.on_reports_read(event)
            else:
                self.on_timer(event)
        return self.commands

    def on_reports_read(self, event: ReportsRead) -> None:
        """Update the mean cost of a load report."""
        if event.report_count:
            weight = COST_SMOOTHING * min(MAX_COST_REPORTS, event.report_count)
            self.report_cost += weight * (event.seconds / event.report_count - self.report_cost)

    def on_timer(self, event: TimerLateness) -> None:
        """Update the headroom, the report budget and the intervals from a timer's lateness."""
        self.update_report_rate()
        self.update_headroom(event.lateness)
        # The budget is in seconds of report processing per second. It depends only on the headroom,
        # not on which work has delayed the timers.
        budget = max(MIN_REPORT_FRACTION, MAX_REPORT_FRACTION * self.headroom)
        required = self.report_rate * max(0.0, self.report_cost)
        self.read_fraction = min(1.0, budget / required) if required else 1.0
        self.update_report_interval(event.proxy_count * self.report_cost / budget)
        self.update_gather_window()

    def update_report_rate(self) -> None:
        """Update the mean report rate from the reports that arrived since the last timer."""
        if self.last_timer_at is not None and self.now > self.last_timer_at:
            rate = self.report_count / (self.now - self.last_timer_at)
            self.report_count = 0
            self.report_rate += RATE_SMOOTHING * (rate - self.report_rate)
        self.last_timer_at = self.now

    def update_headroom(self, lateness: float) -> None:
        """Increase the headroom in steps while lateness is normal, or reduce it by a factor."""
        self.mean_lateness += LATENESS_SMOOTHING * (
            min(lateness, MAX_COUNTED_LATENESS) - self.mean_lateness
        )
        if self.mean_lateness <= MAX_NORMAL_LATENESS:
            self.headroom = min(1.0, self.headroom + HEADROOM_INCREASE)
        elif self.mean_lateness < SEVERE_LATENESS:
            self.headroom = max(0.0, self.headroom * HEADROOM_DECREASE_FACTOR)
        else:
            self.headroom = 0.0

    def update_report_interval(self, required_interval: float) -> None:
        """Set the report interval so that reports of all connected proxies fit into the budget.

        `required_interval` is in seconds. If it is longer than the current interval, the interval
        is raised at once. To avoid oscillation the interval is lowered only by more than one step,
        and only after the headroom has been full for `INTERVAL_DECREASE_DELAY`. Two changes are at
        least `MIN_INTERVAL_CHANGE_GAP` apart.
        """
        new_interval = self.round_up_interval(required_interval)
        if self.headroom < 1:
            self.low_headroom_at = self.now
        may_decrease = self.now - self.low_headroom_at >= INTERVAL_DECREASE_DELAY
        decreases = new_interval < self.report_interval / INTERVAL_STEP_FACTOR and may_decrease
        if (
            new_interval > self.report_interval or decreases
        ) and self.now - self.report_interval_set_at >= MIN_INTERVAL_CHANGE_GAP:
            self.report_interval = new_interval
            self.report_interval_set_at = self.now
            lateness = f"mean timer lateness {self.mean_lateness * 1000:.0f} ms"
            self.commands.append(SetReportInterval(new_interval))
            self.commands.append(
                LogOverload(f"load report interval {new_interval:.3g} s, {lateness}")
            )

    def round_up_interval(self, interval: float) -> float:
        """Round up to the configured interval times a power of the step factor, up to a maximum."""
        max_interval = MAX_INTERVAL_FACTOR * self.configured_interval
        interval = min(max_interval, max(self.configured_interval, interval))
        rounded = self.configured_interval
        while rounded < interval * 0.999:
            rounded *= INTERVAL_STEP_FACTOR
        return min(rounded, max_interval)

    def update_gather_window(self) -> None:
        """Set the gather window: the lower the headroom, the longer statistics are gathered."""
        max_window = MAX_GATHER_FRACTION * self.configured_interval
        window = min(
            max_window,
            round((1.0 - self.headroom) * MAX_GATHER_FRACTION * self.configured_interval, 2),
        )
        if window != self.gather_window:
            self.gather_window = window
            self.commands.append(SetGatherWindow(window))

    def proxy_report_interval(self, phase: float) -> float:
        """Return the report interval of a proxy in seconds; `phase` is between 0 and 1.

        A raised interval depends on the proxy's phase. With the same interval for all proxies,
        reports that arrive at the same time would do so again in each interval.
        """
        if self.report_interval == self.configured_interval:
            return self.report_interval
        return self.report_interval * (1 + INTERVAL_SCATTER * (2 * phase - 1))

    # Methods that are called for each report, join or query that arrives.

    def accepts_report(self, now: float, last_read_at: Optional[float], report_index: int) -> bool:
        """Return whether a load report should be processed.

        `last_read_at` is when the proxy's last processed report arrived, or None. `report_index` is
        the number of reports that the proxy has sent before. A fraction `read_fraction` of each
        proxy's reports is processed, spread evenly over the indices.
        """
        if (
            last_read_at is not None
            and now - last_read_at < EARLY_REPORT_FRACTION * self.report_interval
        ):
            # Not counted in the report rate: a flooding proxy must not reduce `read_fraction`.
            self.shed_counts["reports early"] += 1
            return False
        self.report_count += 1
        if ceil((report_index + 1) * self.read_fraction) == ceil(report_index * self.read_fraction):
            self.shed_counts["reports"] += 1
            return False
        return True

    def join_delay(self, now: float, without_table: bool) -> float:
        """Return the seconds that a proxy must wait before it joins.

        A proxy without a table never waits.
        """
        if without_table or self.join_bucket.take(
            now, JOIN_RATE * max(MIN_REPORT_FRACTION, self.headroom)
        ):
            return 0.0
        self.shed_counts["joins"] += 1
        return self.uniform(0.5, 1.5) * MEAN_JOIN_DELAY

    def accepts_query(self, now: float) -> bool:
        """Return whether an operator's query should be answered."""
        if self.query_bucket.take(now, QUERY_RATE * max(MIN_REPORT_FRACTION, self.headroom)):
            return True
        self.shed_counts["questions"] += 1
        return False

    def status(self) -> dict[str, object]:
        """Return the state as operators see it."""
        return {
            "ease": round(self.headroom, 3),
            "late ms": round(self.mean_lateness * 1000, 1),
            "reports every": self.report_interval,
            "reports a second": round(self.report_rate, 1),
            "us a report": round(self.report_cost * 1e6),
            "read": round(self.read_fraction, 3),
            "gather": self.gather_window,
            "shed": dict(self.shed_counts),
        }
