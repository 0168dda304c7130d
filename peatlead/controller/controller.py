"""The steward: events in, orders out, and everything between them and the sockets."""

from ipaddress import ip_address
from random import Random

from .. import interface
from ..dns.answers import Answers
from ..dns.notify import Secondaries
from ..dns.server import DnsFront
from ..dns.views import Views
from ..dns.warmup_thinning import WarmupThinning
from ..fleet.gossip import GossipNode
from ..health.load_report_counts import LoadReportCounts, read_told
from ..health.prober import Prober
from ..net.orca import HEADER, read_report
from ..planner.planner import Planner
from ..sources.endpoint_cache import EndpointCache
from ..sources.file_watch import FileSource
from .batch_loop import BatchLoop
from .channel import Channel, ViewState, taken_away
from .control_socket import Control
from .endpoint_registry import EndpointRegistry
from .overload import Beat, Gather, OverloadControl, Say
from .planner_settings import planner_settings
from .propagation import PropagationTrace
from .proxies import Proxies
from .publication import Publication

PUMP_MOST = (
    300  # messages sent in one callback: what comes in meanwhile waits no longer than these take
)


class Controller(BatchLoop):
    """One steward of a settings map.

    `log(event, **fields)`; `planner(facts, seed)` makes the decisions; `folder` keeps what outlives it;
    `boot`: 8 bytes that no other start of this steward has had, where it is one of a fleet; `wall()` the time of
    day, for stamps that people read: nothing is decided by it.
    `await start()` opens sockets (OSError where it can't); `ended` is a future: "stopped", or the error.
    """

    def __init__(
        self,
        settings,
        name,
        log,
        planner=Planner,
        folder=None,
        source=FileSource,
        boot=b"\1" * 8,
        wall=lambda: 0.0,
    ):
        self.settings = settings
        self.me = next(one for one in settings["steward"] if one["name"] == name)
        chance = Random(self.me["seed"])
        self.views = Views(settings)
        self.numbers = [view.number for view in self.views.views]
        super().__init__(
            planner(planner_settings(settings, self.me, len(self.numbers)), self.me["seed"]), log
        )
        self.carriers.update(
            {
                interface.CheckHealth: self.send_probe,
                interface.SetAdmission: self.set_levels,
                interface.FetchEndpoints: self.fetch_list,
                interface.SendGossip: self.send_note,
            }
        )
        self.answers = Answers(settings, self.views, chance.uniform)
        self.front = DnsFront(settings["dns"], self.answers)
        self.registry = EndpointRegistry([zone["name"] for zone in settings["zone"]], log)
        limits = settings["limits"]
        self.channel = Channel(limits["channel_rate"], limits["message_head"], limits["queue_most"])
        self.states = [ViewState() for _ in self.numbers]
        self.services = service_kinds(settings)
        self.thinning = WarmupThinning(
            {
                (view.index, at): view.rate
                for view in self.views.views
                for at in range(len(self.services))
            }
        )
        kinds = [kind["name"] for kind in settings["request_kind"]]
        self.levels, self.kinds = {}, kinds
        self.news = LoadReportCounts(
            kinds, self.view_of, self.views_zone(), settings["choices"]["sums_every"]
        )
        self.prober = Prober(
            settings["probes"], self.on_probe, read_answer, self.probe_headers, self.me["listen"][0]
        )
        self.overload = OverloadControl(
            settings["choices"]["sums_every"], Random(self.me["seed"] + 11).uniform
        )
        self.memory = EndpointCache(folder and f"{folder}/list-{name}")
        self.source = source(settings["node_list"], self.on_listing, log)
        self.secondaries = None
        self.port, self.listed = settings["dns"]["port"], {}  # host -> its whole weight
        self.published = Publication(
            self, folder and f"{folder}/tables-{name}", wall, settings["tables"], boot
        )
        self.control = Control(
            self.takes_question,
            {
                "answer": self.tell_answer,
                "status": self.tell_status,
                "drained": self.tell_drained,
                "tables": self.published.answer,
            },
        )
        self.fleet = self.me["peer"] and GossipNode(
            settings,
            self.me,
            Random(chance.random()),
            boot,
            self.count_proxies,
            log,
            self.on_note,
            self.published.hear_pins,
            self.published.hear_wish,
        )
        self.proxies = self.me["grpc"] and Proxies(
            self, self.fleet and self.fleet.ownership, self.fleet and self.fleet.about
        )
        if self.fleet:
            self.control.answers["fleet"] = self.tell_fleet
        self.propagation = PropagationTrace()
        self.control.answers["why"] = self.tell_why
        self.left_at = {}  # host -> when the last answer could name it
        self.pump_due, self.networks = None, {}
        self.fresh_for, self.waking = limits["bare_most"] / 4, False

    def views_zone(self):
        return [zone["name"] for zone in self.settings["zone"]].index(self.me["zone"])

    # Its life.

    async def start(self):
        await self.front.open(self.me["listen"])
        await self.control.open(self.me["control"])
        if self.proxies:
            await self.proxies.front.open(self.me["grpc"])
        if self.fleet:
            await self.fleet.open()
        self.published.recall(self.loop.time())
        if self.settings["dns"]["secondaries"]:
            names = [one["name"] for one in self.settings["steward"]]
            self.secondaries = Secondaries(
                self.answers,
                self.settings["dns"]["secondaries"],
                names.index(self.me["name"]),
                len(names),
                self.published.zone_serial(),
                Random(self.me["seed"] + 7),
                self.published.store_zone_serial,
            )
            await self.secondaries.open(self.me["listen"][0])
        listing, why = self.memory.recall()
        if listing:
            self.source.remember(listing.version)
            self.on_listing(listing)
        else:
            self.log("no list remembered", why=why)
        for view in self.views.views:
            self.publisher.join(view.number)
            self.proxy_joined(view.number, view.zone, view.rate, True)
        self.source.start()
        self.log("steward started", listen=str(self.me["listen"]), views=len(self.numbers))

    def stop(self, why="stopped"):
        """In order: no more answers, no more orders, then the sockets."""
        if self.ended.done():
            return
        self.front.fresh_until = 0.0
        self.source.stop()
        self.prober.stop()
        self.front.close()
        if self.fleet:
            self.fleet.leave()  # before its proxies dial others, so that these know whose they are
        if self.proxies:
            self.proxies.front.close()
        self.control.close()
        if self.secondaries:
            self.secondaries.close()
        self.published.stop(self.loop.time())
        self.log("steward stopped", why=why, decided=self.decided)
        self.ended.set_result(why)

    def fire(self, token, due):
        """The planner's timer. How late it runs tells what this steward may take on."""
        now = self.loop.time()
        for order in self.overload.decide(now, [Beat(now - due, self.count_proxies())]):
            if type(order) is Gather and self.proxies:
                self.proxies.gathered.wait = order.seconds
            elif type(order) is Say:
                self.log("burden", text=order.text)
        super().fire(token, due)

    def takes_question(self):
        return self.overload.takes_question(self.loop.time())

    def before(self, now):
        """First of all what a stall has made stale; then the sums that are due."""
        stalled = 0 < self.front.fresh_until < now
        if stalled and not self.waking:
            self.waking = True
            self.wake(now)
        news = self.news.due(now, self.numbers)
        self.inbox += news
        if self.proxies:
            self.inbox += self.proxies.gathered.due(now)
        self.note_rates(news)

    def after(self, now, events):
        self.pump()
        if any(type(event) is interface.TimerFired for event in events) or self.decided == 1:
            self.refresh(now)
            self.published.tick(now)
            if self.secondaries:
                self.secondaries.tick(now)
            if self.fleet and self.proxies:
                self.proxies.move(now)

    def wake(self, now):
        """It stood still for longer than its answers may be trusted: first the list, then the answers."""
        self.log(
            "stood still",
            seconds=round(now - self.front.fresh_until + self.fresh_for, 3),
            unanswered=self.front.unanswered,
        )
        self.source.fetch(now)

    def refresh(self, now):
        """What was withdrawn must have reached the views before answers go out again after a stall."""
        if self.front.fresh_until >= now or not self.channel.queue:
            self.front.fresh_until, self.waking = now + self.fresh_for, False

    # Orders.

    def offer(self, now, orders, messages, marks):
        causes = self.published.causes
        for order in orders:
            if type(order) is interface.LogMessage:
                told = causes.planner_said(order.text)
                if told:
                    self.propagation.note(now, *told)
            elif type(order) is interface.WithdrawEndpoint:
                self.published.endpoint_withdrawn(order.endpoint, order.withdrawn)
                self.propagation.note(
                    now, order.endpoint, "withdrawn" if order.withdrawn else "let in again"
                )
        for view in sorted(messages):
            for host in taken_away(messages[view]):
                if self.holds(view, host):
                    self.propagation.losing(now, host, view)
            self.channel.offer(
                now, view, messages[view], marks.get(view, ()), causes.of_all(messages[view])
            )

    def send_probe(self, order):
        entry = self.registry.entries[order.endpoint]
        self.prober.probe(
            order.endpoint, (entry.address or entry.address6, self.settings["probes"]["port"])
        )

    def probe_headers(self):
        return [("peatlead-levels", self.levels_text())]

    def set_levels(self, order):
        self.levels.update({at: order.fraction for at in order.request_classes})

    def fetch_list(self, _):
        self.loop.call_soon(lambda: self.source.fetch(self.loop.time()))

    def send_note(self, order):
        if self.fleet:
            self.fleet.tell(order.payload)

    def pump(self):
        """Sends what may leave now, and comes back when more may."""
        now, changed = self.loop.time(), {}
        if self.pump_due is not None:
            self.pump_due.cancel()
            self.pump_due = None
        for number, message in self.channel.due(now, PUMP_MOST):
            for mark in message.marks:
                self.note(interface.Acknowledged(number, mark, now - message.offered))
            self.propagation.left(number)
            view = self.views.by_number.get(number)
            if view is None:
                session = self.proxies and self.proxies.apply(number, message)
                if session:
                    self.tell_feed(
                        now, session.node.name, message, self.proxies.held_lines(session)
                    )
                continue
            self.states[view.index].apply(message.ops)
            self.propagation.applied(now, number)
            tables = self.tables_of(view)
            self.published.record_view(
                f"view:{view.name}", self.items_of_tables(tables), tuple(message.causes)
            )
            changed.update({(view.index, at): table for at, table in enumerate(tables)})
            self.tell_feed(now, view.name, message, [len(table) for table in tables])
        if changed:
            self.show(changed, ())
        if self.channel.next_at is not None:
            self.pump_due = self.loop.call_at(max(now, self.channel.next_at), self.pump)

    def holds(self, number, host):
        """Whether a view or proxy has been told of a host: who has not loses nothing with it."""
        view, session = self.views.by_number.get(number), self.session_of(number)
        state = self.states[view.index] if view else session and session.state
        return bool(state) and any(host in table for table in state.tables.values())

    # What is published, for pins.

    def tables_of(self, view):
        """A view's tables by service: the planner's, through the guard where the view is pinned."""
        zone = self.settings["zone"][view.zone]["name"]
        return [
            self.published.lines(f"view:{view.name}", zone, label, wanted)
            for label, wanted in self.wanted_of(view.number)
        ]

    def items_of_tables(self, tables):
        found = {}
        for service, table in zip(self.settings["service"], tables):
            found.update(self.published.items_of_lines(service["label"], table))
        return found

    def everyone(self):
        """[(number, name, zone)] of all that are published to."""
        zones = self.settings["zone"]
        found = [
            (view.number, f"view:{view.name}", zones[view.zone]["name"])
            for view in self.views.views
        ]
        return found + (self.proxies.everyone() if self.proxies else [])

    def session_of(self, number):
        return self.proxies.by_number.get(number) if self.proxies else None

    def zone_of(self, name):
        return next((zone for _, one, zone in self.everyone() if one == name), "")

    def wanted_of(self, number):
        """[(label, {host: weight})] that the planner wants of a view or proxy now."""
        view = self.views.by_number.get(number)
        if view is None:
            session = self.session_of(number)
            kinds = self.proxies.front.kinds.items() if session else ()
            return [(kind, session.state.lines(at)) for kind, at in kinds]
        state = self.states[view.index]
        return [
            (service["label"], state.lines(kinds[0]))
            for service, kinds in zip(self.settings["service"], self.services)
        ]

    def items_of(self, number):
        """{key: value} of the lines that a view or proxy is to hold now; None where there is nothing to say."""
        view = self.views.by_number.get(number)
        if view is None:
            session = self.session_of(number)
            return session.items("line") if session else None
        return self.items_of_tables(self.tables_of(view))

    def tell_feed(self, now, name, message, held):
        self.control.publish(
            {
                "at": now,
                "steward": self.me["name"],
                "view": name,
                "lines": len(message.ops),
                "offered": message.offered,
                "waiting": self.channel.waiting,
                "most": self.channel.most,
                "held": held,
            }
        )

    def show(self, changed, heard):
        """New tables or rates, as far as they change what answers name."""
        before = {host for seat in changed for host in self.thinning.tables.get(seat, ())}
        for seat, named in self.thinning.decide(changed, self.listed, heard).items():
            self.answers.place(*seat, named, self.thinning.tables[seat])
        for seat in changed:
            if self.thinning.tables[seat] != self.answers.seats[seat[0]][seat[1]].weighed:
                self.answers.place(*seat, self.thinning.named[seat], self.thinning.tables[seat])
        for host in before:
            if not self.thinning.holders[host]:
                self.left_at[host] = self.loop.time()

    # Events.

    def on_listing(self, listing):
        now = self.loop.time()
        roster = self.registry.roster(listing, now)
        for member in roster.endpoints:
            entry = self.registry.entries[member.id]
            self.listed[member.id] = entry.weight
            turned = self.published.endpoint_listed(member.id, entry)
            if turned:
                self.published.causes.phases({member.id: turned}, listing.version)
                self.propagation.note(now, member.id, self.published.causes.news[member.id])
            self.answers.know(member.id, entry.name, entry.address, entry.address6)
            if self.proxies:
                self.proxies.know(member.id, entry)
            if member.phase == "ready":
                self.answers.open_hosts.add(member.id)
            else:
                self.answers.open_hosts.discard(member.id)
        self.log(
            "list",
            scope=listing.scope,
            version=listing.version,
            hosts=len(listing.hosts),
            ready=sum(one.phase == "ready" for one in listing.hosts),
        )
        if listing.scope == "whole" and listing.hosts:
            try:
                self.memory.keep(listing)
            except OSError as problem:
                self.log("list not remembered", why=str(problem))
        self.hear(roster)

    def on_probe(self, host, outcome, took, report, told):
        self.news.take(host, told, report)
        self.news.probed(host, outcome == "ok", took)
        self.hear(interface.HealthCheckResult(host, outcome, took, report))

    def view_of(self, network):
        """The view of a client network as hosts tell it, remembered: hosts tell the same ones each time."""
        if network not in self.networks:
            if len(self.networks) > 100_000:
                self.networks = {}
            try:
                address = ip_address(network)
                self.networks[network] = self.views.of_network(address, address.max_prefixlen).view
            except ValueError:
                self.networks[network] = None
        return self.networks[network]

    def note_rates(self, events):
        """What views bring, by service: answers depend on it (dns/thin.py)."""
        heard = {}
        for event in events:
            if type(event) is interface.RequestStats and event.proxy in self.views.by_number:
                view = self.views.by_number[event.proxy].index
                for at, kinds in enumerate(self.services):
                    if event.request_class in kinds:
                        heard[view, at] = heard.get((view, at), 0.0) + event.requests / event.window
        if heard:
            self.show({}, sorted(heard.items()))

    def levels_text(self):
        return ",".join(f"{self.kinds[at]}={level}" for at, level in sorted(self.levels.items()))

    def proxy_joined(self, number, zone, rate, standing_only):
        self.hear(interface.ProxyConnected(number, zone, rate, standing_only))

    def proxy_left(self, number):
        self.propagation.ended(self.loop.time(), number)
        self.hear(interface.ProxyDisconnected(number))

    def on_note(self, sender, payload):
        self.hear(interface.GossipReceived(sender, payload))

    def count_proxies(self):
        return len(self.proxies.front.sessions) if self.proxies else 0

    # Operators.

    def tell_answer(self, question):
        """What a view would be told now, and why."""
        view = next((v for v in self.views.views if v.name == question.view), None)
        service = self.answers.services.get(
            question.service or self.settings["service"][0]["label"]
        )
        if view is None or service is None:
            return {
                "error": f"expected a view and a service of the settings, got {question.view!r} "
                f"and {question.service!r}"
            }
        seat = self.answers.seats[view.index][service]
        names = self.registry.entries
        lines = [
            {
                "host": names[h].name,
                "address": names[h].address,
                "zone": names[h].zone,
                "weight": w,
                "listed": names[h].weight,
                "named": h in seat.lines,
            }
            for h, w in sorted(seat.weighed.items())
        ]
        return {
            "view": view.name,
            "zone": self.settings["zone"][view.zone]["name"],
            "lifetime": self.answers.lifetime if seat.lasting else 0,
            "lines": lines,
            "fresh": self.front.fresh_until >= self.loop.time(),
        }

    def tell_why(self, question):
        """A host or a proxy: what is known, what befell it lately, and how each loss went out."""
        now, planner = self.loop.time(), self.planner
        index = self.registry.index.get(question.host)
        host = getattr(planner, "hosts", {}).get(index)
        if host is not None:
            held = planner.held.of(index) if hasattr(planner, "held") else ()
            return {
                "host": question.host,
                "steward": self.me["name"],
                **host_told(host, now),
                "holders": len(held),
                **self.propagation.tell(now, index),
            }
        session = self.proxies and self.proxies.front.sessions.get(question.host)
        if session:
            name = self.published.name_of
            return {
                "proxy": question.host,
                "steward": self.me["name"],
                "zone": session.node.zone,
                "joined seconds ago": round(now - session.since, 1),
                "epoch": session.epoch,
                "says it holds": str(session.held),
                "waits for its window": not session.call.idle,
                "losses under way": [
                    name(at) for at in self.propagation.holding.get(session.number, ())
                ],
                "lines": {
                    kind: {
                        name(at): weight
                        for at, weight in sorted(self.proxies.lines_of(session, number).items())
                    }
                    for kind, number in self.proxies.front.kinds.items()
                },
            }
        return {"error": f"expected a host of the list or a joined proxy, got {question.host!r}"}

    def tell_drained(self, question):
        """Whether answers still name a host, and when the last of them runs out at resolvers that keep lifetimes."""
        host = self.registry.index.get(question.host)
        if host is None:
            return {"error": f"expected a host of the list, got {question.host!r}"}
        views = {seat[0] for seat in self.thinning.holders.get(host, ())}
        gone = self.loop.time() - self.left_at[host] if not views and host in self.left_at else None
        return {
            "host": question.host,
            "phase": self.registry.entries[host].phase,
            "named by views": len(views),
            "seconds since the last answer": gone,
            "seconds until no kept answer names it": None
            if views
            else max(0.0, self.answers.lifetime - (gone if gone is not None else 0.0)),
        }

    def tell_fleet(self, question):
        """status, drain or why."""
        ownership, proxies = self.fleet.ownership, self.proxies
        if question.do == "drain":
            ownership.draining = True
            self.log("draining", proxies=self.count_proxies())
        elif question.do == "undrain":
            ownership.draining = False
        elif question.do == "why" and proxies:
            return proxies.tell_why(question.host)
        members = {
            one.about.name: {
                "state": one.about.state,
                "since": self.loop.time() - one.since,
                "proxies": one.about.load,
                "draining": one.about.draining,
                "incarnation": one.about.incarnation,
            }
            for one in self.fleet.members.members.values()
        }
        return {
            "steward": self.me["name"],
            "draining": ownership.draining,
            "members": members,
            "messages": dict(self.fleet.counts),
            **(proxies.status() if proxies else {}),
            "pins": sorted(self.published.pins.standing()),
            "owned": {
                name: [epoch, self.loop.time() - proxies.front.sessions[name].since]
                for name, epoch in sorted(ownership.epochs.items())
                if name in proxies.front.sessions
            },
        }

    def tell_status(self, _):
        return {
            **({"proxies": self.proxies.status()} if self.proxies else {}),
            **(
                {
                    "secondaries": {
                        **self.secondaries.counts,
                        "serial": self.secondaries.history.serial,
                    }
                }
                if self.secondaries
                else {}
            ),
            "steward": self.me["name"],
            "views": len(self.numbers),
            "hosts": len(self.registry.entries),
            "decided": self.decided,
            "slowest_decide": self.slowest,
            "answers": dict(self.answers.counts),
            "unanswered": self.front.unanswered,
            "prepared": self.answers.prepared,
            "channel": {
                "waiting": self.channel.waiting,
                "deepest": self.channel.deepest,
                "most": self.channel.most,
                "past": self.channel.past,
            },
            "burden": self.overload.told(),
            "probes_dropped": self.prober.dropped,
            "levels": self.levels_text(),
            "fresh": self.front.fresh_until >= self.loop.time(),
        }


def read_answer(answer):
    """(outcome, load report or None, what the host told of its reqs or None) of an answer to a probe."""
    outcome = {200: "ok", 503: "denied", 429: "denied"}.get(answer.status, "errored")
    report = read_report(answer.headers.get(HEADER, "")) or None
    return outcome, report, read_told(answer.body) if outcome == "ok" else None


def host_told(host, now):
    """What the planner knows of a host."""
    return {
        "phase": host.phase,
        "usable": host.usable,
        "share": host.share,
        "reach": host.reach,
        "cold for s": None if host.cold_from is None else round(now - host.cold_from, 1),
        "out for s more": None if host.out_until is None else round(host.out_until - now, 1),
        "tries": round(host.tries, 1),
        "bad": round(host.bad, 1),
        "load": round(host.load, 2),
        "probes failed in a row": host.probe_fails,
    }


def service_kinds(settings):
    """For each service the indices of its request kinds."""
    kinds = {kind["name"]: at for at, kind in enumerate(settings["request_kind"])}
    return [[kinds[name] for name in service["kinds"]] for service in settings["service"]]
