"""Active health checks: when each endpoint is checked, and how results are processed.

Every ready endpoint is checked about once per second, or less often in a large fleet, because
processing a thousand checks per second takes half of a controller's time. The next check is made
early after a failed check or failed attempts.
"""

from ..interface import CheckHealth, HealthCheckOutcome, HealthCheckResult
from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import READY, EndpointState
from .report_round import ReportRound
from .table_changes import TableChanges

# Plain strings, because lookups of enumeration members are slow and results are frequent.
OK = HealthCheckOutcome.OK.value
DENIED = HealthCheckOutcome.DENIED.value
TIMED_OUT = HealthCheckOutcome.TIMED_OUT.value

CHECK_INTERVAL = 1.0  # seconds
RECHECK_DELAY = 0.3  # seconds after a failed check
MAX_CHECKS_PER_SECOND = 300  # checks of all endpoints together
# Each interval between checks is multiplied by a random factor from this range.
MIN_JITTER = 0.9
MAX_JITTER = 1.1
FAILURE_RATE_WINDOW = 4  # checks that the failure rate is averaged over


class HealthChecks:
    """Schedules health checks and processes their results."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        schedule: EndpointSchedule,
        report_round: ReportRound,
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule
        self.report_round = report_round
        self.interval = CHECK_INTERVAL  # seconds between two checks of an endpoint

    def update_interval(self) -> None:
        """Adapt the interval between checks to the number of endpoints."""
        endpoints = len(self.context.endpoints)
        self.interval = max(CHECK_INTERVAL, endpoints / MAX_CHECKS_PER_SECOND)

    def schedule_check(self, endpoint: EndpointState, time: float) -> None:
        """Check the endpoint at `time`, unless an earlier check is scheduled."""
        if endpoint.next_check_at > time:
            endpoint.next_check_at = time
            self.schedule.add_deadline(time, endpoint)

    def check_early(self, endpoint: EndpointState) -> None:
        """Check an endpoint with failed attempts now if the regular interval is long.

        An endpoint with failed checks is checked again soon in any case.
        """
        if self.interval > CHECK_INTERVAL and not endpoint.failed_checks:
            self.schedule_check(endpoint, self.context.now)

    def check_if_due(self, endpoint: EndpointState) -> None:
        """Start the endpoint's next check if it is due, and schedule the following one."""
        context = self.context
        if (
            endpoint.phase == READY
            and context.now >= endpoint.next_check_at
            and context.settings.get("probing")
        ):
            jitter = context.rng.uniform(MIN_JITTER, MAX_JITTER)
            endpoint.next_check_at = context.now + self.interval * jitter
            self.schedule.add_deadline(endpoint.next_check_at, endpoint)
            context.commands.append(CheckHealth(endpoint.id))

    def on_result(self, event: HealthCheckResult) -> None:
        """Update the endpoint's state by the result of a check.

        A check that could not be sent says nothing about the endpoint and is ignored.
        """
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
            self.schedule_check(endpoint, self.context.now + RECHECK_DELAY)
        else:
            endpoint.passed_checks += 1
            endpoint.failed_checks = 0
        if not self.context.settings.get("tries_told", True):
            # Without reports of attempts, checks start rounds: else no round would ever end, and no
            # endpoint would be evaluated.
            self.report_round.note_report()

    def _confirm(self, endpoint: EndpointState, outcome: str) -> None:
        """Mark the endpoint as confirmed if it answered or timed out.

        The list may name endpoints that do not exist.
        """
        if outcome in (OK, TIMED_OUT):
            endpoint.confirmed = True
            self.changes.mark_endpoint_changed(endpoint)
