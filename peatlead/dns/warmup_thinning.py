"""Which of a view's lines its answers may name while hosts ramp. Pure: no I/O, no clock, no chance.

A table's small weight means a small part of a view's reqs. An answer can't say that: whoever caches it
gives the hosts that it names the whole of a desk for a lifetime. A cold host at a tenth of its weight, in
a tenth of a busy view's answers, gets all of that view one lifetime in ten, and is pushed over though the
mean is right. So the small part is made of *views*, not of *answers*: a host that ramps is named, at its
full weight, by just so many small views that they bring on average what the planner meant it to have, and
none of them, whole, more than that; the others name it not at all. As its weight grows, more views name it.

A view with nothing but ramping hosts names them all: it must name some (rule 1). Its answers then get no
lifetime (RFC 1035 section 3.2.1: for this transaction only), so that each resolution is a draw of its own.

The same coarseness heats warm hosts: a view that brings a tenth of all reqs gives its two addresses a
twentieth each for a lifetime. So a busy view's answers name more hosts, and those of one that brings more
than a host's fair part get no lifetime either, since many clients only ever take the first address.
"""

from math import ceil, fsum, sqrt
from typing import NamedTuple

RAMPING = 0.999  # of the listed weight: below, the planner holds a host back
LEAST_RATE = 0.05  # reqs a second that any view is counted with, however silent: it may wake
SIGMAS, SURGE = 3.0, 2.5  # a draw this bad must stay under this multiple of what was meant
FAIR = 0.25  # of a host's fair part: more should not hang on one address of one answer
WHOLE = 1.0  # of a host's fair part: a view that brings more gets answers that nobody may keep
CALMS = 0.9  # what is left of a view's rate after a round that told less: it falls slowly, rises at once


class Named(NamedTuple):
    """`lines`: host -> weight that answers are drawn by; `lasting`: whether they may be kept; `places`: how
    many addresses an answer should have at least."""

    lines: dict
    lasting: bool
    places: int = 1


class WarmupThinning:
    """Remembers which views hold which host, so that a change costs the views it touches.

    One entry point: `decide(changed, listed, heard)` returns {view: Named} for all views whose named lines
    are not what they were. `rates` holds the reqs a second that each view is counted with; a view is any
    key that sorts.
    """

    def __init__(self, rates):
        self.rates = dict(rates)
        self.tables = {}  # view -> host -> weight as the planner ordered
        self.holders = {}  # host -> views whose table holds it
        self.named = {}  # view -> Named
        self.ramping = set()  # hosts that some table holds at less than their listed weight

    def decide(self, changed, listed, heard=()):
        """`changed`: {view: {host: weight}}, whole tables; `listed`: {host: its whole weight};
        `heard`: [(view, reqs a second)], as the last round told."""
        touched, self.listed = set(changed), listed
        for view, rate in heard:
            self.rates[view] = max(LEAST_RATE, rate, self.rates.get(view, 0.0) * CALMS)
            touched |= {view} & self.tables.keys()
        self.fair = fsum(self.rates.values()) / max(
            1, sum(1 for views in self.holders.values() if views)
        )
        for view, table in changed.items():
            for host in self.tables.get(view, {}).keys() - table.keys():
                self.holders[host].discard(view)
            for host in table:
                self.holders.setdefault(host, set()).add(view)
            self.tables[view] = dict(table)
        doubtful = self.ramping.union(*(self.tables[view] for view in touched))
        ramping = {
            host
            for host in doubtful
            if any(
                self.tables[view][host] < RAMPING * listed.get(host, 0.0)
                for view in self.holders.get(host, ())
            )
        }
        takers = {host: self.takers(host) for host in sorted(ramping)}
        for host in ramping | self.ramping:
            touched |= self.holders.get(host, set())
        self.ramping, news = ramping, {}
        for view in sorted(touched):
            now = self.name(view, takers)
            if now != self.named.get(view):
                news[view] = self.named[view] = now
        return news

    def takers(self, host):
        """The views that name a ramping host, the smallest first: no one of them brings more, whole, than the
        host was meant to have; on average all of them bring that; and a bad draw stays well under what tips
        it, which the planner keeps at over three times what it means the host to have."""
        planned, views = 0.0, []
        for view in self.holders[host]:
            table, rate = self.tables[view], self.rates.get(view, 1.0)
            total = fsum(table.values())
            planned += rate * table[host] / total
            whole = self.listed.get(host, table[host])
            views.append((rate, view, whole / (total - table[host] + whole)))
        chosen, mean, spread = set(), 0.0, 0.0
        for rate, view, part in sorted(views):
            mean, spread = mean + rate * part, spread + rate * rate * part * (1 - part)
            if rate > planned or mean > planned or mean + SIGMAS * sqrt(spread) > SURGE * planned:
                break
            chosen.add(view)
        return chosen

    def name(self, view, takers):
        table, lines = self.tables[view], {}
        parts = self.rates.get(view, 1.0) / max(
            1e-9, self.fair
        )  # of a host's fair part of all reqs
        for host, weight in table.items():
            if host not in takers:
                lines[host] = weight
            elif view in takers[host]:
                lines[host] = self.listed.get(host, weight)
        whole = [host for host in table if host not in takers]
        places = min(len(table), ceil(parts / FAIR))
        if whole:
            return Named(lines, parts <= WHOLE, places)
        return Named(dict(table), False, places)
