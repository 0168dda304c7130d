"""What one controller knows of the others, and what it disseminates next. Pure: no I/O, no clock.

The dissemination half of SWIM: facts are ordered by incarnation and state, and each is
piggybacked on a bounded number of messages, the least often sent first.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, log2
from typing import NamedTuple, Optional

import msgspec

from .messages import Address, MemberInfo, MemberState

MAX_MEMBERS = 500
MAX_FACTS = 12  # facts in one message, which keeps a datagram below 1200 bytes
RETRANSMIT_FACTOR = 3  # a fact is sent this often times log2 of the number of members
FORGET_AFTER = 60.0  # seconds a dead or departed member is kept, so that old facts can't revive it

PRECEDENCE: dict[str, int] = {  # at the same incarnation, the higher state overrides the lower
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
REACHABLE = (MemberState.ALIVE, MemberState.SUSPECT)
GONE = (MemberState.DEAD, MemberState.LEFT)


class StateChanged(NamedTuple):
    """A member is believed to be in another state; `before` is None for a new member."""

    name: str
    before: Optional[str]
    after: str


@dataclass(slots=True)
class Member:
    """One known member."""

    info: MemberInfo  # the fact that is believed
    state_since: float  # when its state last changed
    times_sent: int = 0  # how often the fact was disseminated
    suspect_until: Optional[float] = None  # when a suspect is declared dead


def overrides(new: MemberInfo, old: MemberInfo) -> bool:
    """Whether a fact replaces a known one: by incarnation, then by precedence of the state."""
    new_rank = new.incarnation, PRECEDENCE[new.state]
    old_rank = old.incarnation, PRECEDENCE[old.state]
    return new_rank > old_rank


class MemberTable:
    """All known members by name, this one (`me`) among them.

    `suspicion_timeout`: seconds in a fleet of up to four members; larger fleets scale it.
    """

    def __init__(self, me: MemberInfo, suspicion_timeout: float) -> None:
        self.me = me
        self.members = {me.name: Member(me, 0.0)}
        self.suspicion_timeout = suspicion_timeout

    def reachable(self) -> dict[str, MemberInfo]:
        """Members that are alive or only suspected, sorted by name."""
        return {
            name: member.info
            for name, member in sorted(self.members.items())
            if member.info.state in REACHABLE
        }

    def peers(self) -> list[str]:
        """Names of the reachable members but this one."""
        return [name for name in self.reachable() if name != self.me.name]

    def at_address(self, address: Address) -> list[Member]:
        """Members whose gossip socket is `address`, in any state."""
        return [member for member in self.members.values() if member.info.address == address]

    # Merging facts.

    def merge(self, now: float, info: MemberInfo) -> Optional[StateChanged]:
        """Takes in a fact, if it is new; a wrong one on this member is refuted."""
        info = msgspec.structs.replace(
            info, address=tuple(info.address), proxy_address=tuple(info.proxy_address)
        )
        if info.name == self.me.name:
            self._refute_if_wrong(info)
            return None
        known = self.members.get(info.name)
        if known is None:
            return self._add(now, info)
        if not overrides(info, known.info):
            return None
        return self._replace(now, known, info)

    def _add(self, now: float, info: MemberInfo) -> Optional[StateChanged]:
        if len(self.members) >= MAX_MEMBERS or info.state in GONE:
            return None
        member = Member(info, now)
        self.members[info.name] = member
        self._set_suspicion(now, member)
        return StateChanged(info.name, None, info.state)

    def _replace(self, now: float, known: Member, info: MemberInfo) -> Optional[StateChanged]:
        before = known.info.state
        if before in GONE and info.state == MemberState.SUSPECT:
            # A suspicion at a later incarnation than its end shows that the member came back.
            info = msgspec.structs.replace(info, state=MemberState.ALIVE)
        known.info = info
        known.times_sent = 0
        self._set_suspicion(now, known)
        if info.state == before:
            return None
        known.state_since = now
        return StateChanged(info.name, before, info.state)

    # Suspicion.

    def suspicion(self) -> float:
        """Seconds a suspect has to refute: facts take log2 of the number of members to spread."""
        return self.suspicion_timeout * max(1.0, log2(len(self.members)) / 2)

    def _set_suspicion(self, now: float, member: Member) -> None:
        suspected = member.info.state == MemberState.SUSPECT
        member.suspect_until = now + self.suspicion() if suspected else None

    def restart_suspicions(self, now: float) -> None:
        """Gives all suspects their whole time again."""
        for member in self.members.values():
            if member.suspect_until is not None:
                member.suspect_until = now + self.suspicion()

    def expire(self, now: float) -> Iterable[StateChanged]:
        """Declares suspects dead whose time is over, and forgets those long gone."""
        for member in list(self.members.values()):
            if member.suspect_until is not None and now >= member.suspect_until:
                dead = msgspec.structs.replace(member.info, state=MemberState.DEAD)
                change = self.merge(now, dead)
                if change is not None:
                    yield change
            elif member.info.state in GONE and now - member.state_since > FORGET_AFTER:
                del self.members[member.info.name]

    # This member's own fact.

    def _refute_if_wrong(self, info: MemberInfo) -> None:
        said_gone = info.state != MemberState.ALIVE and info.incarnation >= self.me.incarnation
        if said_gone and self.me.state != MemberState.LEFT:
            self.refute(info.incarnation)
        elif info.incarnation > self.me.incarnation:
            self.refute(
                info.incarnation
            )  # of an earlier life of this member, which it has forgotten

    def refute(self, incarnation: int) -> None:
        """Declares this member alive past `incarnation`."""
        newer = max(incarnation, self.me.incarnation) + 1
        self.update_me(msgspec.structs.replace(self.me, incarnation=newer, state=MemberState.ALIVE))

    def update_me(self, info: MemberInfo) -> None:
        """Replaces this member's own fact, to be disseminated anew."""
        self.me = info
        member = self.members[info.name]
        member.info = info
        member.times_sent = 0

    # Dissemination.

    def next_facts(self, everything: bool = False) -> list[MemberInfo]:
        """The facts for the next message: this member's own first, then those sent least often.

        `everything`: also facts that were sent often enough, for a newcomer.
        """
        limit = RETRANSMIT_FACTOR * ceil(log2(len(self.members) + 1))
        pending = (one for one in self.members.values() if everything or one.times_sent < limit)
        chosen = sorted(pending, key=self._dissemination_order)[:MAX_FACTS]
        for member in chosen:
            member.times_sent += 1
        facts = [member.info for member in chosen]
        if not any(info.name == self.me.name for info in facts):
            return [self.me, *facts[: MAX_FACTS - 1]]
        return facts

    def _dissemination_order(self, member: Member) -> tuple[bool, int, str]:
        name = member.info.name
        return name != self.me.name, member.times_sent, name
