"""The controller: passes events to the planner and publishes its commands to views and proxies.

`Controller` composes the parts of a controller; each part has its own module.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random
from typing import Any

from .. import interface
from ..dns.answers import Answers
from ..dns.notify import Secondaries
from ..dns.server import DnsServer
from ..dns.views import Views
from ..fleet.gossip import GossipNode
from ..net.buffer_budget import buffer_budget
from ..planner.planner import Planner
from ..sources.file_watch import FileSource
from .answer_freshness import AnswerFreshness
from .batch_loop import BatchLoop
from .channel import Channel
from .control_socket import Answer, ControlSocket, Question
from .dns_publication import DnsPublication
from .endpoint_lists import EndpointLists, SourceFactory
from .endpoint_registry import EndpointRegistry
from .health_checks import HealthChecks
from .message import Operations, removed_endpoints
from .message_pump import MessagePump
from .operator_queries import OperatorQueries
from .overload import LogOverload, OverloadControl, SetGatherWindow, TimerLateness
from .planner_settings import planner_settings
from .propagation import PropagationTrace
from .proxies import Proxies
from .publication import Publication
from .recipients import PlannedTable, Recipients

# Added to the controller's seed, so that the parts have independent random generators.
SECONDARIES_SEED_OFFSET = 7
OVERLOAD_SEED_OFFSET = 11

DEFAULT_BOOT = b"\1" * 8


class Controller(BatchLoop):
    """One controller: creates the parts and connects them to the planner.

    `settings` are the settings of the whole fleet, and `name` selects this controller's entry.
    `log(event, **fields)` writes a log line. `create_planner(settings, seed)` returns the planner.
    `state_folder` holds the persistent state, or is None to store nothing. `create_source` is a
    `SourceFactory` for endpoint lists. `boot` is eight bytes that identify this start of the
    controller; only a fleet needs them. `wall_clock()` returns the time of day, for timestamps that
    people read; no decision depends on it.

    `start()` opens the sockets and raises OSError if that fails. `ended` is a future whose result
    is "stopped" or the error that ended the controller.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        name: str,
        log: Callable[..., Any],
        create_planner: Callable[[dict[str, Any], int], Any] = Planner,
        state_folder: str | None = None,
        create_source: SourceFactory = FileSource,
        boot: bytes = DEFAULT_BOOT,
        wall_clock: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._read_settings(settings, name)
        buffer_budget(asyncio.get_running_loop()).set_memory(settings["limits"]["memory_most"])
        seed: int = self.own_settings["seed"]
        super().__init__(
            create_planner(
                planner_settings(settings, self.own_settings, len(self.view_numbers)), seed
            ),
            log,
        )
        self._create_channel(seed)
        self.publication = Publication(
            self,
            state_folder and f"{state_folder}/tables-{name}",
            wall_clock,
            settings["tables"],
            boot,
        )
        rng = Random(seed)
        self._create_dns(rng)
        self.endpoint_lists = EndpointLists(
            self, create_source, state_folder and f"{state_folder}/list-{name}"
        )
        self.health_checks = HealthChecks(self)
        self.gossip = self._create_gossip(rng, boot)
        self.proxies = self._create_proxies()
        self.operator_queries = OperatorQueries(self)
        self.control_socket = ControlSocket(self._accepts_query, self.operator_queries.handlers())
        self._register_command_handlers()

    def _read_settings(self, settings: dict[str, Any], name: str) -> None:
        """Set the attributes that the other parts use instead of the settings."""
        self.settings = settings
        # This controller's entry in the settings.
        self.own_settings: dict[str, Any] = next(
            entry for entry in settings["steward"] if entry["name"] == name
        )
        self.zone_names: list[str] = [entry["name"] for entry in settings["zone"]]
        self.request_classes: list[str] = [entry["name"] for entry in settings["request_kind"]]
        self.port: int = settings["dns"]["port"]  # the port of all endpoints
        self.views = Views(settings)
        # The planner's number of each view, by the view's index.
        self.view_numbers: list[int] = [view.number for view in self.views.views]

    def _register_command_handlers(self) -> None:
        """Register handlers for the commands that concern this controller itself."""
        self.command_handlers.update(
            {
                interface.CheckHealth: self.health_checks.send_check,
                interface.SetAdmission: self.health_checks.set_admission,
                interface.FetchEndpoints: self._fetch_endpoints,
                interface.SendGossip: self._send_gossip,
            }
        )

    def _create_channel(self, seed: int) -> None:
        """Create the channel, and the parts that fill the channel and send its messages."""
        limits = self.settings["limits"]
        self.channel = Channel(limits["channel_rate"], limits["message_head"], limits["queue_most"])
        self.registry = EndpointRegistry(self.zone_names, self.log)
        self.overload = OverloadControl(
            self.settings["choices"]["sums_every"], Random(seed + OVERLOAD_SEED_OFFSET).uniform
        )
        self.propagation = PropagationTrace()
        self.recipients = Recipients(self)
        self.message_pump = MessagePump(self)

    def _create_dns(self, rng: Random) -> None:
        """Create the DNS server and the tables that its answers use."""
        self.answers = Answers(self.settings, self.views, rng.uniform)
        self.dns_server = DnsServer(self.settings["dns"], self.answers)
        self.dns_publication = DnsPublication(self, self.answers)
        self.answer_freshness = AnswerFreshness(self)
        self.secondaries: Secondaries | None = None  # created in `start`, if configured

    def _create_gossip(self, rng: Random, boot: bytes) -> GossipNode | None:
        """Create the gossip node, if the settings give this controller a peer address."""
        if not self.own_settings["peer"]:
            return None
        return GossipNode(
            self.settings,
            self.own_settings,
            Random(rng.random()),
            boot,
            self.count_proxies,
            self.log,
            self._gossip_received,
            self.publication.receive_pins,
            self.publication.receive_target,
        )

    def _create_proxies(self) -> Proxies | None:
        """Create the gRPC side, if the settings give this controller a gRPC address."""
        if not self.own_settings["grpc"]:
            return None
        if self.gossip is None:
            return Proxies(self, None, None)
        return Proxies(self, self.gossip.ownership, self.gossip.member_info)

    # Life cycle.

    async def start(self) -> None:
        """Open the sockets, restore the stored state and start. Raises OSError."""
        await self.dns_server.open(self.own_settings["listen"])
        await self.control_socket.open(self.own_settings["control"])
        if self.proxies:
            await self.proxies.server.open(self.own_settings["grpc"])
        if self.gossip:
            await self.gossip.open()
        self.publication.restore(self.loop.time())
        if self.settings["dns"]["secondaries"]:
            self.secondaries = self._create_secondaries()
            await self.secondaries.open(self.own_settings["listen"][0])
        self.endpoint_lists.restore()
        for view in self.views.views:
            self.publisher.join(view.number)
            self.proxy_joined(view.number, view.zone, view.rate, True)
        self.endpoint_lists.source.start()
        self.log(
            "controller started",
            listen=str(self.own_settings["listen"]),
            views=len(self.view_numbers),
        )

    def _create_secondaries(self) -> Secondaries:
        names = [entry["name"] for entry in self.settings["steward"]]
        return Secondaries(
            self.answers,
            self.settings["dns"]["secondaries"],
            names.index(self.own_settings["name"]),
            len(names),
            self.publication.zone_serial(),
            Random(self.own_settings["seed"] + SECONDARIES_SEED_OFFSET),
            self.publication.store_zone_serial,
        )

    def stop(self, reason: str = "stopped") -> None:
        """Stop answering, then stop publishing, then close the remaining sockets."""
        if self.ended.done():
            return
        self.answer_freshness.forbid_answers()
        self.endpoint_lists.source.stop()
        self.health_checks.prober.stop()
        self.dns_server.close()
        if self.gossip:
            # The other controllers must know of the departure before the proxies reconnect to them.
            self.gossip.leave()
        if self.proxies:
            self.proxies.server.close()
        self.control_socket.close()
        if self.secondaries:
            self.secondaries.close()
        self.publication.stop(self.loop.time())
        self.log("controller stopped", why=reason, decided=self.batch_count)
        self.ended.set_result(reason)

    # Hooks of the batch loop.

    def fire_timer(self, token: int, due: float) -> None:
        """Submit the planner's timer event, and let overload control use the timer's lateness."""
        now = self.loop.time()
        for command in self.overload.decide(now, [TimerLateness(now - due, self.count_proxies())]):
            if type(command) is SetGatherWindow and self.proxies:
                self.proxies.load_aggregator.max_delay = command.seconds
            elif type(command) is LogOverload:
                self.log("overload control", text=command.text)
        super().fire_timer(token, due)

    def on_batch_start(self, now: float) -> None:
        """Check for a stall before anything else, then add the load statistics that are due."""
        self.answer_freshness.detect_stall(now)
        stats = self.health_checks.take_due_stats(now)
        self.inbox += stats
        if self.proxies:
            self.inbox += self.proxies.load_aggregator.take_due(now)
        self.dns_publication.record_rates(stats)

    def send_messages(
        self,
        now: float,
        commands: Sequence[Any],
        messages: Mapping[int, Operations],
        nonces: Mapping[int, Collection[int]],
    ) -> None:
        """Queue a batch's messages in the channel, with their causes."""
        for command in commands:
            self._record_cause(now, command)
        for subscriber in sorted(messages):
            operations = messages[subscriber]
            for endpoint in removed_endpoints(operations):
                if self.recipients.holds(subscriber, endpoint):
                    self.propagation.begin_withdrawal(now, endpoint, subscriber)
            causes = self.publication.causes.causes_of(operations)
            self.channel.enqueue(now, subscriber, operations, nonces.get(subscriber, ()), causes)

    def _record_cause(self, now: float, command: object) -> None:
        """Record what a command says about an endpoint, as a cause of later versions."""
        if type(command) is interface.LogMessage:
            event = self.publication.causes.note_planner_message(command.text)
            if event:
                self.propagation.record_event(now, *event)
        elif type(command) is interface.WithdrawEndpoint:
            self.publication.endpoint_withdrawn(command.endpoint, command.withdrawn)
            text = "withdrawn" if command.withdrawn else "restored"
            self.propagation.record_event(now, command.endpoint, text)

    def on_batch_end(self, now: float, events: Sequence[object]) -> None:
        """Send due messages; after the first batch and after timer events also do periodic work."""
        self.message_pump.send_due()
        timer_fired = any(type(event) is interface.TimerFired for event in events)
        if not timer_fired and self.batch_count != 1:
            return
        self.answer_freshness.renew(now)
        self.publication.tick(now)
        if self.secondaries:
            self.secondaries.tick(now)
        if self.gossip and self.proxies:
            self.proxies.redirect_proxies(now)

    # Command handlers.

    def _fetch_endpoints(self, _: interface.FetchEndpoints) -> None:
        self.endpoint_lists.schedule_fetch()

    def _send_gossip(self, command: interface.SendGossip) -> None:
        if self.gossip:
            self.gossip.broadcast_advice(command.payload)

    # Events.

    def proxy_joined(self, number: int, zone: int, rate: float, needs_tables: bool) -> None:
        """Submit the event of a view or proxy that has joined; `rate` is in requests per second."""
        self.submit(interface.ProxyConnected(number, zone, rate, needs_tables))

    def proxy_left(self, number: int) -> None:
        """Submit the event of a proxy that has left."""
        self.propagation.holder_left(self.loop.time(), number)
        self.submit(interface.ProxyDisconnected(number))

    def _gossip_received(self, sender: int, payload: bytes) -> None:
        self.submit(interface.GossipReceived(sender, payload))

    # Queries.

    def count_proxies(self) -> int:
        """Return the number of joined proxies."""
        return len(self.proxies.server.sessions) if self.proxies else 0

    def planned_tables(self, subscriber: int) -> list[PlannedTable]:
        """Return the planned tables of a view or proxy."""
        return self.recipients.planned_tables(subscriber)

    def answer_fleet_question(self, question: Question) -> Answer:
        """Answer a query about the fleet. Raises KeyError if this controller is in no fleet."""
        return self.operator_queries.handlers()["fleet"](question)

    def _accepts_query(self) -> bool:
        """Return whether the controller has time for another query of an operator."""
        accepted: bool = self.overload.accepts_query(self.loop.time())
        return accepted
