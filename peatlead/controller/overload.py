"""What a steward takes on when there is more to do than it can. Pure: no I/O, no clock, no sockets.

    burden = Burden(every, uniform)
    orders = burden.decide(now, events)

Events tell what was done and what it cost (`Did`), and how late the steward's own timer ran (`Beat`); orders tell
of a new interval between reports (`ReportEvery`; each proxy is told its own, `interval_of`, with its next report)
and of how long to gather sums before the planner hears them (`Gather`). `takes_report`, `takes_join` and
`takes_question` are asked for each as it comes.

What is shed, first to last:
 1. interval  reports are asked for less often: what they count then covers longer, and nothing is lost
 2. reports   those past the budget are dropped unread, each proxy's in its turn, so that all are heard in part
 3. gather    sums reach the planner in larger lots
 4. questions of operators past a few a second
 5. joins     of proxies that bring a table wait their turn; it stands meanwhile

Never shed: removals, whatever they cost, and joins of proxies without a table (rule 1). Lateness is measured on the
loop's clock: on simulated time work takes none, and nothing is ever shed.
"""

from math import ceil
from typing import NamedTuple

LATE_MOST = (
    0.03  # seconds that the steward's timer may run late, on the mean, before it takes less on
)
LATE_GRAVE, LATE_CUT = (
    0.25,
    0.5,
)  # from here on nothing that can wait is taken; one that stood still is no later
REPORT_PART, REPORT_LEAST = (
    0.35,
    0.03,
)  # of all time that reports may take: at ease; however late it runs
GIVE, TAKE_BACK = (
    0.05,
    0.7,
)  # of the ease a beat: what comes back while in time; what is left when late
SMOOTH = 0.2  # of a new beat's lateness
LONGEST = 8  # times the usual interval that reports may be apart: news of failures gets as old
STEP, TELL_GAP = 1.25, 5.0  # a new interval differs by this at least; seconds between two tellings
CALM, SCATTER = (
    20.0,
    0.25,
)  # seconds at ease until a shorter one is told; by how much proxies' intervals differ
EARLY = 0.4  # of the interval: one that reports sooner than this after its last that was read
COST_FIRST, COST_SMOOTH = 0.0004, 0.01  # seconds that a report takes, until measured; of a new one
SENDERS_FADE = 0.1  # of the estimate of reports a second, a beat
GATHER_MOST = 0.5  # of a round: how long sums may be gathered
JOINS_EASY, JOIN_WAIT = (
    600.0,
    0.5,
)  # of proxies that bring tables, a second, at ease; mean seconds until the next try
QUESTIONS = 50.0  # of operators, a second, at ease


class Did(NamedTuple):
    """`many` reports were read in `seconds` of the loop's time."""

    many: int
    seconds: float


class Beat(NamedTuple):
    """The steward's timer ran `late` seconds after its time; `senders` proxies are joined."""

    late: float
    senders: int


class ReportEvery(NamedTuple):
    seconds: float


class Gather(NamedTuple):
    seconds: float


class Say(NamedTuple):
    text: str


class Allowance:
    """Tokens that fill at a rate, up to a second's worth."""

    __slots__ = ("left", "at")

    def __init__(self, rate):
        self.left, self.at = rate, 0.0

    def take(self, now, rate, cost=1.0):
        if now > self.at:
            self.left = min(max(rate, cost), self.left + (now - self.at) * rate)
            self.at = now
        if self.left < cost:
            return False
        self.left -= cost
        return True


class OverloadControl:
    """`every`: seconds between two reports of a proxy, as the settings have it; `uniform(low, high)` draws."""

    def __init__(self, every, uniform):
        self.every, self.uniform = every, uniform
        self.ease, self.late, self.cost = (
            1.0,
            0.0,
            COST_FIRST,
        )  # ease: 0 with no time for what can wait
        self.interval, self.told_at, self.strained_at = every, -1e9, -1e9
        self.gather, self.rate, self.beat_at, self.counted = 0.0, 0.0, None, 0
        self.joins, self.questions = Allowance(JOINS_EASY), Allowance(QUESTIONS)
        self.share = 1.0  # of the reports that come: what there is time to read
        self.shed = {"reports early": 0, "reports": 0, "joins": 0, "questions": 0}
        self.handlers = {Did: self.on_did, Beat: self.on_beat}

    def decide(self, now, events):
        self.now, self.orders = now, []
        for event in events:
            self.handlers[type(event)](event)
        return self.orders

    def on_did(self, event):
        if event.many:
            self.cost += (
                COST_SMOOTH * min(10, event.many) * (event.seconds / event.many - self.cost)
            )

    def on_beat(self, event):
        if self.beat_at is not None and self.now > self.beat_at:
            rate, self.counted = self.counted / (self.now - self.beat_at), 0
            self.rate += SENDERS_FADE * (rate - self.rate)
        self.beat_at = self.now
        self.late += SMOOTH * (min(event.late, LATE_CUT) - self.late)
        if self.late > LATE_MOST:
            self.ease = max(0.0, self.ease * TAKE_BACK if self.late < LATE_GRAVE else 0.0)
        else:
            self.ease = min(1.0, self.ease + GIVE)
        # Late by its own doing: what the reports cost is to come down to their part.
        budget = max(REPORT_LEAST, REPORT_PART * self.ease)
        needs = self.rate * max(0.0, self.cost)
        self.share = min(1.0, budget / needs) if needs else 1.0
        self.set_interval(event.senders * self.cost / budget)
        gather = min(
            GATHER_MOST * self.every, round((1.0 - self.ease) * GATHER_MOST * self.every, 2)
        )
        if gather != self.gather:
            self.gather = gather
            self.orders.append(Gather(gather))

    def set_interval(self, wanted):
        """What all that are joined would cost at the usual interval, fitted into the budget; in steps, seldom."""
        wanted = min(LONGEST * self.every, max(self.every, wanted))
        wished = self.every
        while wished < wanted * 0.999:
            wished *= STEP
        wished = min(wished, LONGEST * self.every)
        # Up at once when late; down only when it would hold for a step more, or it would go to and fro.
        self.strained_at = self.now if self.ease < 1 else self.strained_at
        sinks = wished < self.interval / STEP and self.now - self.strained_at >= CALM
        if (wished > self.interval or sinks) and self.now - self.told_at >= TELL_GAP:
            self.interval, self.told_at = wished, self.now
            self.orders.append(ReportEvery(wished))
            self.orders.append(Say(f"reports every {wished:.3g} s, {self.late * 1000:.0f} ms late"))

    def interval_of(self, part):
        """What a proxy is told; `part` from 0 to 1 is its own. All on one longer interval would go on reporting
        within the second in which they always did, and nobody in the seconds between."""
        return (
            self.interval
            if self.interval == self.every
            else self.interval * (1 + SCATTER * (2 * part - 1))
        )

    # Asked for each as it comes.

    def takes_report(self, now, last, turn):
        """`last`: when this proxy's last one was read, None for never; `turn`: how many came before."""
        if last is not None and now - last < EARLY * self.interval:
            self.shed["reports early"] += (
                1  # it counts for nobody: who floods must not cost the others their turns
            )
            return False
        self.counted += 1
        # Of any number of turns, this share, evenly spread.
        if ceil((turn + 1) * self.share) == ceil(turn * self.share):
            self.shed["reports"] += 1
            return False
        return True

    def takes_join(self, now, bare):
        """0.0, or the seconds that it should wait."""
        if bare or self.joins.take(now, JOINS_EASY * max(REPORT_LEAST, self.ease)):
            return 0.0
        self.shed["joins"] += 1
        return self.uniform(0.5, 1.5) * JOIN_WAIT

    def takes_question(self, now):
        if self.questions.take(now, QUESTIONS * max(REPORT_LEAST, self.ease)):
            return True
        self.shed["questions"] += 1
        return False

    def told(self):
        return {
            "ease": round(self.ease, 3),
            "late ms": round(self.late * 1000, 1),
            "reports every": self.interval,
            "reports a second": round(self.rate, 1),
            "us a report": round(self.cost * 1e6),
            "read": round(self.share, 3),
            "gather": self.gather,
            "shed": dict(self.shed),
        }
