"""Limit on how often a failed planner is replaced before the controller stops."""

MAX_RESTARTS = 3  # restarts of the planner within WINDOW
WINDOW = 60.0  # seconds


class RestartBudget:
    """Counts the planner's failures within the last `WINDOW` seconds."""

    def __init__(self) -> None:
        self.failure_times: list[float] = []  # seconds on the loop's clock

    def record_failure(self, now: float) -> None:
        """Record a failure and discard the failures from before the window."""
        self.failure_times = [time for time in self.failure_times if time > now - WINDOW]
        self.failure_times.append(now)

    @property
    def failure_count(self) -> int:
        """Number of failures within the window."""
        return len(self.failure_times)

    @property
    def exhausted(self) -> bool:
        """Whether the planner has failed more often than it may be replaced."""
        return self.failure_count > MAX_RESTARTS
