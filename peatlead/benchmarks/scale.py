"""What one planner costs as the fleet grows: `python -m peatlead.benchmarks.scale [OLD_TEXT] [--chart FILE]`

Joins, ticks, rounds, one withdrawal, a zone lost, a release. OLD_TEXT is an earlier `choice.py`: it is played
beside today's in the same run, turn by turn, and ratios are told. CPU seconds of this process. With `release` alone:
96% of the hosts replaced in 30 s through the steward's channel, as the rules see it (simulated).
"""

import importlib.util
import json
import sys
import time
from collections import deque

from .. import interface
from ..controller.channel import Channel
from ..controller.publisher import Publisher
from ..controller.view_state import ViewState
from ..planner import planner as planner_module

FACTS = {
    "stewards": 1,
    "zone": 0,
    "zones": ["a", "b", "c"],
    "machines": ["m"],
    "roster_mode": "pushed",
    "messages_most": 30,
    "messages_span": 10.0,
    "push_delay": 0.3,
    "push_delay_most": 1.0,
    "bare_most": 4.0,
    "sums_every": 1.0,
    "probing": True,
    "report_fields": ["util"],
    "cold_share": 0.3,
    "warm_after": 8.0,
    "tip_multiple": 3.0,
    "tip_span": 2.0,
    "drain_grace": 3.0,
    "value_of_whole": 0.5,
    "value_of_worst_kind": 0.1,
    "message_head": 6.0,
    "standing": 8.0,
    "tries_told": True,
    "req_kinds": [
        {
            "name": name,
            "response_target": 0.5,
            "client_timeout": 2.0,
            "repeat": "replayable",
            "gain": gain,
            "drops_repeats_in": "all",
            "repeat_window": 5.0,
            "late_gain": 0.1,
            "own_zone": False,
            "write": False,
        }
        for name, gain in (("lookup", 1.0), ("file", 6.0))
    ],
}
SIZES = ((82, 291), (300, 1000), (1000, 1000), (1000, 3000), (3000, 3000))


def load(path):
    """An earlier text of the module, under a name of its own."""
    spec = importlib.util.spec_from_file_location("peatlead.choice_before", path)
    made = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(made)
    return made


def member(host, phase="ready", started_at=0.0):
    return interface.Endpoint(
        host,
        b"10.%d.%d.%d" % (host % 3, host // 250, host % 250),
        host % 3,
        0,
        host // 4,
        phase,
        1.0,
        started_at,
    )


class Run:
    """One planner on a clock of its own; each step's CPU seconds by batch."""

    def __init__(self, module, hosts, proxies):
        self.hosts, self.proxies, self.now = hosts, proxies, 100.0
        # The channel's pace grows with the fleet, or it would be all that is seen.
        facts = {
            **FACTS,
            "proxies": proxies,
            "channel_rate": 100.0 * proxies,
            "queue_most": 100.0 * proxies,
        }
        self.planner, self.more = module.Planner(facts, 1), False
        self.decide([interface.EndpointUpdate("remembered", 1, tuple(map(member, range(hosts))))])

    def decide(self, events):
        start = time.process_time()
        orders = self.planner.decide(self.now, events)
        spent = time.process_time() - start
        self.more = any(type(order) is interface.SetTimer and order.token for order in orders)
        self.probed = [order.endpoint for order in orders if type(order) is interface.CheckHealth]
        return spent, orders

    def batches(self, events):
        """All batches that an event leads to at once."""
        spent, orders = self.decide(events)
        found, many = [spent], len(orders)
        while self.more:
            self.now += 0.01
            spent, orders = self.decide([interface.TimerFired(1)])
            found.append(spent)
            many += len(orders)
        return found, many

    def join(self):
        numbers = [2**32 - 1 - at * 7919 for at in range(self.proxies)]
        return self.batches(
            [
                interface.ProxyConnected(number, at % 3, 10.0, True)
                for at, number in enumerate(numbers)
            ]
        )[0]

    def ticks(self, many):
        found = []
        for _ in range(many):
            self.now += 0.1
            spent, _ = self.decide(
                [
                    interface.TimerFired(0),
                    *(
                        interface.HealthCheckResult(host, "ok", 0.001, {"util": 0.5})
                        for host in self.probed
                    ),
                ]
            )
            found.append(spent)
        return found

    def round(self):
        self.now += 0.1
        self.decide(
            [
                interface.EndpointStats(host, zone, 10, 0, 1.0, 0.1, {"util": 0.5})
                for host in range(self.hosts)
                for zone in range(3)
            ]
        )
        self.now += 0.3
        return self.decide([interface.TimerFired(0)])[0]

    def withdraw(self, hosts):
        self.now += 0.1
        spent, many = self.batches(
            [
                interface.EndpointUpdate(
                    "changes", 2, tuple(member(host, "draining") for host in hosts)
                )
            ]
        )
        return spent, many

    def release(self, steps=30):
        """96% of the hosts replaced in 30 s, one part a second."""
        part, longest, total = max(1, int(self.hosts * 0.96) // steps), 0.0, 0.0
        for at in range(steps):
            hosts = range(at * part, (at + 1) * part)
            for events in (
                [
                    interface.EndpointUpdate(
                        "changes", 3 + at, tuple(member(h, "draining") for h in hosts)
                    )
                ],
                [
                    interface.EndpointUpdate(
                        "changes", 3 + at, tuple(member(h, "ready", self.now) for h in hosts)
                    )
                ],
            ):
                self.now += 0.1
                spent = [self.decide(events)[0], *self.ticks(4)]
                longest, total = max(longest, *spent), total + sum(spent)
        return longest, total


class Paced(Run):
    """A run whose orders go through the steward's own publisher and channel to what proxies hold: the rules as a
    release strains them. Each proxy brings `rate` reqs a second and spreads them by its weights."""

    def __init__(self, module, hosts, proxies, rate=10.0, channel=4000.0):
        self.publisher, self.channel = Publisher(), Channel(channel, FACTS["message_head"], channel)
        self.states, self.rate, self.sent, self.lines, self.most_sent, self.bare = (
            {},
            rate,
            {},
            0,
            0,
            0,
        )
        self.longest = self.spent = self.cold_worst = 0.0
        self.answers = []
        super().__init__(module, hosts, proxies)
        self.planner.settings.update(channel_rate=channel, queue_most=channel)

    def decide(self, events):
        spent, orders = super().decide([*events, *self.answers])
        self.answers = []
        self.spent, self.longest = self.spent + spent, max(self.longest, spent)
        messages, marks, _ = self.publisher.take(orders)
        for proxy in sorted(messages):
            self.channel.offer(self.now, proxy, messages[proxy], marks.get(proxy, ()))
        for proxy, message in self.channel.due(self.now):
            self.answers += [
                interface.Acknowledged(proxy, mark, self.now - message.offered)
                for mark in message.marks
            ]
            times = self.sent.setdefault(proxy, deque())
            times.append(self.now)
            while self.now - times[0] > FACTS["messages_span"]:
                times.popleft()
            self.most_sent, self.lines = (
                max(self.most_sent, len(times)),
                self.lines + len(message.ops),
            )
            self.states[proxy].apply(message.ops)
        return spent, orders

    def join(self):
        for at in range(self.proxies):
            self.publisher.join(at, enforces_admission=True)
            self.states[at] = ViewState()
        self.batches(
            [interface.ProxyConnected(at, at % 3, self.rate, True) for at in range(self.proxies)]
        )
        while any(not state.bound for state in self.states.values()):
            self.ticks(1)

    def look(self):
        """Who has no line; the most that a cold host gets, as a part of what pushes it over."""
        work = {}
        for state in self.states.values():
            lines = state.lines(0)
            total = sum(lines.values())
            self.bare += not lines
            for host, weight in lines.items():
                work[host] = work.get(host, 0.0) + self.rate * weight / total
        usual = self.rate * self.proxies / self.hosts
        for host in self.planner.endpoints.values():
            if host.cold_from is not None and host.phase == "ready":
                warm = min(1.0, (self.now - host.cold_from) / FACTS["warm_after"])
                able = FACTS["cold_share"] + (1 - FACTS["cold_share"]) * warm
                # Of a fleet half in use: what it is asked, of what it can do times what tips it.
                part = work.get(host.id, 0.0) / usual * 0.5 / (able * FACTS["tip_multiple"])
                self.cold_worst = max(self.cold_worst, part)

    def replace(self, seconds=30.0):
        """96% of the hosts, one after the other, each drained, gone for a second and back cold."""
        many, begin, back = int(self.hosts * 0.96), self.now, []
        done = 0
        while done < many or back:
            due = min(many, int((self.now - begin) / seconds * many) + 1)
            events = []
            if due > done:
                listed = tuple(member(h, "draining") for h in range(done, due))
                events.append(interface.EndpointUpdate("changes", 2, listed))
                back += [(self.now + 1.0, h) for h in range(done, due)]
                done = due
            ready = [h for at, h in back if at <= self.now]
            if ready:
                back = [(at, h) for at, h in back if at > self.now]
                events.append(
                    interface.EndpointUpdate(
                        "changes", 2, tuple(member(h, "ready", self.now) for h in ready)
                    )
                )
            self.now += 0.1
            self.decide([interface.TimerFired(0), *events])
            if round(self.now * 10) % 5 == 0:
                self.look()
        for _ in range(100):
            self.ticks(1)
            self.look()
        return {
            "lines a proxy": round(self.lines / self.proxies, 1),
            "messages a proxy in 10 s, most": self.most_sent,
            "queue, deepest part": round(self.channel.deepest / self.channel.most, 2),
            "proxies without a line": self.bare,
            "cold host, most of what tips it": round(self.cold_worst, 3),
            "CPU s": round(self.spent, 2),
            "longest batch ms": round(self.longest * 1000, 1),
        }


def measure(module, hosts, proxies):
    run = Run(module, hosts, proxies)
    joins = run.join()
    ticks = run.ticks(40)
    round_spent = run.round()
    one, _ = run.withdraw([0])
    zone, _ = run.withdraw(range(0, hosts, 3))
    run.withdraw([])
    longest, total = released(module, hosts, proxies)
    return {
        "join": sum(joins),
        "longest join batch": max(joins),
        "tick": sorted(ticks)[len(ticks) // 2],
        "longest tick": max(ticks),
        "round": round_spent,
        "withdrawal": max(one),
        "zone lost": sum(zone),
        "release in 30 s": total,
        "longest of it": longest,
    }


def released(module, hosts, proxies):
    run = Run(module, hosts, proxies)
    run.join()
    run.ticks(5)
    return run.release()


def main():
    args = [arg for arg in sys.argv[1:] if not arg.startswith("--")]
    chart = args.pop() if "--chart" in sys.argv else None
    if args == ["release"]:
        for hosts, proxies in SIZES[:4]:
            for pace in sorted(
                {4000, 14 * proxies}
            ):  # the usual; as much a proxy as that is at 291
                run = Paced(planner_module, hosts, proxies, channel=pace)
                run.join()
                run.ticks(100)
                run.lines, run.channel.deepest = 0, 0.0
                print(
                    json.dumps(
                        {
                            "hosts": hosts,
                            "proxies": proxies,
                            "lines a second": pace,
                            **run.replace(),
                        }
                    ),
                    flush=True,
                )
        return
    before = load(args[0]) if args else None
    found = []
    for hosts, proxies in SIZES:
        row = {"hosts": hosts, "proxies": proxies, "now": measure(planner_module, hosts, proxies)}
        if before is not None and hosts * proxies <= 1000 * 3000:
            row["before"] = measure(before, hosts, proxies)
            row["ratio"] = {
                name: round(row["before"][name] / max(1e-6, value), 1)
                for name, value in row["now"].items()
            }
        found.append(row)
        print(
            json.dumps(
                {
                    name: {
                        k: round(v * 1000, 2) if name != "ratio" else v for k, v in value.items()
                    }
                    if type(value) is dict
                    else value
                    for name, value in row.items()
                }
            ),
            flush=True,
        )
    if chart:
        draw(found, chart)


def draw(rows, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    for axis, name in zip(axes, ("join", "tick", "zone lost")):
        for which in ("before", "now"):
            points = [
                (row["hosts"] * row["proxies"], row[which][name]) for row in rows if which in row
            ]
            axis.loglog(*zip(*points), marker="o", label=which)
        axis.set(title=name, xlabel="hosts x proxies", ylabel="CPU seconds")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=70)


if __name__ == "__main__":
    main()
