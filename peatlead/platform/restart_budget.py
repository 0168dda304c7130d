"""How often a planner may fail and be replaced before the controller gives up."""

RESTARTS_LIMIT = 3
WINDOW = 60.0  # seconds


class RestartBudget:
    """Counts failures of the planner within the last `WINDOW` seconds."""

    def __init__(self) -> None:
        self.failures: list[float] = []  # their times, on the loop's clock

    def record_failure(self, now: float) -> None:
        """Record a failure and forget those before the window."""
        self.failures = [time for time in self.failures if time > now - WINDOW]
        self.failures.append(now)

    @property
    def count(self) -> int:
        """How many failures there were within the window."""
        return len(self.failures)

    @property
    def exhausted(self) -> bool:
        """Whether the planner has failed too often to be replaced once more."""
        return self.count > RESTARTS_LIMIT
