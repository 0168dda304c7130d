"""All decisions of one steward.

    planner = Planner(settings, seed)
    orders = planner.decide(now, events)

`settings` is a plain map of names to values, `now` float seconds; events and orders: peatlead/interface.py.
The ordinary path is the design's: each proxy's table is its hashed, zone-spread shard (docs/design.md).

Beside the design stand these mechanisms:
 1. channel   what waits (by pace, by answered marks) and what each was written is counted; some can wait
 2. zones     shard sizes fill all zones alike with least crossing; a zone behind a bad way is left
 3. cold      a started host's planned load stays under a part of what pushes it over
 4. admission no try that could take effect twice; less of what earns least when the fleet has no room
 5. doubt     sums and probes convict a host only against its peers: dropped if it fails, relieved if slow;
              what the other stewards' proxies met at a failing host counts like what its own met
 6. restart   after a start, tables that proxies bring stand until a few rounds of sums were heard
"""

from collections import deque
from math import (
    ceil,
    fsum,
    log,
)  # a plain sum of floats differs by Python's version: stewards must not
from random import Random

from .. import interface
from .channel_backlog import ChannelBacklog
from .rendezvous import (
    DeadlineQueue,
    RendezvousPool,
    SubscriberIndex,
    by_name,
    host_word,
    mass,
    middle,
    middles,
    proxy_key,
    rank,
)

COVERAGE, LEAST_A_ZONE = (
    25.0,
    1,
)  # shards of this steward's proxies that each host should sit in; hosts
FIRST_SHARE, STEP, GROW_WAIT = (
    0.25,
    0.25,
    10 / 3,
)  # of the weight, at a start; each step, and its seconds
STRAIN_GAP, FIRST_REGAIN = (
    5.0,
    10.0,
)  # until relief is heard; a slow host's first wait, doubled each time
NOTE_HOSTS, NOTE_BYTES = (
    20,
    250,
)  # failing hosts that a round tells the other stewards of; of one note
QUIET_WAIT, LONGEST_WAIT = (
    10.0,
    60.0,
)  # a dropped member's first wait, doubled each time that it fails again
FAR_MUCH, HOME_WORTH = (
    0.3,
    0.02,
)  # of the target, later than at home; of gain, a crossing worth a plan
PLAN_EVERY, PLAN_SLACK = (
    2.0,
    0.15,
)  # seconds; the part of a zone's plan that must change to move a size
STAGES, STAGE_GAP = (
    10,
    0.2,
)  # deltas reach this fraction of the proxies at a time; mean seconds between
REMOVE_MOST = 0.75  # of the queue: past it removals wait for the next batches
YIELD = 1 / 3  # of the drain grace, for which removals wait while tables with earlier deadlines do
BROUGHT_DEPTH = 1.25  # of a shard, the first of a proxy's order that a table it brought may name
AT_ONCE, SOON, MORE = (
    100,
    0.01,
    1,
)  # tables in a batch, or removals would wait; until the next; its timer
SLOWEST = 16  # times slower than told that a channel may be
RESTATE_FEW, RESTATE_MOST = (
    0.02,
    0.5,
)  # of the queue, withdrawals for waiting proxies: told always; in all
TICK, ROUND_WAIT, FADE = (
    0.1,
    0.2,
    0.25,
)  # seconds; until a round's sums are in; what is left of older ones
PROBE_EVERY, PROBE_AGAIN, PROBES_MOST = (
    1.0,
    0.3,
    300,
)  # seconds; after a failure; a second, else less often
ROUNDS_HEARD, SUMS_LATE = (
    3,
    1.0,
)  # until a steward that starts acts; seconds that sums are late, about
BAD_MUCH, LATE_MUCH, ROOMY = (
    0.1,
    0.42,
    0.7,
)  # of the middle try's host, failing; of the target; its cores
FULL, SPREAD_FULL, MOST_CUT = (
    0.85,
    0.75,
    0.85,
)  # of the cores; in shards, uneven; what a cut leaves at least
EDGE, REGAIN_PAST = 0.85, 0.02  # of the level where a storm began, surely carried; past it, a round
LEAST_LET_IN, LEAST_OF_ONE = 0.3, 0.05  # of all kinds, of one
COLD_PART, COLD_SHUN, COLD_MOST, WARM_MOST = (
    0.3,
    0.2,
    0.2,
    24,
)  # of what tips, if shunned; a table; join it
COLD_STEPS = (0.06, 0.12, 0.18, 0.25, 0.37, 0.5, 0.75, 1.0)


def enough(hosts, weight):
    """The first of them that bring so much, one at least."""
    return [
        h
        for n, h in enumerate(hosts)
        if not n or fsum(o.weight * o.share for o in hosts[:n]) < weight
    ]


class Host:
    """All that is known of one host."""

    def __init__(self, member, now, proved):
        self.id, self.name, self.proved = member.id, member.name, proved
        self.zone, self.machine, self.word = (
            member.zone,
            member.machine_type,
            host_word(member.name),
        )
        self.told_shut = {}  # proxies that were told it is withdrawn: those that must be told it no longer is
        self.lost_at = now  # when it last stopped being usable
        self.moved, self.withdrawn_at = (
            0,
            now,
        )  # the planner's count when what tables go by last changed
        self.phase, self.started_at = "gone", None  # so that one listed ready counts as starting
        self.cold_from = None  # when its current cold start began, as far as is known
        self.step, self.share, self.grow_at = (
            1.0,
            1.0,
            0.0,
        )  # part of its weight by the ramp, as published
        self.reach, self.spared = (
            1.0,
            frozenset(),
        )  # part of the reqs that may come; proxies that do without
        self.regain_at, self.regain_wait, self.strained_at, self.returned_at = (
            0.0,
            FIRST_REGAIN,
            -1e9,
            -1e9,
        )
        self.withdrawn, self.strikes, self.out_until, self.out_by_probe = False, 0, None, False
        self.shut_once = False  # proxies may still shut it out on an earlier word
        self.probe_at, self.probe_fails, self.probe_passes, self.probes_bad = 0.0, 0, 0, 0.0
        self.clear_evidence(now)

    def clear_evidence(self, now):
        self.sums = {}  # by zone of the proxies: when heard, and fading: tries, bad ones, seconds of the good
        self.told = {}  # by other steward: when heard, its tries, bad ones, seconds of the good
        self.tries = self.bad = self.answer_time = (
            0.0  # of all zones but those with a bad way to it
        )
        self.own_tries = 0.0  # without what others told
        self.load = 0.0  # fading load report: part of its cores in use, or 1 with reqs waiting
        self.good_at = now

    def take_report(self, report):
        if report:
            self.load += (min(1.0, report.get("util", report.get("waiting", 0.0))) - self.load) / 2

    @property
    def mean_time(self):
        return self.answer_time / max(0.5, self.tries - self.bad)

    @property
    def usable(self):
        return self.phase == "ready" and self.out_until is None and self.proved


class Proxy:
    """One joined proxy, the tables that it was put on, and what it was sent lately."""

    def __init__(self, number, groups, first_table):
        self.number, self.key, self.first_table = number, proxy_key(number), first_table
        self.lines = [{} for _ in range(groups)]  # by group: host id -> weight as published
        self.bound, self.wide, self.sent = (
            False,
            False,
            deque(),
        )  # wide: goes by all hosts that there are
        self.heard = {}  # reqs a second by kind, as the sums tell
        self.around, self.drawn, self.wrote, self.tops = (
            {},
            -1,
            -1,
            {},
        )  # what its tables went by, and when


class Planner:
    def __init__(self, settings, seed):
        self.settings = settings
        self.draw, self.shuffle = (rng := Random(seed)).uniform, rng.shuffle
        self.hosts, self.proxies, self.orders, self.group_open = {}, {}, [], self.group_kinds()
        self.here, self.unbound = {}, {}  # joined proxies; those that are on no tables yet
        self.joined = self.here.values()
        self.pools, self.old_pools, self.warm = {}, {}, {}  # by group: open; by the last list; warm
        self.held, self.moves, self.drawn = (
            SubscriberIndex(),
            0,
            0,
        )  # counts of what changed: of one host; of all
        self.due, self.restless, self.probe_every = (
            DeadlineQueue(),
            {},
            PROBE_EVERY,
        )  # by next probe; that time changes
        self.holders = max(1.0, settings.get("proxies", 1) / max(1, settings.get("stewards", 1)))
        self.full = SPREAD_FULL if self.holders > COVERAGE else FULL
        self.watch_at = 0.0 if settings.get("roster_mode") == "on_request" else float("inf")
        self.stage_at = self.restate_at = self.rounds = self.withdrawals = 0
        self.starved, self.table_cost = False, COVERAGE  # tables wait for room; lines of one
        self.newly_withdrawn, self.earlier = [], {}  # hosts; by group: pools before the last lists
        pace, most = settings.get("channel_rate", 1.0), settings.get("queue_most", 0.0)
        self.waiting = ChannelBacklog(settings.get("message_head", 0.0), SLOWEST * most / pace)
        self.round_at, self.dirty, self.reqs = (
            float("inf"),
            set(),
            [1.0] * len(settings["req_kinds"]),
        )
        self.room, self.edge, self.strain_heard, self.level_at, self.levels = (
            1.0,
            1.0,
            0.0,
            0.0,
            None,
        )
        self.cutting = self.stormy = self.tight = self.sunk = self.lost = self.listed = (
            self.spoiled
        ) = False
        self.plan, self.plan_at, self.spread, self.met = {}, 0.0, 1.0, (0.0, 0.0, 0.0, 0)
        self.cycle, self.news_at = (
            settings.get("sums_every", 1.0),
            0.0,
        )  # seconds between sums of one, about
        self.ways, self.far = (
            {},
            set(),
        )  # (zone of proxies, of hosts): until when bad and the wait; those now
        self.handlers = {
            interface.EndpointUpdate: self.on_roster,
            interface.ProxyConnected: self.on_joined,
            interface.ProxyDisconnected: self.on_left,
            interface.EndpointStats: self.on_host_sums,
            interface.HealthCheckResult: self.on_probe,
            interface.TimerFired: self.on_timer,
            interface.RequestStats: self.on_req_sums,
            interface.GossipReceived: self.on_peer_note,
            interface.Acknowledged: lambda event: self.waiting.answered(event.proxy, event.nonce),
        }

    def decide(self, now, events):
        self.now, self.orders = now, []
        self.waiting.advance(now)
        if self.levels is None:
            self.orders.append(interface.SetTimer(0, TICK))
            self.order_levels()
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        if self.now >= self.plan_at and self.hosts and self.joined:
            self.keep_plan()
        self.bind_waiting()
        self.tell_withdrawals()
        self.remove_lost()
        self.publish_stage()
        if mark := self.waiting.end_batch():
            self.orders.append(interface.RequestAcknowledgement(mark, False))
        self.warm = {}
        return self.orders

    def status(self, now):
        """What logs and metrics tell of the channel and of the proxies that wait for tables."""
        batches = self.waiting.batches
        return interface.PlannerStatus(
            queued_entries=self.waiting.lines,
            oldest_unacknowledged=now - batches[0].written_at if batches else 0.0,
            connected_proxies=len(self.here),
            unassigned_proxies=len(self.unbound),
            longest_wait=now
            - min((proxy.joined_at for proxy in self.unbound.values()), default=now),
            withdrawn_endpoints=sum(host.withdrawn for host in self.hosts.values()),
        )

    def group_kinds(self):
        """Kinds that are open to the same hosts share a table."""
        groups = {}
        for at, kind in enumerate(self.settings["req_kinds"]):
            places = (
                tuple(kind.get("only_zones", ())),
                tuple(kind.get("only_machines", ())),
                kind["own_zone"],
            )
            groups.setdefault(places, []).append(at)
        return list(groups.items())

    def is_open(self, group, host):
        """Whether the group's reqs may go to a host of that zone and machine."""
        zones, machines, _ = self.group_open[group][0]
        return (not zones or host.zone in zones) and (not machines or host.machine in machines)

    def open_hosts(self, group, zone):
        """By zone, as ranks, the hosts listed ready that the group's reqs may go to from that zone."""
        own_zone = self.group_open[group][0][2]
        if group not in self.pools:
            found = {}
            for host in self.hosts.values():
                if host.phase == "ready" and self.is_open(group, host):
                    found.setdefault(host.zone, []).append(host)
            old, named = (
                self.old_pools.get(group, {}),
                {z: by_name(found[z]) for z in sorted(found)},
            )
            # One that is the same as by the last list stays, and what was found in it.
            self.pools[group] = {
                z: old[z] if z in old and old[z].hosts == hosts else RendezvousPool(hosts)
                for z, hosts in named.items()
            }
        found = {z: pool for z, pool in self.pools[group].items() if not own_zone or z == zone}
        return {z: pool for z, pool in found.items() if (zone, z) not in self.far} or found

    def plan_zones(self):
        """By group and zone of proxies, their reqs' parts by zone: all hosts alike full, none crosses that
        need not. Other stewards' proxies are taken to be like its own, spread as hosts are."""
        work, brought, plan, rooms = self.work_of_kinds(), {}, {}, []
        for proxy in self.joined:
            brought[proxy.zone] = brought.get(proxy.zone, 0.0) + max(0.1, proxy.rate)
        mine, hosts = len(self.joined), [h for h in self.hosts.values() if h.usable]
        unseen = [
            h.zone for h in hosts if h.zone not in brought and self.settings.get("joins_own_zone")
        ]
        each = (
            fsum(brought.values())
            / mine
            * max(0, self.settings["proxies"] - mine)
            / max(1, len(unseen))
        )
        for zone in unseen:
            brought[zone] = brought.get(zone, 0.0) + each
        part = fsum(brought.values()) / max(1e-9, fsum(h.weight * h.share for h in hosts))
        left = {host.zone: 0.0 for host in self.hosts.values()}  # of what each zone should take
        for host in hosts:
            left[host.zone] += host.weight * host.share * part
        for group, ((_, _, own_zone), kinds) in enumerate(self.group_open):
            room = {
                zone: fsum(h.weight * h.share for h in members if h.usable)
                for zone, members in self.open_hosts(group, None).items()
            }
            if fsum(room.values()) and not own_zone:
                rooms.append(
                    (fsum(room.values()), group, room, fsum(work[k] for k in kinds) / fsum(work))
                )
        for _, group, room, part in sorted(rooms, key=lambda r: r[:2]):
            home = {z: max(0.0, min(brought.get(z, 0.0) * part, left[z])) for z in room}
            spare = {z: max(1e-6 * room[z], left[z] - home[z]) for z in room}
            away = (fsum(brought.values()) * part - fsum(home.values())) / fsum(spare.values())
            for zone in room:
                left[zone] -= home[zone] + spare[zone] * away
            for zone, rate in brought.items():
                stays = home.get(zone, 0.0) / max(1e-9, rate * part)
                plan[group, zone] = {
                    z: ((1 - stays) * spare[z] / fsum(spare.values()) + stays * (z == zone))
                    / max(1e-9, room[z])
                    for z in room
                }
        return plan

    def keep_plan(self):
        """Where few holders would load a part of a zone unevenly, zones stay whole; sizes ignore wavering."""
        self.plan_at = self.now + PLAN_EVERY
        if (
            len(self.group_open) < 2
            and self.settings.get("pick") != "lighter of two"
            and (
                self.holders < COVERAGE or self.settings.get("price_of_crossing", 0.0) < HOME_WORTH
            )
        ):
            return
        new = self.plan_zones()
        if new.keys() != self.plan.keys() or any(
            abs(part - self.plan[at].get(zone, 0.0)) > PLAN_SLACK * max(parts.values())
            for at, parts in new.items()
            for zone, part in parts.items()
        ):
            self.plan = new
            self.all_dirty()

    def shard(self, proxy, group):
        """A rank has no memory: every steward gives a proxy the same shard, a new list moves few lines."""
        zones = self.open_hosts(group, proxy.zone)
        parts = self.plan.get((group, proxy.zone), {})
        asked = {
            z: parts.get(z, 0.0 if parts else 1.0) * len(members) for z, members in zones.items()
        }
        most = {z: ceil(COVERAGE * len(members) / self.holders) for z, members in zones.items()}
        total, shard = max(1e-9, fsum(asked.values())), {}
        size = min(
            fsum(most.values()), total / max([1e-9, *(asked[z] / len(zones[z]) for z in zones)])
        )
        even = (
            self.settings.get("pick") == "lighter of two"
        )  # such proxies need no large part of home
        for zone, members in zones.items():
            here = min(round(size * asked[zone] / total), most[zone] if even else len(members))
            many, (pool, known) = max(LEAST_A_ZONE, here), proxy.tops.get((group, zone), (None, ()))
            if pool is not members or len(known) < min(many, len(members)):
                known = members.top(proxy.key, many)
                proxy.tops[group, zone] = members, known
            shard[zone] = known[:many]
        return shard, zones

    def table(self, proxy, group):
        """host id -> weight, as the proxy's table should stand now."""
        shard, zones = self.shard(proxy, group)
        around = [h for chosen in shard.values() for h in chosen]
        proxy.around.update((h.id, h) for h in around)
        members = [h for h in around if h.usable]
        eased = [h for h in members if proxy.number not in h.spared]
        members = eased if len(eased) * 2 >= len(members) else members
        if self.chilly(members):
            there, proxy.wide, many = {h.id for h in members}, True, max(WARM_MOST, len(members))
            # Up to the weight of a table without cold ones: more would starve them while the others drown.
            lacks = max(fsum(h.weight for h in around), mass(members)[0] / COLD_MOST) - fsum(
                mass(members)
            )
            warm = {
                z: enough(
                    [h for h in pool.top(proxy.key, 2 * many) if h.id not in there][:many], lacks
                )
                for z, pool in self.warm_hosts(group).items()
            }
            members = members + (
                warm.get(proxy.zone) or [h for hosts in warm.values() for h in hosts]
            )
        # No doubt may leave a proxy without a line while the list shows hosts that run.
        if not members:
            members, proxy.wide = [h for hosts in zones.values() for h in hosts], True
        return {h.id: h.weight * h.share for h in members if h.share} or {
            h.id: h.weight for h in members
        }

    def warm_hosts(self, group):
        """By zone, behind a bad way too; counted once a batch."""
        if group not in self.warm:
            self.warm[group] = {
                zone: RendezvousPool([h for h in pool if h.usable and h.cold_from is None])
                for zone, pool in self.open_hosts(group, None).items()
            }
        return self.warm[group]

    def chilly(self, members):
        """Cold hosts with much of a table, however small their weights, would get much that the proxy has."""
        cold, warm = mass(members)
        return COLD_MOST * (cold + warm) <= cold

    def write_table(self, proxy):
        self.dirty.discard(proxy.number)
        if (
            proxy.drawn == self.drawn
            and not proxy.wide
            and all(host.moved <= proxy.wrote for host in proxy.around.values())
        ):
            return  # nothing that it goes by has changed since
        proxy.around, proxy.drawn, proxy.wrote, proxy.wide = {}, self.drawn, self.moves, False
        for group in range(len(self.group_open)):
            goal, lines = self.table(proxy, group), proxy.lines[group]
            for host in sorted(lines.keys() | goal.keys()):
                if goal.get(host) != lines.get(host):
                    self.set_line(proxy, group, host, goal.get(host, 0.0))

    def set_line(self, proxy, group, host, weight):
        if old := proxy.lines[group].pop(host, None):
            self.held.take(host, proxy.number)
        if weight:
            proxy.lines[group][host] = weight
            self.held.put(host, proxy.number)
        self.orders.append(interface.SetEntry(proxy.first_table + group, host, weight))
        if proxy.bound:  # what it may shut out is let in with its first line
            self.book(proxy, 1 + (self.hosts[host].shut_once and weight > 0 and not old))

    def bind_waiting(self):
        """Whole tables of all proxies at once would pass what may wait in the channel. First come those whose
        standing tables, drawn in their zone, may lack a line for some kind."""
        unbound = list(self.unbound.values())
        due = [p for p in unbound if self.hosts and not self.is_held(p)]
        covered = {
            zone: all(zone in self.open_hosts(g, zone) for g in range(len(self.group_open)))
            for zone in {p.zone: 0 for p in due}
        }
        self.starved = False
        for proxy in sorted(due, key=lambda p: covered[p.zone])[:AT_ONCE]:
            if not self.has_room():
                self.starved = True
                break
            before = self.waiting.lines
            self.write_table(proxy)
            proxy.bound = True
            del self.unbound[proxy.number]
            for group, (_, kinds) in enumerate(self.group_open):
                self.orders.append(
                    interface.AssignTable(proxy.number, proxy.first_table + group, tuple(kinds))
                )
                self.book(
                    proxy,
                    1
                    + len(proxy.lines[group])
                    + len(self.settings["req_kinds"])
                    + sum(self.hosts[h].shut_once for h in proxy.lines[group]),
                )
            self.table_cost += (self.waiting.lines - before - self.table_cost) / 8
        if len(due) > AT_ONCE and self.has_room():
            self.orders.append(interface.SetTimer(MORE, SOON))

    def is_held(self, proxy):
        """What it brought stands for a while after a start."""
        return self.now < proxy.hold_until and self.rounds < ROUNDS_HEARD

    def tables_fit(self):
        """Whether, at the told pace, all that wait have their tables before the first of them must."""
        waited = self.now - min(proxy.joined_at for proxy in self.unbound.values())
        left = self.settings["drain_grace"] - self.settings["push_delay_most"] - waited
        return (
            self.waiting.lines + len(self.unbound) * self.table_cost
            < left * self.settings["channel_rate"]
        )

    def tell_withdrawals(self):
        """Each withdrawal once. Proxies that wait for their tables are told of those hosts that the tables
        which they brought may name: a line each, where a whole table takes a dozen and may wait for room."""
        told, self.newly_withdrawn = {host: [] for host in self.newly_withdrawn}, []
        if told or self.now >= self.restate_at:
            untold = [p for p in self.unbound.values() if p.told_of < self.withdrawals]
            if untold and self.tables_fit():  # a table is due soon, but for those whose own stands
                untold = [p for p in untold if self.is_held(p)]
            self.restate_at = self.now + self.settings["drain_grace"] / 4 if untold else 0.0
            spent = 0.0
            for proxy in untold:
                hosts = self.likely_brought(proxy) - proxy.told
                spent += len(hosts) + self.settings["message_head"] + 1
                if not self.fits(spent, len(hosts) + self.settings["message_head"] + 1):
                    break  # their tables come first
                proxy.told_of = self.withdrawals
                proxy.told |= hosts
                if hosts:
                    self.book(proxy, len(hosts))
                for host in sorted(hosts):
                    self.hosts[host].told_shut[proxy.number] = True
                    told.setdefault(host, []).append(proxy.number)
        self.orders += [
            interface.WithdrawEndpoint(host, True, tuple(waiting)) for host, waiting in told.items()
        ]

    def likely_brought(self, proxy):
        """Ids of withdrawn hosts that the table which a waiting proxy brought may name. Every steward ranks
        hosts alike: it was drawn from the first of the proxy's order among those that were open then."""
        found = {host for lines in proxy.lines for host in lines if self.hosts[host].withdrawn}
        for group in range(len(self.group_open)):
            shard, zones = self.shard(proxy, group)
            for zone, pool in self.earlier_pools(group, proxy.zone).items():
                now_open, chosen = len(zones.get(zone, ())), len(shard.get(zone, ()))
                many = ceil(
                    BROUGHT_DEPTH * max(LEAST_A_ZONE, chosen * len(pool) / max(1, now_open))
                )
                found.update(host.id for host in pool.top(proxy.key, many) if host.withdrawn)
        return found

    def earlier_pools(self, group, zone):
        """By zone, as ranks, the hosts that the group's reqs may have gone to before the last lists."""
        own_zone = self.group_open[group][0][2]
        if group not in self.earlier:
            found = {}
            for host in self.hosts.values():
                settled = host.withdrawn or host.phase == "ready" and host.cold_from is None
                if settled and self.is_open(group, host):
                    found.setdefault(host.zone, []).append(host)
            self.earlier[group] = {at: RendezvousPool(hosts) for at, hosts in sorted(found.items())}
        return {at: pool for at, pool in self.earlier[group].items() if not own_zone or at == zone}

    def fits(self, in_all, lines):
        """Of withdrawals for waiting proxies a few do always; so many that they would fill the queue would
        only hold up the tables that those wait for. `in_all`: lines of this batch with the next `lines`."""
        most = self.settings["queue_most"]
        return in_all < RESTATE_FEW * most or self.waiting.lines + lines < RESTATE_MOST * most

    def remove_lost(self):
        """Hosts that drain, went or were dropped leave every table at once: their reqs are lost reqs."""
        if not self.lost:
            return
        # Those that wait for tables came before the news that made the newest removals due.
        before = self.now - self.starved * YIELD * self.settings["drain_grace"]
        lost = {h.id for h in self.hosts.values() if not h.usable}
        due = {host for host in lost if self.hosts[host].lost_at <= before}
        self.lost = len(due) < len(lost)
        holding = self.held.of_all(sorted(due))
        holding = [p for n in holding if (p := self.here.get(n)) and p.bound]
        for proxy in sorted(holding, key=lambda p: p.first_table):
            if not self.has_room(REMOVE_MOST):
                self.lost = True  # the rest with the next batches
                break
            for group, lines in enumerate(proxy.lines):
                gone = [h for h in lines if h in due]
                for host in gone:
                    self.set_line(proxy, group, host, 0.0)
                    proxy.drawn = -1
                if gone and (
                    not lines or self.has_room() and self.chilly([self.hosts[h] for h in lines])
                ):
                    self.write_table(
                        proxy
                    )  # none without a line, cold hosts not with the lost ones' part

    def publish_stage(self):
        """Deltas go to a tenth of the proxies at a time, so that a mistake is met by few at first."""
        if self.spoiled:
            self.dirty.update(n for n, p in self.here.items() if p.bound)
            self.spoiled = False
        if not self.dirty or (self.now < self.stage_at and not self.sunk):
            return
        part = 0.8 if self.sunk else 0.5  # of its messages
        waiting = [
            p for p in self.joined if p.number in self.dirty and p.bound and self.may_write(p, part)
        ]
        self.shuffle(waiting)
        # A cold host's part that must sink is as urgent as a removal.
        some = AT_ONCE if self.sunk else ceil(len(self.here) / STAGES)
        self.sunk = self.sunk and len(waiting) > some
        if self.sunk:
            self.orders.append(interface.SetTimer(MORE, SOON))
        for proxy in waiting:
            if some > 0 and self.may_write(
                proxy, part
            ):  # the tables before it may have filled the queue
                before = len(self.orders)
                self.write_table(proxy)
                # One that nothing changes for takes no turn, but where messages are counted their pace stays.
                some -= self.settings["messages_most"] > 0 or len(self.orders) > before
        self.stage_at = self.now + self.draw(0.5, 1.5) * STAGE_GAP

    def all_dirty(self, host=None):
        """`host`: only what goes by it can have changed."""
        self.moves += 1
        if host is None:
            self.drawn += 1
        else:
            host.moved = self.moves
        self.spoiled = True

    def on_roster(self, event):
        if event.scope == "unavailable":
            self.watch_at = self.now + self.draw(0.5, 1.5)
            return
        listed = {m.id for m in event.endpoints}
        lost = [h for h in self.hosts.values() if h.id not in listed and not self.answers_still(h)]
        left = any(m.phase == "ready" for m in event.endpoints) or any(
            h.phase == "ready" for h in self.hosts.values() if h.id not in listed and h not in lost
        )
        # One that leaves nobody is not believed where it may be wrong: rule 1 is harder than it.
        believed = event.scope != "changes" and (left or not self.settings.get("gone_is_advice"))
        for host in lost if believed else ():
            host.phase = "gone"
        for member in event.endpoints:
            self.take_member(member)
        self.listed = self.lost = True
        self.probe_every = max(PROBE_EVERY, len(self.hosts) / PROBES_MOST)
        self.pools, self.old_pools = {}, self.pools or self.old_pools
        self.earlier = {}
        for host in [h for h in self.hosts.values() if (h.phase != "ready") != h.withdrawn]:
            self.withdraw(host, not host.withdrawn)
        self.forget()
        self.all_dirty()

    def forget(self):
        past = (
            self.now - LONGEST_WAIT
        )  # until then one may bring its line; after it, records would add up
        for host in [h for h in self.hosts.values() if h.phase == "gone" and h.withdrawn_at < past]:
            for proxy in [
                self.proxies[n] for n in self.held.of(host.id)
            ]:  # that left, with what they held
                for group in range(len(proxy.lines)):
                    self.set_line(proxy, group, host.id, 0.0)
            del self.hosts[host.id]
            self.restless.pop(host.id, None)

    def take_member(self, member):
        proved = not (self.listed and self.settings.get("probing"))
        host = self.hosts.setdefault(member.id, Host(member, self.now, proved))
        if member.phase == "gone" and self.answers_still(host):
            return
        back = member.phase == "ready" and (
            host.phase != "ready" or member.started_at != host.started_at
        )
        host.phase, host.weight, host.started_at = member.phase, member.weight, member.started_at
        if not back:
            return
        self.restless[host.id] = host
        self.due.push(host.probe_at, host.id)
        host.out_until, host.probe_fails = None, 0
        host.clear_evidence(self.now)
        host.cold_from = (
            host.started_at if self.now - host.started_at < self.settings["warm_after"] else None
        )
        if self.listed or host.cold_from is not None:
            # Past the time that it takes to warm, a ramp would only load the others: a release replaces many.
            self.start_ramp(host, min(GROW_WAIT, self.settings["warm_after"] / 3))

    def answers_still(self, host):
        """A list that may be wrong must not empty tables of hosts that answer; doubt finds the dead. Silence
        counts by the newest news of any host: one that stood still itself has heard of none."""
        return (
            self.settings.get("gone_is_advice")
            and host.phase == "ready"
            and not host.probe_fails
            and min(self.now, self.news_at) - host.good_at
            < 2 * (self.cycle + self.settings["sums_every"])
        )

    def withdraw(self, host, on):
        host.withdrawn, host.withdrawn_at, host.shut_once = on, self.now, True
        if on:
            host.lost_at, host.told_shut = self.now, dict(self.held.of(host.id))
            self.newly_withdrawn.append(host.id)
            self.withdrawals += 1
            for number in host.told_shut:  # a line more on channels that tell holders too
                if number in self.here:
                    self.waiting.add(number, 1, False)
            return
        self.orders.append(interface.WithdrawEndpoint(host.id, False))
        for proxy in self.unbound.values():
            proxy.told.discard(host.id)
        for number in host.told_shut:
            if number in self.here:
                self.book(self.here[number], 1)
        host.told_shut = {}

    def start_ramp(self, host, wait=GROW_WAIT):
        self.restless[host.id] = host
        host.step, host.grow_at, host.grow_wait = FIRST_SHARE, self.now + wait, wait
        host.share = self.cold_share(host)

    def strain(self, host, ready):
        """Slow or full against its peers: it keeps its weight but leaves some shards, longer each time, so
        that it neither drowns nor swings; only while the others can take its part."""
        if (
            self.now - host.strained_at < STRAIN_GAP
            or host.reach <= 1 - 3 * STEP
            or fsum(h.reach for h in ready if h.usable) < len(ready) * 0.8
        ):
            return
        calm, host.strained_at = self.now - max(host.strained_at, host.returned_at) > 30, self.now
        host.regain_wait = FIRST_REGAIN if calm else min(LONGEST_WAIT, host.regain_wait * 2)
        self.set_reach(host, host.reach - STEP)

    def set_reach(self, host, reach):
        """Of its holders, by what they bring, those that rank it lowest do without it."""
        host.reach, host.regain_at = reach, self.now + host.regain_wait
        holders = [
            p
            for n in {**self.held.of(host.id), **dict.fromkeys(sorted(host.spared))}
            if (p := self.here.get(n))
        ]
        spare, host.spared = (1 - reach) * fsum(p.rate for p in holders), set()
        for proxy in sorted(holders, key=lambda p: rank(p.key, host.word), reverse=True):
            if proxy.rate / 2 < spare:
                host.spared.add(proxy.number)
                spare -= proxy.rate
        self.restless[host.id] = host
        self.all_dirty(host)
        self.orders.append(interface.LogMessage(f"host {host.id} reach {reach}"))

    def cold_share(self, host):
        """A part of what pushes it over by now; none in a tight fleet where proxies shun what fails them:
        in a storm they shun the full ones and send all to the empty one."""
        if host.cold_from is None:
            return host.step
        if self.tight and self.settings.get("fails_to_shun"):
            return 0.0
        first, age = (
            self.settings["cold_share"],
            (self.now - host.cold_from) / self.settings["warm_after"],
        )
        part = COLD_SHUN if self.settings.get("fails_to_shun") else COLD_PART
        most = (
            self.spread
            * part
            * self.settings["tip_multiple"]
            * (first + (1 - first) * min(1.0, age))
        )
        return max((s for s in COLD_STEPS if s <= min(host.step, most)), default=0.0)

    def on_joined(self, event):
        groups, self.plan_at = len(self.group_open), self.now
        new = Proxy(event.proxy, groups, groups * len(self.proxies))
        proxy = self.proxies.setdefault(event.proxy, new)
        proxy.zone, proxy.rate, proxy.joined_at = event.zone, event.request_rate, self.now
        proxy.bound, proxy.told, proxy.told_of = False, set(), 0
        proxy.drawn = -1
        self.here[event.proxy] = self.unbound[event.proxy] = proxy
        proxy.sent.clear()
        # What it brings was laid by one who knew more; but all its lines may be withdrawn by now.
        # Nor may it name hosts that went before this steward started for longer than the grace.
        bare = max(0.0, self.settings["bare_most"] - self.settings["push_delay_most"])
        hold = min(bare, self.settings["drain_grace"]) / 2
        proxy.hold_until = self.now + hold * (not event.bootstrap_only)

    def on_left(self, event):
        if event.proxy in self.here:
            self.here.pop(event.proxy).bound = False
            self.unbound.pop(event.proxy, None)
            self.waiting.left(event.proxy)

    def on_host_sums(self, event):
        host = self.hosts.get(event.endpoint)
        self.round_at = min(self.round_at, self.now)
        # Sums from before a start tell of the process that was there before.
        if (
            host is None
            or host.cold_from is not None
            and self.now - event.window - SUMS_LATE < host.cold_from
        ):
            return
        # Where lines are capped each covers many rounds and comes seldom: what was heard stands as long.
        self.cycle += (max(event.window, self.settings["sums_every"]) - self.cycle) / 8
        good, (at, *old) = (
            event.attempts - event.errors,
            host.sums.get(event.zone, (self.now, 0, 0, 0)),
        )
        host.good_at = self.now if good else host.good_at
        self.news_at = max(self.news_at, host.good_at)
        keep, news = (
            FADE ** ((self.now - at) / self.cycle),
            (event.attempts, event.errors, event.mean_latency * good),
        )
        host.sums[event.zone] = self.now, *(o * keep + n for o, n in zip(old, news))
        host.take_report(event.load_report)
        if event.errors and self.probe_every > PROBE_EVERY and not host.probe_fails:
            self.probe_by(host, self.now)

    def end_round(self):
        self.rounds, self.round_at = self.rounds + 1, float("inf")
        self.reqs = [
            max(1e-3, 0.9 * n) for n in self.reqs
        ]  # never none: kinds fall silent for hours
        self.watch_ways()
        # Fading is quick: a storm's many failures would outweigh the few good sums after it.
        failing = []
        for host in self.hosts.values():
            kept = [
                (FADE ** ((self.now - at) / self.cycle), *sums)
                for zone, (at, *sums) in host.sums.items()
                if (zone, host.zone) not in self.far
            ]
            own = host.own_tries, *_ = [fsum(k[0] * k[at] for k in kept) for at in (1, 2, 3)]
            if host.phase == "ready" and own[1] >= 0.5:
                failing.append((-own[1], host.name, own))
            kept += [
                (FADE ** ((self.now - at) / self.cycle), *told) for at, *told in host.told.values()
            ]
            host.tries, host.bad, host.answer_time = (
                fsum(k[0] * k[at] for k in kept) for at in (1, 2, 3)
            )
        self.tell_peers(failing)
        self.judge()
        self.watch_room()

    def watch_ways(self):
        """A way on which even quick hosts answer far later than at home is bad itself: left for a while."""
        for zone in {p.zone: 0 for p in self.joined}:
            times = {}
            for host in self.hosts.values():
                at, tries, bad, seconds = host.sums.get(zone, (-1e9, 0, 0, 0))
                if host.usable and self.now - at < 2 * self.cycle and tries - bad > 0.5:
                    times.setdefault(host.zone, []).append(seconds / (tries - bad))
            usual = middle(times.get(zone, ()))
            for other, found in times.items():
                until, wait = self.ways.get((zone, other), (-1e9, 0.0))
                if (
                    usual
                    and other != zone
                    and self.now >= until
                    and len(found) > 1
                    and sorted(found)[len(found) // 4] - usual > FAR_MUCH * self.mean_target()
                ):
                    wait = min(LONGEST_WAIT, 2 * wait) if self.now - until < 30 else QUIET_WAIT
                    self.ways[zone, other] = self.now + wait, wait
                    self.orders.append(
                        interface.LogMessage(f"way from zone {zone} to {other} is bad, {wait} s")
                    )
        # Probes go from the steward's own zone: while they fail there is no need to try reqs again.
        for way in [way for way in sorted(self.far) if way[0] == self.settings["zone"]]:
            if middle([h.probes_bad for h in self.hosts.values() if h.zone == way[1]]) > 0.5:
                self.ways[way] = (
                    max(self.ways[way][0], self.now + 2 * self.cycle),
                    self.ways[way][1],
                )
        near, self.far = (
            self.far,
            {way for way, (until, _) in self.ways.items() if self.now < until},
        )
        if self.far != near:
            self.all_dirty()

    def tell_peers(self, failing):
        """Each steward hears a part of the few tries that a bad host still gets: no part alone may convict.
        The rounds' own counts are told, never what others told: no news goes round in a circle."""
        if failing and self.settings.get("peer_notes"):
            notes = [b""]
            for _, name, own in sorted(failing)[:NOTE_HOSTS]:
                line = b"%s %.1f %.1f %.2f" % (name, *own)
                if notes[-1] and len(notes[-1]) + 1 + len(line) > NOTE_BYTES:
                    notes.append(b"")
                notes[-1] += b"\n" * bool(notes[-1]) + line
            self.orders += [
                interface.SendGossip(None, note) for note in notes if len(note) <= NOTE_BYTES
            ]

    def on_peer_note(self, event):
        by_name = {host.name: host for host in self.hosts.values()}
        for line in event.payload.split(b"\n")[:NOTE_HOSTS]:
            name, *told = line.split(b" ")
            try:
                tries, bad, seconds = (min(1e6, max(0.0, float(one))) for one in told)
            except ValueError:
                continue  # another release's: advice that can't be read is none
            host = by_name.get(name)
            # What it met before a start tells of the process that was there before.
            if host and 0 < bad <= tries and self.now - self.cycle > (host.cold_from or -1e9):
                host.told[event.sender] = self.now, tries, bad, seconds
                host.good_at = self.now if tries - bad >= 1 else host.good_at

    def on_req_sums(self, event):
        proxy = self.proxies.get(event.proxy)
        if proxy and event.window and event.request_class < len(self.reqs):
            # Refused clients come again, once or so: a kind that is cut must not count for more than it asks.
            self.reqs[event.request_class] += event.requests / (
                2 - self.levels[event.request_class][0]
            )
            heard = proxy.heard.get(event.request_class, event.requests / event.window)
            proxy.heard[event.request_class] = heard + (event.requests / event.window - heard) / 3
            proxy.rate = fsum(proxy.heard.values())

    def on_probe(self, event):
        host = self.hosts.get(event.endpoint)
        if host is None or event.outcome == "denied":
            return
        host.take_report(event.load_report)
        failed = event.outcome != "ok"
        host.probes_bad += (failed - host.probes_bad) / 4
        # A list may name hosts that are none: one that comes late stays out until a probe found it there.
        if event.outcome in ("ok", "timed out") and not host.proved:
            host.proved = True
            self.all_dirty(host)
        host.probe_passes = 0 if failed else host.probe_passes + 1
        host.probe_fails = host.probe_fails + 1 if failed else 0
        if failed:
            self.probe_by(host, self.now + PROBE_AGAIN)
        if not self.settings.get("tries_told", True):
            self.round_at = min(
                self.round_at, self.now
            )  # else no round would ever end, and none be judged

    def probe_by(self, host, at):
        if host.probe_at > at:
            host.probe_at = at
            self.due.push(at, host.id)

    def judge(self):
        ready = [h for h in self.hosts.values() if h.phase == "ready" and h.proved]
        spoke = [h for h in ready if h.usable and h.tries >= 0.5]
        heard = [h for h in spoke if h.tries >= 2]
        usual_bad, usual_load = (
            middle([h.bad / h.tries for h in heard]),
            middle([h.load for h in heard]),
        )
        usual_time, target = middle([h.mean_time for h in heard]), self.mean_target()
        # What the middle try met: cold hosts that are given little say nothing of the room that is left. Few
        # tries a host are enough: when little is let in, nothing else would ever tell that all is well.
        met = [(h, ceil(h.own_tries)) for h in spoke]
        bad = middles([(h.bad / h.tries, n) for h, n in met])
        load = middles([(h.load, n) for h, n in met])
        late = middles([(h.mean_time, n) for h, n in met]) / target
        self.met = bad, load, late, len(spoke)
        self.tight = (
            max(load / 0.9, late / LATE_MUCH, bad / BAD_MUCH) > 1 - 0.2 * self.tight and load > 0.7
        )
        held = fsum(h.share for h in ready if h.usable) / max(1, len(ready))
        self.spread = (
            held if self.settings.get("fails_to_shun") and (self.room < 1 or load > 0.7) else 1.0
        )
        # A deep probe times out at a busy host: more must fail in a row than chance does at the middle one.
        fails = max(
            3.0, log(0.001) / log(min(0.8, max(0.01, middle([h.probes_bad for h in ready]))))
        )
        for host in [h for h in ready if h.usable]:
            quiet = self.now - max(
                host.good_at, self.ways.get((self.settings["zone"], host.zone), (-1e9,))[0]
            )
            # Where no proxy tells of its tries, nobody tells of a silent host: probes convict alone.
            told = host.bad > 0.5 or not self.settings.get("tries_told", True)
            time, part = host.mean_time, host.bad / max(0.5, host.tries)
            # Sums cover seconds, the good in them may be older: peers that have room do not wait for silence.
            silent = quiet > 1.3 * self.cycle or part > 0.6 and host.bad >= 3 and usual_load < ROOMY
            if silent and host.probe_fails >= fails and told:
                self.drop(host, ready, True)
            elif host.tries >= 2:
                failing = host.bad >= 3 and part > max(0.25, 3 * usual_bad + 0.1)
                slow = time > max(1.5 * usual_time, 0.6 * target)
                # One that is full refuses as quickly, but dropping it would drown the others.
                if failing and time <= 1.2 * usual_time and host.load < 0.8:
                    self.drop(host, ready, False)
                elif failing or slow or host.load > max(0.85, usual_load + 0.15):
                    self.strain(host, ready)
                elif host.load < usual_load - 0.1 and self.now - host.strained_at > STRAIN_GAP:
                    host.regain_at = self.now  # its part drowns others by now

    def drop(self, host, ready, by_probe):
        if sum(not h.usable for h in ready) + 1 > len(ready) * 0.4:
            return  # the rest could not carry the load, whatever the evidence
        host.lost_at = self.now
        host.strikes = host.strikes + 1 if self.now - host.returned_at <= 30 else 1
        host.out_by_probe, host.probe_passes, self.lost = by_probe, 0, True
        host.moved = self.moves = self.moves + 1
        self.restless[host.id] = host
        host.out_until = self.now + min(LONGEST_WAIT, QUIET_WAIT * 2 ** (host.strikes - 1))
        self.orders.append(
            interface.LogMessage(f"host {host.id} dropped: {'probes' if by_probe else 'sums'}")
        )

    def tend(self, host):
        """What time alone brings a host: its return, its next step, its next probe."""
        # A shallow probe passes on a hung host: a pass counts only where probes had told the failure.
        if host.out_until is not None and (
            host.probe_passes >= 2 if host.out_by_probe else self.now >= host.out_until
        ):
            host.out_until, host.returned_at = None, self.now
            host.clear_evidence(self.now)
            self.start_ramp(host)
            self.all_dirty(host)
        if host.reach < 1 and self.now >= host.regain_at:
            self.set_reach(host, min(1.0, host.reach + STEP))
        if host.step < 1.0 and self.now >= host.grow_at:
            host.step, host.grow_at = host.step + STEP, self.now + host.grow_wait
        if host.cold_from is not None and self.now - host.cold_from > self.settings["warm_after"]:
            host.cold_from = None
        share = self.cold_share(host)
        if share != host.share:
            self.sunk |= share < host.share
            host.share = share
            self.all_dirty(host)
        if host.phase == "ready" and self.now >= host.probe_at and self.settings.get("probing"):
            host.probe_at = self.now + self.probe_every * self.draw(0.9, 1.1)
            self.due.push(host.probe_at, host.id)
            self.orders.append(interface.CheckHealth(host.id))
        if host.out_until is None and host.cold_from is None and host.reach >= 1 and host.step >= 1:
            self.restless.pop(host.id, None)  # only its next probe is due by time

    def watch_room(self):
        bad, load, late, spoke = self.met
        if (
            self.now < self.level_at
            or spoke < 3
            or not all(self.may_write(p, 0.7) for p in self.joined)
        ):
            return
        self.level_at = self.now + 0.8
        # What fails or is late while hosts have room is no want of room: answers that get lost, callers in a
        # hurry; or, right after a cut, what was sent before it. Load reports are newer.
        told = "util" in self.settings["report_fields"]
        over = load < 0.6 and (told or self.room <= LEAST_LET_IN)
        whole = (
            late < LATE_MUCH and bad < BAD_MUCH and self.spread > 0.9
        )  # no host ramps: all is told
        if (bad > BAD_MUCH or late > LATE_MUCH or load > self.full) and not over:
            # Full queues hold work whose clients have gone: little is let in until it is done. Two rounds
            # must tell so: sums that a stall held back look like a storm.
            storm = bad > 3 * BAD_MUCH or late > 2 * LATE_MUCH
            grave = storm and self.stormy
            if grave or not self.cutting:
                self.edge = EDGE * (self.edge if self.cutting else self.room)
            # What was let in before a cut is still being heard of: no further one once it gets better.
            worse = late + bad >= 0.95 * self.strain_heard
            cut = max(MOST_CUT, min(0.9, LATE_MUCH / max(LATE_MUCH, late)))
            self.room = (
                LEAST_LET_IN if grave else max(LEAST_LET_IN, self.room * (cut if worse else 1.0))
            )
            self.cutting, self.stormy, self.strain_heard = True, storm, late + bad
            self.level_at += 1.0 if grave else 0.0
        elif (
            over
            and (whole or self.room <= LEAST_LET_IN)
            or late < 0.7 * LATE_MUCH
            and load < self.full
        ):
            # Back fast to what was surely carried; past it slowly, since reports lag and storms cost more.
            past = max(REGAIN_PAST, told * self.room * (self.full / max(0.4, load) - 1) / 10)
            self.room, self.cutting = min(1.0, max(self.edge, self.room + past)), False
            self.stormy, self.strain_heard = False, 0.0
        self.order_levels()

    def work_of_kinds(self):
        """What a kind's reqs cost is not told: its response target stands in for its work."""
        return [n * k["response_target"] for n, k in zip(self.reqs, self.settings["req_kinds"])]

    def mean_target(self):
        return fsum(self.work_of_kinds()) / fsum(self.reqs)

    def order_levels(self):
        """The kind that loses least for the work saved goes first, if that beats refusing all alike."""
        work, worst = self.work_of_kinds(), self.settings.get("value_of_worst_kind", 0.0)
        gain = [n * k["gain"] for n, k in zip(self.reqs, self.settings["req_kinds"])]
        cost = [((1 - worst) * g / fsum(gain) + worst) * fsum(work) / w for g, w in zip(gain, work)]
        first, shed, levels = (
            cost.index(min(cost)),
            fsum(work) * (1 - self.room),
            [self.room] * len(work),
        )
        if cost[first] < 1:
            taken = min(shed, work[first] * (1 - LEAST_OF_ONE))
            levels = [1 - (shed - taken) / max(1e-9, fsum(work) - work[first])] * len(work)
            levels[first] = 1 - taken / work[first]
        # A second try after a refusal finds a host with room while there is one; in a storm it is the storm.
        retry = "never" if self.tight else "unstarted"
        wanted = [(round(max(LEAST_OF_ONE, level), 2), retry) for level in levels]
        if wanted != self.levels:
            self.orders.append(interface.LogMessage(f"levels {[level for level, _ in wanted]}"))
            self.orders += [
                interface.SetAdmission(None, (at,), *new)
                for at, new in enumerate(wanted)
                if not self.levels or new != self.levels[at]
            ]
            self.levels = wanted
            for proxy in self.joined:
                self.book(proxy, len(work))

    def on_timer(self, event):
        if event.token == MORE:
            return  # the rest of those that wait for tables
        self.orders.append(interface.SetTimer(0, TICK))
        if self.now >= self.watch_at:
            self.watch_at = float("inf")
            self.orders.append(interface.WatchEndpoints(True))
        if self.now - self.round_at >= ROUND_WAIT:
            self.end_round()
        for at in [
            h
            for h in {**self.restless, **dict.fromkeys(self.due.take(self.now))}
            if h in self.hosts
        ]:
            self.tend(self.hosts[at])

    def may_write(self, proxy, part=0.5):
        """For what can be put off: what cannot must always find room in the queue and the proxy's count."""
        most = self.settings["messages_most"]
        while proxy.sent and self.now - proxy.sent[0] > self.settings["messages_span"]:
            proxy.sent.popleft()
        return self.has_room(0.25) and (not most or len(proxy.sent) < most * part)

    def has_room(self, part=0.4):
        return self.waiting.lines < part * self.settings["queue_most"]

    def book(self, proxy, lines):
        """One batch makes one message a proxy: its head counts once."""
        if new := not proxy.sent or proxy.sent[-1] < self.now:
            proxy.sent.append(self.now)
        self.waiting.add(proxy.number, lines, new)
