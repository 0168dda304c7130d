"""Who is alive. Pure: no I/O, no clock; chance is handed in.

A member probes one other at a time, in an order drawn anew each round; one that does not answer, nor
through two others that are asked to try, is *suspected*, and *dead* when it has not refuted that in time.
News rides on the probes, the newest and least told first, a bounded number a message. Each member's news
has an incarnation that only it may raise: it refutes what is said of it by raising it. After the SWIM
paper (Das, Gupta, Motivala 2002), with its suspicion and refutation.

One entry point: `decide(now, events) -> orders`.
"""

from math import ceil, log2
from typing import NamedTuple, Optional

import msgspec

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
HELPERS = 2  # members that are asked to probe on our behalf
NEWS_MOST = 12  # members that a message tells of
TOLD_TIMES = 3  # times log2 of the members that each news is passed on
MEMBERS_MOST = 500
FORGET_AFTER = (
    60.0  # seconds that a dead or left member is remembered, so that old news can't revive it
)


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """News of one member; `load`: proxies joined; `draining`: takes no more."""

    name: str
    address: tuple
    state: str
    incarnation: int
    orders: tuple = ()  # where its proxies dial
    load: int = 0
    draining: bool = False


class Ping(msgspec.Struct, array_like=True, tag="Ping"):
    number: int
    news: list[MemberInfo]


class Ack(msgspec.Struct, array_like=True, tag="Ack"):
    number: int
    news: list[MemberInfo]


class IndirectPing(msgspec.Struct, array_like=True, tag="TryFor"):
    """Probe `address` and pass its answer on."""

    number: int
    address: tuple
    news: list[MemberInfo]


class DatagramReceived(NamedTuple):
    address: tuple
    message: object


class Tick(NamedTuple):
    pass


class LocalStatus(NamedTuple):
    """What others should know of this member."""

    load: int
    draining: bool


class Leave(NamedTuple):
    pass


class SendDatagram(NamedTuple):
    address: tuple
    message: object


class StateChanged(NamedTuple):
    name: str
    before: Optional[str]
    after: str


class Member:
    """One record a member."""

    __slots__ = ("about", "since", "told", "suspect_until")

    def __init__(self, about, now):
        self.about, self.since, self.told, self.suspect_until = about, now, 0, None


def beats(new, old):
    """Whether news replaces what is known: a higher incarnation, or the graver state at the same one."""
    grave = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
    return (new.incarnation, grave[new.state]) > (old.incarnation, grave[old.state])


class Membership:
    """`me`: About of this member; `seeds`: addresses that are asked until somebody is known; `chance`: a
    seeded random.Random; `every`, `wait`, `suspect`: seconds between probes, for an answer, of suspicion."""

    def __init__(self, me, seeds, chance, every=0.3, wait=0.15, suspect=1.0):
        self.me, self.seeds, self.chance = me, [s for s in seeds if s != me.address], chance
        self.every, self.wait, self.suspect = every, wait, suspect
        self.members, self.round, self.number = {me.name: Member(me, 0.0)}, [], 0
        self.probing, self.passing, self.probe_at, self.last_tick = {}, {}, 0.0, None
        self.handlers = {
            DatagramReceived: self.on_heard,
            Tick: self.on_tick,
            LocalStatus: self.on_mine,
            Leave: self.on_leave,
        }

    def decide(self, now, events):
        self.now, self.orders = now, []
        for event in events:
            self.handlers[type(event)](event)
        return self.orders

    def live(self):
        """About of all that are alive or only suspected, by name."""
        return {
            name: one.about
            for name, one in sorted(self.members.items())
            if one.about.state in (ALIVE, SUSPECT)
        }

    # Time.

    def on_tick(self, _):
        # One that stood still must not judge others by its own absence: it begins its probes anew.
        if self.last_tick is not None and self.now - self.last_tick > 3 * self.every:
            self.probing, self.passing = {}, {}
            for one in self.members.values():
                if one.suspect_until is not None:
                    one.suspect_until = self.now + self.suspicion()
            self.refute(self.me.incarnation)
        self.last_tick = self.now
        for number, (name, helped, until) in list(self.probing.items()):
            if self.now >= until:
                self.no_answer(number, name, helped)
        self.passing = {n: p for n, p in self.passing.items() if self.now < p[2]}
        for one in list(self.members.values()):
            if one.suspect_until is not None and self.now >= one.suspect_until:
                self.learn(msgspec.structs.replace(one.about, state=DEAD))
            elif one.about.state in (DEAD, LEFT) and self.now - one.since > FORGET_AFTER:
                del self.members[one.about.name]
        if self.now >= self.probe_at:
            self.probe_at = self.now + self.every
            self.probe()

    def probe(self):
        others = [name for name, about in self.live().items() if name != self.me.name]
        self.round = [name for name in self.round if name in others]
        if not self.round:
            self.round = others
            self.chance.shuffle(self.round)
        if self.round:
            name = self.round.pop()
            self.number += 1
            self.probing[self.number] = name, False, self.now + self.wait
            self.send(self.members[name].about.address, Ping(self.number, self.news()))
        # Seeds that nobody is known at are asked for ever, one at a time: both halves of a cut start so.
        known = {
            one.about.address
            for one in self.members.values()
            if one.about.state in (ALIVE, SUSPECT)
        }
        unknown = [seed for seed in self.seeds if seed not in known]
        if unknown:
            self.number += 1
            self.send(
                self.chance.choice(unknown),
                Ping(self.number, [self.me, *self.news()[: NEWS_MOST - 1]]),
            )

    def no_answer(self, number, name, helped):
        del self.probing[number]
        member = self.members.get(name)
        if member is None or member.about.state not in (ALIVE, SUSPECT):
            return
        others = [one for one in self.live() if one not in (name, self.me.name)]
        if not helped and others:
            self.probing[number] = name, True, self.now + 2 * self.wait
            for helper in self.chance.sample(others, min(HELPERS, len(others))):
                self.send(
                    self.members[helper].about.address,
                    IndirectPing(number, member.about.address, self.news()),
                )
        elif member.about.state == ALIVE:
            self.learn(msgspec.structs.replace(member.about, state=SUSPECT))

    def suspicion(self):
        return self.suspect * max(1.0, log2(len(self.members)) / 2)

    # Messages.

    def on_heard(self, event):
        message, address = event.message, event.address
        for about in message.news[:NEWS_MOST]:
            self.learn(about)
        if type(message) is Ping:
            # One that others hold for dead must hear it, or it could not refute; so must one that started anew
            # and whose news is older than what is known of its life before. A newcomer wants to know all.
            told = {about.name: about.incarnation for about in message.news}
            extra = [
                one.about
                for one in self.members.values()
                if one.about.address == address
                and (
                    one.about.state != ALIVE
                    or told.get(one.about.name, 1 << 62) < one.about.incarnation
                )
            ]
            newcomer = not any(one.about.address == address for one in self.members.values())
            self.send(
                address, Ack(message.number, (extra + self.news(everything=newcomer))[:NEWS_MOST])
            )
        elif type(message) is Ack:
            self.probing.pop(message.number, None)
            if message.number in self.passing:
                back, theirs, _ = self.passing.pop(message.number)
                self.send(back, Ack(theirs, self.news()))
        elif type(message) is IndirectPing:
            self.number += 1
            if len(self.passing) < MEMBERS_MOST:
                self.passing[self.number] = address, message.number, self.now + 3 * self.wait
                self.send(tuple(message.address), Ping(self.number, self.news()))

    def send(self, address, message):
        self.orders.append(SendDatagram(tuple(address), message))

    def news(self, everything=False):
        """What to tell now: of us first, then what was told least often, as long as it is news."""
        most = TOLD_TIMES * ceil(log2(len(self.members) + 1))
        found = sorted(
            (one for one in self.members.values() if everything or one.told < most),
            key=lambda one: (one.about.name != self.me.name, one.told, one.about.name),
        )[:NEWS_MOST]
        for one in found:
            one.told += 1
        if not any(one.about.name == self.me.name for one in found):
            return [self.me, *(one.about for one in found[: NEWS_MOST - 1])]
        return [one.about for one in found]

    # What is known.

    def learn(self, about):
        about = msgspec.structs.replace(
            about, address=tuple(about.address), orders=tuple(about.orders)
        )
        if about.name == self.me.name:
            if (
                about.state != ALIVE
                and about.incarnation >= self.me.incarnation
                and self.me.state != LEFT
            ):
                self.refute(about.incarnation)
            elif about.incarnation > self.me.incarnation:
                self.refute(about.incarnation)  # we were here before, and have forgotten it
            return
        known = self.members.get(about.name)
        if known is None:
            if len(self.members) >= MEMBERS_MOST or about.state in (DEAD, LEFT):
                return
            self.members[about.name] = known = Member(about, self.now)
            self.orders.append(StateChanged(about.name, None, about.state))
        elif not beats(about, known.about):
            return
        else:
            before = known.about.state
            if before in (DEAD, LEFT) and about.state == SUSPECT:
                about = msgspec.structs.replace(about, state=ALIVE)  # newer than its end: it lives
            known.about, known.told = about, 0
            if about.state != before:
                known.since = self.now
                self.orders.append(StateChanged(about.name, before, about.state))
        known.suspect_until = self.now + self.suspicion() if about.state == SUSPECT else None

    def refute(self, incarnation):
        self.replace_me(incarnation=max(incarnation, self.me.incarnation) + 1, state=ALIVE)

    def replace_me(self, **changes):
        self.me = msgspec.structs.replace(self.me, **changes)
        mine = self.members[self.me.name]
        mine.about, mine.told = self.me, 0

    def on_mine(self, event):
        if (event.load, event.draining) != (self.me.load, self.me.draining):
            self.replace_me(
                load=event.load, draining=event.draining, incarnation=self.me.incarnation + 1
            )

    def on_leave(self, _):
        self.replace_me(state=LEFT, incarnation=self.me.incarnation + 1)
        others = [about for name, about in self.live().items() if name != self.me.name]
        for about in others[:NEWS_MOST]:
            self.send(about.address, Ping(0, [self.me]))
