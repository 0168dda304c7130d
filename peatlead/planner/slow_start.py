"""Slow start: an endpoint that starts or returns gets its weight in steps.

A ramp (as in Envoy's and HAProxy's slow start) spreads the steps over the time that a process takes
to warm up. Beside it, a cold endpoint's planned load stays under a part of what would tip it into
overload by now (docs/incidents/2026-12-01-cold-hosts-pushed-over.md).
"""

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import EndpointState
from .fleet_load import FleetLoad
from .table_changes import TableChanges

FIRST_RAMP = 0.25  # of the weight, at a start
RAMP_STEP = 0.25  # of the weight
RAMP_STEPS = 3  # after the first
STEP_WAIT = 10 / 3  # seconds between two steps
TIPPING_PART = 0.3  # of what tips a cold endpoint, that it may get
TIPPING_PART_AVOIDED = 0.2  # likewise where proxies avoid endpoints that fail them
COLD_SHARES = (0.06, 0.12, 0.18, 0.25, 0.37, 0.5, 0.75, 1.0)  # few, since each change costs entries


class SlowStart:
    """Computes the shares of weights that are published."""

    def __init__(
        self,
        context: PlannerContext,
        changes: TableChanges,
        schedule: EndpointSchedule,
        fleet_load: FleetLoad,
    ) -> None:
        self.context = context
        self.changes = changes
        self.schedule = schedule
        self.fleet_load = fleet_load

    def begin(self, endpoint: EndpointState, wait: float = STEP_WAIT) -> None:
        """Ramp an endpoint; `wait` seconds lie between two steps."""
        self.schedule.activate(endpoint)
        endpoint.ramp = FIRST_RAMP
        endpoint.next_step_at = self.context.now + wait
        endpoint.step_wait = wait
        endpoint.weight_fraction = self.target_weight_fraction(endpoint)

    def begin_cold(self, endpoint: EndpointState) -> None:
        """Ramp one that has just started.

        Past the time that it takes to warm up, a ramp would only load the others: a release
        replaces many at once.
        """
        self.begin(endpoint, min(STEP_WAIT, self.context.settings["warm_after"] / RAMP_STEPS))

    def advance(self, endpoint: EndpointState) -> None:
        """Take the next step if it is due, and publish the share if it has changed."""
        now = self.context.now
        if endpoint.ramp < 1.0 and now >= endpoint.next_step_at:
            endpoint.ramp += RAMP_STEP
            endpoint.next_step_at = now + endpoint.step_wait
        cold_since = endpoint.cold_since
        if cold_since is not None and now - cold_since > self.context.settings["warm_after"]:
            endpoint.cold_since = None
        weight_fraction = (
            endpoint.ramp if endpoint.cold_since is None else self.target_weight_fraction(endpoint)
        )
        if weight_fraction != endpoint.weight_fraction:
            self.changes.reductions_pending |= weight_fraction < endpoint.weight_fraction
            endpoint.weight_fraction = weight_fraction
            self.changes.mark(endpoint)

    def target_weight_fraction(self, endpoint: EndpointState) -> float:
        """The part of its weight that the endpoint should have now.

        A cold one gets none in a saturated fleet whose proxies avoid what fails them: in an
        overload they would avoid all full endpoints and send everything to the empty one.
        """
        settings = self.context.settings
        if endpoint.cold_since is None:
            return endpoint.ramp
        avoided = settings.get("fails_to_shun")
        if self.fleet_load.saturated and avoided:
            return 0.0
        first = settings["cold_share"]
        age = (self.context.now - endpoint.cold_since) / settings["warm_after"]
        able = first + (1 - first) * min(1.0, age)
        part = TIPPING_PART_AVOIDED if avoided else TIPPING_PART
        most = self.fleet_load.mean_share * part * settings["tip_multiple"] * able
        limit = min(endpoint.ramp, most)
        return max(
            [weight_fraction for weight_fraction in COLD_SHARES if weight_fraction <= limit],
            default=0.0,
        )
