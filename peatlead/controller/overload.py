"""Overload control of a controller: sheds optional work while the controller runs late. No I/O.

    overload = OverloadControl(report_interval, uniform)
    commands = overload.decide(now, events)

Events:
- `Did`: load reports were read, and what that has cost
- `Beat`: how late a timer of the controller fired

Commands:
- `SetReportInterval`: the interval between load reports; each proxy is sent its own with its next
  report (`interval_of`)
- `Gather`: for how long statistics are collected before the planner gets them
- `Say`: a line for the log

`takes_report`, `takes_join` and `takes_question` are asked for each arrival.

Work is shed in this order:

1. The report interval is raised: a report then covers more time, and nothing is lost.
2. Reports beyond the budget are dropped unread, evenly over all proxies.
3. Statistics are gathered for longer and reach the planner in larger batches.
4. Operators' queries are limited to a few a second.
5. Proxies that bring a table have to retry their join; the table stays in force meanwhile.

Removals of endpoints are never shed, and neither are joins of proxies without a table: no proxy may
be left without one. Lateness is measured on the loop's clock: simulated work takes no time, so that
nothing is shed in simulations.
"""

from collections.abc import Callable, Iterable
from math import ceil
from typing import NamedTuple, Optional, Union

from .token_bucket import TokenBucket

LATE_LIMIT = 0.03  # seconds of mean timer lateness above which optional work is reduced
LATE_SEVERE = 0.25  # seconds of mean timer lateness above which all optional work stops
LATE_CAP = 0.5  # seconds that one timer counts for at most, so that a single stall is soon over
LATE_SMOOTHING = 0.2  # weight of a new lateness in the mean

REPORT_SHARE = 0.35  # part of all time that reading reports may take at full headroom
REPORT_SHARE_LEAST = 0.03  # the same with no headroom
HEADROOM_GAIN = 0.05  # added to the headroom by a timer in time
HEADROOM_LOSS = 0.7  # factor of the headroom by a timer that is late

INTERVAL_FACTOR_MOST = 8  # times the configured interval: failures are noticed that much later
INTERVAL_STEP = 1.25  # factor between two intervals in use
INTERVAL_GAP = 5.0  # seconds at least between two changes of the interval
INTERVAL_LOWER_AFTER = 20.0  # seconds of full headroom before the interval is lowered
INTERVAL_SCATTER = 0.25  # part by which the intervals of proxies differ from the common one
EARLY_SHARE = 0.4  # part of the interval before which a proxy's next report is dropped

COST_ESTIMATE = 0.0004  # seconds that reading a report takes, until measured
COST_SMOOTHING = 0.01  # weight of a new measurement, for each report in it
COST_REPORTS_MOST = 10  # reports that one measurement counts for at most
RATE_SMOOTHING = 0.1  # weight of a new report rate in the mean

GATHER_MOST = 0.5  # part of the configured interval for which statistics may be gathered
JOIN_RATE = 600.0  # joins a second with a table at full headroom
JOIN_WAIT = 0.5  # mean seconds until a delayed join is tried again
QUERY_RATE = 50.0  # operators' queries a second at full headroom

LONG_AGO = -1e9  # seconds on the loop's clock


class ReportsRead(NamedTuple):
    """Event: `reports` load reports were read in `seconds` of the loop's time."""

    reports: int
    seconds: float


class TimerLateness(NamedTuple):
    """Event: a timer fired `late` seconds after its time, with `proxies` connected."""

    late: float
    proxies: int


class SetReportInterval(NamedTuple):
    """Command: the common interval between two load reports of a proxy."""

    seconds: float


class SetGatherWindow(NamedTuple):
    """Command: for how long statistics are gathered before the planner gets them."""

    seconds: float


class LogOverload(NamedTuple):
    """Command: a line for the log."""

    text: str


OverloadEvent = Union[ReportsRead, TimerLateness]
OverloadCommand = Union[SetReportInterval, SetGatherWindow, LogOverload]


class OverloadControl:
    """Decides what optional work a controller takes on.

    `every` is the configured number of seconds between two load reports of a proxy, and
    `uniform(low, high)` draws a random number. The state in short is `headroom`: 1 with time for
    everything, 0 with none for what can wait.
    """

    def __init__(self, every: float, uniform: Callable[[float, float], float]) -> None:
        self.every = every
        self.uniform = uniform
        self.now = 0.0
        self.commands: list[OverloadCommand] = []  # of the current call of `decide`
        self.headroom = 1.0
        self.late = 0.0  # mean lateness of timers, in seconds
        self.beat_at: Optional[float] = None  # when the last timer fired
        self.strained_at = LONG_AGO  # when the headroom was last below 1
        self.cost = COST_ESTIMATE  # mean seconds that reading a report takes
        self.rate = 0.0  # mean reports a second that arrive
        self.counted = 0  # reports that arrived since the last timer
        self.share = 1.0  # part of the arriving reports that is read
        self.interval = every  # common interval between reports now
        self.interval_set_at = LONG_AGO
        self.gather = 0.0  # seconds for which statistics are gathered
        self.joins = TokenBucket(JOIN_RATE)
        self.questions = TokenBucket(QUERY_RATE)
        self.shed = {"reports early": 0, "reports": 0, "joins": 0, "questions": 0}

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
        """Update the mean cost of a report."""
        if event.reports:
            weight = COST_SMOOTHING * min(COST_REPORTS_MOST, event.reports)
            self.cost += weight * (event.seconds / event.reports - self.cost)

    def on_timer(self, event: TimerLateness) -> None:
        """Adapt to how late the timer fired."""
        self.measure_rate()
        self.update_headroom(event.late)
        # Late by its own work or not, reports have to come down to their part of the time.
        budget = max(REPORT_SHARE_LEAST, REPORT_SHARE * self.headroom)
        needed = self.rate * max(0.0, self.cost)
        self.share = min(1.0, budget / needed) if needed else 1.0
        self.set_interval(event.proxies * self.cost / budget)
        self.set_gather()

    def measure_rate(self) -> None:
        """Update the mean rate of reports by those that arrived since the last timer."""
        if self.beat_at is not None and self.now > self.beat_at:
            rate = self.counted / (self.now - self.beat_at)
            self.counted = 0
            self.rate += RATE_SMOOTHING * (rate - self.rate)
        self.beat_at = self.now

    def update_headroom(self, late: float) -> None:
        """Raise the headroom in steps while timers are in time, else lower it by a factor."""
        self.late += LATE_SMOOTHING * (min(late, LATE_CAP) - self.late)
        if self.late <= LATE_LIMIT:
            self.headroom = min(1.0, self.headroom + HEADROOM_GAIN)
        elif self.late < LATE_SEVERE:
            self.headroom = max(0.0, self.headroom * HEADROOM_LOSS)
        else:
            self.headroom = 0.0

    def set_interval(self, needed: float) -> None:
        """Set the report interval so that reports of all connected proxies fit into the budget.

        It is raised at once. It is lowered by more than one step, and only after a while at full
        ease, or it would oscillate.
        """
        wanted = self.round_up(needed)
        if self.headroom < 1:
            self.strained_at = self.now
        calm = self.now - self.strained_at >= INTERVAL_LOWER_AFTER
        lower = wanted < self.interval / INTERVAL_STEP and calm
        if (wanted > self.interval or lower) and self.now - self.interval_set_at >= INTERVAL_GAP:
            self.interval = wanted
            self.interval_set_at = self.now
            late = f"{self.late * 1000:.0f} ms late"
            self.commands.append(SetReportInterval(wanted))
            self.commands.append(LogOverload(f"reports every {wanted:.3g} s, {late}"))

    def round_up(self, interval: float) -> float:
        """Return the next interval in use: the configured one times a power of the step."""
        longest = INTERVAL_FACTOR_MOST * self.every
        interval = min(longest, max(self.every, interval))
        rounded = self.every
        while rounded < interval * 0.999:
            rounded *= INTERVAL_STEP
        return min(rounded, longest)

    def set_gather(self) -> None:
        """Collect statistics for longer the less headroom there is."""
        longest = GATHER_MOST * self.every
        gather = min(longest, round((1.0 - self.headroom) * GATHER_MOST * self.every, 2))
        if gather != self.gather:
            self.gather = gather
            self.commands.append(SetGatherWindow(gather))

    def report_interval_of(self, part: float) -> float:
        """Return the report interval of one proxy; `part`, from 0 to 1, tells proxies apart.

        Proxies that report within the same second would go on doing so if they were all given the
        same longer interval, and the seconds between would stay idle.
        """
        if self.interval == self.every:
            return self.interval
        return self.interval * (1 + INTERVAL_SCATTER * (2 * part - 1))

    # Asked for each arrival.

    def takes_report(self, now: float, last: Optional[float], turn: int) -> bool:
        """Return whether a load report is to be read.

        `last` is when the proxy's last one was read, None for never; `turn` is the number of its
        reports before. Of any number of turns, `share` are read, evenly spread.
        """
        if last is not None and now - last < EARLY_SHARE * self.interval:
            # Not counted: a proxy that floods must not lower the share of the others.
            self.shed["reports early"] += 1
            return False
        self.counted += 1
        if ceil((turn + 1) * self.share) == ceil(turn * self.share):
            self.shed["reports"] += 1
            return False
        return True

    def join_delay(self, now: float, bare: bool) -> float:
        """Return the seconds that a proxy has to wait before it joins.

        A proxy without a table (`bare`) never waits.
        """
        if bare or self.joins.take(now, JOIN_RATE * max(REPORT_SHARE_LEAST, self.headroom)):
            return 0.0
        self.shed["joins"] += 1
        return self.uniform(0.5, 1.5) * JOIN_WAIT

    def takes_question(self, now: float) -> bool:
        """Return whether an operator's query is to be answered."""
        if self.questions.take(now, QUERY_RATE * max(REPORT_SHARE_LEAST, self.headroom)):
            return True
        self.shed["questions"] += 1
        return False

    def status(self) -> dict[str, object]:
        """Return the state as operators see it."""
        return {
            "ease": round(self.headroom, 3),
            "late ms": round(self.late * 1000, 1),
            "reports every": self.interval,
            "reports a second": round(self.rate, 1),
            "us a report": round(self.cost * 1e6),
            "read": round(self.share, 3),
            "gather": self.gather,
            "shed": dict(self.shed),
        }
