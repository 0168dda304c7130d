"""The planner of one controller: events in, commands out, without I/O or a clock of its own.

    planner = Planner(settings, seed)
    commands = planner.decide(now, events)

`settings` maps names to values (settings.py) and `now` is in float seconds. Events and commands are
defined in peatlead/interface.py. Equal settings, seeds and events give equal commands.

A proxy's table consists of the endpoints of its shuffle shard, which is spread over the zones
(docs/design.md). Each mechanism has its own module. This module connects the mechanisms and defines
the order in which they run.
"""

from collections.abc import Callable, Iterable
from typing import Any, Optional, cast

from .. import interface
from .channel_budget import ChannelBudget
from .class_admission import ClassAdmission
from .context import PlannerContext
from .endpoint_capacity import EndpointCapacity
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
from .previous_tables import PreviousTables
from .proxy_connections import ProxyConnections
from .proxy_state import ProxyState
from .removals import Removals
from .report_round import ReportRound
from .request_demand import RequestDemand
from .restorations import Restorations
from .settings import PlannerSettings
from .shuffle_sharding import ShuffleSharding
from .slow_start import SlowStart
from .staged_updates import StagedUpdates
from .table_admission import TableAdmission
from .table_assignment import TableAssignment
from .table_changes import TableChanges
from .table_writer import TableWriter
from .timers import CONTINUE_TIMER, TICK_INTERVAL, TICK_TIMER
from .withdrawals import Withdrawals
from .zone_capacity import ZoneCapacity
from .zone_paths import ZonePaths


class Planner:
    """Makes all decisions of one controller.

    Every attribute is one mechanism or the state that the mechanisms share (`context`).
    """

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
            self.load_statistics,
            self.withdrawals,
        )
        self.connections = ProxyConnections(
            context, self.pools, self.zone_capacity, self.restorations, self.budget
        )
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.EndpointUpdate: self.endpoint_updates.on_update,
            interface.ProxyConnected: self.connections.on_connected,
            interface.ProxyDisconnected: self.connections.on_disconnected,
            interface.EndpointStats: self.on_endpoint_stats,
            interface.HealthCheckResult: self.health_checks.on_result,
            interface.TimerFired: self.on_timer,
            interface.RequestStats: self.class_admission.on_request_stats,
            interface.GossipReceived: self.gossip.on_gossip,
            interface.Acknowledged: self.on_acknowledged,
        }

    def _build_reports(self) -> None:
        """Create the mechanisms that process reports, health checks and demand."""
        context, changes = self.context, self.changes
        self.report_round = ReportRound(context)
        self.health_checks = HealthChecks(context, changes, self.schedule, self.report_round)
        self.load_statistics = LoadStatistics(context, self.report_round, self.health_checks)
        self.demand = RequestDemand(context)
        self.capacity = EndpointCapacity(context, self.demand, self.load_statistics)
        self.zone_paths = ZonePaths(context, changes, self.demand, self.load_statistics)
        self.gossip = Gossip(context, self.load_statistics)

    def _build_tables(self) -> None:
        """Create the mechanisms that compute and write tables."""
        context, changes, budget = self.context, self.changes, self.budget
        self.pools = EndpointPools(context, self.zone_paths)
        self.zone_capacity = ZoneCapacity(context, changes, self.pools, self.demand)
        self.table_admission = TableAdmission(
            context, changes, self.pools, self.demand, self.load_statistics, self.capacity
        )
        self.sharding = ShuffleSharding(
            context, self.pools, self.zone_capacity, self.table_admission
        )
        self.restorations = Restorations(context, budget)
        self.writer = TableWriter(
            context, changes, self.sharding, self.table_admission, self.restorations, budget
        )
        self.assignment = TableAssignment(
            context, self.pools, self.report_round, self.writer, self.restorations, budget
        )
        self.staged_updates = StagedUpdates(context, changes, self.pools, self.writer, budget)
        previous_tables = PreviousTables(context, self.pools, self.sharding)
        self.withdrawals = Withdrawals(
            context, previous_tables, self.assignment, self.restorations, budget
        )
        self.removals = Removals(context, changes, self.writer, self.assignment, budget)

    def _build_evaluation(self) -> None:
        """Create the mechanisms that act on reports: admission, slow start, relief, ejection."""
        context, changes, schedule = self.context, self.changes, self.schedule
        self.fleet_load = FleetLoad(context, self.demand)
        self.load_shedding = LoadShedding(context, self.fleet_load, self.budget)
        self.class_admission = ClassAdmission(
            context,
            self.demand,
            self.fleet_load,
            self.load_shedding,
            self.table_admission,
            self.budget,
        )
        self.slow_start = SlowStart(context, changes, schedule, self.fleet_load)
        self.load_relief = LoadRelief(context, changes, schedule)
        self.outlier_detection = OutlierDetection(
            context,
            changes,
            schedule,
            self.load_statistics,
            self.zone_paths,
            self.load_relief,
            self.slow_start,
        )

    def decide(self, now: float, events: Iterable[interface.Event]) -> list[interface.Command]:
        """Process a batch of events and return its commands; `now` is in seconds."""
        self.context.begin_batch(now)
        self.budget.backlog.begin_batch(now)
        if self.class_admission.admissions is None:
            self.commands.append(interface.SetTimer(TICK_TIMER, TICK_INTERVAL))
            self.publish_admissions()
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        self.zone_capacity.update_if_due()
        self.table_admission.update_if_due()
        self.withdrawals.send()
        self.removals.remove_unusable_endpoints()
        self.assignment.assign_waiting_proxies()
        self.restorations.send()
        self.staged_updates.publish_stage()
        self.restorations.send()  # those of new entries, in the same messages
        nonce = self.budget.backlog.end_batch()
        if nonce:
            self.commands.append(interface.RequestAcknowledgement(nonce, False))
        self.sharding.end_batch()
        return self.commands

    def status(self, now: float) -> interface.PlannerStatus:
        """Return the state of channel, proxies and withdrawals, for logs and metrics."""
        context, backlog = self.context, self.budget.backlog
        oldest_written_at = backlog.batches[0].written_at if backlog.batches else now
        waiting = context.unassigned.values()
        return interface.PlannerStatus(
            queued_entries=backlog.queued_entries,
            oldest_unacknowledged=now - oldest_written_at,
            connected_proxies=len(context.connected),
            unassigned_proxies=len(context.unassigned),
            longest_wait=now - min([proxy.connected_at for proxy in waiting], default=now),
            withdrawn_endpoints=sum(endpoint.withdrawn for endpoint in context.endpoints.values()),
            unrestored_proxies=len(self.restorations.pending_proxies),
        )

    def describe(self, endpoint_id: int, now: float) -> Optional[EndpointSummary]:
        """Return a summary of an endpoint for operators, or None if the endpoint is unknown."""
        endpoint = self.context.endpoints.get(endpoint_id)
        if endpoint is None:
            return None
        subscribers = len(self.context.subscriber_index.subscribers(endpoint_id))
        return summarize(endpoint, subscribers, now)

    def on_timer(self, event: interface.TimerFired) -> None:
        """Process a tick: end a complete round of reports, and advance the due endpoints.

        The continuation timer only causes a batch and is ignored here.
        """
        if event.token == CONTINUE_TIMER:
            return
        self.commands.append(interface.SetTimer(TICK_TIMER, TICK_INTERVAL))
        self.endpoint_updates.watch_if_due()
        if self.report_round.is_complete():
            self.end_round()
        for endpoint in self.schedule.take_due():
            self.advance_endpoint(endpoint)

    def on_endpoint_stats(self, event: interface.EndpointStats) -> None:
        """Add a report about one endpoint to the statistics and to the estimate of capacity."""
        counts = self.load_statistics.on_endpoint_stats(event)
        if counts is not None:
            self.capacity.on_endpoint_stats(event, counts)

    def on_acknowledged(self, event: interface.Acknowledged) -> None:
        """Remove the acknowledged entries from the channel backlog."""
        self.budget.backlog.acknowledge(event.proxy, event.nonce)

    def end_round(self) -> None:
        """Evaluate paths, endpoints and the fleet from the reports of one round."""
        self.report_round.end()
        self.capacity.end_round()
        self.demand.end_round()
        self.zone_paths.end_round()
        failing = self.load_statistics.end_round(self.zone_paths.bad_paths)
        self.gossip.send(failing)
        self.evaluate_endpoints()
        if self.load_shedding.update():
            self.publish_admissions()

    def evaluate_endpoints(self) -> None:
        """Update the fleet's load, and eject or relieve endpoints that are worse than others."""
        ready = self.fleet_load.ready_endpoints()
        peers = self.fleet_load.measure(ready, self.load_shedding.admitted_fraction)
        self.outlier_detection.evaluate(ready, peers)

    def publish_admissions(self) -> None:
        """Publish the admitted fractions and retry policies that have changed."""
        self.class_admission.publish()

    def advance_endpoint(self, endpoint: EndpointState) -> None:
        """Apply the changes of an endpoint that are due by time.

        These are the end of an ejection, the next step of restored traffic, the next step of the
        ramp and the next health check.
        """
        if endpoint.ejected_until is not None:
            self.outlier_detection.end_ejection_if_due(endpoint)
        if endpoint.traffic_fraction < 1:
            self.load_relief.restore_traffic_if_due(endpoint)
        self.slow_start.advance(endpoint)
        self.health_checks.check_if_due(endpoint)
        if (
            endpoint.ejected_until is None
            and endpoint.cold_since is None
            and endpoint.traffic_fraction >= 1
            and endpoint.ramp_fraction >= 1
        ):
            self.schedule.deactivate(endpoint)  # only the next health check remains scheduled

    @property
    def settings(self) -> dict[str, Any]:
        """The settings; a change takes effect with the next batch."""
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
        """All proxies that have ever connected, by number."""
        return self.context.proxies

    @property
    def connected(self) -> dict[int, ProxyState]:
        """The connected proxies by number."""
        return self.context.connected

    @property
    def unassigned(self) -> dict[int, ProxyState]:
        """The connected proxies without tables of this controller, by number."""
        return self.context.unassigned

    @property
    def now(self) -> float:
        """The time of the last batch in seconds."""
        return self.context.now

    @now.setter
    def now(self, now: float) -> None:
        self.context.now = now

    @property
    def commands(self) -> list[interface.Command]:
        """The commands of the last batch, in the order in which they were emitted."""
        return self.context.commands

    @commands.setter
    def commands(self, commands: list[interface.Command]) -> None:
        self.context.commands = commands
