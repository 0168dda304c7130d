"""Load reports gathered on their way to the planner. Pure: no I/O, no clock.

Thousands of proxies tell of the same hosts; what they tell is summed on arrival, by host and zone, and by proxy and
request kind, and the planner hears each sum once. Sums are exact and bounded: by hosts times zones, and by joined
proxies times kinds. What is added of a host that is not listed, or counts that overflowed, never gets here
(reports.py).
"""

from .. import interface


class LoadAggregator:
    """`host(...)` and `reqs(...)` add; `due(now)` gives the events once `wait` seconds have passed since the
    first."""

    def __init__(self):
        self.hosts, self.kinds, self.begun, self.wait = {}, {}, None, 0.0

    def report(self, now):
        if self.begun is None:
            self.begun = now

    def host(self, host, zone, tries, bad, seconds, util, utils, span):
        """`seconds`: of the good tries, together; `util`: the sum of `utils` load reports."""
        sums = self.hosts.get((host, zone))
        if sums is None:
            self.hosts[host, zone] = [tries, bad, seconds, util, utils, span]
            return
        sums[0] += tries
        sums[1] += bad
        sums[2] += seconds
        sums[3] += util
        sums[4] += utils
        sums[5] = max(sums[5], span)  # the oldest that it may tell of

    def reqs(self, proxy, kind, reqs, unanswered, span):
        sums = self.kinds.setdefault(proxy, {}).setdefault(kind, [0, 0, 0.0])
        sums[0] += reqs
        sums[1] += unanswered
        sums[2] += span

    def due(self, now):
        """[RequestStats and EndpointStats], hosts in the order of their indices."""
        if self.begun is None or now - self.begun < self.wait:
            return []
        events = [
            interface.RequestStats(proxy, kind, *sums)
            for proxy, kinds in self.kinds.items()
            for kind, sums in kinds.items()
        ]
        for (host, zone), (tries, bad, seconds, util, utils, span) in sorted(self.hosts.items()):
            events.append(
                interface.EndpointStats(
                    host,
                    zone,
                    tries,
                    bad,
                    span,
                    seconds / max(1, tries - bad),
                    {"util": util / utils} if utils else None,
                )
            )
        self.hosts, self.kinds, self.begun = {}, {}, None
        return events

    def forget(self, proxy):
        """It has left: the planner must not hear of it after that."""
        self.kinds.pop(proxy, None)
