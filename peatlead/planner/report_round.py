"""Rounds of reports: decisions are made when all reports of about the same time have arrived."""

from .context import PlannerContext

ROUND_DURATION = 0.2  # seconds after a round's first report at which the round is complete
NO_REPORT = float("inf")  # start time while no report of the round has arrived


class ReportRound:
    """The start time of the current round, and the number of completed rounds."""

    def __init__(self, context: PlannerContext) -> None:
        self.context = context
        self.started_at = NO_REPORT  # seconds
        self.completed_rounds = 0

    def note_report(self) -> None:
        """Start a round if this report is its first."""
        self.started_at = min(self.started_at, self.context.now)

    def is_complete(self) -> bool:
        """Return whether `ROUND_DURATION` has passed since the first report of the round."""
        return self.context.now - self.started_at >= ROUND_DURATION

    def end(self) -> None:
        """Count the round as completed and wait for the first report of the next."""
        self.completed_rounds += 1
        self.started_at = NO_REPORT
