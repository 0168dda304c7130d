"""In what order an answer names hosts. Pure: no I/O, no clock; chance is handed in.

First places follow the weights within every short run of answers, not only in the long mean: smooth
weighted round robin keeps each host's count within one of its share of the answers so far, where
independent draws stray by the square root of their number. Caches make that matter: few answers leave a
steward in a lifetime, and each one carries a desk.
"""

from math import fsum


class AnswerRotation:
    """An endless order of picks over weighted lines.

    `lines` maps host index to weight above 0; `start` (0 to 1, drawn) sets the first credits, so that many
    views with one table do not all begin with the same host.
    """

    def __init__(self, lines, start):
        self.hosts = sorted(lines)
        self.weights = [lines[host] for host in self.hosts]
        self.total = fsum(self.weights)
        offset = start * self.total
        self.credits, before = [], 0.0
        for weight in self.weights:  # in turn: a host's credit says how long ago it was last picked
            self.credits.append(((before + weight / 2 + offset) % self.total) / self.total * weight)
            before += weight

    def pick(self):
        """The next host: it has waited longest for its share."""
        credits, best = self.credits, 0
        for at, weight in enumerate(self.weights):
            credits[at] += weight
            if credits[at] > credits[best]:
                best = at
        credits[best] -= self.total
        return self.hosts[best]


def orders(lines, places, length, start):
    """`length` answers, each a tuple of up to `places` hosts, none twice.

    The first place is the rota's next pick; behind it stand the picks that follow, so that a desk which
    goes on to its second address spreads by weight as well.
    """
    if not lines:
        return []
    rota, places = AnswerRotation(lines, start), min(places, len(lines))
    picks = [rota.pick() for _ in range(length)]
    found = []
    for at in range(length):
        chosen = [picks[at]]
        ahead = at + 1
        while len(chosen) < places and ahead < at + length:
            host = picks[ahead % length]
            if host not in chosen:
                chosen.append(host)
            ahead += 1
        for host in rota.hosts if len(chosen) < places else ():  # lines too light to be near
            if host not in chosen and len(chosen) < places:
                chosen.append(host)
        found.append(tuple(chosen))
    return found


def srv_weights(lines):
    """host -> 16-bit weight (RFC 2782), the heaviest 1,000: in proportion, and none 0, since a 0 would make a
    line that is meant to be light one that is hardly ever met."""
    top = max(lines.values(), default=0.0)
    return (
        {host: max(1, round(weight / top * 1000)) for host, weight in lines.items()} if top else {}
    )
