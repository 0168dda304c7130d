"""The controller on the platform: connects sessions, discovery and health checks to a planner.

All decisions are the planner's. Each batch writes at most one message to each proxy, immediately:
the platform's channel limits the rate, and the planner counts the entries that wait in it.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Optional

from .. import interface
from ..controller.batch_loop import BatchLoop
from ..controller.message import Operations
from ..controller.publisher import Publisher
from ..net.buffer_budget import buffer_budget
from ..planner.planner import Planner
from ..sources.endpoint_list import EndpointList
from .clock import WallClock
from .configuration import Configuration
from .endpoint_tracker import EndpointTracker
from .endpoint_watch import EndpointWatch
from .health_checks import make_prober, max_concurrent_checks
from .messages import CollectorHello, ProxyHello
from .push import PushComposer
from .reload import ConfigurationReload, changed_names
from .reports import ReportTranslator
from .restart_budget import RestartBudget
from .session_listener import SessionListener
from .session_owner import EndReason, Incident, Report
from .sessions import Session
from .settings_validation import REQUIRED_SETTINGS, planner_settings
from .shared_types import Log, Settings
from .startup import open_with_retries
from .telemetry import Telemetry

STOPPED = "stopped"  # reason of a requested stop
# Seconds until liveness checks are answered without an endpoint list.
FIRST_LIST_TIMEOUT = 1.0
# Seconds that peers have to read buffered data when the controller stops; the platform allows 0.7
# seconds for the whole stop.
STOP_TIMEOUT = 0.4
FORGET_INTERVAL = 5.0  # seconds between calls of `forget_unused_endpoints`
MAX_DIFFERENCES_LOGGED = 20  # differing names of a new configuration

MakePlanner = Callable[[Settings, int], Planner]  # takes the settings and a seed


class PlatformController(BatchLoop):
    """One controller of the platform's fleet.

    `read_configuration()` reads the configuration again, or raises ConfigurationError.
    `unix_time()` returns seconds; it is used only for the endpoints' ages and for the time of
    endpoint lists. All other times are on the event loop's clock.
    """

    planner: Planner

    def __init__(
        self,
        configuration: Configuration,
        read_configuration: Callable[[], Configuration],
        log: Log,
        unix_time: Callable[[], float],
        make_planner: MakePlanner = Planner,
    ) -> None:
        settings = configuration.settings
        super().__init__(make_planner(planner_settings(settings), configuration.seed), log)
        self.configuration = configuration
        self.settings = settings
        self.make_planner = make_planner
        self.ready = False  # whether liveness checks are answered
        self.stopping = False
        self.stop_reason = STOPPED
        self.restart_budget = RestartBudget()
        self.class_names = [request_class["name"] for request_class in settings["req_kinds"]]
        self.proxy_sessions: dict[int, Session] = {}  # newest session of each proxy
        self.telemetry = Telemetry(log)
        self.wall_clock = WallClock(unix_time, self.loop.time, log)
        self.reloader = ConfigurationReload(read_configuration, self.apply_configuration, log)
        self.endpoint_tracker = EndpointTracker(settings, self.wall_clock.age, log)
        self.report_translator = ReportTranslator(
            self.endpoint_tracker.registry,
            self.class_names,
            settings["proxies"],
            settings["sums_every"],
        )
        self.push_composer = PushComposer(self.endpoint_tracker, self.class_names)
        self.open_transports()

    def open_transports(self) -> None:
        """Create the listener, the watch and the prober without starting them."""
        configuration = self.configuration
        buffer_budget(self.loop).set_memory(configuration.memory)
        max_checks = max_concurrent_checks(configuration.sockets)
        self.listener = SessionListener(self, configuration.sockets, max_checks)
        self.watch = EndpointWatch(
            configuration.discovery,
            self.on_endpoint_list,
            self.log,
            self.wall_clock.now,
            Random(configuration.seed ^ 1),
        )
        self.prober = make_prober(self.settings, max_checks, self.on_health_check)
        self.command_handlers[interface.CheckHealth] = self.check_health

    # Start and stop.

    async def start(self) -> None:
        """Open the listener and start to serve. Raises OSError."""
        await open_with_retries(
            self.listener, self.configuration.listen, lambda: self.stopping, self.log
        )
        if self.stopping:
            self.listener.close()
            return
        remembered_list = self.configuration.remembered_list
        if remembered_list is not None:
            self.on_endpoint_list(remembered_list)
            phases = {entry.phase for entry in remembered_list.endpoints}
            if interface.EndpointPhase.READY in phases:
                self.become_ready()
        self.watch.start()
        self.loop.call_later(FIRST_LIST_TIMEOUT, self.become_ready)
        self.loop.call_later(FORGET_INTERVAL, self.forget_unused_endpoints)
        self.log_start()

    def log_start(self) -> None:
        """Log the start and the main settings."""
        logged_settings = [name for name in REQUIRED_SETTINGS if name not in ("zones", "proxies")]
        self.log(
            "controller started",
            name=self.configuration.name,
            listen=str(self.configuration.listen),
            proxies=self.settings["proxies"],
            kinds=self.class_names,
            limits={name: self.settings[name] for name in logged_settings},
        )

    def become_ready(self) -> None:
        """Answer liveness checks from now on."""
        if not self.ready:
            self.ready = True
            self.listener.answer_pending_liveness_checks()

    def stop(self, reason: str = STOPPED) -> None:
        """Stop the controller.

        For a requested stop, events in the inbox are still decided on and their messages written.
        Each connection is closed when its buffered data has been sent, or after `STOP_TIMEOUT`.
        """
        if self.stopping:
            return
        if reason == STOPPED and self.inbox:
            self.run_batch()
        self.stopping = True
        self.stop_reason = reason
        self.reloader.stop()
        self.watch.stop()
        self.prober.stop()
        self.loop.call_later(STOP_TIMEOUT, self.finish_stop)
        self.listener.close()

    def all_sessions_ended(self) -> None:
        """Finish the stop before `STOP_TIMEOUT`, since no connection is left."""
        self.finish_stop()

    def finish_stop(self) -> None:
        """Abort the remaining connections, and set the result of `ended`."""
        if self.ended.done():
            return
        self.ended.set_result(self.stop_reason)
        self.listener.abort_all()
        self.log(
            "controller stopped",
            why=self.stop_reason,
            decided=self.batch_count,
            slowest=round(self.longest_decision, 3),
            ends=self.listener.counts,
        )

    # Batches.

    def submit(self, event: interface.Event) -> None:
        """Add an event to the next batch, unless the controller is stopping."""
        if not self.stopping:
            super().submit(event)

    def run_batch(self) -> None:
        """Run one batch, unless the controller is stopping."""
        if not self.stopping:
            super().run_batch()

    def on_decision_failed(self, error: Exception) -> None:
        """Replace a planner that raised an exception, or stop if that happened too often."""
        now = self.loop.time()
        self.restart_budget.record_failure(now)
        if self.restart_budget.exhausted:
            self.stop(f"decide failed: {error!r}")
            return
        self.restart_planner(now)

    def restart_planner(self, now: float) -> None:
        """Start a new planner with the known endpoints and proxies, as after a restart.

        Unfinished decisions of the old planner are lost.
        """
        seed = self.configuration.seed + self.restart_budget.failure_count
        self.planner = self.make_planner(planner_settings(self.settings), seed)
        self.publisher = Publisher()
        self.submit(self.endpoint_tracker.known_endpoints(now))
        for proxy, session in self.proxy_sessions.items():
            self.publisher.join(proxy, enforces_admission=True)
            self.submit(interface.ProxyConnected(proxy, session.zone, session.request_rate, False))

    def send_messages(
        self,
        now: float,
        commands: Sequence[interface.Command],
        messages: Mapping[int, Operations],
        nonces: Mapping[int, Sequence[int]],
    ) -> None:
        """Write a batch's messages; a proxy's last nonce covers its earlier nonces."""
        for proxy, operations in messages.items():
            session = self.proxy_sessions.get(proxy)
            if session is not None:
                nonce = nonces[proxy][-1] if proxy in nonces else None
                self.send_push(proxy, session, operations, nonce)

    def send_push(
        self, proxy: int, session: Session, operations: Operations, nonce: Optional[int]
    ) -> None:
        """Write one message, or abort the connection if the message can't be composed.

        Without the message, the proxy's tables would differ from what the planner assumes. The
        proxy is sent whole tables again after it has reconnected.
        """
        try:
            data = self.push_composer.compose(self.publisher, proxy, operations, nonce)
        except Exception as error:
            self.log("message not written", proxy=proxy, error=repr(error))
            session.abort(EndReason.PUSH_FAILED)
            return
        if data:
            session.send(data)
            if nonce is not None:
                session.unacknowledged_nonces.append(nonce)
            self.telemetry.message_written(proxy, operations)

    def on_batch_end(self, now: float, events: Sequence[interface.Event]) -> None:
        """Log the telemetry events that are due."""
        self.telemetry.end_batch(now, self.planner)

    # Configuration.

    def reload(self) -> None:
        """Read the configuration again."""
        self.reloader.request()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply discovery's address; other differences need a restart and are only logged."""
        differing_names = changed_names(self.configuration, configuration)
        if differing_names:
            self.log(
                "configuration changes need a restart",
                differs=differing_names[:MAX_DIFFERENCES_LOGGED],
            )
        self.log("discovery address set", place=str(configuration.discovery))
        self.watch.change_address(configuration.discovery)

    # Endpoints.

    def on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Apply a whole list or changes from discovery, or the remembered list."""
        self.submit(self.endpoint_tracker.apply(endpoint_list, self.loop.time()))
        if endpoint_list.scope != interface.ListScope.REMEMBERED:
            self.become_ready()

    def forget_unused_endpoints(self) -> None:
        """Forget the endpoints that the planner has forgotten, unless events wait in the inbox."""
        self.loop.call_later(FORGET_INTERVAL, self.forget_unused_endpoints)
        if self.inbox:
            return
        for endpoint in self.endpoint_tracker.forget_unused(self.planner.endpoints):
            self.publisher.forget_endpoint(endpoint)

    def check_health(self, command: interface.CheckHealth) -> None:
        """Start a health check that the planner requested."""
        entry = self.endpoint_tracker.registry.entries[command.endpoint]
        self.prober.probe(command.endpoint, (entry.address, entry.port))

    def on_health_check(
        self,
        endpoint: int,
        outcome: str,
        duration: float,
        load_report: Optional[interface.LoadReport],
        _: None,
    ) -> None:
        """Pass the result of a health check to the planner."""
        self.submit(interface.HealthCheckResult(endpoint, outcome, duration, load_report))

    # Sessions; these methods implement SessionOwner.

    def accept_proxy(self, session: Session, hello: ProxyHello) -> Optional[int]:
        """Store the hello in the session and return the proxy's number.

        Returns None if the proxy or its zone is unknown, or if a repeated hello names another proxy
        than the one that has joined on the session.
        """
        zone = self.endpoint_tracker.registry.zones.get(hello.zone)
        is_same_proxy = session.proxy is None or session.proxy == hello.proxy
        if not is_same_proxy or hello.proxy >= self.settings["proxies"] or zone is None:
            return None
        session.zone = zone
        session.request_rate = hello.request_rate
        session.bootstrap_only = hello.bootstrap_only
        return hello.proxy

    def accept_collector(self, hello: CollectorHello) -> bool:
        """Return whether the collector's zone exists."""
        return hello.zone in self.endpoint_tracker.registry.zones

    def session_joined(self, session: Session) -> None:
        """Handle a new stream of a proxy; an open stream of the same proxy is aborted."""
        proxy = session.proxy
        if proxy is None:
            return
        old_session = self.proxy_sessions.get(proxy)
        if old_session is not None:
            self.session_left(old_session, EndReason.REPLACED)
            old_session.abort(EndReason.REPLACED)
        self.proxy_sessions[proxy] = session
        self.publisher.join(proxy, enforces_admission=True)
        self.telemetry.proxy_joined(proxy, not session.bootstrap_only)
        self.submit(
            interface.ProxyConnected(
                proxy, session.zone, session.request_rate, session.bootstrap_only
            )
        )

    def session_left(self, session: Session, reason: str) -> None:
        """Handle the end of a proxy's stream, unless a newer one has replaced it."""
        proxy = session.proxy
        if proxy is None or self.proxy_sessions.get(proxy) is not session:
            return
        del self.proxy_sessions[proxy]
        self.telemetry.proxy_left(proxy, reason)
        self.publisher.leave(proxy)
        self.submit(interface.ProxyDisconnected(proxy))

    def message_received(self, session: Session, message: Report) -> None:
        """Handle a report or an acknowledgement.

        Those with unknown names or impossible numbers, and nonces that were not sent on this
        stream, are ignored.
        """
        event = self.report_translator.to_event(session.proxy, message)
        if event is None:
            self.listener.count(Incident.UNKNOWN_NAME)
        elif not self.report_translator.is_usable(event):
            self.listener.count(Incident.INVALID_FIELD)
        elif type(event) is interface.Acknowledged:
            if not session.acknowledge(event.nonce):
                self.listener.count(Incident.UNKNOWN_NAME)
                return
            self.telemetry.acknowledged(event.duration)
            # Proxies acknowledge every message. A separate batch for each acknowledgement would be
            # too expensive.
            self.add_to_next_batch(event)
        else:
            self.submit(event)
