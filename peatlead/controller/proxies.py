"""The steward's side of the gRPC front: proxies that join, and a fleet's say in it."""

from ..dns.views import number_of
from ..fleet.ownership import ranked, why
from ..grpc.framing import UNAVAILABLE
from ..grpc.load_aggregation import LoadAggregator
from ..grpc.server import GrpcFront
from ..tables.version import NONE, PARTS, line_key, whole_weight
from .channel import ViewState
from .overload import Did


def concerned_parts(ops):
    """Which parts of a proxy's tables these kinds of orders change."""
    return {part for op in ops for part in (("level", "retry") if op == "level" else ("line",))}


class Proxies:
    """`steward` is asked to hear events and to publish; `owners` (or None) decides whose a proxy is."""

    def __init__(self, steward, ownership, about):
        self.steward, self.ownership, self.about = steward, ownership, about
        settings = steward.settings
        self.port = settings["dns"]["port"]
        self.gathered, self.overload = LoadAggregator(), steward.overload
        self.front = GrpcFront(
            self,
            steward.me["name"],
            steward.kinds,
            settings["grpc"]["connections_most"],
            [zone["name"] for zone in settings["zone"]],
        )
        self.by_number, self.places, self.refusals, self.acks = {}, {}, 0, 0
        self.moved = self.sent_on = self.paced = 0

    # What the front asks.

    def admit(self, node):
        """The epoch that a proxy is taken in with, or how it is sent on."""
        # One that has forgotten its epoch, and a steward that has forgotten its own: the greater counts.
        seen = max(node.epoch, self.steward.published.newest_epoch(node.name))
        now = self.steward.loop.time()
        wait = self.overload.takes_join(now, not any(node.held.values()))
        if wait:
            self.paced += 1
            return 0, (UNAVAILABLE, "paced: more to do than time", {"peatlead_wait": f"{wait:.3f}"})
        if self.ownership is None:
            return seen + 1, None
        verdict = self.ownership.admit(now, node.name, seen, node.hops, node.avoid)
        if verdict.take:
            return self.ownership.epochs[node.name], None
        if verdict.wait:
            self.paced += 1
            return 0, (UNAVAILABLE, verdict.why, {"peatlead_wait": f"{verdict.wait:.3f}"})
        self.sent_on += 1
        return 0, (UNAVAILABLE, verdict.why, self.place(verdict.owner))

    def place(self, owner):
        about = self.about(owner)
        return (
            {"peatlead_owner": f"{about.orders[0]}:{about.orders[1]}"}
            if about and about.orders
            else {}
        )

    def hints(self, node):
        """Where to dial, best first, when this controller ends."""
        if self.ownership is None:
            return {}
        abouts = [self.about(name) for name in ranked(node.name, self.ownership.live)]
        return {
            "peatlead_controllers": ",".join(
                f"{one.name}={one.orders[0]}:{one.orders[1]}"
                for one in abouts
                if one and one.orders
            )
        }

    def joined(self, session):
        node, steward = session.node, self.steward
        session.number, session.state = number_of("proxy:" + node.name), ViewState()
        session.zone = steward.registry.zones.get(node.zone, 0)
        self.front.add(session)
        self.by_number[session.number] = session
        publisher = steward.publisher
        steward.channel.forget(session.number)
        publisher.leave(session.number)
        publisher.join(session.number, levelled=True)
        session.state.levels.update(publisher.levels)
        session.causes, session.held = {}, NONE
        held = self.take_held(session)
        self.show(session)
        lines = {
            line_key(kind, one.zone, one.address, one.port): whole_weight(one.weight)
            for kind, many in node.held.items()
            if kind in self.front.kinds
            for one in many
            if one.weight > 0
        }
        steward.published.record_join(node.name, session.epoch, lines)
        steward.proxy_joined(session.number, session.zone, node.rate, not held)

    def take_held(self, session):
        """What it brought stands, line by line, until the planner says otherwise; a withdrawal shuts hosts out
        of it like out of any table. Lines of hosts that no list has named are left out of what we know."""
        for kind, lines in session.node.held.items():
            at = self.front.kinds.get(kind)
            known = {
                self.host_of((one.address, one.port)): one.weight for one in lines if one.weight > 0
            }
            known.pop(None, None)
            if at is not None and known:
                session.state.tables["held", kind] = known
                session.state.bound[at] = "held", kind
        return len(session.state.bound) == len(self.front.kinds)

    def left(self, session):
        if self.front.drop(session):
            self.by_number.pop(session.number, None)
            self.steward.channel.forget(session.number)
            self.steward.publisher.leave(session.number)
            self.gathered.forget(session.number)
            self.steward.published.record_leave(session.node.name)
            if self.ownership is not None:
                self.ownership.left(session.node.name)
            self.steward.proxy_left(session.number)

    # Load reports.

    def takes_report(self, session, now):
        taken = self.overload.takes_report(now, session.report_at, session.reports)
        session.reports += 1
        return taken

    def reported(self, session, started):
        session.report_at = started
        self.overload.decide(started, [Did(1, self.steward.loop.time() - started)])

    def report_every(self, session):
        return self.overload.interval_of(0.5 if session is None else session.number % 997 / 996)

    def refused(self, session, refusal):
        self.refusals += 1
        self.steward.log(
            "assignment refused", proxy=session.node.name, version=refusal.version, why=refusal.text
        )

    def applied(self, session, type_url, version):
        self.acks += 1
        self.steward.propagation.applied(self.steward.loop.time(), session.number, version)
        session.held = max(session.held, version)

    def published(self, session, version, parts):
        """A version was sent: into the store, with what led to it."""
        if "line" in parts:
            self.steward.propagation.sent(session.number, version)
        if self.front.sessions.get(session.node.name) is session:
            items = {}
            for part in parts:
                items.update(session.items(part))
            self.steward.published.record_sent(
                session.node.name, version, parts, items, tuple(session.causes)
            )

    def lines_of(self, session, kind):
        names = list(self.front.kinds)
        return self.steward.published.lines(
            session.node.name, session.node.zone, names[kind], session.state.lines(kind)
        )

    def everyone(self):
        return [
            (session.number, name, session.node.zone)
            for name, session in sorted(self.front.sessions.items())
            if session.number is not None
        ]

    def host_of(self, place):
        address, port = place
        return self.places.get(address) if port == self.port else None

    def place_of(self, host):
        entry = self.steward.registry.entries[host]
        return entry.address or entry.address6, self.port, entry.zone

    # What the steward tells.

    def know(self, host, entry):
        for address in (entry.address, entry.address6):
            if address:
                self.places[address] = host

    def apply(self, number, message):
        """A message has left the channel. Returns the session, or None where the proxy has gone, or is pinned and
        gets nothing of it."""
        session = self.by_number.get(number)
        if session is not None:
            pinned = self.steward.published.pin_of(session.node.name, session.node.zone)
            before = pinned and session.ready and [session.items(part) for part in PARTS]
            session.state.apply(message.ops)
            self.show(session)
            if (
                before
                and before == [session.items(part) for part in PARTS]
                and not self.behind(session)
            ):
                return None
            if not session.stale:
                session.causes = {}  # all that was caused before has been sent
            session.causes.update(dict.fromkeys(message.causes))
            concerned = [
                op[0] for op, value in message.ops.items() if self.concerns(session, op, value)
            ]
            if pinned or concerned:
                session.changed(PARTS if pinned else concerned_parts(concerned))
        return session

    def behind(self, session):
        """Whether its last version is not what it is to hold: a pin that came or went since."""
        return bool(self.steward.published.pending_changes(session.node.name, session.number))

    @staticmethod
    def concerns(session, op, value):
        """A withdrawal of a host that it holds nowhere is no news for it."""
        return op[0] != "withdrawn" or any(
            op[1] in table for table in session.state.tables.values()
        )

    def show(self, session):
        names = list(self.front.kinds)
        session.levels = {names[at]: level for at, (level, _) in session.state.levels.items()}
        session.retries = {names[at]: retry for at, (_, retry) in session.state.levels.items()}

    def held_lines(self, session):
        return [len(self.lines_of(session, at)) for at in self.front.kinds.values()]

    # The fleet.

    def move(self, now):
        """Sends on what another should own."""
        for name, owner in self.ownership.moves(now) if self.ownership is not None else ():
            session = self.front.sessions.get(name)
            place = self.place(owner)
            if session is not None and place:
                self.moved += 1
                session.move("another's by rank", **place)

    def tell_why(self, name):
        session = self.front.sessions.get(name)
        return why(self.ownership, name, session and session.since, self.steward.loop.time())

    def status(self):
        return {
            "joined": len(self.front.sessions),
            "acks": self.acks,
            "refusals": self.refusals,
            "moved": self.moved,
            "sent on": self.sent_on,
            "paced": self.paced,
            "connections": len(self.front.held.streams),
        }
