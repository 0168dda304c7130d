"""The planner of one controller: events in, commands out, no I/O and no clock of its own.

    planner = Planner(settings, seed)
    commands = planner.decide(now, events)

`settings` maps names to values (settings.py), `now` is in float seconds; events and commands:
peatlead/interface.py. Equal settings, seeds and events give equal commands.

A proxy's table is its hashed, zone-spread shard (docs/design.md). The mechanisms stand in a module
each; this one connects them and holds the order in which they run.
"""

from collections.abc import Callable, Iterable
from typing import Any, Optional, cast

from .. import interface
from .channel_budget import ChannelBudget
from .class_admission import ClassAdmission
from .context import PlannerContext
from .endpoint_lifecycle import EndpointLifecycle
from .endpoint_pools import EndpointPools
from .endpoint_schedule import EndpointSchedule
from .endpoint_state import EndpointState
from .endpoint_summary import EndpointSummary, summarize
from .endpoint_updates import EndpointUpdates
from .fleet_load import FleetLoad
from .gossip import Gossip
from .health_checks import HealthChecks
from .load_relief import LoadRelief
from .load_shedding import LoadShedding
from .load_statistics import LoadStatistics
from .outlier_detection import OutlierDetection
from .proxy_connections import ProxyConnections
from .proxy_state import ProxyState
from .removals import Removals
from .report_round import ReportRound
from .request_demand import RequestDemand
from .settings import PlannerSettings
from .shuffle_sharding import ShuffleSharding
from .slow_start import SlowStart
from .staged_updates import StagedUpdates
from .table_assignment import TableAssignment
from .table_changes import TableChanges
from .table_writer import TableWriter
from .timers import CONTINUE_TIMER, TICK_INTERVAL, TICK_TIMER
from .withdrawals import Withdrawals
from .zone_capacity import ZoneCapacity
from .zone_paths import ZonePaths


class Planner:
    """All decisions of one controller."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        self.context = context = PlannerContext(cast(PlannerSettings, settings), seed)
        self.changes = changes = TableChanges()
        self.schedule = EndpointSchedule(context)
        self.budget = ChannelBudget(context)
        self._build_reports()
        self._build_tables()
        self._build_evaluation()
        lifecycle = EndpointLifecycle(context, self.schedule, self.slow_start, self.writer)
        self.endpoint_updates = EndpointUpdates(
            context,
            changes,
            self.pools,
            lifecycle,
            self.health_checks,
            self.statistics,
            self.withdrawals,
        )
        self.connections = ProxyConnections(context, self.pools, self.zone_capacity, self.budget)
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.EndpointUpdate: self.endpoint_updates.on_update,
            interface.ProxyConnected: self.connections.on_connected,
            interface.ProxyDisconnected: self.connections.on_disconnected,
            interface.EndpointStats: self.statistics.on_endpoint_stats,
            interface.HealthCheckResult: self.health_checks.on_result,
            interface.TimerFired: self.on_timer,
            interface.RequestStats: self.class_admission.on_request_stats,
            interface.GossipReceived: self.gossip.on_note,
            interface.Acknowledged: self.on_acknowledged,
        }

    def _build_reports(self) -> None:
        """The input: reports, health checks, demand."""
        context, changes = self.context, self.changes
        self.reports = ReportRound(context)
        self.health_checks = HealthChecks(context, changes, self.schedule, self.reports)
        self.statistics = LoadStatistics(context, self.reports, self.health_checks)
        self.demand = RequestDemand(context)
        self.paths = ZonePaths(context, changes, self.demand, self.statistics)
        self.gossip = Gossip(context, self.statistics)

    def _build_tables(self) -> None:
        """What tables are computed from, and how they are written."""
        context, changes, budget = self.context, self.changes, self.budget
        self.pools = EndpointPools(context, self.paths)
        self.zone_capacity = ZoneCapacity(context, changes, self.pools, self.demand)
        self.sharding = ShuffleSharding(context, self.pools, self.zone_capacity)
        self.writer = TableWriter(context, changes, self.sharding, budget)
        self.assignment = TableAssignment(context, self.pools, self.reports, self.writer, budget)
        self.stages = StagedUpdates(context, changes, self.writer, budget)
        self.withdrawals = Withdrawals(context, self.pools, self.sharding, self.assignment, budget)
        self.removals = Removals(
            context, changes, self.sharding, self.writer, self.assignment, budget
        )

    def _build_evaluation(self) -> None:
        """What is decided by reports: admission, slow start, relief, ejections."""
        context, changes, schedule = self.context, self.changes, self.schedule
        self.fleet_load = FleetLoad(context, self.demand)
        self.load_shedding = LoadShedding(context, self.fleet_load, self.budget)
        self.class_admission = ClassAdmission(
            context, self.demand, self.fleet_load, self.load_shedding, self.budget
        )
        self.slow_start = SlowStart(context, changes, schedule, self.fleet_load)
        self.relief = LoadRelief(context, changes, schedule)
        self.outliers = OutlierDetection(
            context,
            changes,
            schedule,
            self.statistics,
            self.paths,
            self.relief,
            self.slow_start,
        )

    def decide(self, now: float, events: Iterable[interface.Event]) -> list[interface.Command]:
        """The commands that follow from a batch of events, at `now` in seconds."""
        self.context.begin(now)
        self.budget.backlog.advance(now)
        if self.class_admission.admissions is None:
            self.commands.append(interface.SetTimer(TICK_TIMER, TICK_INTERVAL))
            self.publish_admissions()
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.zone_capacity.update_if_due()
        self.assignment.assign_waiting()
        self.withdrawals.send()
        self.removals.remove_unusable()
        self.stages.publish_stage()
        nonce = self.budget.backlog.end_batch()
        if nonce:
            self.commands.append(interface.RequestAcknowledgement(nonce, False))
        self.sharding.end_batch()
        return self.commands

    def status(self, now: float) -> interface.PlannerStatus:
        """The state of the channel and of waiting proxies, for logs and metrics."""
        context, backlog = self.context, self.budget.backlog
        oldest = backlog.batches[0].written_at if backlog.batches else now
        waiting = context.unassigned.values()
        return interface.PlannerStatus(
            queued_entries=backlog.entries,
            oldest_unacknowledged=now - oldest,
            connected_proxies=len(context.connected),
            unassigned_proxies=len(context.unassigned),
            longest_wait=now - min([proxy.connected_at for proxy in waiting], default=now),
            withdrawn_endpoints=sum(endpoint.withdrawn for endpoint in context.endpoints.values()),
        )

    def describe(self, endpoint_id: int, now: float) -> Optional[EndpointSummary]:
        """What is known of an endpoint, for operators; None if it isn't known."""
        endpoint = self.context.endpoints.get(endpoint_id)
        if endpoint is None:
            return None
        subscribers = len(self.context.subscriber_index.subscribers(endpoint_id))
        return summarize(endpoint, subscribers, now)

    def on_timer(self, event: interface.TimerFired) -> None:
        """A tick, unless the timer only continues what one batch was too short for."""
        if event.token == CONTINUE_TIMER:
            return
        self.commands.append(interface.SetTimer(TICK_TIMER, TICK_INTERVAL))
        self.endpoint_updates.watch_if_due()
        if self.reports.is_complete():
            self.end_round()
        for endpoint in self.schedule.take_due():
            self.advance_endpoint(endpoint)

    def on_acknowledged(self, event: interface.Acknowledged) -> None:
        """What the acknowledgement covers waits no longer."""
        self.budget.backlog.acknowledge(event.proxy, event.nonce)

    def end_round(self) -> None:
        """Evaluate paths, endpoints and the fleet by a round of reports."""
        self.reports.end()
        self.demand.end_round()
        self.paths.end_round()
        failing = self.statistics.end_round(self.paths.bad)
        self.gossip.send(failing)
        self.evaluate_endpoints()
        if self.load_shedding.update():
            self.publish_admissions()

    def evaluate_endpoints(self) -> None:
        """Compare the fleet with its capacity, and each endpoint with its peers."""
        ready = self.fleet_load.ready_endpoints()
        peers = self.fleet_load.measure(ready, self.load_shedding.admitted)
        self.outliers.evaluate(ready, peers)

    def publish_admissions(self) -> None:
        """Publish the admitted fractions."""
        self.class_admission.publish()

    def advance_endpoint(self, endpoint: EndpointState) -> None:
        """Do what time alone brings an endpoint: its return, next step, next health check."""
        if endpoint.ejected_until is not None:
            self.outliers.restore_if_due(endpoint)
        if endpoint.traffic_fraction < 1:
            self.relief.restore_if_due(endpoint)
        self.slow_start.advance(endpoint)
        self.health_checks.check_if_due(endpoint)
        if (
            endpoint.ejected_until is None
            and endpoint.cold_since is None
            and endpoint.traffic_fraction >= 1
            and endpoint.ramp >= 1
        ):
            self.schedule.deactivate(endpoint)  # only its next check is due by time

    @property
    def settings(self) -> dict[str, Any]:
        """The settings; a change holds from the next batch on."""
        return cast(dict[str, Any], self.context.settings)

    @settings.setter
    def settings(self, settings: dict[str, Any]) -> None:
        self.context.settings = cast(PlannerSettings, settings)

    @property
    def endpoints(self) -> dict[int, EndpointState]:
        """All known endpoints by id."""
        return self.context.endpoints

    @property
    def proxies(self) -> dict[int, ProxyState]:
        """All proxies that ever connected, by number."""
        return self.context.proxies

    @property
    def connected(self) -> dict[int, ProxyState]:
        """The connected proxies by number."""
        return self.context.connected

    @property
    def unassigned(self) -> dict[int, ProxyState]:
        """The connected proxies without tables, by number."""
        return self.context.unassigned

    @property
    def now(self) -> float:
        """Seconds, of the last batch."""
        return self.context.now

    @now.setter
    def now(self, now: float) -> None:
        self.context.now = now

    @property
    def commands(self) -> list[interface.Command]:
        """The commands of the last batch, in the order of their emission."""
        return self.context.commands

    @commands.setter
    def commands(self, commands: list[interface.Command]) -> None:
        self.context.commands = commands
