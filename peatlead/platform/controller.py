"""The steward on the platform: joins the front, the watch and the probes to the core. Nothing is decided here.

One message a batch and proxy, written at once: the platform's channel paces them, and the planner counts what waits
there. What a proxy shuts out outlives its streams, while an order of ours means the steward that it is joined to: so
each stream keeps which hosts its proxy may still shut out on another's word, and lets them in with the line that
names them.
"""

import asyncio
from random import Random

from .. import interface
from ..controller.batch_loop import BatchLoop
from ..controller.channel import Publisher
from ..controller.endpoint_registry import EndpointRegistry
from ..health.prober import Prober
from ..net.errors import may_pass
from ..planner.planner import Planner
from ..sources.endpoint_list import EndpointList
from .clock import WallClock
from .configuration import ConfigurationError, read_configuration
from .endpoint_watch import EndpointWatch
from .messages import (
    Acknowledgement,
    EndpointOutcomes,
    RequestDemand,
    TableUpdate,
    read_load_report,
    write_push,
)
from .sessions import SessionListener
from .settings_validation import REQUIRED_SETTINGS
from .telemetry import Telemetry

PROBES_AT_ONCE, PROBES_WAITING, PROBE_PATH = 24, 1000, "/status/load"
A_PROBE_OF = 16  # descriptors: where they are few, connections of proxies come first
FIRST_LIST = (
    1.0  # seconds that the first answer to a probe waits for a list, where none with hosts is known
)
SETTLE = 0.4  # seconds that peers have to take what was written before the end: 0.7 s are sure
ANEW_MOST, ANEW_SPAN = 3, 60.0  # planners that may fail within so many seconds
GONE_MOST = 20_000  # names of hosts that went, remembered in case one comes back
SWEEP = 5.0  # seconds between looks for hosts that the planner has forgotten
START_WITHIN = 20.0  # seconds for which a listener that can't be opened is tried again
START_AGAIN, START_AGAIN_MOST = 0.05, 0.5  # seconds to the next try, doubled each time, up to this
RELOAD_AGAIN, RELOAD_AGAIN_MOST = (
    0.2,
    6.4,
)  # the same of a configuration that can't be read at SIGHUP
JOINED_ANEW = "joined anew"  # why a proxy's older stream ends
OUTCOMES = {200: "ok", 503: "errored"}


class PlatformController(BatchLoop):
    """`told`: a configuration; `reread()` gives it anew; `log(event, **fields)`; `wall()` Unix seconds, which only
    hosts' ages go by: all times are the loop's. `await start()` opens sockets (OSError)."""

    def __init__(self, told, reread, log, wall, planner=Planner):
        super().__init__(planner(told.settings, told.seed), log)
        self.told, self.reread, self.facts, self.make_planner = told, reread, told.settings, planner
        self.stopping, self.failures = False, []
        self.clock = WallClock(wall, self.loop.time, log)
        self.reload_again, self.reload_wait = None, RELOAD_AGAIN
        self.kinds = [kind["name"] for kind in self.facts["req_kinds"]]
        self.kind_at = {name: at for at, name in enumerate(self.kinds)}
        self.registry = EndpointRegistry(
            self.facts["zones"],
            log,
            self.facts.get("machines", ()),
            unstarted_old=True,
            age_of=self.clock.age,
        )
        probes = min(PROBES_AT_ONCE, max(1, told.sockets // A_PROBE_OF))
        self.front = SessionListener(self, told.sockets, probes)
        self.watch = EndpointWatch(
            told.discovery, self.on_listing, log, self.clock.now, Random(told.seed ^ 1)
        )
        self.prober = Prober(
            {
                "path": PROBE_PATH,
                "deadline": self.facts.get("connect_timeout", 0.25),
                "at_once": probes,
                "waiting_most": PROBES_WAITING,
            },
            self.on_probe,
            read_answer,
        )
        self.carriers[interface.CheckHealth] = self.send_probe
        self.streams, self.ready = {}, False
        self.telemetry = Telemetry(log)
        self.changed, self.gone = (
            set(),
            {},
        )  # hosts that were ever not as they are; names that were forgotten

    # Its life.

    async def start(self):
        await self.open_front()
        if self.stopping:
            self.front.close()
            return
        if self.told.remembered_list is not None:
            self.on_listing(self.told.remembered_list)
            if any(entry.phase == "ready" for entry in self.told.remembered_list.hosts):
                self.get_ready()
        self.watch.start()
        self.loop.call_later(FIRST_LIST, self.get_ready)
        self.loop.call_later(SWEEP, self.sweep)
        self.log(
            "steward started",
            name=self.told.name,
            listen=f"{self.told.listen[0]}:{self.told.listen[1]}",
            proxies=self.facts["proxies"],
            kinds=self.kinds,
            limits={
                name: self.facts[name]
                for name in REQUIRED_SETTINGS
                if name not in ("zones", "proxies")
            },
        )

    async def open_front(self):
        """A shortage that may pass is no reason to be no steward: tried again until `START_WITHIN`, then OSError."""
        deadline, wait = self.loop.time() + START_WITHIN, START_AGAIN
        while not self.stopping:
            try:
                await self.front.open(self.told.listen)
                return
            except OSError as problem:
                if not may_pass(problem) or self.loop.time() > deadline:
                    raise
                self.log("listener put off", why=problem.strerror, wait=wait)
            await asyncio.sleep(wait)
            wait = min(START_AGAIN_MOST, 2 * wait)

    def stop(self, why="stopped"):
        """What was heard is decided on and written; each stream ends when that has gone, or after `SETTLE`."""
        if self.stopping:
            return
        if why == "stopped" and self.inbox:
            self.step()
        self.stopping, self.why = True, why
        self.watch.stop()
        self.prober.stop()
        self.loop.call_later(SETTLE, self.end)
        self.front.close()

    def emptied(self):
        self.end()

    def end(self):
        if not self.ended.done():
            self.ended.set_result(self.why)
            self.front.cut()
            self.log(
                "steward stopped",
                why=self.why,
                decided=self.decided,
                slowest=round(self.slowest, 3),
                ends=self.front.counts,
            )

    def hear(self, event):
        if not self.stopping:
            super().hear(event)

    def step(self):
        if not self.stopping:
            super().step()

    def failed(self, problem):
        """A decide raised. What it had half decided is left, and a new planner begins from the list and the streams
        as a restarted steward would, without their ends; one that goes on failing is a steward's end."""
        now = self.loop.time()
        self.failures = [at for at in self.failures if at > now - ANEW_SPAN] + [now]
        if len(self.failures) > ANEW_MOST:
            self.stop(f"decide failed: {problem!r}")
            return
        self.planner = self.make_planner(self.facts, self.told.seed + len(self.failures))
        self.publisher = Publisher()
        self.hear(
            self.registry.roster(
                EndpointList("remembered", 0, 0.0, tuple(self.registry.entries.values())), now
            )
        )
        for proxy, session in self.streams.items():
            self.publisher.join(proxy, levelled=True)
            self.hear(interface.ProxyConnected(proxy, session.zone, session.rate, False))

    def get_ready(self):
        if not self.ready:
            self.ready = True
            self.front.alive()

    def reload(self):
        """SIGHUP: discovery may have moved. All else that differs needs a start; what stands goes on."""
        if self.reload_again is not None:
            self.reload_again.cancel()
        self.reload_wait = RELOAD_AGAIN
        self.read_again()

    def read_again(self):
        """A file that can't be read now, or is half written, is tried again for a while: a move of discovery that is
        missed once is missed for good. One line tells of the first failure."""
        self.reload_again = None
        if self.stopping:
            return
        try:
            told = self.reread()
        except ConfigurationError as problem:
            if self.reload_wait == RELOAD_AGAIN:
                self.log("new configuration not taken", why=str(problem))
            if self.reload_wait <= RELOAD_AGAIN_MOST:
                self.reload_again = self.loop.call_later(self.reload_wait, self.read_again)
                self.reload_wait *= 2
            return
        others = [
            name
            for name in ("name", "listen", "sockets")
            if getattr(told, name) != getattr(self.told, name)
        ]
        others += sorted(
            name
            for name in {**told.settings, **self.facts}
            if told.settings.get(name) != self.facts.get(name)
        )
        if others:
            self.log(
                "new configuration: all but discovery's address is for the next start",
                differs=others[:20],
            )
        self.log("discovery's address", place=f"{told.discovery[0]}:{told.discovery[1]}")
        self.watch.move(told.discovery)

    # The list.

    def on_listing(self, listing):
        now, listing = self.loop.time(), self.readable(listing)
        before = {entry.name: self.phase_of(entry.name) for entry in listing.hosts}
        first, roster = not self.registry.listed, self.registry.roster(listing, now)
        if listing.scope != "changes":
            listed = {member.id for member in roster.endpoints}
            self.changed.update(at for at in self.registry.entries if at not in listed)
        for entry in listing.hosts:
            at, old = self.registry.index.get(entry.name), before[entry.name]
            # Nobody shuts out what is listed for the first time; news of a host may sum up several.
            again = first or old is not None or entry.name in self.gone
            if (
                at is not None
                and again
                and (
                    entry.started
                    or listing.scope == "changes"
                    or {old, entry.phase} - {None, "ready"}
                )
            ):
                self.changed.add(at)
        self.log(
            "list",
            scope=listing.scope,
            version=listing.version,
            hosts=len(listing.hosts),
            ready=sum(one.phase == "ready" for one in listing.hosts),
        )
        self.hear(roster)
        if listing.scope != "remembered":
            self.get_ready()

    def readable(self, listing):
        """A whole list takes out what it doesn't name: a host whose entry can't be used stays as it was known, and
        where not even its name can be read nothing is taken out."""
        strange = [entry for entry in listing.hosts if entry.zone not in self.registry.zones]
        unread = [*listing.unread, *(entry.name for entry in strange)]
        if listing.scope != "whole" or not unread:
            return listing
        kept = [
            self.registry.entries[self.registry.index[name]]
            for name in unread
            if name in self.registry.index
        ]
        return listing._replace(
            scope="changes" if None in unread else "whole",
            hosts=(
                *kept,
                *(entry for entry in listing.hosts if entry.name not in {one.name for one in kept}),
            ),
        )

    def phase_of(self, name):
        at = self.registry.index.get(name)
        return None if at is None else self.registry.entries[at].phase

    def sweep(self):
        """The planner has forgotten hosts that went; so do we, or names of successors would add up."""
        self.loop.call_later(SWEEP, self.sweep)
        for at in [
            at for at in self.registry.entries if at not in self.planner.hosts and not self.inbox
        ]:
            self.gone.pop(name := self.registry.entries[at].name, None)
            self.gone[name] = True
            self.registry.forget(at)
            self.publisher.forget(at)
            self.changed.discard(at)
            for session in self.streams.values():
                session.opened.discard(at)
        while len(self.gone) > GONE_MOST:
            del self.gone[next(iter(self.gone))]

    # Probes.

    def send_probe(self, order):
        entry = self.registry.entries[order.endpoint]
        self.prober.probe(order.endpoint, (entry.address, entry.port))

    def on_probe(self, host, outcome, took, report, _):
        self.hear(interface.HealthCheckResult(host, outcome, took, report))

    # What the front asks and tells.

    def accept(self, session, here):
        same = session.proxy is None or session.proxy == here.proxy
        if not same or here.proxy >= self.facts["proxies"] or here.zone not in self.registry.zones:
            return None
        session.zone, session.rate, session.standing_only = (
            self.registry.zones[here.zone],
            here.request_rate,
            here.bootstrap_only,
        )
        return here.proxy

    def collects(self, here):
        return here.zone in self.registry.zones

    def joined(self, session):
        """A new stream may come before the old one is seen to end."""
        old = self.streams.get(session.proxy)
        if old is not None:
            self.left(old, JOINED_ANEW)
            old.cut(JOINED_ANEW)
        self.streams[session.proxy] = session
        session.opened = set()  # hosts that it was told of on this stream and shuts out no longer
        self.publisher.join(session.proxy, levelled=True)
        self.telemetry.proxy_joined(session.proxy, not session.standing_only)
        self.hear(
            interface.ProxyConnected(
                session.proxy, session.zone, session.rate, session.standing_only
            )
        )

    def left(self, session, reason):
        if self.streams.get(session.proxy) is session:
            del self.streams[session.proxy]
            self.telemetry.proxy_left(session.proxy, reason)
            self.publisher.leave(session.proxy)
            self.hear(interface.ProxyDisconnected(session.proxy))

    def said(self, session, message):
        """A report or a mark's answer; one that names what is not there is passed over."""
        event = READ[type(message)](self, session, message)
        if event is None:
            self.front.count("names nothing")
        elif type(event) is interface.Acknowledged:
            self.note(
                event
            )  # one for each message that was written: a batch for each would be most of the work
        else:
            self.hear(event)

    def host_sums(self, _, met):
        host, zone = self.registry.index.get(met.endpoint), self.registry.zones.get(met.zone)
        if host is not None and zone is not None:
            return interface.EndpointStats(
                host,
                zone,
                int(met.attempts),
                int(met.errors),
                met.window,
                met.mean_latency,
                met.load_report,
            )

    def req_sums(self, session, met):
        """Any collector may tell of any proxy, a proxy of itself."""
        kind = self.kind_at.get(met.request_class)
        if (
            kind is not None
            and met.proxy < self.facts["proxies"]
            and session.proxy in (None, met.proxy)
        ):
            return interface.RequestStats(
                met.proxy, kind, int(met.requests), int(met.unanswered), met.window
            )

    def applied(self, session, met):
        if met.proxy == session.proxy:
            self.telemetry.acknowledged(met.duration)
            return interface.Acknowledged(met.proxy, met.nonce, met.duration)

    # Orders.

    def offer(self, now, orders, messages, marks):
        for proxy, ops in messages.items():
            session = self.streams.get(proxy)
            if session is None:
                continue
            try:
                shut, opened = self.turned(session, ops)
                mark = marks[proxy][-1] if proxy in marks else None
                data = write_push(self.tables(proxy, ops), shut, opened, mark)
            except (
                Exception
            ) as problem:  # it would miss what the planner takes it to hold: it comes anew for all
                self.log("message not written", proxy=proxy, error=repr(problem))
                session.cut("message not written")
                continue
            if data:
                session.send(data)
                self.telemetry.message_written(proxy, ops)

    def after(self, now, events):
        self.telemetry.end_batch(now, self.planner)

    def turned(self, session, ops):
        """Names of hosts that the proxy must shut out from now on, and of those that it must let in: a line that
        names one it may still shut out would bring nothing."""
        shut, opened = [], []
        for op, value in ops.items():
            host = op[1] if op[0] == "withdrawn" else op[2] if op[0] == "line" and value else None
            if op[0] == "withdrawn" and value:
                shut.append(self.registry.entries[host].name)
                session.opened.discard(host)
            elif host is not None and host not in session.opened:
                if op[0] == "withdrawn" or host in self.changed:
                    opened.append(self.registry.entries[host].name)
                session.opened.add(host)
        return shut, opened

    def tables(self, proxy, ops):
        """[TableUpdate] of a message's lines and levels. Lines of tables that it is bound to now are whole; the levels that
        a whole table makes it forget go with it."""
        bound, levels = (
            self.publisher.bound.get(proxy, {}),
            {op[1]: v for op, v in ops.items() if op[0] == "level"},
        )
        whole = {table for op, table in ops.items() if op[0] == "bind"}
        levels.update(
            (kind, self.publisher.levels[kind])
            for kind, table in bound.items()
            if table in whole and kind in self.publisher.levels
        )
        lines, users, alike = {table: [] for table in sorted(whole)}, {}, {}
        for op, value in ops.items():
            if op[0] == "line" and (value or op[1] not in whole):
                lines.setdefault(op[1], []).append((self.registry.entries[op[2]].name, value))
        for kind, table in sorted(bound.items()):
            users.setdefault(table, []).append(kind)
        for kind, level in sorted(levels.items()):
            alike.setdefault(level, []).append(kind)
        return [
            TableUpdate(self.names_of(users[table]), table in whole, found, None)
            for table, found in lines.items()
            if table in users
        ] + [TableUpdate(self.names_of(kinds), False, [], level) for level, kinds in alike.items()]

    def names_of(self, kinds):
        """None, for all of them, is shorter."""
        return None if len(kinds) == len(self.kinds) else tuple(self.kinds[at] for at in kinds)


READ = {
    EndpointOutcomes: PlatformController.host_sums,
    RequestDemand: PlatformController.req_sums,
    Acknowledgement: PlatformController.applied,
}


def read_answer(answer):
    """(outcome, load report or None, None) of an answer to a probe."""
    return OUTCOMES.get(answer.status, "errored"), read_load_report(answer.body), None


def reader(environ, wall):
    return lambda: read_configuration(environ, wall())
