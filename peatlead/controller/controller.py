"""The controller: events go to the planner, its orders become tables, DNS answers and assignments.

`Controller` composes the parts; each of them has a module of its own.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random
from typing import Any

from .. import interface
from ..dns.answers import Answers
from ..dns.notify import Secondaries
from ..dns.server import DnsServer
from ..dns.views import Views
from ..fleet.gossip import GossipNode
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

# Added to the controller's seed, so that parts draw from generators of their own.
SECONDARIES_SEED = 7
OVERLOAD_SEED = 11

DEFAULT_BOOT = b"\1" * 8


class Controller(BatchLoop):
    """One controller of a settings map.

    `log(event, **fields)` writes a log line. `planner(settings, seed)` creates the planner.
    `folder` keeps what outlives the process, None for nothing. `boot` is eight bytes that no other
    start of this controller has had, where it is one of a fleet. `wall_clock()` is the time of day,
    for stamps that people read: nothing is decided by it.

    `start()` opens the sockets and raises OSError where it can't. `ended` is a future: "stopped",
    or the error.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        name: str,
        log: Callable[..., Any],
        planner: Callable[[dict[str, Any], int], Any] = Planner,
        folder: str | None = None,
        source: SourceFactory = FileSource,
        boot: bytes = DEFAULT_BOOT,
        wall_clock: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._read_settings(settings, name)
        seed: int = self.own_settings["seed"]
        super().__init__(
            planner(planner_settings(settings, self.own_settings, len(self.view_numbers)), seed),
            log,
        )
        self._create_channel(seed)
        self.publication = Publication(
            self, folder and f"{folder}/tables-{name}", wall_clock, settings["tables"], boot
        )
        rng = Random(seed)
        self._create_dns(rng)
        self.endpoint_lists = EndpointLists(self, source, folder and f"{folder}/list-{name}")
        self.health_checks = HealthChecks(self)
        self.gossip = self._create_gossip(rng, boot)
        self.proxies = self._create_proxies()
        self.operator_queries = OperatorQueries(self)
        self.control_socket = ControlSocket(self._has_time, self.operator_queries.handlers())
        self._register_order_handlers()

    def _read_settings(self, settings: dict[str, Any], name: str) -> None:
        """Take what the parts need of the settings."""
        self.settings = settings
        # This controller's own entry.
        self.own_settings: dict[str, Any] = next(
            entry for entry in settings["steward"] if entry["name"] == name
        )
        self.zone_names: list[str] = [entry["name"] for entry in settings["zone"]]
        self.request_classes: list[str] = [entry["name"] for entry in settings["request_kind"]]
        self.port: int = settings["dns"]["port"]  # that endpoints listen on
        self.views = Views(settings)
        # The planner's numbers of the views, by index.
        self.view_numbers: list[int] = [view.number for view in self.views.views]

    def _register_order_handlers(self) -> None:
        """Say who carries out the planner's orders that are not for recipients."""
        self.command_handlers.update(
            {
                interface.CheckHealth: self.health_checks.check,
                interface.SetAdmission: self.health_checks.set_admission,
                interface.FetchEndpoints: self._fetch_endpoints,
                interface.SendGossip: self._send_gossip,
            }
        )

    def _create_channel(self, seed: int) -> None:
        """Create the way from the planner's orders to their recipients."""
        limits = self.settings["limits"]
        self.channel = Channel(limits["channel_rate"], limits["message_head"], limits["queue_most"])
        self.registry = EndpointRegistry(self.zone_names, self.log)
        self.overload = OverloadControl(
            self.settings["choices"]["sums_every"], Random(seed + OVERLOAD_SEED).uniform
        )
        self.propagation = PropagationTrace()
        self.recipients = Recipients(self)
        self.message_pump = MessagePump(self)

    def _create_dns(self, rng: Random) -> None:
        """Create the DNS server and what its answers are made of."""
        self.answers = Answers(self.settings, self.views, rng.uniform)
        self.dns_server = DnsServer(self.settings["dns"], self.answers)
        self.dns_publication = DnsPublication(self, self.answers)
        self.answer_freshness = AnswerFreshness(self)
        self.secondaries: Secondaries | None = None  # created when it starts

    def _create_gossip(self, rng: Random, boot: bytes) -> GossipNode | None:
        """Create this controller's place in the fleet, if the settings give it one."""
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
        """Create the gRPC side, if the settings give it an address."""
        if not self.own_settings["grpc"]:
            return None
        if self.gossip is None:
            return Proxies(self, None, None)
        return Proxies(self, self.gossip.ownership, self.gossip.about)

    # Life cycle.

    async def start(self) -> None:
        """Open the sockets, take up what is on disk and begin. Raises OSError."""
        await self.dns_server.open(self.own_settings["listen"])
        await self.control_socket.open(self.own_settings["control"])
        if self.proxies:
            await self.proxies.server.open(self.own_settings["grpc"])
        if self.gossip:
            await self.gossip.open()
        self.publication.recall(self.loop.time())
        if self.settings["dns"]["secondaries"]:
            self.secondaries = self._create_secondaries()
            await self.secondaries.open(self.own_settings["listen"][0])
        self.endpoint_lists.recall()
        for view in self.views.views:
            self.publisher.join(view.number)
            self.proxy_joined(view.number, view.zone, view.rate, True)
        self.endpoint_lists.source.start()
        self.log(
            "steward started", listen=str(self.own_settings["listen"]), views=len(self.view_numbers)
        )

    def _create_secondaries(self) -> Secondaries:
        names = [entry["name"] for entry in self.settings["steward"]]
        return Secondaries(
            self.answers,
            self.settings["dns"]["secondaries"],
            names.index(self.own_settings["name"]),
            len(names),
            self.publication.zone_serial(),
            Random(self.own_settings["seed"] + SECONDARIES_SEED),
            self.publication.store_zone_serial,
        )

    def stop(self, reason: str = "stopped") -> None:
        """End in order: no more answers, no more orders, then the sockets."""
        if self.ended.done():
            return
        self.answer_freshness.end()
        self.endpoint_lists.source.stop()
        self.health_checks.prober.stop()
        self.dns_server.close()
        if self.gossip:
            self.gossip.leave()  # before its proxies dial others, so that these know whose they are
        if self.proxies:
            self.proxies.server.close()
        self.control_socket.close()
        if self.secondaries:
            self.secondaries.close()
        self.publication.stop(self.loop.time())
        self.log("steward stopped", why=reason, decided=self.batch_count)
        self.ended.set_result(reason)

    # Steps of the batch loop.

    def fire_timer(self, token: int, due: float) -> None:
        """Pass the planner's timer on; how late it runs is a measure of overload."""
        now = self.loop.time()
        for order in self.overload.decide(now, [TimerLateness(now - due, self.count_proxies())]):
            if type(order) is SetGatherWindow and self.proxies:
                self.proxies.gathered.wait = order.seconds
            elif type(order) is LogOverload:
                self.log("burden", text=order.text)
        super().fire_timer(token, due)

    def on_batch_start(self, now: float) -> None:
        """Find out about a stall first of all, then add the load reports that are due."""
        self.answer_freshness.check(now)
        stats = self.health_checks.stats_due(now)
        self.inbox += stats
        if self.proxies:
            self.inbox += self.proxies.gathered.due(now)
        self.dns_publication.record_rates(stats)

    def send_messages(
        self,
        now: float,
        orders: Sequence[Any],
        messages: Mapping[int, Operations],
        marks: Mapping[int, Collection[int]],
    ) -> None:
        """Put a batch's messages into the channel, with what caused them."""
        for order in orders:
            self._record_cause(now, order)
        for number in sorted(messages):
            operations = messages[number]
            for endpoint in removed_endpoints(operations):
                if self.recipients.holds(number, endpoint):
                    self.propagation.begin_withdrawal(now, endpoint, number)
            causes = self.publication.causes.causes_of(operations)
            self.channel.enqueue(now, number, operations, marks.get(number, ()), causes)

    def _record_cause(self, now: float, order: object) -> None:
        """Record what an order says of an endpoint, for the causes of later versions."""
        if type(order) is interface.LogMessage:
            note = self.publication.causes.note_planner_message(order.text)
            if note:
                self.propagation.note(now, *note)
        elif type(order) is interface.WithdrawEndpoint:
            self.publication.endpoint_withdrawn(order.endpoint, order.withdrawn)
            text = "withdrawn" if order.withdrawn else "let in again"
            self.propagation.note(now, order.endpoint, text)

    def on_batch_end(self, now: float, events: Sequence[object]) -> None:
        """Send what may leave, and in each round of the planner's timer do all that is periodic."""
        self.message_pump.send_due()
        timer_fired = any(type(event) is interface.TimerFired for event in events)
        if not timer_fired and self.batch_count != 1:
            return
        self.answer_freshness.renew(now)
        self.publication.tick(now)
        if self.secondaries:
            self.secondaries.tick(now)
        if self.gossip and self.proxies:
            self.proxies.move_on(now)

    # Orders.

    def _fetch_endpoints(self, _: interface.FetchEndpoints) -> None:
        self.endpoint_lists.fetch_soon()

    def _send_gossip(self, order: interface.SendGossip) -> None:
        if self.gossip:
            self.gossip.broadcast_advice(order.payload)

    # Events.

    def proxy_joined(self, number: int, zone: int, rate: float, needs_tables: bool) -> None:
        """Tell the planner of a view or proxy that has joined; `rate` in requests a second."""
        self.submit(interface.ProxyConnected(number, zone, rate, needs_tables))

    def proxy_left(self, number: int) -> None:
        """Tell the planner of a proxy that has left."""
        self.propagation.ended(self.loop.time(), number)
        self.submit(interface.ProxyDisconnected(number))

    def _gossip_received(self, sender: int, payload: bytes) -> None:
        self.submit(interface.GossipReceived(sender, payload))

    # Questions of the parts.

    def count_proxies(self) -> int:
        """Return how many proxies have joined."""
        return len(self.proxies.server.sessions) if self.proxies else 0

    def planned_tables(self, number: int) -> list[PlannedTable]:
        """Return what the planner wants of a view or proxy now."""
        return self.recipients.planned_tables(number)

    def answer_fleet_question(self, question: Question) -> Answer:
        """Answer a question about the fleet. Raises KeyError where this controller is in none."""
        return self.operator_queries.handlers()["fleet"](question)

    def _has_time(self) -> bool:
        """Return whether there is time for one more question of an operator."""
        has_time: bool = self.overload.takes_question(self.loop.time())
        return has_time
