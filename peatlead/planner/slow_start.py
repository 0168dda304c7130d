"""Slow start: an endpoint that starts or returns gets its weight in steps.

A ramp, as in the slow start of Envoy and HAProxy, spreads the steps over the time that a process
needs to warm up. In addition, the planned load of a cold endpoint is limited to a fraction of the
load that would overload the endpoint in its present state
(docs/incidents/2026-12-01-cold-hosts-pushed-over.md).
"""

from .context import PlannerContext
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import EndpointState
from .fleet_load import FleetLoad
from .table_changes import TableChanges

INITIAL_RAMP = 0.25  # fraction of the weight at the start of a ramp
RAMP_STEP = 0.25  # fraction of the weight that each step adds
RAMP_STEPS = 3  # number of steps after the start of a ramp
STEP_INTERVAL = 10 / 3  # seconds between two steps
# A cold endpoint is given at most this fraction of the load that would overload it.
COLD_LOAD_FRACTION = 0.3
COLD_LOAD_FRACTION_AVOIDING = 0.2  # replaces COLD_LOAD_FRACTION if proxies avoid failing endpoints
EVEN_GROWTH = 1.0  # exponent of a capacity that grows evenly while an endpoint warms up
# Possible published fractions. There are few, since each change must be sent to proxies.
COLD_WEIGHT_FRACTIONS = (0.06, 0.12, 0.18, 0.25, 0.37, 0.5, 0.75, 1.0)


def capacity_fraction(
    context: PlannerContext, endpoint: EndpointState, exponent: float = EVEN_GROWTH
) -> float:
    """Return the fraction of its capacity that an endpoint is assumed to have now.

    The settings tell the fraction at the start, and when the endpoint is warm at the latest. How
    the capacity grows in between is unknown: evenly with an exponent of 1, late with a higher one.
    """
    if endpoint.cold_since is None:
        return 1.0
    initial_fraction = context.settings["cold_share"]
    age = (context.now - endpoint.cold_since) / context.settings["warm_after"]
    grown: float = max(0.0, min(1.0, age)) ** exponent
    return initial_fraction + (1 - initial_fraction) * grown


def published_fraction(limit: float, default: float) -> float:
    """Return the highest of `COLD_WEIGHT_FRACTIONS` up to a limit, or the default below them."""
    return max([step for step in COLD_WEIGHT_FRACTIONS if step <= limit], default=default)


class SlowStart:
    """Ramps endpoints, and computes the published fraction of each endpoint's weight."""

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

    def begin_ramp(self, endpoint: EndpointState, interval: float = STEP_INTERVAL) -> None:
        """Start the ramp of an endpoint, with `interval` seconds between two steps."""
        self.schedule.activate(endpoint)
        endpoint.ramp_fraction = INITIAL_RAMP
        endpoint.next_ramp_step_at = self.context.now + interval
        endpoint.ramp_step_interval = interval
        endpoint.weight_fraction = self.target_weight_fraction(endpoint)

    def begin_cold_start(self, endpoint: EndpointState) -> None:
        """Start the ramp of an endpoint that has just started.

        The ramp is not longer than the process needs to warm up. A longer ramp would only add load
        to the other endpoints, especially when a release replaces many at once.
        """
        self.begin_ramp(
            endpoint, min(STEP_INTERVAL, self.context.settings["warm_after"] / RAMP_STEPS)
        )

    def advance(self, endpoint: EndpointState) -> None:
        """Update the ramp, whether the endpoint is cold, and its published weight fraction."""
        now = self.context.now
        if endpoint.ramp_fraction < 1.0 and now >= endpoint.next_ramp_step_at:
            endpoint.ramp_fraction += RAMP_STEP
            endpoint.next_ramp_step_at = now + endpoint.ramp_step_interval
        cold_since = endpoint.cold_since
        if cold_since is not None and now - cold_since > self.context.settings["warm_after"]:
            endpoint.cold_since = None
        weight_fraction = (
            endpoint.ramp_fraction
            if endpoint.cold_since is None
            else self.target_weight_fraction(endpoint)
        )
        if weight_fraction != endpoint.weight_fraction:
            self.changes.weight_decrease_pending |= weight_fraction < endpoint.weight_fraction
            endpoint.weight_fraction = weight_fraction
            self.changes.mark_endpoint_changed(endpoint)

    def target_weight_fraction(self, endpoint: EndpointState) -> float:
        """Return the fraction of the endpoint's weight that should be published now.

        A cold endpoint gets 0 if the fleet is saturated and proxies avoid failing endpoints: in an
        overload the proxies would avoid all full endpoints and send all requests to the cold one.
        """
        settings = self.context.settings
        if endpoint.cold_since is None:
            return endpoint.ramp_fraction
        avoids_failing = settings.get("fails_to_shun")
        if self.fleet_load.saturated and avoids_failing:
            return 0.0
        load_fraction = COLD_LOAD_FRACTION_AVOIDING if avoids_failing else COLD_LOAD_FRACTION
        max_fraction = (
            self.fleet_load.mean_weight_fraction
            * load_fraction
            * settings["tip_multiple"]
            * capacity_fraction(self.context, endpoint)
        )
        return published_fraction(min(endpoint.ramp_fraction, max_fraction), 0.0)
