"""Structures that the planner finds its hosts and proxies by. They decide nothing and hold no tuned value.

`Ranks` is rendezvous order (Thaler and Ravishankar, 1998) over the hosts of one pool: each proxy has its own random
order of them, without memory, so that every steward finds the same and a new list moves few. The whole pool is
mixed with a proxy's key at once, as lanes of one wide number: a thousand hosts cost a dozen machine loops, not a
thousand calls, and only the top is sorted. `Holders` tells who holds a host; `Due` what time alone brings next.
`python -m peatlead.benchmarks.scale` measures the planner on them against its text before.
"""

import heapq
import re
import struct
from functools import lru_cache
from hashlib import blake2b
from math import fsum

SALT = b"turf"  # one order of many alike (docs/results/scale.md): days on the bench are compared under the same
LANE, LOW, SHIFT = (
    64,
    0xFFFFFFFF,
    15,
)  # bits of a lane; the part of it that holds a word; of the mixing
FEW = 32  # hosts: up to here sorting all is as quick as looking for the top
BELOW = [re.compile(b"[\\x00-\\x%02x]" % top, re.DOTALL) for top in range(256)]


def middle(values):
    return sorted(values)[len(values) // 2] if values else 0.0  # a few bad hosts do not move it


def middles(counted):
    """The same of values that count so many times each."""
    left = sum(many for _, many in counted) // 2
    for value, many in sorted(counted):
        left -= many
        if left < 0:
            return value
    return 0.0


def mass(hosts):
    """What the cold ones weigh, and the warm."""
    return [
        fsum(h.weight * h.share for h in hosts if (h.cold_from is None) == warm) for warm in (0, 1)
    ]


def host_word(name):
    """A host's 32 bits, odd, so that a product with it loses none of the other's."""
    return int.from_bytes(blake2b(name, digest_size=4, person=SALT).digest(), "little") | 1


def proxy_key(number):
    """A proxy's two odd words; any number up to 2^64 - 1, since long names are hashed to numbers."""
    made = blake2b(number.to_bytes(8, "little"), digest_size=8, person=b"proxy").digest()
    return int.from_bytes(made[:4], "little") | 1, int.from_bytes(made[4:], "little") | 1


def rank(key, word):
    """One host's place in a proxy's order: the lowest comes first."""
    mixed = word * key[0] & LOW
    mixed ^= mixed >> SHIFT
    return mixed * key[1] & LOW


@lru_cache(maxsize=4096)
def masks(many):
    """For so many lanes: the words' bits, and those that a shift leaves within its lane."""
    ones = ((1 << LANE * many) - 1) // ((1 << LANE) - 1)
    return ones * LOW, ones * (LOW >> SHIFT)


def by_name(hosts):
    """In an order that is the same at every steward, whatever their ids."""
    return sorted(hosts, key=lambda host: host.name)


class RendezvousPool:
    """The hosts of one pool; `top(key, many)` gives the first of a proxy's order.

    Hosts have `name` (bytes) and `word`; two that share a word stand by name, alike at every steward.
    """

    __slots__ = ("hosts", "packed", "words", "low", "many")

    def __init__(self, hosts):
        self.hosts = by_name(hosts)
        self.many = len(self.hosts)
        self.packed = int.from_bytes(
            struct.pack(f"<{self.many}Q", *[host.word for host in self.hosts]), "little"
        )
        self.words, self.low = masks(self.many)

    def __len__(self):
        return self.many

    def __iter__(self):
        return iter(self.hosts)

    def top(self, key, many):
        """[host], best first, `many` or all there are."""
        mixed = self.packed * key[0] & self.words
        mixed ^= mixed >> SHIFT & self.low
        data = (mixed * key[1] & self.words).to_bytes(8 * self.many, "little")
        found = self.likely(data, many) if self.many > FEW else None
        if found is None:
            values = struct.unpack(f"<{self.many}Q", data)
            found = sorted(range(self.many), key=values.__getitem__)
        return [self.hosts[at] for at in found[:many]]

    def likely(self, data, many):
        """Sorted places of all whose highest byte is low enough that as many as are needed should be among them;
        None where they are not, or where that would be most."""
        below = 256 * (many + 4 * many**0.5 + 4) / self.many
        if below > 128:
            return None
        found = [one.start() for one in BELOW[int(below)].finditer(data[3::8])]
        if len(found) < many:
            return None
        return sorted(found, key=lambda at: int.from_bytes(data[8 * at : 8 * at + 4], "little"))


class SubscriberIndex:
    """host -> the proxies that hold it, each in a number of tables, in the order in which they came."""

    __slots__ = ("by_host",)

    def __init__(self):
        self.by_host = {}

    def put(self, host, proxy):
        held = self.by_host.setdefault(host, {})
        held[proxy] = held.get(proxy, 0) + 1

    def take(self, host, proxy):
        held = self.by_host[host]
        held[proxy] -= 1
        if not held[proxy]:
            del held[proxy]
            if not held:
                del self.by_host[host]

    def of(self, host):
        return self.by_host.get(host, {})

    def of_all(self, hosts):
        """{proxy: True} of those that hold any of them."""
        found = {}
        for host in hosts:
            found.update(self.by_host.get(host, {}))
        return found


class DeadlineQueue:
    """What is to be looked at when: `push(at, what)`, `take(now)`. One that is pushed again is told twice."""

    __slots__ = ("heap",)

    def __init__(self):
        self.heap = []

    def push(self, at, what):
        heapq.heappush(self.heap, (at, what))

    def take(self, now):
        """[what] that is due, each once, by its time."""
        found = {}
        while self.heap and self.heap[0][0] <= now:
            found[heapq.heappop(self.heap)[1]] = True
        return list(found)
