"""The controller on the platform: connects sessions, discovery and health checks to a planner.

Nothing is decided here. A batch sends one message to each proxy that it concerns, written at once:
the platform's channel paces them, and the planner counts what waits there.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Optional

from .. import interface
from ..controller.batch_loop import BatchLoop
from ..controller.message import Operations
from ..controller.publisher import Publisher
from ..planner.planner import Planner
from ..sources.endpoint_list import EndpointList
from .clock import WallClock
from .configuration import Configuration
from .endpoint_tracker import EndpointTracker
from .endpoint_watch import EndpointWatch
from .health_checks import concurrent_checks, make_prober
from .messages import CollectorHello, ProxyHello
from .push import PushComposer
from .reload import ConfigurationReload, differences
from .reports import ReportTranslator
from .restart_budget import RestartBudget
from .session_listener import SessionListener
from .session_owner import EndReason, Incident, Report
from .sessions import Session
from .settings_validation import REQUIRED_SETTINGS
from .shared_types import Log, Settings
from .startup import open_with_retries
from .telemetry import Telemetry

STOPPED = "stopped"  # the reason of an end that was asked for
# Seconds that a liveness check waits for the first list, where none with endpoints is remembered.
FIRST_LIST_TIMEOUT = 1.0
# Seconds that peers have to read what was written before the end; the platform grants 0.7.
STOP_TIMEOUT = 0.4
SWEEP_INTERVAL = 5.0  # seconds between searches for endpoints that the planner has forgotten
DIFFERENCES_LOGGED = 20  # of a new configuration

MakePlanner = Callable[[Settings, int], Planner]  # of the settings and a seed


class PlatformController(BatchLoop):
    """One controller of the platform's fleet.

    `read_configuration()` returns the configuration anew, or raises ConfigurationError. `wall()`
    gives Unix seconds, by which only endpoints' ages go: all other times are the event loop's.
    """

    planner: Planner

    def __init__(
        self,
        configuration: Configuration,
        read_configuration: Callable[[], Configuration],
        log: Log,
        wall: Callable[[], float],
        make_planner: MakePlanner = Planner,
    ) -> None:
        settings = configuration.settings
        super().__init__(make_planner(settings, configuration.seed), log)
        self.configuration = configuration
        self.settings = settings
        self.make_planner = make_planner
        self.ready = False  # whether liveness checks are answered
        self.stopping = False
        self.stop_reason = STOPPED
        self.failures = RestartBudget()
        self.class_names = [request_class["name"] for request_class in settings["req_kinds"]]
        self.proxy_sessions: dict[int, Session] = {}  # the newest stream of each proxy
        self.telemetry = Telemetry(log)
        self.clock = WallClock(wall, self.loop.time, log)
        self.reloader = ConfigurationReload(read_configuration, self.apply_configuration, log)
        self.endpoints = EndpointTracker(settings, self.clock.age, log)
        self.reports = ReportTranslator(
            self.endpoints.registry, self.class_names, settings["proxies"]
        )
        self.push = PushComposer(self.endpoints, self.class_names)
        self.open_transports()

    def open_transports(self) -> None:
        """Create, but not yet start, the listener, the watch and the health checks."""
        configuration = self.configuration
        concurrency = concurrent_checks(configuration.sockets)
        self.listener = SessionListener(self, configuration.sockets, concurrency)
        self.watch = EndpointWatch(
            configuration.discovery,
            self.on_endpoint_list,
            self.log,
            self.clock.now,
            Random(configuration.seed ^ 1),
        )
        self.prober = make_prober(self.settings, concurrency, self.on_health_check)
        self.command_handlers[interface.CheckHealth] = self.check_health

    # Start and end.

    async def start(self) -> None:
        """Open the sockets and begin to serve. Raises OSError."""
        await open_with_retries(
            self.listener, self.configuration.listen, lambda: self.stopping, self.log
        )
        if self.stopping:
            self.listener.close()
            return
        remembered_list = self.configuration.remembered_list
        if remembered_list is not None:
            self.on_endpoint_list(remembered_list)
            phases = {entry.phase for entry in remembered_list.hosts}
            if interface.EndpointPhase.READY in phases:
                self.become_ready()
        self.watch.start()
        self.loop.call_later(FIRST_LIST_TIMEOUT, self.become_ready)
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)
        self.log_start()

    def log_start(self) -> None:
        """Log what this controller goes by."""
        shown = [name for name in REQUIRED_SETTINGS if name not in ("zones", "proxies")]
        self.log(
            "steward started",
            name=self.configuration.name,
            listen=str(self.configuration.listen),
            proxies=self.settings["proxies"],
            kinds=self.class_names,
            limits={name: self.settings[name] for name in shown},
        )

    def become_ready(self) -> None:
        """Answer liveness checks from now on."""
        if not self.ready:
            self.ready = True
            self.listener.answer_pending_checks()

    def stop(self, reason: str = STOPPED) -> None:
        """End the controller.

        Events that have come are decided on and what follows is written; each stream ends when
        that has been sent, or after `STOP_TIMEOUT`.
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
        self.loop.call_later(STOP_TIMEOUT, self.finish)
        self.listener.close()

    def all_sessions_ended(self) -> None:
        """Finish early: nobody is left to read what was written."""
        self.finish()

    def finish(self) -> None:
        """End what is left of the connections, and set the result of `ended`."""
        if self.ended.done():
            return
        self.ended.set_result(self.stop_reason)
        self.listener.cut()
        self.log(
            "steward stopped",
            why=self.stop_reason,
            decided=self.batch_count,
            slowest=round(self.longest_decision, 3),
            ends=self.listener.counts,
        )

    # Batches.

    def submit(self, event: interface.Event) -> None:
        """Add an event to the next batch, unless the controller stops."""
        if not self.stopping:
            super().submit(event)

    def run_batch(self) -> None:
        """Run one batch, unless the controller stops."""
        if not self.stopping:
            super().run_batch()

    def on_decision_failed(self, problem: Exception) -> None:
        """Replace a planner that raised, or stop if that has happened too often."""
        now = self.loop.time()
        self.failures.record_failure(now)
        if self.failures.exhausted:
            self.stop(f"decide failed: {problem!r}")
            return
        self.restart_planner(now)

    def restart_planner(self, now: float) -> None:
        """Begin with a new planner from the list and the streams, as after a restart.

        What the old planner had half decided is lost.
        """
        seed = self.configuration.seed + self.failures.count
        self.planner = self.make_planner(self.settings, seed)
        self.publisher = Publisher()
        self.submit(self.endpoints.remembered(now))
        for proxy, session in self.proxy_sessions.items():
            self.publisher.join(proxy, enforces_admission=True)
            self.submit(interface.ProxyConnected(proxy, session.zone, session.request_rate, False))

    def send_messages(
        self,
        now: float,
        orders: Sequence[interface.Command],
        messages: Mapping[int, Operations],
        marks: Mapping[int, Sequence[int]],
    ) -> None:
        """Write a batch's messages; of several nonces the last one covers the others."""
        for proxy, operations in messages.items():
            session = self.proxy_sessions.get(proxy)
            if session is not None:
                nonce = marks[proxy][-1] if proxy in marks else None
                self.send_push(proxy, session, operations, nonce)

    def send_push(
        self, proxy: int, session: Session, operations: Operations, nonce: Optional[int]
    ) -> None:
        """Write one message, or end the stream if that fails.

        The proxy would lack what the planner takes it to hold; on a new stream it gets everything.
        """
        try:
            data = self.push.compose(self.publisher, proxy, session, operations, nonce)
        except Exception as problem:
            self.log("message not written", proxy=proxy, error=repr(problem))
            session.cut(EndReason.PUSH_FAILED)
            return
        if data:
            session.send(data)
            self.telemetry.message_written(proxy, operations)

    def on_batch_end(self, now: float, events: Sequence[interface.Event]) -> None:
        """Log what happened in the batch."""
        self.telemetry.end_batch(now, self.planner)

    # Configuration.

    def reload(self) -> None:
        """Read the configuration again."""
        self.reloader.request()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow discovery's address; all else that differs needs a restart and is logged."""
        differing = differences(self.configuration, configuration)
        if differing:
            self.log(
                "new configuration: all but discovery's address is for the next start",
                differs=differing[:DIFFERENCES_LOGGED],
            )
        self.log("discovery's address", place=str(configuration.discovery))
        self.watch.move(configuration.discovery)

    # Endpoints.

    def on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Handle a list or changes."""
        self.submit(self.endpoints.apply(endpoint_list, self.loop.time()))
        if endpoint_list.scope != interface.ListScope.REMEMBERED:
            self.become_ready()

    def sweep(self) -> None:
        """Forget the endpoints that the planner has forgotten, except while events wait."""
        self.loop.call_later(SWEEP_INTERVAL, self.sweep)
        if self.inbox:
            return
        for endpoint in self.endpoints.forget_unused(self.planner.endpoints):
            self.publisher.forget(endpoint)
            for session in self.proxy_sessions.values():
                session.restored.discard(endpoint)

    def check_health(self, command: interface.CheckHealth) -> None:
        """Start a health check that the planner asked for."""
        entry = self.endpoints.registry.entries[command.endpoint]
        self.prober.probe(command.endpoint, (entry.address, entry.port))

    def on_health_check(
        self,
        endpoint: int,
        outcome: str,
        duration: float,
        load_report: Optional[interface.LoadReport],
        _: None,
    ) -> None:
        """Handle the end of a health check."""
        self.submit(interface.HealthCheckResult(endpoint, outcome, duration, load_report))

    # Sessions, as SessionOwner describes.

    def accept_proxy(self, session: Session, hello: ProxyHello) -> Optional[int]:
        """Return the proxy's number, or None if there is no such proxy or zone."""
        zone = self.endpoints.registry.zones.get(hello.zone)
        is_same = session.proxy is None or session.proxy == hello.proxy
        if not is_same or hello.proxy >= self.settings["proxies"] or zone is None:
            return None
        session.zone = zone
        session.request_rate = hello.request_rate
        session.bootstrap_only = hello.bootstrap_only
        return hello.proxy

    def accept_collector(self, hello: CollectorHello) -> bool:
        """Return whether the collector's zone exists."""
        return hello.zone in self.endpoints.registry.zones

    def session_joined(self, session: Session) -> None:
        """Handle a new stream of a proxy, which may come before the old one is seen to end."""
        proxy = session.proxy
        if proxy is None:
            return
        old_session = self.proxy_sessions.get(proxy)
        if old_session is not None:
            self.session_left(old_session, EndReason.REPLACED)
            old_session.cut(EndReason.REPLACED)
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
        """Handle a report or an acknowledgement; one that names what does not exist is ignored."""
        event = self.reports.to_event(session.proxy, message)
        if event is None:
            self.listener.count(Incident.UNKNOWN_NAME)
        elif type(event) is interface.Acknowledged:
            self.telemetry.acknowledged(event.duration)
            # One comes for each message: a batch for each would be most of the work.
            self.submit_later(event)
        else:
            self.submit(event)
