"""From what hosts tell of their reqs to the sums that the planner hears. Pure: no I/O, no clock.

DNS clients report nothing. What can honestly be heard of their tries stands at the hosts: how many reqs
came from which network, and what became of them: done, errored, denied (full), shed (by the level it was
told) or abandoned by a client that gave up. A hung host that passes shallow probes still sees its clients
give up, and says so. A silent host says nothing at all: that is the probes' part.

A host's document: {"boot": text, "kinds": [name], "networks": {"10.1.2.0": [[taken, done, errored, denied,
abandoned, shed, seconds of the done] for each kind]}}, counts since its start.
"""

from typing import NamedTuple

import msgspec

from .. import interface

FIELDS = 7
NETWORKS_MOST = 20_000  # in one document


class EndpointReport(msgspec.Struct):
    boot: str
    kinds: list[str]
    networks: dict[str, list[list[float]]]


def read_told(body):
    """The document, or None where it is not one."""
    try:
        told = msgspec.json.decode(body, type=EndpointReport)
    except msgspec.MsgspecError:
        return None
    if len(told.networks) > NETWORKS_MOST or not told.kinds:
        return None
    return told


class Counts(NamedTuple):
    boot: str
    networks: dict


class LoadReportCounts:
    """Differences of what hosts told, gathered until the next round of sums.

    `kinds`: names in the planner's order; `view_of(network text)` gives the view, or None; `zone` is where
    the steward's own probes come from.
    """

    def __init__(self, kinds, view_of, zone, every):
        self.kinds, self.view_of, self.zone, self.every = (
            {k: at for at, k in enumerate(kinds)},
            view_of,
            zone,
            every,
        )
        self.last, self.hosts, self.views, self.reports = {}, {}, {}, {}
        self.begun = None

    def take(self, host, told, report):
        """One host's document (or None) and load report (or None) as a probe brought them."""
        if report is not None:
            self.reports[host] = report
        if told is None:
            return
        before = self.last.get(host)
        self.last[host] = Counts(told.boot, told.networks)
        if before is None:
            return  # its whole past is no news
        same = before.boot == told.boot
        for network, rows in told.networks.items():
            old = before.networks.get(network) if same else None
            self.add(host, told.kinds, network, rows, old)

    def add(self, host, kinds, network, rows, old):
        view = self.view_of(network)
        for at, name in enumerate(kinds[: len(rows)]):
            kind, row = self.kinds.get(name), rows[at]
            if kind is None or view is None or len(row) != FIELDS:
                continue
            base = old[at] if old and at < len(old) and len(old[at]) == FIELDS else [0.0] * FIELDS
            new = [
                max(0.0, n - b) for n, b in zip(row, base)
            ]  # counters that went back tell nothing
            taken, done, errored, denied, abandoned, _, seconds = new
            if done + errored + denied + abandoned:
                sums = self.hosts.setdefault((host, view.zone), [0.0, 0.0, 0.0])
                sums[0] += done + errored + denied + abandoned
                sums[1] += errored + denied + abandoned
                sums[2] += seconds
            if taken:
                reqs = self.views.setdefault((view.index, kind), [0.0, 0.0])
                reqs[0] += taken
                reqs[1] += max(0.0, taken - done)

    def probed(self, host, passed, took):
        """A probe is a try too, where nothing else was heard of the host: an idle host is not a silent one."""
        if passed and not any(at == host for at, _ in self.hosts):
            self.hosts[host, self.zone] = [1.0, 0.0, took]

    def due(self, now, numbers):
        """The round's events if it is time, else none. `numbers` maps view index to the planner's number."""
        if self.begun is None:
            self.begun = now
        span = now - self.begun
        if span < self.every or not (self.hosts or self.views):
            return []
        events = [
            interface.RequestStats(numbers[view], kind, int(reqs), int(unanswered), span)
            for (view, kind), (reqs, unanswered) in sorted(self.views.items())
        ]
        for (host, zone), (tries, bad, seconds) in sorted(self.hosts.items()):
            events.append(
                interface.EndpointStats(
                    host,
                    zone,
                    int(tries),
                    int(bad),
                    span,
                    seconds / max(1.0, tries - bad),
                    self.reports.get(host),
                )
            )
        self.hosts, self.views, self.reports, self.begun = {}, {}, {}, now
        return events
