"""Rounds of reports: decisions are made when the reports of one moment have all arrived."""

from .context import PlannerContext

ROUND_DURATION = 0.2  # seconds from the first report of a round until the others have arrived
NO_REPORT = float("inf")


class ReportRound:
    """The start time of the current round, and the number of completed rounds."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        self.started_at = NO_REPORT
        self.completed_rounds = 0

    def note_report(self) -> None:
        """Start a round with its first report."""
        self.started_at = min(self.started_at, self.context.now)

    def is_complete(self) -> bool:
        """Return whether the reports of the current round have arrived."""
        return self.context.now - self.started_at >= ROUND_DURATION

    def end(self) -> None:
        """End the round."""
        self.completed_rounds += 1
        self.started_at = NO_REPORT
