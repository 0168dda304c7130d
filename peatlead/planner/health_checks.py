"""Active health checks: when each endpoint is checked, and what the results say.

Every ready endpoint is checked about once a second; in a large fleet less often, since a thousand
checks a second were half of what a controller did. After a failed check, and where requests fail,
the next one comes at once.
"""

from ..interface import CheckHealth, HealthCheckOutcome, HealthCheckResult
from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import READY, EndpointState
from .report_round import ReportRound
from .table_changes import TableChanges

# Plain strings: members of an enumeration are slow to look up, and results come by the hundred.
OK = HealthCheckOutcome.OK.value
DENIED = HealthCheckOutcome.DENIED.value
TIMED_OUT = HealthCheckOutcome.TIMED_OUT.value

CHECK_INTERVAL = 1.0  # seconds
RECHECK_DELAY = 0.3  # seconds, after a failure
MAX_CHECKS_PER_SECOND = 300  # of all endpoints
LEAST_JITTER = 0.9  # of the interval
MOST_JITTER = 1.1  # of the interval
FAILURE_RATE_WINDOW = 4  # checks that the fading failure rate is taken over


class HealthChecks:
    """Plans checks and takes in their results."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        schedule: EndpointSchedule,
        reports: ReportRound,
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule
        self.reports = reports
        self.interval = CHECK_INTERVAL  # seconds between two checks of an endpoint

    def update_interval(self) -> None:
        """Fit the interval to the number of endpoints."""
        endpoints = len(self.context.endpoints)
        self.interval = max(CHECK_INTERVAL, endpoints / MAX_CHECKS_PER_SECOND)

    def check_by(self, endpoint: EndpointState, time: float) -> None:
        """Check it at that time, if no check comes earlier."""
        if endpoint.next_check_at > time:
            endpoint.next_check_at = time
            self.schedule.at(time, endpoint)

    def check_if_failing(self, endpoint: EndpointState) -> None:
        """Check an endpoint at which attempts failed, where the next check would come late."""
        if self.interval > CHECK_INTERVAL and not endpoint.failed_checks:
            self.check_by(endpoint, self.context.now)

    def check_if_due(self, endpoint: EndpointState) -> None:
        """Start the endpoint's next check if it is due, and plan the one after it."""
        context = self.context
        if (
            endpoint.phase == READY
            and context.now >= endpoint.next_check_at
            and context.settings.get("probing")
        ):
            jitter = context.rng.uniform(LEAST_JITTER, MOST_JITTER)
            endpoint.next_check_at = context.now + self.interval * jitter
            self.schedule.at(endpoint.next_check_at, endpoint)
            context.commands.append(CheckHealth(endpoint.id))

    def on_result(self, event: HealthCheckResult) -> None:
        """Take in how a check ended; one that couldn't be sent says nothing of the endpoint."""
        endpoint = self.context.endpoints.get(event.endpoint)
        if endpoint is None or event.outcome == DENIED:
            return
        endpoint.add_load_report(event.load_report)
        failed = event.outcome != OK
        endpoint.check_failure_rate += (failed - endpoint.check_failure_rate) / FAILURE_RATE_WINDOW
        if not endpoint.confirmed:
            self._confirm(endpoint, event.outcome)
        if failed:
            endpoint.passed_checks = 0
            endpoint.failed_checks += 1
            self.check_by(endpoint, self.context.now + RECHECK_DELAY)
        else:
            endpoint.passed_checks += 1
            endpoint.failed_checks = 0
        if not self.context.settings.get("tries_told", True):
            self.reports.note_report()  # else no round would ever end, and no endpoint be evaluated

    def _confirm(self, endpoint: EndpointState, outcome: str) -> None:
        """Note that an endpoint exists: a list may name some that don't."""
        if outcome in (OK, TIMED_OUT):
            endpoint.confirmed = True
            self.changes.mark(endpoint)
