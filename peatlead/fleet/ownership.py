"""Whose a proxy is, and whose orders count. Pure: no I/O, no clock; chance is handed in.

Every controller ranks the living for a proxy by rendezvous hashing; the first that is neither draining nor
full owns it. Nobody agrees with anybody: what makes an owner *effective* is the proxy itself, which follows
one stream, and counts only orders of the newest epoch that it has seen. Whoever takes a proxy in gives it
the epoch after the newest that the proxy says it knows, so epochs never go back, whoever believes what.

A controller that is not the owner sends the proxy on, unless the proxy says that it failed to reach the
owner, or has been sent on too often: an owner by rank that can't be reached is worth less than one that
answers. Joins are paced; proxies keep their tables meanwhile.
"""

from typing import NamedTuple, Optional

from blake3 import blake3

HOPS_MOST = 2  # a proxy that was sent on this often is taken in by whoever it reached
EXTRA, ROOM = (
    1.25,
    4,
)  # a controller is full past its fair part by this much; and by this many at least
MOVE_PART = 0.05  # of its proxies that a controller sends on a second, once another should own them
SETTLE = 3.0  # seconds that the living must have stood before anything is moved for balance
AVOID_FOR = 5.0  # seconds that a proxy's word holds that it could not reach a controller
JOIN_BURST = 50  # joins taken at once before they are paced


class AdmissionDecision(NamedTuple):
    """`owner`: name of the controller that should have it; `take`: whether we take it in; `wait`: seconds
    that it should wait before it dials again (0 where it is taken or sent on)."""

    owner: str
    take: bool
    wait: float
    why: str


def score(proxy, controller):
    return blake3(proxy.encode() + b"\0" + controller.encode()).digest(8)


def ranked(proxy, names):
    """All controllers for a proxy, best first: the same everywhere, and a change moves only its own part."""
    return sorted(names, key=lambda name: (score(proxy, name), name), reverse=True)


class Ownership:
    """One controller's side. `joins_rate`: joins a second that are taken past a burst."""

    def __init__(self, me, joins_rate, chance):
        self.me, self.joins_rate, self.chance = me, joins_rate, chance
        self.live, self.changed_at, self.draining = {}, 0.0, False
        self.epochs = {}  # proxy -> the epoch that we gave it, while it is joined
        self.avoided = {}  # proxy -> (when it said so, controllers that it could not reach), while it is joined
        self.tokens, self.tokens_at, self.move_at = float(JOIN_BURST), 0.0, 0.0

    def living(self, now, live):
        """`live`: {name: (load, draining)} of all controllers that live, ourselves too."""
        if live.keys() != self.live.keys() or any(live[n][1] != self.live[n][1] for n in live):
            self.changed_at = now
        self.live = dict(live)

    def owner(self, proxy, avoid=()):
        """The controller that should have the proxy: by rank, the full and the draining passed over."""
        order = [name for name in ranked(proxy, self.live) if name not in avoid] or [self.me]
        total = sum(load for load, _ in self.live.values()) + 1
        full = total / max(1, len(self.live)) * EXTRA + ROOM
        fit = [name for name in order if not self.live.get(name, (0, False))[1]]
        for name in fit:
            if self.live.get(name, (0, False))[0] < full:
                return name
        return (fit or order)[0]

    def admit(self, now, proxy, seen, hops=0, avoid=()):
        """Verdict on a proxy that has dialled us; a taken one gets an epoch past `seen`."""
        owner = self.owner(proxy, avoid)
        if owner != self.me and hops < HOPS_MOST and owner in self.live:
            return AdmissionDecision(owner, False, 0.0, "another's by rank")
        self.tokens = min(float(JOIN_BURST), self.tokens + (now - self.tokens_at) * self.joins_rate)
        self.tokens_at = now
        if self.tokens < 1:
            # All of a dead controller's proxies come at once: drawn waits spread them over what we can take.
            return AdmissionDecision(
                self.me,
                False,
                self.chance.uniform(0.5, 1.5) * JOIN_BURST / self.joins_rate,
                "paced",
            )
        self.tokens -= 1
        self.epochs[proxy] = max(seen, self.epochs.get(proxy, 0)) + 1
        self.avoided[proxy] = now, tuple(avoid)
        return AdmissionDecision(
            self.me, True, 0.0, "ours by rank" if owner == self.me else "its owner is out of reach"
        )

    def left(self, proxy):
        self.epochs.pop(proxy, None)
        self.avoided.pop(proxy, None)

    def out_of_reach(self, now, proxy, owner):
        """One that was just taken in because it could not reach its owner would only come back at once."""
        at, names = self.avoided.get(proxy, (now, ()))
        return owner in names and now - at < AVOID_FOR

    def moves(self, now):
        """[(proxy, new owner)] to send on now: a few at a time, and only once the living stand still. A
        controller that drains sends at once."""
        if now < self.move_at or not self.epochs:
            return []
        if not self.draining and now - self.changed_at < SETTLE:
            return []
        self.move_at = now + 0.2
        most = max(1, round(len(self.epochs) * MOVE_PART * 0.2 * (5 if self.draining else 1)))
        found = []
        for proxy in sorted(self.epochs):
            owner = self.owner_but_full(proxy)
            if owner != self.me and not self.out_of_reach(now, proxy, owner):
                found.append((proxy, owner))
                if len(found) >= most:
                    break
        return found

    def owner_but_full(self, proxy):
        """Who should have a proxy that is joined here: it stays while we are only a little over, or two full
        controllers would send it to and fro."""
        order = [name for name in ranked(proxy, self.live) if not self.live[name][1]]
        if self.draining:
            order = [name for name in order if name != self.me]
        if not order:
            return self.me
        fair = sum(load for load, _ in self.live.values()) / len(order) * EXTRA
        if self.draining:  # all must go: to the first with room, or to whoever has least
            room = [name for name in order if self.live[name][0] < fair]
            return room[0] if room else min(order, key=lambda name: self.live[name][0])
        return order[0] if self.live[order[0]][0] < fair else self.me


class Fence(NamedTuple):
    """A proxy's own rule: what it has seen, and whether an order counts. `newest`: (epoch, serial)."""

    newest: tuple = (0, 0)

    def allows(self, epoch, serial):
        return (epoch, serial) > self.newest

    def past(self, epoch, serial) -> "Fence":
        return Fence(max(self.newest, (epoch, serial)))


def why(ownership, proxy, joined_since: Optional[float], now):
    """For operators: rank, owner, epoch, since when."""
    return {
        "proxy": proxy,
        "rank": ranked(proxy, ownership.live),
        "owner": ownership.owner(proxy),
        "here": proxy in ownership.epochs,
        "epoch": ownership.epochs.get(proxy),
        "since": None if joined_since is None else now - joined_since,
    }
