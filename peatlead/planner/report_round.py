"""Rounds of reports: decisions are made once the reports of one moment have all arrived."""

from .context import PlannerContext

ROUND_WAIT = 0.2  # seconds from a round's first report until the others are in
NO_REPORT = float("inf")


class ReportRound:
    """When the open round's first report came, and how many rounds have ended."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        self.started_at = NO_REPORT
        self.count = 0

    def note_report(self) -> None:
        """Begin a round with its first report."""
        self.started_at = min(self.started_at, self.context.now)

    def is_complete(self) -> bool:
        """Whether the open round's reports are in."""
        return self.context.now - self.started_at >= ROUND_WAIT

    def end(self) -> None:
        """Close the round."""
        self.count += 1
        self.started_at = NO_REPORT
