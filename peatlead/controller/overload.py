"""Overload control of a controller: sheds optional work while timers fire late. No I/O.

    overload = OverloadControl(report_interval, uniform)
    commands = overload.decide(now, events)

Events:
- `ReportsRead`: load reports were processed in a measured time
- `TimerLateness`: a timer of the controller fired late by a measured time

Commands:
- `SetReportInterval`: the interval between load reports; each proxy receives its own interval with
  its next report (`report_interval_of`)
- `SetGatherWindow`: how long statistics are gathered before the planner receives them
- `LogOverload`: a log message

`accepts_report`, `join_delay` and `accepts_query` are called for each arrival.

Work is shed in this order:

1. The report interval is raised: each report then covers more time, and no data is lost.
2. Reports beyond the budget are dropped unread, evenly over all proxies.
3. Statistics are gathered for longer, so that the planner receives larger batches.
4. Operators' queries are limited to a few per second.
5. Proxies that already hold a table must retry their join; the table stays in force meanwhile.

Removals of endpoints are never shed. Joins of proxies without a table are never delayed, because no
proxy may be left without a table. Lateness is measured on the loop's clock. Simulated work takes no
time on that clock, so simulations shed nothing.
"""

from collections.abc import Callable, Iterable
from math import ceil
from typing import NamedTuple, Optional, Union

from .token_bucket import TokenBucket

MAX_NORMAL_LATENESS = 0.03  # seconds of mean timer lateness; above, optional work is reduced
SEVERE_LATENESS = 0.25  # seconds of mean timer lateness; from here on, all optional work stops
MAX_COUNTED_LATENESS = 0.5  # seconds per timer; limits the effect of a single stall
LATENESS_SMOOTHING = 0.2  # weight of a new value in the mean

MAX_REPORT_FRACTION = 0.35  # of all time, for processing reports at full headroom
MIN_REPORT_FRACTION = 0.03  # of all time, for processing reports without headroom
HEADROOM_INCREASE = 0.05  # added to the headroom when lateness is normal
HEADROOM_DECREASE_FACTOR = 0.7  # applied to the headroom when timers are late

MAX_INTERVAL_FACTOR = 8  # times the configured interval; limits the delay in noticing failures
INTERVAL_STEP_FACTOR = 1.25  # between two consecutive report intervals
MIN_INTERVAL_CHANGE_GAP = 5.0  # seconds between two changes of the report interval
INTERVAL_DECREASE_DELAY = 20.0  # seconds of full headroom before the interval is lowered
INTERVAL_SCATTER = 0.25  # fraction by which a proxy's interval may differ from the common interval
EARLY_REPORT_FRACTION = 0.4  # of the interval; an earlier report of the same proxy is dropped

INITIAL_REPORT_COST = 0.0004  # seconds to process a report
COST_SMOOTHING = 0.01  # weight of each report in the mean cost
MAX_COST_REPORTS = 10  # reports of one measurement that count for its weight
RATE_SMOOTHING = 0.1  # weight of a new value in the mean report rate

MAX_GATHER_FRACTION = 0.5  # of the configured report interval, for gathering statistics
JOIN_RATE = 600.0  # joins per second of proxies with a table, at full headroom
MEAN_JOIN_DELAY = 0.5  # seconds until a proxy retries its join
QUERY_RATE = 50.0  # operators' queries per second, at full headroom

LONG_AGO = -1e9  # seconds on the loop's clock, before all events


class ReportsRead(NamedTuple):
    """Event: `reports` load reports were processed in `seconds` on the loop's clock."""

    reports: int
    seconds: float


class TimerLateness(NamedTuple):
    """Event: a timer fired `late` seconds after its planned time; `proxies` are connected."""

    late: float
    proxies: int


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
    `uniform(low, high)` returns a random number. `headroom` summarizes the state: 1 means time for
    all work, and 0 means no time for optional work.
    """

    def __init__(self, report_interval: float, uniform: Callable[[float, float], float]) -> None:
        self.configured_interval = report_interval
        self.uniform = uniform
        self.now = 0.0
        self.commands: list[OverloadCommand] = []  # commands of the current call of `decide`
        self.headroom = 1.0
        self.mean_lateness = 0.0  # of timers, in seconds
        self.last_timer_at: Optional[float] = None  # when the last timer fired
        self.low_headroom_at = LONG_AGO  # when the headroom was last below 1
        self.report_cost = INITIAL_REPORT_COST  # mean seconds to process a report
        self.report_rate = 0.0  # mean arriving reports per second
        self.report_count = 0  # reports that arrived since the last timer
        self.read_fraction = 1.0  # fraction of the arriving reports that are processed
        self.interval = report_interval  # current common report interval in seconds
        self.interval_set_at = LONG_AGO
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
        if event.reports:
            weight = COST_SMOOTHING * min(MAX_COST_REPORTS, event.reports)
            self.report_cost += weight * (event.seconds / event.reports - self.report_cost)

    def on_timer(self, event: TimerLateness) -> None:
        """Update the headroom, the report budget and the intervals from a timer's lateness."""
        self.measure_rate()
        self.update_headroom(event.late)
        # Reports are held to their fraction of the time, whatever work has caused the lateness.
        budget = max(MIN_REPORT_FRACTION, MAX_REPORT_FRACTION * self.headroom)
        needed = self.report_rate * max(0.0, self.report_cost)
        self.read_fraction = min(1.0, budget / needed) if needed else 1.0
        self.set_interval(event.proxies * self.report_cost / budget)
        self.set_gather_window()

    def measure_rate(self) -> None:
        """Update the mean report rate from the reports that arrived since the last timer."""
        if self.last_timer_at is not None and self.now > self.last_timer_at:
            rate = self.report_count / (self.now - self.last_timer_at)
            self.report_count = 0
            self.report_rate += RATE_SMOOTHING * (rate - self.report_rate)
        self.last_timer_at = self.now

    def update_headroom(self, late: float) -> None:
        """Increase the headroom in steps while lateness is normal, or reduce it by a factor."""
        self.mean_lateness += LATENESS_SMOOTHING * (
            min(late, MAX_COUNTED_LATENESS) - self.mean_lateness
        )
        if self.mean_lateness <= MAX_NORMAL_LATENESS:
            self.headroom = min(1.0, self.headroom + HEADROOM_INCREASE)
        elif self.mean_lateness < SEVERE_LATENESS:
            self.headroom = max(0.0, self.headroom * HEADROOM_DECREASE_FACTOR)
        else:
            self.headroom = 0.0

    def set_interval(self, needed: float) -> None:
        """Set the report interval so that reports of all connected proxies fit into the budget.

        `needed` is the required interval in seconds. The interval is raised as soon as that is
        needed. To avoid oscillation the interval is lowered only by more than one step, and only
        after the headroom has been full for `INTERVAL_DECREASE_DELAY`.
        """
        new_interval = self.round_up(needed)
        if self.headroom < 1:
            self.low_headroom_at = self.now
        may_decrease = self.now - self.low_headroom_at >= INTERVAL_DECREASE_DELAY
        decreases = new_interval < self.interval / INTERVAL_STEP_FACTOR and may_decrease
        if (
            new_interval > self.interval or decreases
        ) and self.now - self.interval_set_at >= MIN_INTERVAL_CHANGE_GAP:
            self.interval = new_interval
            self.interval_set_at = self.now
            lateness = f"mean timer lateness {self.mean_lateness * 1000:.0f} ms"
            self.commands.append(SetReportInterval(new_interval))
            self.commands.append(
                LogOverload(f"load report interval {new_interval:.3g} s, {lateness}")
            )

    def round_up(self, interval: float) -> float:
        """Round up to the configured interval times a power of the step factor, up to a maximum."""
        max_interval = MAX_INTERVAL_FACTOR * self.configured_interval
        interval = min(max_interval, max(self.configured_interval, interval))
        rounded = self.configured_interval
        while rounded < interval * 0.999:
            rounded *= INTERVAL_STEP_FACTOR
        return min(rounded, max_interval)

    def set_gather_window(self) -> None:
        """Gather statistics for longer as the headroom decreases."""
        max_window = MAX_GATHER_FRACTION * self.configured_interval
        window = min(
            max_window,
            round((1.0 - self.headroom) * MAX_GATHER_FRACTION * self.configured_interval, 2),
        )
        if window != self.gather_window:
            self.gather_window = window
            self.commands.append(SetGatherWindow(window))

    def report_interval_of(self, phase: float) -> float:
        """Return the report interval of a proxy in seconds; `phase` is between 0 and 1.

        A raised interval differs between proxies by their phase. With the same interval for all,
        proxies whose reports arrive together would keep reporting together.
        """
        if self.interval == self.configured_interval:
            return self.interval
        return self.interval * (1 + INTERVAL_SCATTER * (2 * phase - 1))

    # Called for each arrival.

    def accepts_report(self, now: float, last_read_at: Optional[float], index: int) -> bool:
        """Return whether a load report should be processed.

        `last_read_at` is when the proxy's last processed report arrived, or None. `index` is the
        number of reports that the proxy has sent before. A fraction `read_fraction` of a proxy's
        reports is processed, spread evenly over the indices.
        """
        if last_read_at is not None and now - last_read_at < EARLY_REPORT_FRACTION * self.interval:
            # Not counted in the report rate: a flooding proxy must not reduce `read_fraction`.
            self.shed_counts["reports early"] += 1
            return False
        self.report_count += 1
        if ceil((index + 1) * self.read_fraction) == ceil(index * self.read_fraction):
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
            "reports every": self.interval,
            "reports a second": round(self.report_rate, 1),
            "us a report": round(self.report_cost * 1e6),
            "read": round(self.read_fraction, 3),
            "gather": self.gather_window,
            "shed": dict(self.shed_counts),
        }
