"""Manages the joined gRPC proxies: what each proxy should hold, and what it has acknowledged.

`Proxies` implements `grpc.handler.ProxyHandler`, the interface that the gRPC server calls.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..dns.views import proxy_number
from ..fleet.membership import MemberInfo
from ..fleet.ownership import Ownership, OwnershipReport
from ..grpc.discovery import Nack
from ..grpc.load_aggregation import LoadAggregator
from ..grpc.proxy_node import ProxyNode
from ..grpc.resources import WeightedEndpoint
from ..grpc.server import GrpcServer
from ..grpc.session import Session
from ..sources.endpoint_list import ListedEndpoint
from ..tables.version import NO_VERSION, PARTS, Version, line_key, quantize_weight
from .message import Message
from .overload import ReportsRead
from .proxy_admission import Admission, Metadata, ProxyAdmission
from .published_items import EndpointWeights, LineWeights, TableItems
from .recipients import Recipient
from .view_state import ViewState

if TYPE_CHECKING:
    from .controller import Controller

NUMBER_PREFIX = "proxy:"  # a proxy's number is the hash of this prefix and its name
INITIAL_TABLE = "held"  # first part of the id of a table that a proxy held when it joined
REPORT_PHASES = 997  # a proxy's number modulo this gives its phase, which scatters report intervals
MEAN_PHASE = 0.5  # used for a proxy that has not joined; phases range from 0 to 1

AddressAndPort = tuple[str, int]


@dataclass(slots=True)
class ProxyProgress:
    """What a session has acknowledged, and the causes of its next version."""

    acknowledged: Version = NO_VERSION  # the newest version that the proxy has applied
    # Causes of the changes that have not been sent yet; used as an ordered set.
    causes: dict[str, None] = field(default_factory=dict)


def changed_parts(operation_kinds: Iterable[str]) -> set[str]:
    """Return the parts of a proxy's tables that operations of these kinds change."""
    parts: set[str] = set()
    for kind in operation_kinds:
        parts.update(("level", "retry") if kind == "level" else ("line",))
    return parts


def changes_proxy(session: Session, operation: tuple[Any, ...]) -> bool:
    """Return whether an operation changes anything for a proxy.

    The withdrawal of an endpoint that is in none of the proxy's tables changes nothing.
    """
    return operation[0] != "withdrawn" or any(
        operation[1] in table for table in session.state.tables.values()
    )


def all_items(session: Session) -> list[Mapping[str, Any] | None]:
    """Return the items that a proxy should hold now, by part."""
    return [session.items(part) for part in PARTS]


class Proxies:
    """The gRPC side of a controller.

    `ownership` and `member_info` come from the fleet's gossip; they are None without a fleet.
    """

    def __init__(
        self,
        controller: "Controller",
        ownership: Ownership | None,
        member_info: Callable[[str], MemberInfo | None] | None,
    ) -> None:
        settings = controller.settings
        self._controller = controller
        self._port: int = settings["dns"]["port"]  # the port of all endpoints
        self.load_aggregator = LoadAggregator()
        self.proxy_admission = ProxyAdmission(controller, ownership, member_info)
        self.server = GrpcServer(
            self,
            controller.own_settings["name"],
            controller.request_classes,
            settings["grpc"]["connections_most"],
            controller.zone_names,
        )
        self.by_number: dict[int, Session] = {}  # by the proxy's number
        self._progress: dict[Session, ProxyProgress] = {}
        self._endpoint_by_address: dict[str, int] = {}
        self.nack_count = 0  # versions that proxies have rejected (NACK)
        self.ack_count = 0  # versions that proxies have applied (ACK)

    # Methods of ProxyHandler.

    def admit(self, node: ProxyNode) -> Admission:
        """Return whether a proxy that has connected may join."""
        return self.proxy_admission.admit(node)

    def failover_metadata(self, node: ProxyNode) -> Metadata:
        """Return metadata that tells a joined proxy where to connect if this controller ends."""
        return self.proxy_admission.failover_metadata(node)

    def on_join(self, session: Session) -> None:
        """Register an admitted proxy and report it to the planner."""
        controller = self._controller
        node = session.node
        session.number = proxy_number(NUMBER_PREFIX + node.name)
        session.state = ViewState()
        session.zone = controller.registry.zones.get(node.zone, 0)
        self.server.add_session(session)
        self.by_number[session.number] = session
        self._progress[session] = ProxyProgress()
        self._reset_subscription(session)
        has_all_tables = self._load_initial_tables(session)
        self._copy_admission(session)
        lines = self._initial_lines(node)
        controller.publication.record_join(node.name, session.epoch, lines)
        controller.proxy_joined(session.number, session.zone, node.rate, not has_all_tables)

    def on_leave(self, session: Session) -> None:
        """Unregister a proxy whose session has ended, unless a newer session has replaced it."""
        self._progress.pop(session, None)
        if not self.server.remove_session(session):
            return
        controller = self._controller
        self.by_number.pop(session.number, None)
        controller.channel.forget_subscriber(session.number)
        controller.publisher.leave(session.number)
        self.load_aggregator.forget_proxy(session.number)
        controller.publication.record_leave(session.node.name)
        self.proxy_admission.forget_proxy(session.node.name)
        controller.proxy_left(session.number)

    def accepts_report(self, session: Session, now: float) -> bool:
        """Return whether to process a load report that has arrived, or to drop it."""
        accepted: bool = self._controller.overload.accepts_report(
            now, session.last_report_at, session.report_count
        )
        session.report_count += 1
        return accepted

    def on_report_processed(self, session: Session, started_at: float) -> None:
        """Record that a load report was processed, and how long that took since `started_at`."""
        session.last_report_at = started_at
        duration = self._controller.loop.time() - started_at
        self._controller.overload.decide(started_at, [ReportsRead(1, duration)])

    def report_interval(self, session: Session | None) -> float:
        """Return the seconds between a proxy's load reports.

        `session` is None for a proxy that has not joined.
        """
        phase = MEAN_PHASE
        if session is not None:
            phase = session.number % REPORT_PHASES / (REPORT_PHASES - 1)
        interval: float = self._controller.overload.proxy_report_interval(phase)
        return interval

    def on_nack(self, session: Session, nack: Nack) -> None:
        """Count and log a version that a proxy has rejected."""
        self.nack_count += 1
        self._controller.log(
            "assignment refused", proxy=session.node.name, version=nack.version, why=nack.text
        )

    def on_ack(self, session: Session, _type_url: str, version: Version) -> None:
        """Record that a proxy has applied a version."""
        self.ack_count += 1
        now = self._controller.loop.time()
        self._controller.propagation.version_applied(now, session.number, version)
        progress = self._progress.get(session)
        if progress is not None:
            progress.acknowledged = max(progress.acknowledged, version)

    def on_response_sent(self, session: Session, version: Version, parts: Collection[str]) -> None:
        """Record a version of parts of a proxy's tables that is being sent, with its causes."""
        if "line" in parts:
            self._controller.propagation.version_sent(session.number, version)
        name = session.node.name
        if self.server.sessions.get(name) is not session:
            return
        items: TableItems = {}
        for part in parts:
            items.update(session.items(part) or {})
        causes = tuple(self._progress[session].causes)
        self._controller.publication.record_sent(name, version, parts, items, causes)

    def endpoint_weights(self, session: Session, request_class: int) -> EndpointWeights:
        """Return the endpoints that a proxy should hold now for a request class, with weights."""
        name = list(self.server.class_indices)[request_class]
        planned = session.state.weights(request_class)
        node = session.node
        return self._controller.publication.effective_weights(node.name, node.zone, name, planned)

    def find_endpoint(self, address_and_port: AddressAndPort) -> int | None:
        """Return the endpoint at an address and port, or None if no list has named it."""
        address, port = address_and_port
        return self._endpoint_by_address.get(address) if port == self._port else None

    def endpoint_address(self, endpoint: int) -> tuple[str, int, str]:
        """Return an endpoint's address, port and zone."""
        entry = self._controller.registry.entries[endpoint]
        return entry.address or entry.address6, self._port, entry.zone

    # Methods that the controller calls.

    def endpoint_listed(self, endpoint: int, entry: ListedEndpoint) -> None:
        """Store the addresses of an endpoint from a list entry."""
        for address in (entry.address, entry.address6):
            if address:
                self._endpoint_by_address[address] = endpoint

    def apply(self, number: int, message: Message) -> Session | None:
        """Apply a message that has left the channel, and mark the session's changed parts.

        Return the proxy's session, or None if the proxy has left or if a pin cancels all changes.
        """
        session = self.by_number.get(number)
        if session is None:
            return None
        pinned = (
            self._controller.publication.active_pin(session.node.name, session.node.zone)
            is not None
        )
        items_before = all_items(session) if pinned and session.has_tables else None
        session.state.apply(message.operations)
        self._copy_admission(session)
        unchanged = items_before is not None and items_before == all_items(session)
        if unchanged and not self._has_pending_changes(session):
            return None
        self._add_causes(session, message)
        operations = [
            operation[0] for operation in message.operations if changes_proxy(session, operation)
        ]
        if pinned or operations:
            session.on_tables_changed(PARTS if pinned else changed_parts(operations))
        return session

    def all_recipients(self) -> list[Recipient]:
        """Return all joined proxies, sorted by name."""
        return [
            Recipient(session.number, name, session.node.zone)
            for name, session in sorted(self.server.sessions.items())
            if session.number is not None
        ]

    def acknowledged_version(self, number: int) -> Version | None:
        """Return the newest version that a proxy has applied, or None if it has not joined."""
        session = self.by_number.get(number)
        return self._progress[session].acknowledged if session is not None else None

    def line_counts(self, session: Session) -> list[int]:
        """Return the number of endpoints that a proxy should hold for each request class."""
        return [
            len(self.endpoint_weights(session, index))
            for index in self.server.class_indices.values()
        ]

    def redirect_proxies(self, now: float) -> None:
        """Redirect some of the joined proxies that another controller should own."""
        self.proxy_admission.redirect_proxies(now, self.server)

    def explain_ownership(self, name: str) -> OwnershipReport:
        """Return the facts that decide which controller owns a proxy."""
        session = self.server.sessions.get(name)
        return self.proxy_admission.explain(name, session.admitted_at if session else None)

    def status(self) -> dict[str, int]:
        """Return the counts that operators see."""
        return {
            "joined": len(self.server.sessions),
            "acks": self.ack_count,
            "refusals": self.nack_count,
            "moved": self.proxy_admission.joined_redirects,
            "sent on": self.proxy_admission.admission_redirects,
            "paced": self.proxy_admission.delayed_joins,
            "connections": len(self.server.connections.streams),
        }

    def _reset_subscription(self, session: Session) -> None:
        """Drop what is queued for an earlier session of this proxy."""
        publisher = self._controller.publisher
        self._controller.channel.forget_subscriber(session.number)
        publisher.leave(session.number)
        publisher.join(session.number, enforces_admission=True)
        session.state.admissions.update(publisher.admissions)

    def _load_initial_tables(self, session: Session) -> bool:
        """Keep the tables that a proxy held when it joined until the planner assigns tables.

        A withdrawal removes an endpoint from these tables as from any other table. Endpoints that
        no list has named are omitted. Return whether every request class has a table.
        """
        for request_class, lines in session.node.held.items():
            index = self.server.class_indices.get(request_class)
            table = self._known_weights(lines)
            if index is not None and table:
                session.state.tables[INITIAL_TABLE, request_class] = table
                session.state.assigned_tables[index] = INITIAL_TABLE, request_class
        return len(session.state.assigned_tables) == len(self.server.class_indices)

    def _known_weights(self, lines: Iterable[WeightedEndpoint]) -> EndpointWeights:
        weights: EndpointWeights = {}
        for line in lines:
            endpoint = self.find_endpoint((line.address, line.port))
            if line.weight > 0 and endpoint is not None:
                weights[endpoint] = line.weight
        return weights

    def _initial_lines(self, node: ProxyNode) -> LineWeights:
        return {
            line_key(request_class, line.zone, line.address, line.port): quantize_weight(
                line.weight
            )
            for request_class, lines in node.held.items()
            if request_class in self.server.class_indices
            for line in lines
            if line.weight > 0
        }

    def _add_causes(self, session: Session, message: Message) -> None:
        progress = self._progress[session]
        if not session.stale_types:
            progress.causes = {}  # all earlier changes have been sent
        progress.causes.update(dict.fromkeys(message.causes))

    def _has_pending_changes(self, session: Session) -> bool:
        """Return whether a pin has changed what a proxy should hold since its last version."""
        return bool(self._controller.publication.pending_changes(session.node.name, session.number))

    def _copy_admission(self, session: Session) -> None:
        names = list(self.server.class_indices)
        admission = session.state.admissions.items()
        session.admitted_fractions = {names[index]: fraction for index, (fraction, _) in admission}
        session.retry_policies = {names[index]: retry for index, (_, retry) in admission}
